"""Deterministic answers of the model engine stand-in.

An answer depends on the prompt alone, so a test can compute the expected one.
"""

import hashlib
import json
import math
import random
from dataclasses import dataclass

_WORDS = (
    'desk',
    'shift',
    'ticket',
    'school',
    'river',
    'seal',
    'evening',
    'editor',
    'counter',
    'group',
    'market',
    'bridge',
    'morning',
    'reserve',
    'gallery',
    'radio',
)
_MEDIAN_TOKENS = 60
_LN_TOKENS_STD_DEV = 0.8
_MAX_TOKENS = 800


@dataclass(frozen=True)
class Answer:
    """The answer to a prompt; the engine streams one token per event."""

    tokens: tuple[str, ...]

    @property
    def text(self) -> str:
        """The tokens joined to one text."""
        return ''.join(self.tokens)


def generate_answer(messages: list, max_tokens: int | None) -> Answer:
    """Return the answer to a prompt, derived from a hash of its messages.

    Its length in tokens is log-normal, thus heavy-tailed, and at most
    800 or, if smaller, ``max_tokens``.
    """
    raw = json.dumps(messages, sort_keys=True).encode()
    seed = int.from_bytes(hashlib.sha256(raw).digest()[:8], 'big')
    source = random.Random(seed)
    length = int(
        source.lognormvariate(math.log(_MEDIAN_TOKENS), _LN_TOKENS_STD_DEV)
    )
    length = max(1, min(length, _MAX_TOKENS, max_tokens or _MAX_TOKENS))
    tokens = tuple(
        f'{source.choice(_WORDS)}{source.randrange(1000)} '
        for _ in range(length)
    )
    return Answer(tokens)


def encode_events(
    answer: Answer,
    model: str,
    req_id: str,
) -> list[bytes]:
    """Return the server-sent events of an answer without the final ``[DONE]``.

    There is one event per token, and one with the finish reason.
    """
    events = []
    for index, token in enumerate(answer.tokens):
        delta = {'content': token}
        if index == 0:
            delta = {'role': 'assistant', 'content': token}
        events.append(_encode_event(model, req_id, delta, None))
    events.append(_encode_event(model, req_id, {}, 'stop'))
    return events


def encode_completion(answer: Answer, model: str, req_id: str) -> bytes:
    """Return the JSON body of an answer that is not streamed.

    Its usage counts the tokens of the answer; ``prompt_tokens`` is always 0.
    """
    document = {
        'id': f'chatcmpl-{req_id}',
        'object': 'chat.completion',
        'created': 0,
        'model': model,
        'choices': [
            {
                'index': 0,
                'message': {'role': 'assistant', 'content': answer.text},
                'finish_reason': 'stop',
            },
        ],
        'usage': {
            'prompt_tokens': 0,
            'completion_tokens': len(answer.tokens),
            'total_tokens': len(answer.tokens),
        },
    }
    return json.dumps(document).encode()


def _encode_event(
    model: str,
    req_id: str,
    delta: dict,
    finish_reason: str | None,
) -> bytes:
    document = {
        'id': f'chatcmpl-{req_id}',
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': model,
        'choices': [
            {'index': 0, 'delta': delta, 'finish_reason': finish_reason},
        ],
    }
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
