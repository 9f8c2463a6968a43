"""Permits for endpoints that are cold, and the choice of endpoints that need them.

An endpoint that has just started crashes under more requests than it can handle. What
all entries together send to it in any one second is bounded by the number of permits
that all replicas together issue in `WINDOW_SECONDS`. docs/design/cold_endpoints.md
derives the bound. It answers starts and restarts of endpoints under load.
"""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from math import ceil, floor

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.configuration import GatewayService
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.notices import IncarnationKey
from bergamotwood_core.ids import EndpointId, InstanceId, ServiceName

# Time for which a permit is valid, from the poll that it answers. Shorter validity
# gives cold endpoints more permits a second, but more of them expire unused: fewer
# requests are sent, except where entries get several requests a second.
PERMIT_SECONDS = 1.4
# Difference of network delays, and of the rates of clocks, that the window covers.
JITTER_SECONDS = 0.1
# Requests that are sent within one second use permits issued within this time.
WINDOW_SECONDS = PERMIT_SECONDS + 1.0 + JITTER_SECONDS
# Parts of the window in each of which a replica issues no more than its part, so that
# permits neither come all at once nor fail to come for a whole window.
BURST_PARTS = 4
BURST_SECONDS = WINDOW_SECONDS / BURST_PARTS
# Time since its last poll after which an entry no longer waits for a permit: two polls.
WAITING_SECONDS = 0.8
# Age of a replica's state up to which it issues permits.
MAX_SHARE_STATE_AGE_SECONDS = 0.9
# Time for which a replica must have seen itself as a member before it issues permits.
JOIN_SECONDS = 4.0
# Longest time without recent state after which a replica need not wait again. Less than
# JOIN_SECONDS - 2 * MAX_SHARE_STATE_AGE_SECONDS: another replica cannot have joined,
# issued permits and left meanwhile.
MAX_GAP_SECONDS = 2.0
# Time for which a replica that has left counts as one that issues permits.
REMOVED_SECONDS = WINDOW_SECONDS + MAX_SHARE_STATE_AGE_SECONDS
# Age of an entry's state up to which it takes endpoints for warm: longer than the
# replacement of a leader that lost its disk, about 2.9 s.
MAX_WARM_STATE_AGE_SECONDS = 3.0
# Time for which an answer to a direct health check shows that an endpoint is warm.
CHECK_RETENTION_SECONDS = 3.0
# Time for which an incarnation that vanished from the directory needs permits: longer
# than any request waits for its connection.
VANISHED_SECONDS = 60.0
# Rounding error in the product of two settings that is not a missing permit.
ROUNDING = 1e-9


def count_window_permits(
    requests_per_second: float, overshoot: float, tolerance: float
) -> int:
    """Return the most requests that a cold endpoint may receive in one second."""
    return max(floor(requests_per_second * overshoot + tolerance + ROUNDING), 0)


def list_window_permits(
    services: Iterable[GatewayService],
    overshoot: float | None,
    tolerance: float | None,
) -> dict[ServiceName, int]:
    """Return the permits of each service whose endpoints may be cold.

    Parameters
    ----------
    services : iterable of GatewayService
        Services of the configuration.
    overshoot, tolerance : float or None
        Bounds of the deployment; None if it does not limit cold endpoints.
    """
    if overshoot is None or tolerance is None:
        return {}
    return {
        service.name: count_window_permits(
            service.warmup_requests_per_second, overshoot, tolerance
        )
        for service in services
        if service.has_warmup
    }


class ReplicaShare:
    """One replica's share of the permits that all replicas may issue.

    Permits are divided equally among the members of the control group. The shares of
    all replicas that issue within one window add up to the whole at most, also while
    members join or leave and replicas learn of it at different times.

    Parameters
    ----------
    instance : InstanceId
        The replica.
    """

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._members: frozenset[InstanceId] = frozenset()
        self._removed_at: dict[InstanceId, Seconds] = {}
        self._member_since: Seconds | None = None
        self._observed_at = Seconds(float("-inf"))

    def observe(
        self, members: Collection[InstanceId], age: float, now: Seconds
    ) -> None:
        """Record the members that the replica knows; to be called twice a second.

        Parameters
        ----------
        members : collection of InstanceId
            Members of the control group.
        age : float
            Age of the replica's state.
        now : Seconds
            Current time.
        """
        if age > MAX_SHARE_STATE_AGE_SECONDS:
            return
        current = frozenset(members)
        for member in self._members - current:
            self._removed_at[member] = now
        limit = now - REMOVED_SECONDS
        self._removed_at = {
            member: at
            for member, at in self._removed_at.items()
            if member not in current and at >= limit
        }
        was_interrupted = now - self._observed_at > MAX_GAP_SECONDS
        if self._instance not in current:
            self._member_since = None
        elif self._member_since is None or was_interrupted:
            self._member_since = now
        self._members = current
        self._observed_at = now

    def divide(self, permits: int, now: Seconds) -> int:
        """Return the permits that this replica may issue within one window."""
        if (
            self._member_since is None
            or now - self._member_since < JOIN_SECONDS
            or now - self._observed_at > MAX_SHARE_STATE_AGE_SECONDS
        ):
            return 0
        issuing = sorted(self._members | self._removed_at.keys())
        share, rest = divmod(permits, len(issuing))
        return share + (issuing.index(self._instance) < rest)


