"""Limits that endpoints name on what all entries together may send.

A limit is a number of requests a second, or of refusals a second that the endpoint
bears. This module keeps both; refusals are bounded by `brittle`.

An endpoint in need names its limit in its answers for as long as it holds, whatever its
heartbeats say. The control replicas issue permits for single requests, each replica its
share by the entries that poll it, so that all sends together keep the limit. It answers
overload of single endpoints.

An endpoint that is cold needs permits too; its limit comes from the configuration, and
`warmup` decides when it needs them and how many there are.
"""

from collections import deque
from collections.abc import Iterable
from math import isfinite

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.notices import IncarnationKey
from bergamotwood_core.gateway.warmup import (
    PERMIT_SECONDS,
    ColdEndpoints,
    WarmupIssuer,
)
from bergamotwood_core.ids import EndpointId, Incarnation, InstanceId

# Limit from which on no endpoint is limited by it.
MAX_LIMIT = 100_000.0
# Time for which a limit holds without being named again.
LIMIT_RETENTION_SECONDS = 30.0
# Time for which an entry reports what an endpoint has named.
REPORT_SECONDS = 4.0
# Permits that a replica saves, as the time in which they accumulate, but at least one.
BURST_SECONDS = 0.5
# Permits that a replica begins with, so that the first one takes half an interval.
INITIAL_PERMITS = 0.5
# Requests a second that find out whether a limit still holds, at least.
PROBE_RATE = 0.1
# Time for which requests that could have used a permit count as demand, and the number
# of them that is counted.
DEMAND_SECONDS = 1.0
MAX_DEMAND = 256
# Part of its recent requests for which an entry asks for permits for a cold endpoint.
COLD_DEMAND_FRACTION = 0.5
# Name of an entry where only one asks for permits.
UNNAMED_ENTRY = InstanceId("")
# Shortest wait for a permit: a poll and its answer.
MIN_WAIT_SECONDS = 0.5


