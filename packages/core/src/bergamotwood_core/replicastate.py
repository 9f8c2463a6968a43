"""State of one replica, and what it asks its driver to do."""

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId, LogIndex, ReplicaId, Term
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


class Role(StrEnum):
    """Part that a replica plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ReplicaSettings(Struct, frozen=True):
    """Settings of the pure replica.

    Parameters
    ----------
    instance : InstanceId
        Where it runs.
    initial_voters : tuple of InstanceId
        Instances of the group, in the same order on each.
    election_seconds : float
        Least time without a leader before an election; the most is twice it.
    heartbeat_seconds : float
        Time between heartbeats.
    lease_seconds : float
        How long a confirmed round lets the leader act alone; less than
        `election_seconds`.
    append_bytes : int
        Most bytes of commands in one message.
    append_entries_ahead : int
        Most entries sent without an acknowledgement.
    snapshot_part_bytes : int
        Bytes of a snapshot in one message.
    forms_group : bool
        Whether the initial voters may form a new group. False where the group
        exists already and an empty folder means that the disk was lost.
    open_membership : bool
        Whether instances other than the initial voters may join, and take the
        place of voters that stay silent.
    replacement_seconds : float
        Silence after which a waiting learner takes a voter's place; longer
        than a planned restart of a process needs (a few seconds).
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


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the instance that it goes to."""

    instance: InstanceId
    message: Message


@dataclass
class Effects:
    """What the driver has to do, in this order.

    Parameters
    ----------
    immediate : list of Outgoing
        Messages that may be sent at once.
    records : list of Record or Snapshot
        To be synced to disk, in order, before anything below.
    messages : list of Outgoing
        Messages that rest on the records.
    outputs : list of Entry or Snapshot
        Committed entries to apply and snapshots to restore, in order.
    confirmed_at : Seconds
        Once the outputs are applied, everything that was committed at this
        time of the driver's clock is applied.
    """

    immediate: list[Outgoing] = field(default_factory=list)
    records: list[Record | Snapshot] = field(default_factory=list)
    messages: list[Outgoing] = field(default_factory=list)
    outputs: list[Entry | Snapshot] = field(default_factory=list)
    confirmed_at: Seconds = NEVER


@dataclass
class IncomingSnapshot:
    """Parts received so far of a snapshot of this index, term and size."""

    key: tuple[LogIndex, Term, int]
    data: bytearray = field(default_factory=bytearray)


@dataclass
class ReplicaState:
    """Everything that a replica knows.

    Parameters
    ----------
    settings : ReplicaSettings
        Its settings.
    replica : ReplicaId
        Its identity.
    session : int
        Distinguishes runs of its process.
    rng : Random
        Source of election delays.
    log : EntryLog
        Entries in memory.
    genesis : Genesis or None
        Its group, None before it belongs to one.
    hard_state : HardState
        Term and vote.
    snapshot : Snapshot or None
        Newest snapshot.
    role : Role
        Part it plays.
    leader : Member or None
        Who leads its term, as far as known.
    commit : LogIndex
        Last entry known to be committed.
    leader_heard_at : Seconds
        When it last heard the leader, or started.
    election_at : Seconds
        When it starts an election if it hears nothing.
    join_retry_at : Seconds
        When it asks next to join.
    votes : set of ReplicaId
        Granted to it in this (pre-)election.
    leadership : Leadership or None
        While it leads.
    confirmed_at : Seconds
        As in `Effects`.
    incoming : IncomingSnapshot or None
        While it receives one.
    known_identities : dict
        Identity last heard from each instance, before it is a member.
    known_leader : tuple of (ReplicaId, Term)
        The leader that welcomed it last.
    waiting_identities : dict
        Identities of instances that wait for the group to be formed.
    known_instances : set of InstanceId
        Instances of members, as other replicas named them.
    effects : Effects
        Collected since the driver last took them.
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
    leader_heard_at: Seconds = NEVER
    election_at: Seconds = NEVER
    join_retry_at: Seconds = NEVER
    votes: set[ReplicaId] = field(default_factory=set)
    leadership: Leadership | None = None
    confirmed_at: Seconds = NEVER
    incoming: IncomingSnapshot | None = None
    known_identities: dict[InstanceId, ReplicaId] = field(default_factory=dict)
    known_leader: tuple[ReplicaId, Term] = (ReplicaId(""), Term(0))
    waiting_identities: dict[InstanceId, ReplicaId] = field(default_factory=dict)
    known_instances: set[InstanceId] = field(default_factory=set)
    effects: Effects = field(default_factory=Effects)

    @property
    def term(self) -> Term:
        """Newest term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """Newest membership."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Whether it counts for majorities."""
        return self.membership.is_voter(self.replica)

    def get_time(self, now: Seconds) -> FollowerTime:
        """Return the time on its own clock, for a leader to echo."""
        return FollowerTime(self.session, now)

    def build_message(self, target: ReplicaId, body: Body) -> Message:
        """Return a message from this replica."""
        genesis = self.genesis.id if self.genesis else ""
        return Message(
            self.settings.instance, self.replica, target, genesis, self.term, body
        )

    def send(self, instance: InstanceId, target: ReplicaId, body: Body) -> None:
        """Send once the records are on disk."""
        message = self.build_message(target, body)
        self.effects.messages.append(Outgoing(instance, message))

    def send_immediately(self, member: Member, body: Body) -> None:
        """Send without waiting for the disk, if the term is there already."""
        if any(isinstance(record, HardState) for record in self.effects.records):
            self.send(member.instance, member.replica, body)
            return
        message = self.build_message(member.replica, body)
        self.effects.immediate.append(Outgoing(member.instance, message))

    def save_hard_state(self, hard_state: HardState) -> None:
        """Set term and vote, on disk too."""
        self.hard_state = hard_state
        self.effects.records.append(hard_state)

    def join_group(self, genesis: Genesis) -> None:
        """Join a group for good."""
        self.genesis = genesis
        self.log = EntryLog(LogIndex(0), Term(0), genesis.membership)
        self.effects.records.append(JoinedGroup(genesis))

    def append_entries(self, entries: tuple[Entry, ...]) -> None:
        """Add entries to the log, on disk too."""
        for entry in entries:
            self.log.append(entry)
        self.effects.records.append(Entries(entries))

    def delay_election(self, now: Seconds) -> None:
        """Set the time of the next election anew."""
        timeout = self.settings.election_seconds
        self.election_at = Seconds(now + timeout * (1.0 + self.rng.random()))

    def has_recent_leader(self, now: Seconds) -> bool:
        """Whether it has promised a leader not to take part in an election."""
        return now < self.leader_heard_at + self.settings.election_seconds

    def become_follower(self, term: Term, now: Seconds) -> None:
        """Follow in a term, with no leader known yet."""
        if term > self.term:
            self.save_hard_state(HardState(term))
        self.role = Role.FOLLOWER
        self.leader = None
        self.leadership = None
        self.votes.clear()
        self.delay_election(now)

    def commit_to(self, index: LogIndex) -> None:
        """Hand out the entries up to an index as committed."""
        if index <= self.commit:
            return
        first = LogIndex(self.commit + 1)
        self.effects.outputs.extend(self.log.get_entries(first, index))
        self.commit = index

    def confirm(self, at: Seconds) -> None:
        """Note that all that was committed at a time is known here."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.effects.confirmed_at = self.confirmed_at
