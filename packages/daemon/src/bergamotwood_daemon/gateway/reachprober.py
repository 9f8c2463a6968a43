"""Finds out when an entry can connect to a lost service again.

Requests are relayed meanwhile, so that none has to be tried for it.
"""

from collections.abc import Callable
from random import Random

from gevent import Greenlet, sleep, spawn

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.probing import EntryCount, ProbeSchedule
from bergamotwood_core.ids import ServiceName
from bergamotwood_daemon.gateway.client import ConnectionPool, NotConnectedError

# Interval between checks of which probes are due; short beside the time between probes.
TICK_SECONDS = 0.05


class ReachProber:
    """Opens connections to endpoints of the services that may be out of reach.

    Each service is probed with one connection at a time.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that opens the connections, and keeps those that succeed.
    list_services : callable
        Returns the services to probe; empty when all is well.
    choose_target : callable
        Returns the endpoint of a service to probe next, or None.
    on_connection, on_failure : callable
        Called with the endpoint that was probed.
    clock : callable
        Returns the current time.
    rng : Random
        Varies the intervals.

    Attributes
    ----------
    probes : int
        Number of connections that it has tried to open.
    entry_count : EntryCount
        Number of entries that may be probing; to be updated with each list of them.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        list_services: Callable[[], list[ServiceName]],
        choose_target: Callable[[ServiceName], EndpointHeartbeat | None],
        on_connection: Callable[[EndpointHeartbeat], None],
        on_failure: Callable[[EndpointHeartbeat], None],
        clock: Callable[[], Seconds],
        rng: Random,
    ) -> None:
        self.probes = 0
        self.entry_count = EntryCount()
        self._pool = pool
        self._list_services = list_services
        self._choose_target = choose_target
        self._on_connection = on_connection
        self._on_failure = on_failure
        self._clock = clock
        self._schedule = ProbeSchedule(rng)
        self._running: dict[ServiceName, Greenlet] = {}
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
        is_lost = True
        while is_lost:
            services = self._list_services()
            is_lost = bool(services)
            now = self._clock()
            count = self.entry_count.find(now)
            for service in self._schedule.advance(services, count, now):
                self._start_probe(service, now)
            sleep(TICK_SECONDS)

    def _start_probe(self, service: ServiceName, now: Seconds) -> None:
        running = self._running.get(service)
        if running is not None and not running.dead:
            return
        heartbeat = self._choose_target(service)
        if heartbeat is not None:
            self._schedule.record_probe(service, now)
            self._running[service] = spawn(self._probe, heartbeat)

    def _probe(self, heartbeat: EndpointHeartbeat) -> None:
        self.probes += 1
        try:
            connection = self._pool.open(heartbeat.address)
        except NotConnectedError:
            self._on_failure(heartbeat)
            return
        self._pool.keep(connection)
        self._on_connection(heartbeat)
