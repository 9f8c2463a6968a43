"""Feature levels of builds that run side by side during an upgrade.

A build states the highest level that it supports. The control group keeps a level in
its log, and writes commands of a newer level only once all processes support it.
"""

from collections.abc import Iterable
from enum import IntEnum

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import Incarnation, InstanceId


class FeatureLevel(IntEnum):
    """Levels of features, each of which includes the ones before.

    A build that states no level supports `BASE`.
    """

    BASE = 0
    EVACUATIONS = 1
    WITHDRAWALS = 2
    EXCHANGES = 3


OWN_LEVEL = FeatureLevel.EXCHANGES
# Time for which the statement of a member counts: three relays at their longest
# interval of 0.5 s.
STATEMENT_SECONDS = 1.5
# Time for which an entry that has stopped reporting may still run and be on its way to
# another replica. A majority of at most nine replicas is up, so it needs at most four
# calls that fail after 0.9 s, with a pause of 0.1 s after each.
ENTRY_MEMORY_SECONDS = 5.0


class StatementTable:
    """Levels that the runs of replicas have recently stated.

    All recent runs of an instance count, as a statement of an earlier run may arrive
    after the instance was started again with an older build.
    """

    def __init__(self) -> None:
        self._statements: dict[tuple[InstanceId, str], tuple[int, Seconds]] = {}

    def record(self, instance: InstanceId, boot: str, level: int, now: Seconds) -> None:
        """Store the level that a run of a replica states."""
        self._statements[instance, boot] = (level, now)

    def clear(self) -> None:
        """Drop all statements."""
        self._statements.clear()

    def find_level(self, instance: InstanceId, now: Seconds) -> int | None:
        """Return the lowest level that an instance has recently stated.

        None if it has stated none recently.
        """
        self._expire(now)
        return min(
            (
                level
                for (stated_by, _), (level, _) in self._statements.items()
                if stated_by == instance
            ),
            default=None,
        )

    def _expire(self, now: Seconds) -> None:
        cutoff = now - STATEMENT_SECONDS
        for key in [key for key, (_, at) in self._statements.items() if at < cutoff]:
            del self._statements[key]


class EntryLevels:
    """Levels of the entries that poll one replica, or did so recently.

    Parameters
    ----------
    complete_from : Seconds
        Time from which every running entry is known. Before, level `BASE` is assumed.
    """

    def __init__(self, complete_from: Seconds) -> None:
        self.complete_from = complete_from
        self._levels: dict[InstanceId, tuple[Incarnation, int]] = {}
        self._last_seen: dict[InstanceId, Seconds] = {}

    def record(
        self, instance: InstanceId, incarnation: Incarnation, level: int, now: Seconds
    ) -> None:
        """Store the level that an entry states."""
        known = self._levels.get(instance)
        if known is None or known[0] <= incarnation:
            self._levels[instance] = (incarnation, level)
            self._last_seen[instance] = now

    def forget_moved(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """Drop an entry whose run, or a later one, polls another replica now."""
        known = self._levels.get(instance)
        if known is not None and known[0] <= incarnation:
            self._drop(instance)

    def find_lowest(self, own_level: int, now: Seconds) -> int:
        """Return the lowest level of the entries; `own_level` if there is none."""
        if now < self.complete_from:
            return FeatureLevel.BASE
        cutoff = now - ENTRY_MEMORY_SECONDS
        for instance in [key for key, at in self._last_seen.items() if at < cutoff]:
            self._drop(instance)
        return min((level for _, level in self._levels.values()), default=own_level)

    def _drop(self, instance: InstanceId) -> None:
        del self._levels[instance]
        del self._last_seen[instance]


def find_supported_level(
    own_level: int, members: Iterable[int | None], entries: Iterable[int]
) -> int:
    """Return the highest level to which the leader may raise the group.

    Parameters
    ----------
    own_level : int
        Level of the leader's build.
    members : iterable of int or None
        Level of each other member of the group; None for one that has stated none
        recently, which may be down or have gone back to an older build.
    entries : iterable of int
        Lowest level of the entries of each replica.
    """
    stated = [FeatureLevel.BASE if level is None else level for level in members]
    return min((own_level, *stated, *entries))
