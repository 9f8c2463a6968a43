"""Choice of the members that vote in an open group.

The group keeps as many voters as outlast the losses that it must survive, and
spreads them over the data centres. A member that joins in the data centre of a
voter is taken for its successor and gets its vote while the predecessor is still
there, since nobody says when that one is taken away. A member that is up to date
also takes the vote of a voter that is silent or leaves.

Members are in the order in which they joined.
"""

from collections import Counter
from collections.abc import Iterable
from enum import IntEnum

from msgspec import Struct

from bergamotwood_core.ids import DataCentre, ReplicaId
from bergamotwood_core.membership import (
    MAX_OPEN_VOTERS,
    Demote,
    Exchange,
    Member,
    Membership,
    Promote,
    Remove,
)
from bergamotwood_core.tolerance import NO_SHORTFALL, Shortfall, Tolerance

VoterChange = Promote | Demote | Exchange | Remove


class Standing(IntEnum):
    """What the leader knows of a member; higher ones lose their vote first."""

    READY = 0
    BEHIND = 1
    LEAVING = 2
    SILENT = 3
    GONE = 4


class VoterChoice(Struct, frozen=True):
    """What the choice of voters depends on.

    Parameters
    ----------
    membership : Membership
        All members.
    standings : dict
        Standing of each member.
    tolerance : Tolerance
        Losses that the group survives.
    can_exchange : bool
        Whether all builds of the group support `Exchange`.
    """

    membership: Membership
    standings: dict[ReplicaId, Standing]
    tolerance: Tolerance
    can_exchange: bool = True

    @property
    def voters(self) -> tuple[Member, ...]:
        """Members that vote."""
        return tuple(member for member in self.membership.members if member.voting)

    def measure_shortfall(self, voters: Iterable[Member]) -> Shortfall:
        """Measure how far these voters are from surviving the tolerated losses."""
        return self.tolerance.measure_shortfall(voters, self.membership.members)

    def is_live(self, member: Member) -> bool:
        """Whether the member was heard within the last election timeout."""
        return self.standings[member.replica] < Standing.SILENT

    def is_ready(self, member: Member) -> bool:
        """Whether the member is live, stays, and has nearly the whole log."""
        return self.standings[member.replica] is Standing.READY


def choose_voter_change(choice: VoterChoice) -> VoterChange | None:
    """Choose the next promotion of a learner, or a voter that loses its vote.

    Answers the loss, the departure and the replacement of members; None while all
    voters are live and none has a successor.
    """
    ready = filter(choice.is_ready, choice.membership.members)
    learners = _sort_learners(choice, ready)
    if learners and has_room_for_voter(choice):
        return Promote(learners[0].replica)
    spared = _choose_spared(choice)
    if spared is not None:
        return _take_vote(choice, spared)
    for learner in learners:
        replaced = _choose_replaced(choice, learner)
        if replaced is not None:
            return _exchange(choice, learner, replaced)
    return None


def keeps_member(standing: Standing) -> bool:
    """Whether a voter that loses its vote stays as a learner, at its place.

    One that joined again would count as the newest of its data centre.
    """
    return standing not in (Standing.LEAVING, Standing.GONE)


def can_spare_voter(
    membership: Membership, spared: Member, tolerance: Tolerance
) -> bool:
    """Whether the group survives the losses that it must survive without a voter.

    An even number of voters survives no more than one less does. Of two voters both
    are needed, as one alone would acknowledge what only its disk has.
    """
    members = membership.members
    voters = tuple(member for member in members if member.voting)
    others = _without(voters, spared)
    if len(others) < 2:
        return False
    shortfall = tolerance.measure_shortfall(others, members)
    if shortfall == NO_SHORTFALL:
        return True
    is_even = len(voters) % 2 == 0
    return is_even and shortfall <= tolerance.measure_shortfall(voters, members)


def has_room_for_voter(choice: VoterChoice) -> bool:
    """Whether the live members allow a larger odd number of voters.

    A learner in the data centre of a voter takes that one's place instead, unless the
    group survives more with both of them.
    """
    voters = choice.voters
    shortfall = choice.measure_shortfall(voters)
    crowded = _count_by_data_centre(voters)
    live = [
        member
        for member in choice.membership.members
        if choice.is_live(member)
        and (
            member.voting
            or shortfall != NO_SHORTFALL
            or not crowded[member.data_centre]
        )
    ]
    largest_odd = len(live) - 1 + len(live) % 2
    count = min(largest_odd, MAX_OPEN_VOTERS)
    if len(voters) >= count:
        return False
    learners = _sort_learners(choice, live)
    grown = (*voters, *learners[: count - len(voters)])
    is_enough = shortfall == NO_SHORTFALL
    return is_enough or choice.measure_shortfall(grown) < shortfall


