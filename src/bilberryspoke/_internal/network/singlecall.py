"""Client connections of the own interface, each of which carries one call."""

import aiohttp

from bilberryspoke._internal.utils.boundedprotocol import (
    BoundedConnector,
    BoundedProtocol,
    make_payload_error,
)


class SingleCallProtocol(BoundedProtocol):
    """Connection that carries one call.

    Bytes behind the answer that are no answer fail it, as its end is then not
    where its head says. Other answers behind it are passed over.
    """

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; none before the request answer it."""
        if data and self._parser is None:
            self._end('bytes before the request')
        super().data_received(data)

    def end_malformed(self, cause: BaseException) -> None:
        """Fail the reads of the body, also if it is complete by its head."""
        super().end_malformed(cause)
        if self._body is not None:
            self._body.set_exception(make_payload_error(cause))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the reads of the body if the connection was not just closed.

        aiohttp takes a reset for the end of a body without a length.
        """
        if exc is not None:
            self._fail_body(aiohttp.ClientPayloadError(f'not whole: {exc}'))
        super().connection_lost(exc)


class SingleCallConnector(BoundedConnector):
    """Connector that opens a connection for each call."""

    protocol_type = SingleCallProtocol

    def __init__(self) -> None:
        """Create a connector without a limit on connections."""
        super().__init__(limit=0, force_close=True)
