"""Placement under load against round robin, least load and two choices."""

from dataclasses import replace
from random import Random

from click import command, option

from benchmarks.engine import Engine, Health
from benchmarks.figures import Row, find_quantiles, write_figures
from benchmarks.fleet import Choose, Fleet, FleetSettings
from benchmarks.workload import Offer, make_offers
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.ids import EndpointId
from bergamotwood_core.placement import PlacementRequirements, choose_endpoint
from bergamotwood_core.tables import DirectoryTables

WARM_SECONDS = 30.0
RUN_SECONDS = 210.0
DRAIN_SECONDS = 60.0
FAULT_AT = 60.0
CHUNK_TIMEOUT_SECONDS = 5.0
WORKSPACES = {
    name: Workspace(name=name, max_in_flight=10_000) for name in ("kubwa", "colofn")
}


def list_allowed(
    tables: DirectoryTables, need: PlacementRequirements
) -> list[EndpointId]:
    """List the endpoints that a baseline may choose."""
    return [id_ for id_ in tables.endpoints if id_ not in need.excluded]


def make_round_robin() -> Choose:
    """Make a round robin over all endpoints, each entry with its own turn."""
    turns: dict[int, int] = {}

    def choose(
        tables: DirectoryTables, need: PlacementRequirements, now: Seconds, rng: Random
    ) -> EndpointId | None:
        allowed = sorted(list_allowed(tables, need))
        if not allowed:
            return None
        turn = turns.get(id(tables), rng.randrange(1_000))
        turns[id(tables)] = turn + 1
        return allowed[turn % len(allowed)]

    return choose


def choose_least(
    tables: DirectoryTables, need: PlacementRequirements, now: Seconds, rng: Random
) -> EndpointId | None:
    """Choose the least reported load."""
    allowed = list_allowed(tables, need)
    rng.shuffle(allowed)
    rows = tables.endpoints
    return min(allowed, key=lambda id_: rows[id_].announcement.load, default=None)


def choose_two(
    tables: DirectoryTables, need: PlacementRequirements, now: Seconds, rng: Random
) -> EndpointId | None:
    """Choose the less loaded by report of two random endpoints."""
    allowed = list_allowed(tables, need)
    drawn = rng.sample(allowed, min(2, len(allowed)))
    rows = tables.endpoints
    return min(drawn, key=lambda id_: rows[id_].announcement.load, default=None)


POLICIES = {
    "round_robin": make_round_robin,
    "least_load": lambda: choose_least,
    "two_choices": lambda: choose_two,
    "ours": lambda: choose_endpoint,
}


def apply_fault(fleet: Fleet, fault: str) -> None:
    """Cause a fault in the running fleet."""
    engines = list(fleet.engines.values())
    match fault:
        case "slow":
            engines[0].health = Health.SLOW
        case "silent":
            engines[0].silence(CHUNK_TIMEOUT_SECONDS)
        case "centre":
            for engine in engines[:: fleet.settings.data_centres]:
                lose_engine(engine)


def lose_engine(engine: Engine) -> None:
    """Take an engine away for good."""
    engine.crash(1e9)


def find_capacity(settings: FleetSettings, seed: int) -> float:
    """Measure the requests a second of a fleet that is kept full.

    As many requests as the engines have slots are in flight all the time, in the
    mix of the workload, placed by our policy.
    """
    full = replace(settings, admission=False, silence_seconds=1e9)
    fleet = Fleet(full, choose_endpoint, seed, WORKSPACES)
    offers = make_offers(100.0, 1e9, Random(seed))
    ends: list[float] = []

    def send() -> None:
        offer = next(offers)
        offer.at = fleet.agenda.now
        fleet.offer(offer)

    def end(_: Offer) -> None:
        ends.append(fleet.agenda.now)
        send()

    fleet.on_end = end
    for _ in range(settings.engines * settings.engine.capacity):
        send()
    fleet.run([], RUN_SECONDS)
    return sum(at > WARM_SECONDS for at in ends) / (RUN_SECONDS - WARM_SECONDS)


def run_case(
    policy: str, rate: float, fault: str, settings: FleetSettings, seed: int
) -> tuple[Fleet, list[Offer]]:
    """Run one policy at one rate under one fault."""
    fleet = Fleet(settings, POLICIES[policy](), seed, WORKSPACES)
    offers = list(make_offers(rate, RUN_SECONDS, Random(seed + 1)))
    fleet.agenda.add(FAULT_AT, lambda: apply_fault(fleet, fault))
    fleet.run(offers, RUN_SECONDS + DRAIN_SECONDS)
    return fleet, offers


def summarize(fleet: Fleet, offers: list[Offer]) -> Row:
    """Sum a run up, without its warm-up."""
    counted = [offer for offer in offers if offer.at > WARM_SECONDS]
    done = [offer for offer in counted if offer.done_at is not None]
    first = find_quantiles([o.first_at - o.at for o in done])
    whole = find_quantiles([o.done_at - o.at for o in done])
    reusable = sum(o.kind.prefix_tokens for o in done)
    return {
        "goodput": sum(o.good for o in counted) / (RUN_SECONDS - WARM_SECONDS),
        "first50": first[0],
        "first95": first[1],
        "first99": first[2],
        "done50": whole[0],
        "done95": whole[1],
        "done99": whole[2],
        "hits": sum(o.cached for o in done) / max(1, reusable),
        "refused": sum(o.refused for o in counted) / len(counted),
        "failed": sum(o.failed for o in counted) / len(counted),
        "unanswered": sum(
            o.done_at is None and not o.refused and not o.failed for o in counted
        ),
        "attempts": fleet.attempts / len(offers),
        "wasted": fleet.wasted / max(1.0, fleet.work),
        "spilled": fleet.spilled / max(1, fleet.attempts),
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
                fleet, offers = run_case(policy, rate, fault, settings, seed)
                head: Row = {"fault": fault, "level": level, "policy": policy}
                rows.append(head | summarize(fleet, offers))
    write_figures("placement", seed, rows)


if __name__ == "__main__":
    main()
