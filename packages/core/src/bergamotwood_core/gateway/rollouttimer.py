"""Elapsed time of roll-outs, measured on a clock that no operator sets.

The log stores the time of day at which a roll-out was ordered. The time of day may jump
and differ between machines, so it is used only for a roll-out that began before this
replica looked, for example before its restart.
"""

from collections.abc import Iterable

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.state_machine import ServiceRollout
from bergamotwood_core.ids import LogIndex


class RolloutTimer:
    """Start of each roll-out on the clock of this replica."""

    def __init__(self) -> None:
        self._started_at: dict[LogIndex, Seconds] = {}
        self._observed_at: Seconds | None = None

    def observe(
        self, rollouts: Iterable[ServiceRollout], time_of_day: float, now: Seconds
    ) -> None:
        """Note which roll-outs exist; to be called often, also without roll-outs.

        Parameters
        ----------
        rollouts : iterable of ServiceRollout
            Newest roll-out of each service.
        time_of_day : float
            Wall-clock time in seconds.
        now : Seconds
            Time on the replica's clock.
        """
        current = {rollout.index: rollout for rollout in rollouts}
        for index in set(self._started_at) - set(current):
            del self._started_at[index]
        for index in set(current) - set(self._started_at):
            age = max(time_of_day - current[index].ordered_at, 0.0)
            if self._observed_at is not None:
                age = min(age, now - self._observed_at)
            self._started_at[index] = Seconds(now - age)
        self._observed_at = now

    def measure(self, rollout: ServiceRollout, now: Seconds) -> float:
        """Return the seconds since an observed roll-out was ordered."""
        return max(now - self._started_at[rollout.index], 0.0)
