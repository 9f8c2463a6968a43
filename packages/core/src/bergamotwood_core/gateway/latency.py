"""Moving averages of response times, and detection of slow answers.

The averages of all entries are pooled: in a large fleet one entry sees too few answers
of each route and model to tell which of them has time for a larger model.
"""

from collections import OrderedDict
from collections.abc import Iterable
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
SLOW_EVENT_FACTOR = 2.5
SLOW_TOTAL_FACTOR = 4.0
# Largest weight of one entry in pooled averages: about what its moving averages cover.
MAX_WEIGHT = 16
# Pairs of route and model for which an entry or a pool keeps averages.
MAX_PAIRS = 32
MILLI = 1_000.0
MICRO = 1_000_000.0
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


class Progress(Struct, frozen=True):
    """How far an open answer has got.

    Parameters
    ----------
    seconds : float
        Time since the request was sent.
    head_seconds : float or None
        Time until the answer started; None if it has not.
    events : int
        Number of events of a stream so far.
    is_stream : bool
        Whether the answer is a stream.
    """

    seconds: float
    head_seconds: float | None = None
    events: int = 0
    is_stream: bool = False


class RouteLatency(Struct, frozen=True, array_like=True):
    """Averages of one route and model in a report; integers keep it small.

    Parameters
    ----------
    samples, estimates : int
        Weights of the times, and of the ratio of tokens; at most `MAX_WEIGHT` from
        one entry.
    head_ms, total_ms, event_us : int
        Mean time to the start of the answer and in all in milliseconds, and between
        events in microseconds.
    log_ratio_milli : int
        Mean logarithm of expected tokens per event, in thousandths.
    """

    samples: int
    estimates: int
    head_ms: int
    total_ms: int
    event_us: int
    log_ratio_milli: int


# Averages for each route and model.
LatencyReport = dict[str, dict[ModelName, RouteLatency]]


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
    """Moving averages of response times for each route and model.

    Attributes
    ----------
    pooled : dict
        Averages of all entries.
    """

    def __init__(self) -> None:
        self.pooled: LatencyReport = {}
        # Ordered by last use.
        self._averages: OrderedDict[tuple[str, ModelName], _Averages] = OrderedDict()

    def record(
        self, route: str, model: ModelName, timing: Timing, expected_tokens: int = 0
    ) -> None:
        """Record a successful answer and the number of tokens its caller expected."""
        average = self._averages.setdefault((route, model), _Averages())
        self._averages.move_to_end((route, model))
        if len(self._averages) > MAX_PAIRS:
            self._averages.popitem(last=False)
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
        average = self._find(route, model)
        if average is None or average.estimates < MIN_SAMPLES:
            return None
        events = expected_tokens / exp(average.log_token_ratio)
        return average.head + events * average.event

    def estimate_generation(
        self, route: str, model: ModelName, expected_tokens: int
    ) -> float | None:
        """Return the estimated time of a stream from its first event to its end.

        It hardly depends on the load, other than the time until the first event.
        None with too few samples.
        """
        average = self._find(route, model)
        if average is None or average.samples < MIN_SAMPLES:
            return None
        if not expected_tokens or average.estimates < MIN_SAMPLES:
            return average.total - average.head
        events = expected_tokens / exp(average.log_token_ratio)
        return events * average.event

    def estimate_mean_generation(self) -> float | None:
        """Return the mean time from the first event to the end, of all models.

        None with too few samples.
        """
        averages = [
            average
            for route, model in self._list_pairs()
            if model and (average := self._find(route, model)) is not None
        ]
        samples = sum(average.samples for average in averages)
        if samples < MIN_SAMPLES:
            return None
        total = sum(
            average.samples * (average.total - average.head) for average in averages
        )
        return total / samples

    def is_slow(self, route: str, model: ModelName, timing: Timing) -> bool:
        """Whether an answer took several times as long as the average."""
        average = self._find(route, model)
        if average is None or average.samples < MIN_SAMPLES:
            return False
        if timing.events == 0:
            return timing.total_seconds > SLOW_TOTAL_FACTOR * average.total
        if timing.head_seconds > SLOW_START_FACTOR * average.head:
            return True
        if timing.events < MIN_EVENTS:
            return False
        return timing.event_seconds > SLOW_EVENT_FACTOR * average.event

    def is_slow_already(self, route: str, model: ModelName, progress: Progress) -> bool:
        """Whether an open answer has taken several times the average so far."""
        average = self._find(route, model)
        if average is None or average.samples < MIN_SAMPLES:
            return False
        if not progress.is_stream:
            return progress.seconds > SLOW_TOTAL_FACTOR * average.total
        if progress.head_seconds is None:
            return progress.seconds > SLOW_START_FACTOR * average.head
        if progress.head_seconds > SLOW_START_FACTOR * average.head:
            return True
        events = max(progress.events + 1, MIN_EVENTS)
        seconds = progress.seconds - progress.head_seconds
        return seconds > SLOW_EVENT_FACTOR * average.event * events

    def list_averages(self) -> LatencyReport:
        """Return the averages of this entry, to report them."""
        report: LatencyReport = {}
        for (route, model), average in self._averages.items():
            report.setdefault(route, {})[model] = RouteLatency(
                min(average.samples, MAX_WEIGHT),
                min(average.estimates, MAX_WEIGHT),
                round(MILLI * average.head),
                round(MILLI * average.total),
                round(MICRO * average.event),
                round(MILLI * average.log_token_ratio),
            )
        return report

    def _list_pairs(self) -> list[tuple[str, ModelName]]:
        if not self.pooled:
            return list(self._averages)
        return [(route, model) for route in self.pooled for model in self.pooled[route]]

    def _find(self, route: str, model: ModelName) -> _Averages | None:
        pooled = self.pooled.get(route, {}).get(model)
        if pooled is None:
            return self._averages.get((route, model))
        return _Averages(
            pooled.samples,
            pooled.estimates,
            pooled.log_ratio_milli / MILLI,
            pooled.head_ms / MILLI,
            pooled.event_us / MICRO,
            pooled.total_ms / MILLI,
        )


def merge_latencies(reports: Iterable[LatencyReport]) -> LatencyReport:
    """Return the averages of several reports, weighted by their samples.

    Of more than `MAX_PAIRS` pairs of route and model, those with most samples.
    """
    grouped: dict[str, dict[ModelName, list[RouteLatency]]] = {}
    for report in reports:
        for route, models in report.items():
            for model, latency in models.items():
                grouped.setdefault(route, {}).setdefault(model, []).append(latency)
    merged = [
        (route, model, _merge(latencies))
        for route, models in grouped.items()
        for model, latencies in models.items()
    ]
    merged.sort(key=lambda item: item[2].samples, reverse=True)
    pooled: LatencyReport = {}
    for route, model, latency in merged[:MAX_PAIRS]:
        pooled.setdefault(route, {})[model] = latency
    return pooled


def _merge(latencies: list[RouteLatency]) -> RouteLatency:
    samples = sum(latency.samples for latency in latencies)
    estimates = sum(latency.estimates for latency in latencies)

    def average(name: str) -> int:
        total = sum(item.samples * getattr(item, name) for item in latencies)
        return round(total / max(samples, 1))

    log_ratio = sum(item.estimates * item.log_ratio_milli for item in latencies)
    return RouteLatency(
        samples,
        estimates,
        average("head_ms"),
        average("total_ms"),
        average("event_us"),
        round(log_ratio / max(estimates, 1)),
    )
