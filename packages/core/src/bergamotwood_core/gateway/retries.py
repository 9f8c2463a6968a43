"""Retries of requests: conditions and a budget for each service.

The budget answers retry storms. It is the whole fleet's: an entry that sees a few
requests in a window would often have no retry left when it has to ask a larger model,
while the fleet has used a fraction. Entries therefore report what they use, and a retry
is allowed by the fleet's sum as long as that is well below the limit.
"""

from collections import deque
from collections.abc import Iterable

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.ids import ServiceName

# Sends of one request beyond the route's `max_attempts`, because endpoints may refuse
# it without executing it.
MAX_REFUSED_SENDS = 2
# Minimum time before the deadline for a retry to be worthwhile.
MIN_RETRY_SECONDS = 0.05


# Fraction of the fleet's budget up to which every entry may retry, and up to which an
# entry may retry within its own share. The rest covers retries that are not reported
# yet, and requests counted at the boundary of a window.
OPEN_FRACTION = 0.6
SHARED_FRACTION = 0.8
# Age up to which reported sums are used.
MAX_USAGE_AGE_SECONDS = 2.0


class RetryUsage(Struct, frozen=True, array_like=True):
    """Requests of callers, and retries, in the current window."""

    requests: int
    retries: int


# Usage of each service.
UsageReport = dict[ServiceName, RetryUsage]


def merge_usage(reports: Iterable[UsageReport]) -> UsageReport:
    """Return the sum of several reports."""
    merged: UsageReport = {}
    for report in reports:
        for service, usage in report.items():
            known = merged.get(service, RetryUsage(0, 0))
            merged[service] = RetryUsage(
                known.requests + usage.requests, known.retries + usage.retries
            )
    return merged


class RetryBudget:
    """Limit on the retries that one entry may send to each service.

    The fleet's budget in a sliding window is a fraction of the requests plus a fixed
    number. While the fleet's usage is unknown, each entry applies the fraction to its
    own requests and uses an equal share of the fixed number, so that all entries
    together stay within the fleet's budget without coordination.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    extra : float
        Additional retries that the whole fleet may send in a window.
    window_seconds : float
        Length of the sliding window.
    share_fraction : float
        Fraction of its share that an entry uses.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_seconds: float,
        share_fraction: float = 1.0,
    ) -> None:
        self.entry_count = 1
        self._share_fraction = share_fraction
        self._fleet_usage: UsageReport = {}
        self._fleet_usage_at = Seconds(float("-inf"))
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
        is_within_share = self._is_within_share(service, now)
        usage = self._fleet_usage.get(service)
        if usage is None or now - self._fleet_usage_at > MAX_USAGE_AGE_SECONDS:
            return is_within_share
        fraction = SHARED_FRACTION if is_within_share else OPEN_FRACTION
        limit = self._ratio * usage.requests + self._extra
        return usage.retries + 1 <= fraction * limit

    def set_fleet_usage(self, usage: UsageReport, now: Seconds) -> None:
        """Replace the sums of what all entries have reported."""
        self._fleet_usage = usage
        self._fleet_usage_at = now

    def list_usage(self, now: Seconds) -> UsageReport:
        """Return what this entry has used in the current window."""
        usage = {
            service: RetryUsage(
                self._count_recent(self._requests, service, now),
                self._count_recent(self._retries, service, now),
            )
            for service in self._requests
        }
        return {service: used for service, used in usage.items() if used.requests}

    def record_retry(self, service: ServiceName, now: Seconds) -> None:
        """Record a retry that is sent."""
        self._record(self._retries, service, now)

    def _is_within_share(self, service: ServiceName, now: Seconds) -> bool:
        requests = self._count_recent(self._requests, service, now)
        retries = self._count_recent(self._retries, service, now)
        share = self._ratio * requests + self._extra / self.entry_count
        return retries + 1 <= self._share_fraction * share

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
