"""State of one replica, and the effects that it asks its driver to carry out."""

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import DataCentre, InstanceId, LogIndex, ReplicaId, Term
from bergamotwood_core.logentries import (
    Entries,
    Entry,
    EntryLog,
    HardState,
    JoinedGroup,
    Record,
    Snapshot,
)
from bergamotwood_core.logmessages import Body, FollowerTime, Message
from bergamotwood_core.membership import Genesis, Member, Membership
from bergamotwood_core.progress import NEVER, Leadership
from bergamotwood_core.tolerance import Tolerance


class Role(StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaSettings(Struct, frozen=True):
    """Settings of a replica.

    Parameters
    ----------
    instance : InstanceId
        Instance on which it runs.
    initial_voters : tuple of InstanceId
        Instances that form the group, in the same order on each of them.
    election_seconds : float
        Shortest election timeout; the longest is twice as long.
    heartbeat_seconds : float
        Time between heartbeats.
    lease_seconds : float
        Length of the leader's lease, from the time at which it sent the newest
        heartbeat that a majority acknowledged; less than `election_seconds`.
    append_bytes : int
        Maximum bytes of commands in one message.
    append_entries_ahead : int
        Maximum number of entries sent without an acknowledgement.
    snapshot_part_bytes : int
        Maximum bytes of a snapshot in one message.
    forms_group : bool
        Whether the initial voters may form a new group. False where the group
        exists already and an empty folder means that the disk was lost.
    open_membership : bool
        Whether instances other than the initial voters may join, and replace
        voters that stay silent.
    replacement_seconds : float
        Silence of a member after which it counts as gone; longer than a
        planned restart of a process takes (a few seconds).
    tolerance : Tolerance
        What an open group may lose at the same time. It keeps as many voters as that
        needs, even if some of them are silent.
    level : int
        Feature level that the build supports.
    data_centre : DataCentre
        Data centre of the instance; empty if the settings name none.
    exchange_level : int
        Feature level of the group from which on votes are exchanged in two steps.
    """

    instance: InstanceId
    initial_voters: tuple[InstanceId, ...]
    election_seconds: float = 1.0
    heartbeat_seconds: float = 0.1
    lease_seconds: float = 0.8
    append_bytes: int = 512 * 1024
    append_entries_ahead: int = 4096
    snapshot_part_bytes: int = 256 * 1024
    forms_group: bool = True
    open_membership: bool = False
    replacement_seconds: float = 3.0
    tolerance: Tolerance = Tolerance()
    level: int = 0
    data_centre: DataCentre = DataCentre("")
    exchange_level: int = 0


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and its destination instance."""

    instance: InstanceId
    message: Message


@dataclass
class Effects:
    """Actions that the driver carries out, in this order.

    Parameters
    ----------
    immediate : list of Outgoing
        Messages to send without waiting for the records.
    records : list of Record or Snapshot
        Records to write and sync to disk, in order, before the rest is done.
    messages : list of Outgoing
        Messages to send once the records are on disk.
    outputs : list of Entry or Snapshot
        Committed entries to apply and snapshots to restore, in order.
    confirmed_at : Seconds
        Once the outputs are applied, everything that was committed at this
        time on the driver's clock is applied.
    """

    immediate: list[Outgoing] = field(default_factory=list)
    records: list[Record | Snapshot] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)
    outputs: list[Entry | Snapshot] = field(default_factory=list)
    confirmed_at: Seconds = NEVER


@dataclass
class IncomingSnapshot:
    """Received parts of a snapshot; `key` holds its index, term and size."""

    key: tuple[LogIndex, Term, int]
    data: bytearray = field(default_factory=bytearray)


@dataclass
class ReplicaState:
    """Complete state of a replica.

    Parameters
    ----------
    settings : ReplicaSettings
        Settings of the replica.
    replica : ReplicaId
        Identity of the replica.
    session : int
        Distinguishes the runs of its process.
    rng : Random
        Source of randomness for election timeouts.
    log : EntryLog
        Log entries held in memory.
    genesis : Genesis or None
        Its group, None until it belongs to one.
    hard_state : HardState
        Current term, and the vote given in it.
    snapshot : Snapshot or None
        Newest snapshot.
    role : Role
        Role in the current term.
    leader : Member or None
        Leader of the current term, None when unknown.
    commit : LogIndex
        Index of the last entry known to be committed.
    applied : LogIndex
        Index of the last entry that the driver has applied.
    level : int
        Feature level of the group in the applied state.
    refused_levels : dict
        Feature level of each instance that was refused because it is too low.
    leader_heard_at : Seconds
        When the leader was last heard, or the process started.
    election_at : Seconds
        When it starts an election unless it hears a leader before.
    join_retry_at : Seconds
        When it sends the next join requests.
    votes : set of ReplicaId
        Voters that granted their vote in this pre-vote or election.
    leadership : Leadership or None
        State that it has only while it leads, None otherwise.
    confirmed_at : Seconds
        As in `Effects`.
    leaving_since : Seconds or None
        When it began to leave, as its process stops; None while it stays.
    incoming : IncomingSnapshot or None
        Snapshot that is being received, if any.
    known_identities : dict
        Identity last heard from each instance; used while it asks to join.
    known_leader : tuple of (ReplicaId, Term)
        Leader and term that last answered a join request.
    waiting_identities : dict
        Identities of instances that wait for the group to be formed.
    known_instances : set of InstanceId
        Instances of members, as reported by other replicas.
    effects : Effects
        Effects collected since the driver last took them.
    """

    settings: ReplicaSettings
    replica: ReplicaId
    session: int
    rng: Random
    log: EntryLog
    genesis: Genesis | None = None
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    role: Role = Role.FOLLOWER
    leader: Member | None = None
    commit: LogIndex = LogIndex(0)
    applied: LogIndex = LogIndex(0)
    level: int = 0
    refused_levels: dict[InstanceId, int] = field(default_factory=dict)
    leader_heard_at: Seconds = NEVER
    election_at: Seconds = NEVER
    join_retry_at: Seconds = NEVER
    votes: set[ReplicaId] = field(default_factory=set)
    leadership: Leadership | None = None
    confirmed_at: Seconds = NEVER
    leaving_since: Seconds | None = None
    incoming: IncomingSnapshot | None = None
    known_identities: dict[InstanceId, ReplicaId] = field(default_factory=dict)
    known_leader: tuple[ReplicaId, Term] = (ReplicaId(""), Term(0))
    waiting_identities: dict[InstanceId, ReplicaId] = field(default_factory=dict)
    known_instances: set[InstanceId] = field(default_factory=set)
    effects: Effects = field(default_factory=Effects)

    @property
    def term(self) -> Term:
        """Current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """Newest membership in the log, committed or not."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Whether it votes and counts toward majorities."""
        return self.membership.is_voter(self.replica)

    @property
    def is_leaving(self) -> bool:
        """Whether its process stops, so that another replica should have its vote."""
        return self.leaving_since is not None

    def get_time(self, now: Seconds) -> FollowerTime:
        """Return a reading of its own clock, for the leader to echo."""
        return FollowerTime(self.session, now)

    def build_message(self, target: ReplicaId, body: Body) -> Message:
        """Build a message from this replica."""
        genesis = self.genesis.id if self.genesis else ""
        return Message(
            self.settings.instance, self.replica, target, genesis, self.term, body
        )

    def send(self, instance: InstanceId, target: ReplicaId, body: Body) -> None:
        """Queue a message to be sent once the records are on disk."""
        message = self.build_message(target, body)
        self.effects.messages.append(Outgoing(instance, message))

    def send_immediately(self, member: Member, body: Body) -> None:
        """Queue a message to be sent at once, unless the term is still to be saved."""
        if any(isinstance(record, HardState) for record in self.effects.records):
            self.send(member.instance, member.replica, body)
            return
        message = self.build_message(member.replica, body)
        self.effects.immediate.append(Outgoing(member.instance, message))

    def save_hard_state(self, hard_state: HardState) -> None:
        """Set the term and vote, and queue them to be saved."""
        self.hard_state = hard_state
        self.effects.records.append(hard_state)

    def join_group(self, genesis: Genesis) -> None:
        """Join a group permanently."""
        self.genesis = genesis
        self.log = EntryLog(LogIndex(0), Term(0), genesis.membership)
        self.effects.records.append(JoinedGroup(genesis))

    def append_entries(self, entries: tuple[Entry, ...]) -> None:
        """Append entries to the log, and queue them to be saved."""
        for entry in entries:
            self.log.append(entry)
        self.effects.records.append(Entries(entries))

    def delay_election(self, now: Seconds) -> None:
        """Restart the randomized election timeout."""
        timeout = self.settings.election_seconds
        self.election_at = Seconds(now + timeout * (1.0 + self.rng.random()))

    def has_recent_leader(self, now: Seconds) -> bool:
        """Whether it heard a leader within the shortest election timeout.

        While it does, it refuses elections that the leader did not start; the
        leader's lease relies on this.
        """
        return now < self.leader_heard_at + self.settings.election_seconds

    def become_follower(self, term: Term, now: Seconds) -> None:
        """Become a follower in a term, with no known leader."""
        if term > self.term:
            self.save_hard_state(HardState(term))
        self.role = Role.FOLLOWER
        self.leader = None
        self.leadership = None
        self.votes.clear()
        self.delay_election(now)

    def commit_to(self, index: LogIndex) -> None:
        """Add the entries up to an index to the outputs as committed."""
        if index <= self.commit:
            return
        first = LogIndex(self.commit + 1)
        self.effects.outputs.extend(self.log.get_entries(first, index))
        self.commit = index

    def confirm(self, at: Seconds) -> None:
        """Record that everything committed by a time is known to this replica."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.effects.confirmed_at = self.confirmed_at
