"""State that the parts of a gateway entry share."""

from collections.abc import Callable
from random import Random

from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.brittle import BrittleAdmission
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.evacuations import (
    drop_evacuated,
    is_fully_evacuated,
    list_version_groups,
)
from bergamotwood_core.gateway.health import HealthTable
from bergamotwood_core.gateway.latency import LatencyTable, Progress, Timing
from bergamotwood_core.gateway.limits import LimitTable
from bergamotwood_core.gateway.load import LoadTable
from bergamotwood_core.gateway.members import EntryAddress, choose_addresses
from bergamotwood_core.gateway.notices import IncarnationKey, NoticeTable
from bergamotwood_core.gateway.orders import RolloutOutcome
from bergamotwood_core.gateway.placement import Placement
from bergamotwood_core.gateway.reachability import ReachTable, choose_probe
from bergamotwood_core.gateway.relays import RelayTable
from bergamotwood_core.gateway.retries import RetryBudget
from bergamotwood_core.gateway.rollout import (
    RolloutView,
    is_on_target,
    list_allowed_versions,
)
from bergamotwood_core.gateway.sessionnews import is_news
from bergamotwood_core.gateway.sessionversions import SessionVersions
from bergamotwood_core.gateway.suspects import EndpointCrash, SuspectTable
from bergamotwood_core.gateway.suspensions import SuspensionTable
from bergamotwood_core.ids import DataCentre, Incarnation, ServiceName, SessionId
from bergamotwood_core.memory import MemoryAccount, MemoryLimits
from bergamotwood_core.states import EndpointState
from bergamotwood_daemon.eventloop import get_monitor
from bergamotwood_daemon.gateway.client import ConnectionPool
from bergamotwood_daemon.gateway.coldendpoints import ColdEndpointMonitor
from bergamotwood_daemon.gateway.controlpoller import ControlPoller
from bergamotwood_daemon.gateway.controlstate import ControlState
from bergamotwood_daemon.gateway.counters import EntryCounters
from bergamotwood_daemon.gateway.dialect import Dialect
from bergamotwood_daemon.gateway.evidence import EvidenceCounter, OpenRequest
from bergamotwood_daemon.gateway.liveness import LivenessChecker
from bergamotwood_daemon.gateway.peermessages import EntryStatus
from bergamotwood_daemon.gateway.reachprober import ReachProber
from bergamotwood_daemon.gateway.settings import GatewaySettings
from bergamotwood_daemon.gateway.unusable import count_unusable
from bergamotwood_daemon.log import count_dropped_lines, log_event


