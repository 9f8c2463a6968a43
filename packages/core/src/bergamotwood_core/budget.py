"""Rate limit of rating requests: a token bucket that backs off after refusals."""

from bergamotwood_core.clock import Seconds

# Window of the moving average of request intervals, in requests.
RATE_WINDOW_REQUESTS = 100.0
# Multiplier of the refill rate after a refusal, and its recovery per second.
REFUSAL_FACTOR = 0.5
RECOVERY_PER_SECOND = 0.01
MIN_RATE_FACTOR = 0.02


class RatingBudget:
    """Token bucket of the ratings that this entry may request.

    Parameters
    ----------
    per_second : float
        Tokens added per second.
    burst : float
        Capacity of the bucket, in tokens.
    """

    def __init__(self, per_second: float, burst: float) -> None:
        self.per_second = per_second
        self.burst = burst
        self._tokens = burst
        self._rate_factor = 1.0
        self._filled_at: Seconds | None = None
        self._requested_at: Seconds | None = None
        self._interval = 0.0

    @property
    def ratings_per_request(self) -> float:
        """Maximum mean number of ratings per request."""
        if self._interval <= 0.0:
            return self.burst
        return self.per_second * self._rate_factor * self._interval

    def compute_fill_level(self, now: Seconds) -> float:
        """Compute the fill level of the bucket, as a fraction of its capacity."""
        self._refill(now)
        return self._tokens / self.burst

    def count_request(self, now: Seconds) -> None:
        """Update the mean interval between requests."""
        if self._requested_at is not None:
            elapsed = now - self._requested_at
            weight = 1.0 / RATE_WINDOW_REQUESTS if self._interval else 1.0
            self._interval += weight * (elapsed - self._interval)
        self._requested_at = now

    def take(self, now: Seconds, amount: float = 1.0) -> bool:
        """Take tokens if at least one is available.

        Parameters
        ----------
        now : Seconds
            Current time.
        amount : float
            Expected number of ratings; the balance may become negative.

        Returns
        -------
        bool
            Whether the tokens were taken.
        """
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= amount
        return True

    def record_refusal(self, now: Seconds) -> None:
        """Empty the bucket and lower its refill rate after a refused rating."""
        self._refill(now)
        self._tokens = 0.0
        self._rate_factor = max(self._rate_factor * REFUSAL_FACTOR, MIN_RATE_FACTOR)

    def _refill(self, now: Seconds) -> None:
        if self._filled_at is not None:
            elapsed = max(now - self._filled_at, 0.0)
            self._rate_factor = min(
                1.0, self._rate_factor + RECOVERY_PER_SECOND * elapsed
            )
            self._tokens += elapsed * self.per_second * self._rate_factor
            self._tokens = min(self._tokens, self.burst)
        self._filled_at = now
