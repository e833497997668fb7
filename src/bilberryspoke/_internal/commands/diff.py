"""The command ``bilberryspoke diff``."""

from pathlib import Path
from typing import Any

from bilberryspoke._internal.commands.output import print_findings, print_json
from bilberryspoke._internal.commands.registry import ExitCode, command
from bilberryspoke._internal.config.folder import read_folder
from bilberryspoke._internal.config.validation import ObjectSet, has_errors


@command('diff')
def compare_folders(before: str, after: str, json: bool = False) -> int:
    """Show the differences between two folders of objects, field by field.

    A line starts with + for an added object, - for a removed object and ~
    for a changed field. Findings are printed to standard error.

    Exit codes: 0 compared, with or without differences, 1 the objects of a
    folder have errors.

    Example:
        bilberryspoke diff published/ edited/

    Args:
        before: folder of JSON-with-comments objects to compare from.
        after: folder of JSON-with-comments objects to compare to.
        json: print the differences as JSON.
    """
    object_sets = [read_folder(Path(str(folder))) for folder in (before, after)]
    broken = [
        object_set
        for object_set in object_sets
        if has_errors(object_set.findings)
    ]
    for object_set in broken:
        print_findings(object_set.findings)
    if broken:
        return ExitCode.findings
    changes = list_changes(
        _dump_by_label(object_sets[0]), _dump_by_label(object_sets[1])
    )
    if json:
        print_json(changes)
        return ExitCode.ok
    for change in changes:
        print(_format_change(change))
    print(f'{len(changes)} differences')
    return ExitCode.ok


def list_changes(
    before: dict[str, dict[str, Any]],
    after: dict[str, dict[str, Any]],
) -> list[dict[str, Any]]:
    """Return added and removed objects and changed fields, sorted by name.

    ``before`` and ``after`` map ``kind/name`` to the fields of an object. A
    change has the keys ``object`` and ``change`` (``added``, ``removed`` or
    ``changed``); a changed field also has ``field``, ``before`` and
    ``after``.
    """
    changes: list[dict[str, Any]] = []
    for label in sorted(before.keys() | after.keys()):
        if label not in before:
            changes.append({'object': label, 'change': 'added'})
        elif label not in after:
            changes.append({'object': label, 'change': 'removed'})
        else:
            changes.extend(
                _list_changed_fields(label, before[label], after[label])
            )
    return changes


def _list_changed_fields(
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


def _dump_by_label(objects: ObjectSet) -> dict[str, dict[str, Any]]:
    return {
        f'{kind}/{name}': item.model_dump(mode='json', by_alias=True)
        for kind, items in objects.items.items()
        for name, item in items.items()
    }


def _format_change(change: dict[str, Any]) -> str:
    if change['change'] == 'added':
        return f'+ {change["object"]}'
    if change['change'] == 'removed':
        return f'- {change["object"]}'
    field_path = f'{change["object"]}.{change["field"]}'
    return f'~ {field_path}: {change["before"]!r} -> {change["after"]!r}'
