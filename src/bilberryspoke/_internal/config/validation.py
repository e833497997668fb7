"""Checks of operator objects, each by itself and all together.

A label is the kind and the name of an object, such as ``class/drafts``.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from pydantic import ValidationError

from bilberryspoke._internal.config.errors import make_findings
from bilberryspoke._internal.config.objects import (
    OBJECT_ADAPTER,
    ClassObject,
    ObjectModel,
    PoolObject,
)
from bilberryspoke._internal.models.findings import Finding, Severity

_MAX_SHARE_SUM = 1.0


@dataclass(frozen=True, slots=True)
class RawObject:
    """One parsed object that is not yet checked.

    ``source``: file, or digest of the value, that it was read from.
    ``path``: place in the source, such as ``[3]``; empty if the source holds
    only this object.
    ``raw``: the parsed JSON.
    """

    source: str
    path: str
    raw: Any


@dataclass(slots=True)
class ObjectSet:
    """Checked objects and the findings about them.

    ``items``: objects that are valid by themselves, by kind and name.
    ``sources``: where each of them was read, by label.
    ``findings``: findings about single objects and about the whole set.
    ``broken``: labels of the objects that are not valid by themselves; the
    place in the source of those without a kind or a name.
    """

    items: dict[str, dict[str, ObjectModel]] = field(default_factory=dict)
    sources: dict[str, str] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)
    broken: set[str] = field(default_factory=set)

    def of_kind(self, kind: str) -> dict[str, Any]:
        """Return the valid objects of a kind by name."""
        return self.items.get(kind, {})

    def add_finding(
        self,
        item: ObjectModel,
        path: str,
        message: str,
        severity: Severity = Severity.error,
    ) -> None:
        """Add a finding about an object.

        ``path`` is the field that it concerns, or empty for the object.
        """
        label = f'{item.kind}/{item.name}'
        place = f'{label}.{path}' if path else label
        source = self.sources.get(label, '')
        self.findings.append(
            Finding(source, place, message, severity=severity),
        )


Check = Callable[[ObjectSet], None]
_CHECKS: list[Check] = []


def register_check(check: Check) -> Check:
    """Register a check of a whole set of objects."""
    _CHECKS.append(check)
    return check


def validate_objects(raw_objects: Iterable[RawObject]) -> ObjectSet:
    """Check each object and then the whole set.

    Findings are in the result; objects that are invalid by themselves and
    repeated names are left out of the set.
    """
    objects = ObjectSet()
    for raw in raw_objects:
        _add_object(objects, raw)
    for check in _CHECKS:
        check(objects)
    return objects


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether any finding is an error, so that the input is unusable."""
    return any(finding.severity is Severity.error for finding in findings)


def _add_object(objects: ObjectSet, raw: RawObject) -> None:
    try:
        item = OBJECT_ADAPTER.validate_python(raw.raw)
    except ValidationError as exc:
        prefix = _make_label(raw)
        objects.broken.add(prefix)
        objects.findings.extend(
            make_findings(
                exc,
                source=raw.source,
                prefix=prefix,
                # The location begins with the kind, which is in the label.
                skipped_parts=1 if '/' in prefix else 0,
            ),
        )
        return
    label = f'{item.kind}/{item.name}'
    same_kind = objects.items.setdefault(item.kind, {})
    if item.name in same_kind:
        message = f'duplicate name, already defined in {objects.sources[label]}'
        objects.findings.append(Finding(raw.source, label, message))
        return
    same_kind[item.name] = item
    objects.sources[label] = raw.source


def _make_label(raw: RawObject) -> str:
    if isinstance(raw.raw, dict):
        kind = raw.raw.get('kind')
        name = raw.raw.get('name')
        if isinstance(kind, str) and isinstance(name, str):
            return f'{kind}/{name}'
    return raw.path


@register_check
def check_references(objects: ObjectSet) -> None:
    """Report references to objects that do not exist."""
    for upstream in objects.of_kind('upstream').values():
        _check_reference(objects, upstream, 'data_centre', 'data_centre')
    for pool in objects.of_kind('pool').values():
        _check_pool(objects, pool)
    for approval in objects.of_kind('approval').values():
        _check_reference(objects, approval, 'workspace', 'workspace')
        _check_reference(objects, approval, 'service_class', 'class')
        _check_reference(objects, approval, 'pool', 'pool')


