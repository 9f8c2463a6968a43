"""Choice of the entries that handle requests for an entry without a way to endpoints.

An entry that is partitioned from all endpoints of a service, or that has no slot of its
own at any, still reaches other entries. It sends them its callers' requests, each over
one hop at most. It answers partitions of any share of the entries.
"""

from collections.abc import Iterable
from enum import StrEnum
from random import Random

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.ids import (
    DataCentre,
    InstanceId,
    LogIndex,
    ModelName,
    ServiceName,
)

# Entries that a request is offered to, one after the other. Those that decline have
# not heard of a partition of their own yet.
MAX_OFFERS = 5
# Time for which an entry that could not be reached is avoided.
AVOID_SECONDS = 2.0
# Fraction of the entries of the own data centre that must be able to take requests.
# Fewer would be overloaded, so that those of all data centres are used.
MIN_LOCAL_FRACTION = 0.5


class RelayOrigin(StrEnum):
    """Where the answer to a relayed request comes from.

    Attributes
    ----------
    ENDPOINT
        It is the answer of an endpoint.
    ENTRY
        It is the other entry's own final answer.
    DECLINED
        The other entry has not sent the request to any endpoint, and another one may
        be asked.
    """

    ENDPOINT = "endpoint"
    ENTRY = "entry"
    DECLINED = "declined"


class RelayedRequest(Struct, frozen=True):
    """What an entry tells another one about a request that it relays.

    Parameters
    ----------
    entry : InstanceId
        Entry that received the request from its caller.
    timeout_seconds : float
        Time left until the complete answer is due.
    configuration : int
        Number of the configuration by which it was admitted; an older one must not
        handle it.
    executions : int
        Attempts that may have been executed so far.
    is_trial : bool
        Whether it is sent although a cause that it has is suspended.
    model : ModelName
        Model that has to answer, as part of its answer was delivered; empty for any.
    last_event_id : str
        Id of the last event that the caller received.
    evacuations_index : LogIndex
        Index of the evacuations that the entry knows; an entry that knows only older
        ones must not handle the request.
    """

    entry: InstanceId
    timeout_seconds: float
    configuration: int
    executions: int = 0
    is_trial: bool = False
    model: ModelName = ModelName("")
    last_event_id: str = ""
    evacuations_index: LogIndex = LogIndex(-1)


class RelayTable:
    """Entries that may handle requests for this one.

    Parameters
    ----------
    instance : InstanceId
        This entry.
    data_centre : DataCentre
        Its data centre.
    rng : Random
        Spreads the requests.
    """

    def __init__(
        self, instance: InstanceId, data_centre: DataCentre, rng: Random
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._rng = rng
        self._avoided_until: dict[InstanceId, Seconds] = {}

    def record_failure(self, instance: InstanceId, now: Seconds) -> None:
        """Record that an entry could not be reached."""
        self._avoided_until[instance] = Seconds(now + AVOID_SECONDS)

    def choose(
        self, entries: Iterable[EntryAddress], service: ServiceName, now: Seconds
    ) -> list[EntryAddress]:
        """Return the entries to offer a request to, in this order."""
        others = [entry for entry in entries if entry.instance != self._instance]
        able = [
            entry for entry in others if self._may_take_requests(entry, service, now)
        ]
        local = [entry for entry in able if entry.data_centre == self._data_centre]
        residents = sum(entry.data_centre == self._data_centre for entry in others)
        if local and len(local) >= MIN_LOCAL_FRACTION * residents:
            able = local
        return self._rng.sample(able, min(len(able), MAX_OFFERS))

    def _may_take_requests(
        self, entry: EntryAddress, service: ServiceName, now: Seconds
    ) -> bool:
        return (
            entry.is_ready
            and bool(entry.relay_address)
            and service not in entry.lost_services
            and self._avoided_until.get(entry.instance, now) <= now
        )
