"""Findings: problems in configuration input, with their place."""

from dataclasses import dataclass
from enum import StrEnum


class Severity(StrEnum):
    """Severity of a finding; input with an ``error`` is not used."""

    error = 'error'
    warning = 'warning'


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem in an input.

    ``source``: file, or digest of the value, in which it was found.
    ``path``: place inside the source, such as ``class/drafts.tier``; empty
    for the source as a whole.
    ``message``: what was expected and what was found.
    ``line``: line in the source from 1; 0 if unknown.
    """

    source: str
    path: str
    message: str
    line: int = 0
    severity: Severity = Severity.error

    def __str__(self) -> str:
        """Return ``source:line: path: severity: message``."""
        place = f'{self.source}:{self.line}' if self.line else self.source
        return f'{place}: {self.path or "-"}: {self.severity}: {self.message}'
