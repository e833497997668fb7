"""HTTP server protocol that knows how much of a request has arrived."""

from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

EMPTY_RESPONSE = (
    b'HTTP/1.1 %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
)


class MessageProtocol(HttpToolsProtocol):
    """Connection of a caller; trailers of its requests are dropped."""

    def __init__(self, **created: Any) -> None:
        """Create the protocol of a connection, as the server does."""
        super().__init__(**created)
        self._in_message = False
        self._reading_header = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is open on it."""
        return not self._in_message and not self._awaits_response()

    @property
    def is_receiving(self) -> bool:
        """Whether its only open request is still arriving."""
        return self._in_message and not self.pipeline and self._may_respond()

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self._in_message = True
        self._reading_header = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the request, but no trailer."""
        if self._reading_header:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Let the application begin with the request."""
        self._reading_header = False
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Pass the end of the request on."""
        self._in_message = False
        super().on_message_complete()

    def _awaits_response(self) -> bool:
        """Return whether a request is being received or served.

        The rest of one that has its response does not count.
        """
        if self._reading_header:
            return True
        return self.cycle is not None and not self.cycle.response_complete

    def _respond_and_close(self, response: bytes) -> None:
        if self.transport.is_closing():
            return
        if self._may_respond():
            self.transport.write(response)
        self.transport.close()

    def _may_respond(self) -> bool:
        """Return whether the current message has no response yet."""
        if self.cycle is None:
            return True
        if self._reading_header:
            # The cycle is that of the message before.
            return self.cycle.response_complete
        return not self.cycle.response_started
