"""Gateway daemon: runs an entry, a control replica, or both."""

from collections.abc import Callable
from random import Random, SystemRandom
from time import time_ns
from typing import TYPE_CHECKING

from gevent import Timeout, sleep, spawn
from gevent.event import Event

from bergamotwood_core.gateway.configuration import CallerLimits
from bergamotwood_core.ids import Incarnation
from bergamotwood_core.memory import MemoryAccount, MemoryLimits
from bergamotwood_core.messages import Address, parse_address
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway.callerconnection import Handler
from bergamotwood_daemon.gateway.channels import NO_KEY
from bergamotwood_daemon.gateway.dialect import Dialect
from bergamotwood_daemon.gateway.entry import GatewayEntry
from bergamotwood_daemon.gateway.forwarder import Forwarder
from bergamotwood_daemon.gateway.relay import extend_limits
from bergamotwood_daemon.gateway.server import HttpServer
from bergamotwood_daemon.gateway.settings import GatewaySettings
from bergamotwood_daemon.log import log_event, log_failure
from bergamotwood_daemon.peer import PeerServer

if TYPE_CHECKING:
    from bergamotwood_daemon.gateway.replica import GatewayReplica

NANOSECONDS_PER_MICROSECOND = 1_000
MAINTENANCE_INTERVAL_SECONDS = 1.0
# Callers may use a list of entries up to three times its time to live.
DRAIN_TTLS = 3.0
# Part of the grace period that is reserved for the exit of the process.
EXIT_RESERVE_SECONDS = 1.0
# Limit on stopping the replica: leadership and vote are handed over within some
# heartbeats, or not at all.
REPLICA_STOP_SECONDS = 1.5
# Limit on closing the server for other daemons.
PEER_STOP_SECONDS = 0.2
POLL_INTERVAL_SECONDS = 0.05


class GatewayDaemon:
    """Runs the roles that its settings name.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the daemon.
    dialect : Dialect
        Translates the platform's header fields and documents.
    """

    def __init__(self, settings: GatewaySettings, dialect: Dialect) -> None:
        self.settings = settings
        self.rng = Random(SystemRandom().getrandbits(64))
        self.entry: GatewayEntry | None = None
        self.replica: GatewayReplica | None = None
        self.memory = MemoryAccount(
            MemoryLimits(settings.memory_bytes, settings.descriptors)
        )
        self._stopped = Event()
        self._is_stopping = False
        self._servers: list[HttpServer] = []
        self._caller_server: HttpServer | None = None
        self._relay_server: HttpServer | None = None
        self._peer_server: PeerServer | None = None
        if settings.caller_address is not None:
            self._make_entry(dialect)
        if settings.control_address is not None:
            self._make_replica(dialect)
        for part in (self.entry, self.replica):
            if part is not None:
                part.memory = self.memory

    def serve(self, listen: Address | None, handler: Handler) -> None:
        """Serve requests at a further address, unless `listen` is None."""
        if listen is not None:
            server = HttpServer(listen, handler, CallerLimits, read_clock, self.memory)
            self._servers.append(server)

    def start(self) -> None:
        """Start the replica and the entry, and listen at all addresses."""
        if self.replica is not None:
            peer = parse_address(self.settings.instance)
            self._peer_server = PeerServer(self.replica, NO_KEY)
            self._peer_server.start(peer)
            self.replica.start()
        if self.entry is not None:
            self.entry.poller.start()
            spawn(self._maintain)
            for server in self._list_request_servers():
                server.start()
        for server in self._servers:
            server.start()
        log_event(
            "daemon",
            "Started.",
            instance=self.settings.name,
            entry=self.entry is not None,
            control=self.replica is not None,
            forms_group=self.settings.forms_group,
        )

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings to the running daemon."""
        self.settings = settings
        if self.entry is not None:
            self.entry.settings = settings
        log_event("daemon", "Settings reloaded.", seeds=list(settings.seeds))

    def stop(self) -> None:
        """Start a graceful shutdown."""
        if self._is_stopping:
            return
        self._is_stopping = True
        log_event("daemon", "Stopping.")
        spawn(self._shut_down)

    def wait(self) -> None:
        """Wait until a graceful shutdown has finished."""
        self._stopped.wait()

    def _make_entry(self, dialect: Dialect) -> None:
        incarnation = Incarnation(time_ns() // NANOSECONDS_PER_MICROSECOND)
        self.entry = GatewayEntry(
            self.settings, dialect, read_clock, self.rng, incarnation
        )
        forwarder = Forwarder(self.entry)
        self._caller_server = HttpServer(
            self.settings.caller_address,
            forwarder.handle,
            lambda: self.entry.control_state.limits,
            read_clock,
            self.memory,
        )
        if self.settings.relay_address is not None:
            self._relay_server = HttpServer(
                self.settings.relay_address,
                forwarder.handle_relayed,
                lambda: extend_limits(self.entry.control_state.limits),
                read_clock,
                self.memory,
            )

    def _make_replica(self, dialect: Dialect) -> None:
        # Entries, of which there are many, start without the modules of the log.
        from bergamotwood_daemon.gateway.replica import GatewayReplica

        rng = Random(self.rng.getrandbits(64))
        self.replica = GatewayReplica(self.settings, dialect, read_clock, rng)

    def _maintain(self) -> None:
        while True:
            sleep(MAINTENANCE_INTERVAL_SECONDS)
            self.entry.maintain()

    def _shut_down(self) -> None:
        deadline = (
            read_clock()
            + self.settings.bounds.grace_period_seconds
            - EXIT_RESERVE_SECONDS
        )
        try:
            if self.entry is not None:
                self._drain_callers(deadline)
            if self.replica is not None:
                self._stop_replica()
        finally:
            log_event("daemon", "Stopped.")
            self._stopped.set()

    def _stop_replica(self) -> None:
        # A disk that hangs must not delay the exit of the process.
        _stop_part("replica", REPLICA_STOP_SECONDS, self.replica.stop)
        if self._peer_server is not None:
            server = self._peer_server
            _stop_part("peer server", PEER_STOP_SECONDS, lambda: server.stop(0.0))

    def _drain_callers(self, deadline: float) -> None:
        """Serve until callers' address lists expire, then finish open requests."""
        self.entry.is_draining = True
        self.entry.poller.report_now()
        servers = self._list_request_servers()
        for server in servers:
            server.is_closing = True
        sleep(DRAIN_TTLS * self.settings.bounds.address_ttl_seconds)
        self.entry.rejects_requests = True
        for server in servers:
            server.stop_listening()
            server.close_idle()
        self._wait_until(
            lambda: not any(server.open_requests for server in servers), deadline
        )
        self.entry.prober.stop()
        self.entry.poller.stop()

    def _list_request_servers(self) -> list[HttpServer]:
        servers = (self._caller_server, self._relay_server)
        return [server for server in servers if server is not None]

    def _wait_until(self, is_met: Callable[[], bool], deadline: float) -> None:
        while not is_met() and read_clock() < deadline:
            sleep(POLL_INTERVAL_SECONDS)


def _stop_part(part: str, seconds: float, stop: Callable[[], None]) -> None:
    """Stop a part of the daemon; log a failure, which must not keep the process."""
    timer = Timeout(seconds)
    try:
        with timer:
            stop()
    except Timeout as timeout:
        if timeout is not timer:
            raise
        log_event("daemon", "Not stopped in time.", part=part, seconds=seconds)
    except Exception as error:
        log_failure("daemon", "Not stopped.", part=part, reason=str(error))
