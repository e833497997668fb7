"""Latency histograms by class and by workspace."""

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from bilberryspoke._internal.metrics.counters import PREFIX

MIN_DURATION_MS = 1
MAX_DURATION_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
# Bounds the number of histograms, and so the length of the metrics page.
_MAX_WORKSPACES = 40
_OTHER_WORKSPACES = '(other)'
_PERCENTILES = (50, 95, 99)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds."""
    return HdrHistogram(MIN_DURATION_MS, MAX_DURATION_MS, _SIGNIFICANT_DIGITS)


class HistogramTable:
    """Histograms by kind, group and measure.

    ``kind``: ``class`` or ``workspace``.
    ``group``: name of the class or route, or of the workspace.
    ``measure``: ``first_token``, ``total`` or ``queue``.
    The first ``_MAX_WORKSPACES`` workspaces that are recorded have histograms
    of their own; all others share the group ``(other)``.
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
        """Record a duration in seconds, rounded to milliseconds."""
        name = self._choose_group(group) if kind == 'workspace' else group
        key = (kind, name, measure)
        histogram = self._table.get(key)
        if histogram is None:
            histogram = make_histogram()
            self._table[key] = histogram
        value_ms = max(
            MIN_DURATION_MS, min(MAX_DURATION_MS, round(seconds * 1000))
        )
        histogram.record_value(value_ms)

    def render(self, kinds: Iterable[str]) -> list[str]:
        """Return percentiles in the Prometheus text format, as lines.

        Only for histograms whose kind is among ``kinds``.
        """
        wanted = frozenset(kinds)
        lines = []
        for (kind, group, measure), histogram in sorted(self._table.items()):
            if kind not in wanted:
                continue
            name = f'{PREFIX}{measure}_ms'
            label = f'{kind}="{group}"'
            for percentile in _PERCENTILES:
                value_ms = histogram.get_value_at_percentile(percentile)
                labels = f'{label},quantile="{percentile / 100}"'
                lines.append(f'{name}{{{labels}}} {value_ms}')
            count = histogram.get_total_count()
            lines.append(f'{name}_count{{{label}}} {count}')
        return lines

    def dump(self) -> list[dict[str, str]]:
        """Return all histograms in the compressed encoding of HdrHistogram."""
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

    def _choose_group(self, workspace: str) -> str:
        if workspace in self._workspaces:
            return workspace
        if len(self._workspaces) >= _MAX_WORKSPACES:
            return _OTHER_WORKSPACES
        self._workspaces.add(workspace)
        return workspace


def merge_histograms(encoded: Iterable[str]) -> HdrHistogram:
    """Merge histograms in the compressed encoding of HdrHistogram into one."""
    merged = make_histogram()
    for text in encoded:
        merged.decode_and_add(text.encode())
    return merged
