"""Time that endpoints need to read prompts, learned from an entry's own traffic."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from bergamotwood_core.gateway.call import PromptPart
from bergamotwood_core.ids import EndpointId, Incarnation, ModelName

# Times of one model that are kept. The lower quartile is the time without
# waiting: a quarter of the prompts meet an idle engine even under load.
MAX_SAMPLES = 32
QUARTILE = 0.25
# Time for a token before any was measured, in seconds: 25 tokens a millisecond.
# It only has to be of the right order: the first few prompts correct it.
INITIAL_SECONDS_PER_TOKEN = 4e-5
# Least tokens of a prompt that say something about the time for a token.
MIN_SAMPLE_TOKENS = 200
# Parts remembered for each endpoint; engines hold some hundred prompts.
MAX_PARTS = 512


class PrefillRate:
    """Seconds for each token of a prompt, by model."""

    def __init__(self) -> None:
        self._times: dict[ModelName, deque[float]] = {}

    def record(self, model: ModelName, tokens: int, seconds: float) -> None:
        """Take in the time from sending a prompt to the answer's beginning."""
        if tokens >= MIN_SAMPLE_TOKENS:
            times = self._times.setdefault(model, deque(maxlen=MAX_SAMPLES))
            times.append(seconds / tokens)

    def estimate(self, model: ModelName, tokens: int) -> float:
        """Return seconds to read tokens that are not cached."""
        times = self._times.get(model)
        if not times:
            return INITIAL_SECONDS_PER_TOKEN * tokens
        return sorted(times)[int(QUARTILE * len(times))] * tokens


class PrefixCacheIndex:
    """Parts of prompts that an entry has sent to each endpoint, by model.

    Least recently used parts are forgotten, as in the engines.
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
        """Note that an endpoint reads a prompt."""
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
        """Return the tokens of a prompt that an endpoint has read before.

        A part counts only if all parts before it do.
        """
        cached = self._find(endpoint, incarnation)
        tokens = 0
        for part in parts:
            if (model, part.id) not in cached:
                break
            tokens += part.tokens
        return tokens

    def retain(self, endpoints: set[EndpointId]) -> None:
        """Forget all other endpoints."""
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
