"""Reading and parsing of request bodies within size and time limits."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from expression import Error, Ok, Result

from bilberryspoke._internal.core.admission import Refusal
from bilberryspoke._internal.exceptions import CallerGoneError
from bilberryspoke._internal.utils.hashing import hash_prefix

if TYPE_CHECKING:
    from bilberryspoke._internal.config.settings import LimitSettings

_BYTES_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class ChatParameters:
    """The fields of a completion request that routing depends on.

    ``prompt_tokens`` is estimated from the size of the whole JSON body, at
    ``_BYTES_PER_TOKEN`` bytes for each token; ``prefix`` is a hash of the
    first message's content, for prefix affinity.
    """

    model: str
    stream: bool
    prompt_tokens: int
    prefix: int


class _ChatRequest(msgspec.Struct):
    model: str
    messages: list[dict[str, Any]]
    stream: bool | None = False


async def read_body(
    receive: Any,
    limits: 'LimitSettings',
) -> Result[bytes, Refusal]:
    """Read a request's body within the limits on its size and time.

    Returns a refusal with status 413 if it is larger than ``body_bytes`` and
    408 if it does not arrive within ``body_timeout_s`` seconds. Raises
    ``CallerGoneError`` if the caller disconnects before the body is complete.
    """
    try:
        async with asyncio.timeout(limits.body_timeout_s):
            return await collect_body(receive, limits.body_bytes)
    except TimeoutError:
        message = f'the body did not arrive within {limits.body_timeout_s:g} s'
        return Error(Refusal(408, 'body_timeout', message))


def parse_chat_request(body: bytes) -> Result[ChatParameters, Refusal]:
    """Parse a completion request and return the fields that routing needs.

    Returns a refusal with status 400 if the body is malformed.
    """
    try:
        parsed = msgspec.json.decode(body, type=_ChatRequest)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Error(Refusal(400, 'malformed', str(exc) or 'malformed body'))
    if not parsed.messages:
        message = 'messages must not be empty - at `$.messages`'
        return Error(Refusal(400, 'malformed', message))
    first_content = str(parsed.messages[0].get('content', ''))
    return Ok(
        ChatParameters(
            model=parsed.model,
            stream=bool(parsed.stream),
            prompt_tokens=len(body) // _BYTES_PER_TOKEN,
            prefix=hash_prefix(first_content),
        ),
    )


async def collect_body(receive: Any, max_bytes: int) -> Result[bytes, Refusal]:
    """Read a body of at most ``max_bytes`` bytes from an ASGI ``receive``.

    Returns a refusal with status 413 if it is larger. Raises
    ``CallerGoneError`` if the caller disconnects before the body is complete.
    There is no timeout.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerGoneError
        body += message.get('body', b'')
        if len(body) > max_bytes:
            text = f'the body is over {max_bytes} bytes'
            return Error(Refusal(413, 'too_large', text))
        if not message.get('more_body', False):
            return Ok(bytes(body))
