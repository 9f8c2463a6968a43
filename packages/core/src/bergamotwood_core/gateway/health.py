"""Health of endpoints, found from an entry's own traffic."""

from enum import StrEnum

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import EndpointId, Incarnation

# First pause after a failed connection, doubled with each further one: a
# restarted process is back within seconds.
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
# Pause after a refusal: a full queue moves on within about one short request.
FULL_PAUSE_SECONDS = 0.1
# Weight of the newest result in the moving averages: about the last ten count.
SMOOTHING_FACTOR = 0.1
# Time without a byte from an endpoint after which the absence of its beats
# counts: it may only be cut off from the control group.
MAX_TRAFFIC_GAP_SECONDS = 1.5
# Failure rate from which an endpoint counts as failing. Sound services fail up
# to one request in seven by themselves.
FAILING_RATE = 0.3


class AttemptResult(StrEnum):
    """How an attempt at an endpoint ended."""

    OK = "ok"
    UNREACHABLE = "unreachable"
    REPLACED = "replaced"
    FULL = "full"
    ERROR = "error"
    BROKEN = "broken"
    SILENT = "silent"


class EndpointHealth(Struct):
    """What an entry has seen of one incarnation.

    Parameters
    ----------
    incarnation : Incarnation
        The incarnation; a new one begins anew.
    paused_until : Seconds
        No request is sent before.
    failures : int
        Failed connections in a row.
    failure_rate : float
        Moving average of attempts that failed.
    seconds : float
        Moving average of the time to an answer; 0 before the first.
    is_replaced : bool
        Whether another endpoint has its address.
    heard_at : Seconds
        When it last sent anything.
    """

    incarnation: Incarnation
    paused_until: Seconds = Seconds(0.0)
    failures: int = 0
    failure_rate: float = 0.0
    seconds: float = 0.0
    is_replaced: bool = False
    heard_at: Seconds = Seconds(float("-inf"))


class HealthTable:
    """Health of all endpoints that an entry has used."""

    def __init__(self) -> None:
        self._health: dict[EndpointId, EndpointHealth] = {}

    def find(self, endpoint: EndpointId, incarnation: Incarnation) -> EndpointHealth:
        """Return what is known of an incarnation."""
        known = self._health.get(endpoint)
        if known is None or known.incarnation < incarnation:
            known = self._health[endpoint] = EndpointHealth(incarnation)
        return known

    def record_traffic(
        self, endpoint: EndpointId, incarnation: Incarnation, now: Seconds
    ) -> None:
        """Note that an endpoint has sent something."""
        self.find(endpoint, incarnation).heard_at = now

    def is_unresponsive(
        self, endpoint: EndpointId, incarnation: Incarnation, now: Seconds
    ) -> bool:
        """Whether an endpoint whose beats are missing is silent here too."""
        heard_at = self.find(endpoint, incarnation).heard_at
        return now - heard_at > MAX_TRAFFIC_GAP_SECONDS

    def retain(self, endpoints: set[EndpointId]) -> None:
        """Forget all other endpoints."""
        for endpoint in set(self._health) - endpoints:
            del self._health[endpoint]

    def record_result(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        result: AttemptResult,
        seconds: float,
        now: Seconds,
    ) -> None:
        """Take in how an attempt ended.

        Parameters
        ----------
        endpoint, incarnation : EndpointId, Incarnation
            Where it was.
        result : Result
            How it ended.
        seconds : float
            How long it took.
        now : Seconds
            The time.
        """
        health = self.find(endpoint, incarnation)
        match result:
            case AttemptResult.OK:
                health.failures = 0
                _update_failure_rate(health, 0.0)
                _update_response_time(health, seconds)
            case AttemptResult.ERROR:
                health.failures = 0
                _update_failure_rate(health, 1.0)
            case AttemptResult.BROKEN | AttemptResult.SILENT:
                _update_failure_rate(health, 1.0)
            case AttemptResult.FULL:
                health.paused_until = Seconds(now + FULL_PAUSE_SECONDS)
            case AttemptResult.REPLACED:
                health.is_replaced = True
            case AttemptResult.UNREACHABLE:
                pause = FIRST_PAUSE_SECONDS * 2**health.failures
                health.failures += 1
                pause = min(pause, MAX_PAUSE_SECONDS)
                health.paused_until = Seconds(now + pause)


def _update_failure_rate(health: EndpointHealth, value: float) -> None:
    health.failure_rate += SMOOTHING_FACTOR * (value - health.failure_rate)


def _update_response_time(health: EndpointHealth, value: float) -> None:
    if health.seconds == 0.0:
        health.seconds = value
    health.seconds += SMOOTHING_FACTOR * (value - health.seconds)
