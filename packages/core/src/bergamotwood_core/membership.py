"""Members of a log group, and changes of one member at a time.

An exchange gives the vote of one member to another in two steps (joint consensus).
Between them a majority of the voters before and one of those after are needed, so
that the group never depends on more members than it does before and after.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct
from msgspec.structs import replace

from bergamotwood_core.ids import DataCentre, InstanceId, ReplicaId

# Voters of an open group; five survive the loss of two disks.
MAX_OPEN_VOTERS = 5


class Member(Struct, frozen=True, array_like=True):
    """A replica of the group.

    Parameters
    ----------
    instance : InstanceId
        Instance on which it runs.
    replica : ReplicaId
        Identity, generated together with its data folder.
    voting : bool
        Whether it counts toward majorities; a learner only receives the log.
    data_centre : DataCentre
        Data centre of its instance; empty while it is unknown.
    next_voting : bool or None
        Whether it votes after the pending exchange; None if that does not concern it.
    """

    instance: InstanceId
    replica: ReplicaId
    voting: bool
    data_centre: DataCentre = DataCentre("")
    next_voting: bool | None = None

    @property
    def will_vote(self) -> bool:
        """Whether it votes once the pending exchange, if any, is complete."""
        return self.voting if self.next_voting is None else self.next_voting


class AddLearner(Struct, frozen=True):
    """Add a replica as a learner, which does not vote."""

    instance: InstanceId
    replica: ReplicaId


class Promote(Struct, frozen=True):
    """Make a learner a voter."""

    replica: ReplicaId


class Demote(Struct, frozen=True):
    """Make a voter a learner."""

    replica: ReplicaId


class Exchange(Struct, frozen=True):
    """Begin to give the vote of one member to a learner."""

    learner: ReplicaId
    voter: ReplicaId


class CompleteExchange(Struct, frozen=True):
    """Complete the pending exchange.

    Parameters
    ----------
    keeps_member : bool
        Whether the member that loses its vote stays as a learner.
    """

    keeps_member: bool


class Locate(Struct, frozen=True):
    """Record the data centre of a member."""

    replica: ReplicaId
    data_centre: DataCentre


class Remove(Struct, frozen=True):
    """Remove a replica from the group."""

    replica: ReplicaId


MembershipChange = (
    AddLearner | Promote | Demote | Exchange | CompleteExchange | Locate | Remove
)


class Membership(Struct, frozen=True, array_like=True):
    """All members of a group at one log index, in the order in which they joined."""

    members: tuple[Member, ...]

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """Identities that count toward majorities, before a pending exchange."""
        return tuple(member.replica for member in self.members if member.voting)

    @property
    def electorates(self) -> tuple[tuple[ReplicaId, ...], ...]:
        """Sets of voters; a majority of each is needed."""
        if not self.is_exchanging:
            return (self.voters,)
        following = (member.replica for member in self.members if member.will_vote)
        return self.voters, tuple(following)

    @property
    def is_exchanging(self) -> bool:
        """Whether an exchange is pending."""
        return any(member.next_voting is not None for member in self.members)

    def find(self, replica: ReplicaId) -> Member | None:
        """Return the member with this identity, if there is one."""
        for member in self.members:
            if member.replica == replica:
                return member
        return None

    def find_instance(self, instance: InstanceId) -> Member | None:
        """Return the member that runs on this instance, if there is one."""
        for member in self.members:
            if member.instance == instance:
                return member
        return None

    def is_voter(self, replica: ReplicaId) -> bool:
        """Whether this identity counts toward majorities."""
        return any(replica in electorate for electorate in self.electorates)

    def has_quorum(self, replicas: Iterable[ReplicaId]) -> bool:
        """Whether these identities include a majority of each set of voters."""
        given = set(replicas)
        return all(
            len(given.intersection(electorate)) > len(electorate) // 2
            for electorate in self.electorates
        )

    def find_majority_value(self, values: Mapping[ReplicaId, float]) -> float:
        """Return the largest value that a majority of each set of voters reaches."""
        return min(
            sorted((values[voter] for voter in electorate), reverse=True)[
                len(electorate) // 2
            ]
            for electorate in self.electorates
        )


class Genesis(Struct, frozen=True, array_like=True):
    """First membership of a group, saved once by each replica.

    Parameters
    ----------
    id : str
        Permanent id of the group; messages with another id are dropped.
    membership : Membership
        The identities of the initial voters.
    """

    id: str
    membership: Membership


def change_members(membership: Membership, change: MembershipChange) -> Membership:
    """Return the membership after one change.

    Raises
    ------
    ValueError
        When the change is not possible with these members.
    """
    if membership.is_exchanging and not isinstance(change, CompleteExchange):
        raise ValueError("an exchange of votes is pending")
    match change:
        case AddLearner(instance, replica):
            if membership.find_instance(instance) or membership.find(replica):
                raise ValueError(f"{instance} is a member already")
            added = Member(instance, replica, voting=False)
            return Membership((*membership.members, added))
        case Promote(replica):
            member = membership.find(replica)
            if member is None or member.voting:
                raise ValueError(f"{replica} is not a learner")
            return _change_member(membership, replace(member, voting=True))
        case Demote(replica):
            member = membership.find(replica)
            if member is None or not member.voting:
                raise ValueError(f"{replica} is not a voter")
            return _change_member(membership, replace(member, voting=False))
        case Exchange(learner, voter):
            return _begin_exchange(membership, learner, voter)
        case CompleteExchange(keeps_member):
            return _complete_exchange(membership, keeps_member)
        case Locate(replica, data_centre):
            member = membership.find(replica)
            if member is None:
                raise ValueError(f"{replica} is not a member")
            return _change_member(membership, replace(member, data_centre=data_centre))
        case Remove(replica):
            if membership.find(replica) is None:
                raise ValueError(f"{replica} is not a member")
            return Membership(
                tuple(m for m in membership.members if m.replica != replica)
            )


def _change_member(membership: Membership, changed: Member) -> Membership:
    return Membership(
        tuple(
            changed if member.replica == changed.replica else member
            for member in membership.members
        )
    )


def _begin_exchange(
    membership: Membership, learner: ReplicaId, voter: ReplicaId
) -> Membership:
    incoming, outgoing = membership.find(learner), membership.find(voter)
    if incoming is None or incoming.voting:
        raise ValueError(f"{learner} is not a learner")
    if outgoing is None or not outgoing.voting:
        raise ValueError(f"{voter} is not a voter")
    changed = _change_member(membership, replace(incoming, next_voting=True))
    return _change_member(changed, replace(outgoing, next_voting=False))


def _complete_exchange(membership: Membership, keeps_member: bool) -> Membership:
    if not membership.is_exchanging:
        raise ValueError("no exchange of votes is pending")
    return Membership(
        tuple(
            replace(member, voting=member.will_vote, next_voting=None)
            for member in membership.members
            if keeps_member or member.next_voting is not False
        )
    )
