"""Messages between VMs that route calls, see ``models.messages``."""

from enum import StrEnum

import msgspec

from bilberryspoke._internal.models.bounded import (
    BoundedCount,
    BoundedRate,
    Duration,
)
from bilberryspoke._internal.models.routing import StorePosition


class _HasStorePosition:
    """Mixin for messages that name a position of the store in two fields."""

    __slots__ = ()

    revision: int
    era: int

    @property
    def position(self) -> StorePosition:
        """Position of the store as of which the upstreams are known."""
        return StorePosition(self.era, self.revision)


class UpstreamBacklog(msgspec.Struct, array_like=True):
    """Calls in progress at one upstream.

    ``instance``: id of the upstream's incarnation.
    ``prefill_tokens``: uncached prompt tokens of the calls whose answer has
    not begun.
    ``calls``: number of all calls in progress.
    """

    instance: str
    prefill_tokens: BoundedCount
    calls: BoundedCount


class StatedLimit(msgspec.Struct, array_like=True):
    """What an upstream last said of its limit for the calls of all VMs.

    ``per_s``: calls per second; None if it named no limit.
    ``age_s``: seconds since it said so.
    ``created_ms``: names its incarnation, as in ``ListedUpstream``; None from
    VMs of an earlier version, which don't tell it.
    """

    instance: str
    per_s: BoundedRate | None
    age_s: Duration
    created_ms: int | None = None


class LeavingUpstream(msgspec.Struct, array_like=True):
    """An upstream that said in an answer that it is leaving.

    ``created_ms``: names its incarnation, as in ``ListedUpstream``.
    """

    instance: str
    created_ms: int


class FingerprintTime(msgspec.Struct, array_like=True):
    """A fingerprint of calls, and the seconds since something under it.

    That is the send of a call in a ``CrashReport``, or an answer that proved
    the fingerprint harmless.
    """

    fingerprint: int
    age_s: Duration


class CrashReport(msgspec.Struct, array_like=True):
    """A crash of an upstream, and the calls whose answer had not begun there.

    ``crash_id``: the same for one incarnation of the upstream at all VMs.
    ``age_s``: seconds since the crash.
    """

    crash_id: int
    age_s: Duration
    suspects: list[FingerprintTime]


class BlockReport(msgspec.Struct, array_like=True):
    """A fingerprint whose calls are refused because they crash upstreams.

    ``trials``: number of calls that were sent since then and crashed one too.
    ``age_s``: seconds since the last crash.
    """

    fingerprint: int
    trials: BoundedCount
    age_s: Duration


class CrashNews(msgspec.Struct, array_like=True):
    """What the sender lately learned of crashes, and all blocks."""

    crashes: list[CrashReport] = []
    proofs: list[FingerprintTime] = []
    blocks: list[BlockReport] = []


class TightDemand(msgspec.Struct, array_like=True):
    """Load by streams with a tight gap limit to one service.

    ``tokens_per_s``: prompt tokens of their own that arrive per second.
    ``calls``: number of streams that are open.
    """

    tokens_per_s: BoundedCount
    calls: BoundedCount


class CachedParts(msgspec.Struct, array_like=True):
    """Shared parts of prompts, by name, that an engine lately got."""

    instance: str
    names: list[str]


class ReportScope(StrEnum):
    """Whose backlog and waiting calls a heartbeat reports.

    ``vm``: those of the sender.
    ``data_centre``: those of all VMs of the sender's data centre.
    ``others``: those of all VMs but the receiver.
    """

    vm = 'vm'
    data_centre = 'data_centre'
    others = 'others'


