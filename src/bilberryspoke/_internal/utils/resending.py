"""Middleware that keeps the HTTP client from sending requests again."""

import aiohttp


class ConnectionLostError(aiohttp.ClientError):
    """The connection was lost before the response arrived.

    aiohttp does not send a request again after this error, in contrast to the
    one that caused it.
    """


async def forbid_resending(
    req: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Raise ConnectionLostError where aiohttp would send a request again.

    It does so with idempotent methods, also on a new connection and without
    a trace: to an upstream that may have run a call, or to a store that was
    restored from a copy meanwhile. Errors while connecting are left as they
    are, as no request was sent.
    """
    try:
        return await send(req)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLostError(str(exc) or type(exc).__name__) from exc
