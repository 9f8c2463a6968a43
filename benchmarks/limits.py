"""Fair shares, priorities, retry budgets and hedged requests."""

from dataclasses import replace
from heapq import heapreplace
from random import Random

from click import command, option

from benchmarks.fleet import Fleet, FleetSettings
from benchmarks.placement import WORKSPACES, find_capacity
from benchmarks.report import Row, find_percentiles, print_table, write_json
from benchmarks.traffic import KINDS, OfferedRequest, make_requests
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.placement import choose_endpoint
from bergamotwood_core.retry import HedgeBudget, RetryBudget

RUN_SECONDS = 240.0
DRAIN_SECONDS = 60.0
FLOOD_START_SECONDS = 60.0
OUTAGE_START_SECONDS = 60.0
OUTAGE_SECONDS = 60.0
RESEND_SECONDS = 0.5
MAX_RESENDS = 3
HEDGE_CALLS = 40_000
HEDGE_SERVERS = 10
# Share of the servers' capacity that the calls use.
HEDGE_LOAD = 0.3
CALL_SECONDS = 0.03
STRAGGLER_SHARE = 0.02
STRAGGLER_SECONDS = 0.6

COLOFN_KINDS = tuple(kind for kind in KINDS if kind.workspace == "colofn")
KUBWA_KINDS = tuple(kind for kind in KINDS if kind.workspace == "kubwa")


def run_flood(seed: int, capacity: float, fair: bool) -> list[Row]:
    """Overload with one workspace while another requests a fifth of the capacity.

    Unless `fair` is set, both count as one workspace for admission control.
    """
    names = {name: name if fair else "all" for name in ("kubwa", "colofn")}
    workspaces = {
        name: Workspace(name=key, max_in_flight=10_000) for name, key in names.items()
    }
    fleet = Fleet(FleetSettings(), choose_endpoint, seed, workspaces)
    rng = Random(seed)
    colofn_requests = list(
        make_requests(capacity * 0.2, RUN_SECONDS, rng, COLOFN_KINDS)
    )
    kubwa_requests = list(
        make_requests(capacity * 0.3, FLOOD_START_SECONDS, rng, KUBWA_KINDS)
    )
    flood = list(
        make_requests(
            capacity * 3.0, RUN_SECONDS - FLOOD_START_SECONDS, rng, KUBWA_KINDS
        )
    )
    for request in flood:
        request.arrived_at += FLOOD_START_SECONDS
    fleet.run([*colofn_requests, *kubwa_requests, *flood], RUN_SECONDS + DRAIN_SECONDS)
    rows = []
    for name, requests in (("colofn", colofn_requests), ("kubwa", flood)):
        counted = [
            request
            for request in requests
            if request.arrived_at > FLOOD_START_SECONDS + 10.0
        ]
        labels: Row = {"fair": str(fair), "workspace": name}
        rows.append(labels | summarize_requests(counted))
    return rows


def summarize_requests(requests: list[OfferedRequest]) -> Row:
    """Summarize requests by their outcome."""
    finished = [request for request in requests if request.finished_at is not None]
    first_tokens = find_percentiles(
        [request.first_token_at - request.arrived_at for request in finished]
    )
    return {
        "offered": len(requests),
        "good": sum(request.met_deadline for request in requests)
        / max(1, len(requests)),
        "refused": sum(request.refused for request in requests) / max(1, len(requests)),
        "first50": first_tokens[0],
        "first95": first_tokens[1],
        "first99": first_tokens[2],
    }


def run_priorities(seed: int, capacity: float) -> list[Row]:
    """Offer 120 percent of the capacity and summarize by kind of request."""
    fleet = Fleet(FleetSettings(), choose_endpoint, seed, WORKSPACES)
    requests = list(make_requests(capacity * 1.2, RUN_SECONDS, Random(seed)))
    fleet.run(requests, RUN_SECONDS + DRAIN_SECONDS)
    rows = []
    for kind in KINDS:
        counted = [r for r in requests if r.kind is kind and r.arrived_at > 30.0]
        labels: Row = {"kind": kind.name, "priority": kind.priority.name}
        rows.append(labels | summarize_requests(counted))
    return rows


