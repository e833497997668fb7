"""Entry point of the command-line tool ``bilberryspoke``."""

import functools
import sys
from collections.abc import Callable
from typing import Any

import fire

from bilberryspoke import __version__
from bilberryspoke._internal import commands
from bilberryspoke._internal.commands.registry import (
    Command,
    ExitCode,
    list_commands,
)


def main() -> None:
    """Run one command and exit with its code.

    Exit codes of all commands: 0 done, 1 findings, 2 wrong usage, 3 a VM or
    the platform did not answer, 4 not found.
    """
    if sys.argv[1:] == ['--version']:
        print(__version__)
        sys.exit(ExitCode.ok)
    exiting = {
        name: _exit_with_code(function)
        for name, function in list_commands().items()
    }
    fire.Fire(exiting, name='bilberryspoke')


def _exit_with_code(function: Command) -> Callable[..., Any]:
    @functools.wraps(function)
    def run(*args: Any, **kwargs: Any) -> None:
        sys.exit(function(*args, **kwargs))

    return run


__all__ = ('commands', 'main')
