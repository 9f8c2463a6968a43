"""An agenda of timed actions for the fakes of the benches."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from bergamotwood_core.clock import Seconds

Action = Callable[[], None]


class Simulation:
    """Runs actions in the order of their times."""

    def __init__(self) -> None:
        self.now = Seconds(0.0)
        self._sequence = count()
        self._queue: list[tuple[float, int, Action]] = []

    def schedule(self, delay: float, action: Action) -> None:
        """Run an action after a delay in seconds."""
        heappush(self._queue, (self.now + delay, next(self._sequence), action))

    def schedule_every(self, period: float, action: Action, until: float) -> None:
        """Run an action each period until a time."""

        def run() -> None:
            action()
            if self.now + period <= until:
                self.schedule(period, run)

        self.schedule(period, run)

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._queue and self._queue[0][0] <= until:
            time, _, action = heappop(self._queue)
            self.now = Seconds(time)
            action()
        self.now = Seconds(until)
