"""``bilberryspoke status``."""

import sys

from bilberryspoke._internal.commands.fleet import (
    ADMIN_VARIABLE,
    AdminReply,
    find_urls,
    read_all,
)
from bilberryspoke._internal.commands.output import print_json, print_table
from bilberryspoke._internal.commands.registry import ExitCode, command

NO_ADDRESS = f'no address: give --admin URL[,URL] or set {ADMIN_VARIABLE}'


@command('status')
def show_status(admin: str | None = None, json: bool = False) -> int:
    """Show each VM: readiness, configuration, peers and owner roles.

    Exit codes: 0 all VMs answered, 2 no address given, 3 a VM did not.

    Example:
        bilberryspoke status --admin 10.0.0.1:9001,10.0.0.2:9001

    Args:
        admin: operators' addresses, separated by commas.
        json: print what the VMs answered as JSON.
    """
    urls = find_urls(admin)
    if not urls:
        print(NO_ADDRESS, file=sys.stderr)
        return ExitCode.usage
    replies = read_all(urls, '/admin/status')
    report_problems(replies)
    documents = [reply.document for reply in replies if reply.document]
    if json:
        print_json(documents)
    else:
        _print_vms(documents)
    return exit_code_of(replies)


def report_problems(replies: list[AdminReply]) -> None:
    """Print which VMs did not answer."""
    for reply in replies:
        if reply.problem:
            print(reply.problem, file=sys.stderr)


def exit_code_of(replies: list[AdminReply]) -> ExitCode:
    """Return the exit code that tells whether all VMs answered."""
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
