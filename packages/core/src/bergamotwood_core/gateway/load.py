"""Load on endpoints: requests sent by this entry and reports of other entries."""

from msgspec import Struct

from bergamotwood_core.ids import EndpointId, RequestId


class EndpointLoad(Struct, frozen=True, array_like=True):
    """Number and prefill time of the open requests at one endpoint.

    Parameters
    ----------
    requests : int
        Number of open requests.
    prefill_seconds : float
        Estimated time to prefill the prompts of requests whose answer has not started.
    """

    requests: int = 0
    prefill_seconds: float = 0.0


NO_LOAD = EndpointLoad()
# Decimals of a second in reports; prefilling a prompt takes at least some
# milliseconds.
REPORT_DECIMALS = 3


class LoadSum:
    """Sum of the loads reported by all entries, updated incrementally.

    Each entry receives this sum instead of the reports of all others, which keeps
    messages small with many entries. The sum is stored as integers in units of the
    last decimal, so that subtracting a report leaves no rounding error.
    """

    def __init__(self) -> None:
        self._sums: dict[EndpointId, tuple[int, int]] = {}

    def add(self, loads: dict[EndpointId, EndpointLoad]) -> None:
        """Add the report of one entry."""
        self._change(loads, 1)

    def subtract(self, loads: dict[EndpointId, EndpointLoad]) -> None:
        """Subtract a report that was added before."""
        self._change(loads, -1)

    def list_without(
        self, loads: dict[EndpointId, EndpointLoad]
    ) -> dict[EndpointId, EndpointLoad]:
        """Return the sum minus one of the reports included in it."""
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
    """Open requests of this entry at each endpoint, and the load from other entries."""

    def __init__(self) -> None:
        self._own: dict[EndpointId, dict[RequestId, float]] = {}
        self._others: dict[EndpointId, EndpointLoad] = {}

    def add_request(
        self, endpoint: EndpointId, request: RequestId, prefill_seconds: float
    ) -> None:
        """Add a request that is sent to an endpoint."""
        self._own.setdefault(endpoint, {})[request] = prefill_seconds

    def mark_prefilled(self, endpoint: EndpointId, request: RequestId) -> None:
        """Record that the answer has started, so the prompt needs no more prefill."""
        if request in self._own.get(endpoint, {}):
            self._own[endpoint][request] = 0.0

    def remove_request(self, endpoint: EndpointId, request: RequestId) -> None:
        """Remove a request that has ended at an endpoint."""
        requests = self._own.get(endpoint, {})
        requests.pop(request, None)
        if not requests:
            self._own.pop(endpoint, None)

    def set_others(self, loads: dict[EndpointId, EndpointLoad]) -> None:
        """Replace the summed load of all other entries."""
        self._others = loads

    def list_own(self) -> dict[EndpointId, EndpointLoad]:
        """Return the load that this entry puts on each endpoint."""
        return {
            endpoint: EndpointLoad(
                len(requests), round(sum(requests.values()), REPORT_DECIMALS)
            )
            for endpoint, requests in self._own.items()
        }

    def find(self, endpoint: EndpointId) -> EndpointLoad:
        """Return the load on an endpoint from this entry and all others."""
        requests = self._own.get(endpoint, {})
        own = EndpointLoad(len(requests), sum(requests.values()))
        return add_loads(own, self._others.get(endpoint, NO_LOAD))

    def count_own(self, endpoint: EndpointId) -> int:
        """Return the number of this entry's open requests at an endpoint."""
        return len(self._own.get(endpoint, {}))

    def count_requests(self) -> int:
        """Return the number of open requests of this entry."""
        return sum(len(requests) for requests in self._own.values())


def add_loads(one: EndpointLoad, other: EndpointLoad) -> EndpointLoad:
    """Return the sum of two loads."""
    return EndpointLoad(
        one.requests + other.requests, one.prefill_seconds + other.prefill_seconds
    )
