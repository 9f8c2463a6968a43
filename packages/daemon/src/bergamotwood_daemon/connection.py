"""Connections of callers: how long a silent one is kept."""

from gevent.pywsgi import WSGIHandler

SOCKET_TIMEOUT_SECONDS = 30.0


class CallerConnectionHandler(WSGIHandler):
    """Serves one connection, and drops it when the caller stays silent.

    The bound holds for the wait for a request and for a caller that takes
    nothing of an answer, so that a connection lost on the way holds no slot.
    """

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        self.socket.settimeout(SOCKET_TIMEOUT_SECONDS)
        super().handle()
