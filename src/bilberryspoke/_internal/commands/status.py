"""The command ``bilberryspoke status``."""

import sys

from bilberryspoke._internal.commands.adminclient import (
    ADMIN_VARIABLE,
    AdminReply,
    fetch_all,
    resolve_admin_urls,
)
from bilberryspoke._internal.commands.output import print_json, print_table
from bilberryspoke._internal.commands.registry import ExitCode, command

NO_ADMIN_ADDRESS = (
    f'no admin address given: pass --admin URL[,URL] or set {ADMIN_VARIABLE}'
)


@command('status')
def show_status(admin: str | None = None, json: bool = False) -> int:
    """Show the status of each VM, one per row.

    Columns: name, data centre, readiness (yes, or the reason why the VM is
    not ready), revision of the configuration in force, number of open
    requests, number of live peers, and the pools whose slots the VM owns.

    Exit codes: 0 all VMs answered, 2 no admin address given, 3 a VM did not
    answer.

    Example:
        bilberryspoke status --admin 10.0.0.1:9001,10.0.0.2:9001

    Args:
        admin: admin addresses of the VMs, separated by commas; by default
            those in the environment variable BILBERRYSPOKE_ADMIN.
        json: print the answers of the VMs as JSON.
    """
    urls = resolve_admin_urls(admin)
    if not urls:
        print(NO_ADMIN_ADDRESS, file=sys.stderr)
        return ExitCode.usage
    replies = fetch_all(urls, '/admin/status')
    print_problems(replies)
    documents = [reply.document for reply in replies if reply.document]
    if json:
        print_json(documents)
    else:
        _print_vms(documents)
    return choose_exit_code(replies)


def print_problems(replies: list[AdminReply]) -> None:
    """Print to standard error which VMs did not answer, and why."""
    for reply in replies:
        if reply.problem:
            print(reply.problem, file=sys.stderr)


def choose_exit_code(replies: list[AdminReply]) -> ExitCode:
    """Return ``unreachable`` if a VM did not answer, else ``ok``."""
    if any(reply.problem for reply in replies):
        return ExitCode.unreachable
    return ExitCode.ok


def _print_vms(documents: list[dict]) -> None:
    header = ('VM', 'DATA CENTRE', 'READY', 'REVISION', 'OPEN', 'PEERS', 'OWNS')
    rows = [
        (
            document['vm'],
            document['data_centre'],
            document['reason'] or 'yes',
            document['revision'],
            document['requests_open'],
            len(document['peers_alive']),
            ','.join(
                pool
                for pool, owner in document['owner_of'].items()
                if owner == document['vm']
            ),
        )
        for document in documents
    ]
    print_table(header, rows)
