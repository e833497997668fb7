"""What a VM knows of its links to the upstreams of one service.

Times are in seconds of the boot-time clock.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class LinkReview:
    """Upstreams of a service that this VM seems to have lost its link to.

    ``suspects`` holds when it lost each, since a link was last proven. While
    ``is_open`` is true, probes find out which links are left: ``awaited`` are
    the upstreams whose probe is under way, ``pending`` those that are still to
    be probed and ``probed`` all that were. ``lost`` are those that did not
    answer, ``answered`` counts those that did. ``widened`` is whether all
    upstreams are probed, after one without a lost send did not answer.
    ``doubted`` is whether the VM may have lost most links, so that it hands its
    calls off meanwhile. ``lost_last`` and ``answered_last`` are what the review
    before found: the lost upstreams and the number of those that answered.
    """

    suspects: dict[str, float] = field(default_factory=dict)
    is_open: bool = False
    doubted: bool = False
    widened: bool = False
    awaited: set[str] = field(default_factory=set)
    pending: list[str] = field(default_factory=list)
    probed: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    answered: int = 0
    lost_last: frozenset[str] = frozenset()
    answered_last: int = 0

    def begin(self, instances: list[str]) -> None:
        """Begin to probe upstreams, one after the other."""
        self.is_open = True
        self.pending = list(instances)

    def widen(self, instances: list[str]) -> None:
        """Probe these upstreams too, unless they were probed already."""
        self.widened = True
        known = self.probed | set(self.pending)
        self.pending.extend(each for each in instances if each not in known)

    def record_probe(self, instance: str, *, accepts: bool) -> None:
        """Count the end of a probe of this review."""
        self.awaited.discard(instance)
        if accepts:
            self.answered += 1
            self.suspects.pop(instance, None)
        else:
            self.lost.add(instance)
        self.doubted = self.doubted and len(self.lost) >= self.answered

    def make_next(self) -> 'LinkReview':
        """Return what is left of the review once it has ended."""
        return LinkReview(
            lost_last=frozenset(self.lost.union(self.suspects)),
            answered_last=self.answered,
        )
