"""Retries of requests: conditions and a budget for each service."""

from collections import deque

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.ids import ServiceName

# Sends of one request beyond the route's `max_attempts`, because endpoints may refuse
# it without executing it.
MAX_REFUSED_SENDS = 2
# Minimum time before the deadline for a retry to be worthwhile.
MIN_RETRY_SECONDS = 0.05


class RetryBudget:
    """Limit on the retries that one entry may send to each service.

    The fleet's budget in a sliding window is a fraction of the requests plus a fixed
    number. Each entry applies the fraction to its own requests and uses an equal
    share of the fixed number, so that all entries together stay within the fleet's
    budget without coordination.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    extra : float
        Additional retries that the whole fleet may send in a window.
    window_seconds : float
        Length of the sliding window.
    """

    def __init__(self, ratio: float, extra: float, window_seconds: float) -> None:
        self.entry_count = 1
        self._ratio = ratio
        self._extra = extra
        self._window = window_seconds
        self._requests: dict[ServiceName, deque[Seconds]] = {}
        self._retries: dict[ServiceName, deque[Seconds]] = {}

    def record_request(self, service: ServiceName, now: Seconds) -> None:
        """Record a request of a caller."""
        self._record(self._requests, service, now)

    def allows(self, service: ServiceName, now: Seconds) -> bool:
        """Whether another retry is within the budget."""
        requests = self._count_recent(self._requests, service, now)
        retries = self._count_recent(self._retries, service, now)
        return retries + 1 <= self._ratio * requests + self._extra / self.entry_count

    def record_retry(self, service: ServiceName, now: Seconds) -> None:
        """Record a retry that is sent."""
        self._record(self._retries, service, now)

    def _record(
        self,
        table: dict[ServiceName, deque[Seconds]],
        service: ServiceName,
        now: Seconds,
    ) -> None:
        self._count_recent(table, service, now)
        table.setdefault(service, deque()).append(now)

    def _count_recent(
        self,
        table: dict[ServiceName, deque[Seconds]],
        service: ServiceName,
        now: Seconds,
    ) -> int:
        times = table.get(service)
        if times is None:
            return 0
        while times and times[0] < now - self._window:
            times.popleft()
        return len(times)


def may_retry(call: Call, has_run: bool, now: Seconds) -> bool:
    """Whether a request may be sent again.

    Parameters
    ----------
    call : Call
        The request, including its attempts so far.
    has_run : bool
        Whether the last attempt may have been executed.
    now : Seconds
        Current time.
    """
    if call.deadline - now < MIN_RETRY_SECONDS:
        return False
    if has_run and not call.route.is_retryable:
        return False
    if call.possible_executions >= call.route.max_attempts:
        return False
    return len(call.tried_endpoints) < call.route.max_attempts + MAX_REFUSED_SENDS
