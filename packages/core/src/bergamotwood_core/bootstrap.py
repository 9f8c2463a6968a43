"""Formation of a log group, and joining of replicas to it.

Only the first initial voter forms a new group, and only after every other one
has told this voter's current identity that it belongs to no group. So replicas
that lost their data folders cannot form a second group while one of the old
replicas is left. If the settings say that the group exists already, no group
is formed at all.

With open membership any instance may join as a learner, and states its data centre.
`voters` chooses which members vote. A voter whose process stops in order says so
before its end, and the leader gives its vote to a learner at once.
"""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import DataCentre, InstanceId, ReplicaId, Term
from bergamotwood_core.logmessages import JoinReply, JoinRequest, Message
from bergamotwood_core.membership import (
    AddLearner,
    CompleteExchange,
    Demote,
    Exchange,
    Genesis,
    Locate,
    Member,
    Membership,
    MembershipChange,
    Promote,
    Remove,
)
from bergamotwood_core.replicastate import ReplicaState, Role
from bergamotwood_core.replication import (
    append_membership,
    broadcast,
    can_change_membership,
    transfer_leadership,
)
from bergamotwood_core.voters import (
    Standing,
    VoterChoice,
    can_spare_voter,
    choose_voter_change,
    keeps_member,
)

# Heartbeat intervals between two join requests.
JOIN_RETRY_HEARTBEATS = 5
# Committed entries that a learner may lack when it becomes a voter.
PROMOTION_LAG_ENTRIES = 200
# Silence, in election timeouts, up to which a member may get a vote. It is shorter than
# the silence after which another one loses it, so that what stops both is noticed.
READY_ELECTION_TIMEOUTS = 0.5
# Silence after which a learner is no member any more. One that returns before is not
# taken for a successor of the voter that replaced it.
LEARNER_MEMORY_SECONDS = 30.0
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
    """Append the next change of the members, if any.

    Leadership is transferred first where the leader itself loses its vote.
    """
    if not can_change_membership(state):
        return
    change = _choose_completion(state, now) or (
        _choose_location(state)
        or _choose_voter_change(state, now)
        or _choose_repair(state, now)
        or _choose_forgotten(state, now)
    )
    match change:
        case None:
            return
        case (
            Demote(state.replica)
            | Remove(state.replica)
            | Exchange(voter=state.replica)
        ):
            transfer_leadership(state, now)
        case _:
            append_membership(state, change)
            broadcast(state, now)


def may_leave(state: ReplicaState) -> bool:
    """Whether the group could do without the vote of this replica, as far as known."""
    if not state.settings.open_membership or not state.is_voter:
        return False
    members = state.membership.members
    if any(not member.voting for member in members):
        return True
    own = state.membership.find(state.replica)
    return can_spare_voter(state.membership, own, state.settings.tolerance)


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


def _choose_completion(state: ReplicaState, now: Seconds) -> CompleteExchange | None:
    for member in state.membership.members:
        if member.next_voting is False:
            return CompleteExchange(keeps_member(_judge(state, member, now)))
    return None


def _choose_location(state: ReplicaState) -> Locate | None:
    """Choose a member that stated a data centre which is not recorded yet."""
    for member in state.membership.members:
        stated = state.settings.data_centre
        if member.replica != state.replica:
            progress = state.leadership.progress.get(member.replica)
            stated = progress.data_centre if progress else DataCentre("")
        if stated not in ("", member.data_centre):
            return Locate(member.replica, stated)
    return None


def _choose_voter_change(state: ReplicaState, now: Seconds) -> MembershipChange | None:
    choice = _build_voter_choice(state, now)
    if state.settings.open_membership:
        return choose_voter_change(choice)
    for member in state.membership.members:
        if not member.voting and choice.is_ready(member):
            return Promote(member.replica)
    return None


def _build_voter_choice(state: ReplicaState, now: Seconds) -> VoterChoice:
    members = state.membership.members
    standings = {member.replica: _judge(state, member, now) for member in members}
    return VoterChoice(
        state.membership,
        standings,
        state.settings.tolerance,
        state.level >= state.settings.exchange_level,
    )


def _judge(state: ReplicaState, member: Member, now: Seconds) -> Standing:
    if member.replica == state.replica:
        return Standing.READY
    progress = state.leadership.progress.get(member.replica)
    if progress is None:
        return Standing.BEHIND
    silence = _measure_silence(state, member, now)
    if silence > state.settings.replacement_seconds:
        return Standing.GONE
    if silence > state.settings.election_seconds:
        return Standing.SILENT
    if progress.leaving:
        return Standing.LEAVING
    is_fresh = silence <= READY_ELECTION_TIMEOUTS * state.settings.election_seconds
    caught_up = progress.match + PROMOTION_LAG_ENTRIES >= state.commit
    has_log = caught_up and not progress.probing and progress.snapshot is None
    return Standing.READY if is_fresh and has_log else Standing.BEHIND


def _choose_forgotten(state: ReplicaState, now: Seconds) -> Remove | None:
    """Choose a learner that is gone; as a member it holds back the feature level."""
    if not state.settings.open_membership:
        return None
    for member in state.membership.members:
        silence = _measure_silence(state, member, now)
        if not member.voting and silence > LEARNER_MEMORY_SECONDS:
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
    if progress is None:
        return now - leadership.elected_at
    return now - max(progress.acked_at, progress.added_at, leadership.elected_at)