class LimitReport(Struct, frozen=True, array_like=True):
    """What an incarnation has named last.

    Parameters
    ----------
    endpoint, incarnation : EndpointId, Incarnation
        The incarnation.
    requests_per_second : float or None
        Its limit; None if it no longer has one.
    age_seconds : float
        Time since it was named.
    refusals_per_second : float or None
        Refusals that it bears; None if it states none.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    requests_per_second: float | None
    age_seconds: float
    refusals_per_second: float | None = None


class RequestCount(Struct, frozen=True, array_like=True):
    """A number of requests for a limited incarnation: wanted, or permitted."""

    endpoint: EndpointId
    incarnation: Incarnation
    requests: int


class KnownLimit(Struct):
    """Newest statement of an incarnation about its limits.

    Parameters
    ----------
    requests_per_second : float or None
        Requests that it takes; None if it no longer has a limit.
    stated_at : Seconds
        Time of the statement.
    refusals_per_second : float or None
        Refusals that it bears; None if it no longer states any.
    """

    requests_per_second: float | None
    stated_at: Seconds
    refusals_per_second: float | None = None

    @property
    def has_limit(self) -> bool:
        """Whether it limits anything."""
        limits = self.requests_per_second, self.refusals_per_second
        return any(limit is not None for limit in limits)


class StatementTable:
    """Newest statement of each incarnation that has named a limit."""

    def __init__(self) -> None:
        self._limits: dict[IncarnationKey, KnownLimit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def find(self, key: IncarnationKey) -> KnownLimit | None:
        """Return the newest statement of an incarnation; None if there is none."""
        return self._limits.get(key)

    def put(self, key: IncarnationKey, statement: KnownLimit) -> bool:
        """Store a statement; return whether it is newer than what is known."""
        known = self._limits.get(key)
        if known is not None and known.stated_at >= statement.stated_at:
            return False
        self._limits[key] = statement
        return True

    def find_limit(self, key: IncarnationKey, now: Seconds) -> float | None:
        """Return the limit on requests; None if it has none now."""
        known = self._find_current(key, now)
        return known.requests_per_second if known else None

    def find_refusal_limit(self, key: IncarnationKey, now: Seconds) -> float | None:
        """Return the limit on refusals; None if it has none now."""
        known = self._find_current(key, now)
        return known.refusals_per_second if known else None

    def apply(self, reports: Iterable[LimitReport], now: Seconds) -> None:
        """Apply reports of statements."""
        for report in reports:
            key = (report.endpoint, report.incarnation)
            at = Seconds(now - report.age_seconds)
            self.put(
                key,
                KnownLimit(report.requests_per_second, at, report.refusals_per_second),
            )

    def list_reports(self, now: Seconds, max_age: float) -> tuple[LimitReport, ...]:
        """Return the statements up to an age, and drop those that no longer hold."""
        limit = now - LIMIT_RETENTION_SECONDS
        for key in [k for k, item in self._limits.items() if item.stated_at < limit]:
            del self._limits[key]
        return tuple(
            LimitReport(
                *key,
                known.requests_per_second,
                round(now - known.stated_at, 3),
                known.refusals_per_second,
            )
            for key, known in self._limits.items()
            if now - known.stated_at <= max_age
        )

    def _find_current(self, key: IncarnationKey, now: Seconds) -> KnownLimit | None:
        known = self._limits.get(key)
        if known is None or now - known.stated_at > LIMIT_RETENTION_SECONDS:
            return None
        return known


class LimitTable:
    """Limits that an entry knows of, and its permits.

    Parameters
    ----------
    cold : ColdEndpoints or None
        Endpoints that may be cold; None if there are none.

    Attributes
    ----------
    received_permits, used_permits : int
        Number of permits that the entry got, and of those that it used.
    """

    def __init__(self, cold: ColdEndpoints | None = None) -> None:
        self.cold = cold or ColdEndpoints()
        self.received_permits = 0
        self.used_permits = 0
        self._all = StatementTable()
        self._own = StatementTable()
        self._permits: dict[IncarnationKey, deque[Seconds]] = {}
        self._wanted: dict[IncarnationKey, deque[Seconds]] = {}

    @property
    def has_statements(self) -> bool:
        """Whether any endpoint has named a limit lately."""
        return len(self._all) > 0

    def record_answer(
        self,
        key: IncarnationKey,
        requests_per_second: float | None,
        sent_at: Seconds,
        now: Seconds,
        refusals_per_second: float | None = None,
    ) -> bool:
        """Record what an answer says of its endpoint's limits.

        Parameters
        ----------
        key : IncarnationKey
            The endpoint's incarnation.
        requests_per_second : float or None
            The limit in the answer; None if there is none.
        sent_at : Seconds
            Time at which the request was sent. An answer to a request that is older
            than the newest statement does not end the limit.
        now : Seconds
            Time of the answer.
        refusals_per_second : float or None
            The limit on refusals in the answer; None if there is none.

        Returns
        -------
        bool
            Whether a limit has changed.
        """
        known = self._all.find(key)
        statement = KnownLimit(requests_per_second, now, refusals_per_second)
        if not statement.has_limit and (known is None or sent_at < known.stated_at):
            return False
        self._own.put(key, statement)
        self._all.put(key, statement)
        return (
            known is None
            or known.requests_per_second != requests_per_second
            or known.refusals_per_second != refusals_per_second
        )

    def apply_reports(self, reports: Iterable[LimitReport], now: Seconds) -> None:
        """Apply the statements that other entries have got."""
        self._all.apply(reports, now)

    def apply_permits(
        self, permits: Iterable[RequestCount], requested_at: Seconds
    ) -> None:
        """Add the permits in the answer to a poll."""
        for permit in permits:
            key = (permit.endpoint, permit.incarnation)
            expiries = self._permits.setdefault(key, deque())
            expiries.extend([Seconds(requested_at + PERMIT_SECONDS)] * permit.requests)
            self.received_permits += permit.requests

    def is_limited(self, key: IncarnationKey, now: Seconds) -> bool:
        """Whether requests for an incarnation need permits."""
        return self.has_stated_limit(key, now) or self.cold.is_cold(key, now)

    def has_stated_limit(self, key: IncarnationKey, now: Seconds) -> bool:
        """Whether an incarnation has named a limit on requests."""
        return self._all.find_limit(key, now) is not None

    def find_refusal_limit(self, key: IncarnationKey, now: Seconds) -> float | None:
        """Return the refusals a second that an incarnation bears; None if unstated."""
        return self._all.find_refusal_limit(key, now)

    def may_send(self, key: IncarnationKey, now: Seconds) -> bool:
        """Whether a request may be sent: there is no limit, or there is a permit."""
        return not self.is_limited(key, now) or self._count_permits(key, now) > 0

    def take_permit(self, key: IncarnationKey, now: Seconds) -> Seconds | None:
        """Use a permit for one request.

        Returns
        -------
        Seconds or None
            Time until which the request may be sent; infinite without a limit, and
            None if there is no permit.
        """
        if not self.is_limited(key, now):
            return Seconds(float("inf"))
        if not self._count_permits(key, now):
            return None
        self.used_permits += 1
        return self._permits[key].popleft()

    def may_still_send(
        self, key: IncarnationKey, allowed_until: Seconds, now: Seconds
    ) -> bool:
        """Whether a request may be sent that was allowed before it had to wait."""
        if isfinite(allowed_until):
            return now <= allowed_until
        return self.take_permit(key, now) is not None

    def record_demand(self, key: IncarnationKey, now: Seconds) -> None:
        """Record a request that could use a permit."""
        if key not in self._wanted:
            self._wanted[key] = deque(maxlen=MAX_DEMAND)
        self._wanted[key].append(now)

    def list_demands(self, now: Seconds) -> tuple[RequestCount, ...]:
        """Return the requests that could recently have used permits."""
        since = now - DEMAND_SECONDS
        for key, times in list(self._wanted.items()):
            while times and times[0] < since:
                times.popleft()
            if not times:
                del self._wanted[key]
        wanted = (
            (key, self._count_wanted(key, len(times), now))
            for key, times in self._wanted.items()
        )
        return tuple(RequestCount(*key, count) for key, count in wanted if count)

    def _count_wanted(self, key: IncarnationKey, requests: int, now: Seconds) -> int:
        """Return the permits that an entry asks for.

        Those for cold endpoints are few and expire soon, so that an entry asks for no
        more than it is likely to use. The others stay for entries that use them.
        """
        if not self.cold.covers(key):
            return requests
        likely = max(int(COLD_DEMAND_FRACTION * requests), 1)
        return max(likely - self._count_permits(key, now), 0)

    def list_own(self, now: Seconds) -> tuple[LimitReport, ...]:
        """Return the recent statements in answers to this entry."""
        return self._own.list_reports(now, REPORT_SECONDS)

    def count_limited(self, now: Seconds) -> int:
        """Return the number of incarnations that have a limit."""
        reports = self._all.list_reports(now, LIMIT_RETENTION_SECONDS)
        return sum(report.requests_per_second is not None for report in reports)

    def estimate_wait(self, key: IncarnationKey, now: Seconds) -> float:
        """Return about how many seconds pass until a request may be sent."""
        limits = [self._all.find_limit(key, now)]
        if self.cold.is_cold(key, now):
            limits.append(self.cold.find_rate(key))
        stated = [limit for limit in limits if limit is not None]
        if not stated or self._count_permits(key, now):
            return 0.0
        return max(1.0 / max(min(stated), PROBE_RATE), MIN_WAIT_SECONDS)

    def is_reserved(self, key: IncarnationKey, now: Seconds) -> bool:
        """Whether all permits for an endpoint are kept for requests that prefer it."""
        preferring = self.cold.count_preferring(key, now)
        return preferring >= self._count_permits(key, now)

    def expire(self, now: Seconds) -> None:
        """Remove what no longer has an effect."""
        self._all.list_reports(now, 0.0)
        for key in list(self._permits):
            if not self._count_permits(key, now):
                del self._permits[key]

    def _count_permits(self, key: IncarnationKey, now: Seconds) -> int:
        expiries = self._permits.get(key)
        if expiries is None:
            return 0
        while expiries and expiries[0] < now:
            expiries.popleft()
        return len(expiries)


class PermitBucket(Struct):
    """Permits of one incarnation that a replica has not issued yet."""

    level: float
    updated_at: Seconds


class PermitIssuer:
    """Issues the permits of one replica.

    In `t` seconds it issues at most its share of `limit * t`, plus one or what
    accumulates in `BURST_SECONDS`. Permits for endpoints of services with cold
    endpoints keep the share of `warmup` as well.

    Parameters
    ----------
    warmup : WarmupIssuer or None
        Permits for endpoints that may be cold; None if there are no such endpoints.
    """

    def __init__(self, warmup: WarmupIssuer | None = None) -> None:
        self._warmup = warmup
        self._all = StatementTable()
        self._own = StatementTable()
        self._buckets: dict[IncarnationKey, PermitBucket] = {}

    def apply_own(self, reports: Iterable[LimitReport], now: Seconds) -> None:
        """Add the statements that an entry of this replica reports."""
        reports = tuple(reports)
        self._own.apply(reports, now)
        self._all.apply(reports, now)

    def apply_relay(self, reports: Iterable[LimitReport], now: Seconds) -> None:
        """Add the statements that another replica relays."""
        self._all.apply(reports, now)

    def list_own(self, now: Seconds) -> tuple[LimitReport, ...]:
        """Return the statements that other replicas need to know."""
        return self._own.list_reports(now, REPORT_SECONDS)

    def list_all(self, now: Seconds) -> tuple[LimitReport, ...]:
        """Return the statements that entries need to know."""
        return self._all.list_reports(now, LIMIT_RETENTION_SECONDS)

    def issue(
        self,
        demands: Iterable[RequestCount],
        share: float,
        now: Seconds,
        entry: InstanceId = UNNAMED_ENTRY,
    ) -> tuple[RequestCount, ...]:
        """Return permits for an entry's demands, as far as there are any.

        Parameters
        ----------
        demands : iterable of RequestCount
            What the entry could use.
        share : float
            This replica's fraction of all entries.
        now : Seconds
            Current time.
        entry : InstanceId
            The entry.
        """
        permits = []
        for demand in demands:
            key = (demand.endpoint, demand.incarnation)
            count = self._take_permits(key, demand.requests, share, now, entry)
            if count:
                permits.append(RequestCount(*key, count))
        return tuple(permits)

    def split_demands(
        self, demands: tuple[RequestCount, ...], now: Seconds
    ) -> tuple[tuple[RequestCount, ...], tuple[RequestCount, ...]]:
        """Return the demands for endpoints that may be cold, and the others."""
        if self._warmup is None or not demands:
            return (), demands
        cold, others = [], []
        for demand in demands:
            key = (demand.endpoint, demand.incarnation)
            is_covered = self._warmup.count_available(key, now) is not None
            (cold if is_covered else others).append(demand)
        return tuple(cold), tuple(others)

    def expire(self, now: Seconds) -> None:
        """Remove the permits of incarnations that have no limit now."""
        for key in list(self._buckets):
            if self._all.find_limit(key, now) is None:
                del self._buckets[key]
        if self._warmup is not None:
            self._warmup.expire(now)

    def _take_permits(
        self,
        key: IncarnationKey,
        wanted: int,
        share: float,
        now: Seconds,
        entry: InstanceId,
    ) -> int:
        limit = self._all.find_limit(key, now)
        available = self._warmup.count_for(key, entry, now) if self._warmup else None
        if limit is None:
            self._buckets.pop(key, None)
            count = min(available or 0, wanted)
        else:
            bucket = self._refill(key, share * max(limit, PROBE_RATE), now)
            count = min(int(bucket.level), wanted)
            if available is not None:
                count = min(count, available)
            bucket.level -= count
        if count and available is not None:
            self._warmup.record(key, entry, count, now)
        return count

    def _refill(self, key: IncarnationKey, rate: float, now: Seconds) -> PermitBucket:
        bucket = self._buckets.setdefault(key, PermitBucket(INITIAL_PERMITS, now))
        capacity = max(1.0, rate * BURST_SECONDS)
        gained = rate * max(now - bucket.updated_at, 0.0)
        bucket.level = min(bucket.level + gained, capacity)
        bucket.updated_at = now
        return bucket


def is_valid_limit(requests_per_second: float) -> bool:
    """Whether a number that an endpoint names limits its requests."""
    return isfinite(requests_per_second) and 0.0 <= requests_per_second <= MAX_LIMIT
