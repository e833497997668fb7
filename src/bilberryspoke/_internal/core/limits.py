"""Rate limits of approvals, held by the owner of the pool."""

from dataclasses import dataclass, field

_BURST_S = 2.0


@dataclass(slots=True)
class Bucket:
    """Token bucket; ``rate`` is in requests a second."""

    rate: float
    balance: float
    filled_at: float

    def take(self, now: float) -> float:
        """Take one token; return 0, or the seconds until one is there."""
        gained = (now - self.filled_at) * self.rate
        ceiling = max(1.0, self.rate * _BURST_S)
        self.balance = min(ceiling, self.balance + gained)
        self.filled_at = now
        if self.balance >= 1:
            self.balance -= 1
            return 0.0
        return (1 - self.balance) / self.rate


@dataclass(slots=True)
class LimitTable:
    """Buckets of one pool by workspace and class.

    One owner sees every request of its pool, so that no lease of tokens
    between VMs is needed. A new owner starts each bucket full: each change
    of owner, and each side of a partition, adds at most one burst.
    """

    buckets: dict[str, Bucket] = field(default_factory=dict)

    def take(self, subject: str, rate: float, now: float) -> float:
        """Charge one request; return the seconds to wait, 0 if admitted."""
        bucket = self.buckets.get(subject)
        if bucket is None:
            bucket = Bucket(rate, max(1.0, rate * _BURST_S), now)
            self.buckets[subject] = bucket
        bucket.rate = rate
        return bucket.take(now)
