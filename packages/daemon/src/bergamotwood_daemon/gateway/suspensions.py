"""Suspensions at a control replica: evidence from entries, and decisions to commit."""

from collections.abc import Callable
from time import time

from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.crashes import CrashEvidence
from bergamotwood_core.gateway.endpoints import EndpointDirectory
from bergamotwood_core.gateway.ordertimer import OrderTimer
from bergamotwood_core.gateway.state_machine import (
    GatewayStateMachine,
    GrantTrial,
    LiftSuspension,
    SuspendCause,
)
from bergamotwood_core.gateway.suspects import (
    REPORT_SECONDS,
    Cause,
    CauseReport,
    EndpointCrash,
)
from bergamotwood_core.gateway.suspensions import Suspension, compute_trial_delay
from bergamotwood_core.ids import ServiceName
from bergamotwood_daemon.gateway.peermessages import (
    EntryStatus,
    Refusal,
    ReplicaSummary,
)
from bergamotwood_daemon.log import log_event

# Refusals that a replica keeps; there is at most one for each suspended cause.
MAX_REFUSALS = 256

# Shortest time between two log lines with the weights of causes.
WEIGHTS_INTERVAL_SECONDS = 1.0

SuspensionCommand = SuspendCause | GrantTrial | LiftSuspension


class SuspensionController:
    """Weighs the evidence of crashes, and decides what is suspended and tried.

    Parameters
    ----------
    machine : GatewayStateMachine
        State machine that holds the suspensions.
    directory : EndpointDirectory
        Lists the versions in use.
    clock : callable
        Returns the current time.
    """

    def __init__(
        self,
        machine: GatewayStateMachine,
        directory: EndpointDirectory,
        clock: Callable[[], Seconds],
    ) -> None:
        self._machine = machine
        self._directory = directory
        self._clock = clock
        self._timer = OrderTimer()
        self._evidence = CrashEvidence(lambda key: directory.find_last_heard(*key))
        self._weights_logged_at = Seconds(float("-inf"))
        self._logged_ends = 0
        # Newest refusal for each cause, with its time.
        self._refused: dict[Cause, tuple[Seconds, Refusal]] = {}

    def record_status(self, status: EntryStatus) -> None:
        """Add what an entry of this replica reports."""
        now = self._clock()
        self._evidence.apply_report(status.crashes, status.successes, now)
        for refusal in status.refusals:
            self._record_refusal(
                Refusal(
                    refusal.age_seconds,
                    status.entry.instance,
                    status.incarnation,
                    refusal.cause,
                )
            )

    def record_summary(self, summary: ReplicaSummary) -> None:
        """Add what another replica relays of its entries."""
        self._evidence.apply_relay(summary.crashes, summary.successes, self._clock())
        for refusal in summary.refusals:
            self._record_refusal(refusal)

    def complete_summary(self, summary: ReplicaSummary) -> ReplicaSummary:
        """Return a summary for other replicas with the evidence of its entries."""
        now = self._clock()
        return replace(
            summary,
            crashes=self._evidence.list_own_crashes(now),
            successes=self._evidence.list_own_successes(now),
            refusals=tuple(
                replace(refusal, age_seconds=round(now - at, 3))
                for at, refusal in self._refused.values()
                if now - at <= REPORT_SECONDS
            ),
        )

    def list_suspensions(self) -> tuple[Suspension, ...]:
        """Return the suspensions that this replica has applied."""
        return tuple(self._machine.state.suspensions)

    def list_ends(self) -> tuple[EndpointCrash, ...]:
        """Return the recent ends of endpoints, for entries."""
        return self._evidence.list_ends(self._clock())

    def list_successes(self) -> tuple[CauseReport, ...]:
        """Return the successes with the causes that entries are asked about."""
        return self._evidence.list_successes(self._clock())

    def count_ends(self) -> int:
        """Return the number of recent ends of endpoints that are weighed."""
        return self._evidence.count_ends(self._clock())

    def list_questions(self) -> tuple[Cause, ...]:
        """Return the causes of which entries are to report successes."""
        return self._evidence.list_questions(self._list_suspended(), self._clock())

    def observe(self) -> None:
        """Note which suspensions exist; to be called several times a second."""
        self._timer.observe(self._machine.state.suspensions, time(), self._clock())

    def list_commands(self) -> list[SuspensionCommand]:
        """Return the commands to commit now; to be called on the leader only."""
        self.observe()
        now = self._clock()
        self._log_weights(now)
        commands: list[SuspensionCommand] = [
            self._suspend(cause)
            for cause in self._evidence.find_causes(self._list_suspended(), now)
        ]
        for suspension in self._machine.state.suspensions:
            command = self._review(suspension, now)
            if command is not None:
                commands.append(command)
        return commands

    def _log_weights(self, now: Seconds) -> None:
        """Log what the ends of endpoints speak against, when one was added."""
        ends = self._evidence.count_ends(now)
        is_due = now - self._weights_logged_at >= WEIGHTS_INTERVAL_SECONDS
        if ends > self._logged_ends and is_due:
            self._weights_logged_at = now
            log_event(
                "suspension",
                "Crashes weighed.",
                ends=ends,
                causes=self._evidence.describe_weights(self._list_suspended(), now),
            )
            self._logged_ends = ends
        self._logged_ends = min(self._logged_ends, ends)

    def _suspend(self, cause: Cause) -> SuspendCause:
        log_event(
            "suspension",
            "Cause of crashes found.",
            kind=cause.kind,
            cause=cause.id,
            ends=self._evidence.describe_ends(cause, self._clock()),
        )
        return SuspendCause(cause, self._list_versions(cause.service), time())

    def _review(self, suspension: Suspension, now: Seconds) -> SuspensionCommand | None:
        cause = suspension.cause
        elapsed = self._timer.measure(suspension, now)
        success_age = now - self._evidence.find_last_success(cause)
        if success_age < elapsed:
            log_event("suspension", "Cause cleared.", kind=cause.kind, cause=cause.id)
            return LiftSuspension(cause, suspension.index)
        versions = self._list_versions(cause.service)
        is_due = elapsed >= compute_trial_delay(suspension, versions)
        if not is_due or cause not in self._refused:
            return None
        refused_at, refusal = self._refused[cause]
        if now - refused_at > REPORT_SECONDS:
            return None
        log_event("suspension", "Trial granted.", cause=cause.id, entry=refusal.entry)
        return GrantTrial(
            cause,
            suspension.index,
            refusal.entry,
            refusal.incarnation,
            versions,
            time(),
        )

    def _record_refusal(self, refusal: Refusal) -> None:
        at = Seconds(self._clock() - refusal.age_seconds)
        known = self._refused.pop(refusal.cause, None)
        is_newest = known is None or known[0] < at
        self._refused[refusal.cause] = (at, refusal) if is_newest else known
        if len(self._refused) > MAX_REFUSALS:
            del self._refused[next(iter(self._refused))]

    def _list_suspended(self) -> frozenset[Cause]:
        return frozenset(item.cause for item in self._machine.state.suspensions)

    def _list_versions(self, service: ServiceName) -> tuple[str, ...]:
        return tuple(
            sorted(
                {
                    heartbeat.version
                    for heartbeat in self._directory.list_heartbeats()
                    if heartbeat.service == service
                }
            )
        )
