"""HTTP/1.1 server for callers; a connection serves one request at a time."""

from collections.abc import Callable
from socket import SO_RCVBUF, SOL_SOCKET

from gevent import GreenletExit, sleep
from gevent.server import StreamServer
from gevent.socket import socket as Socket

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.configuration import CallerLimits
from bergamotwood_core.memory import MemoryAccount, MemoryLimits
from bergamotwood_core.messages import Address
from bergamotwood_daemon.gateway.callerconnection import (
    CallerConnection,
    CallerDisconnectedError,
    Exchange,
    Handler,
)
from bergamotwood_daemon.gateway.message import HttpResponse
from bergamotwood_daemon.gateway.sockets import is_readable
from bergamotwood_daemon.log import log_event, log_failure

# Bytes of a caller that the kernel buffers.
KERNEL_BYTES = 65_536
BACKLOG = 1_024
# Shortest time between two log lines on requests that are refused before they are read.
REJECTION_LOG_SECONDS = 1.0
# Limit on accepting waiting connections when the server stops listening.
ACCEPT_TIMEOUT_SECONDS = 0.2


class HttpServer:
    """Accepts connections and passes their requests to a handler.

    Parameters
    ----------
    listen : Address
        Address to listen at.
    handler : callable
        Answers an `Exchange`. An unexpected exception is answered with status
        502, or closes the connection if the response has begun.
    limits : callable
        Returns the current limits on callers.
    clock : callable
        Returns the current time.
    account : MemoryAccount or None
        Account of what the process holds for its peers, at all of its listeners; by
        default one of its own.
    """

    def __init__(
        self,
        listen: Address,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], Seconds],
        account: MemoryAccount | None = None,
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.account = MemoryAccount(MemoryLimits()) if account is None else account
        self.is_closing = False
        self._handler = handler
        self._listen = listen
        self._connections: set[CallerConnection] = set()
        self._logged_at = Seconds(float("-inf"))
        self._server = StreamServer(
            (listen.host, listen.port), self._serve, backlog=BACKLOG
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.server_port

    @property
    def active_requests(self) -> int:
        """Number of requests being served."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def open_requests(self) -> int:
        """Number of requests that are running or have arrived."""
        return sum(connection.has_request for connection in self._connections)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def start(self) -> None:
        """Start listening."""
        self._server.init_socket()
        # Connections inherit it. Bytes in the kernel belong to the process, too.
        self._server.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, KERNEL_BYTES)
        self._server.start()

    def count_rejection(self, status: int) -> None:
        """Count a request that is refused before it is read; log some of them."""
        rejections = self.account.rejections
        rejections[status] += 1
        now = self.clock()
        if now - self._logged_at < REJECTION_LOG_SECONDS:
            return
        self._logged_at = now
        log_event(
            "caller",
            "Request refused.",
            status=status,
            listener=f"{self._listen.host}:{self._listen.port}",
            refused={str(code): count for code, count in rejections.items()},
            held_bytes=self.account.held_bytes,
            connections=self.account.connections,
        )

    def close_idle(self) -> None:
        """Close connections that have no request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept the connections that callers have opened, and no further ones.

        Closing the socket would reset those that wait to be accepted.
        """
        deadline = self.clock() + ACCEPT_TIMEOUT_SECONDS
        while self._server.started and is_readable(self._server.socket):
            if self.clock() >= deadline:
                log_event("caller", "Waiting connections are reset.")
                break
            sleep(0.0)
        self._server.close()

    def handler(self, exchange: Exchange) -> None:
        """Answer a request; log an unexpected exception.

        The caller then gets a 502, or the connection closes if the response has begun.
        """
        try:
            self._handler(exchange)
        except (CallerDisconnectedError, GreenletExit, OSError):
            raise
        except Exception as error:
            log_failure(
                "caller", "Unhandled error in request handler.", reason=repr(error)
            )
            if not exchange.status:
                exchange.answer(HttpResponse(502, []))

    def _serve(self, sock: Socket, address: tuple[str, int]) -> None:
        connection = CallerConnection(self, sock)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)
