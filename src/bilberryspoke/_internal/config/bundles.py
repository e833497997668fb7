"""Bundles: a configuration encoded as values and a manifest.

Values are JSON lists of objects, stored under their SHA-256 digest. The
manifest lists the digests of all values of one configuration.
"""

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
from bilberryspoke._internal.utils.hashing import hash_parts

MANIFEST_NAME = 'manifest'
MAX_VALUE_BYTES = 1_000_000
# A value is ended by the first object that makes it larger than this. The last
# object must fit between this size and the maximum.
_TARGET_VALUE_BYTES = 900_000
_MIN_VALUE_BYTES = 20_000
# On average, one object in this number ends a value, chosen by the hash of its
# label.
_MEAN_OBJECTS_PER_VALUE = 1000
_MANIFEST_FORMAT = 1


class Manifest(msgspec.Struct, forbid_unknown_fields=True):
    """The manifest; a configuration is published by writing it alone.

    ``format``: version of the encoding.
    ``revision``: number of the configuration, from 1; a higher one is newer.
    ``values``: digests of the values, in hex.
    """

    format: int
    revision: int
    values: list[str]


@dataclass(frozen=True, slots=True)
class Bundle:
    """An encoded manifest and the encoded values by their digest."""

    manifest: bytes
    values: dict[str, bytes] = field(default_factory=dict)

    @property
    def digest(self) -> str:
        """Digest of the manifest; it covers the values by their digests."""
        return digest_bytes(self.manifest)

    def prune(self) -> 'Bundle':
        """Return the bundle without values that its manifest does not list.

        If the manifest cannot be parsed, the result has no values.
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
    """Return the SHA-256 digest of a manifest or value, in hex."""
    return hashlib.sha256(raw).hexdigest()


def make_bundle(objects: ObjectSet, revision: int) -> Bundle:
    """Encode checked objects as a manifest and values.

    Each value stays below the platform's limit of ``MAX_VALUE_BYTES``.
    """
    values: dict[str, bytes] = {}
    chunk: list[bytes] = []
    size = 0
    for label, raw in _encode_objects(objects):
        chunk.append(raw)
        size += len(raw) + 1
        if size > _TARGET_VALUE_BYTES or _is_value_boundary(label, size):
            _add_value(values, chunk)
            chunk, size = [], 0
    if chunk:
        _add_value(values, chunk)
    manifest = {
        'format': _MANIFEST_FORMAT,
        'revision': revision,
        'values': list(values),
    }
    encoded = json.dumps(manifest, sort_keys=True).encode()
    return Bundle(encoded, values)


def parse_manifest(raw: bytes) -> Result[Manifest, Finding]:
    """Parse a manifest.

    The error is a finding if it is malformed, has another format or a
    revision below 1.
    """
    try:
        manifest = msgspec.json.decode(raw, type=Manifest)
    except msgspec.MsgspecError as exc:
        return Error(Finding(MANIFEST_NAME, '', str(exc)))
    if manifest.format != _MANIFEST_FORMAT:
        message = (
            f'format {manifest.format} is not supported, expected format 1'
        )
        return Error(Finding(MANIFEST_NAME, 'format', message))
    if manifest.revision < 1:
        return Error(
            Finding(
                MANIFEST_NAME, 'revision', 'expected a revision of at least 1'
            )
        )
    return Ok(manifest)


def load_bundle(bundle: Bundle) -> Result[LoadedBundle, list[Finding]]:
    """Check a bundle completely: manifest, digests and objects.

    The error holds all findings, warnings included.
    """
    parsed = parse_manifest(bundle.manifest)
    if parsed.is_error():
        return Error([parsed.error])
    manifest = parsed.ok
    findings: list[Finding] = []
    raw_objects: list[RawObject] = []
    for digest in manifest.values:
        raw_objects.extend(_decode_value(bundle, digest, findings))
    objects = validate_objects(raw_objects)
    findings.extend(objects.findings)
    if has_errors(findings):
        return Error(findings)
    catalog = build_catalog(objects, manifest.revision, bundle.digest)
    return Ok(LoadedBundle(bundle, catalog))


def build_catalog(objects: ObjectSet, revision: int, digest: str) -> Catalog:
    """Convert checked objects to a catalog.

    ``digest`` is the SHA-256 digest of the manifest, in hex.
    """
    return Catalog(
        revision=revision,
        digest=digest,
        data_centres=tuple(sorted(objects.of_kind('data_centre'))),
        workspaces=_convert_objects(objects, 'workspace', _to_workspace),
        classes=_convert_objects(objects, 'class', _to_class),
        upstreams=_convert_objects(objects, 'upstream', _to_upstream),
        pools=_convert_objects(objects, 'pool', _to_pool),
        approvals=tuple(
            _to_approval(item) for item in objects.of_kind('approval').values()
        ),
    )


def _decode_value(
    bundle: Bundle,
    digest: str,
    findings: list[Finding],
) -> list[RawObject]:
    raw = bundle.values.get(digest)
    if raw is None:
        findings.append(
            Finding(digest, '', 'the bundle has no value with this digest')
        )
        return []
    if digest_bytes(raw) != digest:
        findings.append(
            Finding(digest, '', 'the content of the value has another digest')
        )
        return []
    if len(raw) > MAX_VALUE_BYTES:
        findings.append(
            Finding(
                digest,
                '',
                'expected at most 1,000,000 bytes, got a larger value',
            )
        )
        return []
    try:
        items = msgspec.json.decode(raw, type=list[Any])
    except msgspec.MsgspecError as exc:
        findings.append(Finding(digest, '', str(exc)))
        return []
    return [
        RawObject(digest, f'[{index}]', item)
        for index, item in enumerate(items)
    ]


def _is_value_boundary(label: str, size: int) -> bool:
    """Return whether a value ends after the object with this label.

    Boundaries follow from labels, so that a change moves no other object to
    another value and only the values it touches get new digests. ``size`` is
    that of the value with the object, in bytes.
    """
    return (
        size > _MIN_VALUE_BYTES
        and hash_parts('end', label) % _MEAN_OBJECTS_PER_VALUE == 0
    )


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


def _convert_objects(
    objects: ObjectSet, kind: str, convert: Any
) -> dict[str, Any]:
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
