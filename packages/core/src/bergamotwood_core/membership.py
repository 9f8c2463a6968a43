"""Members of a log group, and changes of one member at a time."""

from collections.abc import Iterable

from msgspec import Struct

from bergamotwood_core.ids import InstanceId, ReplicaId

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
    """

    instance: InstanceId
    replica: ReplicaId
    voting: bool


class AddLearner(Struct, frozen=True):
    """Add a replica as a learner, which does not vote."""

    instance: InstanceId
    replica: ReplicaId


class Promote(Struct, frozen=True):
    """Make a learner a voter."""

    replica: ReplicaId


class Remove(Struct, frozen=True):
    """Remove a replica from the group."""

    replica: ReplicaId


MembershipChange = AddLearner | Promote | Remove


class Membership(Struct, frozen=True, array_like=True):
    """All members of a group at one log index."""

    members: tuple[Member, ...]

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """Identities that count toward majorities."""
        return tuple(member.replica for member in self.members if member.voting)

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

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
        return replica in self.voters

    def has_quorum(self, replicas: Iterable[ReplicaId]) -> bool:
        """Whether these identities include a majority of the voters."""
        return len(set(replicas).intersection(self.voters)) >= self.quorum


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
            voter = Member(member.instance, replica, voting=True)
            return Membership((*_without(membership, replica), voter))
        case Remove(replica):
            if membership.find(replica) is None:
                raise ValueError(f"{replica} is not a member")
            return Membership(_without(membership, replica))


def find_majority_value(values: list[float]) -> float:
    """Return the largest value that a majority of the values reach."""
    return sorted(values, reverse=True)[len(values) // 2]


def _without(membership: Membership, replica: ReplicaId) -> tuple[Member, ...]:
    return tuple(m for m in membership.members if m.replica != replica)
