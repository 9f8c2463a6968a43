"""Tables of entities, over which the systems run."""

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
        Its newest word.
    heard_at : Seconds
        When that word reached this daemon.
    outstanding : int
        Requests that this daemon runs there now.
    outstanding_at_report : int
        What `outstanding` was when the announcement came.
    first_token_seconds : float
        Moving average of time to the first token.
    failures : int
        Failures in a row.
    ejected_until : Seconds
        Gets no new work before, because of failures.
    awaiting_first_token : int
        Attempts of this daemon that have no first token yet.
    awaiting_since : Seconds
        Since when it has sent no first token, while some attempt waited.
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
        """The endpoint's id."""
        return self.announcement.id

    @property
    def serving(self) -> bool:
        """Whether it says that it takes new work."""
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
        Ticket that set the roll-out last.
    stage : int
        Index into the roll-out's stages.
    state : RolloutState
        Where it stands.
    exposed : int
        Requests that ran on the candidate, over all entries.
    reason : str
        Why it stopped, for a person.
    """

    ticket: TicketNumber
    stage: int = 0
    state: RolloutState = RolloutState.RUNNING
    exposed: int = 0
    reason: str = ""


@dataclass(slots=True)
class Suspect:
    """A request fingerprint that ran on endpoints when they crashed."""

    crashes: int = 0
    last_endpoint: EndpointId = EndpointId("")


@dataclass
class ConfigurationTables:
    """Entities that tickets change; equal on every daemon at one log index."""

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
    """Last word of an endpoint or entry that is no longer in its table.

    Parameters
    ----------
    incarnation, sequence : int
        Order of that word; an older one is late and ignored.
    leaving : bool
        Whether it said that it leaves, which is final for the incarnation.
    at : Seconds
        When it was taken out of the table.
    """

    incarnation: Incarnation
    sequence: Sequence
    leaving: bool
    at: Seconds


class PoolKey(NamedTuple):
    """Which endpoints a pool holds.

    Parameters
    ----------
    name : str
        Version or service that they run.
    data_centres : tuple of DataCentre
        Where they are.
    elsewhere : bool
        Whether they are in any data centre but these.
    """

    name: str
    data_centres: tuple[DataCentre, ...]
    elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints of one pool, with a hash of each id."""

    endpoints: tuple[EndpointId, ...]
    hashes: NDArray[uint64]


@dataclass
class DirectoryTables:
    """Soft state: who is there now.

    Parameters
    ----------
    endpoints, entries : dict
        Rows by id.
    membership_version : int
        Raised whenever an endpoint comes, goes, moves or changes its versions;
        the pools are made anew then.
    pools : dict
        Pools made since, by key.
    pools_version, pools_size : int
        Membership and number of endpoints that the pools were made from.
    departed_endpoints, departed_entries : dict
        Last words of those that are no longer there.
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
    """A caller's request that this entry is serving."""

    id: RequestId
    workspace: WorkspaceId
    started_at: Seconds
    fingerprint: Fingerprint = Fingerprint("")


@dataclass
class Tables:
    """Everything a daemon's decisions read."""

    configuration: ConfigurationTables = field(default_factory=ConfigurationTables)
    directory: DirectoryTables = field(default_factory=DirectoryTables)
    in_flight: dict[RequestId, InFlight] = field(default_factory=dict)
