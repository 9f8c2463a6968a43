"""MessagePack messages between gateway daemons, sent in gRPC frames."""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.notices import LeavingEndpoint
from bergamotwood_core.gateway.rollout import RolloutView, VersionEvidence
from bergamotwood_core.gateway.state_machine import ServiceRollout
from bergamotwood_core.gateway.suspects import Crash, Success
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    InstanceId,
    SessionId,
)


class EntryAddress(Struct, frozen=True, array_like=True):
    """Address of an entry for callers.

    Parameters
    ----------
    instance : InstanceId
        Address of the entry for other daemons.
    address : str
        Address that callers connect to.
    data_centre : DataCentre
        Data centre in which it runs.
    is_ready : bool
        Whether callers should connect to it.
    """

    instance: InstanceId
    address: str
    data_centre: DataCentre
    is_ready: bool


class EntryStatus(Struct, frozen=True, array_like=True):
    """Status report of an entry.

    Parameters
    ----------
    entry : EntryAddress
        Its address for callers.
    incarnation : Incarnation
        Start time of its process, which identifies the run.
    sequence : int
        Increases with each status of an incarnation.
    loads : dict
        Load that it puts on each endpoint.
    evidence : tuple of VersionEvidence
        Its request counts on versions that are being rolled out.
    open_sessions : tuple of SessionId
        Sessions open on other versions that the first stage of a roll-out would
        move.
    crashes : tuple of Crash
        Endpoints that broke the connection while they ran a request.
    successes : tuple of Success
        Requests that were suspected of crashing endpoints and then got an answer.
    leaving : tuple of LeavingEndpoint
        Endpoints that have recently announced in an answer that they leave.
    """

    entry: EntryAddress
    incarnation: Incarnation
    sequence: int
    loads: dict[EndpointId, EndpointLoad]
    evidence: tuple[VersionEvidence, ...] = ()
    open_sessions: tuple[SessionId, ...] = ()
    crashes: tuple[Crash, ...] = ()
    successes: tuple[Success, ...] = ()
    leaving: tuple[LeavingEndpoint, ...] = ()


class SyncRequest(Struct, frozen=True, array_like=True, tag=1):
    """Status report of an entry, and its request for changes since its last poll.

    Parameters
    ----------
    status : EntryStatus
        The entry's status.
    number : int
        Number of the configuration that it has.
    boot : str
        Id of the run of the replica's process that `version` refers to.
    version : int
        Version of the directory that it has.
    hold_seconds : float
        How long the replica may wait for a change before it answers.
    """

    status: EntryStatus
    number: int
    boot: str
    version: int
    hold_seconds: float


class SyncReply(Struct, frozen=True, array_like=True):
    """Answer to an entry's `SyncRequest`.

    Parameters
    ----------
    age_seconds : float
        Age of the state: it has everything committed that many seconds ago.
    replicas : tuple of InstanceId
        Members of the control group.
    number : int
        Number of the configuration in force.
    document : bytes or None
        Its compressed document; None if the entry has that configuration.
    rollouts : tuple of RolloutView
        Newest roll-out of each service.
    boot, version : str, int
        Run of the replica's process, and version of its directory.
    heartbeats : tuple of EndpointHeartbeat or None
        Newest heartbeat of each endpoint; None if the entry has this version.
    entries : tuple of EntryAddress or None
        All live entries; None if the entry has this version.
    loads : dict
        Load that all other entries put on each endpoint.
    crashes : tuple of Crash
        Crashes that other entries report.
    successes : tuple of Success
        Answered requests, suspected of crashing endpoints, that other entries
        report.
    open_sessions : tuple of SessionId
        Open sessions of all entries.
    silent : tuple of EndpointId
        Endpoints whose heartbeats are overdue.
    """

    age_seconds: float
    replicas: tuple[InstanceId, ...]
    number: int
    document: bytes | None
    rollouts: tuple[RolloutView, ...]
    boot: str
    version: int
    heartbeats: tuple[EndpointHeartbeat, ...] | None
    entries: tuple[EntryAddress, ...] | None
    loads: dict[EndpointId, EndpointLoad] = {}
    crashes: tuple[Crash, ...] = ()
    successes: tuple[Success, ...] = ()
    open_sessions: tuple[SessionId, ...] = ()
    silent: tuple[EndpointId, ...] = ()


class Relay(Struct, frozen=True, array_like=True, tag=2):
    """Heartbeats and entry statuses that a replica forwards to the other replicas.

    They are soft state: not replicated through the log, and refreshed by the next
    report.
    """

    heartbeats: tuple[EndpointHeartbeat, ...]
    statuses: tuple[EntryStatus, ...]


class StateReply(Struct, frozen=True, array_like=True):
    """The leader's confirmed state, in answer to a read."""

    number: int
    document: bytes
    rollouts: tuple[ServiceRollout, ...]


ENCODER = Encoder()
POLL = Decoder(SyncRequest | Relay)
SYNC_REPLY = Decoder(SyncReply)
STATE_REPLY = Decoder(StateReply)
