"""Formation of a log group, and joining of replicas to it.

Only the first initial voter forms a new group, and only after every other one
has told this voter's current identity that it belongs to no group. So replicas
that lost their data folders cannot form a second group while one of the old
replicas is left. If the settings say that the group exists already, no group
is formed at all.

With open membership any instance may join as a learner. A learner becomes a
voter when the group may have more voters, or replaces a voter that has been
silent for `replacement_seconds`. A voter that has been silent for that long is
also removed while the group has more than `kept_voters`, or four: those that
are gone for good would otherwise count toward the majority until the next join.

A voter whose process stops in order says so before its end, and the leader
gives its vote to a learner at once.
"""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId, ReplicaId, Term
from bergamotwood_core.logmessages import JoinReply, JoinRequest, Message
from bergamotwood_core.membership import (
    MAX_OPEN_VOTERS,
    AddLearner,
    Genesis,
    Member,
    Membership,
    Promote,
    Remove,
    change_members,
)
from bergamotwood_core.replicastate import ReplicaState, Role
from bergamotwood_core.replication import (
    append_membership,
    broadcast,
    can_change_membership,
)

# Heartbeat intervals between two join requests.
JOIN_RETRY_HEARTBEATS = 5
# Committed entries that a learner may lack when it becomes a voter.
PROMOTION_LAG_ENTRIES = 200
# Members of an open group; more would cost bandwidth without a benefit.
MAX_OPEN_MEMBERS = 9
# Silence of the leader, in election timeouts, after which a replica asks to
# join again, since it may have been removed while it was disconnected.
REJOIN_ELECTION_TIMEOUTS = 3


def is_member(state: ReplicaState) -> bool:
    """Whether the replica is in the newest membership of its log."""
    return state.membership.find(state.replica) is not None


def should_request_join(state: ReplicaState, now: Seconds) -> bool:
    """Whether the replica has to ask the other instances to join the group."""
    if state.genesis is None or not is_member(state):
        return True
    if not state.settings.open_membership or state.role is Role.LEADER:
        return False
    limit = REJOIN_ELECTION_TIMEOUTS * state.settings.election_seconds
    return now > state.leader_heard_at + limit


def request_join(state: ReplicaState, now: Seconds) -> None:
    """Ask the known instances to join the group, once per retry interval."""
    if now < state.join_retry_at:
        return
    wait = JOIN_RETRY_HEARTBEATS * state.settings.heartbeat_seconds
    state.join_retry_at = Seconds(now + wait)
    _form_group(state, now)
    for instance in _list_other_instances(state):
        receiver = state.known_identities.get(instance, ReplicaId(""))
        leader, term = state.known_leader
        request = JoinRequest(
            state.settings.initial_voters,
            state.genesis is not None,
            receiver,
            term if leader == receiver else Term(0),
            state.settings.level,
        )
        state.send(instance, ReplicaId(""), request)


def handle_join_request(
    state: ReplicaState, message: Message, body: JoinRequest, now: Seconds
) -> None:
    """Answer a join request, and keep it if it names this replica as the leader."""
    if state.genesis is None:
        state.known_identities[message.instance] = message.sender
        _record_waiting_identity(state, message, body, now)
        return
    if message.genesis not in ("", state.genesis.id):
        return
    is_leader = state.role is Role.LEADER
    instances = tuple(member.instance for member in state.membership.members)
    reply = JoinReply(state.genesis, is_leader, instances)
    state.send(message.instance, message.sender, reply)
    names_this_leader = (
        body.receiver == state.replica and body.receiver_term == state.term
    )
    if is_leader and names_this_leader and _may_join(state, message.instance):
        state.leadership.join_requests[message.instance] = message.sender
        state.leadership.join_levels[message.instance] = body.level


