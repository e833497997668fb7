"""Parsing and selection of the log lines that explain a request."""

import datetime
import json
from collections.abc import Iterable, Iterator
from typing import Any

LogLine = dict[str, Any]

# Changes of state that a VM logged up to this long before a request's first
# line can have affected the request.
_CONTEXT_PERIOD = datetime.timedelta(seconds=10)
_NON_DETAIL_FIELDS = frozenset(
    ('event', 'vm', 'level', 'timestamp', 'req_id'),
)


def parse_lines(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the JSON objects of a log that have an event and a timestamp.

    Text before the first brace of a line is skipped, as log collectors may
    put a prefix there. Lines without such an object are left out.
    """
    for raw in raw_lines:
        json_start = raw.find('{')
        if json_start < 0:
            continue
        try:
            line = json.loads(raw[json_start:])
        except ValueError:
            continue
        if isinstance(line, dict) and 'event' in line and 'timestamp' in line:
            yield line


def select_lines(lines: Iterable[LogLine], req_id: str) -> list[LogLine]:
    """Return the lines that explain a request, sorted by timestamp.

    They are the lines with its id and those without a request id that its
    VMs logged shortly before or during it: changes of state of its
    upstreams, the store or the configuration. The list is empty if no line
    has the id. Raises ValueError for a timestamp that is not ISO 8601.
    """
    sorted_lines = sorted(lines, key=_parse_timestamp)
    own_lines = [line for line in sorted_lines if line.get('req_id') == req_id]
    if not own_lines:
        return []
    since = _parse_timestamp(own_lines[0]) - _CONTEXT_PERIOD
    until = _parse_timestamp(own_lines[-1])
    vms = {line.get('vm') for line in own_lines}
    upstreams = {line['upstream'] for line in own_lines if line.get('upstream')}
    return [
        line
        for line in sorted_lines
        if since <= _parse_timestamp(line) <= until
        and line.get('vm') in vms
        and _is_relevant(line, req_id, upstreams)
    ]


def format_line(line: LogLine) -> str:
    """Return a line as text: time of day, VM, event and other fields.

    Lines that belong to a request start with an asterisk.
    """
    details = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _NON_DETAIL_FIELDS and value is not None
    )
    mark = '*' if line.get('req_id') else ' '
    time_text = _parse_timestamp(line).strftime('%H:%M:%S.%f')[:-3]
    return f'{mark} {time_text} {line.get("vm", "-")} {line["event"]} {details}'


def _is_relevant(line: LogLine, req_id: str, upstreams: set[str]) -> bool:
    line_req_id = line.get('req_id')
    if line_req_id is not None:
        return line_req_id == req_id
    upstream = line.get('upstream')
    return upstream is None or upstream in upstreams


def _parse_timestamp(line: LogLine) -> datetime.datetime:
    return datetime.datetime.fromisoformat(line['timestamp'])
