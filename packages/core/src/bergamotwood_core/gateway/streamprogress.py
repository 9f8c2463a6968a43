"""When a stream that sends bytes, but no new events, is given up.

An endpoint in trouble may send without end: bytes that complete no event, comments, or
events that the caller already has. Such a stream is given up after some time or number
of bytes, long before the deadline of its request.
"""

from bergamotwood_core.clock import Seconds

# Time with bytes but without a new event after which a stream is given up, in multiples
# of the route's longest desired gap between events: callers give up after as many.
USELESS_GAPS = 8.0
MIN_USELESS_SECONDS = 4.0
# Bytes without a new event after which a stream is given up.
MAX_USELESS_BYTES = 1024 * 1024


class StreamProgress:
    """Time and bytes since the last new event of a stream.

    Parameters
    ----------
    now : Seconds
        Time at which the stream begins.

    Attributes
    ----------
    last_event_at : Seconds
        Time of the last new event, or of the beginning.
    """

    def __init__(self, now: Seconds) -> None:
        self.last_event_at = now
        self._useless_bytes = 0
        self._useless_since = now

    def record_bytes(self, count: int, now: Seconds) -> None:
        """Record bytes that have arrived."""
        if not self._useless_bytes:
            # Not the last event: bytes may have waited while the caller read slowly.
            self._useless_since = now
        self._useless_bytes += count

    def record_event(self, now: Seconds) -> None:
        """Record a new event with data."""
        self.last_event_at = now
        self._useless_bytes = 0

    def extend(self, now: Seconds) -> None:
        """Wait for an event once more, as nothing else could go on with the stream."""
        self.last_event_at = now

    def is_useless(self, now: Seconds, timeout: float) -> bool:
        """Whether the stream has sent only useless bytes for too long.

        Parameters
        ----------
        now : Seconds
            Current time.
        timeout : float
            Seconds for which it may send bytes without a new event.
        """
        if not self._useless_bytes:
            return False
        return (
            self._useless_bytes > MAX_USELESS_BYTES
            or now - self._useless_since > timeout
        )


def compute_useless_timeout(event_gap_seconds: float) -> float:
    """Return the seconds for which a stream may send bytes without a new event.

    Parameters
    ----------
    event_gap_seconds : float
        The route's longest desired gap between events.
    """
    return max(USELESS_GAPS * event_gap_seconds, MIN_USELESS_SECONDS)


def is_later_id(event: str, last: str) -> bool:
    """Whether an event id comes after another one.

    Only decimal ids are ordered; any other id counts as later unless it is equal.
    """
    if not (event.isdecimal() and last.isdecimal()):
        return event != last
    # Ids may have more digits than `int` converts.
    event, last = event.lstrip("0"), last.lstrip("0")
    return (len(event), event) > (len(last), last)
