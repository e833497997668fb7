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
    """Run the command given on the command line; exit with its exit code.

    Exit codes of all commands: 0 done, 1 the objects have errors, 2 wrong
    usage, 3 a VM did not answer, 4 not found.
    """
    if sys.argv[1:] == ['--version']:
        print(__version__)
        sys.exit(ExitCode.ok)
    exiting_commands = {
        name: _exit_with_code(function)
        for name, function in list_commands().items()
    }
    fire.Fire(exiting_commands, name='bilberryspoke')


def _exit_with_code(function: Command) -> Callable[..., Any]:
    @functools.wraps(function)
    def run(*args: Any, **kwargs: Any) -> None:
        sys.exit(function(*args, **kwargs))

    return run


__all__ = ('commands', 'main')
