"""Execution of scenarios on a fleet and collection of their evidence."""

from collections.abc import Callable
from pathlib import Path
from random import Random

import gevent
from msgspec import json

from bergamotwood_core.messages import Address
from bergamotwood_fakes.evidence import Evidence, PlannedStop
from bergamotwood_fakes.expectation import find_unmet
from bergamotwood_fakes.fleet import (
    ENDPOINT_KEY,
    OPERATOR_KEY,
    Fleet,
    FleetError,
    send_http_request,
    wait_until,
)
from bergamotwood_fakes.language import Scenario, get_verb
from bergamotwood_fakes.operator import Operator
from bergamotwood_fakes.record import Event, read_clock
from bergamotwood_fakes.rule import Action, Rule
from bergamotwood_fakes.sampler import Sampler
from bergamotwood_fakes.sender import Sender
from bergamotwood_fakes.step import (
    AnnounceStep,
    Condition,
    ExpectStep,
    FaultStep,
    LinkStep,
    SendStep,
    Step,
    TicketStep,
)
from bergamotwood_fakes.transcript import Transcript

START_TIMEOUT_SECONDS = 30.0
SEND_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 60.0
LINK_VERBS = tuple(str(action) for action in Action)
FAULT_VERBS = (
    *LINK_VERBS,
    *("fault", "stop", "pause", "kill", "restart", "lose_disk"),
)


