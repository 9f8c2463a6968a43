"""Placement under load, compared with round robin, least load and two choices."""

from dataclasses import replace
from random import Random

from click import command, option

from benchmarks.engine import Engine, EngineHealth
from benchmarks.fleet import ChooseEndpoint, Fleet, FleetSettings
from benchmarks.report import Row, find_percentiles, write_report
from benchmarks.traffic import OfferedRequest, make_requests
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.ids import EndpointId
from bergamotwood_core.placement import PlacementRequirements, choose_endpoint
from bergamotwood_core.tables import DirectoryTables

WARMUP_SECONDS = 30.0
RUN_SECONDS = 210.0
DRAIN_SECONDS = 60.0
FAULT_START_SECONDS = 60.0
CHUNK_TIMEOUT_SECONDS = 5.0
WORKSPACES = {
    name: Workspace(name=name, max_in_flight=10_000) for name in ("kubwa", "colofn")
}


def list_candidates(
    tables: DirectoryTables, requirements: PlacementRequirements
) -> list[EndpointId]:
    """List the endpoints that a baseline may choose."""
    return [id_ for id_ in tables.endpoints if id_ not in requirements.excluded]


def make_round_robin() -> ChooseEndpoint:
    """Make a round-robin policy over all endpoints, with a separate turn per entry."""
    turns: dict[int, int] = {}

    def choose(
        tables: DirectoryTables,
        requirements: PlacementRequirements,
        now: Seconds,
        rng: Random,
    ) -> EndpointId | None:
        candidates = sorted(list_candidates(tables, requirements))
        if not candidates:
            return None
        turn = turns.get(id(tables), rng.randrange(1_000))
        turns[id(tables)] = turn + 1
        return candidates[turn % len(candidates)]

    return choose


def choose_least_loaded(
    tables: DirectoryTables,
    requirements: PlacementRequirements,
    now: Seconds,
    rng: Random,
) -> EndpointId | None:
    """Choose an endpoint with the least reported load."""
    candidates = list_candidates(tables, requirements)
    rng.shuffle(candidates)
    rows = tables.endpoints
    return min(candidates, key=lambda id_: rows[id_].announcement.load, default=None)


def choose_of_two(
    tables: DirectoryTables,
    requirements: PlacementRequirements,
    now: Seconds,
    rng: Random,
) -> EndpointId | None:
    """Choose, of two random endpoints, the one with the lower reported load."""
    candidates = list_candidates(tables, requirements)
    sampled = rng.sample(candidates, min(2, len(candidates)))
    rows = tables.endpoints
    return min(sampled, key=lambda id_: rows[id_].announcement.load, default=None)


POLICIES = {
    "round_robin": make_round_robin,
    "least_load": lambda: choose_least_loaded,
    "two_choices": lambda: choose_of_two,
    "ours": lambda: choose_endpoint,
}


def inject_fault(fleet: Fleet, fault: str) -> None:
    """Inject a fault into the running fleet."""
    engines = list(fleet.engines.values())
    match fault:
        case "slow":
            engines[0].health = EngineHealth.SLOW
        case "silent":
            engines[0].silence(CHUNK_TIMEOUT_SECONDS)
        case "centre":
            for engine in engines[:: fleet.settings.data_centres]:
                remove_engine(engine)


def remove_engine(engine: Engine) -> None:
    """Crash an engine that never restarts."""
    engine.crash(1e9)


def find_capacity(settings: FleetSettings, seed: int) -> float:
    """Measure the throughput of a saturated fleet in requests per second.

    Exactly as many requests as the engines have slots are in flight at any time.
    They have the mix of the traffic and are placed by the router's own policy.
    """
    unlimited = replace(settings, admission=False, silence_seconds=1e9)
    fleet = Fleet(unlimited, choose_endpoint, seed, WORKSPACES)
    requests = make_requests(100.0, 1e9, Random(seed))
    ends: list[float] = []

    def send() -> None:
        request = next(requests)
        request.arrived_at = fleet.simulation.now
        fleet.submit(request)

    def end(_: OfferedRequest) -> None:
        ends.append(fleet.simulation.now)
        send()

    fleet.on_end = end
    for _ in range(settings.engines * settings.engine.capacity):
        send()
    fleet.run([], RUN_SECONDS)
    return sum(at > WARMUP_SECONDS for at in ends) / (RUN_SECONDS - WARMUP_SECONDS)


def run_case(
    policy: str, rate: float, fault: str, settings: FleetSettings, seed: int
) -> tuple[Fleet, list[OfferedRequest]]:
    """Run one policy at one rate under one fault."""
    fleet = Fleet(settings, POLICIES[policy](), seed, WORKSPACES)
    requests = list(make_requests(rate, RUN_SECONDS, Random(seed + 1)))
    fleet.simulation.schedule(FAULT_START_SECONDS, lambda: inject_fault(fleet, fault))
    fleet.run(requests, RUN_SECONDS + DRAIN_SECONDS)
    return fleet, requests


def summarize(fleet: Fleet, requests: list[OfferedRequest]) -> Row:
    """Summarize a run without its warm-up."""
    counted = [request for request in requests if request.arrived_at > WARMUP_SECONDS]
    finished = [request for request in counted if request.finished_at is not None]
    first_tokens = find_percentiles([r.first_token_at - r.arrived_at for r in finished])
    completions = find_percentiles([r.finished_at - r.arrived_at for r in finished])
    reusable = sum(r.kind.prefix_tokens for r in finished)
    return {
        "goodput": sum(r.met_deadline for r in counted)
        / (RUN_SECONDS - WARMUP_SECONDS),
        "first50": first_tokens[0],
        "first95": first_tokens[1],
        "first99": first_tokens[2],
        "done50": completions[0],
        "done95": completions[1],
        "done99": completions[2],
        "hits": sum(r.cached_tokens for r in finished) / max(1, reusable),
        "refused": sum(r.refused for r in counted) / len(counted),
        "failed": sum(r.failed for r in counted) / len(counted),
        "unanswered": sum(
            r.finished_at is None and not r.refused and not r.failed for r in counted
        ),
        "attempts": fleet.attempts / len(requests),
        "wasted": fleet.wasted_work / max(1.0, fleet.total_work),
        "spilled": fleet.remote_attempts / max(1, fleet.attempts),
    }


@command()
@option("--seed", default=11, show_default=True)
@option("--engines", default=10, show_default=True)
@option("--faults", default="none,slow,silent,centre", show_default=True)
@option("--policies", default=",".join(POLICIES), show_default=True)
@option("--levels", default="0.5,0.8,0.95,1.2", show_default=True)
@option("--headroom", default=1.0, show_default=True)
def main(
    seed: int, engines: int, faults: str, policies: str, levels: str, headroom: float
) -> None:
    """Run every policy at every level under every fault."""
    settings = FleetSettings(engines=engines, headroom=headroom)
    capacity = find_capacity(settings, seed)
    print(f"seed {seed}, {engines} engines, capacity {capacity:.2f} requests/s")
    rows: list[Row] = []
    for fault in faults.split(","):
        for level in map(float, levels.split(",")):
            for policy in policies.split(","):
                rate = capacity * level
                fleet, requests = run_case(policy, rate, fault, settings, seed)
                labels: Row = {"fault": fault, "level": level, "policy": policy}
                rows.append(labels | summarize(fleet, requests))
    write_report("placement", seed, rows)


if __name__ == "__main__":
    main()
