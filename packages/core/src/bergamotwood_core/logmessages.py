"""Messages between the replicas of a log group."""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId, LogIndex, ReplicaId, Term
from bergamotwood_core.logentries import Entry
from bergamotwood_core.membership import Genesis, Membership


class FollowerTime(Struct, frozen=True, array_like=True):
    """A time on a follower's own clock, valid within one run of its process."""

    session: int
    at: Seconds


NO_FOLLOWER_TIME = FollowerTime(0, Seconds(0.0))


class JoinRequest(Struct, frozen=True, array_like=True, tag=1):
    """A replica that is not a member asks to join, or to form the group.

    Parameters
    ----------
    voters : tuple of InstanceId
        Initial voters in its settings.
    in_group : bool
        Whether it belongs to a group already.
    receiver : ReplicaId
        Identity that it last heard from the receiver.
    receiver_term : Term
        Term in which the receiver last said that it leads.
    """

    voters: tuple[InstanceId, ...]
    in_group: bool
    receiver: ReplicaId
    receiver_term: Term


class JoinReply(Struct, frozen=True, array_like=True, tag=2):
    """Answer of a member to `Hello`.

    Parameters
    ----------
    genesis : Genesis
        The group.
    is_leader : bool
        Whether the sender leads it.
    member_instances : tuple of InstanceId
        Where its members run now, as far as the sender knows.
    """

    genesis: Genesis
    is_leader: bool
    member_instances: tuple[InstanceId, ...] = ()


class PreVoteRequest(Struct, frozen=True, array_like=True, tag=3):
    """Ask whether an election in a new term could be won."""

    proposed_term: Term
    last_index: LogIndex
    last_term: Term


class PreVoteReply(Struct, frozen=True, array_like=True, tag=4):
    """Answer to `PreVote`; binds the sender to nothing."""

    proposed_term: Term
    granted: bool


class VoteRequest(Struct, frozen=True, array_like=True, tag=5):
    """Ask for the vote of the message's term.

    Parameters
    ----------
    last_index, last_term : int
        End of the candidate's log.
    transfer : bool
        The leader asked for this election, and gave its lease up first.
    """

    last_index: LogIndex
    last_term: Term
    transfer: bool


class VoteReply(Struct, frozen=True, array_like=True, tag=6):
    """Answer to `Vote`."""

    granted: bool


class AppendRequest(Struct, frozen=True, array_like=True, tag=7):
    """Entries, or a heartbeat when there are none.

    Parameters
    ----------
    previous_index, previous_term : int
        The entry before the first one sent.
    entries : tuple of Entry
        What follows it.
    commit : LogIndex
        Last committed entry.
    sent : Seconds
        Time on the leader's clock, returned in the reply.
    echo : FollowerTime
        Newest stamp that the leader has from the receiver.
    age : float or None
        Seconds since the newest majority-confirmed round was sent.
    """

    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit: LogIndex
    sent: Seconds
    echo: FollowerTime
    age: float | None


class AppendReply(Struct, frozen=True, array_like=True, tag=8):
    """Answer to `Append`, and to the last part of a snapshot.

    Parameters
    ----------
    accepted : bool
        Whether the previous entry was found.
    previous : LogIndex
        `previous_index` of the request.
    match : LogIndex
        Last entry known to be equal, when accepted; else where to look next.
    sent : Seconds
        From the request.
    follower_time : FollowerTime
        Time on the follower's clock.
    """

    accepted: bool
    previous: LogIndex
    match: LogIndex
    sent: Seconds
    follower_time: FollowerTime


class SnapshotPart(Struct, frozen=True, array_like=True, tag=9):
    """A part of a snapshot.

    Parameters
    ----------
    index, term, membership : LogIndex, Term, Membership
        As in `Snapshot`.
    offset : int
        Place of `data` in the snapshot's bytes.
    data : bytes
        The part.
    size : int
        Bytes of the whole snapshot.
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
    """Answer to `SnapshotPart`: how many bytes are there."""

    index: LogIndex
    offset: int
    sent: Seconds
    follower_time: FollowerTime


class StartElection(Struct, frozen=True, array_like=True, tag=11):
    """The leader hands over to the receiver."""


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
        Where the sender runs.
    sender, target : ReplicaId
        Identities; the target of a `Hello` is empty.
    genesis : str
        The group, empty when the sender has none.
    term : Term
        The sender's term.
    body : Body
        What it says.
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
    """Return a message as bytes."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message that bytes hold.

    Raises
    ------
    msgspec.MsgspecError
        When they hold none.
    """
    return _DECODER.decode(data)
