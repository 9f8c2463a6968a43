"""Placement and choice of models for streams over many entries and engines.

Runs the gateway's own decisions against the engine of `benchmarks.batching`, with
delayed load reports, at the sizes of the users' deployments. Compares them with the
least reported load, the better of two random choices, and a single model for all.
"""

from click import command, option

from benchmarks.callers import WARMUP_SECONDS, ChooseEndpoint, Entry, SiteRun
from benchmarks.deployment import LARGE, MODELS, SITES, SMALL, Site
from benchmarks.report import Row, write_report
from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.placement import Candidate
from bergamotwood_core.ids import ModelName


def choose_gateway(
    entry: Entry, heartbeats: list[EndpointHeartbeat], call: Call, now: Seconds
) -> Candidate | None:
    """Choose an endpoint by the gateway's own placement."""
    return entry.placement.choose(heartbeats, call, now)


def make_uncached_candidate(
    entry: Entry, heartbeat: EndpointHeartbeat, call: Call
) -> Candidate:
    """Make a candidate whose estimate ignores cached prompt parts."""
    health = entry.health.find(heartbeat.endpoint, heartbeat.incarnation)
    load = entry.loads.find(heartbeat.endpoint)
    return Candidate(heartbeat, health, load, call.metadata.prompt_tokens)


def choose_least_loaded(
    entry: Entry, heartbeats: list[EndpointHeartbeat], call: Call, now: Seconds
) -> Candidate | None:
    """Choose an endpoint with the least reported load; ties are broken at random."""
    chosen = min(
        heartbeats,
        key=lambda heartbeat: (
            entry.loads.find(heartbeat.endpoint).requests,
            entry.rng.random(),
        ),
    )
    return make_uncached_candidate(entry, chosen, call)


def choose_of_two(
    entry: Entry, heartbeats: list[EndpointHeartbeat], call: Call, now: Seconds
) -> Candidate | None:
    """Choose the less loaded of two random endpoints."""
    sampled = entry.rng.sample(heartbeats, 2)
    chosen = min(
        sampled, key=lambda heartbeat: entry.loads.find(heartbeat.endpoint).requests
    )
    return make_uncached_candidate(entry, chosen, call)


POLICIES: dict[str, tuple[ChooseEndpoint, tuple[ModelName, ...]]] = {
    "gateway": (choose_gateway, MODELS),
    "least load": (choose_least_loaded, MODELS),
    "two choices": (choose_of_two, MODELS),
    "smallest": (choose_gateway, (SMALL,)),
    "largest": (choose_gateway, (LARGE,)),
}


def measure(
    policy: str,
    site: Site,
    seed: int,
    seconds: float,
    load: float,
    replaced_share: float,
    restarted_at: float,
) -> Row:
    """Run one policy and return its row of the table."""
    choose, models = POLICIES[policy]
    halfway = 0.5 * (seconds + WARMUP_SECONDS)
    site_run = SiteRun(
        site, seed, choose, models, load, halfway, replaced_share, restarted_at
    )
    site_run.run(seconds)
    result = site_run.result
    counts = result.counts
    total = max(counts["in time"] + counts["late"] + counts["failed"], 1)
    first_event_times = sorted(result.first_event_times)
    return {
        "policy": policy,
        "earned": result.earned_value / result.total_value,
        "in time": counts["in time"] / total,
        "late": counts["late"] / total,
        "failed": counts["failed"] / total,
        "head p50": first_event_times[len(first_event_times) // 2],
        "head p95": first_event_times[int(0.95 * len(first_event_times))],
        "Mtokens read": site_run.prefill_counters.prefill_tokens / 1e6,
        "shared again": site_run.prefill_counters.shared_prefill_tokens / 1e6,
        "large": counts[LARGE] / total,
    }


def average(rows: list[Row]) -> Row:
    """Return the mean of one policy's rows."""
    first = rows[0]
    return {
        key: value
        if isinstance(value, str)
        else sum(row[key] for row in rows) / len(rows)
        for key, value in first.items()
    }


@command()
@option("--site", default="kubwa", help=f"One of {', '.join(SITES)}.")
@option("--seeds", default=3, help="Number of seeds.")
@option("--seconds", default=30.0, help="Seconds of traffic.")
@option("--load", default=1.0, help="Factor on the site's request rates.")
@option(
    "--replaced", default=0.35, help="Share of the engines that are replaced halfway."
)
@option(
    "--restarted", default=0.0, help="Second at which all entries restart; 0 for never."
)
@option("--policy", "policies", multiple=True, help="Policies to run; all by default.")
@option("--short", is_flag=True, help="One seed, 12 s.")
def main(
    site: str,
    seeds: int,
    seconds: float,
    load: float,
    replaced: float,
    restarted: float,
    policies: tuple[str, ...],
    short: bool,
) -> None:
    """Compare policies on the streaming requests of a site."""
    if short:
        seeds, seconds = 1, 12.0
    rows = []
    for policy in policies or tuple(POLICIES):
        policy_rows = [
            measure(policy, SITES[site], seed, seconds, load, replaced, restarted)
            for seed in range(1, seeds + 1)
        ]
        rows.append(average(policy_rows))
    write_report("generation", 1, rows)


if __name__ == "__main__":
    main()
