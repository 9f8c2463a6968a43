"""Load that an entry has put on endpoints, and that others report."""

from msgspec import Struct

from bergamotwood_core.ids import EndpointId, RequestId


class EndpointLoad(Struct, frozen=True, array_like=True):
    """Load on one endpoint.

    Parameters
    ----------
    requests : int
        Requests that it has.
    prefill_seconds : float
        Time that it needs to read the prompts of those not begun.
    """

    requests: int = 0
    prefill_seconds: float = 0.0


NO_LOAD = EndpointLoad()
# Decimals of a second in reports: a prompt takes some milliseconds at least.
REPORT_DECIMALS = 3


class LoadSum:
    """Sum of the loads that many entries report, kept as reports come and go.

    Answers the load of many entries: the sum is sent to each of them instead of
    all reports to all. It is kept in whole units of the last decimal, so that
    what is added and taken away leaves nothing behind.
    """

    def __init__(self) -> None:
        self._sums: dict[EndpointId, tuple[int, int]] = {}

    def add(self, loads: dict[EndpointId, EndpointLoad]) -> None:
        """Add one entry's report."""
        self._change(loads, 1)

    def subtract(self, loads: dict[EndpointId, EndpointLoad]) -> None:
        """Take away a report that was added."""
        self._change(loads, -1)

    def list_without(
        self, loads: dict[EndpointId, EndpointLoad]
    ) -> dict[EndpointId, EndpointLoad]:
        """Return the sum without one report that is part of it."""
        remaining = {}
        for endpoint, (requests, units) in self._sums.items():
            own = loads.get(endpoint, NO_LOAD)
            others = requests - own.requests
            if others > 0:
                seconds = (units - _count_units(own)) / 10**REPORT_DECIMALS
                remaining[endpoint] = EndpointLoad(others, seconds)
        return remaining

    def _change(self, loads: dict[EndpointId, EndpointLoad], sign: int) -> None:
        for endpoint, load in loads.items():
            requests, units = self._sums.get(endpoint, (0, 0))
            requests += sign * load.requests
            units += sign * _count_units(load)
            if requests:
                self._sums[endpoint] = requests, units
            else:
                self._sums.pop(endpoint, None)


def _count_units(load: EndpointLoad) -> int:
    return round(load.prefill_seconds * 10**REPORT_DECIMALS)


class LoadTable:
    """Requests of one entry at each endpoint."""

    def __init__(self) -> None:
        self._own: dict[EndpointId, dict[RequestId, float]] = {}
        self._others: dict[EndpointId, EndpointLoad] = {}

    def add_request(
        self, endpoint: EndpointId, request: RequestId, prefill_seconds: float
    ) -> None:
        """Count a request that is sent to an endpoint."""
        self._own.setdefault(endpoint, {})[request] = prefill_seconds

    def mark_prefilled(self, endpoint: EndpointId, request: RequestId) -> None:
        """Note that a request's answer begins: its prompt is read."""
        if request in self._own.get(endpoint, {}):
            self._own[endpoint][request] = 0.0

    def remove_request(self, endpoint: EndpointId, request: RequestId) -> None:
        """Count a request that is over at an endpoint."""
        requests = self._own.get(endpoint, {})
        requests.pop(request, None)
        if not requests:
            self._own.pop(endpoint, None)

    def set_others(self, loads: dict[EndpointId, EndpointLoad]) -> None:
        """Take in the sum of what all other entries report."""
        self._others = loads

    def list_own(self) -> dict[EndpointId, EndpointLoad]:
        """Return the entry's own load on each endpoint."""
        return {
            endpoint: EndpointLoad(
                len(requests), round(sum(requests.values()), REPORT_DECIMALS)
            )
            for endpoint, requests in self._own.items()
        }

    def find(self, endpoint: EndpointId) -> EndpointLoad:
        """Return the load on an endpoint, of this entry and all others."""
        requests = self._own.get(endpoint, {})
        own = EndpointLoad(len(requests), sum(requests.values()))
        return add_loads(own, self._others.get(endpoint, NO_LOAD))

    def count_requests(self) -> int:
        """Return all requests of this entry at endpoints."""
        return sum(len(requests) for requests in self._own.values())


def add_loads(one: EndpointLoad, other: EndpointLoad) -> EndpointLoad:
    """Return two loads together."""
    return EndpointLoad(
        one.requests + other.requests, one.prefill_seconds + other.prefill_seconds
    )
