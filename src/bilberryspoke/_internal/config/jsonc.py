"""Reading of JSON with comments."""

import re
from pathlib import Path
from typing import Any

import json5
from expression import Error, Ok, Result

from bilberryspoke._internal.models.findings import Finding

_PLACE = re.compile(r'^<string>:(\d+)\s*(.*)$', re.DOTALL)


def read_jsonc(path: Path) -> Result[Any, Finding]:
    """Read a file of JSON with comments."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return Error(Finding(str(path), '', f'cannot be read: {exc}'))
    return parse_jsonc(text, source=str(path))


def parse_jsonc(text: str, *, source: str) -> Result[Any, Finding]:
    """Parse JSON with comments; a syntax error becomes a finding."""
    try:
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as exc:
        return Error(_describe(exc, source))


def _describe(exc: Exception, source: str) -> Finding:
    if isinstance(exc, RecursionError):
        return Finding(source, '', 'nested too deeply')
    found = _PLACE.match(str(exc))
    if found is None:
        return Finding(source, '', f'not JSON with comments: {exc}')
    message = f'not JSON with comments: {found.group(2)}'
    return Finding(source, '', message, line=int(found.group(1)))
