"""Exceptions of the project; ``str()`` gives a message for people."""


class BilberryspokeError(Exception):
    """Base of all exceptions raised by the project."""


class CallerGoneError(BilberryspokeError):
    """The caller closed its connection before its request was complete."""


class PlatformUnavailableError(BilberryspokeError):
    """A service of the platform did not give a usable answer.

    ``url``: the URL, path or store key that was requested; for a list of keys,
    their prefix.
    ``cause``: what failed.
    """

    def __init__(self, url: str, cause: str) -> None:
        """Create the error for a URL."""
        super().__init__(url, cause)
        self.url = url
        self.cause = cause

    def __str__(self) -> str:
        """Return the message."""
        return f'no usable answer from the platform at {self.url}: {self.cause}'


class PlatformHistoryLostError(BilberryspokeError):
    """The platform's store no longer has the changes requested at ``url``."""

    def __init__(self, url: str) -> None:
        """Create the error for a URL."""
        super().__init__(url)
        self.url = url

    def __str__(self) -> str:
        """Return the message."""
        return f'changes requested at {self.url} are no longer in the store'


class AdminUnavailableError(BilberryspokeError):
    """A VM did not answer at its admin address.

    ``url``: the URL that was requested.
    ``cause``: what failed.
    """

    def __init__(self, url: str, cause: str) -> None:
        """Create the error for a URL."""
        super().__init__(url, cause)
        self.url = url
        self.cause = cause

    def __str__(self) -> str:
        """Return the message."""
        return f'no answer from {self.url}: {self.cause}'


class AddressBindError(BilberryspokeError):
    """A listening address could not be bound.

    ``address``: ``host:port``.
    ``cause``: what failed.
    """

    def __init__(self, address: str, cause: str) -> None:
        """Create the error for an address."""
        super().__init__(address, cause)
        self.address = address
        self.cause = cause

    def __str__(self) -> str:
        """Return the message."""
        return f'cannot listen on {self.address}: {self.cause}'
