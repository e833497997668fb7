"""Printing of results for people and for scripts."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from bilberryspoke._internal.models.findings import Finding

_GAP = '  '


def print_json(document: Any) -> None:
    """Print a document as JSON."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_findings(findings: Iterable[Finding]) -> None:
    """Print findings, one a line, to standard error."""
    for finding in findings:
        print(finding, file=sys.stderr)


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a table: text to the left, numbers to the right."""
    cells = [list(header)]
    cells.extend([_format(cell) for cell in row] for row in rows)
    widths = [
        max(len(row[column]) for row in cells) for column in range(len(header))
    ]
    for row in cells:
        aligned = [
            cell.ljust(width) if column == 0 else cell.rjust(width)
            for column, (cell, width) in enumerate(
                zip(row, widths, strict=True),
            )
        ]
        print(_GAP.join(aligned).rstrip())


def _format(cell: Any) -> str:
    if isinstance(cell, float):
        return f'{cell:.3f}'
    return str(cell)
