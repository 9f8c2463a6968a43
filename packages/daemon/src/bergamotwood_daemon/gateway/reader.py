"""Reads the response to one request from a connection."""

from collections.abc import Callable

import h11

from bergamotwood_core.errors import Code, EndpointError
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.health import AttemptResult
from bergamotwood_daemon.gateway.answermemory import AnswerMemory
from bergamotwood_daemon.gateway.client import (
    ConnectionBrokenError,
    ConnectionPool,
    EndpointConnection,
    ResponseTimeoutError,
)
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.message import (
    HttpResponse,
    is_framed,
    strip_connection_fields,
)
from bergamotwood_daemon.gateway.outcome import Answered, MayHaveRun, Outcome

# Time after the deadline for which bytes that have arrived are still read.
DEADLINE_SLACK_SECONDS = 0.25
# Largest response that is buffered until it is complete, and the most pieces in which
# it may come.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_RESPONSE_PIECES = 65_536


class ResponseReader:
    """Reads a response, which may be streamed to the caller meanwhile.

    Parameters
    ----------
    entry : GatewayEntry
        Entry that serves the request.
    call : Call
        The request.
    pool : ConnectionPool
        Pool of its connection.

    Attributes
    ----------
    idle_factor : float
        Multiple of the usual time after which a stream without events is given up.
    memory : AnswerMemory or None
        Counts what is held of the answer; None if nothing does.
    """

    idle_factor = 1.0
    memory: AnswerMemory | None = None

    def __init__(self, entry: GatewayEntry, call: Call, pool: ConnectionPool) -> None:
        self._entry = entry
        self._call = call
        self._pool = pool
        self._connection: EndpointConnection | None = None

    def read_body(
        self, head: h11.Response, compute_timeout: Callable[[], float]
    ) -> Outcome:
        """Read the body of a response and return the complete response.

        Parameters
        ----------
        head : h11.Response
            Head of the response.
        compute_timeout : callable
            Returns the seconds to wait for the next chunk.

        Raises
        ------
        EndpointError
            When this process has no room for the answer.
        """
        body = bytearray()
        pieces = 0
        try:
            while True:
                event = self.receive(compute_timeout())
                if isinstance(event, h11.EndOfMessage):
                    break
                self.check_deadline()
                body += event.data
                pieces += 1
                if self.memory is not None and not self.memory.resize(len(body)):
                    raise EndpointError("no room for the answer", Code.ENDPOINT_FAILED)
                if len(body) > MAX_RESPONSE_BYTES or pieces > MAX_RESPONSE_PIECES:
                    return MayHaveRun(
                        "answer too large",
                        AttemptResult.BROKEN,
                    )
        except ConnectionBrokenError as error:
            return MayHaveRun(str(error), AttemptResult.BROKEN)
        except ResponseTimeoutError as error:
            return MayHaveRun(str(error), AttemptResult.SILENT)
        self.release_connection()
        if not is_framed(list(head.headers)):
            self.record_unframed_end()
        headers = strip_connection_fields(list(head.headers))
        return Answered(HttpResponse(head.status_code, headers, bytes(body)))

    def receive(self, seconds: float) -> h11.Event:
        """Return the next event of the response.

        Raises
        ------
        ConnectionBrokenError, ResponseTimeoutError
            As for `EndpointConnection.receive`.
        """
        return self._connection.receive(max(seconds, 0.0))

    def check_deadline(self) -> None:
        """Check that the request's deadline has not passed for some time.

        An endpoint that sends bytes without end would otherwise never time out. An
        answer that is complete is delivered whenever its end is read.

        Raises
        ------
        ResponseTimeoutError
            When the deadline has passed.
        """
        if self._compute_time_left() < -DEADLINE_SLACK_SECONDS:
            raise ResponseTimeoutError("past the deadline")

    def may_wait_longer(self) -> bool:
        """Whether a silent stream is waited for, as nothing else could go on."""
        return False

    def release_connection(self) -> None:
        """Return the connection to the pool for another request."""
        self._pool.release(self._connection)
        self._connection = None

    def record_unframed_end(self) -> None:
        """Record the end of an answer that ended with its connection."""

    def close(self) -> None:
        """Close the connection, so that the request is no longer worked on."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _compute_time_left(self) -> float:
        return self._call.deadline - self._entry.clock()
