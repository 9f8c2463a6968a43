"""Estimates of prefill time and cached prompts.

Prefill times are pooled: in a large fleet one entry sees too few prompts to tell the
time of a prefill from the time in a queue, and with wrong times it avoids the endpoints
that have a prompt cached.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from itertools import accumulate
from math import floor, log2

from bergamotwood_core.gateway.call import PromptPart
from bergamotwood_core.ids import EndpointId, Incarnation, ModelName

# Samples kept per model. The lower quartile estimates the time without queueing:
# even under load, a quarter of the prompts reach an idle engine.
MAX_SAMPLES = 32
QUARTILE = 0.25
# Buckets of a histogram of times per token for each factor of two.
BUCKETS_PER_OCTAVE = 8
# Prefill time per token before the first sample: 25 tokens per millisecond. The order
# of magnitude is sufficient, because the first few prompts replace it.
INITIAL_SECONDS_PER_TOKEN = 4e-5
# Shortest time per token of a sample: a billion tokens a second.
MIN_SECONDS_PER_TOKEN = 1e-9
# Minimum tokens of a prompt for a meaningful time per token.
MIN_SAMPLE_TOKENS = 200
# Histogram of times per token: number of samples in each bucket, by its index.
Histogram = dict[int, int]

# Prompt parts kept for each endpoint; engines cache some hundred prompts.
MAX_PARTS = 512


class PrefillRate:
    """Prefill time per token for each model.

    Attributes
    ----------
    pooled : dict
        Seconds per token for each model, estimated from the samples of all entries.
    """

    def __init__(self) -> None:
        self.pooled: dict[ModelName, float] = {}
        self._times: dict[ModelName, deque[float]] = {}

    def record(self, model: ModelName, tokens: int, seconds: float) -> None:
        """Record the time from sending a prompt to the start of the answer."""
        if tokens >= MIN_SAMPLE_TOKENS:
            times = self._times.setdefault(model, deque(maxlen=MAX_SAMPLES))
            times.append(seconds / tokens)

    def estimate(self, model: ModelName, tokens: int) -> float:
        """Return the seconds needed to prefill tokens that are not cached."""
        pooled = self.pooled.get(model)
        if pooled is not None:
            return pooled * tokens
        times = self._times.get(model)
        if not times:
            return INITIAL_SECONDS_PER_TOKEN * tokens
        return sorted(times)[int(QUARTILE * len(times))] * tokens

    def list_histograms(self) -> dict[ModelName, Histogram]:
        """Return the histogram of this entry's samples for each model."""
        return {
            model: dict(Counter(_find_bucket(time) for time in times))
            for model, times in self._times.items()
        }


def merge_histograms(
    reports: Iterable[dict[ModelName, Histogram]],
) -> dict[ModelName, Histogram]:
    """Return the sums of the histograms of several entries."""
    merged: dict[ModelName, Counter[int]] = {}
    for report in reports:
        for model, histogram in report.items():
            merged.setdefault(model, Counter()).update(histogram)
    return {model: dict(histogram) for model, histogram in merged.items()}


def estimate_rates(histograms: dict[ModelName, Histogram]) -> dict[ModelName, float]:
    """Return the lower quartile of the seconds per token for each model."""
    return {
        model: _find_quartile(histogram)
        for model, histogram in histograms.items()
        if histogram
    }


def _find_quartile(histogram: Histogram) -> float:
    buckets = sorted(histogram)
    counts = accumulate(histogram[bucket] for bucket in buckets)
    rank = int(QUARTILE * sum(histogram.values()))
    bucket = next(b for b, count in zip(buckets, counts, strict=True) if count > rank)
    return 2.0 ** ((bucket + 0.5) / BUCKETS_PER_OCTAVE)


def _find_bucket(time: float) -> int:
    return floor(BUCKETS_PER_OCTAVE * log2(max(time, MIN_SECONDS_PER_TOKEN)))


class PrefixCacheIndex:
    """Index of the prompt parts that are probably cached at each endpoint.

    Contains the parts that this entry has sent, by model. The least recently used
    ones are evicted, as in the engines.
    """

    def __init__(self) -> None:
        self._parts: dict[EndpointId, OrderedDict[tuple[ModelName, str], None]] = {}
        self._incarnations: dict[EndpointId, Incarnation] = {}

    def record(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        model: ModelName,
        parts: Iterable[PromptPart],
    ) -> None:
        """Record that a prompt was sent to an endpoint."""
        cached = self._find(endpoint, incarnation)
        for part in parts:
            cached[model, part.id] = None
            cached.move_to_end((model, part.id))
        while len(cached) > MAX_PARTS:
            cached.popitem(last=False)

    def count_cached(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        model: ModelName,
        parts: Iterable[PromptPart],
    ) -> int:
        """Return the number of tokens of a prompt that an endpoint has cached.

        A part counts only if all parts before it are cached as well.
        """
        cached = self._find(endpoint, incarnation)
        tokens = 0
        for part in parts:
            if (model, part.id) not in cached:
                break
            tokens += part.tokens
        return tokens

    def retain(self, endpoints: set[EndpointId]) -> None:
        """Remove all endpoints except the given ones."""
        for endpoint in set(self._parts) - endpoints:
            del self._parts[endpoint]
            del self._incarnations[endpoint]

    def _find(
        self, endpoint: EndpointId, incarnation: Incarnation
    ) -> OrderedDict[tuple[ModelName, str], None]:
        if self._incarnations.get(endpoint) != incarnation:
            self._incarnations[endpoint] = incarnation
            self._parts[endpoint] = OrderedDict()
        return self._parts[endpoint]
