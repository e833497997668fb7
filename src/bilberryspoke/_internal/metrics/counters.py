"""Counters of one VM, rendered as Prometheus text."""

from collections import Counter

_PREFIX = 'bilberryspoke_'


class Counters:
    """Counters by name and label."""

    def __init__(self) -> None:
        """Create counters that all stand at zero."""
        self._totals: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str = '', amount: int = 1) -> None:
        """Add to a counter."""
        self._totals[name, label] += amount

    def read(self, name: str, label: str = '') -> int:
        """Return the value of a counter."""
        return self._totals[name, label]

    def render(self) -> list[str]:
        """Return the lines of the Prometheus text format."""
        lines = []
        previous = ''
        for (name, label), total in sorted(self._totals.items()):
            if name != previous:
                lines.append(f'# TYPE {_PREFIX}{name}_total counter')
                previous = name
            labels = f'{{label="{_escape(label)}"}}' if label else ''
            lines.append(f'{_PREFIX}{name}_total{labels} {total}')
        return lines

    def dump(self) -> dict[str, dict[str, int]]:
        """Return all counters by name and label."""
        dumped: dict[str, dict[str, int]] = {}
        for (name, label), total in sorted(self._totals.items()):
            dumped.setdefault(name, {})[label] = total
        return dumped


def _escape(label: str) -> str:
    escaped = label.replace('\\', '\\\\').replace('"', '\\"')
    return escaped.replace('\n', '\\n')
