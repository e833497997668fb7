"""Commands of the command-line tool ``bilberryspoke``, one module each.

Importing this package registers every command in ``commands.registry``.
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
