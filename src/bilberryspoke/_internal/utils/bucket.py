"""Token bucket for rate limits."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class TokenBucket:
    """Token bucket; it starts full.

    ``rate``: tokens added per second.
    ``burst``: maximum number of tokens.
    ``refilled_at``: when tokens were last added, in seconds of the monotonic
    clock that the times passed to ``take`` come from.
    ``balance``: tokens at that time.
    """

    rate: float
    burst: float
    refilled_at: float = 0.0
    balance: float = field(init=False)

    def __post_init__(self) -> None:
        """Fill the bucket."""
        self.balance = self.burst

    def take(self, now: float) -> float:
        """Take one token if there is one.

        Returns 0 if it was taken, or else the seconds until one is available.
        """
        gained = (now - self.refilled_at) * self.rate
        self.refilled_at = now
        self.balance = min(self.burst, self.balance + gained)
        if self.balance >= 1:
            self.balance -= 1
            return 0.0
        return (1 - self.balance) / self.rate
