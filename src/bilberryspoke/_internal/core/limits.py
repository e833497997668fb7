"""Rate limits of approvals, applied by the owner of the pool."""

from dataclasses import dataclass, field

from bilberryspoke._internal.utils.bucket import TokenBucket

# A full bucket holds the tokens of this time, but at least one.
_BURST_DURATION_S = 2.0


def make_bucket(rate: float, now: float) -> TokenBucket:
    """Return a full bucket; ``rate`` is in tokens a second.

    The rate may be changed later by ``charge_bucket``.
    """
    return TokenBucket(rate, _compute_burst(rate), now)


def charge_bucket(bucket: TokenBucket, rate: float, now: float) -> float:
    """Set a bucket's rate and take one token.

    Returns 0, or the seconds until a token is available.
    """
    bucket.rate = rate
    bucket.burst = _compute_burst(rate)
    return bucket.take(now)


def _compute_burst(rate: float) -> float:
    return max(1.0, rate * _BURST_DURATION_S)


@dataclass(slots=True)
class LimitTable:
    """Token buckets of one pool, by workspace and service class.

    One owner sees every request of its pool, so VMs need not lease tokens
    from each other. A new owner starts each bucket full: each change of
    owner, and each side of a partition, adds at most one burst.
    """

    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def charge_request(self, limit_key: str, rate: float, now: float) -> float:
        """Charge one request to a bucket, created if there is none.

        ``limit_key`` names the workspace and the service class. ``rate`` is in
        requests a second. Returns 0 if the request is within the limit, or the
        seconds until one will be.
        """
        bucket = self.buckets.get(limit_key)
        if bucket is None:
            bucket = make_bucket(rate, now)
            self.buckets[limit_key] = bucket
        return charge_bucket(bucket, rate, now)
