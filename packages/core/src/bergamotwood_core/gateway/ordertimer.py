"""Time since entries of the log, measured on a clock that no operator sets.

The log stores the time of day at which something was ordered. The time of day may jump
and differ between machines, so it is used only for an order that was given before this
replica looked, for example before its restart.
"""

from collections.abc import Iterable
from typing import Protocol

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import LogIndex


class TimedOrder(Protocol):
    """What an entry of the log has ordered.

    Attributes
    ----------
    index : LogIndex
        Index of the log entry.
    ordered_at : float
        Wall-clock time of the order in seconds.
    """

    index: LogIndex
    ordered_at: float


class OrderTimer:
    """Time of each order on the clock of this replica."""

    def __init__(self) -> None:
        self._started_at: dict[LogIndex, Seconds] = {}
        self._observed_at: Seconds | None = None

    def observe(
        self, orders: Iterable[TimedOrder], time_of_day: float, now: Seconds
    ) -> None:
        """Note which orders hold; to be called often, also without orders.

        Parameters
        ----------
        orders : iterable of TimedOrder
            All orders that hold.
        time_of_day : float
            Wall-clock time in seconds.
        now : Seconds
            Time on the replica's clock.
        """
        current = {order.index: order for order in orders}
        for index in set(self._started_at) - set(current):
            del self._started_at[index]
        for index in set(current) - set(self._started_at):
            age = max(time_of_day - current[index].ordered_at, 0.0)
            if self._observed_at is not None:
                age = min(age, now - self._observed_at)
            self._started_at[index] = Seconds(now - age)
        self._observed_at = now

    def measure(self, order: TimedOrder, now: Seconds) -> float:
        """Return the seconds since an observed order was given."""
        return max(now - self._started_at[order.index], 0.0)
