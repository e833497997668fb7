"""Bundles: values named by digest and one manifest that joins them."""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

import msgspec
from expression import Error, Ok, Result

from bilberryspoke._internal.config.objects import (
    ApprovalObject,
    ClassObject,
    PoolObject,
    UpstreamObject,
    WorkspaceObject,
)
from bilberryspoke._internal.config.validation import (
    ObjectSet,
    RawObject,
    has_errors,
    validate_objects,
)
from bilberryspoke._internal.models.catalog import (
    Approval,
    Catalog,
    Pool,
    ServiceClass,
    Upstream,
    Workspace,
)
from bilberryspoke._internal.models.findings import Finding
from bilberryspoke._internal.utils.hashing import hash_word

MANIFEST_NAME = 'manifest'
VALUE_LIMIT_BYTES = 1_000_000
_CHUNK_BYTES = 900_000
_LEAST_BYTES = 20_000
_OBJECTS = 1000
_FORMAT = 1


class Manifest(msgspec.Struct, forbid_unknown_fields=True):
    """The value whose single write publishes a configuration."""

    format: int
    revision: int
    values: list[str]


@dataclass(frozen=True, slots=True)
class Bundle:
    """A manifest and the values it names by digest, as bytes."""

    manifest: bytes
    values: dict[str, bytes] = field(default_factory=dict)

    @property
    def digest(self) -> str:
        """Digest of the manifest, and so of all values."""
        return digest_bytes(self.manifest)

    def prune(self) -> 'Bundle':
        """Return the bundle without values that its manifest does not name.

        A manifest that can not be parsed leaves no values.
        """
        parsed = parse_manifest(self.manifest)
        named = parsed.ok.values if parsed.is_ok() else []
        kept = {
            digest: self.values[digest]
            for digest in named
            if digest in self.values
        }
        return Bundle(self.manifest, kept)


@dataclass(frozen=True, slots=True)
class LoadedBundle:
    """A bundle that passed every check."""

    bundle: Bundle
    catalog: Catalog


def digest_bytes(raw: bytes) -> str:
    """Return the hex SHA-256 digest by which a value is named."""
    return hashlib.sha256(raw).hexdigest()


def make_bundle(objects: ObjectSet, revision: int) -> Bundle:
    """Encode checked objects as values below the platform's limit."""
    values: dict[str, bytes] = {}
    chunk: list[bytes] = []
    size = 0
    for label, raw in _encode_objects(objects):
        chunk.append(raw)
        size += len(raw) + 1
        if size > _CHUNK_BYTES or _ends_value(label, size):
            _add_value(values, chunk)
            chunk, size = [], 0
    if chunk:
        _add_value(values, chunk)
    manifest = {
        'format': _FORMAT,
        'revision': revision,
        'values': list(values),
    }
    encoded = json.dumps(manifest, sort_keys=True).encode()
    return Bundle(encoded, values)


def parse_manifest(raw: bytes) -> Result[Manifest, Finding]:
    """Parse a manifest."""
    try:
        manifest = msgspec.json.decode(raw, type=Manifest)
    except msgspec.MsgspecError as exc:
        return Error(Finding(MANIFEST_NAME, '', str(exc)))
    if manifest.format != _FORMAT:
        message = f'format {manifest.format} is not known here'
        return Error(Finding(MANIFEST_NAME, 'format', message))
    if manifest.revision < 1:
        return Error(Finding(MANIFEST_NAME, 'revision', 'must be at least 1'))
    return Ok(manifest)


def load_bundle(bundle: Bundle) -> Result[LoadedBundle, list[Finding]]:
    """Check a bundle whole: manifest, digests and objects."""
    parsed = parse_manifest(bundle.manifest)
    if parsed.is_error():
        return Error([parsed.error])
    manifest = parsed.ok
    findings: list[Finding] = []
    raw_objects: list[RawObject] = []
    for digest in manifest.values:
        raw_objects.extend(_read_value(bundle, digest, findings))
    objects = validate_objects(raw_objects)
    findings.extend(objects.findings)
    if has_errors(findings):
        return Error(findings)
    catalog = build_catalog(objects, manifest.revision, bundle.digest)
    return Ok(LoadedBundle(bundle, catalog))


