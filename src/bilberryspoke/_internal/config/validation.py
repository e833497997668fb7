"""Checks of a whole set of operator objects."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from pydantic import ValidationError

from bilberryspoke._internal.config.errors import describe_errors
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
    """One object as read, with the file and the place it came from."""

    source: str
    path: str
    raw: Any


@dataclass(slots=True)
class ObjectSet:
    """Objects that passed their own checks, by kind and name."""

    items: dict[str, dict[str, ObjectModel]] = field(default_factory=dict)
    sources: dict[str, str] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)
    broken: set[str] = field(default_factory=set)

    def of_kind(self, kind: str) -> dict[str, Any]:
        """Return the objects of a kind by name."""
        return self.items.get(kind, {})

    def report(
        self,
        item: ObjectModel,
        path: str,
        message: str,
        severity: Severity = Severity.error,
    ) -> None:
        """Add a finding about an object."""
        label = f'{item.kind}/{item.name}'
        place = f'{label}.{path}' if path else label
        source = self.sources.get(label, '')
        self.findings.append(
            Finding(source, place, message, severity=severity),
        )


Check = Callable[[ObjectSet], None]
_CHECKS: list[Check] = []


def register_check(check: Check) -> Check:
    """Register a check of a whole object set."""
    _CHECKS.append(check)
    return check


def validate_objects(raw_objects: Iterable[RawObject]) -> ObjectSet:
    """Check each object and then the set; findings are in the result."""
    objects = ObjectSet()
    for raw in raw_objects:
        _add_object(objects, raw)
    for check in _CHECKS:
        check(objects)
    return objects


def has_errors(findings: Iterable[Finding]) -> bool:
    """Tell whether any finding stops the input from being used."""
    return any(finding.severity is Severity.error for finding in findings)


def _add_object(objects: ObjectSet, raw: RawObject) -> None:
    try:
        item = OBJECT_ADAPTER.validate_python(raw.raw)
    except ValidationError as exc:
        prefix = _label(raw)
        objects.broken.add(prefix)
        objects.findings.extend(
            describe_errors(
                exc,
                source=raw.source,
                prefix=prefix,
                # The place begins with the kind, which is in the prefix.
                skipped=1 if '/' in prefix else 0,
            ),
        )
        return
    label = f'{item.kind}/{item.name}'
    same_kind = objects.items.setdefault(item.kind, {})
    if item.name in same_kind:
        message = f'duplicate name, first defined in {objects.sources[label]}'
        objects.findings.append(Finding(raw.source, label, message))
        return
    same_kind[item.name] = item
    objects.sources[label] = raw.source


def _label(raw: RawObject) -> str:
    if isinstance(raw.raw, dict):
        kind = raw.raw.get('kind')
        name = raw.raw.get('name')
        if isinstance(kind, str) and isinstance(name, str):
            return f'{kind}/{name}'
    return raw.path


@register_check
def check_references(objects: ObjectSet) -> None:
    """Report names that refer to nothing."""
    for upstream in objects.of_kind('upstream').values():
        _require(objects, upstream, 'data_centre', 'data_centre')
    for pool in objects.of_kind('pool').values():
        _check_pool(objects, pool)
    for approval in objects.of_kind('approval').values():
        _require(objects, approval, 'workspace', 'workspace')
        _require(objects, approval, 'service_class', 'class')
        _require(objects, approval, 'pool', 'pool')


@register_check
def check_unused(objects: ObjectSet) -> None:
    """Report objects that nothing refers to."""
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
                message = 'nothing refers to it'
                objects.report(item, '', message, Severity.warning)


@register_check
def check_targets(objects: ObjectSet) -> None:
    """Report targets that no answer can meet and shares that exceed all."""
    classes: list[ClassObject] = list(objects.of_kind('class').values())
    for each in classes:
        if each.first_token_ms is None or each.total_ms is None:
            continue
        if each.first_token_ms > each.total_ms:
            message = 'impossible: greater than total_ms'
            objects.report(each, 'first_token_ms', message)
    _check_shares(objects, classes)


def _check_shares(objects: ObjectSet, classes: list[ClassObject]) -> None:
    total = sum(each.minimum_share for each in classes)
    if total > _MAX_SHARE_SUM:
        message = f'shares of all classes add up to {total:g}, over 1'
        for sharing in classes:
            if sharing.minimum_share:
                objects.report(sharing, 'minimum_share', message)


@register_check
def check_unique_meaning(objects: ObjectSet) -> None:
    """Report objects that contradict one another."""
    offers: dict[str, str] = {}
    for pool in objects.of_kind('pool').values():
        key = f'{pool.serves}:{pool.offers}'
        first = offers.setdefault(key, pool.name)
        if first != pool.name:
            objects.report(pool, 'offers', f'already offered by {first}')
    seen: dict[str, str] = {}
    defaults: dict[str, str] = {}
    for approval in objects.of_kind('approval').values():
        pair = f'{approval.workspace}/{approval.pool}'
        triple = f'{pair}/{approval.service_class}'
        repeated = seen.setdefault(triple, approval.name)
        if repeated != approval.name:
            objects.report(approval, '', f'repeats approval {repeated}')
        if not approval.default:
            continue
        default = defaults.setdefault(pair, approval.name)
        if default != approval.name:
            message = f'{default} is already the default'
            objects.report(approval, 'default', message)
    _check_digests(objects)


def _check_digests(objects: ObjectSet) -> None:
    owners: dict[str, str] = {}
    for workspace in objects.of_kind('workspace').values():
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                message = f'key is also that of {owner}'
                objects.report(workspace, 'key_digests', message)


def _check_pool(objects: ObjectSet, pool: PoolObject) -> None:
    upstreams = objects.of_kind('upstream')
    for index, name in enumerate(pool.upstreams):
        path = f'upstreams.{index}'
        if f'upstream/{name}' in objects.broken:
            continue
        if name not in upstreams:
            objects.report(pool, path, f'no upstream is named {name}')
        elif upstreams[name].serves != pool.serves:
            serves = upstreams[name].serves
            objects.report(pool, path, f'{name} serves a {serves}')
    if len(set(pool.upstreams)) != len(pool.upstreams):
        objects.report(pool, 'upstreams', 'names an upstream twice')


def _require(
    objects: ObjectSet,
    item: ObjectModel,
    attribute: str,
    kind: str,
) -> None:
    wanted = getattr(item, attribute)
    # A name whose object is itself a finding is not missing as well.
    if f'{kind}/{wanted}' in objects.broken:
        return
    if wanted not in objects.of_kind(kind):
        path = 'class' if attribute == 'service_class' else attribute
        objects.report(item, path, f'no {kind} is named {wanted}')
