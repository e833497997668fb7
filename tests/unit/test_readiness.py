"""Readiness of a daemon of the project's own interface after its start."""

from types import SimpleNamespace

import pytest

from bilberryspoke._internal.core import Core, CoreSettings
from bilberryspoke._internal.core.membership import Member
from bilberryspoke._internal.models.events import CatalogOffered, VmsListed
from bilberryspoke._internal.network.clock import read_boottime
from bilberryspoke._internal.network.health import get_unready_reason
from tests.lib.builders import build_catalog, build_class


@pytest.fixture
def runtime():
    """Return a daemon that has just started and read a configuration."""
    core = Core(CoreSettings('vm-1', 'levis', 1))
    catalog = build_catalog(build_class('top', 1))
    core.handle(CatalogOffered(catalog, b''), now=read_boottime())
    return SimpleNamespace(core=core, started_at=read_boottime())


def add_live_peer(runtime, revision):
    membership = runtime.core.state.membership
    now = read_boottime()
    membership.members['vm-2'] = Member(
        'vm-2', last_heard_at=now, last_acknowledged_at=now, revision=revision
    )


def test_daemon_is_not_ready_before_it_knows_who_its_peers_are(runtime):
    """It was ready with an older configuration until the first heartbeat."""
    assert get_unready_reason(runtime) == 'joining'
    runtime.core.handle(VmsListed((), 0), now=read_boottime())
    assert not get_unready_reason(runtime)


def test_daemon_is_not_ready_with_an_older_configuration_than_a_peer(runtime):
    runtime.core.handle(VmsListed((), 0), now=read_boottime())
    revision = runtime.core.state.catalog.revision
    add_live_peer(runtime, revision + 1)
    assert 'newer configuration' in get_unready_reason(runtime)
    add_live_peer(runtime, revision)
    assert not get_unready_reason(runtime)


def test_daemon_without_answers_of_its_peers_serves_after_a_while(runtime):
    runtime.started_at -= 2
    assert not get_unready_reason(runtime)
