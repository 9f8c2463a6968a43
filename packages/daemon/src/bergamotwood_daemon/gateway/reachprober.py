"""Finds out when an entry can connect to a lost service again.

Requests are relayed meanwhile, so that none has to be tried for it.
"""

from collections.abc import Callable
from random import Random

from gevent import Greenlet, joinall, sleep, spawn

from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.reachability import compute_probe_interval
from bergamotwood_daemon.gateway.client import ConnectionPool, NotConnectedError

# Fraction by which intervals vary, so that entries do not probe in step.
INTERVAL_JITTER = 0.2


class ReachProber:
    """Opens connections to endpoints of the services that may be out of reach.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that opens the connections, and keeps those that succeed.
    list_targets : callable
        Returns the endpoints to probe next; empty when all is well.
    count_probing : callable
        Returns the number of entries that probe.
    on_connection, on_failure : callable
        Called with the endpoint that was probed.
    rng : Random
        Varies the intervals.

    Attributes
    ----------
    probes : int
        Number of connections that it has tried to open.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        list_targets: Callable[[], list[EndpointHeartbeat]],
        count_probing: Callable[[], int],
        on_connection: Callable[[EndpointHeartbeat], None],
        on_failure: Callable[[EndpointHeartbeat], None],
        rng: Random,
    ) -> None:
        self.probes = 0
        self._pool = pool
        self._list_targets = list_targets
        self._count_probing = count_probing
        self._on_connection = on_connection
        self._on_failure = on_failure
        self._rng = rng
        self._greenlet: Greenlet | None = None

    def start(self) -> None:
        """Probe until every service is in reach again."""
        if self._greenlet is None or self._greenlet.dead:
            self._greenlet = spawn(self._run)

    def stop(self) -> None:
        """Stop probing."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while targets := self._list_targets():
            joinall([spawn(self._probe, heartbeat) for heartbeat in targets])
            interval = compute_probe_interval(self._count_probing())
            sleep(interval * self._rng.uniform(1.0 - INTERVAL_JITTER, 1.0))

    def _probe(self, heartbeat: EndpointHeartbeat) -> None:
        self.probes += 1
        try:
            connection = self._pool.open(heartbeat.address)
        except NotConnectedError:
            self._on_failure(heartbeat)
            return
        self._pool.keep(connection)
        self._on_connection(heartbeat)
