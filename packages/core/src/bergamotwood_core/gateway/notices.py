"""Notices in the answers of endpoints: that an endpoint leaves, or wants a pause.

A notice binds this entry, whatever the directory says about the endpoint meanwhile: an
answer may be newer than the latest heartbeat. It answers planned restarts, and overload
of single endpoints.
"""

from random import Random

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import EndpointId, Incarnation

# Longest pause that an endpoint can ask for. It bounds the harm of a wrong value.
MAX_PAUSE_SECONDS = 120.0
# Fraction by which a pause is extended at random. Entries that were paused together
# would otherwise return in the same moment.
PAUSE_SPREAD = 0.1
# Time for which a leave notice is kept, and the part of it in which it is reported.
LEAVE_RETENTION_SECONDS = 3_600.0
LEAVE_REPORT_SECONDS = 5.0
# Delay between the returns of callers of successive priorities, and the range in which
# callers of one priority are spread.
RETURN_STEP_SECONDS = 0.1
MAX_RETURN_STEPS = 4

IncarnationKey = tuple[EndpointId, Incarnation]


class LeavingEndpoint(Struct, frozen=True, array_like=True):
    """Incarnation of an endpoint that has announced in an answer that it leaves."""

    endpoint: EndpointId
    incarnation: Incarnation


class NoticeTable:
    """Notices that this entry has received.

    Parameters
    ----------
    rng : Random
        Spreads the ends of pauses.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._left_at: dict[IncarnationKey, Seconds] = {}
        self._paused_until: dict[IncarnationKey, Seconds] = {}

    def record_leaving(
        self, endpoint: EndpointId, incarnation: Incarnation, now: Seconds
    ) -> bool:
        """Record that an endpoint leaves; return whether this is new."""
        key = (endpoint, incarnation)
        if key in self._left_at:
            return False
        self._left_at[key] = now
        return True

    def record_pause(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        seconds: float,
        now: Seconds,
    ) -> None:
        """Record that an endpoint wants no requests for some seconds."""
        key = (endpoint, incarnation)
        spread = 1.0 + PAUSE_SPREAD * self._rng.random()
        until = Seconds(now + min(seconds, MAX_PAUSE_SECONDS) * spread)
        self._paused_until[key] = max(until, self._paused_until.get(key, until))

    def is_leaving(self, endpoint: EndpointId, incarnation: Incarnation) -> bool:
        """Whether an incarnation has announced that it leaves."""
        return (endpoint, incarnation) in self._left_at

    def measure_pause(
        self, endpoint: EndpointId, incarnation: Incarnation, now: Seconds
    ) -> float:
        """Return the seconds for which an incarnation gets no requests."""
        until = self._paused_until.get((endpoint, incarnation))
        return 0.0 if until is None else max(until - now, 0.0)

    def list_leaving(self, now: Seconds) -> tuple[LeavingEndpoint, ...]:
        """Return the recent leave notices, to report them to other entries."""
        since = now - LEAVE_REPORT_SECONDS
        return tuple(
            LeavingEndpoint(*key) for key, at in self._left_at.items() if at > since
        )

    def expire(self, now: Seconds) -> None:
        """Remove notices that no longer have an effect."""
        limit = now - LEAVE_RETENTION_SECONDS
        self._left_at = {key: at for key, at in self._left_at.items() if at > limit}
        self._paused_until = {
            key: until for key, until in self._paused_until.items() if until > now
        }


def compute_return(seconds: float, priority: int, rng: Random) -> float:
    """Return the seconds after which a refused caller should come back.

    Callers of more urgent requests return first, and those of one priority are spread.

    Parameters
    ----------
    seconds : float
        Time until there is room again.
    priority : int
        Priority of the request; 0 is the most urgent.
    rng : Random
        Spreads the callers.
    """
    step = min(max(priority, 0), MAX_RETURN_STEPS - 1)
    return seconds + RETURN_STEP_SECONDS * (step + rng.random())
