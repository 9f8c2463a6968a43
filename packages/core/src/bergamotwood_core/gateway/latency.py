"""Moving averages of response times, and detection of slow answers."""

from math import exp, log

from msgspec import Struct

from bergamotwood_core.ids import ModelName

# Weight of the latest request in the exponential moving averages.
SMOOTHING_FACTOR = 0.1
# Minimum number of requests before an average is used.
MIN_SAMPLES = 5
# Multiples of the average above which an answer is slow: its time to the first event,
# the time between events, and its total time if it is no stream. A prompt that is
# not cached takes up to five times as long to the first event as a cached one; load
# has little effect on the time between events.
SLOW_START_FACTOR = 8.0
SLOW_EVENT_FACTOR = 3.5
SLOW_TOTAL_FACTOR = 4.0
# Minimum number of events for a meaningful mean time between them.
MIN_EVENTS = 3


class Timing(Struct, frozen=True):
    """Timing of one answer.

    Parameters
    ----------
    head_seconds : float
        Time until the answer started.
    total_seconds : float
        Time until the answer was complete.
    events : int
        Number of events of a stream; 0 for other answers.
    """

    head_seconds: float
    total_seconds: float
    events: int = 0

    @property
    def event_seconds(self) -> float:
        """Mean time between events."""
        return (self.total_seconds - self.head_seconds) / max(self.events, 1)


class _Averages(Struct):
    """Moving averages for one route and model.

    `log_token_ratio` is the mean logarithm of expected tokens per event. Callers'
    estimates of tokens are right at the median but sometimes far off, so their
    geometric mean is used.
    """

    samples: int = 0
    estimates: int = 0
    log_token_ratio: float = 0.0
    head: float = 0.0
    event: float = 0.0
    total: float = 0.0


class LatencyTable:
    """Moving averages of response times for each route and model."""

    def __init__(self) -> None:
        self._averages: dict[tuple[str, ModelName], _Averages] = {}

    def record(
        self, route: str, model: ModelName, timing: Timing, expected_tokens: int = 0
    ) -> None:
        """Record a successful answer and the number of tokens its caller expected."""
        average = self._averages.setdefault((route, model), _Averages())
        average.samples += 1
        weight = max(SMOOTHING_FACTOR, 1.0 / average.samples)
        average.head += weight * (timing.head_seconds - average.head)
        average.event += weight * (timing.event_seconds - average.event)
        average.total += weight * (timing.total_seconds - average.total)
        if timing.events and expected_tokens:
            average.estimates += 1
            weight = max(SMOOTHING_FACTOR, 1.0 / average.estimates)
            log_ratio = log(expected_tokens / timing.events)
            average.log_token_ratio += weight * (log_ratio - average.log_token_ratio)

    def estimate(
        self, route: str, model: ModelName, expected_tokens: int
    ) -> float | None:
        """Return the estimated duration of a stream; None with too few samples."""
        average = self._averages.get((route, model))
        if average is None or average.estimates < MIN_SAMPLES:
            return None
        events = expected_tokens / exp(average.log_token_ratio)
        return average.head + events * average.event

    def is_slow(self, route: str, model: ModelName, timing: Timing) -> bool:
        """Whether an answer took several times as long as the average."""
        average = self._averages.get((route, model))
        if average is None or average.samples < MIN_SAMPLES:
            return False
        if timing.events == 0:
            return timing.total_seconds > SLOW_TOTAL_FACTOR * average.total
        if timing.head_seconds > SLOW_START_FACTOR * average.head:
            return True
        if timing.events < MIN_EVENTS:
            return False
        return timing.event_seconds > SLOW_EVENT_FACTOR * average.event
