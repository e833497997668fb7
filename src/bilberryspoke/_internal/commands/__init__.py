"""Commands of the command-line tool, one module each.

Importing this package registers all commands.
"""

from bilberryspoke._internal.commands import (
    bundle,
    check,
    diff,
    explain,
    status,
    top,
)

__all__ = ('bundle', 'check', 'diff', 'explain', 'status', 'top')
