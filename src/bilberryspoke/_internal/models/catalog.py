"""Accepted operator objects, indexed for the request path."""

from dataclasses import dataclass, field

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A request class: its tier, targets and guarantees.

    ``tier`` 1 is the highest. Times are in milliseconds; ``None`` means that
    the class has no such target.
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
        """Longest wait in a queue, in seconds."""
        return self.max_wait_ms / MS_PER_S

    @property
    def target_ms(self) -> int | None:
        """The target that decides how long a start may be delayed."""
        return self.first_token_ms or self.total_ms


@dataclass(frozen=True, slots=True)
class Upstream:
    """A model engine or a plain service replica."""

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
    """Upstreams that serve the same model or the same plain service."""

    name: str
    serves: str
    offers: str
    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Workspace:
    """A calling team; ``key_digests`` are hex SHA-256 digests of its keys."""

    name: str
    key_digests: tuple[str, ...]
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Approval:
    """Permission of a workspace to send a class of requests to a pool."""

    workspace: str
    service_class: str
    pool: str
    default: bool = False
    requests_per_s: float | None = None


@dataclass(slots=True)
class Catalog:
    """One accepted configuration, whole."""

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
        for workspace in self.workspaces.values():
            for digest in workspace.key_digests:
                self.workspace_of_digest[digest] = workspace.name
        for pool in self.pools.values():
            self.pool_of_offer[_offer_key(pool.serves, pool.offers)] = pool.name
        for approval in self.approvals:
            approvals = self.approvals_of.setdefault(approval.workspace, [])
            approvals.append(approval)

    def find_pool(self, serves: str, offer: str) -> Pool | None:
        """Return the pool that offers a model or a service, if any."""
        name = self.pool_of_offer.get(_offer_key(serves, offer))
        return self.pools[name] if name else None

    def list_upstreams(self, pool_name: str) -> list[Upstream]:
        """Return the upstreams of a pool; empty for an unknown pool."""
        pool = self.pools.get(pool_name)
        if pool is None:
            return []
        return [self.upstreams[name] for name in pool.upstreams]


def _offer_key(serves: str, offer: str) -> str:
    return f'{serves}:{offer}'
