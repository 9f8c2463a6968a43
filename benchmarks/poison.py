"""Poison requests: crashes, refused harmless requests, time to clear suspects."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from click import command, option

from benchmarks.report import Row, find_percentiles, write_report
from benchmarks.simulation import Simulation
from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import EndpointId, Fingerprint, Incarnation
from bergamotwood_core.quarantine import (
    QUARANTINE_CRASHES,
    FinishedRequests,
    Isolated,
    Isolation,
    RefuseRequest,
    RunNow,
    WaitFor,
    assign_endpoints,
    check_fingerprint,
    plan_dispatch,
)
from bergamotwood_core.tables import Suspect

ENDPOINTS = 10
ENTRIES = 9
RATE = 30.0
RUN_SECONDS = 600.0
DRAIN_SECONDS = 120.0
POISON_SHARE = 0.001
# Share of the harmless requests that all have the same fingerprint.
COMMON_SHARE = 0.05
SERVICE_SECONDS = 4.0
CRASH_DELAY_SECONDS = 0.3
RESTART_SECONDS = 5.0
COMMIT_SECONDS = 0.01
RESENDS = 5
RESEND_SECONDS = 0.2
# Share of the poison requests that the caller sends twice.
DUPLICATE_SHARE = 0.3
MAX_ATTEMPTS = 6


class Incident(NamedTuple):
    """One crash of one incarnation of an endpoint."""

    endpoint: EndpointId
    incarnation: Incarnation


def record_incident(
    suspects: dict[Fingerprint, Suspect], fingerprint: Fingerprint, incident: Incident
) -> None:
    """Count a crash of a suspect, as the control state machine does."""
    known = suspects.get(fingerprint, Suspect())
    suspects[fingerprint] = Suspect(known.crashes + 1, incident.endpoint)


@dataclass(eq=False)
class Call:
    """One request at one entry."""

    fingerprint: Fingerprint
    poison: bool
    sent_at: float
    service_seconds: float
    resends: int
    entry: "EntryFake"
    attempts: int = 0
    recorded_first: bool = False
    suspected_at: float | None = None


@dataclass(eq=False)
class EndpointFake:
    """Runs calls; a poison call crashes it after `CRASH_DELAY_SECONDS`."""

    id: EndpointId
    incarnation: Incarnation = Incarnation(1)
    up: bool = True
    running: set[Call] = field(default_factory=set)


@dataclass(eq=False)
class EntryFake:
    """One entry's replica of the suspects and its own quarantine state."""

    number: int
    suspects: dict[Fingerprint, Suspect] = field(default_factory=dict)
    isolation: Isolation = field(default_factory=Isolation)
    finished: FinishedRequests = field(default_factory=FinishedRequests)
    updated_at: float = 0.0


@dataclass
class Case:
    """Quarantine rules of one case.

    Parameters
    ----------
    name : str
        Name in the table.
    record_suspects : bool
        Whether suspects are recorded at all.
    single_retry : bool
        Whether suspects wait, and only the entry that recorded a crash first retries.
    lag_seconds : float
        Maximum time until a committed record reaches an entry.
    """

    name: str
    record_suspects: bool
    single_retry: bool
    lag_seconds: float


