"""Configuration of classes, upstreams, pools and workspaces.

``config.bundles`` makes a ``Catalog`` from checked operator objects. The core
and the network layer look up each request in it.
"""

from dataclasses import dataclass, field

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A request class: its tier, latency targets and guarantees.

    ``tier``: priority from 1, the highest, to 5.
    ``protected``: never shed or preempted for a lower tier.
    ``first_token_ms``, ``total_ms``: latency targets from the arrival to the
    first token and to the end of the answer, in milliseconds; ``None`` if the
    class has no such target.
    ``minimum_share``: fraction of a pool's slots that the class may always
    hold.
    ``repeatable``: whether a call may run more than once.
    ``max_wait_ms``: maximum time in a queue, in milliseconds.
    """

    name: str
    tier: int
    protected: bool = False
    first_token_ms: int | None = None
    total_ms: int | None = None
    minimum_share: float = 0.0
    repeatable: bool = True
    max_wait_ms: int = 30_000

    @property
    def max_wait_s(self) -> float:
        """Maximum time in a queue, in seconds."""
        return self.max_wait_ms / MS_PER_S

    @property
    def latency_target_ms(self) -> int | None:
        """First-token target or, without one, total target, in milliseconds.

        The time that a request may wait for a faster upstream is limited to a
        fraction of it. ``None`` if the class has neither target.
        """
        return self.first_token_ms or self.total_ms


@dataclass(frozen=True, slots=True)
class Upstream:
    """A model engine, or one replica of a plain service.

    ``serves``: ``model`` or ``service``.
    ``url``: scheme, host and port, without a path.
    ``slots``: number of requests it works on at the same time.
    ``leaving``: must receive no new work.
    ``deduplicates``: runs each ``Idempotency-Key`` at most once by itself.
    ``fencing``: refuses orders with an outdated fencing number.
    """

    name: str
    serves: str
    data_centre: str
    url: str
    slots: int
    leaving: bool = False
    deduplicates: bool = False
    fencing: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that serve the same model or the same plain service.

    ``serves``: ``model`` or ``service``.
    ``offers``: name of that model or service, as callers request it.
    ``upstreams``: names of the upstreams.
    """

    name: str
    serves: str
    offers: str
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Workspace:
    """A team of callers, with its API keys and its share of capacity.

    ``key_digests``: SHA-256 digests of its API keys, in hex.
    ``weight``: share of a class's capacity relative to other workspaces.
    """

    name: str
    key_digests: tuple[str, ...]
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Approval:
    """Permission of a workspace to send a class of requests to a pool.

    ``default``: the class applies if a request to the pool names none.
    ``requests_per_s``: rate limit, enforced by the owner of the pool;
    ``None`` if there is no limit.
    """

    workspace: str
    service_class: str
    pool: str
    default: bool = False
    requests_per_s: float | None = None


@dataclass(slots=True)
class Catalog:
    """One complete configuration that passed all checks.

    ``revision``: number of the configuration; a higher one is newer.
    ``digest``: SHA-256 digest of the manifest, in hex.
    ``workspaces``, ``classes``, ``upstreams``, ``pools``: objects by name.
    ``workspace_of_digest``: name of a workspace by the digest of its key.
    ``pool_of_offer``: name of a pool by its offer, which is ``serves`` and
    ``offers`` joined by a colon.
    ``approvals_of``: approvals by the name of their workspace.
    """

    revision: int = 0
    digest: str = ''
    data_centres: tuple[str, ...] = ()
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    approvals: tuple[Approval, ...] = ()
    workspace_of_digest: dict[str, str] = field(default_factory=dict)
    pool_of_offer: dict[str, str] = field(default_factory=dict)
    approvals_of: dict[str, list[Approval]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Build the indexes of key digests, offers and approvals."""
        for workspace in self.workspaces.values():
            for digest in workspace.key_digests:
                self.workspace_of_digest[digest] = workspace.name
        for pool in self.pools.values():
            self.pool_of_offer[_make_offer_id(pool.serves, pool.offers)] = (
                pool.name
            )
        for approval in self.approvals:
            approvals = self.approvals_of.setdefault(approval.workspace, [])
            approvals.append(approval)

    def find_pool(self, serves: str, offer: str) -> Pool | None:
        """Return the pool that offers a model or a service.

        ``serves`` is ``model`` or ``service``, ``offer`` its name. Returns
        ``None`` if no pool offers it.
        """
        name = self.pool_of_offer.get(_make_offer_id(serves, offer))
        return self.pools[name] if name else None

    def list_upstreams(self, pool_name: str) -> list[Upstream]:
        """Return the upstreams of a pool, or an empty list if it is unknown."""
        pool = self.pools.get(pool_name)
        if pool is None:
            return []
        return [self.upstreams[name] for name in pool.upstreams]


def _make_offer_id(serves: str, offer: str) -> str:
    return f'{serves}:{offer}'
