"""Reading of operator objects from a folder."""

from pathlib import Path

from bilberryspoke._internal.config.jsonc import read_jsonc
from bilberryspoke._internal.config.validation import (
    ObjectSet,
    RawObject,
    validate_objects,
)
from bilberryspoke._internal.models.findings import Finding

_SUFFIXES = frozenset(('.json', '.jsonc', '.json5'))


def read_folder(folder: Path) -> ObjectSet:
    """Read and check all objects of a folder and its subfolders.

    A file holds one object or a list of objects. Findings, also those about
    the folder and about unreadable files, are in the result.
    """
    findings: list[Finding] = []
    raw_objects: list[RawObject] = []
    if not folder.is_dir():
        return _make_failed_set(
            folder, 'expected a folder, the path is missing or not a folder'
        )
    paths = sorted(
        path for path in folder.rglob('*') if path.suffix in _SUFFIXES
    )
    if not paths:
        return _make_failed_set(
            folder, 'expected a .json, .jsonc or .json5 file in it, found none'
        )
    for path in paths:
        parsed = read_jsonc(path)
        if parsed.is_error():
            findings.append(parsed.error)
        else:
            raw_objects.extend(_list_raw_objects(path, parsed.ok))
    objects = validate_objects(raw_objects)
    objects.findings = findings + objects.findings
    return objects


def _list_raw_objects(path: Path, document: object) -> list[RawObject]:
    if isinstance(document, list):
        return [
            RawObject(str(path), f'[{index}]', raw)
            for index, raw in enumerate(document)
        ]
    return [RawObject(str(path), '', document)]


def _make_failed_set(folder: Path, message: str) -> ObjectSet:
    return ObjectSet(findings=[Finding(str(folder), '', message)])
