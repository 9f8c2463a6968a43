"""Passing soft state on to the other control replicas."""

from collections.abc import Callable
from random import Random

from gevent import sleep, spawn

from bergamotwood_core.errors import ReplicationError
from bergamotwood_core.evidence import Evidence
from bergamotwood_core.ids import LogIndex
from bergamotwood_core.messages import Announcement, EntryReport
from bergamotwood_core.outcome import RolloutReport
from bergamotwood_daemon.peer import POLL, PeerChannel
from bergamotwood_daemon.wire import ENCODER, PollRequest

RELAY_SECONDS = 0.5
RELAY_TIMEOUT_SECONDS = 1.0
MAX_PENDING = 16_384

Item = Announcement | EntryReport | Evidence | RolloutReport


class Relay:
    """Sends news to one other replica, the newest of each sender.

    Parameters
    ----------
    channel : PeerChannel
        The other replica.
    read_applied : callable
        Control index of this replica.
    rng : Random
        Source of jitter.
    """

    def __init__(
        self, channel: PeerChannel, read_applied: Callable[[], LogIndex], rng: Random
    ) -> None:
        self._channel = channel
        self._read_applied = read_applied
        self._rng = rng
        self._pending: dict[str, Item] = {}
        self._greenlet = None

    def start(self) -> None:
        """Begin to send."""
        self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stop sending."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def put(self, item: Item) -> None:
        """Queue an item in the place of an older one of the same sender."""
        if len(self._pending) < MAX_PENDING:
            self._pending[_name_item(item)] = item

    def _run(self) -> None:
        while True:
            sleep(RELAY_SECONDS * self._rng.uniform(0.8, 1.2))
            if self._pending:
                self._send()

    def _send(self) -> None:
        sent = dict(self._pending)
        request = PollRequest(
            applied=self._read_applied(),
            relayed=True,
            announcements=_pick(sent, Announcement),
            reports=_pick(sent, EntryReport),
            ratings=_pick(sent, Evidence),
            outcomes=_pick(sent, RolloutReport),
        )
        try:
            self._channel.call(POLL, ENCODER.encode(request), RELAY_TIMEOUT_SECONDS)
        except ReplicationError:
            return
        for name, item in sent.items():
            if self._pending.get(name) is item:
                del self._pending[name]


def _pick(items: dict[str, Item], kind: type) -> tuple:
    return tuple(item for item in items.values() if isinstance(item, kind))


def _name_item(item: Item) -> str:
    match item:
        case Announcement():
            return f"endpoint/{item.id}"
        case EntryReport():
            return f"entry/{item.id}"
        case Evidence():
            return f"ratings/{item.source}/{item.sequence}"
        case RolloutReport():
            return f"outcomes/{item.source}/{item.rollout}"
