"""Connections of callers, with a timeout for idle ones."""

from gevent.pywsgi import WSGIHandler

SOCKET_TIMEOUT_SECONDS = 30.0


class CallerConnectionHandler(WSGIHandler):
    """Serves one connection and closes it when the caller is idle.

    The timeout applies while a request is awaited and while a caller reads nothing
    of an answer, so that a broken connection does not occupy a slot.
    """

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        self.socket.settimeout(SOCKET_TIMEOUT_SECONDS)
        super().handle()
