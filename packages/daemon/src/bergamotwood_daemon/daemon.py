"""Builds a daemon from its settings, runs it and shuts it down."""

from random import Random, SystemRandom
from time import time_ns

from gevent import sleep, spawn
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from bergamotwood_core.admission import AdmissionController, AdmissionSettings
from bergamotwood_core.cascade import CascadePolicy, CascadeSettings
from bergamotwood_core.control import ControlMachine
from bergamotwood_core.ids import InstanceId
from bergamotwood_core.ledger import LedgerMachine
from bergamotwood_core.memory import MemoryAccount, MemoryLimits
from bergamotwood_core.messages import Address
from bergamotwood_core.orders import LoadRateLimit
from bergamotwood_core.outcome import OutcomeCounter
from bergamotwood_core.tables import Tables
from bergamotwood_daemon.admissiongate import AdmissionGate
from bergamotwood_daemon.authorization import require_key
from bergamotwood_daemon.chat import ChatHandler
from bergamotwood_daemon.claims import Claims
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.connection import make_handler
from bergamotwood_daemon.controlfeed import ControlFeed
from bergamotwood_daemon.controlreplica import (
    CONTROL_GROUP,
    LEDGER_GROUP,
    ControlReplica,
)
from bergamotwood_daemon.directoryfeed import DirectoryFeed
from bergamotwood_daemon.discovery import Discovery
from bergamotwood_daemon.encryption import PeerEncryption, ServerEncryption
from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.group import LogGroup
from bergamotwood_daemon.groupsettings import GroupSettings
from bergamotwood_daemon.log import log_event
from bergamotwood_daemon.metrics import Metrics
from bergamotwood_daemon.operations import Operations
from bergamotwood_daemon.orderdispatcher import OrderDispatcher
from bergamotwood_daemon.peer import (
    GroupTransport,
    PeerChannel,
    PeerServer,
    ReplicationSender,
)
from bergamotwood_daemon.proposer import Proposer
from bergamotwood_daemon.ratings import RatingClient
from bergamotwood_daemon.routes import Application, Route, make_route
from bergamotwood_daemon.services import ServiceHandler
from bergamotwood_daemon.settings import Settings
from bergamotwood_daemon.ticker import Ticker
from bergamotwood_daemon.tracing import make_tracer_provider
from bergamotwood_daemon.watch import Watch
from bergamotwood_daemon.web import Response, WebRequest, answer_json

NANOSECONDS_PER_MICROSECOND = 1_000
DRAIN_POLL_SECONDS = 0.1
PEER_SERVER_GRACE_SECONDS = 1.0
SERVER_STOP_TIMEOUT_SECONDS = 1.0


