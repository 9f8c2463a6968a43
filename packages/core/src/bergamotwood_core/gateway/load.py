"""Load on endpoints: requests sent by this entry and reports of other entries."""

from msgspec import Struct

from bergamotwood_core.ids import EndpointId, RequestId


class PriorityLoad(Struct, frozen=True, array_like=True):
    """Open requests of one priority at one endpoint; integers keep reports small.

    Parameters
    ----------
    priority : int
        Priority of the requests; 0 is the most urgent.
    requests : int
        Number of open requests.
    prefill_ms : int
        Estimated time to prefill those of them whose answer has not started.
    """

    priority: int
    requests: int
    prefill_ms: int = 0


class EndpointLoad(Struct, frozen=True, array_like=True):
    """Number and prefill time of the open requests at one endpoint.

    Parameters
    ----------
    requests : int
        Number of open requests.
    prefill_seconds : float
        Estimated time to prefill the prompts of requests whose answer has not started.
    urgent : tuple of PriorityLoad
        Those of the requests whose priority is known, by priority, most urgent first.
        The reports of older builds have none.
    """

    requests: int = 0
    prefill_seconds: float = 0.0
    urgent: tuple[PriorityLoad, ...] = ()

    @property
    def unknown_requests(self) -> int:
        """Number of the requests whose priority is unknown."""
        return self.requests - sum(share.requests for share in self.urgent)

    def count_ahead(self, priority: int) -> tuple[int, float]:
        """Return the requests and prefill seconds that a new request has to wait for.

        These are of the same or a more urgent priority. Where the priority is unknown,
        it is taken to be the same.
        """
        requests, prefill_seconds = self.requests, self.prefill_seconds
        for share in self.urgent:
            if share.priority > priority:
                requests -= share.requests
                prefill_seconds -= share.prefill_ms / MILLI
        return requests, max(prefill_seconds, 0.0)


NO_LOAD = EndpointLoad()
MILLI = 1_000
# Decimals of a second in reports; prefilling a prompt takes at least some
# milliseconds.
REPORT_DECIMALS = 3


class _Sum(Struct):
    """Sum of the loads on one endpoint, in requests and milliseconds of prefill."""

    requests: int = 0
    prefill_ms: int = 0
    shares: dict[int, tuple[int, int]] = {}

    def change(self, load: EndpointLoad, sign: int) -> None:
        """Add a load, or subtract it if `sign` is -1."""
        self.requests += sign * load.requests
        self.prefill_ms += sign * _count_milliseconds(load.prefill_seconds)
        for share in load.urgent:
            requests, prefill_ms = self.shares.get(share.priority, (0, 0))
            requests += sign * share.requests
            prefill_ms += sign * share.prefill_ms
            if requests:
                self.shares[share.priority] = requests, prefill_ms
            else:
                self.shares.pop(share.priority, None)

    def make_load(self) -> EndpointLoad:
        """Return the sum as a load."""
        return EndpointLoad(
            self.requests, self.prefill_ms / MILLI, _list_shares(self.shares)
        )


class LoadSum:
    """Sum of the loads reported by all entries, updated incrementally.

    Each entry receives this sum instead of the reports of all others, which keeps
    messages small with many entries. The sum is stored as integers in units of the
    last decimal, so that subtracting a report leaves no rounding error. The loads are
    cached, as each poll lists them all and few change between two polls.
    """

    def __init__(self) -> None:
        self._sums: dict[EndpointId, _Sum] = {}
        self._loads: dict[EndpointId, EndpointLoad] = {}
        self._changed: set[EndpointId] = set()

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
        self._refresh()
        remaining = self._loads.copy()
        for endpoint, own in loads.items():
            total = self._sums.get(endpoint)
            if total is None:
                continue
            others = _Sum(total.requests, total.prefill_ms, total.shares.copy())
            others.change(own, -1)
            if others.requests > 0:
                remaining[endpoint] = others.make_load()
            else:
                del remaining[endpoint]
        return remaining

    def _change(self, loads: dict[EndpointId, EndpointLoad], sign: int) -> None:
        for endpoint, load in loads.items():
            total = self._sums.setdefault(endpoint, _Sum(shares={}))
            total.change(load, sign)
            self._changed.add(endpoint)
            if not total.requests:
                del self._sums[endpoint]

    def _refresh(self) -> None:
        for endpoint in self._changed:
            total = self._sums.get(endpoint)
            if total is None:
                self._loads.pop(endpoint, None)
            else:
                self._loads[endpoint] = total.make_load()
        self._changed.clear()


