"""Replication by the leader: sends entries, counts acknowledgements, commits."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import LogIndex, ReplicaId
from bergamotwood_core.logentries import Entry, EntryKind
from bergamotwood_core.logmessages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotPart,
    SnapshotReply,
    StartElection,
)
from bergamotwood_core.membership import (
    Member,
    MembershipChange,
    change_members,
)
from bergamotwood_core.progress import NEVER, Leadership, Progress
from bergamotwood_core.replicastate import ReplicaState, Role


def become_leader(state: ReplicaState, now: Seconds) -> None:
    """Become leader of the term and append a no-op entry."""
    state.role = Role.LEADER
    state.leader = state.membership.find(state.replica)
    first = LogIndex(state.log.last_index + 1)
    state.leadership = Leadership(now, first, synced_index=state.log.last_index)
    state.append_entries((Entry(first, state.term, EntryKind.NOOP),))
    broadcast(state, now)


def append_commands(state: ReplicaState, commands: list[bytes]) -> LogIndex:
    """Append commands and return the index of the first."""
    first = state.log.last_index + 1
    entries = tuple(
        Entry(LogIndex(first + offset), state.term, EntryKind.COMMAND, command)
        for offset, command in enumerate(commands)
    )
    state.append_entries(entries)
    return LogIndex(first)


def append_membership(state: ReplicaState, change: MembershipChange) -> None:
    """Append a change of one member; it takes effect when appended."""
    members = change_members(state.membership, change)
    index = LogIndex(state.log.last_index + 1)
    entry = Entry(index, state.term, EntryKind.MEMBERSHIP, membership=members)
    state.append_entries((entry,))


def can_change_membership(state: ReplicaState) -> bool:
    """Whether this replica may append a membership change.

    It must lead without a transfer in progress, no other change may be pending, and
    an entry of its term must be committed.
    """
    leadership = state.leadership
    if leadership is None or leadership.transfer_to is not None:
        return False
    no_pending_change = state.log.membership_index <= state.commit
    return no_pending_change and has_committed_in_term(state)


def has_committed_in_term(state: ReplicaState) -> bool:
    """Whether an entry of the leader's own term is committed.

    From then on it knows everything that was committed in earlier terms.
    """
    leadership = state.leadership
    return leadership is not None and state.commit >= leadership.first_index


def broadcast(state: ReplicaState, now: Seconds) -> None:
    """Send each other member the entries that it lacks, or a heartbeat."""
    leadership = state.leadership
    leadership.next_heartbeat = Seconds(now + state.settings.heartbeat_seconds)
    _update_progress_members(state, now)
    for member in state.membership.members:
        if member.replica != state.replica:
            send_append(state, member, now)


def send_append(state: ReplicaState, member: Member, now: Seconds) -> None:
    """Send one member the next entries, a probe or a part of a snapshot."""
    progress = state.leadership.progress[member.replica]
    _probe_if_silent(state, progress, now)
    if progress.snapshot is None and progress.next <= state.log.start:
        progress.snapshot = state.snapshot
        progress.offset = 0
    if progress.probing or progress.snapshot is not None:
        if now < progress.resend_at:
            return
        progress.resend_at = Seconds(now + state.settings.heartbeat_seconds / 2)
    if progress.snapshot is not None:
        _send_snapshot_part(state, member, progress, now)
        return
    _send_entries(state, member, progress, now)


def handle_append_reply(
    state: ReplicaState, message: Message, body: AppendReply, now: Seconds
) -> None:
    """Handle an answer to `AppendRequest`."""
    progress = _find_progress(state, message.sender)
    if progress is None:
        return
    _record_reply(progress, body, now)
    progress.leaving = body.leaving
    progress.data_centre = body.data_centre
    if body.accepted:
        _advance_match(progress, body.match)
    elif not _lower_next(progress, body):
        return
    advance_commit(state, now)
    member = state.membership.find(message.sender)
    behind = progress.next <= state.log.last_index
    if member is not None and state.leadership is not None and behind:
        send_append(state, member, now)


def handle_snapshot_reply(
    state: ReplicaState, message: Message, body: SnapshotReply, now: Seconds
) -> None:
    """Handle an answer to `SnapshotPart`, and send the next part."""
    progress = _find_progress(state, message.sender)
    if progress is None:
        return
    _record_reply(progress, body, now)
    advance_commit(state, now)
    snapshot = progress.snapshot
    if snapshot is None or snapshot.index != body.index:
        return
    if progress.offset == body.offset:
        return
    progress.offset = body.offset
    progress.resend_at = NEVER
    send_append(state, state.membership.find(message.sender), now)


def advance_commit(state: ReplicaState, now: Seconds) -> None:
    """Commit what a majority has on disk, and advance `state.confirmed_at`."""
    leadership = state.leadership
    index = _find_majority_match(state)
    # An entry of an earlier term may be overwritten although a majority has it;
    # it is committed only together with an entry of the current term.
    if index > state.commit and state.log.find_term(index) == state.term:
        state.commit_to(index)
        if not state.is_voter:
            state.become_follower(state.term, now)
            return
    if has_committed_in_term(state) and leadership is state.leadership:
        state.confirm(find_quorum_contact(state, now))


def find_quorum_contact(state: ReplicaState, now: Seconds) -> Seconds:
    """Return when the newest messages were sent that a majority acknowledged."""
    progress = state.leadership.progress
    times = {
        member.replica: progress[member.replica].acked_sent_at
        if member.replica in progress
        else NEVER
        for member in state.membership.members
    }
    times[state.replica] = now
    return Seconds(state.membership.find_majority_value(times))


def transfer_leadership(state: ReplicaState, now: Seconds) -> bool:
    """Start a leadership transfer to the most up-to-date voter that stays, if any.

    Returns
    -------
    bool
        Whether any voter answered within the last election timeout.
    """
    leadership = state.leadership
    timeout = state.settings.election_seconds
    ready = [
        (not progress.leaving, progress.match, replica)
        for replica, progress in leadership.progress.items()
        if state.membership.is_voter(replica) and progress.acked_at > now - timeout
    ]
    if not ready:
        return False
    leadership.transfer_to = max(ready)[-1]
    leadership.transfer_until = Seconds(now + timeout)
    complete_transfer(state, now)
    return True


def complete_transfer(state: ReplicaState, now: Seconds) -> None:
    """Tell the chosen voter to start an election once it has the whole log."""
    leadership = state.leadership
    target = leadership.transfer_to
    progress = leadership.progress.get(target)
    if progress is not None and progress.match == state.log.last_index:
        member = state.membership.find(target)
        state.send(member.instance, target, StartElection())


def _send_entries(
    state: ReplicaState, member: Member, progress: Progress, now: Seconds
) -> None:
    previous = LogIndex(progress.next - 1)
    entries = _choose_entries(state, progress)
    body = AppendRequest(
        previous,
        state.log.find_term(previous),
        entries,
        state.commit,
        now,
        progress.follower_time,
        _measure_age(state, now),
    )
    progress.next = LogIndex(progress.next + len(entries))
    state.send_immediately(member, body)


def _send_snapshot_part(
    state: ReplicaState, member: Member, progress: Progress, now: Seconds
) -> None:
    snapshot = progress.snapshot
    end = progress.offset + state.settings.snapshot_part_bytes
    body = SnapshotPart(
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        progress.offset,
        snapshot.data[progress.offset : end],
        len(snapshot.data),
        now,
    )
    state.send_immediately(member, body)


def _choose_entries(state: ReplicaState, progress: Progress) -> tuple[Entry, ...]:
    ahead = progress.next - progress.match - 1
    if progress.probing or ahead >= state.settings.append_entries_ahead:
        return ()
    last = state.log.last_index
    return state.log.get_entries(progress.next, last, state.settings.append_bytes)


def _probe_if_silent(state: ReplicaState, progress: Progress, now: Seconds) -> None:
    silent = now > progress.acked_at + state.settings.election_seconds
    if silent and not progress.probing:
        progress.probing = True
        progress.next = LogIndex(progress.match + 1)


def _measure_age(state: ReplicaState, now: Seconds) -> float | None:
    if state.confirmed_at == NEVER:
        return None
    return now - state.confirmed_at


def _update_progress_members(state: ReplicaState, now: Seconds) -> None:
    progress = state.leadership.progress
    members = {member.replica for member in state.membership.members}
    for replica in set(progress) - members:
        del progress[replica]
    for replica in members - set(progress) - {state.replica}:
        following = LogIndex(state.log.last_index + 1)
        progress[replica] = Progress(following, added_at=now)


def _find_progress(state: ReplicaState, replica: ReplicaId) -> Progress | None:
    if state.leadership is None:
        return None
    return state.leadership.progress.get(replica)


def _record_reply(
    progress: Progress, body: AppendReply | SnapshotReply, now: Seconds
) -> None:
    progress.acked_at = now
    if body.sent > progress.acked_sent_at:
        progress.acked_sent_at = body.sent
        progress.follower_time = body.follower_time


def _advance_match(progress: Progress, match: LogIndex) -> None:
    progress.match = max(progress.match, match)
    progress.next = max(progress.next, LogIndex(progress.match + 1))
    progress.probing = False
    if progress.snapshot is not None and match >= progress.snapshot.index:
        progress.snapshot = None


def _lower_next(progress: Progress, body: AppendReply) -> bool:
    if body.previous <= progress.match or progress.snapshot is not None:
        return False
    if progress.probing and body.previous != progress.next - 1:
        return False
    progress.probing = True
    progress.resend_at = NEVER
    progress.next = LogIndex(
        max(progress.match, min(body.match, body.previous - 1)) + 1
    )
    return True


def _find_majority_match(state: ReplicaState) -> LogIndex:
    progress = state.leadership.progress
    matches = {
        member.replica: progress[member.replica].match
        if member.replica in progress
        else LogIndex(0)
        for member in state.membership.members
    }
    matches[state.replica] = state.leadership.synced_index
    return LogIndex(int(state.membership.find_majority_value(matches)))
