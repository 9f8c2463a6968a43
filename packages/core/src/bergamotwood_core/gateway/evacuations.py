"""Evacuations of data centres: orders of operators, and what entries may still use.

While a data centre is evacuated, nothing new is sent to its endpoints. What runs there
already goes on.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from msgspec import Struct

from bergamotwood_core.ids import DataCentre, LogIndex, ModelName, ServiceName
from bergamotwood_core.states import EndpointState

if TYPE_CHECKING:
    # The directory of endpoints imports the state machine, which imports this module.
    from bergamotwood_core.gateway.endpoints import EndpointHeartbeat

NEVER_CHANGED = LogIndex(0)


class Evacuation(Struct, frozen=True, array_like=True):
    """Last evacuation of a data centre.

    Parameters
    ----------
    data_centre : DataCentre
        The data centre.
    is_active : bool
        Whether nothing may be sent to its endpoints.
    index : LogIndex
        Index of the last change, which identifies it.
    ordered_at : float
        Wall-clock time of the last change in seconds.
    ended_index : LogIndex
        Index of the end of the last evacuation that has ended; 0 if none has.
    ended_at : float
        Wall-clock time of that end in seconds.
    """

    data_centre: DataCentre
    is_active: bool
    index: LogIndex
    ordered_at: float
    ended_index: LogIndex = NEVER_CHANGED
    ended_at: float = 0.0


class EvacuationEnd(Struct, frozen=True, array_like=True):
    """End of the last evacuation of a data centre, by log index and wall-clock time."""

    data_centre: DataCentre
    index: LogIndex
    ended_at: float


def find_evacuation(
    evacuations: Iterable[Evacuation], data_centre: DataCentre
) -> Evacuation | None:
    """Return the last evacuation of a data centre; None if it never had one."""
    for evacuation in evacuations:
        if evacuation.data_centre == data_centre:
            return evacuation
    return None


def find_change_index(
    evacuations: Iterable[Evacuation], data_centre: DataCentre
) -> LogIndex:
    """Return the index of the last change of a data centre; 0 if there was none."""
    evacuation = find_evacuation(evacuations, data_centre)
    return evacuation.index if evacuation is not None else NEVER_CHANGED


def list_evacuated(evacuations: Iterable[Evacuation]) -> tuple[DataCentre, ...]:
    """Return the data centres that are evacuated now, in order of their names."""
    return tuple(sorted(item.data_centre for item in evacuations if item.is_active))


def list_ends(evacuations: Iterable[Evacuation]) -> tuple[EvacuationEnd, ...]:
    """Return the end of each data centre's last evacuation that has ended."""
    return tuple(
        EvacuationEnd(item.data_centre, item.ended_index, item.ended_at)
        for item in evacuations
        if item.ended_index != NEVER_CHANGED
    )


def begin_evacuation(
    current: Evacuation | None,
    data_centre: DataCentre,
    index: LogIndex,
    ordered_at: float,
) -> Evacuation:
    """Return the record of a data centre whose evacuation begins."""
    if current is None:
        return Evacuation(data_centre, True, index, ordered_at)
    return Evacuation(
        data_centre, True, index, ordered_at, current.ended_index, current.ended_at
    )


def end_evacuation(
    data_centre: DataCentre, index: LogIndex, ordered_at: float
) -> Evacuation:
    """Return the record of a data centre whose evacuation ends."""
    return Evacuation(data_centre, False, index, ordered_at, index, ordered_at)


def drop_evacuated(
    heartbeats: "Iterable[EndpointHeartbeat]", evacuated: frozenset[DataCentre]
) -> "list[EndpointHeartbeat]":
    """Return the endpoints outside the evacuated data centres."""
    return [
        heartbeat for heartbeat in heartbeats if heartbeat.data_centre not in evacuated
    ]


def list_version_groups(
    preferred: "list[list[EndpointHeartbeat]]",
    others: "list[EndpointHeartbeat]",
    evacuated: frozenset[DataCentre],
) -> "list[list[EndpointHeartbeat]]":
    """Return the endpoints that a request may use, preferred group first.

    Parameters
    ----------
    preferred : list of list of EndpointHeartbeat
        Endpoints of the versions that the roll-out allows for the request.
    others : list of EndpointHeartbeat
        Endpoints of the version that follows if evacuations leave none of these.
    evacuated : frozenset of DataCentre
        Evacuated data centres.
    """
    remaining = [drop_evacuated(group, evacuated) for group in preferred]
    if any(remaining) or not any(preferred):
        return remaining
    return [*remaining, drop_evacuated(others, evacuated)]


def is_fully_evacuated(
    heartbeats: "Iterable[EndpointHeartbeat]",
    evacuated: frozenset[DataCentre],
    service: ServiceName,
    model: ModelName,
) -> bool:
    """Whether a service has endpoints with a model and all of them are evacuated.

    Parameters
    ----------
    heartbeats : iterable of EndpointHeartbeat
        All endpoints.
    evacuated : frozenset of DataCentre
        Evacuated data centres.
    service : ServiceName
        The service.
    model : ModelName
        The model; empty for any.
    """
    if not evacuated:
        return False
    usable = [
        heartbeat
        for heartbeat in heartbeats
        if heartbeat.service == service
        and heartbeat.state is EndpointState.SERVING
        and (not model or not heartbeat.models or model in heartbeat.models)
    ]
    return bool(usable) and not drop_evacuated(usable, evacuated)
