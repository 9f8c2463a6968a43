"""How long an event loop is held between two looks at its sockets.

A greenlet that reads from a socket on which bytes always wait never switches to the
others; it must pause once it has run for too long in a turn.
"""

from bergamotwood_core.clock import Seconds

# Time in one turn after which a loop that could go on pauses for the others.
MAX_SHARE_SECONDS = 0.002
# Time for which the longest turn is reported: one to two of these.
WINDOW_SECONDS = 60.0


class TurnTimer:
    """Measures the turns of an event loop, each from one poll to the next.

    Attributes
    ----------
    turn : int
        Number of the current turn.
    """

    def __init__(self) -> None:
        self.turn = 0
        self._started_at: Seconds | None = None
        self._window_ends_at = Seconds(0.0)
        self._longest = 0.0
        self._longest_before = 0.0

    def start(self, now: Seconds) -> None:
        """Record that the loop has polled its sockets."""
        self.turn += 1
        self._started_at = now

    def stop(self, now: Seconds) -> float:
        """Record that the loop is about to poll; return the seconds of the turn."""
        if self._started_at is None:
            return 0.0
        seconds = now - self._started_at
        self._started_at = None
        self._roll(now)
        self._longest = max(self._longest, seconds)
        return seconds

    def find_longest(self, now: Seconds) -> float:
        """Return the seconds of the longest turn in the last one to two minutes."""
        self._roll(now)
        return max(self._longest, self._longest_before)

    def _roll(self, now: Seconds) -> None:
        if now < self._window_ends_at:
            return
        is_next = now < self._window_ends_at + WINDOW_SECONDS
        self._longest_before = self._longest if is_next else 0.0
        self._longest = 0.0
        self._window_ends_at = Seconds(now + WINDOW_SECONDS)


class TurnShare:
    """Time that one loop has taken in the current turn."""

    def __init__(self) -> None:
        self._turn = -1
        self._since = Seconds(0.0)

    def is_used(self, turn: int, now: Seconds) -> bool:
        """Whether the loop must pause; to be called in each of its rounds.

        Parameters
        ----------
        turn : int
            Number of the current turn.
        now : Seconds
            Current time.
        """
        if turn != self._turn:
            self._turn = turn
            self._since = now
            return False
        return now - self._since > MAX_SHARE_SECONDS
