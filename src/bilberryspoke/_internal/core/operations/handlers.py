"""Handlers of calls that carry an operation key."""

from bilberryspoke._internal.core.entry import accept_request
from bilberryspoke._internal.core.operations.keys import (
    KeyForm,
    OperationKey,
    make_issued_key,
    parse_key,
)
from bilberryspoke._internal.core.operations.table import Verdict
from bilberryspoke._internal.core.reducer import on_event
from bilberryspoke._internal.core.state import VmState
from bilberryspoke._internal.models.effects import (
    AnswerFailure,
    Count,
    Forward,
    Reject,
    Replay,
)
from bilberryspoke._internal.models.events import (
    KeyRequested,
    OperationArrived,
    RequestArrived,
)
from bilberryspoke._internal.models.requests import Outcome

# HTTP status, name of the error for programs, and outcome of the operation.
_REJECTIONS = {
    Verdict.busy: (409, 'operation_under_way', Outcome.unknown),
    Verdict.mismatch: (422, 'key_reused', Outcome.unknown),
    Verdict.foreign: (403, 'foreign_key', Outcome.unknown),
    Verdict.unknown: (409, 'key_unknown', Outcome.unknown),
}
_OPAQUE_MESSAGE = (
    'this class may not be repeated: take a key from /v1/operation-keys '
    'or make a UUIDv7'
)


@on_event(KeyRequested)
def issue_key(state: VmState, event: KeyRequested, now: float) -> None:
    """Issue an operation key that only this process may run."""
    settings = state.settings
    key = make_issued_key(settings.vm, settings.incarnation, event.token)
    state.operations.add(key, event.workspace)
    state.emit(Count('keys_issued'))


@on_event(OperationArrived)
def accept_operation(
    state: VmState,
    event: OperationArrived,
    now: float,
) -> None:
    """Run, forward, replay or reject a call that carries an operation key.

    A call whose key's owner is gone, or that was already forwarded to a VM
    which is not the owner, is answered with an unknown outcome.
    """
    req_id = event.req.req_id
    key = parse_key(event.key)
    if key is None:
        text = 'Idempotency-Key must be 1 to 255 printable characters'
        state.emit(Reject(req_id, 400, 'malformed', text, Outcome.not_run))
        return
    if key.form is KeyForm.opaque:
        state.emit(
            Reject(req_id, 422, 'key_form', _OPAQUE_MESSAGE, Outcome.not_run),
        )
        return
    owner = _find_owner(state, key)
    if owner == state.vm:
        _handle_as_owner(state, event, key, now)
    elif owner is None or event.forwarded:
        state.emit(AnswerFailure(req_id, Outcome.unknown, 'key_owner_gone'))
    else:
        state.emit(Count('operations_forwarded'))
        state.emit(Forward(req_id, owner))


def _find_owner(state: VmState, key: OperationKey) -> str | None:
    if key.form is KeyForm.time_ordered:
        return state.ownership.find_owner(key.text)
    if key.vm == state.vm:
        same_process = key.incarnation == state.settings.incarnation
        return state.vm if same_process else None
    member = state.membership.members.get(key.vm)
    if member is None or member.incarnation != key.incarnation:
        return None
    return key.vm


def _handle_as_owner(
    state: VmState,
    event: OperationArrived,
    key: OperationKey,
    now: float,
) -> None:
    req = event.req
    table = state.operations
    if key.form is KeyForm.time_ordered and key.text not in table.entries:
        if state.ownership.may_run(key.created_ms, event.now_ms):
            table.add(key.text, req.workspace)
    verdict = table.begin(
        key.text,
        req.workspace,
        event.fingerprint,
        req.req_id,
    )
    state.emit(Count('operations', verdict.value))
    if verdict is Verdict.run:
        accept_request(state, RequestArrived(req), now)
    elif verdict is Verdict.replay:
        state.emit(Replay(req.req_id, key.text))
    else:
        status, kind, outcome = _REJECTIONS[verdict]
        text = f'the operation of this key: {kind}'
        state.emit(Reject(req.req_id, status, kind, text, outcome))
