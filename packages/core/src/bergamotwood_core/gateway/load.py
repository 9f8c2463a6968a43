"""Load that an entry has put on endpoints, and that others report."""

from collections.abc import Iterable

from msgspec import Struct

from bergamotwood_core.ids import EndpointId, RequestId


class EndpointLoad(Struct, frozen=True, array_like=True):
    """Load on one endpoint.

    Parameters
    ----------
    requests : int
        Requests that it has.
    reading_seconds : float
        Time that it needs to read the prompts of those not begun.
    """

    requests: int = 0
    reading_seconds: float = 0.0


NO_LOAD = EndpointLoad()


class LoadTable:
    """Requests of one entry at each endpoint."""

    def __init__(self) -> None:
        self._open: dict[EndpointId, dict[RequestId, float]] = {}
        self._reported: dict[EndpointId, EndpointLoad] = {}

    def start(
        self, endpoint: EndpointId, request: RequestId, reading_seconds: float
    ) -> None:
        """Count a request that is sent to an endpoint."""
        self._open.setdefault(endpoint, {})[request] = reading_seconds

    def begin(self, endpoint: EndpointId, request: RequestId) -> None:
        """Note that a request's answer begins: its prompt is read."""
        if request in self._open.get(endpoint, {}):
            self._open[endpoint][request] = 0.0

    def end(self, endpoint: EndpointId, request: RequestId) -> None:
        """Count a request that is over at an endpoint."""
        requests = self._open.get(endpoint, {})
        requests.pop(request, None)
        if not requests:
            self._open.pop(endpoint, None)

    def report(self, loads: Iterable[dict[EndpointId, EndpointLoad]]) -> None:
        """Take in what all other entries report."""
        totals: dict[EndpointId, EndpointLoad] = {}
        for load in loads:
            for endpoint, item in load.items():
                totals[endpoint] = add_loads(totals.get(endpoint, NO_LOAD), item)
        self._reported = totals

    def describe(self) -> dict[EndpointId, EndpointLoad]:
        """Return the entry's own load on each endpoint."""
        return {
            endpoint: EndpointLoad(len(requests), round(sum(requests.values()), 3))
            for endpoint, requests in self._open.items()
        }

    def find(self, endpoint: EndpointId) -> EndpointLoad:
        """Return the load on an endpoint, of this entry and all others."""
        requests = self._open.get(endpoint, {})
        own = EndpointLoad(len(requests), sum(requests.values()))
        return add_loads(own, self._reported.get(endpoint, NO_LOAD))

    def count(self) -> int:
        """Return all requests of this entry at endpoints."""
        return sum(len(requests) for requests in self._open.values())


def add_loads(one: EndpointLoad, other: EndpointLoad) -> EndpointLoad:
    """Return two loads together."""
    return EndpointLoad(
        one.requests + other.requests, one.reading_seconds + other.reading_seconds
    )
