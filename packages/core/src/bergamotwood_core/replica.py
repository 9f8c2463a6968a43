"""A consensus replica that does no input or output of its own.

The driver passes in messages and the time through `step`, `tick` and the other
methods, takes the resulting effects and carries them out in order before it
calls again. Once the records are on disk it calls `mark_synced`.
"""

from random import Random

from bergamotwood_core.bootstrap import (
    handle_join_reply,
    handle_join_request,
    may_leave,
    repair_membership,
    request_join,
    should_request_join,
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
    handle_append,
    handle_snapshot_part,
    reject_stale_leader,
)
from bergamotwood_core.ids import InstanceId, LogIndex, Term
from bergamotwood_core.logentries import Entry, EntryLog, SavedState, Snapshot
from bergamotwood_core.logmessages import (
    AppendReply,
    AppendRequest,
    JoinReply,
    JoinRequest,
    Message,
    PreVoteReply,
    PreVoteRequest,
    SnapshotPart,
    SnapshotReply,
    StartElection,
    VoteReply,
    VoteRequest,
)
from bergamotwood_core.membership import Membership, MembershipChange
from bergamotwood_core.replicastate import Effects, ReplicaSettings, ReplicaState, Role
from bergamotwood_core.replication import (
    advance_commit,
    append_commands,
    append_membership,
    broadcast,
    can_change_membership,
    complete_transfer,
    find_quorum_contact,
    handle_append_reply,
    handle_snapshot_reply,
    has_committed_in_term,
    transfer_leadership,
)

# Heartbeat intervals without a message after which a leaving replica has left.
LEFT_HEARTBEATS = 3