class Runner:
    """Executes the steps of a scenario.

    Parameters
    ----------
    scenario : Scenario
        Scenario to execute.
    fleet : Fleet
        The started fleet.
    operator : Operator
        Submits the tickets.
    sampler : Sampler
        Samples the entries' configurations.

    Attributes
    ----------
    departures : list of PlannedStop
        Graceful stops that steps requested.
    expected_exits : set of str
        Processes that steps stopped, killed or restarted, or whose disk they lost.
    unmet : list of str
        Failed steps, expectations that were not met, and time-outs.
    first_fault_at : float or None
        Time of the first step with a fault, in seconds since boot; None before it.
    """

    def __init__(
        self, scenario: Scenario, fleet: Fleet, operator: Operator, sampler: Sampler
    ) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._operator = operator
        self._sampler = sampler
        self._senders: dict[str, Sender] = {}
        self._started_at = 0.0
        self._stop_tasks: list[gevent.Greenlet] = []
        self.departures: list[PlannedStop] = []
        self.expected_exits: set[str] = set()
        self.unmet: list[str] = []
        self.first_fault_at: float | None = None

    @property
    def transcripts(self) -> list[Transcript]:
        """The transcripts of all streams."""
        return [
            transcript
            for sender in self._senders.values()
            for transcript in sender.transcripts
        ]

    def run(self) -> None:
        """Execute all steps, then wait for unfinished requests and shutdowns."""
        self._started_at = read_clock()
        for number, step in enumerate(self._scenario.steps, 1):
            try:
                self._wait_for(step)
                self._execute(get_verb(step), step)
            except FleetError as error:
                self.unmet.append(f"step {number}: {error}")
        self._finish()

    def _finish(self) -> None:
        """Remove the proxy's rules and wait for unfinished requests and shutdowns."""
        if self._fleet.plan.proxy:
            self._fleet.clear_rules()
        for name, sender in self._senders.items():
            if not sender.wait(SEND_TIMEOUT_SECONDS):
                self.unmet.append(
                    f"requests of {name} did not finish within {SEND_TIMEOUT_SECONDS} s"
                )
        gevent.joinall(self._stop_tasks, STOP_TIMEOUT_SECONDS)

    def _wait_for(self, step: Step) -> None:
        """Wait for the time and for the condition of a step."""
        if step.at is not None:
            gevent.sleep(max(0.0, self._started_at + step.at - read_clock()))
        if step.when is not None:
            condition = step.when
            wait_until(
                lambda: self.is_met(condition), condition.within, f"when {condition}"
            )

    def is_met(self, condition: Condition) -> bool:
        """Whether a condition is met now."""
        return all(
            predicate(condition) for predicate in self._list_predicates(condition)
        )

    def _list_predicates(
        self, condition: Condition
    ) -> list[Callable[[Condition], bool]]:
        """List one predicate for each given field of a condition."""
        predicates = []
        if condition.answered is not None:
            predicates.append(lambda c: self._count_answered(c.of) >= c.answered)
        if condition.tried is not None:
            predicates.append(lambda c: self._count_tried(c.of) >= c.tried)
        if condition.running is not None:
            predicates.append(lambda c: self._count_runs(True) >= c.running)
        if condition.ran is not None:
            predicates.append(lambda c: self._count_runs(False) >= c.ran)
        if condition.finished is not None:
            predicates.append(lambda c: self._senders[c.finished].finished)
        if condition.effective:
            predicates.append(lambda _: self._is_effective())
        if condition.repaired:
            predicates.append(lambda _: self._is_repaired())
        if condition.endpoints is not None:
            predicates.append(lambda c: self._knows_endpoints(c.endpoints))
        if condition.ended is not None:
            predicates.append(lambda c: not self._fleet.members[c.ended].running)
        return predicates

    def _find_transcripts(self, name: str) -> list[Transcript]:
        """Find the transcripts of one stream, or of all streams."""
        return self._senders[name].transcripts if name else self.transcripts

    def _count_answered(self, name: str) -> int:
        """Count answered requests."""
        return sum(
            transcript.answer is not None for transcript in self._find_transcripts(name)
        )

    def _count_tried(self, name: str) -> int:
        """Count begun requests."""
        return len(self._find_transcripts(name))

    def _count_runs(self, open_only: bool) -> int:
        """Count the started runs, or only those still in progress."""
        records = self._fleet.read_records()
        starts = sum(record.event is Event.START for record in records)
        ends = len(records) - starts
        return starts - ends if open_only else starts

    def _is_effective(self) -> bool:
        """Whether all running entries apply the latest accepted ticket."""
        for entry in self._fleet.entries:
            if not entry.running:
                continue
            status = self._fleet.read_status(entry)
            if status is None or status["ticket"] < self._operator.newest_accepted:
                return False
        return True

    def _is_repaired(self) -> bool:
        """Whether all running control replicas take part in voting."""
        running = [entry for entry in self._fleet.entries if entry.running]
        statuses = [self._fleet.read_status(entry) for entry in running]
        return all(
            status is not None and status["voting"] is not False for status in statuses
        )

    def _knows_endpoints(self, number: int) -> bool:
        """Whether all running entries know at least `number` endpoints."""
        running = [entry for entry in self._fleet.entries if entry.running]
        statuses = [self._fleet.read_status(entry) for entry in running]
        return all(
            status is not None and status["endpoints"] >= number for status in statuses
        )

    def _execute(self, verb: str, step: Step) -> None:
        """Execute the verb of a step."""
        if verb in FAULT_VERBS and self.first_fault_at is None:
            self.first_fault_at = read_clock()
        match verb, getattr(step, verb, None):
            case _, TicketStep() as ticket:
                self._submit(ticket)
            case _, SendStep() as send:
                self._send(send)
            case _, FaultStep() as fault:
                for name in fault.of:
                    self._fleet.set_faults(name, fault.faults)
            case _, LinkStep() as link:
                self._fleet.add_rule(_make_rule(verb, link))
            case _, AnnounceStep() as announce:
                self._announce(announce)
            case _, ExpectStep() as expect:
                self._expect(expect)
            case "heal", _:
                self._fleet.clear_rules()
            case _, str() as name:
                self._act_on_process(verb, name)

    def _act_on_process(self, verb: str, name: str) -> None:
        """Execute a verb that applies to one process."""
        member = self._fleet.members[self._resolve_process_name(name)]
        match verb:
            case "start":
                self._fleet.launch(member.name)
            case "stop":
                self._stop_tasks.append(gevent.spawn(self._stop, member.name))
                # Lets the shutdown begin before the next step.
                gevent.sleep(0)
            case "pause":
                member.pause()
            case "wake":
                member.resume()
            case "kill":
                self.expected_exits.add(member.name)
                member.kill()
            case "restart":
                self.expected_exits.add(member.name)
                member.kill()
                self._fleet.launch(member.name)
            case "lose_disk":
                self.expected_exits.add(member.name)
                self._fleet.lose_disk(member.name)

    def _resolve_process_name(self, name: str) -> str:
        """Resolve `leader` and `follower` to names of processes."""
        if name not in ("leader", "follower"):
            return name
        for entry in self._fleet.entries:
            status = self._fleet.read_status(entry) if entry.running else None
            leader = status and status["leader"]
            if not leader:
                continue
            if name == "leader":
                return leader
            controls = self._fleet.entries[: self._fleet.plan.controls]
            return next(
                entry_process.name
                for entry_process in controls
                if entry_process.name != leader
            )
        raise FleetError("no entry knows the leader")

    def _stop(self, name: str) -> None:
        """Shut a process down gracefully and record the result."""
        member = self._fleet.members[name]
        self.expected_exits.add(name)
        member.terminate()
        planned_stop = PlannedStop(name, member.left_at[-1], None, None)
        self.departures.append(planned_stop)
        planned_stop.exit_code = member.wait(STOP_TIMEOUT_SECONDS)
        planned_stop.ended = read_clock()
        if planned_stop.exit_code is None:
            self.unmet.append(f"{name} did not stop within {STOP_TIMEOUT_SECONDS} s")

    def _submit(self, step: TicketStep) -> None:
        """Submit the tickets of a step."""
        content = self._scenario.tickets[step.name]
        if step.rival:
            self._operator.submit_concurrently(
                content, self._scenario.tickets[step.rival]
            )
            return
        for _ in range(step.copies):
            number = self._operator.allocate_number()
            for _ in range(1 + step.resends):
                self._operator.submit(number, content, step.entry)

    def _send(self, step: SendStep) -> None:
        """Start a stream of requests."""
        sender = Sender(self._fleet, step, self._scenario.seed)
        self._senders[step.id] = sender
        sender.start()
        if step.wait and not sender.wait(SEND_TIMEOUT_SECONDS):
            raise FleetError(
                f"requests of {step.id} did not finish within {SEND_TIMEOUT_SECONDS} s"
            )

    def _announce(self, step: AnnounceStep) -> None:
        """Post a changed copy of an endpoint's announcement to an entry."""
        entry = self._fleet.members[step.entry]
        _, body = send_http_request(
            entry.address, "GET", "/v1/endpoints", key=OPERATOR_KEY
        )
        views = {view["announcement"]["id"]: view for view in json.decode(body)}
        if step.of not in views:
            raise FleetError(f"{step.entry} does not know {step.of}")
        announcement = {**views[step.of]["announcement"], **step.changes}
        announcement["sequence"] += step.changes.get("sequence", 1_000_000)
        self._post_announcement(entry.address, announcement)

    def _post_announcement(self, address: Address, announcement: dict) -> None:
        """Post an announcement once."""
        body = json.encode(announcement)
        status, _ = send_http_request(
            address, "POST", "/v1/endpoints", body, ENDPOINT_KEY
        )
        if status != 200:
            raise FleetError(f"announcement refused with status {status}")

    def _expect(self, step: ExpectStep) -> None:
        """Wait until an expectation is met, and record it as unmet on timeout."""

        def check() -> list[str]:
            transcripts = self._find_transcripts(step.of)
            return find_unmet(step, transcripts, self._fleet.read_records())

        try:
            wait_until(lambda: not check(), step.within)
        except FleetError:
            self.unmet.extend(check())


