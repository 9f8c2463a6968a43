"""Loading of versions by the fake engine, with checks of fencing tokens."""

from gevent import sleep
from geventhttpclient import HTTPClient
from msgspec import Struct

from bergamotwood_core.messages import Address
from bergamotwood_fakes.web import Response, make_error_response, make_json_response

TIMEOUT_SECONDS = 30.0
DEFAULT_RETRY_SECONDS = 0.2
MAX_FETCH_ATTEMPTS = 50


class Order(Struct):
    """An order to load or unload a version, with its fencing token.

    The fencing token is the pair of `term` and `index`.
    """

    order: str
    version: str
    term: int
    index: int


class Loader:
    """Keeps the versions that an engine has loaded.

    Parameters
    ----------
    versions : tuple of str
        Versions loaded at the start.
    weights : Address or None
        The weight store; without one versions load instantly.
    checks_fencing : bool
        Whether orders with an outdated fencing token are refused.
    """

    def __init__(
        self,
        versions: tuple[str, ...],
        weights: Address | None,
        checks_fencing: bool,
    ) -> None:
        self.versions = dict.fromkeys(versions)
        self._weights = weights
        self._checks_fencing = checks_fencing
        self._newest_token = (0, 0)

    def execute(self, order: Order) -> Response:
        """Execute an order, or refuse it when its fencing token is outdated."""
        token = (order.term, order.index)
        if self._checks_fencing and token < self._newest_token:
            return make_error_response(
                409, f"fencing token {token} is older than newest"
            )
        self._newest_token = max(self._newest_token, token)
        match order.order:
            case "load":
                return self._load(order.version)
            case "unload":
                self.versions.pop(order.version, None)
                return make_json_response({"versions": list(self.versions)})
            case _:
                return make_error_response(400, f"unknown order {order.order}")

    def _load(self, version: str) -> Response:
        """Load a version unless it is already loaded."""
        if version in self.versions:
            return make_json_response({"versions": list(self.versions)})
        if self._weights is not None and not self._fetch(self._weights, version):
            return make_error_response(500, f"weight store did not give {version}")
        self.versions[version] = None
        return make_json_response({"versions": list(self.versions)})

    def _fetch(self, store: Address, version: str) -> bool:
        """Fetch weights, retrying while the store's rate limit is exceeded."""
        client = HTTPClient(store.host, store.port, network_timeout=TIMEOUT_SECONDS)
        try:
            for _ in range(MAX_FETCH_ATTEMPTS):
                response = client.get(f"/v1/weights/{version}")
                response.read()
                if response.status_code != 429:
                    return response.status_code == 200
                sleep(float(response.get("Retry-After", DEFAULT_RETRY_SECONDS)))
            return False
        except OSError:
            return False
        finally:
            client.close()
