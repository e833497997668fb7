"""Bytes that the answers of all calls hold back together."""

from types import SimpleNamespace

from bilberryspoke._internal.network.routing.holding import HeldBytes

_LARGE = 1_000_000
_SMALL = 1000


def make_exchange(number, kept=None):
    """Return what counts of a call's exchange."""
    held = None if kept is None else SimpleNamespace(body=bytes(kept))
    return SimpleNamespace(
        call=SimpleNamespace(call_id=f'c{number}'), held=held
    )


def fill(held):
    """Hold back as much as fits; return the calls."""
    calls = [make_exchange(0)]
    while held.hold(calls[-1], _LARGE):
        calls.append(make_exchange(len(calls)))
        assert len(calls) < 100
    return calls


def test_only_short_answers_are_held_back_beyond_the_sum():
    # Many answers, each below its limit, filled the memory of a VM.
    held = HeldBytes()
    calls = fill(held)
    other = make_exchange('other')
    assert not held.hold(other, _LARGE)
    assert held.hold(other, _SMALL)
    held.release(calls[0].call.call_id)
    held.release(calls[1].call.call_id)
    assert held.hold(other, _LARGE)


def test_kept_failure_counts_until_its_call_ends():
    # A failure that waits for another upstream was left out of the sum.
    held = HeldBytes()
    calls = fill(held)
    for number, _ in enumerate(calls):
        held.hold(make_exchange(number, kept=_LARGE), 0)
    assert not held.hold(make_exchange('other'), _LARGE)
    for call in calls:
        held.release(call.call.call_id)
    assert fill(held)[1:] != []
