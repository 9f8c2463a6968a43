"""Tables of the entities that a daemon works with."""

from dataclasses import dataclass, field
from typing import NamedTuple

from numpy import uint64
from numpy.typing import NDArray

from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import (
    Cascade,
    Model,
    Rollout,
    Service,
    Version,
    Workspace,
)
from bergamotwood_core.ids import (
    CascadeName,
    DataCentre,
    EndpointId,
    Fingerprint,
    Incarnation,
    InstanceId,
    LogIndex,
    ModelName,
    RequestId,
    RolloutId,
    Sequence,
    ServiceName,
    TicketNumber,
    VersionId,
    WorkspaceId,
)
from bergamotwood_core.messages import Announcement, EntryReport
from bergamotwood_core.states import EndpointState, RolloutState


@dataclass(slots=True)
class Endpoint:
    """An endpoint as one daemon knows it.

    Parameters
    ----------
    announcement : Announcement
        Its newest announcement.
    heard_at : Seconds
        When that announcement reached this daemon.
    outstanding : int
        Requests that this daemon is running there.
    outstanding_at_report : int
        Value of `outstanding` when the announcement arrived.
    first_token_seconds : float
        Moving average of the time to first token.
    failures : int
        Number of consecutive failures.
    ejected_until : Seconds
        Receives no new work until then, because of failures.
    awaiting_first_token : int
        Attempts of this daemon that have received no first token yet.
    awaiting_since : Seconds
        Since when it has sent no first token although an attempt awaits one.
    """

    announcement: Announcement
    heard_at: Seconds
    outstanding: int = 0
    outstanding_at_report: int = 0
    first_token_seconds: float = 0.0
    failures: int = 0
    ejected_until: Seconds = Seconds(0.0)
    awaiting_first_token: int = 0
    awaiting_since: Seconds = Seconds(0.0)

    @property
    def id(self) -> EndpointId:
        """Id of the endpoint."""
        return self.announcement.id

    @property
    def serving(self) -> bool:
        """Whether it announces that it accepts new work."""
        return self.announcement.state is EndpointState.SERVING


@dataclass(slots=True)
class Entry:
    """An entry instance as one daemon knows it."""

    report: EntryReport
    heard_at: Seconds


@dataclass(slots=True)
class RolloutProgress:
    """Replicated progress of a roll-out.

    Parameters
    ----------
    ticket : TicketNumber
        Ticket that last set the roll-out.
    stage : int
        Index into the roll-out's stages.
    state : RolloutState
        Current state.
    exposed : int
        Requests that ran on the candidate, summed over all entries.
    reason : str
        Readable reason for which it stopped.
    """

    ticket: TicketNumber
    stage: int = 0
    state: RolloutState = RolloutState.RUNNING
    exposed: int = 0
    reason: str = ""


@dataclass(slots=True)
class Suspect:
    """A request fingerprint that was running on endpoints when they crashed."""

    crashes: int = 0
    last_endpoint: EndpointId = EndpointId("")


@dataclass
class ConfigurationTables:
    """Replicated configuration; identical on every daemon at one log index."""

    index: LogIndex = LogIndex(0)
    ticket: TicketNumber = TicketNumber(0)
    workspaces: dict[WorkspaceId, Workspace] = field(default_factory=dict)
    models: dict[ModelName, Model] = field(default_factory=dict)
    versions: dict[VersionId, Version] = field(default_factory=dict)
    cascades: dict[CascadeName, Cascade] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)
    rollouts: dict[RolloutId, Rollout] = field(default_factory=dict)
    progress: dict[RolloutId, RolloutProgress] = field(default_factory=dict)
    suspects: dict[Fingerprint, Suspect] = field(default_factory=dict)


@dataclass(slots=True)
class Departure:
    """Last announcement or report of an endpoint or entry that was removed.

    Parameters
    ----------
    incarnation, sequence : int
        Order of that message; an older one arrives late and is ignored.
    leaving : bool
        Whether it announced that it leaves, which is final for the incarnation.
    at : Seconds
        When it was removed from the table.
    """

    incarnation: Incarnation
    sequence: Sequence
    leaving: bool
    at: Seconds


class PoolKey(NamedTuple):
    """Selection of the endpoints in a pool.

    Parameters
    ----------
    name : str
        Model version or service that they run.
    data_centres : tuple of DataCentre
        Data centres of the selection.
    elsewhere : bool
        Whether they are in any data centre other than these.
    """

    name: str
    data_centres: tuple[DataCentre, ...]
    elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints of one pool, with the hash of each id."""

    endpoints: tuple[EndpointId, ...]
    hashes: NDArray[uint64]


@dataclass
class DirectoryTables:
    """Soft state: the endpoints and entries that are present.

    Parameters
    ----------
    endpoints, entries : dict
        Rows by id.
    membership_version : int
        Increased whenever an endpoint joins, leaves, moves or changes its
        versions; the pools are then rebuilt.
    pools : dict
        Pools built since then, by key.
    pools_version, pools_size : int
        Membership version and number of endpoints that the pools are based on.
    departed_endpoints, departed_entries : dict
        Last messages of endpoints and entries that were removed.
    """

    endpoints: dict[EndpointId, Endpoint] = field(default_factory=dict)
    entries: dict[InstanceId, Entry] = field(default_factory=dict)
    membership_version: int = 0
    pools: dict[PoolKey, Pool] = field(default_factory=dict)
    pools_version: int = -1
    pools_size: int = 0
    departed_endpoints: dict[EndpointId, Departure] = field(default_factory=dict)
    departed_entries: dict[InstanceId, Departure] = field(default_factory=dict)


@dataclass(slots=True)
class InFlight:
    """A caller's request that this entry is processing."""

    id: RequestId
    workspace: WorkspaceId
    started_at: Seconds
    fingerprint: Fingerprint = Fingerprint("")


@dataclass
class Tables:
    """All tables on which a daemon's decisions are based."""

    configuration: ConfigurationTables = field(default_factory=ConfigurationTables)
    directory: DirectoryTables = field(default_factory=DirectoryTables)
    in_flight: dict[RequestId, InFlight] = field(default_factory=dict)
