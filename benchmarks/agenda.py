"""An agenda of timed actions for the fakes of the benches."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from bergamotwood_core.clock import Seconds

Action = Callable[[], None]


class Agenda:
    """Runs actions in the order of their times."""

    def __init__(self) -> None:
        self.now = Seconds(0.0)
        self._order = count()
        self._heap: list[tuple[float, int, Action]] = []

    def add(self, delay: float, action: Action) -> None:
        """Run an action after a delay in seconds."""
        heappush(self._heap, (self.now + delay, next(self._order), action))

    def repeat(self, period: float, action: Action, until: float) -> None:
        """Run an action each period until a time."""

        def run() -> None:
            action()
            if self.now + period <= until:
                self.add(period, run)

        self.add(period, run)

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= until:
            time, _, action = heappop(self._heap)
            self.now = Seconds(time)
            action()
        self.now = Seconds(until)
