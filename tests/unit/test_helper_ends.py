"""What a VM concludes from the end of a call that it handed off."""

import dataclasses

import pytest

from bilberryspoke._internal.core.routing.helpermemory import HelperMemory
from bilberryspoke._internal.models.helperends import EndCause
from bilberryspoke._internal.models.routing import (
    NOT_RUN_SEND_STATUSES,
    SendStatus,
)
from bilberryspoke._internal.models.routing_effects import HandOff
from bilberryspoke._internal.models.routing_events import CallArrived, SendEnded
from bilberryspoke._internal.network.routing.answerheads import (
    AnswerHead,
    judge_head,
)
from bilberryspoke._internal.network.routing.handoff import (
    drop_handoff_headers,
    make_limit_headers,
    make_reason_header,
    parse_counted,
    parse_max_attempts,
)
from bilberryspoke._internal.platform.responseheaders import (
    parse_response_headers,
)
from tests.lib.cutcores import CutCores
from tests.lib.routedcore import READ_ROUTE, RUN_ONCE_ROUTE, build_call

HANDOFF = HandOff('c', 1, 'vm-1', 'vm-1:1', deadline_at=6, max_attempts=2)


def judge(status, *headers):
    """Return how a VM takes an answer of its helper."""
    raw = list(headers)
    headers = parse_response_headers(status, raw)
    head = AnswerHead(status, raw, headers, is_joined=False)
    return judge_head(build_call('c', READ_ROUTE), HANDOFF, head)


@pytest.mark.parametrize(
    ('reason', 'status', 'cause'),
    [
        ('upstream_refused', SendStatus.refused, EndCause.upstream),
        ('upstream_misdirected', SendStatus.refused, EndCause.upstream),
        ('no_room', SendStatus.refused, EndCause.call),
        ('crashes_upstreams', SendStatus.refused, EndCause.call),
        ('no_upstream', SendStatus.unsent, EndCause.helper),
        ('upstream_unsent', SendStatus.unsent, EndCause.helper),
        ('stopping', SendStatus.unsent, EndCause.helper),
        ('no_route', SendStatus.unsent, EndCause.call),
        ('unknown_key', SendStatus.unsent, EndCause.call),
        ('of a later version', SendStatus.unsent, EndCause.helper),
    ],
)
def test_refusal_of_a_helper_says_what_it_is_about(reason, status, cause):
    """Each refusal was taken for a helper that reaches no upstream."""
    result = judge(503, make_reason_header(reason, not_run=True))
    assert (result.status, result.cause) == (status, cause)
    assert result.status in NOT_RUN_SEND_STATUSES


@pytest.mark.parametrize(
    ('status', 'reason', 'cause'),
    [
        (502, 'upstream_broken', EndCause.upstream),
        (502, 'upstream_refused', EndCause.upstream),
        (504, 'timeout', EndCause.call),
    ],
)
def test_call_that_may_have_run_at_a_helper_promises_nothing(
    status, reason, cause
):
    """The helper says of whom it speaks; the call is not sent again."""
    result = judge(status, make_reason_header(reason, not_run=False))
    assert (result.status, result.cause) == (SendStatus.broken, cause)


def test_answer_without_a_reason_promises_nothing_and_says_nothing():
    """VMs of before write none to a 502."""
    result = judge(502)
    assert (result.status, result.cause) == (
        SendStatus.broken,
        EndCause.unstated,
    )


def hand_off_and_end(status, cause, route=READ_ROUTE):
    """Hand a call off, end it there; return its VM and the effects."""
    fleet = CutCores(3, warm_up_s=13.0)
    fleet.cut = {'vm-0'}
    for number in range(4):
        fleet.arrive('vm-0', f'before-{number}')
    fleet.run_until(fleet.now + 1.0)
    memory = HelperMemory()
    fleet.cores['vm-0'].state.routing.helpers['app'] = memory
    call = build_call('c', route, now=fleet.now)
    effects = fleet.cores['vm-0'].handle(CallArrived(call), now=fleet.now)
    first = next(each for each in effects if isinstance(each, HandOff))
    ended = SendEnded('c', first.attempt, status, cause=cause)
    effects = fleet.cores['vm-0'].handle(ended, now=fleet.now)
    again = [each for each in effects if isinstance(each, HandOff)]
    return memory.list_failed(fleet.now), again


@pytest.mark.parametrize(
    ('status', 'cause'),
    [
        (SendStatus.refused, EndCause.upstream),
        (SendStatus.refused, EndCause.call),
        (SendStatus.broken, EndCause.upstream),
        (SendStatus.broken, EndCause.call),
        (SendStatus.failed, EndCause.unstated),
    ],
)
def test_helper_whose_upstream_did_not_serve_a_call_stays_a_helper(
    status, cause
):
    """It was left out for five seconds."""
    failed, again = hand_off_and_end(status, cause)
    assert not failed
    assert not again


@pytest.mark.parametrize(
    ('status', 'cause', 'asks_another'),
    [
        (SendStatus.unsent, EndCause.helper, True),
        (SendStatus.unsent, EndCause.unstated, True),
        (SendStatus.broken, EndCause.unstated, False),
    ],
)
def test_helper_that_could_not_help_is_left_out(status, cause, asks_another):
    """Another is asked if the call certainly did not run."""
    failed, again = hand_off_and_end(status, cause)
    assert len(failed) == 1
    assert bool(again) == asks_another


def test_call_that_no_helper_takes_says_nothing_of_the_first_helper():
    """Its key or route is not known there; the calls of others are."""
    failed, again = hand_off_and_end(SendStatus.unsent, EndCause.call)
    assert not failed
    assert again


@pytest.mark.parametrize(
    ('max_attempts', 'cause', 'is_sent_again'),
    [
        (1, EndCause.upstream, False),
        (3, EndCause.upstream, True),
        (3, EndCause.call, False),
    ],
)
def test_call_that_runs_once_is_sent_again_after_an_upstream_refused_it(
    max_attempts, cause, is_sent_again
):
    """Its helper may send it to one upstream; the other VM has the budget."""
    route = dataclasses.replace(RUN_ONCE_ROUTE, max_attempts=max_attempts)
    _, again = hand_off_and_end(SendStatus.refused, cause, route)
    assert bool(again) == is_sent_again
    assert all(each.max_attempts == 1 for each in again)


@pytest.mark.parametrize('counted', [True, False])
def test_helper_learns_whether_a_call_counts_for_the_retry_budget(counted):
    """What VMs say to each other does not come from callers."""
    headers = make_limit_headers(2, counted=counted)
    assert parse_counted(headers) == counted
    assert parse_max_attempts(headers, 3) == 2
    assert not drop_handoff_headers(headers)


def test_call_of_a_vm_of_before_counts_there():
    """Such VMs count all calls that they hand off, and do not say so."""
    assert parse_counted([(b'bilberryspoke-max-attempts', b'2')])
