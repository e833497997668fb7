"""Errors of the project; each renders its own message for people."""


class BilberryspokeError(Exception):
    """Base of all errors raised by the project."""


class CallerGoneError(BilberryspokeError):
    """The caller closed its connection while it sent its request."""


class PlatformUnavailableError(BilberryspokeError):
    """The platform's configuration service did not give a usable answer."""

    def __init__(self, url: str, cause: str) -> None:
        """Create the error for a URL."""
        super().__init__(url, cause)
        self.url = url
        self.cause = cause

    def __str__(self) -> str:
        """Render the address and the cause."""
        return f'platform at {self.url}: {self.cause}'


class PlatformHistoryLostError(BilberryspokeError):
    """The platform's store no longer holds the changes asked for."""

    def __init__(self, url: str) -> None:
        """Create the error for a URL."""
        super().__init__(url)
        self.url = url

    def __str__(self) -> str:
        """Render the address."""
        return f'the history at {self.url} is gone'


class AdminUnavailableError(BilberryspokeError):
    """A VM's operators' address did not answer."""

    def __init__(self, url: str, cause: str) -> None:
        """Create the error for a URL."""
        super().__init__(url, cause)
        self.url = url
        self.cause = cause

    def __str__(self) -> str:
        """Render the address and the cause."""
        return f'no answer from {self.url}: {self.cause}'


class AddressInUseError(BilberryspokeError):
    """A listening address could not be bound."""

    def __init__(self, address: str, cause: str) -> None:
        """Create the error for an address."""
        super().__init__(address, cause)
        self.address = address
        self.cause = cause

    def __str__(self) -> str:
        """Render the address and the cause."""
        return f'cannot listen on {self.address}: {self.cause}'
