"""Answers of the own interface whose connection is reset before their end."""

import asyncio
import socket
import struct

import pytest

from bilberryspoke._internal.models.requests import AttemptStatus
from tests.lib.ownupstream import (
    PAUSE_S,
    ScriptedUpstream,
    run_call,
    run_client,
)

_LINGER_ZERO = struct.pack('ii', 1, 0)
_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


def _reset(writer):
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


@pytest.mark.parametrize('body', [b'', b'half of'])
def test_answer_without_length_is_not_whole_after_a_reset(body):
    # The reset counted as the end of the answer.
    async def run():
        async def answer(received, writer):
            writer.write(_HEAD + body)
            await asyncio.sleep(PAUSE_S)
            _reset(writer)

        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            answered = await run_call(client, upstream.url, 'r1')
        assert answered.result.status is AttemptStatus.broken
        assert not answered.status

    asyncio.run(run())


def test_answer_without_length_is_whole_after_a_close():
    # Control: such an answer ends with its connection.
    async def run():
        async def answer(received, writer):
            writer.write(_HEAD + b'whole')
            await asyncio.sleep(PAUSE_S)
            writer.close()

        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            answered = await run_call(client, upstream.url, 'r1')
        assert answered.result.status is AttemptStatus.finished
        assert answered.body == b'whole'

    asyncio.run(run())


@pytest.mark.parametrize('body', [b'', b'half of'])
def test_answer_without_length_is_not_whole_after_a_crash(body):
    # The kernel closes the connections of a process that ends.
    async def run():
        async def answer(received, writer):
            writer.write(_HEAD + body)
            await asyncio.sleep(PAUSE_S)
            upstream.stop_listening()
            writer.close()

        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            answered = await run_call(client, upstream.url, 'r1')
        assert answered.result.status is AttemptStatus.broken
        assert not answered.status

    asyncio.run(run())
