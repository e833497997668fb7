"""``bilberryspoke top``."""

import sys
from collections import defaultdict

from bilberryspoke._internal.commands.fleet import find_urls, read_all
from bilberryspoke._internal.commands.output import print_json, print_table
from bilberryspoke._internal.commands.registry import ExitCode, command
from bilberryspoke._internal.commands.status import (
    NO_ADDRESS,
    exit_code_of,
    report_problems,
)
from bilberryspoke._internal.metrics.histograms import merge_histograms

_QUANTILES = (50, 95, 99)
_GROUPINGS = frozenset(('class', 'workspace'))
_MEASURES = ('first_token', 'total', 'queue')


@command('top')
def show_top(
    admin: str | None = None,
    by: str = 'class',
    json: bool = False,
) -> int:
    """Show latency by class or by workspace, merged over all VMs.

    Times are in milliseconds. Exit codes: 0 all VMs answered, 2 wrong usage,
    3 a VM did not answer.

    Example:
        bilberryspoke top --by workspace

    Args:
        admin: operators' addresses, separated by commas.
        by: class or workspace.
        json: print quantiles as JSON.
    """
    urls = find_urls(admin)
    usage = _find_misuse(urls, by)
    if usage:
        print(usage, file=sys.stderr)
        return ExitCode.usage
    replies = read_all(urls, '/admin/histograms')
    report_problems(replies)
    encoded: dict[tuple[str, str], list[str]] = defaultdict(list)
    for reply in replies:
        for item in (reply.document or {}).get('histograms', ()):
            if item['kind'] == by:
                key = (item['group'], item['measure'])
                encoded[key].append(item['histogram'])
    rows = _summarize(encoded)
    if json:
        print_json(rows)
    else:
        _print_rows(by, rows)
    return exit_code_of(replies)


def _find_misuse(urls: list[str], by: str) -> str:
    if by not in _GROUPINGS:
        return '--by is class or workspace'
    return '' if urls else NO_ADDRESS


def _summarize(encoded: dict[tuple[str, str], list[str]]) -> list[dict]:
    rows = []
    for group in sorted({name for name, _ in encoded}):
        row: dict = {'group': group}
        for measure in _MEASURES:
            texts = encoded.get((group, measure), [])
            merged = merge_histograms(texts)
            count = merged.get_total_count()
            row[measure] = {
                'count': count,
                **{
                    f'p{quantile}': (
                        merged.get_value_at_percentile(quantile)
                        if count
                        else None
                    )
                    for quantile in _QUANTILES
                },
            }
        rows.append(row)
    return rows


def _print_rows(by: str, rows: list[dict]) -> None:
    header = (
        by.upper(),
        'COUNT',
        'FIRST p50',
        'p95',
        'p99',
        'TOTAL p50',
        'p95',
        'p99',
    )
    table = [
        (
            row['group'],
            row['total']['count'],
            *_show(row['first_token']),
            *_show(row['total']),
        )
        for row in rows
    ]
    print_table(header, table)


def _show(summary: dict) -> list:
    return [
        '-' if summary[f'p{quantile}'] is None else summary[f'p{quantile}']
        for quantile in _QUANTILES
    ]
