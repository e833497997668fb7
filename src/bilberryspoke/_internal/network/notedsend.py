"""What has been sent to a caller, for the answer to an unexpected exception."""

from typing import Any


class NotedSend:
    """ASGI send callable that notes whether an answer has begun.

    After that only the end of the connection tells the caller of a failure.
    """

    def __init__(self, send: Any) -> None:
        """Wrap the send callable of a request."""
        self.begun = False
        self._send = send

    async def __call__(self, message: dict[str, Any]) -> None:
        """Send a message to the caller."""
        self.begun = True
        await self._send(message)
