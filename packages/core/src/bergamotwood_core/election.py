"""Elections: pre-votes, votes, and their refusal while a leader is heard."""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import LogIndex, Term
from bergamotwood_core.logentries import HardState
from bergamotwood_core.logmessages import (
    Body,
    Message,
    PreVoteReply,
    PreVoteRequest,
    VoteReply,
    VoteRequest,
)
from bergamotwood_core.replicastate import ReplicaState, Role
from bergamotwood_core.replication import become_leader


def start_pre_vote(state: ReplicaState, now: Seconds) -> None:
    """Ask the voters whether an election could be won, without a new term."""
    state.role = Role.PRE_CANDIDATE
    state.leader = None
    state.votes = {state.replica}
    state.delay_election(now)
    if state.membership.has_quorum(state.votes):
        start_election(state, now, transfer=False)
        return
    proposed = Term(state.term + 1)
    _ask_voters(
        state, PreVoteRequest(proposed, state.log.last_index, state.log.last_term)
    )


def start_election(state: ReplicaState, now: Seconds, transfer: bool) -> None:
    """Start an election in a new term as its candidate."""
    state.save_hard_state(HardState(Term(state.term + 1), state.replica))
    state.role = Role.CANDIDATE
    state.leader = None
    state.votes = {state.replica}
    state.delay_election(now)
    if state.membership.has_quorum(state.votes):
        become_leader(state, now)
        return
    _ask_voters(state, VoteRequest(state.log.last_index, state.log.last_term, transfer))


def answer_pre_vote(
    state: ReplicaState, message: Message, body: PreVoteRequest, now: Seconds
) -> None:
    """Answer whether this replica would grant its vote."""
    granted = (
        body.proposed_term > state.term
        and not _has_live_leader(state, now)
        and _is_up_to_date(state, body.last_index, body.last_term)
    )
    reply = PreVoteReply(body.proposed_term, granted)
    state.send(message.instance, message.sender, reply)


def answer_vote(
    state: ReplicaState, message: Message, body: VoteRequest, now: Seconds
) -> None:
    """Grant the vote of the term to at most one candidate."""
    granted = (
        state.role is Role.FOLLOWER
        and state.leader is None
        and state.hard_state.vote in ("", message.sender)
        and _is_up_to_date(state, body.last_index, body.last_term)
    )
    if granted:
        state.save_hard_state(HardState(state.term, message.sender))
        state.delay_election(now)
    state.send(message.instance, message.sender, VoteReply(granted))


def refuses_election(state: ReplicaState, body: VoteRequest, now: Seconds) -> bool:
    """Whether to ignore a vote request of a later term, since a leader is heard.

    A request after a leadership transfer is not ignored: the leader asked for it.
    """
    return not body.transfer and _has_live_leader(state, now)


def count_pre_vote(
    state: ReplicaState, message: Message, body: PreVoteReply, now: Seconds
) -> None:
    """Count a granted pre-vote; a majority starts the election."""
    proposed = Term(state.term + 1)
    if state.role is not Role.PRE_CANDIDATE or body.proposed_term != proposed:
        return
    if not body.granted:
        return
    state.votes.add(message.sender)
    if state.membership.has_quorum(state.votes):
        start_election(state, now, transfer=False)


def count_vote(
    state: ReplicaState, message: Message, body: VoteReply, now: Seconds
) -> None:
    """Count a granted vote; a majority of the voters makes this replica leader."""
    if state.role is not Role.CANDIDATE or not body.granted:
        return
    state.votes.add(message.sender)
    if state.membership.has_quorum(state.votes):
        become_leader(state, now)


def _has_live_leader(state: ReplicaState, now: Seconds) -> bool:
    return state.role is Role.LEADER or state.has_recent_leader(now)


def _is_up_to_date(state: ReplicaState, index: LogIndex, term: Term) -> bool:
    return (term, index) >= (state.log.last_term, state.log.last_index)


def _ask_voters(state: ReplicaState, body: Body) -> None:
    for member in state.membership.members:
        is_voter = state.membership.is_voter(member.replica)
        if is_voter and member.replica != state.replica:
            state.send(member.instance, member.replica, body)
