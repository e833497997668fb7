"""The command ``bilberryspoke check``."""

import dataclasses
from pathlib import Path

from bilberryspoke._internal.commands.output import print_findings, print_json
from bilberryspoke._internal.commands.registry import ExitCode, command
from bilberryspoke._internal.config.folder import read_folder
from bilberryspoke._internal.config.validation import has_errors


@command('check')
def check_folder(folder: str, json: bool = False) -> int:
    """Check a folder of objects and print all findings at once.

    Findings are printed to standard error, the numbers of objects and of
    findings to standard output. Warnings do not change the exit code.

    Exit codes: 0 no errors, 1 at least one error.

    Example:
        bilberryspoke check examples/maree

    Args:
        folder: folder of JSON-with-comments objects.
        json: print the findings as JSON to standard output instead.
    """
    objects = read_folder(Path(str(folder)))
    if json:
        print_json(
            [dataclasses.asdict(finding) for finding in objects.findings]
        )
    else:
        print_findings(objects.findings)
        count = sum(len(items) for items in objects.items.values())
        print(f'{count} objects, {len(objects.findings)} findings')
    if has_errors(objects.findings):
        return ExitCode.findings
    return ExitCode.ok
