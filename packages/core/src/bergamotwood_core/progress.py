"""Replication progress of the members, as known to the leader."""

from dataclasses import dataclass, field

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import DataCentre, InstanceId, LogIndex, ReplicaId
from bergamotwood_core.logentries import Snapshot
from bergamotwood_core.logmessages import NO_FOLLOWER_TIME, FollowerTime

NEVER = Seconds(float("-inf"))


@dataclass(slots=True)
class Progress:
    """Replication progress of one member.

    Parameters
    ----------
    next : LogIndex
        Index of the next entry to send.
    match : LogIndex
        Index of the last entry known to be on the member's disk.
    probing : bool
        Whether the last entry in common with the member is still unknown.
    acked_sent_at : Seconds
        When the newest acknowledged message was sent, on the leader's clock.
    acked_at : Seconds
        When the newest acknowledgement was received.
    follower_time : FollowerTime
        Newest reading of the member's own clock.
    added_at : Seconds
        When the leader began to send to it.
    leaving : bool
        Whether the member said so when it last answered.
    data_centre : DataCentre
        Data centre that the member stated; empty while it is unknown.
    snapshot : Snapshot or None
        Snapshot that is being sent in parts, if any.
    offset : int
        Bytes of the snapshot that the member has received.
    resend_at : Seconds
        When to repeat an unanswered probe or part of a snapshot.
    """

    next: LogIndex
    match: LogIndex = LogIndex(0)
    probing: bool = True
    acked_sent_at: Seconds = NEVER
    acked_at: Seconds = NEVER
    follower_time: FollowerTime = NO_FOLLOWER_TIME
    added_at: Seconds = NEVER
    leaving: bool = False
    data_centre: DataCentre = DataCentre("")
    snapshot: Snapshot | None = None
    offset: int = 0
    resend_at: Seconds = NEVER


@dataclass
class Leadership:
    """State that a replica has only while it leads.

    Parameters
    ----------
    elected_at : Seconds
        When it won the election.
    first_index : LogIndex
        Index of the first entry of its term.
    progress : dict
        Progress of each other member.
    join_requests : dict
        Identity that asks to join, by instance.
    join_levels : dict
        Feature level that it states, by instance.
    proposed_level : int
        Feature level of the group that the leader may have appended.
    transfer_to : ReplicaId or None
        Voter to which it transfers leadership, if any.
    transfer_until : Seconds
        When it steps down even if the transfer has not succeeded.
    synced_index : LogIndex
        Index of the last entry on its own disk.
    next_heartbeat : Seconds
        When it sends the next heartbeat.
    """

    elected_at: Seconds
    first_index: LogIndex
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    join_requests: dict[InstanceId, ReplicaId] = field(default_factory=dict)
    join_levels: dict[InstanceId, int] = field(default_factory=dict)
    proposed_level: int = 0
    transfer_to: ReplicaId | None = None
    transfer_until: Seconds = NEVER
    synced_index: LogIndex = LogIndex(0)
    next_heartbeat: Seconds = NEVER