class WarmupIssuer:
    """Issues one replica's permits for endpoints that may be cold.

    Parameters
    ----------
    share : ReplicaShare
        Share of the replica.
    find_service : callable
        Returns the service of an incarnation that the directory has; None for another.

    Attributes
    ----------
    window_permits : dict
        Permits that all replicas may issue within one window, by service.
    issued : int
        Number of permits issued.
    """

    def __init__(
        self,
        share: ReplicaShare,
        find_service: Callable[[IncarnationKey], ServiceName | None],
    ) -> None:
        self.share = share
        self.window_permits: dict[ServiceName, int] = {}
        self.issued = 0
        self._find_service = find_service
        # By endpoint, as a new incarnation may have the id of the previous one.
        self._issued_at: dict[EndpointId, deque[Seconds]] = {}
        # Time at which each entry has last asked, in the order of their first requests.
        self._waiting: dict[EndpointId, dict[InstanceId, Seconds]] = {}

    def count_available(self, key: IncarnationKey, now: Seconds) -> int | None:
        """Return the permits that may be issued now; None if any number may."""
        if not self.window_permits:
            return None
        permits = self.window_permits.get(self._find_service(key))
        if permits is None:
            return None
        times = self._issued_at.get(key[0], deque())
        while times and times[0] <= now - WINDOW_SECONDS:
            times.popleft()
        share = self.share.divide(permits, now)
        recent = sum(at > now - BURST_SECONDS for at in times)
        return max(min(share - len(times), ceil(share / BURST_PARTS) - recent), 0)

    def count_for(
        self, key: IncarnationKey, entry: InstanceId, now: Seconds
    ) -> int | None:
        """Return the permits for an entry that asks now; None for any number.

        The entry that has waited longest comes first, and leaves one permit for each
        of the others. Otherwise the same entry would get all of them whose polls
        happen to arrive first.
        """
        available = self.count_available(key, now)
        if available is None:
            return None
        waiting = self._waiting.setdefault(key[0], {})
        waiting[entry] = now
        if not available:
            return 0
        limit = now - WAITING_SECONDS
        for other in [other for other, at in waiting.items() if at < limit]:
            del waiting[other]
        position = list(waiting).index(entry)
        if available <= position:
            return 0
        return max(available - len(waiting) + 1, 1)

    def record(
        self, key: IncarnationKey, entry: InstanceId, permits: int, now: Seconds
    ) -> None:
        """Record permits that are issued to an entry."""
        self.issued += permits
        self._waiting.get(key[0], {}).pop(entry, None)
        self._issued_at.setdefault(key[0], deque()).extend([now] * permits)

    def expire(self, now: Seconds) -> None:
        """Remove permits that no longer count."""
        limit = now - WINDOW_SECONDS
        for endpoint in [
            endpoint
            for endpoint, times in self._issued_at.items()
            if not times or times[-1] <= limit
        ]:
            del self._issued_at[endpoint]
        limit = now - WAITING_SECONDS
        for endpoint, waiting in list(self._waiting.items()):
            if all(at < limit for at in waiting.values()):
                del self._waiting[endpoint]


class WarmupState(Struct):
    """What an entry knows of one incarnation whose service has cold endpoints.

    Parameters
    ----------
    service : ServiceName
        Its service.
    is_cold : bool
        Whether its newest heartbeat says that it is cold.
    is_silent : bool
        Whether its heartbeats are overdue.
    checked_warm_at : Seconds
        Time of the last direct check that found it warm.
    checked_cold_until : Seconds
        Time until which a direct check says that it is cold.
    """

    service: ServiceName
    is_cold: bool = False
    is_silent: bool = False
    checked_warm_at: Seconds = Seconds(float("-inf"))
    checked_cold_until: Seconds = Seconds(float("-inf"))


