"""``bilberryspoke diff``."""

from pathlib import Path
from typing import Any

from bilberryspoke._internal.commands.output import print_findings, print_json
from bilberryspoke._internal.commands.registry import ExitCode, command
from bilberryspoke._internal.config.folder import read_folder
from bilberryspoke._internal.config.validation import ObjectSet, has_errors


@command('diff')
def compare_folders(before: str, after: str, json: bool = False) -> int:
    """Show which objects differ between two folders, field by field.

    Exit codes: 0 compared, 1 a folder has errors.

    Example:
        bilberryspoke diff published/ edited/

    Args:
        before: folder of objects.
        after: folder of objects.
        json: print the differences as JSON.
    """
    sets = [read_folder(Path(str(folder))) for folder in (before, after)]
    broken = [each for each in sets if has_errors(each.findings)]
    for each in broken:
        print_findings(each.findings)
    if broken:
        return ExitCode.findings
    changes = list_changes(_flatten(sets[0]), _flatten(sets[1]))
    if json:
        print_json(changes)
        return ExitCode.ok
    for change in changes:
        print(_render(change))
    print(f'{len(changes)} differences')
    return ExitCode.ok


def list_changes(
    before: dict[str, dict[str, Any]],
    after: dict[str, dict[str, Any]],
) -> list[dict[str, Any]]:
    """Return additions, removals and changed fields in order of name."""
    changes: list[dict[str, Any]] = []
    for label in sorted(before.keys() | after.keys()):
        if label not in before:
            changes.append({'object': label, 'change': 'added'})
        elif label not in after:
            changes.append({'object': label, 'change': 'removed'})
        else:
            changes.extend(_list_fields(label, before[label], after[label]))
    return changes


def _list_fields(
    label: str,
    before: dict[str, Any],
    after: dict[str, Any],
) -> list[dict[str, Any]]:
    return [
        {
            'object': label,
            'change': 'changed',
            'field': name,
            'before': before.get(name),
            'after': after.get(name),
        }
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    ]


def _flatten(objects: ObjectSet) -> dict[str, dict[str, Any]]:
    return {
        f'{kind}/{name}': item.model_dump(mode='json', by_alias=True)
        for kind, items in objects.items.items()
        for name, item in items.items()
    }


def _render(change: dict[str, Any]) -> str:
    if change['change'] == 'added':
        return f'+ {change["object"]}'
    if change['change'] == 'removed':
        return f'- {change["object"]}'
    place = f'{change["object"]}.{change["field"]}'
    return f'~ {place}: {change["before"]!r} -> {change["after"]!r}'
