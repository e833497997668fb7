"""Reading of the bodies of HTTP answers within limits."""

import asyncio

import aiohttp


class AnswerTooLargeError(aiohttp.ClientError):
    """An answer has a larger body than its reader keeps.

    ``max_bytes``: size of the largest body that the reader keeps.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create the error for a bound."""
        super().__init__(max_bytes)
        self.max_bytes = max_bytes

    def __str__(self) -> str:
        """Return the message."""
        return f'the body is over {self.max_bytes} bytes'


async def read_body(resp: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of an answer of at most ``max_bytes`` bytes.

    Otherwise closes the connection and raises ``AnswerTooLargeError``. The time
    is bounded by the timeout of the request.
    """
    if (resp.content_length or 0) > max_bytes:
        resp.close()
        raise AnswerTooLargeError(max_bytes)
    body = bytearray()
    async for chunk in resp.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            resp.close()
            raise AnswerTooLargeError(max_bytes)
    return bytes(body)


async def skip_body(
    body: aiohttp.StreamReader, *, max_bytes: int, timeout_s: float
) -> bool:
    """Read a body to its end without keeping it.

    Returns whether it ended within ``max_bytes`` bytes and ``timeout_s``
    seconds.
    """
    remaining_bytes = max_bytes
    try:
        async with asyncio.timeout(timeout_s):
            while not body.at_eof() and remaining_bytes >= 0:
                remaining_bytes -= len(await body.readany())
    except (TimeoutError, aiohttp.ClientError, OSError):
        return False
    return remaining_bytes >= 0
