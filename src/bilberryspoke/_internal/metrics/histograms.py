"""Latency histograms by class and by workspace."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
_DIGITS = 2
_WORKSPACE_LIMIT = 40
_OTHER = '(other)'
_QUANTILES = (50, 95, 99)
_PREFIX = 'bilberryspoke_'


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, _DIGITS)


class HistogramTable:
    """Histograms by kind, group and measure.

    ``kind`` is ``class`` or ``workspace``; ``measure`` is ``first_token``,
    ``total`` or ``queue``. Only a limited number of workspaces has
    histograms of its own; the others share one named ``(other)``.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._table: dict[tuple[str, str, str], HdrHistogram] = {}
        self._workspaces: set[str] = set()

    def record(
        self,
        kind: str,
        group: str,
        measure: str,
        seconds: float,
    ) -> None:
        """Record a duration."""
        name = self._limit(group) if kind == 'workspace' else group
        key = (kind, name, measure)
        histogram = self._table.get(key)
        if histogram is None:
            histogram = new_histogram()
            self._table[key] = histogram
        value_ms = max(LOWEST_MS, min(HIGHEST_MS, round(seconds * 1000)))
        histogram.record_value(value_ms)

    def render(self, kinds: Iterable[str]) -> list[str]:
        """Return summaries as lines of the Prometheus text format."""
        wanted = frozenset(kinds)
        lines = []
        for (kind, group, measure), histogram in sorted(self._table.items()):
            if kind not in wanted:
                continue
            name = f'{_PREFIX}{measure}_ms'
            label = f'{kind}="{group}"'
            for quantile in _QUANTILES:
                value_ms = histogram.get_value_at_percentile(quantile)
                tag = f'{label},quantile="{quantile / 100}"'
                lines.append(f'{name}{{{tag}}} {value_ms}')
            count = histogram.get_total_count()
            lines.append(f'{name}_count{{{label}}} {count}')
        return lines

    def dump(self) -> list[dict[str, str]]:
        """Return all histograms in their compressed encoding."""
        return [
            {
                'kind': kind,
                'group': group,
                'measure': measure,
                'histogram': histogram.encode().decode(),
            }
            for (kind, group, measure), histogram in sorted(
                self._table.items(),
            )
        ]

    def _limit(self, workspace: str) -> str:
        if workspace in self._workspaces:
            return workspace
        if len(self._workspaces) >= _WORKSPACE_LIMIT:
            return _OTHER
        self._workspaces.add(workspace)
        return workspace


def merge_histograms(encoded: Iterable[str]) -> HdrHistogram:
    """Merge histograms in their compressed encoding into one."""
    merged = new_histogram()
    for text in encoded:
        merged.decode_and_add(text.encode())
    return merged
