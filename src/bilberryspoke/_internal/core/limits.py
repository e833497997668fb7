"""Rate limits of approvals, held by the owner of the pool."""

from dataclasses import dataclass, field

from bilberryspoke._internal.utils.bucket import TokenBucket

_BURST_S = 2.0


def make_bucket(rate: float, now: float) -> TokenBucket:
    """Return a full bucket of a rate that may change."""
    return TokenBucket(rate, _find_burst(rate), now)


def charge(bucket: TokenBucket, rate: float, now: float) -> float:
    """Take one token at the present rate; return the seconds to wait."""
    bucket.rate = rate
    bucket.burst = _find_burst(rate)
    return bucket.take(now)


def _find_burst(rate: float) -> float:
    return max(1.0, rate * _BURST_S)


@dataclass(slots=True)
class LimitTable:
    """Buckets of one pool by workspace and class.

    One owner sees every request of its pool, so that no lease of tokens
    between VMs is needed. A new owner starts each bucket full: each change
    of owner, and each side of a partition, adds at most one burst.
    """

    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def take(self, subject: str, rate: float, now: float) -> float:
        """Charge one request; return the seconds to wait, 0 if admitted."""
        bucket = self.buckets.get(subject)
        if bucket is None:
            bucket = make_bucket(rate, now)
            self.buckets[subject] = bucket
        return charge(bucket, rate, now)