def _count_milliseconds(seconds: float) -> int:
    return round(seconds * MILLI)


def _list_shares(shares: dict[int, tuple[int, int]]) -> tuple[PriorityLoad, ...]:
    return tuple(
        PriorityLoad(priority, *shares[priority]) for priority in sorted(shares)
    )


class _OpenRequest(Struct):
    """A request of this entry at an endpoint; `priority` is None where it is unused."""

    prefill_seconds: float
    priority: int | None


class LoadTable:
    """Open requests of this entry at each endpoint, and the load from other entries."""

    def __init__(self) -> None:
        self._own: dict[EndpointId, dict[RequestId, _OpenRequest]] = {}
        self._others: dict[EndpointId, EndpointLoad] = {}

    def add_request(
        self,
        endpoint: EndpointId,
        request: RequestId,
        prefill_seconds: float,
        priority: int | None = None,
    ) -> None:
        """Add a request that is sent to an endpoint.

        Its priority is reported to the other entries only where it is given.
        """
        self._own.setdefault(endpoint, {})[request] = _OpenRequest(
            prefill_seconds, priority
        )

    def mark_prefilled(self, endpoint: EndpointId, request: RequestId) -> None:
        """Record that the answer has started, so the prompt needs no more prefill."""
        if request in self._own.get(endpoint, {}):
            self._own[endpoint][request].prefill_seconds = 0.0

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
        loads = {}
        for endpoint in self._own:
            own = self._sum_own(endpoint)
            loads[endpoint] = EndpointLoad(
                own.requests, round(own.prefill_seconds, REPORT_DECIMALS), own.urgent
            )
        return loads

    def find(self, endpoint: EndpointId) -> EndpointLoad:
        """Return the load on an endpoint from this entry and all others."""
        return add_loads(self._sum_own(endpoint), self._others.get(endpoint, NO_LOAD))

    def count_own(self, endpoint: EndpointId) -> int:
        """Return the number of this entry's open requests at an endpoint."""
        return len(self._own.get(endpoint, {}))

    def count_requests(self) -> int:
        """Return the number of open requests of this entry."""
        return sum(len(requests) for requests in self._own.values())

    def _sum_own(self, endpoint: EndpointId) -> EndpointLoad:
        requests = self._own.get(endpoint)
        if not requests:
            return NO_LOAD
        shares: dict[int, tuple[int, int]] = {}
        for request in requests.values():
            if request.priority is not None:
                count, prefill_ms = shares.get(request.priority, (0, 0))
                prefill_ms += _count_milliseconds(request.prefill_seconds)
                shares[request.priority] = count + 1, prefill_ms
        prefill_seconds = sum(request.prefill_seconds for request in requests.values())
        return EndpointLoad(len(requests), prefill_seconds, _list_shares(shares))


def add_loads(one: EndpointLoad, other: EndpointLoad) -> EndpointLoad:
    """Return the sum of two loads."""
    return EndpointLoad(
        one.requests + other.requests,
        one.prefill_seconds + other.prefill_seconds,
        _add_shares(one.urgent, other.urgent),
    )


def _add_shares(
    one: tuple[PriorityLoad, ...], other: tuple[PriorityLoad, ...]
) -> tuple[PriorityLoad, ...]:
    if not one or not other:
        return one or other
    shares = {share.priority: (share.requests, share.prefill_ms) for share in one}
    for share in other:
        requests, prefill_ms = shares.get(share.priority, (0, 0))
        shares[share.priority] = (
            requests + share.requests,
            prefill_ms + share.prefill_ms,
        )
    return _list_shares(shares)
