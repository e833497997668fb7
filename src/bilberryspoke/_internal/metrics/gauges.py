"""Gauges of one VM, rendered as Prometheus text."""

from collections.abc import Mapping

from bilberryspoke._internal.metrics.counters import PREFIX, format_label


def render_gauge(name: str, values: Mapping[str, float]) -> list[str]:
    """Return the lines of the Prometheus text format for one gauge.

    ``values`` are by label; an empty label stands for none.
    """
    lines = [f'# TYPE {PREFIX}{name} gauge']
    for label, value in sorted(values.items()):
        lines.append(f'{PREFIX}{name}{format_label(label)} {value:g}')
    return lines
