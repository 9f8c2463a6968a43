"""Budgets and delays for retries and hedged requests."""

from bisect import bisect_left, insort
from collections import deque
from random import Random

# Retries and hedges allowed per offered request.
RETRY_RATIO = 0.1
MAX_RETRY_TOKENS = 100.0
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_CAP_SECONDS = 10.0
HEDGE_QUANTILE = 0.95
HEDGE_WINDOW_CALLS = 256
HEDGE_MIN_SAMPLES = 32


class RetryBudget:
    """Token bucket that gains a fraction of a retry for each offered request.

    Parameters
    ----------
    ratio : float
        Extra attempts gained per offered request.
    max_tokens : float
        Capacity of the bucket, in extra attempts.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, max_tokens: float = MAX_RETRY_TOKENS
    ) -> None:
        self.ratio = ratio
        self.max_tokens = max_tokens
        self.tokens = 0.0

    def record_offered(self) -> None:
        """Add the fraction gained by one offered request."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one extra attempt; return False if the budget is exhausted."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class HedgeBudget:
    """Budget and delay for hedging short idempotent calls.

    Hedges use the retry budget only while it is at least half full, so that they
    never consume the tokens that retries need in an outage.

    Parameters
    ----------
    retries : RetryBudget
        Budget shared by hedges and retries.
    quantile : float
        Latency quantile after which a hedge is sent.
    window : int
        Number of recent latencies kept.
    """

    def __init__(
        self,
        retries: RetryBudget,
        quantile: float = HEDGE_QUANTILE,
        window: int = HEDGE_WINDOW_CALLS,
    ) -> None:
        self.retries = retries
        self.quantile = quantile
        self.window = window
        self._recent: deque[float] = deque()
        self._ordered: list[float] = []

    def record_latency(self, seconds: float) -> None:
        """Record the latency of a call, in seconds."""
        if len(self._recent) == self.window:
            oldest = self._recent.popleft()
            del self._ordered[bisect_left(self._ordered, oldest)]
        self._recent.append(seconds)
        insort(self._ordered, seconds)

    @property
    def delay_seconds(self) -> float | None:
        """Delay before a hedge is sent; None with fewer samples than the minimum."""
        if len(self._ordered) < HEDGE_MIN_SAMPLES:
            return None
        return self._ordered[int(self.quantile * (len(self._ordered) - 1))]

    def try_spend(self) -> bool:
        """Take one hedge; return False if the budget does not allow it."""
        if self.retries.tokens < self.retries.max_tokens / 2:
            return False
        return self.retries.try_spend()


def compute_backoff(attempt: int, rng: Random) -> float:
    """Compute a jittered delay before a retry, in seconds.

    Parameters
    ----------
    attempt : int
        Number of earlier retries.
    rng : Random
        Random number generator for the jitter.
    """
    ceiling = min(BACKOFF_CAP_SECONDS, BACKOFF_BASE_SECONDS * 2.0 ** min(attempt, 30))
    return rng.uniform(ceiling / 2, ceiling)