class GatewayEntry:
    """Tables, connection pool and poller that the parts of an entry share.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the daemon.
    dialect : Dialect
        Translates the platform's header fields and documents.
    clock : callable
        Returns the current time.
    rng : Random
        Source of random choices.
    incarnation : Incarnation
        Start time of this process, which identifies the run.

    Attributes
    ----------
    is_draining : bool
        Whether the entry reports itself as not ready, so that callers move to
        other entries.
    memory : MemoryAccount
        What the process holds for its peers.
    rejects_requests : bool
        Whether new requests are refused because the remaining grace period is
        too short to finish them.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        clock: Callable[[], Seconds],
        rng: Random,
        incarnation: Incarnation,
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.dialect = dialect
        self.clock = clock
        self.rng = rng
        self.memory = MemoryAccount(
            MemoryLimits(settings.memory_bytes, settings.descriptors)
        )
        self.is_draining = False
        self.rejects_requests = False
        self.control_state = ControlState(
            dialect,
            clock,
            bounds.key_lease_seconds,
            evacuation_lease_seconds=bounds.evacuation_lease_seconds,
        )
        self.health = HealthTable()
        self.notices = NoticeTable(rng)
        self.limits = LimitTable()
        self.cold_endpoints = ColdEndpointMonitor(
            bounds, dialect, self.control_state, self.limits
        )
        self.liveness = LivenessChecker(
            dialect.liveness_target,
            clock,
            lambda: len(self.control_state.entries),
            self.may_send,
            self.cold_endpoints.find_check_target,
            self.cold_endpoints.record_check,
        )
        self.pool = self.make_pool()
        self.loads = LoadTable()
        self.reach = ReachTable()
        self.relays = RelayTable(settings.instance, settings.data_centre, rng)
        self.relay_pool = ConnectionPool(clock)
        self.prober = ReachProber(
            self.pool,
            self._list_doubtful_services,
            self._choose_probe,
            lambda heartbeat: self.record_connection(heartbeat.service),
            self._record_failed_probe,
            clock,
            rng,
        )
        self.admission = BrittleAdmission(settings.instance, self.limits, self.loads)
        self.placement = Placement(
            settings.data_centre,
            self.health,
            self.notices,
            self.loads.find,
            rng,
            self.limits,
            self.admission,
        )
        self.counters = EntryCounters()
        self.latencies = LatencyTable()
        self.evidence = EvidenceCounter()
        self.suspects = SuspectTable()
        self.suspensions = SuspensionTable(settings.instance, incarnation)
        self.sessions = SessionVersions(bounds.session_timeout_seconds)
        self.budget = RetryBudget(
            bounds.retry_ratio,
            bounds.retry_extra,
            bounds.retry_window_seconds,
            bounds.retry_share_fraction,
        )
        self.poller = ControlPoller(
            self.control_state,
            self._make_status,
            lambda: self.settings.seeds,
            settings.data_centre,
            self.apply_reports,
            clock,
            rng,
        )
        self._incarnation = incarnation
        self._sequence = 0

    def make_pool(self) -> ConnectionPool:
        """Return the pool of connections to endpoints."""
        return ConnectionPool(self.clock)

    @property
    def is_ready(self) -> bool:
        """Whether callers should connect to this entry."""
        state = self.control_state
        is_usable = state.routing is not None and not state.is_too_old
        return is_usable and not self.is_draining

    def list_addresses(self, data_centre: DataCentre) -> list[str]:
        """Return the addresses of ready entries for a caller in a data centre."""
        own = self._describe()
        others = self.control_state.entries.values()
        entries = [entry for entry in others if entry.instance != own.instance]
        entries.append(own)
        return choose_addresses(entries, data_centre, self.rng)

    def list_eligible_endpoints(self, call: Call) -> list[list[EndpointHeartbeat]]:
        """Return endpoints whose version may get a request, preferred group first."""
        heartbeats = [
            heartbeat
            for heartbeat in self.control_state.heartbeats.values()
            if heartbeat.service == call.service
        ]
        groups = list_version_groups(
            *list_allowed_versions(
                self.control_state.rollouts.get(call.service),
                heartbeats,
                lambda view: self._routes_to_target(view, call),
                self.control_state.withdrawals.list_versions(call.service),
            ),
            self.control_state.evacuations,
        )
        return [
            [
                heartbeat
                for heartbeat in group
                if not self.reach.has_failed(
                    call.service, (heartbeat.endpoint, heartbeat.incarnation)
                )
            ]
            for group in groups
        ]

    def list_open_endpoints(self) -> list[EndpointHeartbeat]:
        """Return the endpoints of all services outside evacuated data centres."""
        return drop_evacuated(
            self.control_state.heartbeats.values(), self.control_state.evacuations
        )

    def may_send(self, heartbeat: EndpointHeartbeat) -> bool:
        """Whether no evacuation, known or unknown, forbids sending to an endpoint."""
        return (
            self.control_state.has_evacuation_lease
            and heartbeat.data_centre not in self.control_state.evacuations
        )

    def is_fully_evacuated(self, call: Call) -> bool:
        """Whether evacuations leave no endpoint for a request."""
        return is_fully_evacuated(
            self.control_state.heartbeats.values(),
            self.control_state.evacuations,
            call.service,
            call.model,
        )

    def is_withdrawn(self, heartbeat: EndpointHeartbeat) -> bool:
        """Whether the version of an endpoint was rolled back."""
        withdrawn = self.control_state.withdrawals.list_versions(heartbeat.service)
        return heartbeat.version in withdrawn

    def apply_reports(self) -> None:
        """Apply the newest reports of the control group and of other entries."""
        self.placement.silent_endpoints = self.control_state.silent_endpoints
        self.placement.ended = self._find_ended()
        self.admission.entries = frozenset(
            self.control_state.entries.keys() | {self.settings.instance}
        )
        self.budget.entry_count = max(len(self.control_state.entries), 1)
        self.prober.entry_count.update(
            len(self.control_state.entries),
            self.control_state.confirmed_at,
            self.clock(),
        )
        self.placement.prefill_rate.pooled = self.control_state.prefill_rates
        self.latencies.pooled = self.control_state.latencies
        self.budget.set_fleet_usage(self.control_state.retry_usage, self.clock())
        if self.reach.list_lost():
            # Probes stop while evacuations leave no endpoint to probe.
            self.prober.start()
        self.loads.set_others(self.control_state.loads)
        self.suspensions.update(
            self.control_state.suspensions, self.control_state.requested_at
        )
        self.suspects.apply_ends(self.control_state.ends, self.clock())
        self.suspects.apply_successes(self.control_state.successes, self.clock())
        self.cold_endpoints.update(self.clock())
        self.limits.apply_reports(self.control_state.endpoint_limits, self.clock())
        self.limits.apply_permits(
            self.control_state.permits, self.control_state.requested_at
        )

    def open_evidence(
        self,
        call: Call,
        heartbeat: EndpointHeartbeat,
        measure: Callable[[], Progress],
    ) -> OpenRequest | None:
        """Record that a request is sent, as evidence of a roll-out.

        Parameters
        ----------
        call : Call
            The request.
        heartbeat : EndpointHeartbeat
            Its endpoint.
        measure : callable
            Returns how far the answer has got.

        Returns
        -------
        OpenRequest or None
            To be passed to `record_outcome`; None if there is no roll-out.
        """
        view = self.control_state.rollouts.get(call.service)
        if view is None or view.rollout.outcome is not RolloutOutcome.IN_PROGRESS:
            return None
        route, model = call.route.name, call.model
        return self.evidence.open(
            view.rollout,
            heartbeat.version,
            call,
            measure,
            lambda progress: self.latencies.is_slow_already(route, model, progress),
        )

    def record_outcome(
        self,
        call: Call,
        heartbeat: EndpointHeartbeat,
        evidence: OpenRequest | None,
        is_bad: bool,
        timing: Timing | None,
    ) -> None:
        """Record how a request ended, for roll-out evidence and latency averages.

        During a roll-out, the averages exclude the new version, so that its answers
        are compared with those of the previous one.
        """
        is_slow = timing is not None and self.latencies.is_slow(
            call.route.name, call.model, timing
        )
        if evidence is not None:
            self.evidence.close(evidence, is_bad or is_slow)
        view = self.control_state.rollouts.get(call.service)
        in_rollout = (
            view is not None and view.rollout.outcome is RolloutOutcome.IN_PROGRESS
        )
        is_target = in_rollout and heartbeat.version == view.rollout.target
        is_baseline = not is_target and not self.is_withdrawn(heartbeat)
        if is_target and (is_bad or is_slow):
            self.poller.report_evidence()
        if timing is not None and not is_bad and is_baseline:
            self.latencies.record(
                call.route.name, call.model, timing, call.metadata.expected_tokens
            )

    def begin_in_session(self, call: Call, version: str) -> None:
        """Record that a request is sent to a version in its session.

        A session that other entries have to learn is reported soon.
        """
        service, session = call.service, call.metadata.session
        known = self.sessions.find_version(service, session, self.clock())
        self.sessions.begin(service, session, version)
        view = self.control_state.rollouts.get(service)
        if view is None or known == version:
            return
        if session in self.control_state.open_sessions:
            return
        if is_news(view, session, version):
            self.poller.report_soon()

    def lacks_share(self, call: Call) -> bool:
        """Whether only this entry's shares keep a request from idle endpoints."""
        if not self.limits.has_statements:
            return False
        heartbeats = [
            heartbeat
            for group in self.list_eligible_endpoints(call)
            for heartbeat in group
        ]
        return self.placement.lacks_share(heartbeats, call, self.clock())

    def record_refusal(self, heartbeat: EndpointHeartbeat) -> None:
        """Record that an endpoint refused a request for want of room."""
        now = self.clock()
        limit = self.admission.find_limit(self._list_serving(heartbeat.service), now)
        if limit is not None:
            self.health.pause(
                heartbeat.endpoint,
                heartbeat.incarnation,
                now,
                self.admission.measure_pause(limit),
            )

    def record_connection(self, service: ServiceName) -> None:
        """Record a new connection to an endpoint of a service."""
        now = self.clock()
        was_uncertain = self.reach.is_uncertain(service, now)
        if not self.reach.record_connection(service, now):
            if was_uncertain:
                # The failure before was the endpoint's, and may be reported now.
                self.poller.report_soon()
            return
        log_event("entry", "Service in reach again.", service=service)
        for heartbeat in self.control_state.heartbeats.values():
            if heartbeat.service == service:
                self.health.forgive_failed_connections(heartbeat.endpoint)
        self.poller.report_soon()

    def record_failed_connection(
        self, service: ServiceName, key: IncarnationKey
    ) -> None:
        """Record that no connection to an endpoint could be opened."""
        endpoints = len(self._list_serving(service))
        if self.reach.record_failure(service, key, endpoints, self.clock()):
            log_event(
                "entry",
                "Service out of reach.",
                service=service,
                endpoints=endpoints,
                silent_endpoints=len(self.control_state.silent_endpoints),
                age=round(self.control_state.age, 2),
            )
            self.prober.start()
            self.poller.report_soon()
        elif self.reach.is_uncertain(service, self.clock()):
            self.prober.start()

    def check_liveness(self, heartbeat: EndpointHeartbeat) -> bool:
        """Return whether an endpoint answers a direct check, as far as one may be sent.

        A check counts towards the limit of an endpoint. One that states a limit is not
        checked, and one that is cold only with a permit.
        """
        key, now = (heartbeat.endpoint, heartbeat.incarnation), self.clock()
        if self.limits.has_stated_limit(key, now):
            return True
        if self.liveness.has_result(key):
            return self.liveness.check(heartbeat)
        if self.limits.cold.is_cold(key, now):
            self.limits.record_demand(key, now)
        allowed_until = self.limits.take_permit(key, now)
        if allowed_until is None:
            return True
        return self.liveness.check(heartbeat, allowed_until)

    def maintain(self) -> None:
        """Drop expired connections and state; to be called about every second."""
        self.pool.expire()
        self.relay_pool.expire()
        self.health.retain(set(self.control_state.heartbeats))
        self.notices.expire(self.clock())
        self.limits.expire(self.clock())
        self.liveness.expire()
        self.reach.retain(
            heartbeat.service for heartbeat in self.control_state.heartbeats.values()
        )
        self.placement.prefix_cache.retain(set(self.control_state.heartbeats))

    def list_gauges(self) -> dict[str, float]:
        """Return the current values of the gauges for metrics."""
        return {
            "configuration_number": self.control_state.number,
            "own_level": int(self.control_state.own_level),
            "group_level": self.control_state.group_level,
            "belief_age_seconds": round(self.control_state.age, 3),
            "endpoints": len(self.control_state.heartbeats),
            "entries": len(self.control_state.entries),
            "outstanding": self.loads.count_requests(),
            "connections_opened_total": self.pool.opened_connections,
            "log_lines_dropped_total": count_dropped_lines(),
            "records_left_out_total": count_unusable(),
            "longest_turn_seconds": round(get_monitor().longest_turn_seconds, 3),
            "liveness_checks_total": self.liveness.checks,
            "suspensions": len(self.suspensions),
            "limited_endpoints": self.limits.count_limited(self.clock()),
            "evacuated_data_centres": len(self.control_state.evacuations),
            "cold_endpoints": self.limits.cold.count_cold(self.clock()),
            "permits_received_total": self.limits.received_permits,
            "permits_used_total": self.limits.used_permits,
            "diverted_requests_total": self.placement.diverted_requests,
            "silent_endpoints": len(self.control_state.silent_endpoints),
            "lost_services": len(self.reach.list_lost()),
            "reach_probes_total": self.prober.probes,
            **self.memory.list_gauges(),
        }

    def _make_status(self) -> EntryStatus:
        self._sequence += 1
        return EntryStatus(
            self._describe(),
            self._incarnation,
            self._sequence,
            self.loads.list_own(),
            self.evidence.list_counts(),
            self._list_open_sessions(),
            self._list_crashes(),
            self.suspects.list_successes(self.control_state.questions, self.clock()),
            self.suspects.list_refusals(self.clock()),
            self.limits.list_own(self.clock()),
            self.limits.list_demands(self.clock()),
            self.notices.list_leaving(self.clock()),
            self.placement.prefill_rate.list_histograms(),
            self.latencies.list_averages(),
            self.budget.list_usage(self.clock()),
            int(self.control_state.own_level),
            self._list_withdrawn_sessions(),
        )

    def _routes_to_target(self, view: RolloutView, call: Call) -> bool:
        session = call.metadata.session
        version = self.sessions.find_version(call.service, session, self.clock())
        uses_other_version = version is not None and version != view.rollout.target
        is_on_other_version = (
            uses_other_version or session in self.control_state.open_sessions
        )
        return is_on_target(
            view,
            session or call.metadata.request,
            is_on_other_version,
            self._is_on_withdrawn_version(call, version),
        )

    def _is_on_withdrawn_version(self, call: Call, version: str | None) -> bool:
        """Whether a session has to leave its version, None if it isn't open here."""
        if version is None:
            return call.metadata.session in self.control_state.withdrawn_sessions
        return version in self.control_state.withdrawals.list_versions(call.service)

    def _list_open_sessions(self) -> tuple[SessionId, ...]:
        now = self.clock()
        return tuple(
            session
            for view in self.control_state.rollouts.values()
            if view.exchanges_sessions
            for session in self.sessions.list_open(
                view.rollout, now, view.exchanged_share
            )
        )

    def _list_withdrawn_sessions(self) -> tuple[SessionId, ...]:
        now = self.clock()
        return tuple(
            session
            for service, view in self.control_state.rollouts.items()
            if view.rollout.outcome is RolloutOutcome.IN_PROGRESS
            for session in self.sessions.list_on(
                service, self.control_state.withdrawals.list_versions(service), now
            )
        )

    def _describe(self) -> EntryAddress:
        settings = self.settings
        return EntryAddress(
            settings.instance,
            str(settings.caller_address),
            settings.data_centre,
            self.is_ready,
            str(settings.relay_address) if settings.relay_address else "",
            self.reach.list_lost(),
        )

    def _list_crashes(self) -> tuple[EndpointCrash, ...]:
        """Return the ends of endpoints that this entry can tell from lost ways."""
        now = self.clock()
        return tuple(
            replace(crash, is_certain=False)
            if self.reach.is_uncertain(crash.service, now)
            else crash
            for crash in self.suspects.list_crashes(now)
            if not self.reach.is_lost(crash.service)
        )

    def _find_ended(self) -> frozenset[IncarnationKey]:
        """Return the incarnations that have ended, as far as this entry knows."""
        now = self.clock()
        return frozenset(
            (crash.endpoint, crash.incarnation)
            for crash in self.control_state.ends
            if crash.is_certain
            and not self.health.has_received_since(
                crash.endpoint, crash.incarnation, Seconds(now - crash.age_seconds)
            )
        )

    def _list_serving(self, service: ServiceName) -> list[EndpointHeartbeat]:
        return [
            heartbeat
            for heartbeat in self.list_open_endpoints()
            if heartbeat.service == service and heartbeat.state is EndpointState.SERVING
        ]

    def _list_doubtful_services(self) -> list[ServiceName]:
        if not self.control_state.has_evacuation_lease:
            return []
        services = {
            heartbeat.service for heartbeat in self.control_state.heartbeats.values()
        }
        now = self.clock()
        return [
            service
            for service in sorted(services)
            if self.reach.is_doubtful(service) or self.reach.is_uncertain(service, now)
        ]

    def _choose_probe(self, service: ServiceName) -> EndpointHeartbeat | None:
        return choose_probe(self._list_serving(service), self.reach, self.rng)

    def _record_failed_probe(self, heartbeat: EndpointHeartbeat) -> None:
        key = (heartbeat.endpoint, heartbeat.incarnation)
        self.record_failed_connection(heartbeat.service, key)
