"""Rate limit of the fake rating service and the fake weight store."""

from bergamotwood_fakes.record import read_clock


class RateLimit:
    """A token bucket that starts full.

    Parameters
    ----------
    rate : float
        Requests per second.
    burst : int
        Capacity of the bucket, in requests.
    """

    def __init__(self, rate: float, burst: int) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = read_clock()

    def take(self) -> float:
        """Take a token and return 0, or return the seconds until there is one."""
        now = read_clock()
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(float(self._burst), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate
        self._tokens -= 1.0
        return 0.0
