"""Length, speed and cost of answers, estimated from earlier answers."""

from dataclasses import dataclass

from bergamotwood_core.ids import VersionId

# Averages assumed for a version without answers.
DEFAULT_OUTPUT_TOKENS = 300.0
DEFAULT_TOKEN_SECONDS = 0.03
# Window of the moving averages, in answers.
USAGE_WINDOW_ANSWERS = 50.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A version that may answer a request.

    Parameters
    ----------
    version : VersionId
        Version.
    input_price, output_price : float
        Cost units per 1,000 prompt and generated tokens.
    first_token_seconds : float
        Expected time to the first token, given the current load of its endpoints.
    """

    version: VersionId
    input_price: float
    output_price: float
    first_token_seconds: float

    def compute_cost(self, prompt_tokens: float, output_tokens: float) -> float:
        """Compute the cost of one answer, in cost units."""
        cost = self.input_price * prompt_tokens + self.output_price * output_tokens
        return cost / 1_000.0


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens and latencies of one answer."""

    prompt_tokens: int
    output_tokens: int
    first_token_seconds: float
    total_seconds: float


@dataclass(slots=True)
class UsageAverage:
    """Moving averages over the answers of one version to one request class."""

    output_tokens: float = DEFAULT_OUTPUT_TOKENS
    decode_seconds: float = DEFAULT_OUTPUT_TOKENS * DEFAULT_TOKEN_SECONDS
    count: int = 0

    def add(self, usage: Usage) -> None:
        """Add one answer."""
        self.count += 1
        weight = 1.0 / min(self.count, USAGE_WINDOW_ANSWERS)
        decode = max(usage.total_seconds - usage.first_token_seconds, 0.0)
        self.output_tokens += weight * (usage.output_tokens - self.output_tokens)
        self.decode_seconds += weight * (decode - self.decode_seconds)
