"""Health of endpoints, observed passively from the traffic of this entry."""

from enum import StrEnum

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import EndpointId, Incarnation

# Pause after the first failed connection; it doubles with each further failure, up
# to the maximum. A restarted process is back within seconds.
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
# Limit on the exponent, which would overflow after many failures.
MAX_PAUSE_DOUBLINGS = 16
# Pause after a refusal for lack of capacity: a full queue has room again after
# about one short request.
FULL_PAUSE_SECONDS = 0.1
# Weight of the latest result in the exponential moving averages, which makes them
# cover about the last ten results.
SMOOTHING_FACTOR = 0.1
# Time without received data after which an endpoint with missing heartbeats is
# unresponsive. An endpoint that still sends data may only have lost its connection to
# the control group.
MAX_TRAFFIC_GAP_SECONDS = 1.5
# Time for which requests without an answer count as one failure: a sound endpoint may
# stop for about a second, with all of its requests.
SILENCE_SECONDS = 0.75
# Failure rate above which an endpoint is considered failing. Healthy services fail
# up to one request in seven.
FAILING_RATE = 0.3


class AttemptResult(StrEnum):
    """Result of an attempt at an endpoint.

    Attributes
    ----------
    OK
        The endpoint sent a valid response without a server error.
    UNREACHABLE
        No connection could be opened.
    REPLACED
        Another endpoint has answered at the address.
    FULL
        The endpoint refused the request without executing it.
    ERROR
        The endpoint sent a complete response with a server error.
    BROKEN
        The connection broke, or the response was invalid.
    SILENT
        The endpoint sent nothing in time.
    EVACUATED
        Its data centre was evacuated before the request was sent.
    """

    OK = "ok"
    UNREACHABLE = "unreachable"
    REPLACED = "replaced"
    FULL = "full"
    ERROR = "error"
    BROKEN = "broken"
    SILENT = "silent"
    EVACUATED = "evacuated"


class EndpointHealth(Struct):
    """Health of one incarnation of an endpoint, as observed by this entry.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation; a new one starts with empty health data.
    paused_until : Seconds
        Time before which no request is sent.
    failures : int
        Consecutive failed connections.
    failure_rate : float
        Moving average of the share of attempts that failed.
    response_seconds : float
        Moving average of the response time; 0 before the first response.
    is_replaced : bool
        Whether another endpoint now uses its address.
    last_received_at : Seconds
        Time at which data was last received from the endpoint.
    silent_at : Seconds
        Time at which it was last counted that the endpoint sent nothing in time.
    """

    incarnation: Incarnation
    paused_until: Seconds = Seconds(0.0)
    failures: int = 0
    failure_rate: float = 0.0
    response_seconds: float = 0.0
    is_replaced: bool = False
    last_received_at: Seconds = Seconds(float("-inf"))
    silent_at: Seconds = Seconds(float("-inf"))


class HealthTable:
    """Health of all endpoints that this entry has used."""

    def __init__(self) -> None:
        self._health: dict[EndpointId, EndpointHealth] = {}

    def find(self, endpoint: EndpointId, incarnation: Incarnation) -> EndpointHealth:
        """Return the health of an incarnation; a newer one starts with empty data."""
        known = self._health.get(endpoint)
        if known is None or known.incarnation < incarnation:
            known = self._health[endpoint] = EndpointHealth(incarnation)
        return known

    def record_traffic(
        self, endpoint: EndpointId, incarnation: Incarnation, now: Seconds
    ) -> None:
        """Record that data was received from an endpoint."""
        self.find(endpoint, incarnation).last_received_at = now

    def is_unresponsive(
        self, endpoint: EndpointId, incarnation: Incarnation, now: Seconds
    ) -> bool:
        """Whether no data was received from an endpoint for too long."""
        last_received_at = self.find(endpoint, incarnation).last_received_at
        return now - last_received_at > MAX_TRAFFIC_GAP_SECONDS

    def forgive_failed_connections(self, endpoint: EndpointId) -> None:
        """End the pause of an endpoint to which connections have failed."""
        known = self._health.get(endpoint)
        if known is not None and known.failures:
            known.failures = 0
            known.paused_until = Seconds(0.0)

    def pause(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        now: Seconds,
        seconds: float,
    ) -> None:
        """Send no request to an endpoint for some time."""
        _pause(self.find(endpoint, incarnation), now, seconds)

    def has_received_since(
        self, endpoint: EndpointId, incarnation: Incarnation, at: Seconds
    ) -> bool:
        """Whether data was received from an endpoint after some time."""
        return self.find(endpoint, incarnation).last_received_at > at

    def retain(self, endpoints: set[EndpointId]) -> None:
        """Remove all endpoints except the given ones."""
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
        """Record the result of an attempt.

        Parameters
        ----------
        endpoint, incarnation : EndpointId, Incarnation
            Endpoint that the request was sent to.
        result : AttemptResult
            Result of the attempt.
        seconds : float
            Duration of the attempt.
        now : Seconds
            Current time.
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
            case AttemptResult.BROKEN:
                _update_failure_rate(health, 1.0)
            case AttemptResult.SILENT:
                _record_silence(health, now)
            case AttemptResult.FULL:
                _pause(health, now, FULL_PAUSE_SECONDS)
            case AttemptResult.REPLACED:
                health.is_replaced = True
            case AttemptResult.UNREACHABLE:
                doublings = min(health.failures, MAX_PAUSE_DOUBLINGS)
                health.failures += 1
                pause = FIRST_PAUSE_SECONDS * 2**doublings
                _pause(health, now, min(pause, MAX_PAUSE_SECONDS))


def _pause(health: EndpointHealth, now: Seconds, seconds: float) -> None:
    health.paused_until = max(Seconds(now + seconds), health.paused_until)


def _record_silence(health: EndpointHealth, now: Seconds) -> None:
    has_answered_since = health.last_received_at > health.silent_at
    if has_answered_since or now - health.silent_at >= SILENCE_SECONDS:
        health.silent_at = now
        _update_failure_rate(health, 1.0)


def _update_failure_rate(health: EndpointHealth, value: float) -> None:
    health.failure_rate += SMOOTHING_FACTOR * (value - health.failure_rate)


def _update_response_time(health: EndpointHealth, value: float) -> None:
    if health.response_seconds == 0.0:
        health.response_seconds = value
    health.response_seconds += SMOOTHING_FACTOR * (value - health.response_seconds)
