"""HTTP requests and responses that the gateway forwards."""

from email.utils import parsedate_to_datetime

from msgspec import Struct

Headers = list[tuple[bytes, bytes]]

# Hop-by-hop fields (RFC 9110, section 7.6.1) and fields on message framing.
CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class HttpRequest(Struct):
    """A complete request of a caller.

    Parameters
    ----------
    method, target : bytes
        From the request line; the target is forwarded unchanged.
    headers : list of (bytes, bytes)
        Lower-case names and values, in order.
    body : bytes
        The complete body.
    received_at : float
        Time on the daemon's clock when its first byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """Query of the target."""
        return self.target.partition(b"?")[2].decode("latin-1")

    @property
    def host(self) -> str:
        """Requested host in lower case, without the port."""
        value = (find_field(self.headers, b"host") or "").strip().lower()
        if value.startswith("["):
            return value.partition("]")[0] + "]"
        return value.partition(":")[0]


class HttpResponse(Struct):
    """A complete response.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of (bytes, bytes)
        Lower-case names and values.
    body : bytes
        The complete body.
    """

    status: int
    headers: Headers
    body: bytes = b""


def find_field(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header field; None if it is absent."""
    for field, value in headers:
        if field == name:
            return value.decode("latin-1")
    return None


def read_retry_after(headers: Headers) -> float | None:
    """Return the seconds in a `Retry-After` field; None if it is absent or invalid.

    A date is taken relative to the `Date` field of the same response (RFC 9110,
    10.2.3), so that the clocks of the two sides need not agree.
    """
    value = (find_field(headers, b"retry-after") or "").strip()
    if not value:
        return None
    try:
        seconds = float(value)
    except ValueError:
        seconds = _subtract_dates(value, find_field(headers, b"date") or "")
    return seconds if seconds is not None and seconds > 0.0 else None


def _subtract_dates(later: str, earlier: str) -> float | None:
    try:
        span = parsedate_to_datetime(later) - parsedate_to_datetime(earlier)
    except (ValueError, TypeError):
        return None
    return span.total_seconds()


def is_framed(headers: Headers) -> bool:
    """Whether a response states where its body ends, instead of closing after it."""
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)


def strip_connection_fields(headers: Headers) -> Headers:
    """Return the header fields without hop-by-hop and framing fields."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_FIELDS and name not in connection_options
    ]
