"""Upstreams of the own interface whose answers have statuses that are none."""

import asyncio

import aiohttp
import pytest

from bilberryspoke._internal.models.effects import OrderModelLoad
from bilberryspoke._internal.models.requests import AttemptStatus
from tests.lib.ownupstream import (
    Answered,
    ScriptedUpstream,
    make_call,
    run_call,
    run_client,
)

ODD_STATUSES = (b'000', b'099', b'101', b'600', b'999')


def make_answer(status, body=b'{"running":1,"waiting":1}'):
    return b'HTTP/1.1 %s Status\r\nContent-Length: %d\r\n\r\n%s' % (
        status,
        len(body),
        body,
    )


def answer_with(status):
    async def answer(received, writer):
        writer.write(make_answer(status))

    return answer


def run_with_upstream(status, ask):
    """Return what ``ask`` gets from a client and the URL of an upstream."""

    async def run():
        async with (
            ScriptedUpstream(answer_with(status)) as upstream,
            run_client() as client,
        ):
            return await ask(client, upstream.url)

    return asyncio.run(run())


@pytest.mark.parametrize('status', ODD_STATUSES)
@pytest.mark.parametrize('stream', [False, True])
def test_attempt_whose_answer_has_a_status_that_is_none_is_broken(
    status, stream
):
    # It was relayed to the caller.
    def ask(client, url):
        return run_call(client, url, 'r1', stream=stream)

    answered = run_with_upstream(status, ask)
    assert answered.result.status is AttemptStatus.broken
    assert f'status {status.decode()}' in answered.result.detail
    assert not answered.status


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_forwarded_call_has_no_status_that_is_none(status):
    async def ask(client, url):
        answered = Answered()
        call = make_call('r1', answered)
        answered.result = await client.forward(call, url)
        return answered

    answered = run_with_upstream(status, ask)
    assert answered.result.status is AttemptStatus.broken
    assert not answered.status


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_load_report_has_no_status_that_is_none(status):
    # Statuses below 400 were those of a report.
    def ask(client, url):
        return client.read_load_report(url, 5.0)

    with pytest.raises(aiohttp.ClientError, match=status.decode()):
        run_with_upstream(status, ask)


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_order_is_not_accepted_by_a_status_that_is_none(status):
    def ask(client, url):
        return client.post_order(url, OrderModelLoad('u', 'm', 1), 5.0)

    assert not run_with_upstream(status, ask)


@pytest.mark.parametrize('status', [b'200', b'404', b'500', b'599'])
def test_answer_with_any_final_status_reaches_its_caller(status):
    # Control.
    def ask(client, url):
        return run_call(client, url, 'r1')

    answered = run_with_upstream(status, ask)
    assert answered.result.status is AttemptStatus.finished
    assert answered.status == int(status)
