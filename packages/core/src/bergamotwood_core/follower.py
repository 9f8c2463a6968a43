"""Replication on a follower: takes entries and snapshots from the leader."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import LogCorruptError
from bergamotwood_core.ids import LogIndex
from bergamotwood_core.logentries import Entry, EntryLog, Snapshot
from bergamotwood_core.logmessages import (
    AppendReply,
    AppendRequest,
    Message,
    SnapshotPart,
    SnapshotReply,
)
from bergamotwood_core.membership import Member
from bergamotwood_core.replicastate import IncomingSnapshot, ReplicaState, Role


def handle_append(
    state: ReplicaState, message: Message, body: AppendRequest, now: Seconds
) -> None:
    """Append entries that fit the log, or answer with the index to try next."""
    _follow_leader(state, message, now)
    if not _fits_log(state, body):
        hint = _find_match_hint(state, body.previous_index)
        _send_append_reply(state, message, body, accepted=False, match=hint, now=now)
        return
    _append_missing(state, body.entries)
    match = LogIndex(body.previous_index + len(body.entries))
    state.commit_to(LogIndex(min(body.commit, match)))
    _update_confirmed_at(state, body)
    _send_append_reply(state, message, body, accepted=True, match=match, now=now)


def handle_snapshot_part(
    state: ReplicaState, message: Message, body: SnapshotPart, now: Seconds
) -> None:
    """Collect the parts of a snapshot, and install it once it is complete."""
    _follow_leader(state, message, now)
    if body.index > state.commit:
        received = _add_part(state, body)
        if received < body.size:
            part_reply = SnapshotReply(
                body.index, received, body.sent, state.get_time(now)
            )
            state.send(message.instance, message.sender, part_reply)
            return
        _install(state, body)
    time = state.get_time(now)
    reply = AppendReply(
        True,
        body.index,
        body.index,
        body.sent,
        time,
        state.is_leaving,
        state.settings.data_centre,
    )
    state.send(message.instance, message.sender, reply)


def reject_stale_leader(
    state: ReplicaState,
    message: Message,
    body: AppendRequest | SnapshotPart,
    now: Seconds,
) -> None:
    """Reject a message of an earlier term's leader; the reply has the current term."""
    time = state.get_time(now)
    reply = AppendReply(False, LogIndex(0), LogIndex(0), body.sent, time)
    state.send(message.instance, message.sender, reply)


def _follow_leader(state: ReplicaState, message: Message, now: Seconds) -> None:
    if state.role is not Role.FOLLOWER:
        state.become_follower(state.term, now)
    state.leader = Member(message.instance, message.sender, voting=True)
    state.leader_heard_at = now
    state.delay_election(now)


def _fits_log(state: ReplicaState, body: AppendRequest) -> bool:
    if body.previous_index < state.log.start:
        return True
    return state.log.find_term(body.previous_index) == body.previous_term


def _find_match_hint(state: ReplicaState, previous: LogIndex) -> LogIndex:
    if previous > state.log.last_index:
        return state.log.last_index
    return max(state.log.find_conflict(previous), state.commit)


def _append_missing(state: ReplicaState, entries: tuple[Entry, ...]) -> None:
    log = state.log
    for position, entry in enumerate(entries):
        if entry.index <= log.start or log.find_term(entry.index) == entry.term:
            continue
        if entry.index <= state.commit:
            raise LogCorruptError(f"committed entry {entry.index} contradicted")
        state.append_entries(entries[position:])
        return


def _update_confirmed_at(state: ReplicaState, body: AppendRequest) -> None:
    if body.age is None or body.echo.session != state.session:
        return
    if state.commit >= body.commit:
        # The leader sent this after it received the clock reading `echo`. So the
        # time that it confirms is, on this clock, not before `echo.at - age`.
        state.confirm(Seconds(body.echo.at - body.age))


def _send_append_reply(
    state: ReplicaState,
    message: Message,
    body: AppendRequest,
    accepted: bool,
    match: LogIndex,
    now: Seconds,
) -> None:
    time = state.get_time(now)
    reply = AppendReply(
        accepted,
        body.previous_index,
        match,
        body.sent,
        time,
        state.is_leaving,
        state.settings.data_centre,
    )
    state.send(message.instance, message.sender, reply)


def _add_part(state: ReplicaState, body: SnapshotPart) -> int:
    incoming = state.incoming
    key = (body.index, body.term, body.size)
    if incoming is None or incoming.key != key:
        incoming = IncomingSnapshot(key)
        state.incoming = incoming
    if body.offset == len(incoming.data):
        incoming.data.extend(body.data)
    return len(incoming.data)


def _install(state: ReplicaState, body: SnapshotPart) -> None:
    data = bytes(state.incoming.data)
    state.incoming = None
    if state.log.find_term(body.index) == body.term:
        # Later entries may have been acknowledged, so the log is kept.
        state.commit_to(body.index)
        return
    snapshot = Snapshot(body.index, body.term, body.membership, data)
    state.snapshot = snapshot
    state.log = EntryLog(body.index, body.term, body.membership)
    state.commit = body.index
    state.effects.records.append(snapshot)
    state.effects.outputs.append(snapshot)
