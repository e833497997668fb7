"""Recorded answers of finished operations."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

_COUNT_LIMIT = 4000
_SIZE_LIMIT_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An upstream's whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class AnswerStore:
    """Answers by operation key, the oldest leaving first.

    Larger answers are not kept; what is forgotten is never run again, its
    key stays used.
    """

    answers: OrderedDict[str, RecordedAnswer] = field(
        default_factory=OrderedDict,
    )

    def keep(self, key: str, answer: RecordedAnswer) -> None:
        """Keep an answer."""
        if len(answer.body) > _SIZE_LIMIT_BYTES:
            return
        self.answers[key] = answer
        if len(self.answers) > _COUNT_LIMIT:
            self.answers.popitem(last=False)

    def find(self, key: str) -> RecordedAnswer | None:
        """Return the answer of a key, if it is still kept."""
        return self.answers.get(key)
