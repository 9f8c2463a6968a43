"""Roll-outs at the gateway: exposure to a slower version, and false stops."""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from click import command, option

from benchmarks.report import Row, write_report
from benchmarks.simulation import Simulation
from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call, RequestMetadata
from bergamotwood_core.gateway.configuration import (
    Destination,
    RouteKind,
    ServiceRoute,
)
from bergamotwood_core.gateway.latency import LatencyTable, Progress, Timing
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import (
    RegressionDetector,
    choose_outcome,
    choose_share,
    compute_early_share,
)
from bergamotwood_core.ids import (
    Fingerprint,
    LogIndex,
    ModelName,
    RequestId,
    ServiceName,
)
from bergamotwood_daemon.gateway.evidence import EvidenceCounter, OpenRequest

SERVICE = ServiceName("models")
MODEL = ModelName("small")
# Requests a second, mean time to the start of the answer, between events, and mean
# number of events, of each route.
ROUTES = {
    "long": (7.0, 0.5, 0.03, 30.0),
    "middle": (3.0, 0.35, 0.03, 13.0),
    "short": (7.0, 0.15, 0.03, 43.0),
}
ORDER_SECONDS = 20.0
DURATION_SECONDS = 15.0
# Time until the endpoints of the new version are there.
READY_SECONDS = 1.5
DEADLINE_SECONDS = 15.0
# Time until reports and shares have gone from entries to the leader and back.
REPORT_SECONDS = 0.5
DECIDE_SECONDS = 0.25
# The platform's bounds for requests that reach a bad version.
EXPOSURE_RATIO = 0.15
EXPOSURE_TOLERANCE = 30
# Longest time for which new endpoints lack the prompts that others have cached, and
# how much longer their answers take to start meanwhile, at most.
COLD_SECONDS = 6.0
COLD_FACTOR = 5.0


@dataclass
class Case:
    """A new version and the load in one case.

    Parameters
    ----------
    name : str
        Name in the table.
    slow_share, slow_factor : float
        Share of the new version's answers that are slow, and how much slower.
    load : float
        Multiple of the traffic.
    busy_factor : float
        Multiple of all times while the roll-out runs, on both versions.
    is_hidden : bool
        Whether the new version is bad, but shows it only after the deadline.
    """

    name: str
    slow_share: float = 0.0
    slow_factor: float = 8.0
    load: float = 1.0
    busy_factor: float = 1.0
    is_hidden: bool = False

    @property
    def is_bad(self) -> bool:
        """Whether the new version has to be rolled back."""
        return self.slow_share > 0.0


CASES = (
    Case("good"),
    Case("good, half the traffic", load=0.5),
    Case("good, busy", busy_factor=2.0),
    Case("half eight times slower", slow_share=0.5),
    Case("half eight times slower, busy", slow_share=0.5, busy_factor=2.0),
    Case("half eight times slower, half the traffic", slow_share=0.5, load=0.5),
    Case("half four times slower", slow_share=0.5, slow_factor=4.0),
    Case("all four times slower", slow_share=1.0, slow_factor=4.0),
    Case("fault not seen", is_hidden=True),
    Case("fault not seen, half the traffic", load=0.5, is_hidden=True),
    Case("fault not seen, four times the traffic", load=4.0, is_hidden=True),
    Case("fault not seen, busy", busy_factor=2.0, is_hidden=True),
)