def build_catalog(objects: ObjectSet, revision: int, digest: str) -> Catalog:
    """Index checked objects for the request path."""
    return Catalog(
        revision=revision,
        digest=digest,
        data_centres=tuple(sorted(objects.of_kind('data_centre'))),
        workspaces=_convert(objects, 'workspace', _to_workspace),
        classes=_convert(objects, 'class', _to_class),
        upstreams=_convert(objects, 'upstream', _to_upstream),
        pools=_convert(objects, 'pool', _to_pool),
        approvals=tuple(
            _to_approval(each) for each in objects.of_kind('approval').values()
        ),
    )


def _read_value(
    bundle: Bundle,
    digest: str,
    findings: list[Finding],
) -> list[RawObject]:
    raw = bundle.values.get(digest)
    if raw is None:
        findings.append(Finding(digest, '', 'value is missing'))
        return []
    if digest_bytes(raw) != digest:
        findings.append(Finding(digest, '', 'value has another digest'))
        return []
    if len(raw) > VALUE_LIMIT_BYTES:
        findings.append(Finding(digest, '', 'value is over 1 MB'))
        return []
    try:
        items = msgspec.json.decode(raw, type=list[Any])
    except msgspec.MsgspecError as exc:
        findings.append(Finding(digest, '', str(exc)))
        return []
    return [
        RawObject(digest, f'[{index}]', each)
        for index, each in enumerate(items)
    ]


def _ends_value(label: str, size: int) -> bool:
    """Tell whether a value ends after an object.

    Ends follow from names, so that a change moves no object to another value
    and only the values it touches get new digests.
    """
    return size > _LEAST_BYTES and hash_word('end', label) % _OBJECTS == 0


def _encode_objects(objects: ObjectSet) -> list[tuple[str, bytes]]:
    encoded = []
    for kind in sorted(objects.items):
        for name in sorted(objects.items[kind]):
            item = objects.items[kind][name]
            fields = item.model_dump(
                mode='json',
                by_alias=True,
                exclude_defaults=True,
            )
            fields['kind'] = kind
            raw = json.dumps(fields, sort_keys=True).encode()
            encoded.append((f'{kind}/{name}', raw))
    return encoded


def _add_value(values: dict[str, bytes], chunk: list[bytes]) -> None:
    raw = b'[' + b','.join(chunk) + b']'
    values[digest_bytes(raw)] = raw


def _convert(objects: ObjectSet, kind: str, convert: Any) -> dict[str, Any]:
    return {name: convert(item) for name, item in objects.of_kind(kind).items()}


def _to_workspace(item: WorkspaceObject) -> Workspace:
    return Workspace(item.name, item.key_digests, item.weight)


def _to_class(item: ClassObject) -> ServiceClass:
    return ServiceClass(
        name=item.name,
        tier=item.tier,
        protected=item.protected,
        first_token_ms=item.first_token_ms,
        total_ms=item.total_ms,
        minimum_share=item.minimum_share,
        repeatable=item.repeatable,
        max_wait_ms=item.max_wait_ms,
    )


def _to_upstream(item: UpstreamObject) -> Upstream:
    return Upstream(
        name=item.name,
        serves=item.serves,
        data_centre=item.data_centre,
        url=item.url,
        slots=item.slots,
        leaving=item.leaving,
        deduplicates=item.deduplicates,
        fencing=item.fencing,
    )


def _to_pool(item: PoolObject) -> Pool:
    return Pool(item.name, item.serves, item.offers, item.upstreams)


def _to_approval(item: ApprovalObject) -> Approval:
    return Approval(
        workspace=item.workspace,
        service_class=item.service_class,
        pool=item.pool,
        default=item.default,
        requests_per_s=item.requests_per_s,
    )
