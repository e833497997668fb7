"""Counters of one VM, rendered as Prometheus text."""

from collections import Counter

# Prefix of the names of all metrics.
PREFIX = 'bilberryspoke_'


class Counters:
    """Counters by name and label; a label is empty if there is none."""

    def __init__(self) -> None:
        """Create an empty set of counters."""
        self._totals: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str = '', amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self._totals[name, label] += amount

    def read(self, name: str, label: str = '') -> int:
        """Return the value of a counter, 0 if nothing was counted."""
        return self._totals[name, label]

    def render(self) -> list[str]:
        """Return the lines of the Prometheus text format."""
        lines = []
        previous = ''
        for (name, label), total in sorted(self._totals.items()):
            if name != previous:
                lines.append(f'# TYPE {PREFIX}{name}_total counter')
                previous = name
            lines.append(f'{PREFIX}{name}_total{format_label(label)} {total}')
        return lines

    def dump(self) -> dict[str, dict[str, int]]:
        """Return the values of all counters by name, then by label."""
        dumped: dict[str, dict[str, int]] = {}
        for (name, label), total in sorted(self._totals.items()):
            dumped.setdefault(name, {})[label] = total
        return dumped


def format_label(label: str) -> str:
    """Return a label in the Prometheus text format, empty if there is none."""
    if not label:
        return ''
    escaped = label.replace('\\', '\\\\').replace('"', '\\"')
    escaped = escaped.replace('\n', '\\n')
    return f'{{label="{escaped}"}}'
