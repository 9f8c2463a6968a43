"""Client of the rating service, which scores answers from 0 to 1."""

from msgspec import MsgspecError, Struct, json

from bergamotwood_core.errors import EndpointError
from bergamotwood_core.ids import RequestClass
from bergamotwood_core.messages import Address
from bergamotwood_daemon.endpointcall import EndpointCall, Header
from bergamotwood_daemon.settings import SocketAddress

RATING_PATH = "/v1/ratings"
RATING_TIMEOUT_SECONDS = 3.0
CONNECT_TIMEOUT_SECONDS = 0.5
MAX_REPLY_BYTES = 4_096


class RatingRequest(Struct, frozen=True):
    """An answer to rate."""

    request: str
    workspace: str
    request_class: RequestClass
    version: str
    answer: str


class _Rating(Struct):
    score: float


class RatingClient:
    """Client of the rating service.

    Parameters
    ----------
    address : SocketAddress or None
        Address of the service; None if there is no rating service.
    """

    def __init__(self, address: SocketAddress | None) -> None:
        self._address = Address(address.host, address.port) if address else None

    def rate(self, request: RatingRequest) -> float | None:
        """Return the score; None when the service refused or failed."""
        if self._address is None:
            return None
        call = EndpointCall(
            self._address,
            "POST",
            RATING_PATH,
            (Header("Content-Type", "application/json"),),
            json.encode(request),
        )
        try:
            call.dial(CONNECT_TIMEOUT_SECONDS)
            call.send(RATING_TIMEOUT_SECONDS)
            body = call.read_all(RATING_TIMEOUT_SECONDS, MAX_REPLY_BYTES)
        except EndpointError:
            return None
        finally:
            call.close()
        if call.status != 200:
            return None
        try:
            return json.decode(body, type=_Rating).score
        except (MsgspecError, UnicodeDecodeError, RecursionError):
            return None
