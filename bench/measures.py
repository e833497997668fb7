"""Measures of one run."""

from dataclasses import dataclass, field

from bench.ledger import Entry, Ledger


@dataclass(slots=True)
class Measures:
    """Attainment by class, goodput in tokens a second, and the others.

    ``wasted`` is the part of the computed tokens that was thrown away:
    decoded tokens of answers that no caller got whole, and prompt tokens
    computed again after a preemption or a crash.
    """

    attainment: dict[str, float] = field(default_factory=dict)
    goodput: float = 0.0
    wasted: float = 0.0
    fairness: float = 0.0
    sheds: dict[str, int] = field(default_factory=dict)
    violations: dict[str, int] = field(default_factory=dict)
    worst_wait_s: float = 0.0
    unknown: int = 0


def measure(ledger: Ledger, duration_s: float) -> Measures:
    """Compute the measures of a run."""
    measures = Measures()
    met_tokens: dict[str, float] = {}
    asked_tokens: dict[str, float] = {}
    classes: dict[str, list[bool]] = {}
    computed = 0.0
    wasted = 0.0
    for entry in ledger.entries.values():
        request = entry.request
        met = is_met(entry, ledger)
        classes.setdefault(request.service_class, []).append(met)
        computed += entry.computed + entry.prefilled
        wasted += _wasted_tokens(entry)
        if request.serves == 'model':
            workspace = request.workspace
            asked = asked_tokens.get(workspace, 0.0)
            asked_tokens[workspace] = asked + request.tokens
            got = met_tokens.get(workspace, 0.0)
            met_tokens[workspace] = got + met * request.tokens
        if entry.outcome == 'not_run':
            sheds = measures.sheds
            name = request.service_class
            sheds[name] = sheds.get(name, 0) + 1
        if entry.outcome in {'unknown', 'interrupted', 'lost', ''}:
            measures.unknown += 1
    measures.attainment = {
        name: sum(group) / len(group) for name, group in classes.items()
    }
    measures.goodput = sum(met_tokens.values()) / duration_s
    measures.wasted = wasted / max(1.0, computed)
    measures.fairness = jain(
        [met_tokens[name] / asked for name, asked in asked_tokens.items()]
    )
    measures.violations = dict(ledger.violations)
    measures.worst_wait_s = max(ledger.worst_wait_s.values(), default=0.0)
    return measures


def is_met(entry: Entry, ledger: Ledger) -> bool:
    """Tell whether an answer was whole and within its class's targets."""
    record = entry.record
    if record is None or entry.outcome != 'completed':
        return False
    service_class = ledger.catalog.classes[entry.request.service_class]
    first_ms = service_class.first_token_ms
    if first_ms and (record.first_token_s or 0) * 1000 > first_ms:
        return False
    total_ms = service_class.total_ms
    return not (total_ms and record.total_s * 1000 > total_ms)


def jain(shares: list[float]) -> float:
    """Return Jain's index of fairness; 1 is equal."""
    squares = sum(share * share for share in shares)
    if not squares:
        return 0.0
    return sum(shares) ** 2 / (len(shares) * squares)


def _wasted_tokens(entry: Entry) -> float:
    if entry.outcome == 'completed':
        delivered = entry.request.tokens
    else:
        delivered = 0
        if entry.outcome == '':
            # The run ended before the answer: nothing is thrown away yet.
            delivered = entry.computed
    return max(0.0, entry.computed - delivered) + entry.prefilled_again
