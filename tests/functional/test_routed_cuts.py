"""Routing processes that are cut off from all upstreams, but nothing else."""

import asyncio
import random

import pytest

from tests.lib.cutfleet import run_cut_fleet
from tests.lib.platformdata import (
    build_config,
    build_route_entries,
    build_route_entry,
)
from tests.lib.routedfleet import list_adopted_versions, wait_until

# From the begin of a cut on callers are served at the other processes' expense.
STABILITY_WINDOW_S = 3.0
CALLS_PER_S = 15
# The share of the others' that calls at cut-off processes are served, at least.
MIN_RELATIVE_SHARE = 2 / 3


# A hundred answers of an upstream that refuses, fails and resets some calls.
FAULTS = ['busy'] * 12 + ['error'] * 10 + ['reset'] * 3 + ['whole'] * 75
ANSWERS = 10_000


def count_served(answers):
    return sum(answer.status == 200 and answer.whole for answer in answers)


def check_served(answers, cut):
    """Check that callers of cut-off processes are served like the others."""
    served = [count_served(each) / len(each) for each in answers]
    others = [share for node, share in enumerate(served) if node not in cut]
    assert min(others) > MIN_RELATIVE_SHARE
    for node in cut:
        assert served[node] >= MIN_RELATIVE_SHARE * min(others)


@pytest.mark.parametrize('cut', [(0,), (0, 1, 2)])
@pytest.mark.parametrize(
    'how',
    ['refuse', 'reset', 'hang', 'accept_and_reset', 'accept_and_hang'],
)
@pytest.mark.parametrize('service', ['app', 'llm'])
def test_callers_of_processes_cut_off_from_upstreams_are_served(
    how, cut, service
):
    """They were refused, while the other processes served all callers."""
    path = '/safe/' if service == 'app' else '/stream/'

    async def run():
        async with run_cut_fleet(nodes=4, service=service) as cuts:
            await cuts.send_calls(1.0, per_s=CALLS_PER_S, prefix='a', path=path)
            cuts.cut(cut, how)
            await cuts.send_calls(
                STABILITY_WINDOW_S, per_s=CALLS_PER_S, prefix='b', path=path
            )
            answers = await cuts.send_calls(
                2.0, per_s=CALLS_PER_S, prefix='c', path=path
            )
            check_served(answers, cut)
            await cuts.mend(cut)
            await asyncio.sleep(STABILITY_WINDOW_S)
            answers = await cuts.send_calls(
                1.0, per_s=CALLS_PER_S, prefix='d', path=path
            )
            check_served(answers, cut)

    asyncio.run(run())


@pytest.mark.parametrize(
    ('nodes', 'path'),
    [(2, '/once/'), (3, '/safe/'), (6, '/once/'), (2, '/stream/')],
)
def test_callers_of_a_cut_off_process_are_served_while_upstreams_fail_calls(
    nodes, path
):
    """A call that an upstream refused kept its helper from all calls."""
    service = 'llm' if path == '/stream/' else 'app'

    async def run():
        async with run_cut_fleet(nodes=nodes, service=service) as cuts:
            draw = random.Random(49)
            faults = FAULTS
            if service == 'llm':
                faults = [each.replace('whole', 'stream') for each in FAULTS]
            for upstream in cuts.upstreams:
                upstream.answers = draw.choices(faults, k=ANSWERS)
            await cuts.send_calls(1.0, per_s=CALLS_PER_S, prefix='a', path=path)
            cuts.cut([0], 'reset')
            await cuts.send_calls(
                STABILITY_WINDOW_S, per_s=CALLS_PER_S, prefix='b', path=path
            )
            answers = await cuts.send_calls(
                6.0, per_s=CALLS_PER_S, prefix='c', path=path
            )
            served = [count_served(each) / len(each) for each in answers]
            others = sum(served[1:]) / (nodes - 1)
            assert served[0] >= MIN_RELATIVE_SHARE * others

    asyncio.run(run())


def test_processes_that_are_all_cut_off_refuse_in_time_as_not_run():
    """Nobody can help, and no caller is kept waiting for it."""

    async def run():
        async with run_cut_fleet(nodes=3) as cuts:
            await cuts.send_calls(0.5, per_s=CALLS_PER_S, prefix='a')
            cuts.cut(range(3), 'reset')
            await asyncio.sleep(1.0)
            answers = await cuts.send_calls(
                1.0, per_s=CALLS_PER_S, prefix='b', path='/once/'
            )
            assert {each.status for sent in answers for each in sent} == {503}

    asyncio.run(run())


def test_call_that_runs_once_is_run_once_through_another_process():
    """A call passed on to another process must not run at a second upstream."""

    async def run():
        async with run_cut_fleet(nodes=3) as cuts:
            await cuts.send_calls(0.5, per_s=CALLS_PER_S, prefix='a')
            cuts.cut([0], 'reset')
            await cuts.send_calls(1.0, per_s=CALLS_PER_S, prefix='b')
            for upstream in cuts.upstreams:
                upstream.answers = ['reset'] * 100
            answers = await cuts.send_calls(
                1.0, per_s=CALLS_PER_S, prefix='c', path='/once/'
            )
            for node, sent in enumerate(answers):
                for number, answer in enumerate(sent):
                    runs = sum(
                        upstream.count_runs(f'c{node}-{number}')
                        for upstream in cuts.upstreams
                    )
                    assert runs <= 1
                    assert not runs or answer.status == 502

    asyncio.run(run())


def test_helper_with_another_kind_of_route_runs_a_call_once():
    # A helper whose routes call the path safe sent a call of the other again.
    async def run():
        async with run_cut_fleet(nodes=2) as cuts:
            # VMs take no routes of an equal version from each other.
            for store, kind in zip(
                cuts.stores, ('non_idempotent', 'safe'), strict=True
            ):
                once = build_route_entry('once', kind, **{'max-attempts': 3})
                others = build_route_entries()[2:]
                routes = [build_route_entry('safe', 'safe'), once, *others]
                store.put('op/config', build_config(3, routes=routes))
            for node in cuts.fleet.nodes:
                await wait_until(
                    lambda node=node: 3 in list_adopted_versions(node)
                )
            for upstream in cuts.upstreams:
                upstream.default = 'reset'
            cuts.cut([0], 'reset')
            await asyncio.sleep(1)
            resp = await cuts.fleet.call('/once/', 'k1', method='POST')
            assert resp.status == 502
            assert sum(each.count_runs('k1') for each in cuts.upstreams) == 1

    asyncio.run(run())


def test_call_whose_caller_left_reaches_no_upstream_once_links_are_back():
    """What a cut held up was delivered seconds after the caller had left."""

    async def run():
        async with run_cut_fleet(nodes=2, upstreams=1) as cuts:
            await cuts.send_calls(0.5, per_s=CALLS_PER_S, prefix='a')
            cuts.cut([0], 'accept_and_hang')
            call = cuts.fleet.call('/safe/', 'left', method='POST')
            task = asyncio.create_task(call)
            await asyncio.sleep(0.3)
            task.cancel()
            await asyncio.sleep(0.3)
            await cuts.mend([0])
            await cuts.send_calls(1.0, per_s=CALLS_PER_S, prefix='b')
            assert not cuts.upstreams[0].count_runs('left')

    asyncio.run(run())
