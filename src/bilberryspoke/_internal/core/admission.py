"""Authentication by API key, and admission by approvals."""

import hashlib
import hmac
from dataclasses import dataclass

from expression import Error, Ok, Result

from bilberryspoke._internal.models.catalog import (
    Approval,
    Catalog,
    Pool,
    ServiceClass,
    Workspace,
)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is refused before anything is dispatched.

    ``status`` is the HTTP status and ``kind`` the error's name for programs.
    """

    status: int
    kind: str
    message: str


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted request's workspace, service class and pool."""

    workspace: Workspace
    service_class: ServiceClass
    pool: Pool


def authenticate(catalog: Catalog, key: str) -> Result[Workspace, Refusal]:
    """Return the workspace of an API key, found by the key's SHA-256 digest.

    Returns a ``Refusal`` with status 401 if no workspace has the key.
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    name = catalog.workspace_of_digest.get(digest)
    if name is None:
        return Error(Refusal(401, 'unknown_key', 'the key is not known'))
    workspace = catalog.workspaces[name]
    matches = [
        hmac.compare_digest(digest, known) for known in workspace.key_digests
    ]
    if not any(matches):
        return Error(Refusal(401, 'unknown_key', 'the key is not known'))
    return Ok(workspace)


def admit(
    catalog: Catalog,
    workspace: Workspace,
    *,
    serves: str,
    offer: str,
    class_name: str | None,
) -> Result[Admitted, Refusal]:
    """Return the pool and the class of a request that is approved.

    ``serves`` is ``model`` or ``service``, and ``offer`` the name asked for.
    Without a ``class_name`` the workspace's only approval for the pool is
    chosen, or its default one. Returns a ``Refusal`` with status 404 if there
    is no such offer, and 403 if no approval fits.
    """
    pool = catalog.find_pool(serves, offer)
    if pool is None:
        message = f'no {serves} is named {offer}'
        return Error(Refusal(404, f'unknown_{serves}', message))
    approvals = [
        approval
        for approval in catalog.approvals_of.get(workspace.name, ())
        if approval.pool == pool.name
    ]
    chosen = _choose_approval(approvals, class_name)
    if chosen is None:
        wanted = f'class {class_name}' if class_name else 'a default class'
        message = (
            f'workspace {workspace.name} is not approved to send '
            f'{wanted} to {offer}'
        )
        return Error(Refusal(403, 'not_approved', message))
    service_class = catalog.classes[chosen.service_class]
    return Ok(Admitted(workspace, service_class, pool))


def list_model_names(catalog: Catalog, workspace: Workspace) -> list[str]:
    """Return the sorted names of the models a workspace is approved for."""
    pools = {
        approval.pool
        for approval in catalog.approvals_of.get(workspace.name, ())
    }
    return sorted(
        catalog.pools[name].offers
        for name in pools
        if catalog.pools[name].serves == 'model'
    )


def _choose_approval(
    approvals: list[Approval],
    class_name: str | None,
) -> Approval | None:
    if class_name is not None:
        named = [each for each in approvals if each.service_class == class_name]
        return named[0] if named else None
    if len(approvals) == 1:
        return approvals[0]
    defaults = [each for each in approvals if each.default]
    return defaults[0] if defaults else None
