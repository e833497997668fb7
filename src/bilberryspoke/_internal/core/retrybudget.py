"""Retry budget in proportion to first attempts."""

from dataclasses import dataclass

_MAX_BALANCE_RETRIES = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket filled by first attempts and emptied by retries.

    ``share`` is the number of retries allowed for each first attempt. The
    balance is limited to ``_MAX_BALANCE_RETRIES`` retries, and starts there.
    """

    share: float
    balance: float = _MAX_BALANCE_RETRIES

    def record_first_attempt(self) -> None:
        """Add the share of one first attempt."""
        self.balance = min(_MAX_BALANCE_RETRIES, self.balance + self.share)

    def try_consume(self) -> bool:
        """Withdraw one retry and return whether the budget held one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
