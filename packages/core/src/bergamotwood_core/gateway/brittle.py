"""Admission of requests to endpoints that break when they refuse too many.

Such an endpoint states how many requests a second it may refuse for want of room, from
all entries together. Entries see each other's load with a delay, so that several could
fill the same free slots at once. The slots are therefore shared out among the entries,
which need not talk for it. An entry whose slots are taken, or that has none, relays its
requests to others while endpoints are idle. An entry that was refused stays away for
its part of the refusals. It answers bursts and overload of a whole service.
"""

from collections.abc import Collection, Iterable

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.limits import LimitTable
from bergamotwood_core.gateway.load import LoadTable
from bergamotwood_core.gateway.routing import hash_to_unit_interval
from bergamotwood_core.ids import EndpointId, InstanceId

# Fraction of an endpoint's slots below which it counts as idle.
IDLE_FRACTION = 0.5
# Fraction of the refusals that an endpoint allows which the entries use together. The
# rest covers requests that were sent before a refusal was known.
REFUSAL_FRACTION = 0.5
# Longest time for which an entry that was refused stays away.
MAX_REFUSAL_PAUSE_SECONDS = 5.0


class BrittleAdmission:
    """Decides which endpoints have room for a request of one entry.

    Parameters
    ----------
    instance : InstanceId
        The entry.
    limits : LimitTable
        What endpoints state.
    loads : LoadTable
        Open requests at the endpoints.

    Attributes
    ----------
    entries : frozenset of InstanceId
        All entries.
    """

    def __init__(
        self, instance: InstanceId, limits: LimitTable, loads: LoadTable
    ) -> None:
        self.entries = frozenset((instance,))
        self._shares: dict[tuple[EndpointId, int], int] = {}
        self._shared_entries = self.entries
        self._instance = instance
        self._limits = limits
        self._loads = loads

    def find_limit(
        self, heartbeats: Iterable[EndpointHeartbeat], now: Seconds
    ) -> float | None:
        """Return the refusals a second that the endpoints of a service allow.

        None if none of them states it. One that has just started has not stated it
        yet, so what any of them states holds for all.
        """
        if not self._limits.has_statements:
            return None
        limits = (
            self._limits.find_refusal_limit((item.endpoint, item.incarnation), now)
            for item in heartbeats
        )
        return min((limit for limit in limits if limit is not None), default=None)

    def has_room(self, heartbeat: EndpointHeartbeat) -> bool:
        """Whether this entry has a free slot at an endpoint."""
        own = self._loads.count_own(heartbeat.endpoint)
        return own < self._find_share(heartbeat.endpoint, heartbeat.slots)

    def is_idle(self, heartbeat: EndpointHeartbeat) -> bool:
        """Whether most slots of an endpoint are free, as far as is known."""
        known = self._loads.find(heartbeat.endpoint).requests
        return known < IDLE_FRACTION * heartbeat.slots

    def measure_pause(self, limit: float) -> float:
        """Return the seconds for which this entry stays away after a refusal.

        Parameters
        ----------
        limit : float
            Refusals a second that the endpoint allows to all entries.
        """
        allowed = REFUSAL_FRACTION * limit
        if allowed * MAX_REFUSAL_PAUSE_SECONDS <= len(self.entries):
            return MAX_REFUSAL_PAUSE_SECONDS
        return len(self.entries) / allowed

    def _find_share(self, endpoint: EndpointId, slots: int) -> int:
        if self._shared_entries != self.entries:
            self._shared_entries = self.entries
            self._shares.clear()
        key = (endpoint, slots)
        if key not in self._shares:
            self._shares[key] = compute_slot_share(
                endpoint, slots, self.entries, self._instance
            )
        return self._shares[key]


def compute_slot_share(
    endpoint: EndpointId,
    slots: int,
    entries: Collection[InstanceId],
    own: InstanceId,
) -> int:
    """Return the number of an endpoint's slots that one entry has to itself.

    The shares of all entries add up to the slots. Those that are left over after an
    even division go to different entries for each endpoint.
    """
    count = max(len(entries), 1)
    share, rest = divmod(slots, count)
    if not rest:
        return share

    def rank(entry: InstanceId) -> float:
        return hash_to_unit_interval(f"{endpoint}/{entry}")

    own_rank = rank(own)
    before = sum(rank(entry) > own_rank for entry in entries)
    return share + (before < rest)
