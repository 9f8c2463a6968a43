"""Outlier detection: failures, latency and silence of endpoints."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.tables import Endpoint

FAILURES_TO_EJECT = 3
EJECTION_BASE_SECONDS = 2.0
EJECTION_CAP_SECONDS = 60.0
# Smoothing factor of the moving average of first-token times.
LATENCY_SMOOTHING = 0.2
# An endpoint counts as silent after this time without any first token, or after
# this multiple of its mean first-token time if that is longer.
MIN_SILENCE_SECONDS = 3.0
SILENCE_FACTOR = 5.0


def record_start(endpoint: Endpoint, now: Seconds) -> None:
    """Record the start of an attempt."""
    endpoint.outstanding += 1
    if endpoint.awaiting_first_token == 0:
        endpoint.awaiting_since = now
    endpoint.awaiting_first_token += 1


def record_first_token(endpoint: Endpoint, seconds: float, now: Seconds) -> None:
    """Record the first token of an attempt.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that sent it.
    seconds : float
        Time from dispatch to the first token, or to an answer that is not streamed.
    now : Seconds
        Current time.
    """
    endpoint.awaiting_first_token = max(0, endpoint.awaiting_first_token - 1)
    endpoint.awaiting_since = now
    if endpoint.first_token_seconds == 0.0:
        endpoint.first_token_seconds = seconds
        return
    change = seconds - endpoint.first_token_seconds
    endpoint.first_token_seconds += LATENCY_SMOOTHING * change


def record_success(endpoint: Endpoint, now: Seconds) -> None:
    """Record a completed attempt whose first token has been recorded."""
    endpoint.outstanding = max(0, endpoint.outstanding - 1)
    endpoint.failures = 0
    endpoint.ejected_until = now


def record_failure(endpoint: Endpoint, now: Seconds, answered: bool = False) -> None:
    """Record a failed attempt; eject the endpoint after several consecutive failures.

    A single failure ejects a silent endpoint, since none of the waiting attempts has
    received a first token.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that failed.
    now : Seconds
        Current time.
    answered : bool
        Whether the attempt had received its first token.
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
    """Record an attempt cancelled by this daemon, which does not count as a failure.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that ran the attempt.
    answered : bool
        Whether the attempt had received its first token.
    """
    endpoint.outstanding = max(0, endpoint.outstanding - 1)
    if not answered:
        endpoint.awaiting_first_token = max(0, endpoint.awaiting_first_token - 1)


def is_silent(endpoint: Endpoint, now: Seconds) -> bool:
    """Whether attempts have waited too long for any first token from an endpoint.

    A silent endpoint gets no new work. Attempts that already wait there continue
    until their own timeouts.
    """
    if endpoint.awaiting_first_token == 0:
        return False
    usual = SILENCE_FACTOR * endpoint.first_token_seconds
    return now - endpoint.awaiting_since > max(MIN_SILENCE_SECONDS, usual)
