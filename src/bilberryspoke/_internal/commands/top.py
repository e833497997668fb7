"""The command ``bilberryspoke top``."""

import sys
from collections import defaultdict

from bilberryspoke._internal.commands.adminclient import (
    fetch_all,
    resolve_admin_urls,
)
from bilberryspoke._internal.commands.output import print_json, print_table
from bilberryspoke._internal.commands.registry import ExitCode, command
from bilberryspoke._internal.commands.status import (
    NO_ADMIN_ADDRESS,
    choose_exit_code,
    print_problems,
)
from bilberryspoke._internal.metrics.histograms import merge_histograms

_PERCENTILES = (50, 95, 99)
_GROUP_KINDS = frozenset(('class', 'workspace'))
_MEASURES = ('first_token', 'total', 'queue')


@command('top')
def show_top(
    admin: str | None = None,
    by: str = 'class',
    json: bool = False,
) -> int:
    """Show latency percentiles by class or by workspace.

    The histograms of all VMs that answered are merged. The table shows the
    time to the first token and the total time, in milliseconds.

    Exit codes: 0 all VMs answered, 2 no admin address given or wrong --by,
    3 a VM did not answer.

    Example:
        bilberryspoke top --by workspace

    Args:
        admin: admin addresses of the VMs, separated by commas; by default
            those in the environment variable BILBERRYSPOKE_ADMIN.
        by: what to group by: class or workspace.
        json: print counts and percentiles as JSON, also of the time in the
            queue.
    """
    urls = resolve_admin_urls(admin)
    usage = _describe_usage_error(urls, by)
    if usage:
        print(usage, file=sys.stderr)
        return ExitCode.usage
    replies = fetch_all(urls, '/admin/histograms')
    print_problems(replies)
    encoded_by_key: dict[tuple[str, str], list[str]] = defaultdict(list)
    for reply in replies:
        for item in (reply.document or {}).get('histograms', ()):
            if item['kind'] == by:
                key = (item['group'], item['measure'])
                encoded_by_key[key].append(item['histogram'])
    rows = _summarize_histograms(encoded_by_key)
    if json:
        print_json(rows)
    else:
        _print_rows(by, rows)
    return choose_exit_code(replies)


def _describe_usage_error(urls: list[str], by: str) -> str:
    if by not in _GROUP_KINDS:
        return '--by must be class or workspace'
    return '' if urls else NO_ADMIN_ADDRESS


def _summarize_histograms(
    encoded_by_key: dict[tuple[str, str], list[str]],
) -> list[dict]:
    rows = []
    for group in sorted({name for name, _ in encoded_by_key}):
        row: dict = {'group': group}
        for measure in _MEASURES:
            encoded_histograms = encoded_by_key.get((group, measure), [])
            merged = merge_histograms(encoded_histograms)
            count = merged.get_total_count()
            row[measure] = {
                'count': count,
                **{
                    f'p{percentile}': (
                        merged.get_value_at_percentile(percentile)
                        if count
                        else None
                    )
                    for percentile in _PERCENTILES
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
            *_format_percentiles(row['first_token']),
            *_format_percentiles(row['total']),
        )
        for row in rows
    ]
    print_table(header, table)


def _format_percentiles(summary: dict) -> list:
    return [
        '-' if summary[f'p{percentile}'] is None else summary[f'p{percentile}']
        for percentile in _PERCENTILES
    ]
