"""A consensus replica: messages and time in, effects out.

The driver calls `step`, `tick` and the others, takes the effects, and carries
them out in their order before the next call. After the records are on disk it
calls `note_saved`.
"""

from random import Random

from bergamotwood_core.bootstrap import (
    answer_hello,
    is_cut_off,
    repair_membership,
    send_hellos,
    take_welcome,
)
from bergamotwood_core.clock import Seconds
from bergamotwood_core.election import (
    answer_pre_vote,
    answer_vote,
    count_pre_vote,
    count_vote,
    refuses_election,
    start_election,
    start_pre_vote,
)
from bergamotwood_core.errors import NotLeaderError
from bergamotwood_core.follower import (
    refuse_old_leader,
    take_append,
    take_snapshot_part,
)
from bergamotwood_core.ids import InstanceId, LogIndex, Term
from bergamotwood_core.logentries import Entry, EntryLog, SavedState, Snapshot
from bergamotwood_core.logmessages import (
    Append,
    AppendReply,
    Hello,
    Message,
    PreVote,
    PreVoteReply,
    SnapshotPart,
    SnapshotReply,
    StartElection,
    Vote,
    VoteReply,
    Welcome,
)
from bergamotwood_core.membership import Membership, MembershipChange
from bergamotwood_core.replicastate import Effects, ReplicaSettings, ReplicaState, Role
from bergamotwood_core.replication import (
    append_commands,
    append_membership,
    broadcast,
    can_change_membership,
    count_own_log,
    count_reply,
    count_snapshot_reply,
    find_confirmed_round,
    finish_hand_over,
    hand_over,
    has_committed_in_term,
)


