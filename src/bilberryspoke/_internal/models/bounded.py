"""Types of fields of messages whose values have limits."""

from typing import Annotated

import msgspec

# Decoding a message with a value beyond these limits raises
# ``msgspec.ValidationError``. A ``Duration`` is in seconds, a ``BoundedCount``
# a number of things,
# a ``BoundedRate`` a number per second.
_MAX_DURATION_S = 1e7
_MAX_COUNT = 10**9
BoundedRate = Annotated[float, msgspec.Meta(ge=0, le=_MAX_COUNT)]
Duration = Annotated[float, msgspec.Meta(ge=0, le=_MAX_DURATION_S)]
BoundedCount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
