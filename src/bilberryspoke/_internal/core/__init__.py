"""Decision core of a VM: a reducer from events to effects.

It does no I/O and uses neither a clock nor random numbers. Importing this
package registers all handlers and sharing policies.
"""

from bilberryspoke._internal.core import (
    configuration,
    entry,
    heartbeats,
    maintenance,
    owner,
)
from bilberryspoke._internal.core.operations import handlers
from bilberryspoke._internal.core.policies import immediate, queued
from bilberryspoke._internal.core.reducer import Core
from bilberryspoke._internal.core.routing import (
    discovery,
    lifecycle,
    originanswers,
    peers,
    ratelimits,
)
from bilberryspoke._internal.core.state import CoreSettings

__all__ = (
    'Core',
    'CoreSettings',
    'configuration',
    'discovery',
    'entry',
    'handlers',
    'heartbeats',
    'immediate',
    'lifecycle',
    'originanswers',
    'owner',
    'peers',
    'queued',
    'maintenance',
    'ratelimits',
)
