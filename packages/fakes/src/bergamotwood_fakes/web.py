"""WSGI helpers of the fakes: listeners, request fields, JSON responses."""

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
    """A response whose body is sent in one piece."""

    status: int
    body: bytes
    content_type: str = "application/json"
    retry_after: float | None = None

    def send(self, start_response: StartResponse) -> list[bytes]:
        """Start the response and return its body, as WSGI requires."""
        headers = [
            ("Content-Type", self.content_type),
            ("Content-Length", str(len(self.body))),
        ]
        if self.retry_after is not None:
            headers.append(("Retry-After", f"{self.retry_after:.3f}"))
        start_response(f"{self.status} {REASONS[self.status]}", headers)
        return [self.body]


def make_json_response(value: object, status: int = 200) -> Response:
    """Make a response with a JSON body."""
    return Response(status, json.encode(value))


def make_error_response(
    status: int, message: str, retry_after: float | None = None
) -> Response:
    """Make an error response in the format of the OpenAI API."""
    body = json.encode({"error": {"message": message}})
    return Response(status, body, retry_after=retry_after)


def read_body(environ: Environ) -> bytes:
    """Read the whole body of a request."""
    return environ["wsgi.input"].read()


def read_header(environ: Environ, name: str) -> str:
    """Read a header field, empty when it is missing."""
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "")


class _SocketHandler(WSGIHandler):
    """Handler that gives the application access to the connection's socket."""

    def get_environ(self) -> Environ:
        """Add the socket to the WSGI environment."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def close_connection(environ: Environ) -> None:
    """Shut down the connection of a request in both directions."""
    try:
        environ[SOCKET_KEY].shutdown(SHUT_RDWR)
    except OSError:
        return


def check_bearer(environ: Environ, key: str) -> bool:
    """Whether a request carries the bearer key; an empty key allows all requests."""
    expected = f"Bearer {key}".encode()
    received = read_header(environ, "Authorization").encode()
    return not key or compare_digest(received, expected)


def open_listener(address: Address) -> socket:
    """Open a listening socket with Nagle's algorithm disabled.

    Raises
    ------
    OSError
        When the address cannot be bound.
    """
    listener = socket(AF_INET)
    listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    listener.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    listener.bind((address.host, address.port))
    listener.listen(BACKLOG)
    return listener


def make_server(address: Address, application: Application) -> WSGIServer:
    """Make a server that is already listening; its port is `server_port`."""
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
    """Parse `host:port`.

    Raises
    ------
    ValueError
        When the text has no colon or no number after it.
    """
    host, port = text.rsplit(":", 1)
    return Address(host, int(port))
