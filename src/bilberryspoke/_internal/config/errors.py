"""Conversion of pydantic's validation errors to findings."""

from pydantic import ValidationError

from bilberryspoke._internal.models.findings import Finding


def make_findings(
    exc: ValidationError,
    *,
    source: str,
    prefix: str,
    skipped_parts: int = 0,
) -> list[Finding]:
    """Convert a validation error to one finding for each invalid place.

    ``source`` is the file, or the digest of the value, that was read. The path
    of a finding is ``prefix`` and pydantic's location, without the first
    ``skipped_parts`` parts of it.
    """
    findings = []
    for detail in exc.errors(include_url=False, include_input=False):
        parts = [str(part) for part in detail['loc'][skipped_parts:]]
        path = '.'.join([prefix, *parts]) if prefix else '.'.join(parts)
        findings.append(Finding(source, path, detail['msg']))
    return findings
