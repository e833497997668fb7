"""What the end of a handed-off call says, and of whom.

The helper, the VM that the call was handed off to, writes a reason. This is
the one place that says what each means.
"""

from dataclasses import dataclass
from enum import StrEnum

from bilberryspoke._internal.models.routing import NO_ROOM, SendStatus


class EndCause(StrEnum):
    """What a handed-off call ended by, as its helper says.

    ``helper``: the helper can't serve calls of this service now.
    ``upstream``: an upstream that the helper reached did not serve the call.
    ``call``: the call itself, or what is the same at all VMs.
    ``unstated``: the helper said nothing.
    """

    helper = 'helper'
    upstream = 'upstream'
    call = 'call'
    unstated = 'unstated'


@dataclass(frozen=True, slots=True)
class HelperEnd:
    """How the send to a helper ended, and what it ended by.

    Another helper is asked after ``unsent``, none after any other status.
    """

    status: SendStatus
    cause: EndCause


_REACHES_NONE = HelperEnd(SendStatus.unsent, EndCause.helper)
_NOT_FOR_THIS_CALL = HelperEnd(SendStatus.unsent, EndCause.call)
_FINAL = HelperEnd(SendStatus.refused, EndCause.call)
_REFUSED_THERE = HelperEnd(SendStatus.refused, EndCause.upstream)
# By the reason of a refusal of a call that did not run. Helpers of other
# versions may write others: these count as said of the helper.
_NOT_RUN_ENDS = {
    'upstream_refused': _REFUSED_THERE,
    'upstream_misdirected': _REFUSED_THERE,
    NO_ROOM: _FINAL,
    'crashes_upstreams': _FINAL,
    'timeout': _FINAL,
    'origin_unknown': _NOT_FOR_THIS_CALL,
    'no_route': _NOT_FOR_THIS_CALL,
    'unknown_key': _NOT_FOR_THIS_CALL,
    'malformed_request_id': _NOT_FOR_THIS_CALL,
    'body_too_slow': _NOT_FOR_THIS_CALL,
    'body_too_large': _NOT_FOR_THIS_CALL,
}
_TIMEOUT = 'timeout'


def judge_not_run(reason: str) -> HelperEnd:
    """Return how a call ended that its helper says did not run."""
    return _NOT_RUN_ENDS.get(reason, _REACHES_NONE)


def judge_may_have_run(reason: str) -> HelperEnd:
    """Return how a call ended that its helper sent to an upstream in vain."""
    cause = EndCause.call if reason == _TIMEOUT else EndCause.upstream
    return HelperEnd(SendStatus.broken, cause)
