"""Answers of upstreams of the own interface with headers of odd texts."""

import asyncio

import pytest

from bilberryspoke._internal.models.requests import AttemptStatus
from tests.lib.ownupstream import ScriptedUpstream, run_call, run_client


def call_with_header(text):
    """Return what a caller gets if the answer has a header of this text."""

    async def answer(received, writer):
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Odd: %s\r\nContent-Length: 2\r\n\r\nok'
            % text
        )

    async def run():
        async with ScriptedUpstream(answer) as upstream, run_client() as client:
            return await run_call(client, upstream.url, 'r1')

    return asyncio.run(run())


@pytest.mark.parametrize('text', [b'a\x01b', b'a\x1fb', b'a\x7fb'])
def test_answer_with_a_control_character_is_broken(text):
    # The server of the callers raised an exception as it wrote the header.
    answered = call_with_header(text)
    assert answered.result.status is AttemptStatus.broken
    assert 'control character in the header X-Odd' in answered.result.detail
    assert not answered.status


@pytest.mark.parametrize(
    'text', [b'a\tb', b'caf\xc3\xa9', b'\xe2\x9c\x93', b'caf\xe9', b'\xff']
)
def test_header_with_any_text_reaches_its_caller_as_it_was_sent(text):
    # Texts other than Latin-1 in UTF-8 raised an exception; these changed.
    answered = call_with_header(text)
    assert answered.result.status is AttemptStatus.finished
    assert answered.headers[b'x-odd'] == text