class PoisonFleet:
    """Simulates entries, endpoints, callers and a replicated table of suspects.

    Parameters
    ----------
    case : Case
        Rules to apply.
    seed : int
        Seed of all random draws.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = Random(seed)
        self.simulation = Simulation()
        self.endpoints = [
            EndpointFake(EndpointId(f"e{number}")) for number in range(ENDPOINTS)
        ]
        self.entries = [EntryFake(number) for number in range(ENTRIES)]
        self.committed_suspects: dict[Fingerprint, Suspect] = {}
        self.reports: set[tuple[Fingerprint, Incident]] = set()
        self.crashes: dict[Fingerprint, int] = {}
        self.harmless = 0
        self.harmless_refused = 0
        self.harmless_failed = 0
        self.latencies: list[float] = []
        self.clear_seconds: list[float] = []

    def run(self) -> None:
        """Run all callers, then let the open requests finish."""
        time, number = self.rng.expovariate(RATE), 0
        while time < RUN_SECONDS:
            self.simulation.schedule(time, lambda n=number: self._arrive(n))
            time += self.rng.expovariate(RATE)
            number += 1
        self.simulation.run(RUN_SECONDS + DRAIN_SECONDS)

    def _arrive(self, number: int) -> None:
        """Let a caller send one request; some callers send a poison request twice."""
        poison = self.rng.random() < POISON_SHARE
        common = not poison and self.rng.random() < COMMON_SHARE
        name = "common" if common else f"{'p' if poison else 'i'}{number}"
        if poison:
            self.crashes[Fingerprint(name)] = 0
        else:
            self.harmless += 1
        seconds = self.rng.gammavariate(2.0, SERVICE_SECONDS / 2)
        self._send(Fingerprint(name), poison, seconds, RESENDS)
        if poison and self.rng.random() < DUPLICATE_SHARE:
            self.simulation.schedule(
                CRASH_DELAY_SECONDS / 2,
                lambda: self._send(Fingerprint(name), poison, seconds, 0),
            )

    def _send(
        self, fingerprint: Fingerprint, poison: bool, seconds: float, resends: int
    ) -> None:
        """Submit a request to a random entry, as if it had a new idempotency key."""
        entry = self.rng.choice(self.entries)
        now = self.simulation.now
        self._plan(Call(fingerprint, poison, now, seconds, resends, entry))

    def _plan(self, call: Call) -> None:
        """Run, delay or refuse a request according to its entry's suspects."""
        clearance = check_fingerprint(call.entry.suspects, call.fingerprint)
        if not self.case.single_retry:
            refused = (
                self.case.record_suspects and call.fingerprint in call.entry.suspects
            )
            refused = refused and not isinstance(clearance, Isolated)
            self._refuse(call) if refused else self._place(call, clearance)
            return
        known = call.fingerprint in call.entry.suspects
        if (known or call.attempts) and call.suspected_at is None:
            call.suspected_at = self.simulation.now
        waited = 0.0
        if call.suspected_at is not None:
            waited = self.simulation.now - call.suspected_at
        match plan_dispatch(clearance, call.attempts > 0, call.recorded_first, waited):
            case RunNow():
                self._place(call, clearance)
            case WaitFor(seconds):
                self._plan_later(call, min(seconds, 0.25))
            case RefuseRequest():
                self._refuse(call)

    def _plan_later(self, call: Call, seconds: float) -> None:
        self.simulation.schedule(max(0.01, seconds), lambda: self._plan(call))

    def _place(self, call: Call, clearance: object) -> None:
        """Send a request to the less busy of two random allowed endpoints.

        With `single_retry`, an isolated suspect runs only on its assigned endpoint.
        """
        entry = call.entry
        up = [candidate for candidate in self.endpoints if candidate.up]
        assigned: dict[Fingerprint, EndpointId] = {}
        if self.case.single_retry:
            assigned = assign_endpoints(
                entry.suspects, [candidate.id for candidate in up]
            )
        isolated = isinstance(clearance, Isolated) and self.case.record_suspects
        if isolated and self.case.single_retry:
            allowed = [
                candidate
                for candidate in up
                if candidate.id == assigned.get(call.fingerprint)
            ]
        else:
            reserved = entry.isolation.endpoints | set(assigned.values())
            allowed = [candidate for candidate in up if candidate.id not in reserved]
        if not allowed:
            self._plan_later(call, 0.1)
            return
        sampled = (
            allowed if isolated else self.rng.sample(allowed, min(2, len(allowed)))
        )
        endpoint = min(sampled, key=lambda candidate: len(candidate.running))
        if isolated and not entry.isolation.start(call.fingerprint, endpoint.id):
            self._plan_later(call, 0.1)
            return
        self._start(call, endpoint)

    def _start(self, call: Call, endpoint: EndpointFake) -> None:
        call.attempts += 1
        endpoint.running.add(call)
        incarnation = endpoint.incarnation
        if call.poison:
            self.simulation.schedule(
                CRASH_DELAY_SECONDS, lambda: self._crash(call, endpoint, incarnation)
            )
            return
        self.simulation.schedule(
            call.service_seconds, lambda: self._finish(call, endpoint, incarnation)
        )

    def _crash(
        self, call: Call, endpoint: EndpointFake, incarnation: Incarnation
    ) -> None:
        """Crash the endpoint if it still runs the call."""
        if endpoint.incarnation != incarnation or call not in endpoint.running:
            return
        self.crashes[call.fingerprint] += 1
        lost, endpoint.running = endpoint.running, set()
        incident = Incident(endpoint.id, incarnation)
        endpoint.incarnation = Incarnation(incarnation + 1)
        endpoint.up = False
        self.simulation.schedule(RESTART_SECONDS, lambda: setattr(endpoint, "up", True))
        for other in sorted(lost, key=lambda item: (item.fingerprint, item.sent_at)):
            other.entry.isolation.stop(other.fingerprint, endpoint.id)
            self.simulation.schedule(
                COMMIT_SECONDS, lambda other=other: self._record(other, incident)
            )

    def _record(self, call: Call, incident: Incident) -> None:
        """Commit a crash record, then plan the next attempt or fail the call."""
        known_good = self.case.single_retry and call.fingerprint in call.entry.finished
        if self.case.record_suspects and not known_good:
            report = (call.fingerprint, incident)
            call.recorded_first = report not in self.reports
            call.suspected_at = self.simulation.now
            if call.recorded_first:
                self.reports.add(report)
                self._replicate(
                    call.entry,
                    lambda table: record_incident(table, call.fingerprint, incident),
                )
        if call.attempts >= MAX_ATTEMPTS:
            self._fail(call)
            return
        self._plan(call)

    def _finish(
        self, call: Call, endpoint: EndpointFake, incarnation: Incarnation
    ) -> None:
        if endpoint.incarnation != incarnation or call not in endpoint.running:
            return
        endpoint.running.discard(call)
        call.entry.finished.add(call.fingerprint)
        call.entry.isolation.stop(call.fingerprint, endpoint.id)
        self.latencies.append(self.simulation.now - call.sent_at)
        if call.fingerprint in call.entry.suspects:
            self._clear(call)

    def _clear(self, call: Call) -> None:
        """Commit that a suspect finished, which clears it."""
        if call.suspected_at is not None:
            self.clear_seconds.append(self.simulation.now - call.suspected_at)

        def clear(table: dict[Fingerprint, Suspect]) -> None:
            suspect = table.get(call.fingerprint)
            if suspect is not None and (self.case.single_retry or suspect.crashes < 2):
                del table[call.fingerprint]

        self._replicate(call.entry, clear)

    def _replicate(
        self, recorder: EntryFake, change: Callable[[dict[Fingerprint, Suspect]], None]
    ) -> None:
        """Apply a change to the committed table, then with a lag to every entry.

        Each entry applies the changes in order; the recording entry has no lag.
        """
        change(self.committed_suspects)
        now = self.simulation.now
        for entry in self.entries:
            lag = self.rng.uniform(0.0, self.case.lag_seconds)
            if entry is recorder:
                lag = 0.0
            entry.updated_at = Seconds(max(entry.updated_at, now + lag))
            delay = entry.updated_at - now
            self.simulation.schedule(delay, lambda table=entry.suspects: change(table))

    def _refuse(self, call: Call) -> None:
        if not call.poison:
            self.harmless_refused += 1
        self._schedule_resend(call)

    def _fail(self, call: Call) -> None:
        if not call.poison:
            self.harmless_failed += 1
        self._schedule_resend(call)

    def _schedule_resend(self, call: Call) -> None:
        """Let the caller resend a failed or refused request if resends are left."""
        if not call.resends:
            return
        self.simulation.schedule(
            RESEND_SECONDS,
            lambda: self._send(
                call.fingerprint, call.poison, call.service_seconds, call.resends - 1
            ),
        )


