"""Registry of the commands of ``bilberryspoke`` and their exit codes."""

from collections.abc import Callable
from enum import IntEnum

Command = Callable[..., int]
_COMMANDS: dict[str, Command] = {}


class ExitCode(IntEnum):
    """Exit codes of the command-line tool.

    ``findings``: the objects have errors; ``usage``: wrong arguments;
    ``unreachable``: a VM did not answer.
    """

    ok = 0
    findings = 1
    usage = 2
    unreachable = 3
    not_found = 4


def command(name: str) -> Callable[[Command], Command]:
    """Return a decorator that registers a function as a command.

    The function returns the exit code; its docstring is the help text.
    """

    def register(function: Command) -> Command:
        _COMMANDS[name] = function
        return function

    return register


def list_commands() -> dict[str, Command]:
    """Return all commands by name."""
    return dict(_COMMANDS)