class RolloutRun:
    """One roll-out with the requests that come meanwhile."""

    def __init__(self, case: Case, seed: int) -> None:
        self.simulation = Simulation()
        self.outcome = RolloutOutcome.IN_PROGRESS
        self.settled_at = 0.0
        self.requests = self.exposed = 0
        self._case = case
        self._rng = Random(seed)
        self._latencies = LatencyTable()
        self._evidence = EvidenceCounter()
        self._detector = RegressionDetector()
        self._rollout = ServiceRollout(
            SERVICE, "v2", DURATION_SECONDS, self.outcome, LogIndex(1), 0.0
        )
        self._share = 0.0
        self._early_share: float | None = None
        self._open_before = 0

    def run(self) -> None:
        """Play the case once."""
        end = ORDER_SECONDS + DEADLINE_SECONDS
        for route, (rate, *_) in ROUTES.items():
            for at in self._draw_times(rate * self._case.load, end):
                self.simulation.schedule(at, lambda route=route: self._send(route))
        self.simulation.schedule_every(DECIDE_SECONDS, self._decide, end)
        self.simulation.run(end)

    def _draw_times(self, rate: float, end: float) -> Iterator[float]:
        at = 0.0
        while (at := at + self._rng.expovariate(rate)) < end:
            yield at

    def _send(self, route: str) -> None:
        now, rng, case = self.simulation.now, self._rng, self._case
        is_new = rng.random() < self._share
        elapsed = now - ORDER_SECONDS
        if elapsed >= 0.0:
            self.requests += 1
            self.exposed += is_new
        _, head, event, events = ROUTES[route]
        factor = rng.lognormvariate(0.0, 0.4)
        if elapsed >= 0.0:
            factor *= case.busy_factor
        if is_new and rng.random() < case.slow_share:
            factor *= case.slow_factor
        head *= factor * rng.lognormvariate(0.0, 0.5)
        if is_new and elapsed < COLD_SECONDS:
            head *= rng.uniform(1.0, COLD_FACTOR)
        count = max(int(rng.expovariate(1.0 / events)), 1)
        seconds = head + count * event * factor
        timing = Timing(head, seconds, count)
        self._open_before += not is_new
        call = make_call(route)
        request = None
        if elapsed >= 0.0:
            request = self._evidence.open(
                self._rollout,
                "v2" if is_new else "v1",
                call,
                lambda: self._measure(timing, now),
                lambda progress: self._latencies.is_slow_already(
                    route, MODEL, progress
                ),
            )
        self.simulation.schedule(
            seconds, lambda: self._finish(call, timing, is_new, request)
        )

    def _measure(self, timing: Timing, sent_at: Seconds) -> Progress:
        seconds = self.simulation.now - sent_at
        has_begun = seconds >= timing.head_seconds
        since_head = max(seconds - timing.head_seconds, 0.0)
        return Progress(
            seconds=seconds,
            head_seconds=timing.head_seconds if has_begun else None,
            events=int(since_head / timing.event_seconds),
            is_stream=True,
        )

    def _finish(
        self, call: Call, timing: Timing, is_new: bool, request: OpenRequest | None
    ) -> None:
        self._open_before -= not is_new
        is_slow = self._latencies.is_slow(call.route.name, MODEL, timing)
        if request is not None:
            self._evidence.close(request, is_slow)
        if not is_new:
            self._latencies.record(call.route.name, MODEL, timing)

    def _decide(self) -> None:
        elapsed = self.simulation.now - ORDER_SECONDS
        if elapsed < 0.0 or self.outcome is not RolloutOutcome.IN_PROGRESS:
            return
        evidence = list(self._evidence.list_counts())
        detector = self._detector
        detector.update(self._rollout, evidence, Seconds(self.simulation.now))
        is_suspected = detector.suspected_route is not None
        is_ready = elapsed >= READY_SECONDS
        if self._early_share is None:
            self._early_share = compute_early_share(self._rollout, elapsed, evidence)
        share = choose_share(
            self._rollout,
            elapsed,
            evidence,
            is_ready,
            is_suspected,
            self._early_share or 0.0,
        )
        outcome = choose_outcome(
            self._rollout,
            elapsed,
            detector.regressed_route,
            share,
            self._open_before,
            is_suspected,
            detector.is_undecided,
        )
        self.simulation.schedule(REPORT_SECONDS, lambda: self._apply(share, outcome))

    def _apply(self, share: float, outcome: RolloutOutcome) -> None:
        if self.outcome is not RolloutOutcome.IN_PROGRESS:
            return
        self.outcome = outcome
        if outcome is not RolloutOutcome.IN_PROGRESS:
            self.settled_at = self.simulation.now - ORDER_SECONDS
        self._share = 0.0 if outcome is RolloutOutcome.ROLLED_BACK else share

    @property
    def is_overexposed(self) -> bool:
        """Whether a bad version got more requests than the platform allows."""
        limit = EXPOSURE_RATIO * self.requests + EXPOSURE_TOLERANCE
        is_bad = self._case.is_bad or self._case.is_hidden
        return is_bad and self.exposed > limit


def make_call(route: str) -> Call:
    """Return a request of a route."""
    return Call(
        metadata=RequestMetadata(RequestId("q")),
        route=ServiceRoute(
            name=route,
            host="h.example",
            path_prefix="/",
            kind=RouteKind.STREAMING,
            destinations=(Destination(SERVICE),),
            timeout_seconds=20.0,
            latency_objective_seconds=2.0,
            max_attempts=3,
        ),
        workspace=None,
        service=SERVICE,
        received_at=Seconds(0.0),
        deadline=Seconds(20.0),
        fingerprint=Fingerprint("f"),
        model=MODEL,
    )


def summarize(case: Case, runs: list[RolloutRun]) -> Row:
    """Return a row with the results of one case over its seeds."""
    wanted = RolloutOutcome.ROLLED_BACK if case.is_bad else RolloutOutcome.COMPLETED
    return {
        "case": case.name,
        "seeds": len(runs),
        "right outcome": sum(run.outcome is wanted for run in runs) / len(runs),
        "overexposed": sum(run.is_overexposed for run in runs),
        "exposed, mean": sum(run.exposed for run in runs) / len(runs),
        "exposed, most": max(run.exposed for run in runs),
        "settled, mean s": sum(run.settled_at for run in runs) / len(runs),
    }


def play(case: Case, seed: int, seeds: int) -> list[RolloutRun]:
    """Play a case with some seeds."""
    runs = [RolloutRun(case, seed + at) for at in range(seeds)]
    for run in runs:
        run.run()
    return runs


@command()
@option("--seed", default=1, help="First seed.")
@option("--seeds", default=200, help="Number of seeds of each case.")
@option("--short", is_flag=True, help="Ten seeds of each case.")
def main(seed: int, seeds: int, short: bool) -> None:
    """Roll out good and slower versions while requests come."""
    count = 10 if short else seeds
    rows = [summarize(case, play(case, seed, count)) for case in CASES]
    write_report("gateway_rollout", seed, rows)


if __name__ == "__main__":
    main()
