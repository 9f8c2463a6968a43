"""One connection through the fault-injecting proxy."""

from collections import deque
from random import Random
from socket import IPPROTO_TCP, SHUT_RDWR, SHUT_WR, TCP_NODELAY

import gevent
from gevent.event import Event
from gevent.lock import Semaphore
from gevent.socket import create_connection, socket

from bergamotwood_core.messages import Address
from bergamotwood_fakes.record import read_clock
from bergamotwood_fakes.rule import Action, RuleTable

BLOCK_BYTES = 65_536
MAX_QUEUED_BLOCKS = 64
MIN_DELAY_SECONDS = 0.001
MAX_DELAY_SECONDS = 0.0015


class Link:
    """A proxied connection from a source process to a target process.

    Parameters
    ----------
    source, target : str
        Names of the processes.
    rules : RuleTable
        Active rules of the proxy.
    random : Random
        Random source of the delays.
    downstream, upstream : socket
        Connections to the source and to the target.
    """

    def __init__(
        self,
        source: str,
        target: str,
        rules: RuleTable,
        random: Random,
        downstream: socket,
        upstream: socket,
    ) -> None:
        self.source = source
        self.target = target
        self._rules = rules
        self._random = random
        self._downstream = downstream
        self._upstream = upstream
        self._discards_bytes = False
        self._half_open = False
        for connection in (downstream, upstream):
            connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def run(self) -> None:
        """Forward bytes in both directions until both sides have closed."""
        to_target = gevent.spawn(self._forward, self._downstream, self._upstream)
        to_source = gevent.spawn(self._forward, self._upstream, self._downstream)
        gevent.joinall([to_target, to_source])
        self._downstream.close()
        self._upstream.close()

    def apply(self, action: Action) -> None:
        """Apply the action of a new rule to this open connection.

        Delays and partitions need nothing here, as they are looked up for each
        block; drops affect new connections only.
        """
        match action:
            case Action.CUT:
                self.cut()
            case Action.SILENCE:
                self.discard_bytes()
            case Action.HALF_OPEN:
                self.make_half_open()

    def discard_bytes(self) -> None:
        """Discard all further bytes but keep both sides open."""
        self._discards_bytes = True

    def make_half_open(self) -> None:
        """Close the target's side and leave the source's side open and silent."""
        self._half_open = True
        self._discards_bytes = True
        _shut_down(self._upstream)

    def cut(self) -> None:
        """Close both sides."""
        self._half_open = False
        self._discards_bytes = False
        _shut_down(self._downstream)
        _shut_down(self._upstream)

    def _forward(self, source: socket, destination: socket) -> None:
        """Forward the bytes of one direction, each block after its delay."""
        blocks: deque[tuple[float, bytes]] = deque()
        block_queued = Event()
        free_slots = Semaphore(MAX_QUEUED_BLOCKS)
        writer = gevent.spawn(
            self._write_blocks, blocks, block_queued, free_slots, destination
        )
        while True:
            data = _receive(source)
            free_slots.acquire()
            blocks.append((read_clock() + self._draw_delay(), data))
            block_queued.set()
            if not data:
                break
        writer.join()

    def _write_blocks(
        self,
        blocks: deque[tuple[float, bytes]],
        block_queued: Event,
        free_slots: Semaphore,
        destination: socket,
    ) -> None:
        """Write each block when it is due; an empty block closes this direction."""
        while True:
            block_queued.wait()
            due_at, data = blocks.popleft()
            if not blocks:
                block_queued.clear()
            free_slots.release()
            gevent.sleep(max(0.0, due_at - read_clock()))
            self._wait_while_partitioned()
            self._write_block(data, destination)
            if not data:
                return

    def _write_block(self, data: bytes, destination: socket) -> None:
        """Send a block to the other side unless bytes are being discarded."""
        if self._discards_bytes:
            return
        try:
            if data:
                destination.sendall(data)
            else:
                destination.shutdown(SHUT_WR)
        except OSError:
            self.cut()

    def _wait_while_partitioned(self) -> None:
        """Wait while a partition rule matches this connection."""
        while self._rules.find(Action.PARTITION, self.source, self.target):
            self._rules.wait_for_removal()

    def _draw_delay(self) -> float:
        """Draw the one-way delay of a block, in seconds."""
        base_delay = self._random.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
        return base_delay + self._rules.sum_delay(self.source, self.target)


def connect_to_target(address: Address, timeout_seconds: float) -> socket | None:
    """Connect to a target; return None on failure or timeout."""
    try:
        connection = create_connection((address.host, address.port), timeout_seconds)
    except OSError:
        return None
    connection.settimeout(None)
    return connection


def _receive(source: socket) -> bytes:
    """Receive a block, which is empty when the peer closed the connection."""
    try:
        return source.recv(BLOCK_BYTES)
    except OSError:
        return b""


def _shut_down(connection: socket) -> None:
    """Shut a socket down in both directions."""
    try:
        connection.shutdown(SHUT_RDWR)
    except OSError:
        return