class Replica:
    """One replica of a log group.

    Parameters
    ----------
    settings : ReplicaSettings
        Settings of the replica.
    saved : SavedState
        State read from the data folder.
    session : int
        Identifies this run of the process; differs from that of other runs.
    rng : Random
        Source of randomness for election timeouts.
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
        state.hard_state = saved.hard_state
        state.snapshot = saved.snapshot
        state.commit = state.log.start
        state.applied = state.log.start
        # When a leader was last heard is not saved. A restart counts as hearing one,
        # since a leader may hold a lease that relies on this replica.
        state.leader_heard_at = now
        state.delay_election(now)
        self.state = state

    @property
    def term(self) -> Term:
        """Current term."""
        return self.state.term

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it leads the current term."""
        return self.state.role is Role.LEADER

    @property
    def leader(self) -> InstanceId | None:
        """Instance of the current leader, None when unknown."""
        return self.state.leader.instance if self.state.leader else None

    @property
    def commit(self) -> LogIndex:
        """Index of the last entry known to be committed."""
        return self.state.commit

    @property
    def membership(self) -> Membership:
        """Newest membership in the log, committed or not."""
        return self.state.membership

    def take_effects(self) -> Effects:
        """Return and clear the effects collected since the last call."""
        effects = self.state.effects
        self.state.effects = Effects()
        return effects

    def step(self, message: Message, now: Seconds) -> None:
        """Handle a message from another replica."""
        state = self.state
        match message.body:
            case JoinRequest() as body:
                handle_join_request(state, message, body, now)
                return
            case JoinReply() as body:
                handle_join_reply(state, message, body, now)
                return
        if state.genesis is None or message.genesis != state.genesis.id:
            return
        if message.target != state.replica:
            return
        if self._check_term(message, now):
            self._dispatch(message, now)

    def tick(self, now: Seconds) -> None:
        """Act on the passage of time; call several times per heartbeat interval."""
        state = self.state
        if should_request_join(state, now):
            request_join(state, now)
        if state.role is Role.LEADER:
            self._tick_leader(now)
            return
        is_only_voter = state.membership.electorates == ((state.replica,),)
        if state.is_voter and (is_only_voter or now >= state.election_at):
            start_pre_vote(state, now)

    def propose(self, commands: list[bytes], now: Seconds) -> LogIndex:
        """Append commands to the log.

        Returns
        -------
        LogIndex
            Index of the first command. The commands are committed once
            `Effects.outputs` contains entries with these indexes and the current
            term.

        Raises
        ------
        NotLeaderError
            When the replica does not lead or is transferring leadership;
            nothing is appended.
        """
        self._check_leader()
        first = append_commands(self.state, commands)
        broadcast(self.state, now)
        return first

    def change_members(self, change: MembershipChange, now: Seconds) -> None:
        """Append a membership change of one member.

        Raises
        ------
        NotLeaderError
            When the replica does not lead or is transferring leadership, another
            change is pending, or no entry of its term is committed yet.
        ValueError
            When the change is not possible with the current members.
        """
        if not can_change_membership(self.state):
            raise NotLeaderError("no change of members now", self.leader)
        append_membership(self.state, change)
        broadcast(self.state, now)

    def mark_synced(self, now: Seconds) -> None:
        """Mark all records taken so far as synced to disk, and commit if possible."""
        leadership = self.state.leadership
        if leadership is None:
            return
        leadership.synced_index = self.state.log.last_index
        advance_commit(self.state, now)

    def mark_applied(self, index: LogIndex, level: int = 0) -> None:
        """Record what the driver has applied.

        Parameters
        ----------
        index : LogIndex
            Index of the last applied entry or snapshot.
        level : int
            Feature level of the group in the state after it.
        """
        self.state.applied = index
        self.state.level = level

    def reserve_level(self, level: int) -> None:
        """Refuse replicas below a level, which is about to be proposed, if leading."""
        if self.state.leadership is not None:
            self.state.leadership.proposed_level = level

    def send_heartbeats(self, now: Seconds) -> None:
        """Send a heartbeat to each member at once if this replica leads."""
        if self.is_leader:
            broadcast(self.state, now)

    def transfer_leadership(self, now: Seconds) -> bool:
        """Give up the lease and transfer leadership; False if no voter can take it."""
        if not self.is_leader:
            return False
        return transfer_leadership(self.state, now)

    def leave(self, now: Seconds) -> bool:
        """Tell the leader from now on that this process stops.

        Returns
        -------
        bool
            Whether the leader may give its vote to another replica.
        """
        if not may_leave(self.state):
            return False
        self.state.leaving_since = now
        return True

    def has_left(self, now: Seconds) -> bool:
        """Whether no leader sends anything any more, after this replica said it leaves.

        It was removed then, or there is no leader that could do so.
        """
        state = self.state
        if state.leaving_since is None:
            return False
        heard_at = max(state.leaving_since, state.leader_heard_at)
        limit = LEFT_HEARTBEATS * state.settings.heartbeat_seconds
        return now >= heard_at + limit

    def compact(self, index: LogIndex, data: bytes, kept: int) -> Snapshot:
        """Replace the log up to an applied index by a snapshot.

        Parameters
        ----------
        index : LogIndex
            Last entry that the snapshot contains.
        data : bytes
            State of the state machine after that entry.
        kept : int
            Number of earlier entries kept in memory for lagging followers.
        """
        log = self.state.log
        term = log.find_term(index)
        snapshot = Snapshot(index, term, log.find_membership(index), data)
        self.state.snapshot = snapshot
        log.compact(LogIndex(index - kept))
        return snapshot

    def get_entries_after(self, index: LogIndex) -> tuple[Entry, ...]:
        """Return the log entries after an applied index."""
        log = self.state.log
        return log.get_entries(LogIndex(index + 1), log.last_index)

    def holds_lease(self, now: Seconds) -> bool:
        """Whether this replica leads and no other replica can lead at this time."""
        state = self.state
        leadership = state.leadership
        if leadership is None or leadership.transfer_to is not None:
            return False
        lease = state.settings.lease_seconds
        if now < leadership.elected_at + lease or not has_committed_in_term(state):
            return False
        return now < find_quorum_contact(state, now) + lease

    def _check_leader(self) -> None:
        leadership = self.state.leadership
        if leadership is None or leadership.transfer_to is not None:
            raise NotLeaderError("the replica does not lead", self.leader)

    def _check_term(self, message: Message, now: Seconds) -> bool:
        state = self.state
        body = message.body
        if message.term > state.term:
            if isinstance(body, PreVoteRequest):
                return True
            if isinstance(body, VoteRequest) and refuses_election(state, body, now):
                return False
            state.become_follower(message.term, now)
            return True
        if message.term == state.term:
            return True
        match body:
            case AppendRequest() | SnapshotPart():
                reject_stale_leader(state, message, body, now)
            case PreVoteRequest() | PreVoteReply(granted=True):
                return True
        return False

    def _dispatch(self, message: Message, now: Seconds) -> None:
        state = self.state
        match message.body:
            case AppendRequest() as body:
                handle_append(state, message, body, now)
            case AppendReply() as body:
                handle_append_reply(state, message, body, now)
            case SnapshotPart() as body:
                handle_snapshot_part(state, message, body, now)
            case SnapshotReply() as body:
                handle_snapshot_reply(state, message, body, now)
            case PreVoteRequest() as body:
                answer_pre_vote(state, message, body, now)
            case PreVoteReply() as body:
                count_pre_vote(state, message, body, now)
            case VoteRequest() as body:
                answer_vote(state, message, body, now)
            case VoteReply() as body:
                count_vote(state, message, body, now)
            case StartElection() if state.is_voter:
                start_election(state, now, transfer=True)

    def _tick_leader(self, now: Seconds) -> None:
        state = self.state
        leadership = state.leadership
        confirmed = max(find_quorum_contact(state, now), leadership.elected_at)
        lost_quorum = now > confirmed + state.settings.election_seconds
        transfer_timed_out = (
            leadership.transfer_to is not None and now > leadership.transfer_until
        )
        if lost_quorum or transfer_timed_out:
            state.become_follower(state.term, now)
            return
        advance_commit(state, now)
        if leadership.transfer_to is not None:
            complete_transfer(state, now)
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
