"""What a leader knows of each other member."""

from dataclasses import dataclass, field

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId, LogIndex, ReplicaId
from bergamotwood_core.logentries import Snapshot
from bergamotwood_core.logmessages import NO_FOLLOWER_TIME, FollowerTime

NEVER = Seconds(float("-inf"))


@dataclass(slots=True)
class Progress:
    """Replication to one member.

    Parameters
    ----------
    next : LogIndex
        First entry to send next.
    match : LogIndex
        Last entry known to be on the member's disk.
    probing : bool
        Whether the end of the member's log is still looked for.
    acked_sent_at : Seconds
        Leader's time at which the newest acknowledged message was sent.
    acked_at : Seconds
        When the newest acknowledgement came.
    follower_time : FollowerTime
        Newest time of the member's own clock.
    snapshot : Snapshot or None
        What is being sent in parts.
    offset : int
        Bytes of the snapshot that the member has.
    resend_at : Seconds
        While probing or sending a snapshot, when to send the same again.
    """

    next: LogIndex
    match: LogIndex = LogIndex(0)
    probing: bool = True
    acked_sent_at: Seconds = NEVER
    acked_at: Seconds = NEVER
    follower_time: FollowerTime = NO_FOLLOWER_TIME
    snapshot: Snapshot | None = None
    offset: int = 0
    resend_at: Seconds = NEVER


@dataclass
class Leadership:
    """State that exists while a replica leads.

    Parameters
    ----------
    elected_at : Seconds
        When it won the election.
    first_index : LogIndex
        The first entry of its term.
    progress : dict
        For each other member.
    join_requests : dict
        Identity that asks to join, for each instance.
    transfer_to : ReplicaId or None
        Whom it hands over to.
    transfer_until : Seconds
        When it steps down anyway.
    synced_index : LogIndex
        Last entry on its own disk.
    next_heartbeat : Seconds
        When it sends the next heartbeat.
    """

    elected_at: Seconds
    first_index: LogIndex
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    join_requests: dict[InstanceId, ReplicaId] = field(default_factory=dict)
    transfer_to: ReplicaId | None = None
    transfer_until: Seconds = NEVER
    synced_index: LogIndex = LogIndex(0)
    next_heartbeat: Seconds = NEVER
