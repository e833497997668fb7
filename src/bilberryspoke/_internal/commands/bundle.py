"""``bilberryspoke bundle``."""

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
    """Write the values that publish a folder of objects.

    Publish every value named by a digest first and the manifest last: the
    single write of the manifest puts the whole change in force. The revision
    must be higher than the one in force.

    Exit codes: 0 written, 1 the objects have errors, 2 wrong usage.

    Example:
        bilberryspoke bundle examples/maree --out /tmp/bundle

    Args:
        folder: folder of JSON-with-comments objects.
        out: folder to write the values to.
        revision: revision number; by default milliseconds of the clock.
        json: print what was written as JSON.
    """
    objects = read_folder(Path(str(folder)))
    print_findings(objects.findings)
    if has_errors(objects.findings):
        return ExitCode.findings
    number = time.time_ns() // 1_000_000 if revision is None else revision
    if not isinstance(number, int) or number < 1:
        print('--revision must be a whole number of at least 1')
        return ExitCode.usage
    bundle = make_bundle(objects, number)
    loaded = load_bundle(bundle)
    if loaded.is_error():
        print_findings(loaded.error)
        return ExitCode.findings
    target = Path(str(out))
    target.mkdir(parents=True, exist_ok=True)
    for digest, raw in bundle.values.items():
        (target / digest).write_bytes(raw)
    (target / MANIFEST_NAME).write_bytes(bundle.manifest)
    written = {
        'revision': number,
        'digest': bundle.digest,
        'values': list(bundle.values),
        'out': str(target),
    }
    if json:
        print_json(written)
    else:
        print(f'revision {number}, digest {bundle.digest}')
        print(f'manifest and values ({len(bundle.values)}) in {target}')
    return ExitCode.ok
