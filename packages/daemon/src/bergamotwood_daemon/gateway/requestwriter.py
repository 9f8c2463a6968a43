"""Writes a request to a socket while its response may already be read."""

from collections import deque

from gevent import Greenlet, spawn
from gevent.socket import socket as Socket

# Time-out with which a call returns at once.
AT_ONCE = 0.0


class RequestWriter:
    """Writes the bytes of one request, in its own greenlet if they take time.

    That greenlet uses a duplicate of the socket, as the time-out of a socket holds for
    both directions, and the reader of the response sets it for its own waits.

    Parameters
    ----------
    sock : Socket
        Connected socket.
    pieces : list of bytes
        The request.

    Attributes
    ----------
    error : OSError or None
        Why the rest could not be written.
    """

    def __init__(self, sock: Socket, pieces: list[bytes]) -> None:
        self.error: OSError | None = None
        self._sock = sock
        self._unsent = deque(memoryview(piece) for piece in pieces if piece)
        self._greenlet: Greenlet | None = None
        self._duplicate: Socket | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the socket has taken every byte of the request."""
        return not self._unsent

    def start(self) -> None:
        """Write what the socket takes at once, and the rest meanwhile.

        An error is kept, as the response may have come before it.
        """
        try:
            while self._unsent:
                self._advance(self._sock.send(self._unsent[0], 0, AT_ONCE))
        except BlockingIOError:
            self._duplicate = self._sock.dup()
            self._duplicate.settimeout(None)
            self._greenlet = spawn(self._write_rest)
        except OSError as error:
            self.error = error

    def stop(self) -> None:
        """Stop writing; what is not written remains so."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._close_duplicate()

    def _write_rest(self) -> None:
        try:
            while self._unsent:
                self._advance(self._duplicate.send(self._unsent[0]))
        except OSError as error:
            self.error = error
        finally:
            self._close_duplicate()

    def _advance(self, count: int) -> None:
        piece = self._unsent.popleft()[count:]
        if piece:
            self._unsent.appendleft(piece)

    def _close_duplicate(self) -> None:
        duplicate, self._duplicate = self._duplicate, None
        if duplicate is not None:
            duplicate.close()