class ColdEndpoints:
    """Decides for one entry which endpoints need permits.

    Attributes
    ----------
    window_permits : dict
        Permits that all replicas may issue within one window, by service.
    """

    def __init__(self) -> None:
        self.window_permits: dict[ServiceName, int] = {}
        self._states: dict[IncarnationKey, WarmupState] = {}
        self._vanished_at: dict[IncarnationKey, Seconds] = {}
        self._preferring: dict[IncarnationKey, deque[Seconds]] = {}
        self._confirmed_at = Seconds(float("-inf"))

    @property
    def has_any(self) -> bool:
        """Whether any endpoint may be cold."""
        return bool(self._states)

    def update(
        self,
        heartbeats: Iterable[EndpointHeartbeat],
        silent: Collection[EndpointId],
        confirmed_at: Seconds,
        now: Seconds,
    ) -> None:
        """Apply the entry's control state.

        Parameters
        ----------
        heartbeats : iterable of EndpointHeartbeat
            Newest heartbeats.
        silent : collection of EndpointId
            Endpoints whose heartbeats are overdue.
        confirmed_at : Seconds
            Time up to which the state is complete.
        now : Seconds
            Current time.
        """
        self._confirmed_at = confirmed_at
        if not self.window_permits and not self._states and not self._vanished_at:
            return
        states = {}
        for heartbeat in heartbeats:
            if heartbeat.service not in self.window_permits:
                continue
            key = (heartbeat.endpoint, heartbeat.incarnation)
            state = self._states.get(key) or WarmupState(heartbeat.service)
            state.is_cold = heartbeat.warmup_seconds > 0.0
            state.is_silent = heartbeat.endpoint in silent
            states[key] = state
        for key, state in self._states.items():
            # A service that has no cold endpoints any more needs no permits.
            if key not in states and state.service in self.window_permits:
                self._vanished_at[key] = now
        limit = now - VANISHED_SECONDS
        self._vanished_at = {
            key: at
            for key, at in self._vanished_at.items()
            if key not in states and at >= limit
        }
        self._states = states
        self._expire_preferences(now)

    def covers(self, key: IncarnationKey) -> bool:
        """Whether an incarnation belongs to a service with cold endpoints."""
        return key in self._states or key in self._vanished_at

    def is_cold(self, key: IncarnationKey, now: Seconds) -> bool:
        """Whether an incarnation counts as cold, so that requests need permits."""
        state = self._states.get(key)
        if state is None:
            return key in self._vanished_at
        if state.is_cold or now < state.checked_cold_until:
            return True
        age = now - self._confirmed_at
        if not state.is_silent and age <= MAX_WARM_STATE_AGE_SECONDS:
            return False
        return now - state.checked_warm_at > CHECK_RETENTION_SECONDS

    def record_check(
        self, key: IncarnationKey, warmup_seconds: float, sent_at: Seconds, now: Seconds
    ) -> None:
        """Record what an endpoint has answered to a direct health check.

        Parameters
        ----------
        key : IncarnationKey
            The endpoint's incarnation.
        warmup_seconds : float
            How much longer it is cold.
        sent_at : Seconds
            Time at which the check was sent.
        now : Seconds
            Time of the answer.
        """
        state = self._states.get(key)
        if state is None:
            return
        if warmup_seconds > 0.0:
            state.checked_cold_until = Seconds(now + warmup_seconds)
            state.checked_warm_at = Seconds(float("-inf"))
        else:
            state.checked_cold_until = Seconds(float("-inf"))
            state.checked_warm_at = sent_at

    def find_rate(self, key: IncarnationKey) -> float | None:
        """Return the permits that all replicas issue in a second; None if unlimited."""
        state = self._states.get(key)
        permits = self.window_permits.get(state.service) if state else None
        return None if permits is None else permits / WINDOW_SECONDS

    def count_cold(self, now: Seconds) -> int:
        """Return the number of endpoints that need permits."""
        return sum(self.is_cold(key, now) for key in self._states)

    def list_cold(self, now: Seconds) -> frozenset[IncarnationKey]:
        """Return the incarnations that need permits."""
        return frozenset(key for key in self._states if self.is_cold(key, now))

    def record_preference(self, key: IncarnationKey, now: Seconds) -> None:
        """Record a request that prefers a cold endpoint by its affinity key."""
        self._preferring.setdefault(key, deque()).append(now)

    def count_preferring(self, key: IncarnationKey, now: Seconds) -> int:
        """Return the number of recent requests that prefer an endpoint."""
        times = self._preferring.get(key)
        if times is None:
            return 0
        while times and times[0] < now - PERMIT_SECONDS:
            times.popleft()
        return len(times)

    def _expire_preferences(self, now: Seconds) -> None:
        for key in list(self._preferring):
            if not self.count_preferring(key, now):
                del self._preferring[key]
