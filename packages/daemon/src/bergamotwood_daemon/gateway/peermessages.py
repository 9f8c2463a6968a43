"""MessagePack messages between gateway daemons, sent in gRPC frames."""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.gateway.changefeed import NO_CURSOR, Changes
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.evacuations import Evacuation, EvacuationEnd
from bergamotwood_core.gateway.latency import LatencyReport
from bergamotwood_core.gateway.limits import LimitReport, RequestCount
from bergamotwood_core.gateway.load import EndpointLoad
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.notices import LeavingEndpoint
from bergamotwood_core.gateway.orders import ServiceRollout
from bergamotwood_core.gateway.prefill import Histogram
from bergamotwood_core.gateway.retries import UsageReport
from bergamotwood_core.gateway.rollout import RolloutView, VersionEvidence
from bergamotwood_core.gateway.suspects import Cause, CauseReport, EndpointCrash
from bergamotwood_core.gateway.suspensions import Suspension
from bergamotwood_core.ids import (
    DataCentre,
    EndpointId,
    Incarnation,
    InstanceId,
    LogIndex,
    ModelName,
    ServiceName,
    SessionId,
)


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
    crashes : tuple of EndpointCrash
        Recent ends of endpoints, and its requests that may have crashed them.
    successes : tuple of CauseReport
        Last successes with the causes that it was asked about.
    refusals : tuple of CauseReport
        Suspended causes for which it has recently refused a request.
    limits : tuple of LimitReport
        Limits that endpoints have recently named in answers to it.
    demands : tuple of RequestCount
        Requests that could recently have used permits for limited endpoints.
    leaving : tuple of LeavingEndpoint
        Endpoints that have recently announced in an answer that they leave.
    prefill_times : dict
        Histogram of its prefill times per token for each model.
    latencies : dict
        Its average response times for each route and model.
    retry_usage : dict
        Requests and retries that it has sent to each service in the current window.
    level : int
        Feature level that its build supports.
    withdrawn_sessions : tuple of SessionId
        Its open sessions on versions that were rolled back, during the next roll-out.
    """

    entry: EntryAddress
    incarnation: Incarnation
    sequence: int
    loads: dict[EndpointId, EndpointLoad]
    evidence: tuple[VersionEvidence, ...] = ()
    open_sessions: tuple[SessionId, ...] = ()
    crashes: tuple[EndpointCrash, ...] = ()
    successes: tuple[CauseReport, ...] = ()
    refusals: tuple[CauseReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    demands: tuple[RequestCount, ...] = ()
    leaving: tuple[LeavingEndpoint, ...] = ()
    prefill_times: dict[ModelName, Histogram] = {}
    latencies: LatencyReport = {}
    retry_usage: UsageReport = {}
    level: int = 0
    withdrawn_sessions: tuple[SessionId, ...] = ()


class Refusal(Struct, frozen=True, array_like=True):
    """Newest refusal of a request because of a suspended cause.

    Parameters
    ----------
    age_seconds : float
        Time since the refusal.
    entry, incarnation : InstanceId, Incarnation
        Run of the entry that refused.
    cause : Cause
        The cause.
    """

    age_seconds: float
    entry: InstanceId
    incarnation: Incarnation
    cause: Cause


class EntryMember(Struct, frozen=True, array_like=True):
    """An entry that polls a replica.

    Parameters
    ----------
    entry : EntryAddress
        Its address for callers.
    incarnation, sequence : Incarnation, int
        Order of the status in which it came to the replica or changed.
    """

    entry: EntryAddress
    incarnation: Incarnation
    sequence: int


class Cursors(Struct, frozen=True, array_like=True):
    """Cursors of an entry in the feeds of its replica."""

    endpoints: int = NO_CURSOR
    entries: int = NO_CURSOR
    replicas: int = NO_CURSOR


class SyncRequest(Struct, frozen=True, array_like=True, tag=1):
    """Status report of an entry, and its request for changes since its last poll.

    Parameters
    ----------
    status : EntryStatus
        The entry's status.
    number : int
        Number of the configuration that it has.
    boot : str
        Id of the run of the replica's process that `cursors` refer to.
    cursors : Cursors
        What it has of the replica's feeds.
    hold_seconds : float
        How long the replica may wait for a change before it answers.
    suspensions_index : LogIndex
        Index of the suspensions that it has.
    evacuations_index : LogIndex
        Index of the evacuations that it has; -1 if it has none or knows of none.
    withdrawn_index : LogIndex
        Index of the withdrawn versions that it has; -1 if it has none.
    """

    status: EntryStatus
    number: int
    boot: str
    cursors: Cursors
    hold_seconds: float
    suspensions_index: LogIndex = LogIndex(-1)
    evacuations_index: LogIndex = LogIndex(-1)
    withdrawn_index: LogIndex = LogIndex(-1)


class SyncReply(Struct, frozen=True, array_like=True):
    """Answer to an entry's `SyncRequest`.

    Parameters
    ----------
    age_seconds : float
        Age of the state: it has everything committed that many seconds ago.
    number : int
        Number of the configuration in force.
    document : bytes or None
        Its compressed document; None if the entry has that configuration.
    boot : str
        Run of the replica's process.
    endpoints : Changes or None
        Newest heartbeats of endpoints that have changed.
    entries : Changes or None
        Changes of the live entries.
    replicas : Changes or None
        Changes of the control group's members and their data centres.
    rollouts : tuple of RolloutView
        Newest roll-out of each service.
    loads : dict
        Load that all other entries put on each endpoint.
    suspensions : tuple of Suspension or None
        Suspended causes of crashes; None if the entry has them.
    suspensions_index : LogIndex
        Index of the last change of the suspensions.
    questions : tuple of Cause
        Causes of which the entry is to report successes.
    successes : tuple of CauseReport
        Last successes with these causes at all entries.
    ends : tuple of EndpointCrash
        Recent ends of endpoints that entries have noticed, without requests.
    limits : tuple of LimitReport
        Limits that endpoints have named.
    permits : tuple of RequestCount
        Requests that the entry may send to limited endpoints.
    open_sessions : tuple of SessionId
        Open sessions of all entries.
    silent : tuple of EndpointId
        Endpoints whose heartbeats are overdue.
    prefill_rates : dict
        Seconds to prefill a token for each model.
    latencies : dict
        Average response times for each route and model, of all entries.
    retry_usage : dict
        Requests and retries of all entries in the current window.
    level : int
        Feature level of the group. An entry below it gets no state.
    evacuations : tuple of DataCentre or None
        Evacuated data centres; None if the entry has them.
    evacuations_index : LogIndex
        Index of the last change of the evacuations.
    evacuation_ends : tuple of EvacuationEnd
        Ends of each data centre's last evacuation, with `evacuations` only.
    withdrawn : dict or None
        Versions of each service that were rolled back; None if the entry has them, or
        below level 2.
    withdrawn_index : LogIndex
        Index of the last change of the withdrawn versions.
    withdrawn_sessions : tuple of SessionId
        Open sessions of all entries on withdrawn versions.
    """

    age_seconds: float
    number: int
    document: bytes | None
    boot: str
    endpoints: Changes[EndpointId, EndpointHeartbeat] | None = None
    entries: Changes[InstanceId, EntryAddress] | None = None
    replicas: Changes[InstanceId, DataCentre] | None = None
    rollouts: tuple[RolloutView, ...] = ()
    loads: dict[EndpointId, EndpointLoad] = {}
    suspensions: tuple[Suspension, ...] | None = None
    suspensions_index: LogIndex = LogIndex(0)
    questions: tuple[Cause, ...] = ()
    successes: tuple[CauseReport, ...] = ()
    ends: tuple[EndpointCrash, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    permits: tuple[RequestCount, ...] = ()
    open_sessions: tuple[SessionId, ...] = ()
    silent: tuple[EndpointId, ...] = ()
    prefill_rates: dict[ModelName, float] = {}
    latencies: LatencyReport = {}
    retry_usage: UsageReport = {}
    level: int = 0
    evacuations: tuple[DataCentre, ...] | None = None
    evacuations_index: LogIndex = LogIndex(0)
    evacuation_ends: tuple[EvacuationEnd, ...] = ()
    withdrawn: dict[ServiceName, tuple[str, ...]] | None = None
    withdrawn_index: LogIndex = LogIndex(0)
    withdrawn_sessions: tuple[SessionId, ...] = ()


class ReplicaSummary(Struct, frozen=True, array_like=True):
    """What a replica tells the others of the entries that poll it.

    Parameters
    ----------
    replica : InstanceId
        The replica.
    boot : str
        Run of its process.
    sequence : int
        Increases with each summary of a run.
    members : Changes or None
        Changes of the entries that poll it.
    loads, evidence, prefill_times, latencies, retry_usage
        Sums of what these entries report, as in `EntryStatus`.
    open_sessions, withdrawn_sessions
        All that these entries report.
    crashes, successes
        What these entries have reported of recent crashes.
    refusals : tuple of Refusal
        Their newest refusal for each suspended cause.
    limits : tuple of LimitReport
        Limits that endpoints have recently named in answers to them.
    level : int
        Feature level that the replica's build supports.
    lowest_level : int
        Lowest feature level of these entries.
    """

    replica: InstanceId
    boot: str
    sequence: int
    members: Changes[InstanceId, EntryMember] | None = None
    loads: dict[EndpointId, EndpointLoad] = {}
    evidence: tuple[VersionEvidence, ...] = ()
    open_sessions: tuple[SessionId, ...] = ()
    crashes: tuple[EndpointCrash, ...] = ()
    successes: tuple[CauseReport, ...] = ()
    prefill_times: dict[ModelName, Histogram] = {}
    latencies: LatencyReport = {}
    retry_usage: UsageReport = {}
    refusals: tuple[Refusal, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    level: int = 0
    lowest_level: int = 0
    withdrawn_sessions: tuple[SessionId, ...] = ()


class SummaryCursor(Struct, frozen=True, array_like=True):
    """What a replica knows of the members of another one; answers a `Relay`."""

    boot: str = ""
    cursor: int = NO_CURSOR


class Relay(Struct, frozen=True, array_like=True, tag=2):
    """Soft state that a replica forwards to the other replicas.

    It is not replicated through the log, and refreshed by the next relay.

    Parameters
    ----------
    summary : ReplicaSummary
        The replica's entries.
    data_centre : DataCentre
        Data centre of the replica.
    heartbeats : tuple of EndpointHeartbeat
        Heartbeats that it has received.
    """

    summary: ReplicaSummary
    data_centre: DataCentre
    heartbeats: tuple[EndpointHeartbeat, ...] = ()


class StateReply(Struct, frozen=True, array_like=True):
    """The leader's confirmed state, in answer to a read."""

    number: int
    document: bytes
    rollouts: tuple[ServiceRollout, ...]
    level: int = 0
    evacuations: tuple[Evacuation, ...] = ()


ENCODER = Encoder()
POLL = Decoder(SyncRequest | Relay)
SYNC_REPLY = Decoder(SyncReply)
STATE_REPLY = Decoder(StateReply)
SUMMARY_CURSOR = Decoder(SummaryCursor)
