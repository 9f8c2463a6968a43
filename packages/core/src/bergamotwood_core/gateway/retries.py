"""Repeats of requests: when one is allowed, and a budget for each service."""

from collections import deque

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.ids import ServiceName

# Sends of one request beyond its attempts that endpoints may refuse unrun.
MAX_REFUSED_SENDS = 2
# Least time in which a repeat can still be answered.
MIN_RETRY_SECONDS = 0.05


class RetryBudget:
    """Repeats that one entry may send to each service.

    The fleet's budget is a part of the requests in a sliding window and a
    fixed number. Each entry keeps to the part of its own requests and to its
    share of the fixed number, so that all together keep the fleet's budget
    without asking each other.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    extra : float
        Repeats that the whole fleet may send beside them in a window.
    window_seconds : float
        Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_seconds: float) -> None:
        self.instance_count = 1
        self._ratio = ratio
        self._extra = extra
        self._window = window_seconds
        self._requests: dict[ServiceName, deque[Seconds]] = {}
        self._retries: dict[ServiceName, deque[Seconds]] = {}

    def record_request(self, service: ServiceName, now: Seconds) -> None:
        """Count a request of a caller."""
        self._count(self._requests, service, now)

    def allows(self, service: ServiceName, now: Seconds) -> bool:
        """Whether one more repeat is within the budget."""
        requests = self._count_recent(self._requests, service, now)
        retries = self._count_recent(self._retries, service, now)
        return retries + 1 <= self._ratio * requests + self._extra / self.instance_count

    def record_retry(self, service: ServiceName, now: Seconds) -> None:
        """Count a repeat that is being sent."""
        self._count(self._retries, service, now)

    def _count(
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
    """Whether the terms of a request allow another send.

    Parameters
    ----------
    call : Call
        The request, with the sends so far.
    has_run : bool
        Whether the last send may have run.
    now : Seconds
        The time.
    """
    if call.deadline - now < MIN_RETRY_SECONDS:
        return False
    if has_run and not call.route.is_retryable:
        return False
    if call.runs >= call.route.max_attempts:
        return False
    return len(call.tried) < call.route.max_attempts + MAX_REFUSED_SENDS
