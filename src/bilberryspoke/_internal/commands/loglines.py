"""Search of a request's decisions in logged lines."""

import datetime
import json
from collections.abc import Iterable, Iterator
from typing import Any

Line = dict[str, Any]

# What a VM came to believe this long before a request bears on it.
_BEFORE = datetime.timedelta(seconds=10)
_SHOWN_APART = frozenset(
    ('event', 'vm', 'level', 'timestamp', 'req_id'),
)


def read_lines(raw_lines: Iterable[str]) -> Iterator[Line]:
    """Yield the JSON lines of a log; a collector may have put words before."""
    for raw in raw_lines:
        begin = raw.find('{')
        if begin < 0:
            continue
        try:
            line = json.loads(raw[begin:])
        except ValueError:
            continue
        if isinstance(line, dict) and 'event' in line and 'timestamp' in line:
            yield line


def select_lines(lines: Iterable[Line], req_id: str) -> list[Line]:
    """Return the lines that explain a request, in order of time.

    They are its own and those by which its VMs changed their mind about its
    upstreams, the store or the configuration shortly before or during it.
    """
    known = sorted(lines, key=_time_of)
    own = [line for line in known if line.get('req_id') == req_id]
    if not own:
        return []
    since = _time_of(own[0]) - _BEFORE
    until = _time_of(own[-1])
    vms = {line.get('vm') for line in own}
    upstreams = {line['upstream'] for line in own if line.get('upstream')}
    return [
        line
        for line in known
        if since <= _time_of(line) <= until
        and line.get('vm') in vms
        and _bears_on(line, req_id, upstreams)
    ]


def render_line(line: Line) -> str:
    """Return a line as text for people."""
    facts = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in _SHOWN_APART and value is not None
    )
    mark = '*' if line.get('req_id') else ' '
    clock = _time_of(line).strftime('%H:%M:%S.%f')[:-3]
    return f'{mark} {clock} {line.get("vm", "-")} {line["event"]} {facts}'


def _bears_on(line: Line, req_id: str, upstreams: set[str]) -> bool:
    own_id = line.get('req_id')
    if own_id is not None:
        return own_id == req_id
    upstream = line.get('upstream')
    return upstream is None or upstream in upstreams


def _time_of(line: Line) -> datetime.datetime:
    return datetime.datetime.fromisoformat(line['timestamp'])
