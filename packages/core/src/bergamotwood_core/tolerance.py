"""Losses that a log group survives, and whether its voters suffice for them."""

from collections import Counter
from collections.abc import Callable, Iterable

from msgspec import Struct

from bergamotwood_core.ids import DataCentre
from bergamotwood_core.membership import MAX_OPEN_VOTERS, Member


class Shortfall(Struct, frozen=True, order=True):
    """Voters that are missing for a majority after the worst loss of each kind.

    Fewer lost replicas count first, as each of the other losses includes them.
    """

    replicas: int
    data_centres: int
    regions: int


NO_SHORTFALL = Shortfall(0, 0, 0)


class Tolerance(Struct, frozen=True):
    """What may be lost at the same time: replicas, or data centres, or regions.

    Parameters
    ----------
    replicas, data_centres, regions : int
        How many of each.
    region_of : dict
        Region of each data centre.
    """

    replicas: int = MAX_OPEN_VOTERS // 2
    data_centres: int = 0
    regions: int = 0
    region_of: dict[DataCentre, str] = {}

    def measure_shortfall(
        self, voters: Iterable[Member], members: Iterable[Member]
    ) -> Shortfall:
        """Measure how far a set of voters is from surviving the tolerated losses.

        Parameters
        ----------
        voters : iterable of Member
            The voters.
        members : iterable of Member
            All members, from which the voters can be chosen.
        """
        voters, members = tuple(voters), tuple(members)
        needed = len(voters) // 2 + 1
        return Shortfall(
            max(0, needed + self.replicas - len(voters)),
            _measure_places(voters, members, self.data_centres, _find_data_centre),
            _measure_places(voters, members, self.regions, self._find_region),
        )

    def _find_region(self, member: Member) -> str:
        return self.region_of.get(member.data_centre, "")


def _find_data_centre(member: Member) -> str:
    return member.data_centre


def _measure_places(
    voters: tuple[Member, ...],
    members: tuple[Member, ...],
    lost: int,
    find_place: Callable[[Member], str],
) -> int:
    """Return how many voters are missing once some whole places are lost.

    A member whose place is unknown may be in any that is lost. With fewer than
    `2 * lost + 1` places no choice of voters survives, so none is missed.
    """
    places = {find_place(member) for member in members}
    if not lost or ("" not in places and len(places) <= 2 * lost):
        return 0
    counts = Counter(find_place(voter) for voter in voters)
    unknown = counts.pop("", 0)
    largest = sum(count for _, count in counts.most_common(lost))
    return max(0, len(voters) // 2 + 1 + unknown + largest - len(voters))
