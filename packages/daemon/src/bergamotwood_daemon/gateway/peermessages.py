"""Messages between gateway daemons, carried in gRPC frames."""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.load import EndpointLoad
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
    """Where callers find an entry.

    Parameters
    ----------
    instance : InstanceId
        Its address for other daemons.
    address : str
        Where callers connect.
    data_centre : DataCentre
        Where it runs.
    is_ready : bool
        Whether callers should be sent there.
    """

    instance: InstanceId
    address: str
    data_centre: DataCentre
    is_ready: bool


class EntryStatus(Struct, frozen=True, array_like=True):
    """What an entry says of itself.

    Parameters
    ----------
    entry : EntryAddress
        Where callers find it.
    incarnation : Incarnation
        Start of its process.
    sequence : int
        Rises with each status of an incarnation.
    loads : dict
        Its load on each endpoint.
    evidence : tuple of VersionEvidence
        What it has seen of versions that are being rolled out.
    open_sessions : tuple of SessionId
        Sessions on versions before, of those that are to be moved first.
    crashes : tuple of Crash
        Endpoints that broke off while they ran a request.
    successes : tuple of Success
        Requests under suspicion that endpoints have answered.
    """

    entry: EntryAddress
    incarnation: Incarnation
    sequence: int
    loads: dict[EndpointId, EndpointLoad]
    evidence: tuple[VersionEvidence, ...] = ()
    open_sessions: tuple[SessionId, ...] = ()
    crashes: tuple[Crash, ...] = ()
    successes: tuple[Success, ...] = ()


class SyncRequest(Struct, frozen=True, array_like=True, tag=1):
    """An entry reports and asks for what is new.

    Parameters
    ----------
    status : EntryStatus
        The report.
    number : int
        Configuration that it holds.
    boot : str
        Run of the replica's process that `version` is from.
    version : int
        Version of the directory that it holds.
    hold_seconds : float
        How long the replica may wait for news.
    """

    status: EntryStatus
    number: int
    boot: str
    version: int
    hold_seconds: float


class SyncReply(Struct, frozen=True, array_like=True):
    """What is new for an entry.

    Parameters
    ----------
    age_seconds : float
        All that was committed that long ago is in this reply.
    replicas : tuple of InstanceId
        Members of the control group.
    number : int
        Configuration in force.
    document : bytes or None
        Its document, compressed, when the entry holds another one.
    rollouts : tuple of RolloutView
        Newest roll-out of each service.
    boot, version : str, int
        Version of the directory.
    beats : tuple of EndpointHeartbeat or None
        All endpoints, when the entry holds another version.
    entries : tuple of EntryAddress or None
        All live entries, when the entry holds another version.
    loads : dict
        Load of all other entries on each endpoint.
    crashes : tuple of Crash
        What other entries report of crashing requests.
    successes : tuple of Success
        What other entries report of requests under suspicion.
    open_sessions : tuple of SessionId
        Open sessions of all entries.
    silent : tuple of EndpointId
        Endpoints whose beats are missing.
    """

    age_seconds: float
    replicas: tuple[InstanceId, ...]
    number: int
    document: bytes | None
    rollouts: tuple[RolloutView, ...]
    boot: str
    version: int
    beats: tuple[EndpointHeartbeat, ...] | None
    entries: tuple[EntryAddress, ...] | None
    loads: dict[EndpointId, EndpointLoad] = {}
    crashes: tuple[Crash, ...] = ()
    successes: tuple[Success, ...] = ()
    open_sessions: tuple[SessionId, ...] = ()
    silent: tuple[EndpointId, ...] = ()


class Relay(Struct, frozen=True, array_like=True, tag=2):
    """Soft state that a replica passes on to the others."""

    beats: tuple[EndpointHeartbeat, ...]
    statuses: tuple[EntryStatus, ...]


class StateReply(Struct, frozen=True, array_like=True):
    """The leader's confirmed state, for a read."""

    number: int
    document: bytes
    rollouts: tuple[ServiceRollout, ...]


ENCODER = Encoder()
POLL = Decoder(SyncRequest | Relay)
SYNC_REPLY = Decoder(SyncReply)
STATE_REPLY = Decoder(StateReply)
