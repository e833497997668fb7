"""Output of commands: JSON for scripts, tables and findings for people."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from bilberryspoke._internal.models.findings import Finding

_COLUMN_SEPARATOR = '  '


def print_json(document: Any) -> None:
    """Print a document as indented JSON with sorted keys."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_findings(findings: Iterable[Finding]) -> None:
    """Print findings to standard error, one per line."""
    for finding in findings:
        print(finding, file=sys.stderr)


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a table with the first column aligned left, the others right.

    Each row has as many cells as the header. Floats are printed with three
    decimals.
    """
    text_rows = [list(header)]
    text_rows.extend([_format_cell(cell) for cell in row] for row in rows)
    widths = [
        max(len(row[column]) for row in text_rows)
        for column in range(len(header))
    ]
    for row in text_rows:
        aligned = [
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(
                zip(row, widths, strict=True),
            )
        ]
        print(_COLUMN_SEPARATOR.join(aligned).rstrip())


def _format_cell(cell: Any) -> str:
    if isinstance(cell, float):
        return f'{cell:.3f}'
    return str(cell)
