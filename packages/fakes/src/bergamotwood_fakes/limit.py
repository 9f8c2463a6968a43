"""A rate limit for the platform stand-ins."""

from bergamotwood_fakes.record import read_clock


class RateLimit:
    """A token bucket.

    Parameters
    ----------
    rate : float
        Requests per second.
    burst : int
        Requests that may come at once.
    """

    def __init__(self, rate: float, burst: int) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = read_clock()

    def take(self) -> float:
        """Take one request; 0 when it may pass, else the seconds to wait."""
        now = read_clock()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(float(self._burst), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate
        self._tokens -= 1.0
        return 0.0
