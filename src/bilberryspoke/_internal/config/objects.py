"""Pydantic models of operator objects, as operators write them.

The reference page is made from the docstrings and descriptions of the models.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
Name = Annotated[str, Field(pattern=NAME_PATTERN)]
OfferName = Annotated[str, Field(pattern='^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$')]
Digest = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


class ObjectModel(BaseModel):
    """Base of all operator objects."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    name: Name
    note: str = Field(
        default='',
        max_length=500,
        description='Free text for operators.',
    )


class DataCentreObject(ObjectModel):
    """A data centre in which VMs and upstreams run."""

    kind: Literal['data_centre']


class ClassObject(ObjectModel):
    """A request class: its priority, latency targets and guarantees."""

    kind: Literal['class']
    tier: int = Field(ge=1, le=5, description='Priority; 1 is served first.')
    protected: bool = Field(
        default=False,
        description='Never shed or preempted for a lower tier.',
    )
    first_token_ms: int | None = Field(
        default=None,
        ge=1,
        le=3_600_000,
        description='Target from arrival to first token, in milliseconds.',
    )
    total_ms: int | None = Field(
        default=None,
        ge=1,
        le=86_400_000,
        description='Target from arrival to end of answer, in milliseconds.',
    )
    minimum_share: float = Field(
        default=0,
        ge=0,
        le=1,
        description='Fraction of the pool slots it may always hold.',
    )
    repeatable: bool = Field(
        default=True,
        description='Whether a call may run more than once.',
    )
    max_wait_ms: int = Field(
        default=30_000,
        ge=1,
        le=3_600_000,
        description='Maximum time in a queue, in milliseconds.',
    )


class UpstreamObject(ObjectModel):
    """A model engine or one replica of a plain service."""

    kind: Literal['upstream']
    serves: Literal['model', 'service']
    data_centre: Name
    url: str = Field(pattern='^https?://[^\\s/]+$', max_length=300)
    slots: int = Field(
        ge=1,
        le=4096,
        description='Number of requests it works on at the same time.',
    )
    leaving: bool = Field(
        default=False,
        description='Whether it must receive no new requests.',
    )
    deduplicates: bool = Field(
        default=False,
        description='Whether it runs each Idempotency-Key only once by itself.',
    )
    fencing: bool = Field(
        default=False,
        description='Whether it refuses orders with an old fencing number.',
    )


class PoolObject(ObjectModel):
    """Upstreams that serve the same model or the same plain service."""

    kind: Literal['pool']
    serves: Literal['model', 'service']
    offers: OfferName = Field(description='Name of the model or service.')
    upstreams: tuple[Name, ...] = Field(min_length=1, max_length=1000)


class WorkspaceObject(ObjectModel):
    """A calling team and the SHA-256 digests of its API keys, in hex."""

    kind: Literal['workspace']
    key_digests: tuple[Digest, ...] = Field(min_length=1, max_length=8)
    weight: float = Field(
        default=1,
        gt=0,
        le=1000,
        description='Share relative to other workspaces in a class.',
    )


class ApprovalObject(ObjectModel):
    """Permission of a workspace to send a class of requests to a pool."""

    kind: Literal['approval']
    workspace: Name
    service_class: Name = Field(alias='class')
    pool: Name
    default: bool = Field(
        default=False,
        description='Whether the class applies if a request names none.',
    )
    requests_per_s: float | None = Field(default=None, gt=0, le=1_000_000)


OperatorObject = Annotated[
    DataCentreObject
    | ClassObject
    | UpstreamObject
    | PoolObject
    | WorkspaceObject
    | ApprovalObject,
    Field(discriminator='kind'),
]

OBJECT_ADAPTER: TypeAdapter[OperatorObject] = TypeAdapter(OperatorObject)
OBJECT_MODELS = (
    DataCentreObject,
    ClassObject,
    UpstreamObject,
    PoolObject,
    WorkspaceObject,
    ApprovalObject,
)
