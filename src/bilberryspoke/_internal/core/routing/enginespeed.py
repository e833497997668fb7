"""Speed at which the engines of a service read prompts, as measured here.

It is learned from the times to the first event of this VM's own calls, so that
engines of any speed are used as far as they go.
"""

from dataclasses import dataclass

from bilberryspoke._internal.models.routing import EngineLimits

# Until calls show otherwise.
_INITIAL_TOKENS_PER_S = 30_000.0
# Slowest and fastest speed that is believed, relative to the initial one.
_MAX_SPEED_RATIO = 16.0
# The time to the first event of shorter prompts hardly depends on the speed.
_MIN_SAMPLE_TOKENS = 1500
# A sample is too low if other calls delayed the prompt that this VM does not
# know of, so that more of them are below the speed than above it.
_QUANTILE = 0.7
_FIRST_STEP_RATIO = 0.5
_MIN_STEP_RATIO = 0.02
# Without a stated size of its cache, an engine is assumed to keep a part of a
# prompt for this long.
_DEFAULT_RETENTION_S = 15.0
_MIN_RETENTION_S = 4.0
_MAX_RETENTION_S = 20.0


@dataclass(slots=True)
class PrefillSpeed:
    """Estimated prompt tokens that an engine of a service reads per second.

    The estimate is a quantile of the samples, in units of tokens per second.
    ``samples`` is their number so far.
    """

    tokens_per_s: float = _INITIAL_TOKENS_PER_S
    samples: int = 0

    def record(self, tokens: int, seconds: float) -> None:
        """Record that an engine read a number of tokens in some seconds.

        Few tokens, and times that are not positive, tell nothing.
        """
        if tokens < _MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        step = max(_MIN_STEP_RATIO, _FIRST_STEP_RATIO / (1 + self.samples))
        self.samples += 1
        direction = _QUANTILE - 1
        if tokens / seconds > self.tokens_per_s:
            direction = _QUANTILE
        raised = self.tokens_per_s * (1 + step * direction)
        self.tokens_per_s = min(
            _INITIAL_TOKENS_PER_S * _MAX_SPEED_RATIO,
            max(_INITIAL_TOKENS_PER_S / _MAX_SPEED_RATIO, raised),
        )

    def get_prefill_s(self, tokens: float) -> float:
        """Return the seconds in which an engine reads some prompt tokens."""
        return tokens / self.tokens_per_s

    def get_retention_s(self, engine: EngineLimits | None) -> float:
        """Return the seconds for which an engine keeps a part of a prompt.

        That is about the time in which it reads as many tokens as it can keep.
        """
        if engine is None:
            return _DEFAULT_RETENTION_S
        fill_s = self.get_prefill_s(engine.kv_tokens)
        return min(_MAX_RETENTION_S, max(_MIN_RETENTION_S, fill_s))
