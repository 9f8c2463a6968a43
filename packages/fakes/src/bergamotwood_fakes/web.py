"""Small parts of a WSGI stand-in: listener, JSON bodies, answers."""

from collections.abc import Callable, Iterable
from hmac import compare_digest
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SHUT_RDWR,
    SO_REUSEADDR,
    SOL_SOCKET,
    TCP_NODELAY,
)

from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.socket import socket
from msgspec import Struct, json

from bergamotwood_core.messages import Address

BACKLOG = 512
SOCKET_KEY = "bergamotwood.socket"
REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    409: "Conflict",
    429: "Too Many Requests",
    500: "Internal Server Error",
}

Environ = dict
StartResponse = Callable[[str, list[tuple[str, str]]], object]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


class Response(Struct):
    """An answer that is sent whole."""

    status: int
    body: bytes
    content_type: str = "application/json"
    retry_after: float | None = None

    def send(self, start_response: StartResponse) -> list[bytes]:
        """Send the head and return the body, as WSGI wants it."""
        headers = [
            ("Content-Type", self.content_type),
            ("Content-Length", str(len(self.body))),
        ]
        if self.retry_after is not None:
            headers.append(("Retry-After", f"{self.retry_after:.3f}"))
        start_response(f"{self.status} {REASONS[self.status]}", headers)
        return [self.body]


def make_json_response(value: object, status: int = 200) -> Response:
    """Make an answer of a JSON value."""
    return Response(status, json.encode(value))


def make_error_response(
    status: int, message: str, retry_after: float | None = None
) -> Response:
    """Make an error in the OpenAI form."""
    body = json.encode({"error": {"message": message}})
    return Response(status, body, retry_after=retry_after)


def read_body(environ: Environ) -> bytes:
    """Read the whole body of a request."""
    return environ["wsgi.input"].read()


def read_header(environ: Environ, name: str) -> str:
    """Read a header by its name, empty when it is missing."""
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "")


class _SocketHandler(WSGIHandler):
    """Handler that lets the application cut its connection."""

    def get_environ(self) -> Environ:
        """Add the socket to the environment of the application."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def close_connection(environ: Environ) -> None:
    """Close the connection of a request in both directions."""
    try:
        environ[SOCKET_KEY].shutdown(SHUT_RDWR)
    except OSError:
        return


def check_bearer(environ: Environ, key: str) -> bool:
    """Whether a request carries the bearer key; an empty key lets all pass."""
    expected = f"Bearer {key}".encode()
    received = read_header(environ, "Authorization").encode()
    return not key or compare_digest(received, expected)


def open_listener(address: Address) -> socket:
    """Open a listening socket that sends small writes at once.

    Raises
    ------
    OSError
        When the address cannot be had.
    """
    listener = socket(AF_INET)
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener


def make_server(address: Address, application: Application) -> WSGIServer:
    """Make a server that listens already; its port is `server_port`."""
    listener = open_listener(address)
    server = WSGIServer(
        listener,
        application,
        log=None,
        error_log=None,
        handler_class=_SocketHandler,
    )
    server.init_socket()
    return server


def parse_address(text: str) -> Address:
    """Read `host:port`.

    Raises
    ------
    ValueError
        When the text has no colon or no number after it.
    """
    host, port = text.rsplit(":", 1)
    return Address(host, int(port))
