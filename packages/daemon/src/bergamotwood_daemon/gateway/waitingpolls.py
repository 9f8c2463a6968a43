"""Polls of entries that wait at a control replica for a change."""

from collections.abc import Callable

from gevent import spawn_later
from gevent.event import Event

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.state_machine import GatewayState
from bergamotwood_daemon.gateway.peermessages import SyncRequest

MAX_LONG_POLL_SECONDS = 2.0
# Delay from a change to the answers of the polls that wait for it, so that changes in
# quick succession wake them once.
WAKE_DELAY_SECONDS = 0.1


class WaitingPolls:
    """Wakes the polls that wait.

    Parameters
    ----------
    clock : callable
        Returns the current time.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._changed = Event()
        self._is_wake_scheduled = False

    def wait(self, is_met: Callable[[], bool], seconds: float) -> None:
        """Wait until a condition is met, for some time at most."""
        deadline = self._clock() + min(seconds, MAX_LONG_POLL_SECONDS)
        while not is_met():
            remaining = deadline - self._clock()
            if remaining <= 0.0:
                return
            self._changed.wait(remaining)

    def notify(self) -> None:
        """Wake the waiting polls soon; changes until then are answered together."""
        if not self._is_wake_scheduled:
            self._is_wake_scheduled = True
            spawn_later(WAKE_DELAY_SECONDS, self._wake)

    def _wake(self) -> None:
        self._is_wake_scheduled = False
        self._changed.set()
        self._changed.clear()


def has_change(
    request: SyncRequest, state: GatewayState, boot: str, endpoint_cursor: int
) -> bool:
    """Whether there is a change that an entry needs at once.

    Changes of other entries wait for the next poll: callers use lists of entries
    for longer than that.
    """
    if state.number > request.number:
        return True
    if state.suspensions_index > request.suspensions_index:
        return True
    # An entry of an older build always has -1, and must not be answered at once for
    # that. One that has just started gets an immediate answer by its `boot`.
    if 0 <= request.evacuations_index < state.evacuations_index:
        return True
    return request.boot != boot or request.cursors.endpoints != endpoint_cursor
