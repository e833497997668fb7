"""Delays after very many failures in a row."""

from bilberryspoke._internal.core.routing.crashes import get_next_trial_at
from bilberryspoke._internal.core.routing.crashledger import Block
from bilberryspoke._internal.core.routing.passivehealth import PassiveHealth

_MANY = 5000


def test_upstream_out_of_reach_for_long_is_probed_again():
    # The delay overflowed after 1,024 failures, and no probe followed.
    health = PassiveHealth()
    for failure in range(_MANY):
        health.record_unreachable(now=float(failure))
    assert _MANY - 1 < health.probe_at <= _MANY + 2


def test_block_of_many_trials_has_a_next_one():
    # A number of trials that another VM told of overflowed the delay.
    block = Block(crashed_at=10.0, trials=_MANY)
    assert 10 < get_next_trial_at(block) < 10_000