def run_outage(seed: int, capacity: float, admission: bool, budget: bool) -> Row:
    """Crash half of the engines for a minute; callers resend unsuccessful requests."""
    fleet = Fleet(FleetSettings(admission=admission), choose_endpoint, seed, WORKSPACES)
    if not budget:
        for entry in fleet.entries:
            entry.retry_budget = RetryBudget(ratio=10.0, max_tokens=1e9)
    requests = list(make_requests(capacity * 0.8, RUN_SECONDS, Random(seed)))
    resent: list[OfferedRequest] = []

    def resend(request: OfferedRequest) -> None:
        if not (request.failed or request.refused) or request.sends > MAX_RESENDS:
            return
        again = make_resend(request, fleet.simulation.now + RESEND_SECONDS)
        resent.append(again)
        fleet.simulation.schedule(RESEND_SECONDS, lambda: fleet.submit(again))

    fleet.on_end = resend
    for engine in list(fleet.engines.values())[::2]:
        fleet.simulation.schedule(
            OUTAGE_START_SECONDS, lambda e=engine: e.crash(OUTAGE_SECONDS)
        )
    fleet.run(requests, RUN_SECONDS + DRAIN_SECONDS)
    return summarize_outage(fleet, requests, resent) | {
        "admission": str(admission),
        "budget": str(budget),
    }


def make_resend(request: OfferedRequest, at: float) -> OfferedRequest:
    """Make the request that a caller sends again after a failure or refusal."""
    return replace(
        request,
        arrived_at=at,
        sends=request.sends + 1,
        first_token_at=None,
        refused=False,
        failed=False,
        attempts=0,
    )


def summarize_outage(
    fleet: Fleet, requests: list[OfferedRequest], resent: list[OfferedRequest]
) -> Row:
    """Summarize goodput before, during and after an outage, retries and wasted work."""
    all_requests = [*requests, *resent]
    end = OUTAGE_START_SECONDS + OUTAGE_SECONDS

    def count_good(start: float, stop: float) -> float:
        good = sum(
            request.met_deadline
            for request in all_requests
            if start <= request.arrived_at < stop
        )
        return good / (stop - start)

    return {
        "before": count_good(20.0, OUTAGE_START_SECONDS),
        "during": count_good(OUTAGE_START_SECONDS, end),
        "after_10s": count_good(end, end + 10.0),
        "after_30s": count_good(end + 10.0, end + 30.0),
        "later": count_good(end + 30.0, RUN_SECONDS),
        "attempts": fleet.attempts / len(all_requests),
        "resent": len(resent) / len(requests),
        "wasted": fleet.wasted_work / max(1.0, fleet.total_work),
    }


def run_hedges(seed: int, hedge: bool) -> Row:
    """Call servers that answer a few calls slowly, with or without hedging."""
    rng = Random(seed)
    free_at = [0.0] * HEDGE_SERVERS
    hedges = HedgeBudget(RetryBudget())
    mean = CALL_SECONDS + STRAGGLER_SHARE * STRAGGLER_SECONDS
    now, latencies, extra = 0.0, [], 0
    for _ in range(HEDGE_CALLS):
        now += rng.expovariate(HEDGE_LOAD * HEDGE_SERVERS / mean)
        hedges.retries.record_offered()
        latency = call_server(free_at, now, rng)
        delay = hedges.delay_seconds
        if hedge and delay is not None and latency > delay and hedges.try_spend():
            extra += 1
            latency = min(latency, delay + call_server(free_at, now + delay, rng))
        hedges.record_latency(latency)
        latencies.append(latency)
    p50, p95, p99 = find_percentiles(latencies)
    return {
        "hedged": str(hedge),
        "p50": p50,
        "p95": p95,
        "p99": p99,
        "extra": extra / HEDGE_CALLS,
    }


def call_server(free_at: list[float], now: float, rng: Random) -> float:
    """Run one call on the server that is free first and return its latency."""
    seconds = rng.expovariate(1 / CALL_SECONDS)
    if rng.random() < STRAGGLER_SHARE:
        seconds += STRAGGLER_SECONDS
    start = max(now, free_at[0])
    heapreplace(free_at, start + seconds)
    return start + seconds - now


@command()
@option("--seed", default=11, show_default=True)
def main(seed: int) -> None:
    """Run all experiments and write their results."""
    capacity = find_capacity(FleetSettings(), seed)
    print(f"seed {seed}, capacity {capacity:.2f} requests/s")
    flood = [row for fair in (False, True) for row in run_flood(seed, capacity, fair)]
    print_table(flood)
    priorities = run_priorities(seed, capacity)
    print_table(priorities)
    outage = [
        run_outage(seed, capacity, admission, budget)
        for admission in (False, True)
        for budget in (False, True)
    ]
    print_table(outage)
    hedges = [run_hedges(seed, hedge) for hedge in (False, True)]
    print_table(hedges)
    write_json("limits", seed, flood + priorities + outage + hedges)


if __name__ == "__main__":
    main()
