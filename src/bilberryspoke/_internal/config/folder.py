"""Reading of a folder of operator objects."""

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

    A file holds one object or a list of objects.
    """
    findings: list[Finding] = []
    raw_objects: list[RawObject] = []
    if not folder.is_dir():
        return _refuse(folder, 'no such folder')
    paths = sorted(
        path for path in folder.rglob('*') if path.suffix in _SUFFIXES
    )
    if not paths:
        return _refuse(folder, 'holds no .json, .jsonc or .json5 file')
    for path in paths:
        found = read_jsonc(path)
        if found.is_error():
            findings.append(found.error)
        else:
            raw_objects.extend(_split(path, found.ok))
    objects = validate_objects(raw_objects)
    objects.findings = findings + objects.findings
    return objects


def _split(path: Path, document: object) -> list[RawObject]:
    if isinstance(document, list):
        return [
            RawObject(str(path), f'[{index}]', raw)
            for index, raw in enumerate(document)
        ]
    return [RawObject(str(path), '', document)]


def _refuse(folder: Path, message: str) -> ObjectSet:
    return ObjectSet(findings=[Finding(str(folder), '', message)])
