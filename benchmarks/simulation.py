"""Discrete-event simulation that the fakes of the benchmarks run in."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from bergamotwood_core.clock import Seconds

Action = Callable[[], None]


class Simulation:
    """Runs scheduled actions in the order of their times, in virtual seconds."""

    def __init__(self) -> None:
        self.now = Seconds(0.0)
        self._sequence = count()
        self._queue: list[tuple[float, int, Action]] = []

    def schedule(self, delay: float, action: Action) -> None:
        """Schedule an action after a delay in seconds."""
        heappush(self._queue, (self.now + delay, next(self._sequence), action))

    def schedule_every(self, period: float, action: Action, until: float) -> None:
        """Schedule an action once per period, up to a given time."""

        def run() -> None:
            action()
            if self.now + period <= until:
                self.schedule(period, run)

        self.schedule(period, run)

    def run(self, until: float) -> None:
        """Run all actions that are due up to a time."""
        while self._queue and self._queue[0][0] <= until:
            time, _, action = heappop(self._queue)
            self.now = Seconds(time)
            action()
        self.now = Seconds(until)