def _sort_learners(choice: VoterChoice, members: Iterable[Member]) -> list[Member]:
    """Return the learners among members, those of the emptiest data centre first."""
    crowded = _count_by_data_centre(choice.voters)
    learners = [member for member in members if not member.voting]
    return sorted(learners, key=lambda member: crowded[member.data_centre])


def _choose_spared(choice: VoterChoice) -> Member | None:
    """Choose a voter that loses its vote without a successor."""
    voters = choice.voters
    is_even = len(voters) % 2 == 0
    candidates = [
        voter
        for voter in voters
        if _is_lost(choice, voter, is_even)
        and can_spare_voter(choice.membership, voter, choice.tolerance)
        and _has_majority(choice, _without(voters, voter))
    ]
    return _choose_first(choice, candidates) or _choose_surplus(choice)


def _choose_surplus(choice: VoterChoice) -> Member | None:
    """Choose a predecessor that votes beside its successor.

    It is one too many after a promotion without an exchange.
    """
    voters = choice.voters
    predecessor = _find_predecessor(choice, voters)
    if predecessor is None or len(voters) % 2:
        return None
    others = _without(voters, predecessor)
    is_needed = choice.measure_shortfall(others) != NO_SHORTFALL
    return None if is_needed or has_room_for_voter(choice) else predecessor


def _choose_replaced(choice: VoterChoice, learner: Member) -> Member | None:
    """Choose the voter that a learner replaces.

    The group must not survive fewer losses afterwards. A live voter is also replaced
    where it survives more, as in a data centre with too many voters.
    """
    voters = choice.voters
    joined = [m for m in choice.membership.members if m.voting or m is learner]
    predecessor = _find_predecessor(choice, joined)
    before = choice.measure_shortfall(voters)
    candidates = []
    for voter in voters:
        after = choice.measure_shortfall((*_without(voters, voter), learner))
        is_better = after < before and voter.data_centre
        is_lost = _is_lost(choice, voter, has_substitute=True)
        if after <= before and (is_lost or is_better or voter is predecessor):
            candidates.append(voter)
    return _choose_first(choice, candidates, learner)


def _is_lost(choice: VoterChoice, voter: Member, has_substitute: bool) -> bool:
    """Whether a voter leaves, or has been silent for long enough to lose its vote.

    With a substitute, or one voter too many, nothing is lost if it returns soon.
    """
    limit = Standing.SILENT if has_substitute else Standing.GONE
    standing = choice.standings[voter.replica]
    return standing is Standing.LEAVING or standing >= limit


def _choose_first(
    choice: VoterChoice, candidates: list[Member], learner: Member | None = None
) -> Member | None:
    """Return the voter without which the group survives most losses.

    Of several it is the one that is most certain to be lost, then the oldest.
    """
    added = () if learner is None else (learner,)

    def rate(voter: Member) -> tuple[Shortfall, int]:
        others = (*_without(choice.voters, voter), *added)
        return choice.measure_shortfall(others), -choice.standings[voter.replica]

    return min(candidates, key=rate, default=None)


def _find_predecessor(choice: VoterChoice, voters: Iterable[Member]) -> Member | None:
    """Return the oldest voter of the data centre with the most voters.

    Of data centres with as many it is the one with the newest voter. None unless one
    of the newer voters there is ready.
    """
    crowded = _count_by_data_centre(voters)
    newest = {voter.data_centre: at for at, voter in enumerate(voters)}
    shared = [place for place, count in crowded.items() if count > 1]
    if not shared:
        return None
    chosen = max(shared, key=lambda place: (crowded[place], newest[place]))
    oldest, *newer = (voter for voter in voters if voter.data_centre == chosen)
    return oldest if any(choice.is_ready(voter) for voter in newer) else None


def _take_vote(choice: VoterChoice, voter: Member) -> Demote | Remove:
    if keeps_member(choice.standings[voter.replica]):
        return Demote(voter.replica)
    return Remove(voter.replica)


def _exchange(choice: VoterChoice, learner: Member, voter: Member) -> VoterChange:
    """Return the first change of those that give the vote of a voter to a learner.

    Without an exchange a silent voter loses its vote first, as a majority with the
    learner could be lost if that one ends, too. A live one loses its vote afterwards.
    """
    if choice.can_exchange:
        return Exchange(learner.replica, voter.replica)
    if choice.is_live(voter):
        return Promote(learner.replica)
    return _take_vote(choice, voter)


def _has_majority(choice: VoterChoice, voters: tuple[Member, ...]) -> bool:
    live = sum(choice.is_live(voter) for voter in voters)
    return live > len(voters) // 2


def _count_by_data_centre(voters: Iterable[Member]) -> Counter[DataCentre]:
    """Count the voters of each data centre that is known."""
    return Counter(voter.data_centre for voter in voters if voter.data_centre)


def _without(voters: tuple[Member, ...], left: Member) -> tuple[Member, ...]:
    return tuple(voter for voter in voters if voter is not left)
