"""Parts of answers that are held back, of all calls of a VM together."""

from bilberryspoke._internal.network.routing.exchange import Exchange

# Answers up to this size are relayed only once they are complete, so that the
# call can be sent again if its connection breaks.
_MAX_ANSWER_BYTES = 1_048_576
# All of them together; a VM has 150 MB in all.
_MAX_TOTAL_BYTES = 8_388_608
# Held back in any case: nearly all answers are shorter.
_SMALL_ANSWER_BYTES = 16_384


class HeldBytes:
    """Counts the bytes that calls hold back and bounds their sum."""

    def __init__(self) -> None:
        """Create without any call."""
        self._counts: dict[str, int] = {}
        self._total = 0

    def hold(self, exchange: Exchange, count: int) -> bool:
        """Note how much of a call's answer is held back now, in bytes.

        Returns whether it may be held back until more of the answer arrives.
        """
        kept = 0 if exchange.held is None else len(exchange.held.body)
        self._set(exchange.call.call_id, kept + count)
        if count <= _SMALL_ANSWER_BYTES:
            return True
        return count <= _MAX_ANSWER_BYTES and self._total <= _MAX_TOTAL_BYTES

    def release(self, call_id: str) -> None:
        """Note that a call has ended."""
        self._set(call_id, 0)

    def _set(self, call_id: str, count: int) -> None:
        self._total += count - self._counts.pop(call_id, 0)
        if count:
            self._counts[call_id] = count
