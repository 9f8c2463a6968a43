"""Prompt parts that crash endpoints: time to find them, and sound parts suspended."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from click import command, option
from msgspec.structs import replace

from benchmarks.report import Row, find_percentiles, write_report
from benchmarks.simulation import Simulation
from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.crashes import CrashEvidence
from bergamotwood_core.gateway.suspects import (
    Cause,
    CauseKind,
    CauseReport,
    EndpointCrash,
    ExecutedRequest,
    IncarnationKey,
    StartedAnswer,
    SuspectTable,
)
from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    Incarnation,
    PromptPartId,
    ServiceName,
)

SERVICE = ServiceName("models")
BAD_REQUEST = Fingerprint("resent")
BAD_PART = PromptPartId("bad")
REPLICAS = 3
# First parts, which all callers of a route share, and topics, which some share.
FIRST_PARTS = 3
TOPICS = 60
BEGIN_SECONDS = 5.0
RUN_SECONDS = 40.0
CONTACT_SECONDS = 3.0
# Crashes after which a part or a request is to be stopped within that time.
PART_CRASHES = 5
REQUEST_CRASHES = 3
RESTART_SECONDS = 4.0
MAX_ATTEMPTS = 3
POLL_SECONDS = 0.4
REPORT_SECONDS = 0.05
RELAY_SECONDS = 0.1
DECIDE_SECONDS = 0.25
COMMIT_SECONDS = 0.05
WAKE_SECONDS = 0.1
# Share of the answers that are cut off at their beginning for a larger model.
CUT_SHARE = 0.15


@dataclass
class Case:
    """Size and disruptions of one case.

    Parameters
    ----------
    name : str
        Name in the table.
    entries, endpoints : int
        Size of the fleet.
    rate : float
        Sound requests a second.
    bad_rate : float
        Requests with the bad part a second.
    kill_rate : float
        Endpoints a second that end for other reasons.
    mass_kill : bool
        Whether two thirds of the endpoints are killed together, twice.
    poll_seconds : float
        Interval at which entries hear from their replica.
    crash_seconds : float or None
        Time from the arrival of a bad request to the crash of its endpoint, before any
        answer; None if it crashes after the answer has begun.
    is_request : bool
        Whether one request crashes endpoints and comes again, rather than any with
        the bad part.
    was_served : bool
        Whether the bad part was served before.
    """

    name: str
    entries: int = 9
    endpoints: int = 9
    rate: float = 18.0
    bad_rate: float = 2.0
    kill_rate: float = 0.0
    mass_kill: bool = False
    poll_seconds: float = POLL_SECONDS
    crash_seconds: float | None = None
    is_request: bool = False
    was_served: bool = False


CASES = (
    Case("9 entries"),
    Case("9 entries, rare", bad_rate=0.5),
    Case("9 entries, kills", kill_rate=0.5, mass_kill=True),
    Case("9 entries, slow polls", poll_seconds=1.0),
    Case("9 entries, only kills", bad_rate=0.0, kill_rate=1.0, mass_kill=True),
    Case("before the answer", crash_seconds=0.03, bad_rate=1.4),
    Case("served before", crash_seconds=0.03, bad_rate=1.4, was_served=True),
    Case("at once", crash_seconds=0.001, bad_rate=1.4),
    Case("at once, rare", crash_seconds=0.001, bad_rate=0.2),
    Case("request", bad_rate=1.4, is_request=True),
    Case("request, before", crash_seconds=0.03, bad_rate=1.4, is_request=True),
    Case("request at once", crash_seconds=0.001, bad_rate=1.4, is_request=True),
    Case("request at once, rare", crash_seconds=0.001, bad_rate=0.2, is_request=True),
    Case("390 entries", 390, 70, 180.0, 4.0),
    Case("390 entries, kills", 390, 70, 180.0, 4.0, kill_rate=1.0, mass_kill=True),
)


@dataclass(eq=False)
class Running:
    """A request at an endpoint."""

    entry: "EntryFake"
    request: ExecutedRequest
    attempts: int
    answer: StartedAnswer | None = None


@dataclass(eq=False)
class EndpointFake:
    """An endpoint with its running requests; each start is another incarnation."""

    number: int
    incarnation: int = 1
    is_up: bool = True
    running: set[Running] = field(default_factory=set)

    @property
    def key(self) -> IncarnationKey:
        """Key of the current incarnation."""
        return EndpointId(f"e{self.number}"), Incarnation(self.incarnation)


@dataclass(eq=False)
class EntryFake:
    """An entry with its table, and what it knows of the control group."""

    replica: "ReplicaFake"
    table: SuspectTable = field(default_factory=SuspectTable)
    questions: tuple[Cause, ...] = ()
    suspended: frozenset[Cause] = frozenset()
    is_report_scheduled: bool = False


@dataclass(eq=False)
class ReplicaFake:
    """A control replica's evidence."""

    evidence: CrashEvidence = field(default_factory=CrashEvidence)


