"""The command ``bilberryspoke bundle``."""

import time
from pathlib import Path

from bilberryspoke._internal.commands.output import print_findings, print_json
from bilberryspoke._internal.commands.registry import ExitCode, command
from bilberryspoke._internal.config.bundles import (
    MANIFEST_NAME,
    load_bundle,
    make_bundle,
)
from bilberryspoke._internal.config.folder import read_folder
from bilberryspoke._internal.config.validation import has_errors


@command('bundle')
def write_bundle(
    folder: str,
    out: str,
    revision: int | None = None,
    json: bool = False,
) -> int:
    """Write a folder of objects as a bundle: a manifest and its values.

    Each value is a file named by its SHA-256 digest. To publish the bundle,
    write all values first and the manifest last: the single write of the
    manifest puts the whole change in force. The revision must be higher than
    the one in force. Findings are printed to standard error.

    Exit codes: 0 written, 1 the objects have errors, 2 the revision is not a
    whole number of at least 1.

    Example:
        bilberryspoke bundle examples/maree --out /tmp/bundle

    Args:
        folder: folder of JSON-with-comments objects.
        out: folder to write the manifest and the values to; created if
            missing.
        revision: revision number, at least 1; by default the current Unix
            time in milliseconds.
        json: print revision, digest, values and folder as JSON.
    """
    objects = read_folder(Path(str(folder)))
    print_findings(objects.findings)
    if has_errors(objects.findings):
        return ExitCode.findings
    revision_number = (
        time.time_ns() // 1_000_000 if revision is None else revision
    )
    if not isinstance(revision_number, int) or revision_number < 1:
        print('--revision must be a whole number of at least 1')
        return ExitCode.usage
    bundle = make_bundle(objects, revision_number)
    load_result = load_bundle(bundle)
    if load_result.is_error():
        print_findings(load_result.error)
        return ExitCode.findings
    out_folder = Path(str(out))
    out_folder.mkdir(parents=True, exist_ok=True)
    for digest, value in bundle.values.items():
        (out_folder / digest).write_bytes(value)
    (out_folder / MANIFEST_NAME).write_bytes(bundle.manifest)
    summary = {
        'revision': revision_number,
        'digest': bundle.digest,
        'values': list(bundle.values),
        'out': str(out_folder),
    }
    if json:
        print_json(summary)
    else:
        print(f'revision {revision_number}, digest {bundle.digest}')
        print(f'manifest and values ({len(bundle.values)}) in {out_folder}')
    return ExitCode.ok
