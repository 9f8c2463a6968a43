"""How a group is formed once, and how replicas join it later.

A fresh group is formed only by the first initial voter, and only when every
other one has answered this voter's present identity that it belongs to no
group. So replicas whose folders were lost cannot form a second group while
one of the old replicas is left. Where the settings say that the group exists
already, no group is formed at all.

With open membership any instance may join as a learner. A learner becomes a
voter where the group has room for one, or in the place of a voter that has
been silent for long.
"""

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import InstanceId, ReplicaId, Term
from bergamotwood_core.logmessages import Hello, Message, Welcome
from bergamotwood_core.membership import (
    AddLearner,
    Genesis,
    Member,
    Membership,
    Promote,
    Remove,
)
from bergamotwood_core.replicastate import ReplicaState, Role
from bergamotwood_core.replication import (
    append_membership,
    broadcast,
    can_change_membership,
)

HELLO_HEARTBEATS = 5
# Entries that a learner may lack when it becomes a voter.
PROMOTION_LAG_ENTRIES = 200
# Members of an open group; more would only cost bandwidth.
MAX_OPEN_MEMBERS = 9
# Voters of an open group: a majority of five outlives the loss of two disks.
MAX_OPEN_VOTERS = 5
# Silence of the leader, in election time-outs, after which a replica asks to
# join again: it may have been removed while it was away.
CUT_OFF_ELECTIONS = 3


def is_member(state: ReplicaState) -> bool:
    """Whether the replica is in the newest membership that it knows."""
    return state.membership.find(state.replica) is not None


def is_cut_off(state: ReplicaState, now: Seconds) -> bool:
    """Whether the replica has to ask the others for the group."""
    if state.genesis is None or not is_member(state):
        return True
    if not state.settings.open_membership or state.role is Role.LEADER:
        return False
    limit = CUT_OFF_ELECTIONS * state.settings.election_seconds
    return now > state.heard_at + limit


def send_hellos(state: ReplicaState, now: Seconds) -> None:
    """Ask the group's instances to join, from time to time."""
    if now < state.hello_at:
        return
    wait = HELLO_HEARTBEATS * state.settings.heartbeat_seconds
    state.hello_at = Seconds(now + wait)
    _form_group(state, now)
    for instance in _find_others(state):
        answers = state.heard_identity.get(instance, ReplicaId(""))
        leader, term = state.heard_leader
        hello = Hello(
            state.settings.initial_voters,
            state.genesis is not None,
            answers,
            term if leader == answers else Term(0),
        )
        state.send(instance, ReplicaId(""), hello)


def answer_hello(
    state: ReplicaState, message: Message, body: Hello, now: Seconds
) -> None:
    """Answer a replica that is not a member."""
    if state.genesis is None:
        state.heard_identity[message.instance] = message.sender
        _note_greeting(state, message, body, now)
        return
    if message.genesis not in ("", state.genesis.id):
        return
    leads = state.role is Role.LEADER
    contacts = tuple(member.instance for member in state.membership.members)
    welcome = Welcome(state.genesis, leads, contacts)
    state.send(message.instance, message.sender, welcome)
    current = body.answers == state.replica and body.answers_term == state.term
    if leads and current and _may_join(state, message.instance):
        state.leadership.newcomers[message.instance] = message.sender


def take_welcome(
    state: ReplicaState, message: Message, body: Welcome, now: Seconds
) -> None:
    """Join the group that a member belongs to."""
    if message.target != state.replica:
        return
    if state.genesis is None:
        state.bind(body.genesis)
        state.delay_election(now)
    if state.genesis.id != body.genesis.id:
        return
    state.contacts.update(body.contacts)
    state.heard_identity[message.instance] = message.sender
    leader = (message.sender, message.term)
    if body.leads and state.heard_leader != leader:
        state.heard_leader = leader
        if state.settings.open_membership:
            # Only a greeting that answers this leader counts: send it at once.
            state.hello_at = now


def repair_membership(state: ReplicaState, now: Seconds) -> None:
    """Swap in one replica that came back with an empty folder, step by step."""
    if not can_change_membership(state):
        return
    change = _choose_promotion(state, now) or _choose_repair(state, now)
    if change is not None:
        append_membership(state, change)
        broadcast(state, now)