class Replica:
    """One replica of a log group.

    Parameters
    ----------
    settings : ReplicaSettings
        Its settings.
    saved : SavedState
        What its data folder holds.
    session : int
        Differs between runs of the process.
    rng : Random
        Source of election delays.
    now : Seconds
        Time of the start.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        saved: SavedState,
        session: int,
        rng: Random,
        now: Seconds,
    ) -> None:
        state = ReplicaState(settings, saved.replica, session, rng, _build_log(saved))
        state.genesis = saved.genesis
        state.hard = saved.hard_state
        state.snapshot = saved.snapshot
        state.commit = state.log.start
        # What it promised to a leader before the restart is not known.
        state.heard_at = now
        state.delay_election(now)
        self.state = state

    @property
    def term(self) -> Term:
        """Newest term."""
        return self.state.term

    @property
    def is_leader(self) -> bool:
        """Whether it leads its term, as far as it knows."""
        return self.state.role is Role.LEADER

    @property
    def leader(self) -> InstanceId | None:
        """Instance that leads, None when unknown."""
        return self.state.leader.instance if self.state.leader else None

    @property
    def commit(self) -> LogIndex:
        """Last entry known to be committed."""
        return self.state.commit

    @property
    def membership(self) -> Membership:
        """Newest membership."""
        return self.state.membership

    def take_effects(self) -> Effects:
        """Return what the calls since the last time ask for."""
        effects = self.state.effects
        self.state.effects = Effects()
        return effects

    def step(self, message: Message, now: Seconds) -> None:
        """Take in a message of another replica."""
        state = self.state
        match message.body:
            case Hello() as body:
                answer_hello(state, message, body, now)
                return
            case Welcome() as body:
                take_welcome(state, message, body, now)
                return
        if state.genesis is None or message.genesis != state.genesis.id:
            return
        if message.target != state.replica:
            return
        if self._check_term(message, now):
            self._dispatch(message, now)

    def tick(self, now: Seconds) -> None:
        """Let time pass; to be called several times in a heartbeat."""
        state = self.state
        if is_cut_off(state, now):
            send_hellos(state, now)
        if state.role is Role.LEADER:
            self._lead(now)
            return
        alone = state.membership.voters == (state.replica,)
        if state.is_voter and (alone or now >= state.election_at):
            start_pre_vote(state, now)

    def propose(self, commands: list[bytes], now: Seconds) -> LogIndex:
        """Append commands to the log.

        Returns
        -------
        LogIndex
            Index of the first; they are committed once they are handed out
            at their indexes with the present term.

        Raises
        ------
        NotLeaderError
            When the replica does not lead or hands over; nothing is appended.
        """
        self._check_leader()
        first = append_commands(self.state, commands)
        broadcast(self.state, now)
        return first

    def change_members(self, change: MembershipChange, now: Seconds) -> None:
        """Append a change of one member.

        Raises
        ------
        NotLeaderError
            When the replica does not lead, or another change is pending.
        ValueError
            When the change does not fit the members.
        """
        if not can_change_membership(self.state):
            raise NotLeaderError("no change of members now", self.leader)
        append_membership(self.state, change)
        broadcast(self.state, now)

    def note_saved(self, now: Seconds) -> None:
        """Count the own log: all records taken so far are on disk."""
        leadership = self.state.leadership
        if leadership is None:
            return
        leadership.saved = self.state.log.last_index
        count_own_log(self.state, now)

    def start_round(self, now: Seconds) -> None:
        """Send a heartbeat now, when it leads."""
        if self.is_leader:
            broadcast(self.state, now)

    def hand_over(self, now: Seconds) -> bool:
        """Give the lease up and hand leadership over; False when it cannot."""
        if not self.is_leader:
            return False
        return hand_over(self.state, now)

    def compact(self, index: LogIndex, data: bytes, kept: int) -> Snapshot:
        """Replace the log up to an applied index by a snapshot.

        Parameters
        ----------
        index : LogIndex
            Last entry that the snapshot contains.
        data : bytes
            The state machine's state.
        kept : int
            Entries before it that stay in memory, for followers.
        """
        log = self.state.log
        term = log.find_term(index)
        snapshot = Snapshot(index, term, log.find_membership(index), data)
        self.state.snapshot = snapshot
        log.compact(LogIndex(index - kept))
        return snapshot

    def get_entries_after(self, index: LogIndex) -> tuple[Entry, ...]:
        """Return the entries after an applied one."""
        log = self.state.log
        return log.get_entries(LogIndex(index + 1), log.last_index)

    def holds_lease(self, now: Seconds) -> bool:
        """Whether no other replica can lead at this time."""
        state = self.state
        leadership = state.leadership
        if leadership is None or leadership.transfer_to is not None:
            return False
        lease = state.settings.lease_seconds
        if now < leadership.elected_at + lease or not has_committed_in_term(state):
            return False
        return now < find_confirmed_round(state, now) + lease

    def _check_leader(self) -> None:
        leadership = self.state.leadership
        if leadership is None or leadership.transfer_to is not None:
            raise NotLeaderError("the replica does not lead", self.leader)

    def _check_term(self, message: Message, now: Seconds) -> bool:
        state = self.state
        body = message.body
        if message.term > state.term:
            if isinstance(body, PreVote):
                return True
            if isinstance(body, Vote) and refuses_election(state, body, now):
                return False
            state.become_follower(message.term, now)
            return True
        if message.term == state.term:
            return True
        match body:
            case Append() | SnapshotPart():
                refuse_old_leader(state, message, body, now)
            case PreVote() | PreVoteReply(granted=True):
                return True
        return False

    def _dispatch(self, message: Message, now: Seconds) -> None:
        state = self.state
        match message.body:
            case Append() as body:
                take_append(state, message, body, now)
            case AppendReply() as body:
                count_reply(state, message, body, now)
            case SnapshotPart() as body:
                take_snapshot_part(state, message, body, now)
            case SnapshotReply() as body:
                count_snapshot_reply(state, message, body, now)
            case PreVote() as body:
                answer_pre_vote(state, message, body, now)
            case PreVoteReply() as body:
                count_pre_vote(state, message, body, now)
            case Vote() as body:
                answer_vote(state, message, body, now)
            case VoteReply() as body:
                count_vote(state, message, body, now)
            case StartElection() if state.is_voter:
                start_election(state, now, transfer=True)

    def _lead(self, now: Seconds) -> None:
        state = self.state
        leadership = state.leadership
        confirmed = max(find_confirmed_round(state, now), leadership.elected_at)
        lost = now > confirmed + state.settings.election_seconds
        late = leadership.transfer_to is not None and now > leadership.transfer_until
        if lost or late:
            state.become_follower(state.term, now)
            return
        count_own_log(state, now)
        if leadership.transfer_to is not None:
            finish_hand_over(state, now)
        repair_membership(state, now)
        if now >= leadership.next_heartbeat:
            broadcast(state, now)


def _build_log(saved: SavedState) -> EntryLog:
    if saved.snapshot is not None:
        snapshot = saved.snapshot
        log = EntryLog(snapshot.index, snapshot.term, snapshot.membership)
    elif saved.genesis is not None:
        log = EntryLog(LogIndex(0), Term(0), saved.genesis.membership)
    else:
        log = EntryLog(LogIndex(0), Term(0), Membership(()))
    for entry in saved.entries:
        if entry.index > log.start:
            log.append(entry)
    return log
