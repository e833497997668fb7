"""Findings about input, with their place."""

from dataclasses import dataclass
from enum import StrEnum


class Severity(StrEnum):
    """Whether a finding stops the input from being used."""

    error = 'error'
    warning = 'warning'


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing wrong with an input.

    ``path`` names the place inside the input, such as ``class/drafts.tier``;
    ``line`` is 0 where the parser does not tell it.
    """

    source: str
    path: str
    message: str
    line: int = 0
    severity: Severity = Severity.error

    def __str__(self) -> str:
        """Render as ``source:line: path: severity: message``."""
        place = f'{self.source}:{self.line}' if self.line else self.source
        return f'{place}: {self.path or "-"}: {self.severity}: {self.message}'
