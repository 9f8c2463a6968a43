"""Measures and bounds the time for which greenlets hold the event loop."""

from gevent import get_hub, sleep

from bergamotwood_core.turns import TurnShare, TurnTimer
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.log import log_event

# Turns that are logged.
LONG_TURN_SECONDS = 0.5


class LoopMonitor:
    """Measures the turns of this thread's event loop."""

    def __init__(self) -> None:
        self._timer = TurnTimer()
        loop = get_hub().loop
        # The first watcher after a poll and the last one before the next.
        self._check = loop.check(ref=False, priority=loop.MAXPRI)
        self._prepare = loop.prepare(ref=False, priority=loop.MINPRI)
        self._check.start(self._start_turn)
        self._prepare.start(self._stop_turn)

    @property
    def longest_turn_seconds(self) -> float:
        """Longest turn in the last one to two minutes."""
        return self._timer.find_longest(read_clock())

    @property
    def turn(self) -> int:
        """Number of the current turn."""
        return self._timer.turn

    def _start_turn(self) -> None:
        self._timer.start(read_clock())

    def _stop_turn(self) -> None:
        seconds = self._timer.stop(read_clock())
        if seconds > LONG_TURN_SECONDS:
            log_event("daemon", "Event loop held.", seconds=round(seconds, 3))


_monitors: dict[object, LoopMonitor] = {}


def get_monitor() -> LoopMonitor:
    """Return the monitor of this thread's event loop, started at first use."""
    hub = get_hub()
    monitor = _monitors.get(hub)
    if monitor is None:
        monitor = _monitors[hub] = LoopMonitor()
    return monitor


class Pauser:
    """Lets other greenlets run during a loop that could go on without waiting.

    Each loop that can go on for as long as a peer sends has one, and calls `pause` in
    each round.
    """

    def __init__(self) -> None:
        self._share = TurnShare()

    def pause(self) -> None:
        """Let other greenlets run if the loop has used its share of this turn."""
        if self._share.is_used(get_monitor().turn, read_clock()):
            sleep(0.0)
