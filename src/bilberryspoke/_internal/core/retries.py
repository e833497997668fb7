"""Budget that keeps retries a share of first attempts."""

from dataclasses import dataclass

_RESERVE = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Token bucket filled by first attempts and emptied by retries.

    ``share`` is the number of retries allowed for each first attempt; the
    bucket holds at most a fixed reserve, which is full at the start.
    """

    share: float
    balance: float = _RESERVE

    def earn(self) -> None:
        """Account for a first attempt."""
        self.balance = min(_RESERVE, self.balance + self.share)

    def spend(self) -> bool:
        """Take one retry from the budget, if it holds one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