def _note_greeting(
    state: ReplicaState, message: Message, body: Hello, now: Seconds
) -> None:
    agreed = body.voters == state.settings.initial_voters
    if body.bound or not agreed or body.answers != state.replica:
        return
    state.greetings[message.instance] = message.sender
    _form_group(state, now)


def _form_group(state: ReplicaState, now: Seconds) -> None:
    voters = state.settings.initial_voters
    if state.genesis is not None or not state.settings.forms_group:
        return
    if voters[0] != state.settings.instance:
        return
    identities = {**state.greetings, state.settings.instance: state.replica}
    if any(instance not in identities for instance in voters):
        return
    members = tuple(
        Member(instance, identities[instance], voting=True) for instance in voters
    )
    genesis = Genesis(state.replica, Membership(members))
    state.bind(genesis)
    state.delay_election(now)
    for member in members[1:]:
        welcome = Welcome(genesis, leads=False)
        state.send(member.instance, member.replica, welcome)


def _find_others(state: ReplicaState) -> list[InstanceId]:
    known = {member.instance for member in state.membership.members}
    known.update(state.settings.initial_voters)
    known.update(state.contacts)
    known.discard(state.settings.instance)
    return sorted(known)


def _may_join(state: ReplicaState, instance: InstanceId) -> bool:
    if state.settings.open_membership:
        return True
    return instance in state.settings.initial_voters


def _choose_promotion(state: ReplicaState, now: Seconds) -> Promote | Remove | None:
    ready = [
        member
        for member in state.membership.members
        if not member.voting and _is_ready_to_vote(state, member, now)
    ]
    if not ready:
        return None
    if not state.settings.open_membership or _has_room_for_voter(state, now):
        return Promote(ready[0].replica)
    return _find_replaceable_voter(state, now)


def _is_ready_to_vote(state: ReplicaState, member: Member, now: Seconds) -> bool:
    progress = state.leadership.progress.get(member.replica)
    if progress is None or _is_silent(state, member, now):
        return False
    near = progress.match + PROMOTION_LAG_ENTRIES >= state.commit
    return near and not progress.probing and progress.snapshot is None


def _has_room_for_voter(state: ReplicaState, now: Seconds) -> bool:
    """Whether the live members allow a larger odd number of voters."""
    live = [
        member
        for member in state.membership.members
        if member.replica == state.replica or not _is_silent(state, member, now)
    ]
    odd = len(live) - 1 + len(live) % 2
    return len(state.membership.voters) < min(odd, MAX_OPEN_VOTERS)


def _find_replaceable_voter(state: ReplicaState, now: Seconds) -> Remove | None:
    for member in state.membership.members:
        if member.voting and member.replica != state.replica:
            silence = _measure_silence(state, member, now)
            if silence > state.settings.replacement_seconds:
                return Remove(member.replica)
    return None


def _choose_repair(state: ReplicaState, now: Seconds) -> AddLearner | Remove | None:
    newcomers = state.leadership.newcomers
    for instance, replica in list(newcomers.items()):
        occupant = state.membership.find_instance(instance)
        if occupant is None:
            if len(state.membership.members) < MAX_OPEN_MEMBERS:
                return AddLearner(instance, replica)
            return _find_silent_learner(state, now)
        if occupant.replica == replica:
            del newcomers[instance]
        elif occupant.replica != state.replica and _is_lost(state, occupant, now):
            return Remove(occupant.replica)
    return None


def _find_silent_learner(state: ReplicaState, now: Seconds) -> Remove | None:
    for member in state.membership.members:
        if not member.voting and _is_silent(state, member, now):
            return Remove(member.replica)
    return None


def _is_lost(state: ReplicaState, member: Member, now: Seconds) -> bool:
    """Whether a member whose instance has another identity now is gone.

    With open membership an instance is an address, which has one process.
    """
    return state.settings.open_membership or _is_silent(state, member, now)


def _is_silent(state: ReplicaState, member: Member, now: Seconds) -> bool:
    return _measure_silence(state, member, now) > state.settings.election_seconds


def _measure_silence(state: ReplicaState, member: Member, now: Seconds) -> float:
    leadership = state.leadership
    progress = leadership.progress.get(member.replica)
    heard = progress.acked_at if progress else leadership.elected_at
    return now - max(heard, leadership.elected_at)
