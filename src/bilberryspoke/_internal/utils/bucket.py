"""Token bucket, for limits on how often something may happen."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class TokenBucket:
    """``rate`` tokens a second, ``burst`` of them at once at the most.

    ``filled_at`` is in seconds of any steady clock. A bucket begins full.
    """

    rate: float
    burst: float
    filled_at: float = 0.0
    balance: float = field(init=False)

    def __post_init__(self) -> None:
        """Fill the bucket."""
        self.balance = self.burst

    def take(self, now: float) -> float:
        """Take one token; return 0, or the seconds until one is there."""
        gained = (now - self.filled_at) * self.rate
        self.filled_at = now
        self.balance = min(self.burst, self.balance + gained)
        if self.balance >= 1:
            self.balance -= 1
            return 0.0
        return (1 - self.balance) / self.rate