def handle_join_reply(
    state: ReplicaState, message: Message, body: JoinReply, now: Seconds
) -> None:
    """Join the group of the member that answered a join request."""
    if message.target != state.replica:
        return
    if state.genesis is None:
        state.join_group(body.genesis)
        state.delay_election(now)
    if state.genesis.id != body.genesis.id:
        return
    state.known_instances.update(body.member_instances)
    state.known_identities[message.instance] = message.sender
    leader = (message.sender, message.term)
    if body.is_leader and state.known_leader != leader:
        state.known_leader = leader
        if state.settings.open_membership:
            # The leader only accepts a request that names its identity and term,
            # so one is sent at once.
            state.join_retry_at = now


def repair_membership(state: ReplicaState, now: Seconds) -> None:
    """Append the next change that adds, promotes or removes a member, if any."""
    if not can_change_membership(state):
        return
    change = (
        _choose_promotion(state, now)
        or _choose_departure(state, now)
        or _choose_repair(state, now)
        or _choose_surplus(state, now)
    )
    if change is not None:
        append_membership(state, change)
        broadcast(state, now)


def may_leave(state: ReplicaState) -> bool:
    """Whether the group could do without the vote of this replica, as far as known."""
    if not state.settings.open_membership or not state.is_voter:
        return False
    members = state.membership.members
    has_learner = any(not member.voting for member in members)
    return has_learner or _can_spare_voter(state)


def _record_waiting_identity(
    state: ReplicaState, message: Message, body: JoinRequest, now: Seconds
) -> None:
    has_same_voters = body.voters == state.settings.initial_voters
    if body.in_group or not has_same_voters or body.receiver != state.replica:
        return
    state.waiting_identities[message.instance] = message.sender
    _form_group(state, now)


def _form_group(state: ReplicaState, now: Seconds) -> None:
    voters = state.settings.initial_voters
    if state.genesis is not None or not state.settings.forms_group:
        return
    if voters[0] != state.settings.instance:
        return
    identities = {**state.waiting_identities, state.settings.instance: state.replica}
    if any(instance not in identities for instance in voters):
        return
    members = tuple(
        Member(instance, identities[instance], voting=True) for instance in voters
    )
    genesis = Genesis(state.replica, Membership(members))
    state.join_group(genesis)
    state.delay_election(now)
    for member in members[1:]:
        reply = JoinReply(genesis, is_leader=False)
        state.send(member.instance, member.replica, reply)


def _list_other_instances(state: ReplicaState) -> list[InstanceId]:
    known = {member.instance for member in state.membership.members}
    known.update(state.settings.initial_voters)
    known.update(state.known_instances)
    known.discard(state.settings.instance)
    return sorted(known)


def _may_join(state: ReplicaState, instance: InstanceId) -> bool:
    if state.settings.open_membership:
        return True
    return instance in state.settings.initial_voters


def _choose_promotion(state: ReplicaState, now: Seconds) -> Promote | Remove | None:
    learner = _find_ready_learner(state, now)
    if learner is None:
        return None
    if not state.settings.open_membership or _has_room_for_voter(state, now):
        return Promote(learner.replica)
    return _find_silent_voter(state, now)


def _choose_departure(state: ReplicaState, now: Seconds) -> Promote | Remove | None:
    """Choose a change that gives the vote of a leaving voter to a learner.

    The learner is promoted first, so that the group is never smaller than before.
    """
    leaving = _find_leaving_voter(state)
    if not state.settings.open_membership or leaving is None:
        return None
    if _can_spare_voter(state):
        has_majority = _has_majority_without(state, leaving, now)
        return Remove(leaving.replica) if has_majority else None
    learner = _find_ready_learner(state, now)
    return Promote(learner.replica) if learner else None


def _has_majority_without(state: ReplicaState, left: Member, now: Seconds) -> bool:
    """Whether the other voters that are not silent are a majority of all others."""
    others = change_members(state.membership, Remove(left.replica))
    return others.has_quorum(
        member.replica
        for member in others.members
        if member.replica == state.replica or not _is_silent(state, member, now)
    )


def _find_leaving_voter(state: ReplicaState) -> Member | None:
    for member in state.membership.members:
        progress = state.leadership.progress.get(member.replica)
        if member.voting and progress is not None and progress.leaving:
            return member
    return None


def _find_ready_learner(state: ReplicaState, now: Seconds) -> Member | None:
    for member in state.membership.members:
        if not member.voting and _is_ready_to_vote(state, member, now):
            return member
    return None


