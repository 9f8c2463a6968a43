"""Memory and connections that a process holds for its peers, bounded as a sum.

Answers crowds of callers that send much, little or nothing and keep their connections:
a limit for each connection bounds no number of connections. Nobody notices the account
while there is room. When it is short, it makes room at the cost of whoever holds most
or has made no progress for longest, before ordinary callers.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum

from bergamotwood_core.clock import Seconds

KIBIBYTE = 1_024
MEBIBYTE = 1_024 * KIBIBYTE
# Memory of an open connection without bytes: its greenlets, parser and socket.
CONNECTION_BYTES = 40 * KIBIBYTE
# Share of the process's memory that may be held for peers. The rest is for the program,
# its state, and copies that exist for a moment.
MEMORY_SHARE = 0.2
# Least sum, which leaves room for one request and one answer of the largest size.
MIN_HELD_BYTES = 16 * MEBIBYTE
DEFAULT_MEMORY_BYTES = 256 * MEBIBYTE
# Share of the sum that connections without bytes may use.
CONNECTIONS_SHARE = 0.75
# Share of the sum that only connections with few bytes may use.
SMALL_SHARE = 0.125
SMALL_BYTES = 128 * KIBIBYTE
# Descriptors that are kept for files and logs, and those of a served request: the
# caller's connection and that to an endpoint.
RESERVED_DESCRIPTORS = 200
DESCRIPTORS_PER_CALLER = 2
DEFAULT_DESCRIPTORS = 4_096
MIN_CONNECTIONS = 16
# Time without progress after which an answer that is not read makes room for others.
STALL_SECONDS = 5.0
# Statuses of requests that are refused before they are read.
REJECTED_STATUSES = (400, 408, 413, 431, 503)


class Phase(Enum):
    """What a connection does.

    Attributes
    ----------
    IDLE
        It has no request.
    READING
        A request arrives; it has not been passed on.
    SERVED
        Its request may have been passed on.
    ANSWERING
        Its answer is being sent.
    CLOSING
        It has been refused, or is being closed.
    """

    IDLE = "idle"
    READING = "reading"
    SERVED = "served"
    ANSWERING = "answering"
    CLOSING = "closing"


class Reason(Enum):
    """Why a connection was closed or a request refused for others."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class MemoryLimits:
    """Limits on what a process holds for its peers.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process is given.
    descriptors : int
        Descriptors that the process may have open.
    """

    def __init__(
        self,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        descriptors: int = DEFAULT_DESCRIPTORS,
    ) -> None:
        self.held_bytes = max(int(MEMORY_SHARE * memory_bytes), MIN_HELD_BYTES)
        self.connections = max(
            min(
                (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CALLER,
                int(CONNECTIONS_SHARE * self.held_bytes) // CONNECTION_BYTES,
            ),
            MIN_CONNECTIONS,
        )


class Holding:
    """What is held for one connection, or for one answer of an endpoint.

    Parameters
    ----------
    phase : Phase
        What it does at first.
    now : Seconds
        Time at which it begins.
    evict : callable or None
        Frees what is held at once; called when others need the room. None if it
        cannot be evicted.
    is_connection : bool
        Whether it counts as a connection.
    """

    def __init__(
        self,
        phase: Phase,
        now: Seconds,
        evict: Callable[[Reason], None] | None,
        is_connection: bool,
    ) -> None:
        self.phase = phase
        self.held_bytes = CONNECTION_BYTES if is_connection else 0
        self.progressed_at = now
        self.is_connection = is_connection
        self.evict = evict


class MemoryAccount:
    """Sum of what one process holds for its peers, at all listeners.

    Parameters
    ----------
    limits : MemoryLimits
        Limits on the sum.

    Attributes
    ----------
    held_bytes, connections : int
        Sums over all holdings.
    evictions : dict
        Number of holdings that made room for others, by reason.
    refusals : dict
        Number of connections and requests for which there was no room, by reason.
    rejections : Counter
        Number of requests that were refused before they were read, by status.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.connections = 0
        self.evictions = dict.fromkeys(Reason, 0)
        self.refusals = dict.fromkeys(Reason, 0)
        self.rejections: Counter[int] = Counter()
        # In the order in which they were opened.
        self._holdings: dict[Holding, None] = {}

    def __len__(self) -> int:
        return len(self._holdings)

    def list_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges for metrics."""
        gauges: dict[str, float] = {
            "held_bytes": self.held_bytes,
            "held_bytes_limit": self.limits.held_bytes,
            "peer_connections": self.connections,
            "peer_connections_limit": self.limits.connections,
        }
        for reason in Reason:
            gauges[f"evicted_for_{reason.value}_total"] = self.evictions[reason]
            gauges[f"refused_for_{reason.value}_total"] = self.refusals[reason]
        for status in REJECTED_STATUSES:
            gauges[f"unread_requests_{status}_total"] = self.rejections[status]
        return gauges

    def open_connection(
        self, now: Seconds, evict: Callable[[Reason], None]
    ) -> Holding | None:
        """Return the holding of a new connection; None if there is no room for it."""
        if self.connections >= self.limits.connections:
            victim = choose_idle(self._holdings, now)
            if victim is None:
                self.refusals[Reason.CONNECTIONS] += 1
                return None
            self._evict(victim, Reason.CONNECTIONS)
        holding = Holding(Phase.IDLE, now, evict, is_connection=True)
        return holding if self._add(holding, now) else None

    def open_answer(self, now: Seconds) -> Holding:
        """Return the holding of an answer that is read from an endpoint."""
        holding = Holding(Phase.SERVED, now, None, is_connection=False)
        self._holdings[holding] = None
        return holding

    def grow(self, holding: Holding, count: int, now: Seconds) -> bool:
        """Hold more bytes; return whether there is room.

        Others are evicted for it. A holding that was closed or evicted gets no more.
        """
        if holding not in self._holdings or holding.phase is Phase.CLOSING:
            return False
        if not self._make_room(holding, count, now):
            self.refusals[Reason.MEMORY] += 1
            return False
        holding.held_bytes += count
        holding.progressed_at = now
        self.held_bytes += count
        return True

    def shrink(self, holding: Holding, count: int) -> None:
        """Hold fewer bytes."""
        if holding in self._holdings:
            count = min(count, holding.held_bytes)
            holding.held_bytes -= count
            self.held_bytes -= count

    def close(self, holding: Holding) -> None:
        """Hold nothing more; a second call has no effect."""
        if holding not in self._holdings:
            return
        del self._holdings[holding]
        self.held_bytes -= holding.held_bytes
        self.connections -= holding.is_connection
        holding.held_bytes = 0

    def _add(self, holding: Holding, now: Seconds) -> bool:
        count, holding.held_bytes = holding.held_bytes, 0
        self._holdings[holding] = None
        self.connections += holding.is_connection
        if self.grow(holding, count, now):
            return True
        self.close(holding)
        return False

    def _make_room(self, holding: Holding, count: int, now: Seconds) -> bool:
        limit = find_limit(self.limits.held_bytes, holding.held_bytes + count)
        missing = self.held_bytes + count - limit
        if missing <= 0:
            return True
        victims = choose_victims(self._holdings, holding, count, missing, now)
        if victims is None:
            return False
        for victim in victims:
            self._evict(victim, Reason.MEMORY)
        return True

    def _evict(self, victim: Holding, reason: Reason) -> None:
        self.evictions[reason] += 1
        was_reading = victim.phase is Phase.READING
        victim.phase = Phase.CLOSING
        if was_reading and reason is Reason.MEMORY:
            # It stays open until its peer has read why.
            self.shrink(victim, victim.held_bytes - CONNECTION_BYTES)
        else:
            self.close(victim)
        victim.evict(reason)


def find_limit(limit: int, held_bytes: int) -> int:
    """Return the sum up to which a holding of some bytes may grow.

    Small ones find room while large ones do not, so that ordinary requests are served
    beside a crowd of large ones.
    """
    if held_bytes <= CONNECTION_BYTES + SMALL_BYTES:
        return limit
    return int(limit * (1.0 - SMALL_SHARE))


def choose_idle(holdings: Iterable[Holding], now: Seconds) -> Holding | None:
    """Return the connection to close when there are too many.

    One that is idle, else one whose request has not come on for longest; None if all
    have a request that may have been passed on.
    """
    connections = [item for item in holdings if item.is_connection]
    for phase in (Phase.IDLE, Phase.READING):
        candidates = [item for item in connections if item.phase is phase]
        if candidates:
            return min(candidates, key=lambda item: item.progressed_at)
    stalled = [item for item in connections if _is_stalled(item, now)]
    return min(stalled, key=lambda item: item.progressed_at, default=None)


def choose_victims(
    holdings: Iterable[Holding],
    growing: Holding,
    count: int,
    missing: int,
    now: Seconds,
) -> list[Holding] | None:
    """Return the holdings that make room for a number of bytes.

    Idle connections go first, then the largest of those whose request has not been
    passed on, or whose caller does not read its answer.

    Parameters
    ----------
    holdings : iterable of Holding
        All holdings.
    growing : Holding
        The one that needs the room.
    count, missing : int
        Bytes that it needs, and those that have to be freed.
    now : Seconds
        Current time.

    Returns
    -------
    list of Holding or None
        None if the one that grows is larger than those that could go, or nothing
        could be freed.
    """
    idle, others = [], []
    for holding in holdings:
        if holding is growing or holding.evict is None:
            continue
        if holding.phase is Phase.IDLE:
            idle.append(holding)
        elif holding.phase is Phase.READING or _is_stalled(holding, now):
            others.append(holding)
    idle.sort(key=lambda item: item.progressed_at)
    others.sort(key=lambda item: (-item.held_bytes, item.progressed_at))
    is_passed_on = growing.phase in (Phase.SERVED, Phase.ANSWERING)
    size = growing.held_bytes + count
    victims: list[Holding] = []
    for holding in (*idle, *others):
        freed = holding.held_bytes
        if holding.phase is Phase.READING:
            # Its connection stays open for a while.
            freed -= CONNECTION_BYTES
        if holding.phase is not Phase.IDLE and not (
            freed > 0 and (is_passed_on or holding.held_bytes >= size)
        ):
            break
        victims.append(holding)
        missing -= freed
        if missing <= 0:
            return victims
    return None


def _is_stalled(holding: Holding, now: Seconds) -> bool:
    is_answering = holding.phase is Phase.ANSWERING
    return is_answering and now - holding.progressed_at >= STALL_SECONDS
