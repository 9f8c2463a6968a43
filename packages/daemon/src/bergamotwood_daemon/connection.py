"""Connections of callers, with a timeout for idle ones, and a bound on all of them."""

from collections.abc import Callable
from contextlib import suppress
from socket import SHUT_RDWR
from typing import Any

from gevent.pywsgi import WSGIHandler

from bergamotwood_core.memory import (
    CONNECTION_BYTES,
    Holding,
    MemoryAccount,
    Phase,
    Reason,
)
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.eventloop import Pauser

SOCKET_TIMEOUT_SECONDS = 30.0
# Time after which a caller may come back that was refused for want of room.
FULL_RETRY_SECONDS = 1
# Key of the WSGI environment with the `BodyMemory` of the connection.
BODY_MEMORY = "bergamotwood.body_memory"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Connection: close\r\nRetry-After: %d\r\n\r\n"
) % FULL_RETRY_SECONDS


class BodyMemory:
    """Body of a request while it is read, counted as held for its connection.

    Parameters
    ----------
    account : MemoryAccount
        Account of the process.
    holding : Holding
        What is held for the connection.
    """

    def __init__(self, account: MemoryAccount, holding: Holding) -> None:
        self._account = account
        self._holding = holding
        self._body = bytearray()
        self._pauser = Pauser()

    def start(self) -> None:
        """Begin a body; others may need its room until it is complete."""
        self._holding.phase = Phase.READING

    def append(self, piece: bytes) -> bool:
        """Hold a piece; return False, and drop the body, if there is no room."""
        if not self._account.grow(self._holding, len(piece), read_clock()):
            self.drop()
            self._holding.phase = Phase.CLOSING
            return False
        self._body += piece
        self._pauser.pause()
        return self._holding.phase is Phase.READING

    def finish(self) -> bytes | None:
        """Return the whole body, whose request runs from now on; None if evicted."""
        if self._holding.phase is not Phase.READING:
            return None
        self._holding.phase = Phase.SERVED
        body, self._body = bytes(self._body), bytearray()
        return body

    def drop(self) -> None:
        """Drop what was read, at once."""
        self._body = bytearray()

    def release(self) -> None:
        """Hold nothing but the connection, which awaits the next request."""
        holding = self._holding
        self.drop()
        self._account.shrink(holding, holding.held_bytes - CONNECTION_BYTES)
        holding.phase = Phase.IDLE


class CallerConnectionHandler(WSGIHandler):
    """Serves one connection and closes it when the caller is idle.

    The timeout applies while a request is awaited and while a caller reads nothing
    of an answer, so that a broken connection does not occupy a slot.
    """

    # Set by `make_handler`.
    account: MemoryAccount
    _memory: BodyMemory
    _holding: Holding

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        holding = self.account.open_connection(read_clock(), self._evict)
        if holding is None:
            with suppress(OSError):
                self.socket.send(REFUSAL, 0, 0.0)
            return
        self._holding = holding
        self._memory = BodyMemory(self.account, holding)
        self.socket.settimeout(SOCKET_TIMEOUT_SECONDS)
        try:
            super().handle()
        finally:
            self.account.close(holding)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of a request whose head was read."""
        self._holding.phase = Phase.SERVED
        return {**super().get_environ(), BODY_MEMORY: self._memory}

    def handle_one_response(self) -> None:
        """Answer a request, and hold nothing of it afterwards."""
        try:
            super().handle_one_response()
        finally:
            self._memory.release()

    def _evict(self, reason: Reason) -> None:
        self._memory.drop()
        # The reader's file keeps the socket open, but its wait ends.
        with suppress(OSError):
            self.socket.shutdown(SHUT_RDWR)


def make_handler(account: MemoryAccount) -> Callable[..., CallerConnectionHandler]:
    """Return a class of handlers whose connections an account bounds."""
    return type("BoundedHandler", (CallerConnectionHandler,), {"account": account})
