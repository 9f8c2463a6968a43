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
        self._level = float(burst)
        self._filled_at = read_clock()

    def take(self) -> float:
        """Take one request; 0 when it may pass, else the seconds to wait."""
        now = read_clock()
        gained = (now - self._filled_at) * self._rate
        self._level = min(float(self._burst), self._level + gained)
        self._filled_at = now
        if self._level < 1.0:
            return (1.0 - self._level) / self._rate
        self._level -= 1.0
        return 0.0