def _make_rule(verb: str, link: LinkStep) -> Rule:
    """Make the proxy rule for a step."""
    return Rule(
        Action(verb), link.sources, link.targets, link.seconds, link.share, link.new_too
    )


def collect_evidence(
    fleet: Fleet,
    operator: Operator,
    sampler: Sampler,
    runners: list[Runner],
    lag: float,
) -> Evidence:
    """Collect the evidence for the checks and stop the fleet."""
    accepted = {ticket.number for ticket in operator.tickets if ticket.accepted}
    kept_tickets = {
        number: operator.is_kept(number) for number in sorted(accepted)[-20:]
    }
    bills = operator.read_bills()
    expected = {name for runner in runners for name in runner.expected_exits}
    expected |= {engine.name for engine in fleet.plan.engines if engine.poison}
    surprises = [
        f"{member.name} exited unexpectedly with status {member.process.poll()}"
        for member in fleet.members.values()
        if not member.running and member.name not in expected
    ]
    records = fleet.read_records()
    for name, code in fleet.stop().items():
        if code != 0:
            surprises.append(f"{name} exited with status {code} when the fleet stopped")
    return Evidence(
        transcripts=[
            transcript for runner in runners for transcript in runner.transcripts
        ],
        records=records,
        tickets=operator.tickets,
        bills=bills,
        samples=list(sampler.samples),
        departures=[
            planned_stop for runner in runners for planned_stop in runner.departures
        ],
        surprises=surprises,
        kept_tickets=kept_tickets,
        lag=lag,
    )


def run_scenarios(
    scenarios: list[Scenario], folder: Path
) -> tuple[Evidence, list[Runner]]:
    """Run scenarios concurrently on the fleet of the first one.

    Parameters
    ----------
    scenarios : list of Scenario
        One scenario, or several that share a fleet.
    folder : Path
        Folder for all files.
    """
    first = scenarios[0]
    with Fleet(first.fleet, folder) as fleet:
        fleet.start()
        operator = Operator(fleet, Random(first.seed))
        sampler = Sampler(fleet)
        runners = [Runner(scenario, fleet, operator, sampler) for scenario in scenarios]
        _prepare_fleet(fleet, operator, first, runners[0])
        sampler.start()
        running = [gevent.spawn(runner.run) for runner in runners]
        gevent.joinall(running, raise_error=True)
        evidence = collect_evidence(fleet, operator, sampler, runners, first.lag)
        return evidence, runners


def _prepare_fleet(
    fleet: Fleet, operator: Operator, scenario: Scenario, runner: Runner
) -> None:
    """Submit the base ticket and wait until all entries know all endpoints."""
    operator.submit(operator.allocate_number(), scenario.tickets["base"])
    plan = fleet.plan
    ready = Condition(effective=True, endpoints=len(plan.engines) + len(plan.services))
    wait_until(lambda: runner.is_met(ready), START_TIMEOUT_SECONDS, "fleet is ready")