class Daemon:
    """One instance with its roles.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.rng = Random(SystemRandom().getrandbits(64))
        self.memory = MemoryAccount(
            MemoryLimits(settings.limits.memory_bytes, settings.limits.descriptors)
        )
        self.incarnation = time_ns() // NANOSECONDS_PER_MICROSECOND
        self._stopped = Event()
        self._peer_tls = (
            PeerEncryption(settings.peer_tls) if settings.peer_tls else None
        )
        self._tls = ServerEncryption(settings.tls) if settings.tls else None
        self._tracing = make_tracer_provider(settings.instance, settings.trace_file)
        self.control_replica = (
            self._make_control_replica() if settings.is_control else None
        )
        self.entry = self._make_entry()
        self.metrics = Metrics(self.entry, self.control_replica, self.memory)
        self.admission_gate = AdmissionGate(self.entry)
        self._peer_server = PeerServer(
            self.control_replica or _NoControlRole(),
            settings.instance_key,
            self._peer_tls,
        )
        self._application = Application(
            self._make_routes(), settings.limits, self.discovery.list_other_entries
        )
        self._server = self._make_server()
        self._ticker = Ticker(
            self.entry,
            self.admission_gate,
            self.control_replica,
            self._make_order_dispatcher(),
            self._tls,
        )

    def start(self) -> None:
        """Start listening and following the control log."""
        settings = self.settings
        peer = settings.peer_listen
        if self.control_replica is not None:
            self._peer_server.start(Address(peer.host, peer.port))
            self.control_replica.start()
        self.entry.watch.start()
        self.entry.claims.abandon_earlier_claims(self._instance_id, self.incarnation)
        self._ticker.start()
        self._server.start()
        log_event(
            "daemon",
            "Started.",
            instance=settings.instance,
            address=f"{settings.listen.host}:{self._server.server_port}",
        )

    def drain(self) -> None:
        """Start a graceful shutdown."""
        if not self.entry.draining:
            self.entry.draining = True
            log_event("daemon", "Draining.")
            spawn(self._shut_down)

    def wait(self) -> None:
        """Wait until the graceful shutdown is complete."""
        self._stopped.wait()

    def _shut_down(self) -> None:
        """Report as draining, keep serving for a while, finish requests, then stop."""
        self.entry.watch.report_now()
        sleep(self.settings.timeouts.drain)
        self._application.draining = True
        self._server.close()
        while self._has_unfinished_work():
            sleep(DRAIN_POLL_SECONDS)
        self._server.stop(timeout=SERVER_STOP_TIMEOUT_SECONDS)
        self._ticker.stop()
        self.entry.watch.stop()
        if self.control_replica is not None:
            self.control_replica.stop()
            self._peer_server.stop(PEER_SERVER_GRACE_SECONDS)
        self._tracing.shutdown()
        log_event("daemon", "Stopped.")
        self._stopped.set()

    def _has_unfinished_work(self) -> bool:
        """Return whether a request runs, or its outcome is not committed yet."""
        claims = self.entry.claims
        return bool(
            self._application.active or claims.running or claims.unconfirmed_commands
        )

    def _make_channels(self) -> dict[InstanceId, PeerChannel]:
        """Make a separate set of channels to the replicas, this instance's first."""
        addresses = sorted(
            self.settings.replicas, key=lambda replica: replica.id != self._instance_id
        )
        return {
            InstanceId(replica.id): PeerChannel(
                Address(replica.host, replica.port),
                self.settings.instance_key,
                self._peer_tls,
            )
            for replica in addresses
        }

    @property
    def _instance_id(self) -> InstanceId:
        return InstanceId(self.settings.instance)

    def _make_control_replica(self) -> ControlReplica:
        senders = {
            name: ReplicationSender(channel)
            for name, channel in self._make_channels().items()
            if name != self._instance_id
        }
        feed = ControlFeed(ControlMachine())
        ledger_machine = LedgerMachine()
        peers = self._make_channels()
        peers.pop(self._instance_id)
        return ControlReplica(
            control_group=self._make_group(CONTROL_GROUP, feed, senders),
            ledger_group=self._make_group(LEDGER_GROUP, ledger_machine, senders),
            feed=feed,
            ledger_machine=ledger_machine,
            directory=DirectoryFeed(f"{self._instance_id}-{self.incarnation}"),
            peers=peers,
            clock=read_clock,
            rng=self.rng,
        )

    def _make_group(
        self,
        name: str,
        machine: ControlFeed | LedgerMachine,
        senders: dict[InstanceId, ReplicationSender],
    ) -> LogGroup:
        voters = tuple(InstanceId(replica.id) for replica in self.settings.replicas)
        settings = GroupSettings(
            instance=self._instance_id,
            initial_voters=voters,
            folder=self.settings.data_folder,
        )
        return LogGroup(
            name,
            settings,
            machine,
            GroupTransport(name, senders),
            read_clock,
            Random(self.rng.getrandbits(64)),
        )

    def _make_order_dispatcher(self) -> OrderDispatcher | None:
        if self.control_replica is None:
            return None
        store = self.settings.weight_store
        return OrderDispatcher(
            self.control_replica.control_group,
            self.control_replica.control_machine,
            self.control_replica.directory.tables,
            LoadRateLimit(store.loads_per_second, store.burst),
            self.settings.order_key,
            read_clock,
        )

    def _make_entry(self) -> Entry:
        settings = self.settings
        source = f"{settings.instance}-{self.incarnation}"
        machine = ControlMachine()
        tables = Tables(configuration=machine.tables)
        control = self._make_proposer(CONTROL_GROUP)
        ledger = self._make_proposer(LEDGER_GROUP)
        policy = CascadePolicy(CascadeSettings(source=source), self.rng)
        outcomes = OutcomeCounter(source)
        watch = Watch(
            machine,
            tables,
            self._make_channels(),
            lambda: self.discovery.make_report(),
            policy,
            outcomes,
            read_clock,
            self.rng,
        )
        entry = Entry(
            settings=settings,
            clock=read_clock,
            rng=self.rng,
            tables=tables,
            watch=watch,
            control=control,
            ledger=ledger,
            claims=Claims(ledger, settings.timeouts.ledger, self.rng),
            policy=policy,
            admission=AdmissionController(AdmissionSettings()),
            outcomes=outcomes,
            tracer=self._tracing.get_tracer("bergamotwood"),
            incarnation=self.incarnation,
        )
        self.discovery = Discovery(entry)
        return entry

    def _make_proposer(self, group: str) -> Proposer:
        return Proposer(group, self._make_channels(), read_clock, self.rng)

    def _make_server(self) -> WSGIServer:
        listen = self.settings.listen
        tls = {"ssl_context": self._tls.context} if self._tls else {}
        return WSGIServer(
            (listen.host, listen.port),
            self._application,
            log=None,
            error_log=None,
            handler_class=make_handler(self.memory),
            **tls,
        )

    def _make_routes(self) -> tuple[Route, ...]:
        entry = self.entry
        operations = Operations(
            settings=self.settings,
            tables=entry.tables,
            watch=entry.watch,
            control=entry.control,
            ledger=entry.ledger,
            clock=read_clock,
            drain=self.drain,
            is_draining=lambda: entry.draining,
            is_voting=lambda: (
                self.control_replica.is_voting if self.control_replica else None
            ),
        )
        routes = (
            make_route("GET", "/healthz", _answer_health),
            make_route("GET", "/readyz", self._answer_readiness),
            make_route("GET", "/metrics", self.metrics.answer),
            make_route("GET", "/v1/addresses", self.discovery.list_addresses),
            make_route(
                "POST",
                "/v1/endpoints",
                self.discovery.record_announcement,
                self._require_endpoint,
            ),
            *self._make_operator_routes(operations),
        )
        if not self.settings.is_entry:
            return routes
        chat = ChatHandler(
            entry, self.admission_gate, RatingClient(self.settings.rating_address)
        )
        services = ServiceHandler(entry, self.admission_gate)
        return (
            make_route("POST", "/v1/chat/completions", chat.answer),
            make_route("*", r"/v1/services/([^/]+)/(.*)", services.answer),
            *routes,
        )

    def _make_operator_routes(self, operations: Operations) -> tuple[Route, ...]:
        guard = self._require_operator
        return (
            make_route("POST", "/v1/tickets", operations.apply_ticket, guard),
            make_route("POST", "/v1/tickets/check", operations.check_ticket, guard),
            make_route("GET", "/v1/tickets", operations.list_tickets, guard),
            make_route("GET", r"/v1/tickets/([^/]+)", operations.show_ticket, guard),
            make_route(
                "GET", "/v1/configuration", operations.show_configuration, guard
            ),
            make_route("GET", "/v1/status", operations.show_status, guard),
            make_route("GET", "/v1/endpoints", operations.list_endpoints, guard),
            make_route("GET", "/v1/entries", operations.list_entries, guard),
            make_route("GET", "/v1/bills", operations.list_bills, guard),
            make_route("GET", r"/v1/bills/([^/]+)", operations.show_bill, guard),
            make_route("GET", "/v1/totals", operations.list_totals, guard),
            make_route("GET", r"/v1/claims/([^/]+)/(.+)", operations.show_claim, guard),
            make_route("POST", "/v1/drain", operations.start_drain, guard),
        )

    def _require_operator(self, request: WebRequest) -> None:
        require_key(request, self.settings.operator_key_hashes, "an operator")

    def _require_endpoint(self, request: WebRequest) -> None:
        require_key(request, self.settings.endpoint_key_hashes, "an endpoint")

    def _answer_readiness(self, request: WebRequest) -> Response:
        age = self.entry.measure_config_age()
        ready = age <= self.settings.max_config_age_seconds and not self.entry.draining
        return answer_json({"ready": ready}, 200 if ready else 503)


class _NoControlRole:
    """Answers peers with empty bytes when the instance lacks the control role."""

    def handle_replicate(self, body: bytes) -> bytes:
        """Ignore the call."""
        return b""

    handle_propose = handle_poll = handle_query = handle_replicate


def _answer_health(request: WebRequest) -> Response:
    return answer_json({"healthy": True})
