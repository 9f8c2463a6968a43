"""Messages between the replicas of a log group."""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import DataCentre, InstanceId, LogIndex, ReplicaId, Term
from bergamotwood_core.logentries import Entry
from bergamotwood_core.membership import Genesis, Membership


class FollowerTime(Struct, frozen=True, array_like=True):
    """A reading of a follower's clock, valid only in run `session` of its process."""

    session: int
    at: Seconds


NO_FOLLOWER_TIME = FollowerTime(0, Seconds(0.0))


class JoinRequest(Struct, frozen=True, array_like=True, tag=1):
    """Request of a replica to join a group, or to form one.

    Parameters
    ----------
    voters : tuple of InstanceId
        Initial voters in the sender's settings.
    in_group : bool
        Whether the sender belongs to a group already.
    receiver : ReplicaId
        Identity that the sender last heard from the receiver, or empty.
    receiver_term : Term
        Term in which the receiver last answered that it leads, or 0.
    level : int
        Feature level that the sender's build supports.
    """

    voters: tuple[InstanceId, ...]
    in_group: bool
    receiver: ReplicaId
    receiver_term: Term
    level: int = 0


class JoinReply(Struct, frozen=True, array_like=True, tag=2):
    """Answer of a member to `JoinRequest`.

    Parameters
    ----------
    genesis : Genesis
        The group of the sender.
    is_leader : bool
        Whether the sender leads the group.
    member_instances : tuple of InstanceId
        Instances of the members, as far as the sender knows.
    """

    genesis: Genesis
    is_leader: bool
    member_instances: tuple[InstanceId, ...] = ()


class PreVoteRequest(Struct, frozen=True, array_like=True, tag=3):
    """Question whether an election in a new term could be won."""

    proposed_term: Term
    last_index: LogIndex
    last_term: Term


class PreVoteReply(Struct, frozen=True, array_like=True, tag=4):
    """Answer to `PreVoteRequest`; commits the sender to nothing."""

    proposed_term: Term
    granted: bool


class VoteRequest(Struct, frozen=True, array_like=True, tag=5):
    """Request for the vote of the message's term.

    Parameters
    ----------
    last_index, last_term : int
        Index and term of the last entry in the candidate's log.
    transfer : bool
        Whether the leader asked for this election, after it gave up its lease.
    """

    last_index: LogIndex
    last_term: Term
    transfer: bool


class VoteReply(Struct, frozen=True, array_like=True, tag=6):
    """Answer to `VoteRequest`."""

    granted: bool


class AppendRequest(Struct, frozen=True, array_like=True, tag=7):
    """Entries to append; a heartbeat when there are none.

    Parameters
    ----------
    previous_index, previous_term : int
        Index and term of the entry before the first one sent.
    entries : tuple of Entry
        Entries that follow it.
    commit : LogIndex
        Index of the last committed entry.
    sent : Seconds
        Time on the leader's clock, returned in the reply.
    echo : FollowerTime
        Newest clock reading that the leader has from the receiver.
    age : float or None
        Seconds since the leader sent the newest messages that a majority
        acknowledged; None when it has no such time yet.
    """

    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit: LogIndex
    sent: Seconds
    echo: FollowerTime
    age: float | None


class AppendReply(Struct, frozen=True, array_like=True, tag=8):
    """Answer to `AppendRequest`, and to the last part of a snapshot.

    Parameters
    ----------
    accepted : bool
        Whether the log contains the previous entry.
    previous : LogIndex
        `previous_index` of the request.
    match : LogIndex
        When accepted, the last index at which both logs are known to be equal;
        otherwise the index to try next.
    sent : Seconds
        `sent` of the request.
    follower_time : FollowerTime
        Reading of the follower's clock.
    leaving : bool
        Whether the follower's process stops.
    data_centre : DataCentre
        Data centre of the follower; empty from a build that does not state it.
    """

    accepted: bool
    previous: LogIndex
    match: LogIndex
    sent: Seconds
    follower_time: FollowerTime
    leaving: bool = False
    data_centre: DataCentre = DataCentre("")


class SnapshotPart(Struct, frozen=True, array_like=True, tag=9):
    """A part of a snapshot that is sent in several messages.

    Parameters
    ----------
    index, term, membership : LogIndex, Term, Membership
        As in `Snapshot`.
    offset : int
        Offset of `data` in the bytes of the snapshot.
    data : bytes
        Bytes of the part.
    size : int
        Size of the whole snapshot in bytes.
    sent : Seconds
        Time on the leader's clock, returned in the reply.
    """

    index: LogIndex
    term: Term
    membership: Membership
    offset: int
    data: bytes
    size: int
    sent: Seconds


class SnapshotReply(Struct, frozen=True, array_like=True, tag=10):
    """Answer to `SnapshotPart`: the number of bytes received so far."""

    index: LogIndex
    offset: int
    sent: Seconds
    follower_time: FollowerTime


class StartElection(Struct, frozen=True, array_like=True, tag=11):
    """Request to start an election at once, since the leader transfers leadership."""


Body = (
    JoinRequest
    | JoinReply
    | PreVoteRequest
    | PreVoteReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotPart
    | SnapshotReply
    | StartElection
)


class Message(Struct, frozen=True, array_like=True):
    """A body with its sender and receiver.

    Parameters
    ----------
    instance : InstanceId
        Instance on which the sender runs.
    sender, target : ReplicaId
        Identities; the target of a `JoinRequest` is empty.
    genesis : str
        Id of the group, empty when the sender has none.
    term : Term
        The sender's term.
    body : Body
        Content of the message.
    """

    instance: InstanceId
    sender: ReplicaId
    target: ReplicaId
    genesis: str
    term: Term
    body: Body


_ENCODER = Encoder()
_DECODER = Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    msgspec.MsgspecError
        When the bytes are not a message.
    """
    return _DECODER.decode(data)
