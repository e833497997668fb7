"""The command ``bilberryspoke explain``."""

import sys
from pathlib import Path

from bilberryspoke._internal.commands.adminclient import (
    fetch_all,
    resolve_admin_urls,
)
from bilberryspoke._internal.commands.loglines import (
    format_line,
    parse_lines,
    select_lines,
)
from bilberryspoke._internal.commands.output import print_json
from bilberryspoke._internal.commands.registry import ExitCode, command
from bilberryspoke._internal.commands.status import (
    NO_ADMIN_ADDRESS,
    print_problems,
)


@command('explain')
def explain_request(
    request_id: str,
    admin: str | None = None,
    json: bool = False,
    logs: str | None = None,
) -> int:
    """Show the outcome of a request and the decisions that led to it.

    Prints the records that the VMs keep of the request or, with --logs, the
    log lines that bear on it.

    Exit codes: 0 found, 2 no admin address given or the log file cannot be
    read, 3 not found and a VM did not answer, 4 not found.

    Example:
        bilberryspoke explain 4f1c2d
        bilberryspoke explain 9c41d07be2a35f68 --logs=- < vm-1.log

    Args:
        request_id: request id as the caller sent it.
        admin: admin addresses of the VMs, separated by commas; by default
            those in the environment variable BILBERRYSPOKE_ADMIN.
        json: print the records, or the log lines, as JSON.
        logs: log file to search instead of asking the VMs; - reads standard
            input.
    """
    # fire passes an id that consists only of digits as a number.
    id_text = str(request_id)
    if logs is not None:
        return _explain_from_logs(id_text, logs, as_json=json)
    urls = resolve_admin_urls(admin)
    if not urls:
        print(NO_ADMIN_ADDRESS, file=sys.stderr)
        return ExitCode.usage
    replies = fetch_all(urls, f'/admin/requests/{id_text}')
    print_problems(replies)
    found = [reply for reply in replies if reply.status == 200]
    if not found:
        print(
            f'no VM that answered has a record of request {id_text}',
            file=sys.stderr,
        )
        any_unreachable = any(reply.problem for reply in replies)
        return ExitCode.unreachable if any_unreachable else ExitCode.not_found
    for reply in found:
        if json:
            print_json(reply.document)
        else:
            _print_record(reply.url, reply.document)
    return ExitCode.ok


def _explain_from_logs(req_id: str, logs: str, *, as_json: bool) -> int:
    try:
        raw = sys.stdin.read() if logs == '-' else Path(logs).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        print(f'{logs}: log file cannot be read: {exc}', file=sys.stderr)
        return ExitCode.usage
    selected = select_lines(parse_lines(raw.splitlines()), req_id)
    if not selected:
        print(f'no log line has the request id {req_id}', file=sys.stderr)
        return ExitCode.not_found
    if as_json:
        print_json(selected)
        return ExitCode.ok
    for line in selected:
        print(format_line(line))
    return ExitCode.ok


def _print_record(url: str, record: dict) -> None:
    print(f'request {record["req_id"]} at {url}')
    for name in ('workspace', 'service_class', 'pool', 'outcome', 'reason'):
        print(f'  {name}: {record[name] or "-"}')
    print(f'  queued: {record["queue_s"] * 1000:.0f} ms')
    if record['first_token_s'] is not None:
        print(f'  first token: {record["first_token_s"] * 1000:.0f} ms')
    print(f'  total: {record["total_s"] * 1000:.0f} ms')
    print(f'  tokens: {record["tokens"]}, attempts: {record["attempts"]}')
    for step in record['trail']:
        at_ms = step['at'] * 1000
        print(f'  {at_ms:8.0f} ms  {step["what"]} {step["detail"]}'.rstrip())
