"""Messages between VMs, encoded as MessagePack by msgspec.

They are encoded as arrays: the tags and the order of fields are part of the
protocol. Times are sent as ages or durations in seconds, since the clocks of
VMs differ.

An entry VM is the VM that took a request from its caller. The owner of a pool
is the VM that grants the pool's slots.
"""

from typing import Annotated, TypeAlias

import msgspec

from bilberryspoke._internal.models.bounded import BoundedCount, Duration
from bilberryspoke._internal.models.requests import AttemptStatus
from bilberryspoke._internal.models.routing_messages import (
    BacklogChange,
    Introduction,
    OriginReply,
    OriginRequest,
    RoutingHeartbeat,
    SnapshotRequest,
    StoreSnapshot,
    StreamBegun,
)


class SlotRequest(msgspec.Struct, tag='ask', array_like=True):
    """Request for a slot, sent by an entry VM to the owner of a pool.

    ``attempt``: number of the attempt that needs the slot, from 1.
    ``age_s``: time since the request arrived at the entry VM, in seconds.
    ``prefix``: hash of the beginning of the prompt; 0 if there is none.
    ``offset``: number of answer tokens delivered by earlier attempts.
    ``resumable``: whether an interrupted answer can go on at an offset.
    ``may_have_started``: whether an earlier attempt may have run; the request
    is then neither refused nor evicted.
    ``excluded``: upstreams that must not get the attempt, since earlier
    attempts failed there or the entry VM declined a grant for them.
    """

    req_id: str
    attempt: int
    pool: str
    service_class: str
    workspace: str
    age_s: Duration
    prompt_tokens: BoundedCount = 0
    prefix: int = 0
    offset: BoundedCount = 0
    resumable: bool = False
    may_have_started: bool = False
    excluded: list[str] = []


class SlotGrant(msgspec.Struct, tag='grant', array_like=True):
    """Grant of a slot, sent by the owner in reply to a ``SlotRequest``.

    ``lease_s``: seconds from its receipt within which the attempt must be
    dispatched.
    """

    req_id: str
    attempt: int
    upstream: str
    lease_s: Duration


class SlotRefusal(msgspec.Struct, tag='refuse', array_like=True):
    """Refusal of a ``SlotRequest``, sent by the owner; it is final.

    ``reason``: cause as one word, passed on to the caller.
    ``retry_after_s``: seconds after which the caller should retry.
    """

    req_id: str
    attempt: int
    reason: str
    retry_after_s: Duration


class Preemption(msgspec.Struct, tag='preempt', array_like=True):
    """Order of the owner to cancel a running attempt.

    The entry VM then requests a slot again and resumes the answer after the
    tokens already delivered. ``reason`` is for the request's record.
    """

    req_id: str
    attempt: int
    reason: str


class SlotRelease(msgspec.Struct, tag='release', array_like=True):
    """Release of a slot, sent to the owner by an entry VM.

    The attempt ended, or was not dispatched (``status`` is ``lapsed``).
    ``tokens``: answer tokens of this attempt, without those of earlier ones.
    ``run_s``: seconds from the grant to the end of the attempt.
    ``first_token_s``: seconds from the grant to the first token; 0 if none
    was delivered.
    """

    req_id: str
    attempt: int
    pool: str
    upstream: str
    status: AttemptStatus
    tokens: BoundedCount
    run_s: Duration
    first_token_s: Duration


class SlotWithdrawal(msgspec.Struct, tag='withdraw', array_like=True):
    """Withdrawal of a ``SlotRequest``, sent to the owner by an entry VM.

    The owner removes the request from its queue. Sent if the caller has gone
    or another VM has become the owner of the pool.
    """

    req_id: str
    pool: str


class HeldAttempt(msgspec.Struct, array_like=True):
    """One running attempt, as an entry VM reports it to the owner.

    ``run_s``: seconds since the grant arrived.
    ``tokens``: answer tokens delivered to the caller so far, those of earlier
    attempts included.
    """

    req_id: str
    attempt: int
    upstream: str
    service_class: str
    workspace: str
    run_s: Duration
    tokens: BoundedCount
    resumable: bool


class HoldingReport(msgspec.Struct, tag='holding', array_like=True):
    """All slots of a pool that an entry VM holds or waits for.

    Sent to the owner at an interval, and to a new owner at once. The owner
    corrects its state by it and replies with ``UnknownRequests``.
    ``waiting``: ids of the requests that wait for a slot.
    """

    pool: str
    running: list[HeldAttempt]
    waiting: list[str]


class UnknownRequests(msgspec.Struct, tag='missing', array_like=True):
    """Requests that the owner does not know, sent in reply to a report.

    The entry VM sends a ``SlotRequest`` for each of ``req_ids`` again. An
    empty list tells it that the owner is alive.
    """

    pool: str
    req_ids: list[str]


class Heartbeat(msgspec.Struct, tag='heartbeat', array_like=True):
    """Heartbeat of a VM, with state that all VMs must learn within seconds.

    ``incarnation``: number of the sender's process; a later start of the VM
    has a higher one.
    ``revision``, ``digest``: the sender's configuration; 0 and empty if it
    has none.
    ``stopping``: whether the sender is stopping gracefully.
    ``leaving``: upstreams that the platform lists as leaving.
    ``heard``: names of the VMs that the sender considers alive. A VM that
    finds its own name here knows that its heartbeats arrive.
    ``entry_url``, ``admin_url``: base URLs for callers and for operators.
    ``peer_address``: address for messages between VMs, as ``host:port``.
    """

    data_centre: str
    incarnation: int
    revision: int
    digest: str
    stopping: bool
    leaving: list[str]
    heard: list[str] = []
    entry_url: str = ''
    admin_url: str = ''
    peer_address: str = ''


class ConfigPull(msgspec.Struct, tag='pull', array_like=True):
    """Request for a configuration newer than ``revision``.

    ``known_digests``: digests of the values that the sender has already.
    """

    revision: int
    known_digests: list[str] = []


class ConfigPush(msgspec.Struct, tag='push', array_like=True):
    """The sender's configuration, sent in reply to a ``ConfigPull``.

    ``digest``: SHA-256 digest of the manifest, in hex.
    ``manifest``: the encoded manifest.
    ``values``: encoded values by digest, without those known to the receiver.
    """

    revision: int
    digest: str
    manifest: bytes
    values: dict[str, bytes]


PeerMessage: TypeAlias = (
    SlotRequest
    | SlotGrant
    | SlotRefusal
    | Preemption
    | SlotRelease
    | SlotWithdrawal
    | HoldingReport
    | UnknownRequests
    | Heartbeat
    | ConfigPull
    | ConfigPush
    | RoutingHeartbeat
    | BacklogChange
    | Introduction
    | SnapshotRequest
    | StoreSnapshot
    | StreamBegun
    | OriginRequest
    | OriginReply
)


# Messages in one envelope.
MAX_MESSAGES = 8192


class Envelope(msgspec.Struct, array_like=True):
    """Batch of messages from one VM to a peer.

    ``sender``: name of the VM.
    ``incarnation``: number of its process; messages from an older process than
    the newest known one are dropped.
    """

    sender: str
    incarnation: int
    messages: Annotated[
        list[PeerMessage], msgspec.Meta(max_length=MAX_MESSAGES)
    ]