def _is_ready_to_vote(state: ReplicaState, member: Member, now: Seconds) -> bool:
    progress = state.leadership.progress.get(member.replica)
    if progress is None or progress.leaving or _is_silent(state, member, now):
        return False
    caught_up = progress.match + PROMOTION_LAG_ENTRIES >= state.commit
    return caught_up and not progress.probing and progress.snapshot is None


def _has_room_for_voter(state: ReplicaState, now: Seconds) -> bool:
    """Whether the live members allow a larger odd number of voters."""
    live = [
        member
        for member in state.membership.members
        if member.replica == state.replica or not _is_silent(state, member, now)
    ]
    largest_odd = len(live) - 1 + len(live) % 2
    return len(state.membership.voters) < min(largest_odd, MAX_OPEN_VOTERS)


def _choose_surplus(state: ReplicaState, now: Seconds) -> Remove | None:
    """Choose a silent voter that the group does not need, such as a replaced one.

    The replicas that are left then survive the loss of as many more as before or
    one more. A voter that returns joins again.
    """
    if not state.settings.open_membership or not _can_spare_voter(state):
        return None
    return _find_silent_voter(state, now)


def _can_spare_voter(state: ReplicaState) -> bool:
    """Whether the group survives as many losses as it needs to with a voter less.

    An even number of voters survives no more than one less does. Of two voters both
    are needed, as one alone would acknowledge what only its disk has.
    """
    count = len(state.membership.voters)
    is_even = count > 2 and count % 2 == 0
    return count > state.settings.kept_voters or is_even


def _find_silent_voter(state: ReplicaState, now: Seconds) -> Remove | None:
    for member in state.membership.members:
        if member.voting and member.replica != state.replica:
            silence = _measure_silence(state, member, now)
            if silence > state.settings.replacement_seconds:
                return Remove(member.replica)
    return None


def _choose_repair(state: ReplicaState, now: Seconds) -> AddLearner | Remove | None:
    requests = state.leadership.join_requests
    for instance, replica in list(requests.items()):
        if not _has_level(state, instance):
            continue
        member = state.membership.find_instance(instance)
        if member is None:
            if len(state.membership.members) < MAX_OPEN_MEMBERS:
                return AddLearner(instance, replica)
            return _find_silent_learner(state, now)
        if member.replica == replica:
            del requests[instance]
        elif member.replica != state.replica and _is_lost(state, member, now):
            return Remove(member.replica)
    return None


def _has_level(state: ReplicaState, instance: InstanceId) -> bool:
    """Whether the build of a joining replica supports the level of the group.

    A replica below it would stop at a command of that level, or read a snapshot
    without the fields that it does not know.
    """
    leadership = state.leadership
    level = leadership.join_levels[instance]
    is_older = level < state.settings.level
    if is_older and state.applied < leadership.first_index:
        # The level may have been raised before this leader's term.
        return False
    if level >= max(state.level, leadership.proposed_level):
        state.refused_levels.pop(instance, None)
        return True
    state.refused_levels[instance] = level
    return False


def _find_silent_learner(state: ReplicaState, now: Seconds) -> Remove | None:
    for member in state.membership.members:
        if not member.voting and _is_silent(state, member, now):
            return Remove(member.replica)
    return None


def _is_lost(state: ReplicaState, member: Member, now: Seconds) -> bool:
    """Whether a member whose instance now has another identity counts as lost.

    With open membership an instance is an address, at which only one process
    runs, so the earlier identity cannot come back.
    """
    return state.settings.open_membership or _is_silent(state, member, now)


def _is_silent(state: ReplicaState, member: Member, now: Seconds) -> bool:
    return _measure_silence(state, member, now) > state.settings.election_seconds


def _measure_silence(state: ReplicaState, member: Member, now: Seconds) -> float:
    leadership = state.leadership
    progress = leadership.progress.get(member.replica)
    last_heard_at = progress.acked_at if progress else leadership.elected_at
    return now - max(last_heard_at, leadership.elected_at)