class CrashingFleet:
    """Entries, replicas and endpoints while some requests crash what answers them."""

    def __init__(self, case: Case, seed: int) -> None:
        self.simulation = Simulation()
        self.crashed_at: list[float] = []
        self.bad_sent_at: list[float] = []
        self.named: dict[Cause, float] = {}
        self.sound = self.refused = 0
        self._case = case
        self._rng = Random(seed)
        self._number = 0
        self._suspended: frozenset[Cause] = frozenset()
        self._replicas = [ReplicaFake() for _ in range(REPLICAS)]
        self._endpoints = [EndpointFake(at) for at in range(case.endpoints)]
        self._entries = [
            EntryFake(self._replicas[at % REPLICAS]) for at in range(case.entries)
        ]

    def run(self) -> None:
        """Play the case once."""
        simulation, case = self.simulation, self._case
        for entry in self._entries:
            start = self._rng.random() * case.poll_seconds
            simulation.schedule(start, lambda entry=entry: self._poll(entry))
        simulation.schedule_every(RELAY_SECONDS, self._relay, RUN_SECONDS)
        simulation.schedule_every(DECIDE_SECONDS, self._decide, RUN_SECONDS)
        for at in self._draw_times(0.0, case.rate):
            simulation.schedule(at, lambda: self._send(None))
        start = 0.0 if case.was_served else BEGIN_SECONDS
        for at in self._draw_times(start, case.bad_rate):
            simulation.schedule(at, lambda: self._send(BAD_PART))
        for at in self._draw_times(BEGIN_SECONDS, case.kill_rate):
            simulation.schedule(at, lambda: self._end(self._choose_endpoint()))
        if case.mass_kill:
            for at in (BEGIN_SECONDS + 0.5, BEGIN_SECONDS + 12.0):
                simulation.schedule(at, self._kill_many)
        simulation.run(RUN_SECONDS)

    def _draw_times(self, start: float, rate: float) -> Iterator[float]:
        at = start
        while rate and (at := at + self._rng.expovariate(rate)) < RUN_SECONDS:
            yield at

    def _send(self, bad_part: PromptPartId | None) -> None:
        rng = self._rng
        self._number += 1
        first = PromptPartId(f"first-{rng.randrange(FIRST_PARTS)}")
        topic = PromptPartId(f"topic-{int(TOPICS * rng.random() ** 2)}")
        fingerprint = Fingerprint(f"f{self._number}")
        parts = (first, bad_part or topic)
        if bad_part and self._case.is_request:
            fingerprint, parts = BAD_REQUEST, (PromptPartId("first-0"),)
        request = ExecutedRequest(fingerprint, parts, True)
        entry = rng.choice(self._entries)
        self.sound += bad_part is None
        self._attempt(Running(entry, request, 0))

    def _attempt(self, running: Running) -> None:
        is_bad = self._is_bad(running)
        if running.entry.suspended.intersection(running.request.list_causes(SERVICE)):
            self.refused += not is_bad
            return
        endpoint = self._choose_endpoint()
        if endpoint is None or running.attempts >= MAX_ATTEMPTS:
            return
        running.attempts += 1
        running.answer = None
        if is_bad:
            self.bad_sent_at.append(self.simulation.now)
        endpoint.running.add(running)
        key = endpoint.key
        if is_bad and self._case.crash_seconds is not None:
            self.simulation.schedule(
                self._case.crash_seconds, lambda: self._end(endpoint, key)
            )
            return
        seconds = self._rng.uniform(0.03, 0.6)
        self.simulation.schedule(seconds, lambda: self._begin(running, endpoint, key))

    def _begin(
        self, running: Running, endpoint: EndpointFake, key: IncarnationKey
    ) -> None:
        if endpoint.key != key or running not in endpoint.running:
            return
        now = self.simulation.now
        running.answer = running.entry.table.record_answer(
            key, SERVICE, running.request, now
        )
        if self._is_bad(running):
            delay = self._rng.uniform(0.05, 0.18)
            self.simulation.schedule(delay, lambda: self._end(endpoint, key))
        if self._rng.random() < CUT_SHARE:
            running.answer.is_conclusive = False
            endpoint.running.discard(running)
            self.simulation.schedule(0.003, lambda: self._attempt(running))
            return
        seconds = self._rng.uniform(0.1, 3.0)
        self.simulation.schedule(seconds, lambda: self._finish(running, endpoint))

    def _is_bad(self, running: Running) -> bool:
        request = running.request
        is_marked = BAD_PART in request.parts or request.fingerprint == BAD_REQUEST
        return is_marked and self.simulation.now >= BEGIN_SECONDS

    def _finish(self, running: Running, endpoint: EndpointFake) -> None:
        if running in endpoint.running:
            endpoint.running.discard(running)
            running.answer.is_complete = True

    def _end(
        self, endpoint: EndpointFake | None, key: IncarnationKey | None = None
    ) -> None:
        if endpoint is None or not endpoint.is_up or key not in (None, endpoint.key):
            return
        now = self.simulation.now
        if key is not None:
            self.crashed_at.append(now)
        endpoint.is_up = False
        lost, endpoint.running = endpoint.running, set()
        for running in sorted(lost, key=lambda item: item.request.fingerprint):
            self._lose(running, endpoint.key, now)
        self.simulation.schedule(RESTART_SECONDS, lambda: self._restart(endpoint))

    def _lose(self, running: Running, key: IncarnationKey, now: Seconds) -> None:
        entry = running.entry
        if running.answer is None:
            waiting = replace(running.request, has_begun=False)
            entry.table.record_crash(key, SERVICE, waiting, now)
        else:
            entry.table.record_end(key, SERVICE, now)
        if not entry.is_report_scheduled:
            entry.is_report_scheduled = True
            self.simulation.schedule(REPORT_SECONDS, lambda: self._report(entry))
        running.request = replace(running.request, is_resent=True)
        self.simulation.schedule(0.003, lambda: self._attempt(running))

    def _restart(self, endpoint: EndpointFake) -> None:
        endpoint.incarnation += 1
        endpoint.is_up = True

    def _kill_many(self) -> None:
        for endpoint in self._endpoints[: 2 * len(self._endpoints) // 3]:
            self._end(endpoint)

    def _choose_endpoint(self) -> EndpointFake | None:
        up = [endpoint for endpoint in self._endpoints if endpoint.is_up]
        return self._rng.choice(up) if up else None

    def _report(self, entry: EntryFake) -> None:
        now = self.simulation.now
        entry.is_report_scheduled = False
        entry.replica.evidence.apply_report(
            entry.table.list_crashes(now),
            entry.table.list_successes(entry.questions, now),
            now,
        )

    def _poll(self, entry: EntryFake) -> None:
        self._report(entry)
        self.simulation.schedule(
            self._case.poll_seconds, lambda: self._answer_poll(entry)
        )

    def _answer_poll(self, entry: EntryFake) -> None:
        now = self.simulation.now
        evidence = entry.replica.evidence
        entry.questions = evidence.list_questions(self._suspended, now)
        entry.table.apply_ends(evidence.list_ends(now), now)
        self._poll(entry)

    def _relay(self) -> None:
        now = self.simulation.now
        for sender in self._replicas:
            crashes: tuple[EndpointCrash, ...] = sender.evidence.list_own_crashes(now)
            successes: tuple[CauseReport, ...] = sender.evidence.list_own_successes(now)
            for receiver in self._replicas:
                if receiver is not sender:
                    receiver.evidence.apply_relay(crashes, successes, now)

    def _decide(self) -> None:
        now = self.simulation.now
        evidence = self._replicas[0].evidence
        for cause in evidence.find_causes(self._suspended, now):
            self.named[cause] = now
            self._suspended |= {cause}
        for cause in sorted(self._suspended, key=lambda item: item.id):
            if evidence.find_last_success(cause) > self.named[cause]:
                self._suspended -= {cause}
        self.simulation.schedule(COMMIT_SECONDS + WAKE_SECONDS, self._publish)

    def _publish(self) -> None:
        for entry in self._entries:
            entry.suspended = self._suspended


def summarize(case: Case, fleets: list[CrashingFleet]) -> Row:
    """Return a row with the results of one case over its seeds."""
    bad, allowed = Cause(CauseKind.PROMPT_PART, SERVICE, BAD_PART), PART_CRASHES
    if case.is_request:
        bad, allowed = Cause(CauseKind.REQUEST, SERVICE, BAD_REQUEST), REQUEST_CRASHES
    delays, ends, late = [], [], []
    missed = 0
    for fleet in fleets:
        if len(fleet.crashed_at) >= 3 and bad not in fleet.named:
            missed += 1
        if bad in fleet.named:
            # Kills may count as ends that it caused, and name it sooner.
            third = [*fleet.crashed_at, fleet.named[bad], fleet.named[bad]][2]
            delays.append(fleet.named[bad] - third)
            ends.append(len(fleet.crashed_at))
        if len(fleet.crashed_at) >= allowed:
            limit = fleet.crashed_at[allowed - 1] + CONTACT_SECONDS
            late.append(sum(at > limit for at in fleet.bad_sent_at))
    false = [cause for fleet in fleets for cause in fleet.named if cause != bad]
    p50, _, p99 = find_percentiles(delays)
    return {
        "case": case.name,
        "seeds": len(fleets),
        "not named": missed,
        "named after third p50 s": p50,
        "p99 s": p99,
        "ends p50": find_percentiles(ends)[0],
        "sends after bound + 3 s, most": max(late, default=0),
        "over 3": sum(count > 3 for count in late),
        "sound parts named": sum(c.kind is CauseKind.PROMPT_PART for c in false),
        "sound requests named": sum(c.kind is CauseKind.REQUEST for c in false),
        "sound refused share": sum(fleet.refused for fleet in fleets)
        / sum(fleet.sound for fleet in fleets),
    }


@command()
@option("--seed", default=1, help="First seed.")
@option("--seeds", default=50, help="Number of seeds of each case.")
@option("--large", is_flag=True, help="Play 390 entries instead of 9.")
@option("--short", is_flag=True, help="Five seeds of each case.")
def main(seed: int, seeds: int, large: bool, short: bool) -> None:
    """Find a prompt part that crashes endpoints, among crashes for other reasons."""
    rows = []
    for case in CASES:
        if (case.entries > 100) is not large:
            continue
        fleets = [CrashingFleet(case, seed + at) for at in range(5 if short else seeds)]
        for fleet in fleets:
            fleet.run()
        rows.append(summarize(case, fleets))
    write_report("crashing_parts", seed, rows)


if __name__ == "__main__":
    main()
