"""Budgets and delays of retries and hedged requests."""

from bisect import bisect_left, insort
from collections import deque
from random import Random

# Retries and hedges allowed for each offered request.
RETRY_RATIO = 0.1
MAX_RETRY_TOKENS = 100.0
BACKOFF_BASE_SECONDS = 0.1
BACKOFF_CAP_SECONDS = 10.0
HEDGE_QUANTILE = 0.95
HEDGE_WINDOW = 256
HEDGE_MIN_SAMPLES = 32


class RetryBudget:
    """Token bucket that earns a share of an attempt for each offered request.

    Parameters
    ----------
    ratio : float
        Extra attempts for each offered request.
    max_tokens : float
        Extra attempts that a quiet time may save up.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, max_tokens: float = MAX_RETRY_TOKENS
    ) -> None:
        self.ratio = ratio
        self.max_tokens = max_tokens
        self.tokens = 0.0

    def record_offered(self) -> None:
        """Earn for one offered request."""
        self.tokens = min(self.max_tokens, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one extra attempt; False when the budget does not allow it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class HedgeBudget:
    """When to send a short idempotent call a second time.

    Hedges draw on the retry budget, and only while it is more than half full,
    so that they never take the tokens that an outage needs.

    Parameters
    ----------
    retries : RetryBudget
        Budget that hedges and retries share.
    quantile : float
        Share of calls that answer before a hedge is sent.
    window : int
        Recent latencies kept.
    """

    def __init__(
        self,
        retries: RetryBudget,
        quantile: float = HEDGE_QUANTILE,
        window: int = HEDGE_WINDOW,
    ) -> None:
        self.retries = retries
        self.quantile = quantile
        self.window = window
        self._recent: deque[float] = deque()
        self._ordered: list[float] = []

    def record_latency(self, seconds: float) -> None:
        """Remember how long a call took, in seconds."""
        if len(self._recent) == self.window:
            oldest = self._recent.popleft()
            del self._ordered[bisect_left(self._ordered, oldest)]
        self._recent.append(seconds)
        insort(self._ordered, seconds)

    @property
    def delay_seconds(self) -> float | None:
        """How long to wait before a hedge; None while too little is known."""
        if len(self._ordered) < HEDGE_MIN_SAMPLES:
            return None
        return self._ordered[int(self.quantile * (len(self._ordered) - 1))]

    def try_spend(self) -> bool:
        """Take one hedge; False when the budget does not allow it."""
        if self.retries.tokens < self.retries.max_tokens / 2:
            return False
        return self.retries.try_spend()


def compute_backoff(attempt: int, rng: Random) -> float:
    """Compute a jittered delay before a retry, in seconds.

    Parameters
    ----------
    attempt : int
        Retries made before, from 0.
    rng : Random
        Source of the jitter.
    """
    ceiling = min(BACKOFF_CAP_SECONDS, BACKOFF_BASE_SECONDS * 2.0 ** min(attempt, 30))
    return rng.uniform(ceiling / 2, ceiling)
