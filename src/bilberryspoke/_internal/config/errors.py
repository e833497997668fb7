"""Findings made of the validation library's errors."""

from pydantic import ValidationError

from bilberryspoke._internal.models.findings import Finding


def describe_errors(
    exc: ValidationError,
    *,
    source: str,
    prefix: str,
    skipped: int = 0,
) -> list[Finding]:
    """Turn a validation error into one finding a place.

    ``skipped`` leaves out the first parts of each place.
    """
    findings = []
    for detail in exc.errors(include_url=False, include_input=False):
        parts = [str(part) for part in detail['loc'][skipped:]]
        path = '.'.join([prefix, *parts]) if prefix else '.'.join(parts)
        findings.append(Finding(source, path, detail['msg']))
    return findings
