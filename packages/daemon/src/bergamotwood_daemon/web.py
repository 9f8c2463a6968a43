"""HTTP requests and responses of callers, and problem documents."""

from collections.abc import Callable, Generator, Iterable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from gevent import Timeout
from msgspec import DecodeError, json

from bergamotwood_core.bounds import parse_count
from bergamotwood_core.errors import (
    BergamotwoodError,
    Code,
    RefusedError,
    RequestError,
    SettingsError,
    TicketError,
)
from bergamotwood_daemon.connection import (
    BODY_MEMORY,
    FULL_RETRY_SECONDS,
    BodyMemory,
)

if TYPE_CHECKING:
    from bergamotwood_daemon.settings import Limits

# Bytes of a body that are read at a time.
READ_BYTES = 65_536
JSON = "application/json"
PROBLEM_JSON = "application/problem+json"
EVENT_STREAM = "text/event-stream"

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


@dataclass(frozen=True, slots=True)
class Response:
    """An answer to a caller."""

    status: int
    content_type: str
    body: Iterable[bytes]
    headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True)
class WebRequest:
    """A caller's HTTP request.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    limits : Limits
        Limits on the size of the body and the time to receive it.
    """

    environ: Environ
    limits: "Limits"
    _body: bytes | None = field(default=None)

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def path(self) -> str:
        """Path, without the query."""
        return self.environ["PATH_INFO"]

    @property
    def query(self) -> dict[str, list[str]]:
        """Query parameters."""
        return parse_qs(self.environ.get("QUERY_STRING", ""))

    def read_parameter(self, name: str) -> str | None:
        """Return the first value of a query parameter."""
        values = self.query.get(name)
        return values[0] if values else None

    def read_number(self, name: str, default: int, maximum: int) -> int:
        """Return a query parameter as a positive number, at most `maximum`.

        Raises
        ------
        RequestError
            The parameter is not a positive number.
        """
        text = self.read_parameter(name)
        if text is None:
            return default
        number = parse_count(text, maximum)
        if not number:
            raise RequestError(f"{name}: not a positive number: {text!r:.40}")
        return number

    def read_header(self, name: str) -> str | None:
        """Return a header field; None if it is absent."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"))

    def read_bearer_token(self) -> str:
        """Return the bearer key, empty when there is none."""
        scheme, _, key = (self.read_header("authorization") or "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    def read_body(self) -> bytes:
        """Read the whole body, once.

        Raises
        ------
        RequestError
            The body is too large, incomplete or too slow.
        RefusedError
            Others need the memory.
        """
        if self._body is None:
            self._body = self._read_body()
        return self._body

    def read_json(self) -> Any:
        """Decode the body as a JSON object.

        Raises
        ------
        RequestError
            As for `read_body`, or the body is not a JSON object.
        """
        try:
            document = json.decode(self.read_body())
        except (DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise RequestError(f"body: not JSON: {error}") from error
        if not isinstance(document, dict):
            raise RequestError("body: not a JSON object")
        return document

    def _read_body(self) -> bytes:
        maximum = self.limits.body_bytes
        declared = parse_count(self.environ.get("CONTENT_LENGTH") or "0", maximum + 1)
        if declared is not None and declared > maximum:
            raise RequestError(
                f"body: larger than {maximum} bytes", Code.BODY_TOO_LARGE
            )
        try:
            with Timeout(self.limits.body_seconds):
                body = self._receive_body(maximum + 1)
        except Timeout as error:
            raise RequestError(
                f"body: not received within {self.limits.body_seconds} s",
                Code.SENDER_TOO_SLOW,
            ) from error
        except OSError as error:
            raise RequestError("body: cut off", Code.BODY_INCOMPLETE) from error
        if len(body) > maximum:
            raise RequestError(
                f"body: larger than {maximum} bytes", Code.BODY_TOO_LARGE
            )
        if declared is not None and len(body) < declared:
            raise RequestError("body: cut off", Code.BODY_INCOMPLETE)
        return body

    def _receive_body(self, maximum: int) -> bytes:
        """Read at most some bytes of the body, while there is room for them."""
        source = self.environ["wsgi.input"]
        memory: BodyMemory | None = self.environ.get(BODY_MEMORY)
        if memory is None:
            return source.read(maximum)
        memory.start()
        left = maximum
        while piece := source.read(min(READ_BYTES, left)):
            left -= len(piece)
            if not memory.append(piece):
                break
        body = memory.finish()
        if body is None:
            raise RefusedError(
                "body: no room for it",
                Code.OVERLOADED,
                retry_after=FULL_RETRY_SECONDS,
            )
        return body


class ClosingBody:
    """A response body with a callback for when it is closed.

    Parameters
    ----------
    pieces : iterable of bytes
        The body.
    on_close : callable
        Called once, even if the body was never read.
    """

    def __init__(self, pieces: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._pieces = pieces
        self._on_close = on_close
        self._is_open = True

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._pieces)

    def close(self) -> None:
        """Close the body; a second call has no effect."""
        if not self._is_open:
            return
        self._is_open = False
        try:
            if isinstance(self._pieces, ClosingBody | Generator):
                self._pieces.close()
        finally:
            self._on_close()


def answer_json(document: object, status: int = 200) -> Response:
    """Answer with a JSON document."""
    return Response(status, JSON, [json.encode(document)])


def answer_problem(
    error: BergamotwoodError, addresses: tuple[str, ...] = ()
) -> Response:
    """Answer with a problem document (RFC 9457)."""
    headers = ()
    if error.retry_after is not None:
        headers = (("Retry-After", str(max(1, round(error.retry_after)))),)
    body = encode_problem(error, addresses=addresses)
    return Response(error.status, PROBLEM_JSON, [body], headers)


def encode_problem(
    error: BergamotwoodError, request_id: str = "", addresses: tuple[str, ...] = ()
) -> bytes:
    """Encode an error as a problem document, with other entries to try."""
    document = {
        "type": f"urn:bergamotwood:error:{int(error.code)}",
        "title": error.code.name.lower(),
        "status": error.status,
        "detail": error.detail,
        "code": int(error.code),
        "run": str(error.run),
        # Clients of OpenAI-compatible interfaces read the reason here.
        "error": {"message": error.detail, "code": int(error.code)},
    }
    if request_id:
        document["request"] = request_id
    if addresses:
        document["addresses"] = addresses
    if error.retry_after is not None:
        document["retry_after"] = error.retry_after
    if isinstance(error, TicketError | SettingsError) and error.faults:
        document["faults"] = error.faults
    return json.encode(document)


def send_response(
    response: Response, start_response: StartResponse, close_connection: bool
) -> Iterable[bytes]:
    """Pass a response to the WSGI server, and have it close the connection if asked."""
    phrase = HTTPStatus(response.status).phrase
    headers = [("Content-Type", response.content_type), *response.headers]
    if isinstance(response.body, list):
        length = sum(len(piece) for piece in response.body)
        headers.append(("Content-Length", str(length)))
    if close_connection:
        headers.append(("Connection", "close"))
    start_response(f"{response.status} {phrase}", headers)
    return response.body
