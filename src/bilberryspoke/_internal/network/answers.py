"""Recorded answers of finished operations, replayed to repeated requests."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

_MAX_ANSWERS = 4000
_MAX_ANSWER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An upstream's complete answer; names of headers are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class AnswerStore:
    """Answers by operation key; over ``_MAX_ANSWERS`` the oldest is evicted.

    Answers over ``_MAX_ANSWER_BYTES`` are not stored. The key of an answer
    that is not stored still counts as used: a retry does not run the
    operation again and is answered with status 409.
    """

    answers: OrderedDict[str, RecordedAnswer] = field(
        default_factory=OrderedDict,
    )

    def store(self, key: str, answer: RecordedAnswer) -> None:
        """Store an answer unless its body is too large."""
        if len(answer.body) > _MAX_ANSWER_BYTES:
            return
        self.answers[key] = answer
        if len(self.answers) > _MAX_ANSWERS:
            self.answers.popitem(last=False)

    def find(self, key: str) -> RecordedAnswer | None:
        """Return the answer of a key, or None if it is not stored."""
        return self.answers.get(key)