@register_check
def check_unused(objects: ObjectSet) -> None:
    """Report objects that no other object refers to, as warnings."""
    approvals = list(objects.of_kind('approval').values())
    pools = objects.of_kind('pool').values()
    upstreams = list(objects.of_kind('upstream').values())
    used = {
        'workspace': {approval.workspace for approval in approvals},
        'class': {approval.service_class for approval in approvals},
        'pool': {approval.pool for approval in approvals},
        'upstream': {name for pool in pools for name in pool.upstreams},
        'data_centre': {upstream.data_centre for upstream in upstreams},
    }
    for kind, names in used.items():
        for item in objects.of_kind(kind).values():
            if item.name not in names:
                message = 'no other object refers to it'
                objects.add_finding(item, '', message, Severity.warning)


@register_check
def check_targets(objects: ObjectSet) -> None:
    """Report contradictory latency targets and excessive minimum shares."""
    classes: list[ClassObject] = list(objects.of_kind('class').values())
    for item in classes:
        if item.first_token_ms is None or item.total_ms is None:
            continue
        if item.first_token_ms > item.total_ms:
            message = 'impossible: must not be greater than total_ms'
            objects.add_finding(item, 'first_token_ms', message)
    _check_minimum_shares(objects, classes)


def _check_minimum_shares(
    objects: ObjectSet, classes: list[ClassObject]
) -> None:
    total = sum(item.minimum_share for item in classes)
    if total > _MAX_SHARE_SUM:
        message = (
            f'shares of all classes add up to {total:g}, expected at most 1'
        )
        for service_class in classes:
            if service_class.minimum_share:
                objects.add_finding(service_class, 'minimum_share', message)


@register_check
def check_conflicts(objects: ObjectSet) -> None:
    """Report objects that contradict one another.

    These are pools with the same offer, approvals of the same workspace,
    pool and class, several default approvals of a workspace for a pool, and
    workspaces with the same key.
    """
    offers: dict[str, str] = {}
    for pool in objects.of_kind('pool').values():
        key = f'{pool.serves}:{pool.offers}'
        first_pool = offers.setdefault(key, pool.name)
        if first_pool != pool.name:
            objects.add_finding(
                pool, 'offers', f'already offered by pool {first_pool}'
            )
    approval_by_key: dict[str, str] = {}
    default_by_workspace_and_pool: dict[str, str] = {}
    for approval in objects.of_kind('approval').values():
        workspace_and_pool = f'{approval.workspace}/{approval.pool}'
        approval_key = f'{workspace_and_pool}/{approval.service_class}'
        first_approval = approval_by_key.setdefault(approval_key, approval.name)
        if first_approval != approval.name:
            objects.add_finding(
                approval,
                '',
                f'same workspace, pool and class as approval {first_approval}',
            )
        if not approval.default:
            continue
        default = default_by_workspace_and_pool.setdefault(
            workspace_and_pool, approval.name
        )
        if default != approval.name:
            message = (
                f'{default} is already the default for this workspace and pool'
            )
            objects.add_finding(approval, 'default', message)
    _check_key_digests(objects)


def _check_key_digests(objects: ObjectSet) -> None:
    owners: dict[str, str] = {}
    for workspace in objects.of_kind('workspace').values():
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                message = f'one of the keys is also a key of workspace {owner}'
                objects.add_finding(workspace, 'key_digests', message)


def _check_pool(objects: ObjectSet, pool: PoolObject) -> None:
    upstreams = objects.of_kind('upstream')
    for index, name in enumerate(pool.upstreams):
        path = f'upstreams.{index}'
        if f'upstream/{name}' in objects.broken:
            continue
        if name not in upstreams:
            objects.add_finding(pool, path, f'no upstream is named {name}')
        elif upstreams[name].serves != pool.serves:
            serves = upstreams[name].serves
            objects.add_finding(
                pool,
                path,
                f'{name} does not fit the pool, it serves a {serves}',
            )
    if len(set(pool.upstreams)) != len(pool.upstreams):
        objects.add_finding(
            pool, 'upstreams', 'lists an upstream more than once'
        )


def _check_reference(
    objects: ObjectSet,
    item: ObjectModel,
    attribute: str,
    kind: str,
) -> None:
    referenced = getattr(item, attribute)
    # An object that is invalid by itself is not reported as missing as well.
    if f'{kind}/{referenced}' in objects.broken:
        return
    if referenced not in objects.of_kind(kind):
        path = 'class' if attribute == 'service_class' else attribute
        objects.add_finding(item, path, f'no {kind} is named {referenced}')
