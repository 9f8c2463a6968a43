"""Bytes that a caller sends, read ahead and counted as held."""

from collections.abc import Callable

from gevent import spawn
from gevent.event import Event
from gevent.socket import socket as Socket

from bergamotwood_core.clock import Seconds
from bergamotwood_core.memory import Holding, MemoryAccount, Phase
from bergamotwood_daemon.eventloop import Pauser

READ_BYTES = 16_384
# Bytes that are read at a time while a request is served. They must be kept, as its
# connection cannot be refused any more.
READ_AHEAD_BYTES = 4_096
# Bytes of a caller that are buffered ahead; further bytes stay in the kernel.
MAX_UNREAD_BYTES = 65_536


class CallerTimeoutError(Exception):
    """The caller did not complete its request, or was idle, for too long."""


class CallerEvictedError(Exception):
    """Others need the memory of a request that has not been passed on."""


class ReadAheadBuffer:
    """Reads a caller's bytes ahead, so that a disconnect is noticed at once.

    Parameters
    ----------
    sock : Socket
        Socket of the connection.
    holding : Holding
        What is held for the connection.
    account : MemoryAccount
        Account in which the bytes are counted until they are released.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        sock: Socket,
        holding: Holding,
        account: MemoryAccount,
        clock: Callable[[], Seconds],
    ) -> None:
        self.is_closed = False
        self.is_evicted = False
        self._sock = sock
        self._holding = holding
        self._account = account
        self._clock = clock
        self._buffer = bytearray()
        self._pauser = Pauser()
        self._data_ready = Event()
        self._space_ready = Event()
        self._on_close: Callable[[], None] | None = None
        self._reader = spawn(self._read)

    @property
    def has_bytes(self) -> bool:
        """Whether there are buffered bytes."""
        return bool(self._buffer)

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the function to call when the caller disconnects; None removes it."""
        self._on_close = callback
        if callback is not None and self.is_closed:
            callback()

    def receive(self, seconds: float) -> bytes:
        """Return the next bytes; empty at the end of the stream.

        They remain counted as held for the connection.

        Raises
        ------
        CallerTimeoutError
            When no bytes arrive in time.
        CallerEvictedError
            When the request is refused for others.
        """
        while not self._buffer and not self.is_closed and not self.is_evicted:
            self._data_ready.clear()
            if not self._data_ready.wait(seconds):
                raise CallerTimeoutError
        if self.is_evicted:
            raise CallerEvictedError
        data = bytes(self._buffer)
        self._buffer.clear()
        self._space_ready.set()
        return data

    def discard(self, seconds: float) -> None:
        """Drop what arrives until the caller closes the connection."""
        while not self.is_closed:
            self._drop()
            self._data_ready.clear()
            if not self._data_ready.wait(seconds):
                return

    def evict(self) -> None:
        """Drop what is buffered, and have `receive` fail."""
        self.is_evicted = True
        self._drop()
        self._data_ready.set()

    def resume(self) -> None:
        """Read on, now that the request that was served has its answer."""
        if len(self._buffer) <= MAX_UNREAD_BYTES:
            self._space_ready.set()

    def stop(self) -> None:
        """Stop reading."""
        self._on_close = None
        self._reader.kill(block=False)

    def _drop(self) -> None:
        self._account.shrink(self._holding, len(self._buffer))
        self._buffer = bytearray()
        self._space_ready.set()

    def _read(self) -> None:
        while True:
            is_passed_on = self._holding.phase in (Phase.SERVED, Phase.ANSWERING)
            try:
                data = self._sock.recv(READ_AHEAD_BYTES if is_passed_on else READ_BYTES)
            except TimeoutError:
                # The socket's timeout limits sending; a caller may wait for longer.
                continue
            except OSError:
                data = b""
            if not data:
                break
            self._append(data)
            while len(self._buffer) > MAX_UNREAD_BYTES:
                self._space_ready.clear()
                self._space_ready.wait()
            self._pauser.pause()
        self.is_closed = True
        self._data_ready.set()
        if self._on_close is not None:
            self._on_close()

    def _append(self, data: bytes) -> None:
        holding = self._holding
        if holding.phase is Phase.IDLE:
            holding.phase = Phase.READING
        has_room = self._account.grow(holding, len(data), self._clock())
        if has_room:
            self._buffer += data
        elif holding.phase in (Phase.SERVED, Phase.ANSWERING):
            # The room that every connection has is enough for so few bytes.
            self._buffer += data
            self._space_ready.clear()
            self._space_ready.wait()
        elif holding.phase is Phase.READING:
            holding.phase = Phase.CLOSING
            self.evict()
        self._data_ready.set()
