"""Reading of JSON with comments (JSON5)."""

import re
from pathlib import Path
from typing import Any

import json5
from expression import Error, Ok, Result

from bilberryspoke._internal.models.findings import Finding

# Line and text in an error message of json5.
_ERROR_LOCATION = re.compile(r'^<string>:(\d+)\s*(.*)$', re.DOTALL)


def read_jsonc(path: Path) -> Result[Any, Finding]:
    """Read a file of JSON with comments.

    The error is a finding if the file cannot be read or has a syntax error.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return Error(Finding(str(path), '', f'cannot be read: {exc}'))
    return parse_jsonc(text, source=str(path))


def parse_jsonc(text: str, *, source: str) -> Result[Any, Finding]:
    """Parse JSON with comments.

    Duplicate keys are syntax errors. The error is a finding with ``source``
    and, if known, the line.
    """
    try:
        return Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as exc:
        return Error(_make_finding(exc, source))


def _make_finding(exc: Exception, source: str) -> Finding:
    if isinstance(exc, RecursionError):
        return Finding(source, '', 'nested too deeply to be parsed')
    error_match = _ERROR_LOCATION.match(str(exc))
    if error_match is None:
        return Finding(source, '', f'invalid JSON with comments: {exc}')
    message = f'invalid JSON with comments: {error_match.group(2)}'
    return Finding(source, '', message, line=int(error_match.group(1)))
