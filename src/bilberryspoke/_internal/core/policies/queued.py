"""Policies with a queue at an owner: one VM of the fleet, or each VM."""

from bilberryspoke._internal.core.policies.registry import (
    SharingPolicy,
    register_policy,
)
from bilberryspoke._internal.core.requeststate import RequestState
from bilberryspoke._internal.core.sending import send
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.messages import SlotRelease, SlotRequest


@register_policy('slot_owner')
class SlotOwner(SharingPolicy):
    """One VM keeps the queue of a pool and grants its slots.

    The requesting VM determines the owner by rendezvous hashing over the VMs
    that it sees alive. While two VMs act as owner they may grant too many
    slots; the upstream's own priorities then order the attempts.
    """

    def acquire_slot(
        self, state: VmState, req_state: RequestState, now: float
    ) -> None:
        """Send a slot request to the owner of the pool."""
        req = req_state.req
        req_state.owner = self.find_owner(state, req.pool, now)
        send(
            state,
            req_state.owner,
            SlotRequest(
                req_id=req.req_id,
                attempt=req_state.attempt,
                pool=req.pool,
                service_class=req.service_class,
                workspace=req.workspace,
                age_s=now - req.arrived_at,
                prompt_tokens=req.prompt_tokens,
                prefix=req.prefix,
                offset=req_state.offset,
                resumable=req.resumable,
                may_have_started=req_state.may_have_run,
                excluded=list(req_state.excluded),
            ),
        )

    def release_slot(
        self,
        state: VmState,
        req_state: RequestState,
        release: SlotRelease,
        now: float,
    ) -> None:
        """Report the end of an attempt to the owner."""
        send(state, req_state.owner, release)

    def find_owner(self, state: VmState, pool: str, now: float) -> str:
        """Return the VM that owns a pool in this VM's view of the fleet."""
        return state.membership.choose_owner(
            f'pool:{pool}',
            now,
            self_stopping=state.stopping,
        )


@register_policy('static_share')
class StaticShare(SlotOwner):
    """Each VM queues for itself and uses an equal share of every upstream."""

    def get_slot_fraction(self, state: VmState, now: float) -> float:
        """Return 1 divided by the number of VMs alive, this one included."""
        return 1 / (1 + len(state.membership.list_alive(now)))

    def find_owner(self, state: VmState, pool: str, now: float) -> str:
        """Return this VM, the owner of its own queue."""
        return state.vm