def run_case(case: Case, seeds: range) -> Row:
    """Run one set of rules over several seeds."""
    fleets = [PoisonFleet(case, seed) for seed in seeds]
    for fleet in fleets:
        fleet.run()
    crashes = [count for fleet in fleets for count in fleet.crashes.values()]
    cleared = find_percentiles([s for fleet in fleets for s in fleet.clear_seconds])
    latency = find_percentiles([s for fleet in fleets for s in fleet.latencies])
    harmless = sum(fleet.harmless for fleet in fleets)
    return {
        "rules": case.name,
        "lag": case.lag_seconds,
        "poison": len(crashes),
        "crashes_mean": sum(crashes) / max(1, len(crashes)),
        "crashes_max": max(crashes, default=0),
        "above_2": sum(count > QUARANTINE_CRASHES for count in crashes),
        "innocents": harmless,
        "refused": sum(fleet.harmless_refused for fleet in fleets),
        "failed": sum(fleet.harmless_failed for fleet in fleets),
        "clear50": cleared[0],
        "clear99": cleared[2],
        "done99": latency[2],
    }


CASES = (
    Case("none", record_suspects=False, single_retry=False, lag_seconds=0.2),
    Case("retry at once", record_suspects=True, single_retry=False, lag_seconds=0.2),
    Case("settle", record_suspects=True, single_retry=True, lag_seconds=0.2),
    Case("settle", record_suspects=True, single_retry=True, lag_seconds=1.0),
)


@command()
@option("--seed", default=11, show_default=True)
@option("--seeds", default=5, show_default=True)
def main(seed: int, seeds: int) -> None:
    """Run every set of rules."""
    print(f"seeds {seed} to {seed + seeds - 1}")
    seed_range = range(seed, seed + seeds)
    write_report("poison", seed, [run_case(case, seed_range) for case in CASES])


if __name__ == "__main__":
    main()
