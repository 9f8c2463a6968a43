"""Usual times of requests, and which requests are slow beside them."""

from math import exp, log

from msgspec import Struct

from bergamotwood_core.ids import ModelName

# Weight of the newest request in the moving averages.
SMOOTHING_FACTOR = 0.1
# Requests that make an average.
MIN_SAMPLES = 5
# Times the average from which a request counts as slow. Prompts that are read
# from the start take up to five times as long as cached ones until the first
# event; between events the load changes little.
SLOW_START_FACTOR = 8.0
SLOW_EVENT_FACTOR = 3.5
SLOW_TOTAL_FACTOR = 4.0
# Events without which the time between them says little.
MIN_EVENTS = 3


class Timing(Struct, frozen=True):
    """Times of one answer.

    Parameters
    ----------
    head_seconds : float
        Until it began.
    whole_seconds : float
        Until it was whole.
    events : int
        Events of a stream, 0 for other answers.
    """

    head_seconds: float
    whole_seconds: float
    events: int = 0

    @property
    def event_seconds(self) -> float:
        """Mean time between events."""
        return (self.whole_seconds - self.head_seconds) / max(self.events, 1)


class _Averages(Struct):
    """Moving averages of one route and model; `tokens` is of the logarithm.

    Callers' estimates of tokens are right at the median and far off at times,
    so their geometric mean is taken.
    """

    samples: int = 0
    estimates: int = 0
    log_token_ratio: float = 0.0
    head: float = 0.0
    event: float = 0.0
    whole: float = 0.0


class LatencyTable:
    """Moving averages of answers' times for each route and model."""

    def __init__(self) -> None:
        self._averages: dict[tuple[str, ModelName], _Averages] = {}

    def record(
        self, route: str, model: ModelName, timing: Timing, expected_tokens: int = 0
    ) -> None:
        """Take in a sound answer, and how many tokens its caller expected."""
        average = self._averages.setdefault((route, model), _Averages())
        average.samples += 1
        weight = max(SMOOTHING_FACTOR, 1.0 / average.samples)
        average.head += weight * (timing.head_seconds - average.head)
        average.event += weight * (timing.event_seconds - average.event)
        average.whole += weight * (timing.whole_seconds - average.whole)
        if timing.events and expected_tokens:
            average.estimates += 1
            weight = max(SMOOTHING_FACTOR, 1.0 / average.estimates)
            log_ratio = log(expected_tokens / timing.events)
            average.log_token_ratio += weight * (log_ratio - average.log_token_ratio)

    def estimate(
        self, route: str, model: ModelName, expected_tokens: int
    ) -> float | None:
        """Return the seconds that a stream takes, None before enough are known."""
        average = self._averages.get((route, model))
        if average is None or average.estimates < MIN_SAMPLES:
            return None
        events = expected_tokens / exp(average.log_token_ratio)
        return average.head + events * average.event

    def is_slow(self, route: str, model: ModelName, timing: Timing) -> bool:
        """Whether an answer took several times as long as usual."""
        average = self._averages.get((route, model))
        if average is None or average.samples < MIN_SAMPLES:
            return False
        if timing.events == 0:
            return timing.whole_seconds > SLOW_TOTAL_FACTOR * average.whole
        if timing.head_seconds > SLOW_START_FACTOR * average.head:
            return True
        if timing.events < MIN_EVENTS:
            return False
        return timing.event_seconds > SLOW_EVENT_FACTOR * average.event
