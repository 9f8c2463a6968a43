"""Outlier detection: what attempts tell about their endpoints."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.tables import Endpoint

FAILURES_TO_EJECT = 3
EJECTION_BASE_SECONDS = 2.0
EJECTION_CAP_SECONDS = 60.0
# Weight of the newest time to the first token in the moving average.
LATENCY_SMOOTHING = 0.2
# An endpoint counts as silent after this time without any first token.
MIN_SILENCE_SECONDS = 3.0
SILENCE_FACTOR = 5.0


def record_start(endpoint: Endpoint, now: Seconds) -> None:
    """Count an attempt that is being sent to an endpoint."""
    endpoint.outstanding += 1
    if endpoint.awaiting_first_token == 0:
        endpoint.awaiting_since = now
    endpoint.awaiting_first_token += 1


def record_first_token(endpoint: Endpoint, seconds: float, now: Seconds) -> None:
    """Note an attempt's first token.

    Parameters
    ----------
    endpoint : Endpoint
        Which sent it.
    seconds : float
        Time from dispatch to the first token, or to a plain answer.
    now : Seconds
        When it came.
    """
    endpoint.awaiting_first_token = max(0, endpoint.awaiting_first_token - 1)
    endpoint.awaiting_since = now
    if endpoint.first_token_seconds == 0.0:
        endpoint.first_token_seconds = seconds
        return
    change = seconds - endpoint.first_token_seconds
    endpoint.first_token_seconds += LATENCY_SMOOTHING * change


def record_success(endpoint: Endpoint, now: Seconds) -> None:
    """Note an attempt that ended whole, after its first token was noted."""
    endpoint.outstanding = max(0, endpoint.outstanding - 1)
    endpoint.failures = 0
    endpoint.ejected_until = now


def record_failure(endpoint: Endpoint, now: Seconds, answered: bool = False) -> None:
    """Note a failed attempt, and eject the endpoint after several in a row.

    One is enough from a silent endpoint: other attempts waited there in vain too.

    Parameters
    ----------
    endpoint : Endpoint
        Which failed.
    now : Seconds
        When.
    answered : bool
        Whether the attempt's first token had come.
    """
    if is_silent(endpoint, now):
        endpoint.failures = max(endpoint.failures, FAILURES_TO_EJECT - 1)
    record_cancel(endpoint, answered)
    endpoint.failures += 1
    excess = endpoint.failures - FAILURES_TO_EJECT
    if excess < 0:
        return
    ejection = min(EJECTION_CAP_SECONDS, EJECTION_BASE_SECONDS * 2.0 ** min(excess, 10))
    endpoint.ejected_until = Seconds(now + ejection)


def record_cancel(endpoint: Endpoint, answered: bool = False) -> None:
    """Note an attempt that this daemon gave up, with no blame.

    Parameters
    ----------
    endpoint : Endpoint
        Where it ran.
    answered : bool
        Whether its first token had come.
    """
    endpoint.outstanding = max(0, endpoint.outstanding - 1)
    if not answered:
        endpoint.awaiting_first_token = max(0, endpoint.awaiting_first_token - 1)


def is_silent(endpoint: Endpoint, now: Seconds) -> bool:
    """Whether an endpoint takes work and has sent no first token for long.

    It gets no new work meanwhile; the attempts that wait there go on until their
    own timeouts.
    """
    if endpoint.awaiting_first_token == 0:
        return False
    usual = SILENCE_FACTOR * endpoint.first_token_seconds
    return now - endpoint.awaiting_since > max(MIN_SILENCE_SECONDS, usual)
