"""Answers with headers that the server of the callers does not write."""

import asyncio

import pytest

from fakes.stuttercases import make_framed, register_pieces
from tests.functional.test_routed_odd_statuses import (
    call_scripted,
    find_line,
)
from tests.lib.routedfleet import run_routed_fleet

# Control characters that no header may have; the others end a line.
_CONTROLS = ('\x01', '\x08', '\x1f', '\x7f')


def register_header(text):
    """Register sealed answers with a header of this text."""
    return register_pieces(
        f'header {text!r}',
        lambda run: [make_framed(run, 'length', headers={'X-Odd': text})],
    )


@pytest.mark.parametrize('path', ['/once/', '/stream/'])
@pytest.mark.parametrize('control', _CONTROLS)
def test_call_whose_answer_has_a_control_character_gets_502(path, control):
    # The connection closed without an answer.
    async def run():
        async with run_routed_fleet(retry_reserve=0) as fleet:
            node = fleet.nodes[0]
            script = register_header(f'a{control}b')
            answer = await call_scripted(fleet, path, 'c1', script)
            assert (answer.status, answer.whole) == (502, True)
            sent = await find_line(node, 'send_broken', 'c1')
            assert 'control character' in sent['detail']
            assert not node.list_events('call_crashed')

    asyncio.run(run())


@pytest.mark.parametrize('text', ['a\tb', 'a"b', '\xe9', 'a  b'])
def test_answer_with_an_unusual_header_reaches_its_caller(text):
    # Control.
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            script = register_header(text)
            answer = await call_scripted(fleet, '/once/', 'c1', script)
            assert answer.is_own

    asyncio.run(run())


@pytest.mark.parametrize('status', [204, 304])
@pytest.mark.parametrize('path', ['/once/', '/safe/'])
def test_length_in_an_answer_without_a_body_keeps_the_connection(path, status):
    # Its caller's connection was closed, and the log said caller_gone.
    async def run():
        async with run_routed_fleet(scripted_engines=0) as fleet:
            node = fleet.nodes[0]
            script = register_pieces(
                f'{status} with a length',
                lambda run: [
                    make_framed(
                        run,
                        'none',
                        status=status,
                        headers={'Content-Length': '5'},
                    )
                ],
            )
            answer = await call_scripted(fleet, path, 'c1', script)
            assert (answer.status, answer.whole) == (status, True)
            assert not answer.foreign
            ended = await find_line(node, 'call_ended', 'c1')
            assert ended['outcome'] == 'finished'
            assert not node.list_events('call_crashed')

    asyncio.run(run())
