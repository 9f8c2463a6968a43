"""Relays soft state to the other control replicas."""

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

RELAY_INTERVAL_SECONDS = 0.5
RELAY_TIMEOUT_SECONDS = 1.0
MAX_PENDING_UPDATES = 16_384

Update = Announcement | EntryReport | Evidence | RolloutReport


class Relay:
    """Sends updates to one other replica.

    An update that waits to be sent is replaced by a newer one of the same endpoint,
    entry instance or roll-out.

    Parameters
    ----------
    channel : PeerChannel
        Channel to the other replica.
    read_applied : callable
        Returns the index of the control log that this replica has applied.
    rng : Random
        Source of jitter.
    """

    def __init__(
        self, channel: PeerChannel, read_applied: Callable[[], LogIndex], rng: Random
    ) -> None:
        self._channel = channel
        self._read_applied = read_applied
        self._rng = rng
        self._pending_updates: dict[str, Update] = {}
        self._greenlet = None

    def start(self) -> None:
        """Start sending."""
        self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stop sending."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def put(self, update: Update) -> None:
        """Queue an update in place of an older one with the same key.

        An update without an older one is dropped when the queue is full.
        """
        key = _make_key(update)
        is_full = len(self._pending_updates) >= MAX_PENDING_UPDATES
        if key in self._pending_updates or not is_full:
            self._pending_updates[key] = update

    def _run(self) -> None:
        while True:
            sleep(RELAY_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))
            if self._pending_updates:
                self._send()

    def _send(self) -> None:
        sent = dict(self._pending_updates)
        request = PollRequest(
            applied=self._read_applied(),
            relayed=True,
            announcements=_filter_by_type(sent, Announcement),
            reports=_filter_by_type(sent, EntryReport),
            ratings=_filter_by_type(sent, Evidence),
            outcomes=_filter_by_type(sent, RolloutReport),
        )
        try:
            self._channel.call(POLL, ENCODER.encode(request), RELAY_TIMEOUT_SECONDS)
        except ReplicationError:
            return
        for key, update in sent.items():
            if self._pending_updates.get(key) is update:
                del self._pending_updates[key]


def _filter_by_type(updates: dict[str, Update], update_type: type) -> tuple:
    return tuple(item for item in updates.values() if isinstance(item, update_type))


def _make_key(update: Update) -> str:
    match update:
        case Announcement():
            return f"endpoint/{update.id}"
        case EntryReport():
            return f"entry/{update.id}"
        case Evidence():
            return f"ratings/{update.source}/{update.sequence}"
        case RolloutReport():
            return f"outcomes/{update.source}/{update.rollout}"