class RoutingHeartbeat(
    _HasStorePosition, msgspec.Struct, tag='beat', array_like=True
):
    """Heartbeat of a VM that routes calls, with the backlog at upstreams.

    ``address``: the sender's address for other VMs, as ``host:port``.
    ``version``: version of its routes; 0 if it has none, or none that it has
    compared with those of other VMs.
    ``revision``: revision of the store as of which it knows the upstreams.
    ``store_reachable``: whether it reads the store, and reaches it.
    ``backlog``: one entry for each upstream with calls of the VMs in ``scope``.
    ``waiting``: rank of the most urgent call that waits for capacity (see
    ``RoutedCall.rank``), by the group of upstreams that it waits for. The name
    of a group comes from ``core.routing.groups.get_group_name``.
    ``members``: digest of the VMs that the sender knows; 0 from a sender that
    does not say.
    ``data_centre``: that of the sender.
    ``scope``: whose backlog and waiting calls are reported.
    ``vms``: the number of these VMs.
    ``store_reader``: the VM that ``version``, ``revision`` and
    ``store_reachable`` describe; empty for the sender.
    ``relay``: the VM that the sender takes for the relay of its data centre.
    ``to_relay``: whether the sender takes the receiver for the relay of the
    receiver's data centre.
    ``era``: era of the store to which ``revision`` belongs.
    ``limits``: limits that the sender knows of, and those that ended lately.
    ``crash_news``: what it knows of crashes, None if there is nothing new.
    ``leaving``: listed upstreams that said in an answer that they leave.
    ``cached_parts``: parts of prompts that the VMs in ``scope`` have sent since
    the last heartbeat and that the receiver may not know of.
    ``named_reader``: the VM of its data centre that a relay names to read the
    store for the others; empty from other senders.
    ``upstreams_digest``: digest of the upstreams that ``store_reader`` knows.
    ``tight_demand``: load by streams with a tight gap limit at the VMs in
    ``scope``, by service.
    """

    address: str
    version: int
    revision: int
    store_reachable: bool
    backlog: list[UpstreamBacklog] = []
    waiting: dict[str, int] = {}
    members: int = 0
    data_centre: str = ''
    scope: ReportScope = ReportScope.vm
    vms: int = 1
    store_reader: str = ''
    relay: str = ''
    to_relay: bool = False
    era: int = 0
    limits: list[StatedLimit] = []
    crash_news: CrashNews | None = None
    leaving: list[LeavingUpstream] = []
    cached_parts: list[CachedParts] = []
    tight_demand: dict[str, TightDemand] = {}
    named_reader: str = ''
    upstreams_digest: int = 0


class BacklogChange(msgspec.Struct, tag='changed', array_like=True):
    """Change of the sender's backlog at one upstream, sent at once.

    ``prefill_tokens``: prompt tokens added; negative once the upstream has
    processed a prompt.
    ``calls``: number of calls added.
    ``parts``: shared parts of prompts that the upstream got with the call, and
    which the receiver may not know it to have.
    The sender's next heartbeat includes the change.
    """

    instance: str
    prefill_tokens: int
    calls: int
    parts: list[str] = []


class StreamBegun(msgspec.Struct, tag='begun', array_like=True):
    """The sender brought events of a stream to its caller.

    ``key``: hash that names the stream, also when it is taken up again.
    ``software_version``: that of the upstream that began it; None if it is not
    certain.
    """

    key: int
    software_version: str | None


class OriginRequest(msgspec.Struct, tag='origin', array_like=True):
    """Question at which software version the stream ``key`` began.

    ``service``: that of the stream; empty if the sender asks for no proof.
    ``call_age_s``: seconds since the call arrived that takes the stream up.
    ``window_s``: seconds before that within which the stream began.
    ``trusts_ages``: whether the sender has started in that time or does not
    read the store, so that ages of upstreams are the best that it can know.
    VMs of before 2026-12-06 write only the key.
    """

    key: int
    service: str = ''
    call_age_s: float = 0
    window_s: float = 0
    trusts_ages: bool = False


class OriginReply(msgspec.Struct, tag='origin_known', array_like=True):
    """Reply to an ``OriginRequest``.

    ``is_known``: whether the sender knows the stream.
    ``software_version``: as in ``StreamBegun``.
    ``only_version``: that of all upstreams of the service in the time in which
    the stream began, if the sender has followed each change; else None.
    ``verdict``: what its list says of that time, as in ``core.routing``'s
    ``Verdict``; empty if it was not asked.
    """

    key: int
    is_known: bool
    software_version: str | None = None
    only_version: str | None = None
    verdict: str = ''


class Introduction(msgspec.Struct, tag='introduce', array_like=True):
    """The VMs that the sender knows, itself included.

    Sent in reply to a heartbeat from a VM that does not know the same ones.

    ``addresses``: as ``host:port`` by name.
    ``ages_s``: seconds since each was last known to be alive, by name.
    ``data_centres``: that of each, by name.
    """

    addresses: dict[str, str]
    ages_s: dict[str, float] = {}
    data_centres: dict[str, str] = {}


class SnapshotRequest(
    _HasStorePosition, msgspec.Struct, tag='wanted', array_like=True
):
    """Request for a ``StoreSnapshot``, sent if the store is unreachable.

    ``version``, ``revision``, ``era``: what the sender has, as in its
    heartbeat.
    """

    version: int
    revision: int
    era: int = 0


class SnapshotUpstream(msgspec.Struct, array_like=True):
    """One upstream as the sender read it from the store.

    The fields are those of ``ListedUpstream``.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    warmup_remaining_s: Duration
    created_ms: int
    sequence: int = 0
    software_version: str = ''


class StoreSnapshot(
    _HasStorePosition, msgspec.Struct, tag='picture', array_like=True
):
    """The sender's state read from the store.

    ``version``: version of its routes.
    ``revision``: revision of the store as of which it knows the upstreams.
    ``table``: the encoded routes, compressed; empty if they are not newer than
    the receiver's.
    ``era``: era of the store to which ``revision`` belongs.
    """

    version: int
    revision: int
    table: bytes
    upstreams: list[SnapshotUpstream]
    era: int = 0
