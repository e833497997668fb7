"""Table of results that the demonstration prints."""

from bilberryspoke._internal.commands.output import print_table
from bilberryspoke._internal.metrics.histograms import make_histogram
from demo.load import Sample, group_samples

_HEADER = (
    'CLASS',
    'SENT',
    'MET',
    'GOODPUT',
    'not_run',
    'unknown',
    'interr',
    'FIRST p50',
    'p95',
    'p99',
    'TOTAL p50',
    'p95',
    'p99',
)


def meets_target(sample: Sample, class_info: dict) -> bool:
    """Return whether an answer was whole and within its class's targets."""
    if sample.outcome != 'completed' or not sample.whole:
        return False
    first_ms = class_info.get('first_token_ms')
    total_ms = class_info.get('total_ms')
    if first_ms and sample.first_token_s * 1000 > first_ms:
        return False
    return not (total_ms and sample.total_s * 1000 > total_ms)


def print_report(
    samples: list[Sample],
    classes: list[dict],
    duration_s: float,
) -> None:
    """Print target attainment, goodput, outcomes and latency by class.

    MET is the fraction of requests that met their targets. Goodput counts the
    tokens per second of these. Latencies are in milliseconds; total latency is
    that of completed requests only.
    """
    grouped = group_samples(samples)
    rows = []
    for class_info in sorted(classes, key=lambda each: each['tier']):
        group = grouped.get(class_info['name'])
        if group:
            rows.append(_make_row(class_info, group, duration_s))
    print_table(_HEADER, rows)


def _make_row(
    class_info: dict, group: list[Sample], duration_s: float
) -> tuple:
    met = [sample for sample in group if meets_target(sample, class_info)]
    outcomes = [sample.outcome for sample in group]
    first_token_times_s = [
        sample.first_token_s
        for sample in group
        if sample.first_token_s is not None
    ]
    total_times_s = [
        sample.total_s for sample in group if sample.outcome == 'completed'
    ]
    return (
        class_info['name'],
        len(group),
        f'{len(met) / len(group):.3f}',
        round(sum(sample.tokens for sample in met) / duration_s),
        outcomes.count('not_run'),
        outcomes.count('unknown'),
        outcomes.count('interrupted'),
        *_compute_percentiles_ms(first_token_times_s),
        *_compute_percentiles_ms(total_times_s),
    )


def _compute_percentiles_ms(seconds: list[float]) -> list[int]:
    """Return the 50th, 95th and 99th percentiles in milliseconds."""
    histogram = make_histogram()
    for each in seconds:
        histogram.record_value(max(1, round(each * 1000)))
    return [
        histogram.get_value_at_percentile(percentile)
        for percentile in (50, 95, 99)
    ]
