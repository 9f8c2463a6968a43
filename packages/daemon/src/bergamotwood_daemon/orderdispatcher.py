"""Sends orders to endpoints, only while this replica holds the leader's lease."""

from collections.abc import Callable

from gevent import spawn
from msgspec import Struct, json

from bergamotwood_core.clock import Seconds
from bergamotwood_core.control import ControlMachine
from bergamotwood_core.errors import EndpointError
from bergamotwood_core.orders import LoadOrder, LoadRateLimit, OrderTables, order_loads
from bergamotwood_core.tables import DirectoryTables
from bergamotwood_daemon.endpointcall import EndpointCall, Header
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.log import log_event

ORDER_PATH = "/v1/orders"
CONNECT_TIMEOUT_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 10.0
MAX_REPLY_BYTES = 65_536


class OrderBody(Struct, frozen=True):
    """JSON body of an order to an endpoint."""

    order: str
    version: str
    term: int
    index: int


class OrderDispatcher:
    """Decides and sends the orders of one control replica.

    Parameters
    ----------
    group : LogGroup
        The control group, which has the lease and the fencing token.
    machine : ControlMachine
        Control state, which names the versions that should be loaded.
    directory : DirectoryTables
        Directory of endpoints and the versions that they have loaded.
    rate_limit : LoadRateLimit
        Rate limit of the weight store.
    key : str
        Key that authenticates orders to endpoints.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        group: LogGroup,
        machine: ControlMachine,
        directory: DirectoryTables,
        rate_limit: LoadRateLimit,
        key: str,
        clock: Callable[[], Seconds],
    ) -> None:
        self._group = group
        self._machine = machine
        self._directory = directory
        self._rate_limit = rate_limit
        self._key = key
        self._clock = clock
        self._tables = OrderTables()

    def tick(self, now: Seconds) -> None:
        """Send the load orders that are due."""
        holds_lease = self._group.holds_lease(now)
        token = self._group.build_fencing_token() if holds_lease else None
        orders = order_loads(
            self._machine.tables,
            self._directory,
            self._tables,
            token,
            self._rate_limit,
            now,
        )
        for order in orders:
            spawn(self._send, order)

    def _send(self, order: LoadOrder) -> None:
        body = OrderBody("load", order.version, order.token.term, order.token.index)
        headers = (
            Header("Content-Type", "application/json"),
            Header("Authorization", f"Bearer {self._key}"),
        )
        call = EndpointCall(
            order.address, "POST", ORDER_PATH, headers, json.encode(body)
        )
        try:
            call.dial(CONNECT_TIMEOUT_SECONDS)
            # The lease may have ended while the connection was opened.
            if not self._is_token_current(order):
                return
            call.send(ORDER_TIMEOUT_SECONDS)
            call.read_all(ORDER_TIMEOUT_SECONDS, MAX_REPLY_BYTES)
            self._log(order, f"Endpoint answered {call.status}.")
        except EndpointError as error:
            self._log(order, f"Order failed: {error.detail}.")
        finally:
            call.close()

    def _is_token_current(self, order: LoadOrder) -> bool:
        same_term = self._group.term == order.token.term
        return same_term and self._group.holds_lease(self._clock())

    def _log(self, order: LoadOrder, message: str) -> None:
        log_event(
            "orders",
            message,
            endpoint=order.endpoint,
            version=order.version,
            term=order.token.term,
            index=order.token.index,
        )
