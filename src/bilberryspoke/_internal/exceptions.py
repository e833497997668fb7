"""Errors of the project; each renders its own message for people."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberryspoke._internal.models.findings import Finding


class BilberryspokeError(Exception):
    """Base of all errors raised by the project."""


class FindingsError(BilberryspokeError):
    """Input was refused; carries every finding."""

    def __init__(self, findings: 'Sequence[Finding]') -> None:
        """Create the error from findings."""
        super().__init__(findings)
        self.findings = tuple(findings)

    def __str__(self) -> str:
        """Render one line a finding."""
        return '\n'.join(str(finding) for finding in self.findings)


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
