"""A short soak of a release beside VMs that are out of step."""

import asyncio
import random

from tests.soak import releases as releases  # Registers the disturbances.
from tests.soak.callers import Attempt
from tests.soak.disturbances import Disturber
from tests.soak.fleet import SoakSize, run_soak_fleet
from tests.soak.streams import count_streams, list_versions
from tests.soak.upstreams import WorkRecord
from tests.soak.verdict import judge

_SECONDS = 6.0
_PER_S = 60
_MEAN_GAP_S = 0.3
# One by which other VMs are killed during the cut.
_SEED = 1


def make_attempts():
    """Return a stream that broke behind its third event and was taken up."""
    first = Attempt('c.0', '/resume/', 'a', False, 0.0, last_event_id=3)
    second = Attempt(
        'c.1',
        '/resume/',
        'b',
        False,
        1.0,
        resumes='c.0',
        resumes_after=3,
        last_event_id=12,
    )
    return [first, second]


def make_run(req_id, version, first, written):
    return WorkRecord(req_id, 'i', 0.0, first > 1, version, first, written)


def test_stream_that_goes_on_at_another_version_has_two_versions():
    runs = {
        'c.0': [make_run('c.0', 'v2', 1, 4)],
        'c.1': [make_run('c.1', 'v1', 4, 12)],
    }
    attempts = make_attempts()
    assert list_versions(attempts, runs) == ['v1', 'v2']
    assert count_streams([attempts], runs, {})['gone on'] == 1


def test_run_whose_events_nobody_has_is_of_no_version():
    runs = {
        'c.0': [make_run('c.0', 'v2', 1, 3)],
        # The router had read none of the first run's events.
        'c.1': [make_run('c.1', 'v1', 4, 6), make_run('c.1', 'v2', 4, 12)],
    }
    assert list_versions(make_attempts(), runs) == ['v2']


def test_streams_taken_up_beside_a_release_hold_one_software_version():
    """At a VM that was cut off they went on at the only version it knew."""

    async def run():
        size = SoakSize(machines=4, app_upstreams=1, engines=3, resuming=0.9)
        async with run_soak_fleet(size, random.Random(_SEED)) as fleet:
            disturber = Disturber(fleet, random.Random(_SEED), ('cut-release',))
            await asyncio.gather(
                fleet.callers.send_calls(_SECONDS, _PER_S),
                disturber.run(_SECONDS, _MEAN_GAP_S),
            )
            await fleet.callers.wait(10)
            return fleet, judge(fleet)

    fleet, verdict = asyncio.run(run())
    assert verdict.mixed_versions == []
    assert verdict.refused == []
    assert verdict.side_by_side == []
    assert verdict.foreign == []
    assert verdict.ended == []
    assert fleet.counts['skew: cut from all'] > 0
    assert verdict.streams['taken up'] > 0
