"""``bilberryspoke explain``."""

import sys
from pathlib import Path

from bilberryspoke._internal.commands.fleet import find_urls, read_all
from bilberryspoke._internal.commands.loglines import (
    read_lines,
    render_line,
    select_lines,
)
from bilberryspoke._internal.commands.output import print_json
from bilberryspoke._internal.commands.registry import ExitCode, command
from bilberryspoke._internal.commands.status import (
    NO_ADDRESS,
    report_problems,
)


@command('explain')
def explain_request(
    request_id: str,
    admin: str | None = None,
    json: bool = False,
    logs: str | None = None,
) -> int:
    """Explain what became of a request and why.

    Exit codes: 0 found, 2 no address given or logs that can not be read,
    3 not found and a VM did not answer, 4 not found.

    Example:
        bilberryspoke explain 4f1c2d
        bilberryspoke explain 9c41d07be2a35f68 --logs=- < vm-1.log

    Args:
        request_id: the request's id as its caller sent it.
        admin: operators' addresses, separated by commas.
        json: print the record, or the logged lines, as JSON.
        logs: file of logged lines to search instead of asking VMs; - reads
            standard input.
    """
    # An id of digits alone arrives as a number.
    wanted = str(request_id)
    if logs is not None:
        return _explain_from_logs(wanted, logs, as_json=json)
    urls = find_urls(admin)
    if not urls:
        print(NO_ADDRESS, file=sys.stderr)
        return ExitCode.usage
    replies = read_all(urls, f'/admin/requests/{wanted}')
    report_problems(replies)
    found = [reply for reply in replies if reply.status == 200]
    if not found:
        print(f'no VM has a record of {wanted}', file=sys.stderr)
        silent = any(reply.problem for reply in replies)
        return ExitCode.unreachable if silent else ExitCode.not_found
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
        print(f'{logs}: cannot be read: {exc}', file=sys.stderr)
        return ExitCode.usage
    selected = select_lines(read_lines(raw.splitlines()), req_id)
    if not selected:
        print(f'no line tells of {req_id}', file=sys.stderr)
        return ExitCode.not_found
    if as_json:
        print_json(selected)
        return ExitCode.ok
    for line in selected:
        print(render_line(line))
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
