"""Messages between daemons, carried in gRPC frames."""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.evidence import Evidence
from bergamotwood_core.ids import InstanceId, LogIndex, WorkspaceId
from bergamotwood_core.messages import Announcement, EntryReport, LoadReport
from bergamotwood_core.outcome import RolloutReport


class Envelope(Struct, frozen=True):
    """One replication message of a log group."""

    group: str
    body: bytes


class ReplicateBatch(Struct, frozen=True):
    """Replication messages from one instance to another, in order."""

    envelopes: tuple[Envelope, ...]


class ProposeRequest(Struct, frozen=True):
    """A command for the leader of a log group."""

    group: str
    command: bytes
    timeout_seconds: float


class Committed(Struct, frozen=True, tag=True):
    """The command was applied; `result` is the state machine's answer."""

    result: bytes


class NotLeader(Struct, frozen=True, tag=True):
    """The replica does not lead; nothing was appended."""

    leader: str | None = None


class Unknown(Struct, frozen=True, tag=True):
    """The command may still be committed."""

    detail: str


ProposeReply = Committed | NotLeader | Unknown


class LogChange(Struct, frozen=True):
    """An applied control command and its index."""

    index: LogIndex
    command: bytes


class PollRequest(Struct, frozen=True):
    """An entry's report to a control replica, and what it has received already.

    Parameters
    ----------
    applied : LogIndex
        Highest index of the control log that the entry has applied.
    hold_seconds : float
        How long the replica may wait for changes before it answers.
    boot : str
        Id of the start of the replica that `cursor` belongs to.
    cursor : int
        Last directory change that the entry received from that start.
    report : EntryReport or None
        The entry's report on itself.
    announcements : tuple of Announcement
        Announcements of endpoints since the last report.
    reports : tuple of EntryReport
        Reports of other entries, relayed between replicas.
    ratings : tuple of Evidence
        Evidence from ratings since the last report.
    outcomes : tuple of RolloutReport
        All outcomes that the entry has counted during roll-outs.
    relayed : bool
        Whether another control replica relays this request.
    """

    applied: LogIndex
    hold_seconds: float = 0.0
    boot: str = ""
    cursor: int = 0
    report: EntryReport | None = None
    announcements: tuple[Announcement, ...] = ()
    reports: tuple[EntryReport, ...] = ()
    ratings: tuple[Evidence, ...] = ()
    outcomes: tuple[RolloutReport, ...] = ()
    relayed: bool = False


class PollReply(Struct, frozen=True):
    """Changes that a control replica sends to an entry.

    Parameters
    ----------
    age_seconds : float
        Seconds since the newest heartbeat round that a majority confirmed.
    applied : LogIndex
        Index of the control log after these changes.
    snapshot : bytes or None
        Whole control state, if the entry is too far behind for single changes.
    changes : tuple of LogChange
        Commands after the entry's index.
    boot, cursor : str, int
        Position in the directory changes after this reply.
    announcements : tuple of Announcement
        Endpoints that are new to the entry, or whose membership changed.
    loads : tuple of LoadReport
        Endpoints of which only the load changed.
    reports : tuple of EntryReport
        Reports of entries since the last reply.
    ratings : tuple of Evidence
        Evidence from ratings that other entries received.
    leader : InstanceId or None
        Leader of the control group, as far as the replica knows.
    """

    age_seconds: float
    applied: LogIndex
    snapshot: bytes | None
    changes: tuple[LogChange, ...]
    boot: str
    cursor: int
    announcements: tuple[Announcement, ...]
    loads: tuple[LoadReport, ...]
    reports: tuple[EntryReport, ...]
    ratings: tuple[Evidence, ...] = ()
    leader: InstanceId | None = None


class FindBill(Struct, frozen=True, tag=True):
    """Ask for the bill of a request."""

    request: str


class ListBills(Struct, frozen=True, tag=True):
    """Ask for the newest bills, of one workspace or of all."""

    workspace: WorkspaceId | None = None
    limit: int = 100


class ListTotals(Struct, frozen=True, tag=True):
    """Ask for the billed total of each workspace."""


class FindClaim(Struct, frozen=True, tag=True):
    """Ask for the claim on an idempotency key."""

    workspace: WorkspaceId
    key: str


class FindTicket(Struct, frozen=True, tag=True):
    """Ask for the outcome of a ticket."""

    number: int


class ListTickets(Struct, frozen=True, tag=True):
    """Ask for the newest tickets."""

    limit: int = 100


Query = FindBill | ListBills | ListTotals | FindClaim | FindTicket | ListTickets


class QueryRequest(Struct, frozen=True):
    """A query for the leader of a log group."""

    group: str
    query: Query
    timeout_seconds: float


ENCODER = Encoder()
REPLICATE_BATCH = Decoder(ReplicateBatch)
PROPOSE_REQUEST = Decoder(ProposeRequest)
PROPOSE_REPLY = Decoder(ProposeReply)
POLL_REQUEST = Decoder(PollRequest)
POLL_REPLY = Decoder(PollReply)
QUERY_REQUEST = Decoder(QueryRequest)
