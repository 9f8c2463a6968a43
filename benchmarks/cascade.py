"""Cost and quality of the cascade policy against fixed cascades and a lower bound."""

from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from heapq import heappop, heappush
from itertools import combinations
from json import dumps
from math import sqrt
from pathlib import Path
from random import Random
from time import perf_counter

import numpy as np
from click import command, echo, option

from benchmarks.answers import Answers, draw_answers
from benchmarks.clairvoyant import find_optimal_mix
from benchmarks.workloads import (
    RATING_SETTINGS,
    WORKLOADS,
    Drift,
    Floats,
    Ratings,
    RatingSettings,
    Workload,
)
from bergamotwood_core.budget import RatingBudget
from bergamotwood_core.cascade import CascadePlan, CascadePolicy, CascadeSettings
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.evidence import EstimateKey
from bergamotwood_core.ids import RequestClass, VersionId
from bergamotwood_core.usage import Candidate, Usage

# Requests over which the mean quality is compared with the target.
WINDOW_REQUESTS = 500
RATING_SECONDS = 0.5
RATING_BURST = 20.0
# Blocks of a drifting run; the lower bound takes their probabilities as constant.
BLOCKS = 32
# Interval at which entries exchange evidence.
EXCHANGE_SECONDS = 5.0
FIXED_THRESHOLDS = (0.5, 0.6, 0.7, 0.8)


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """Cost and true quality of each request under one policy."""

    name: str
    costs: Floats
    qualities: Floats
    ratings: int = 0
    plan_seconds: Sequence[float] = (0.0,)


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary of one policy in one run.

    Parameters
    ----------
    name : str
        The policy.
    cost, quality : float
        Means after the first window.
    start_cost, start_quality : float
        Means in the first window.
    missed, windows : int
        Windows after the first below the target by more than two standard errors,
        and all windows after the first.
    ratings : float
        Ratings used for each request.
    plan_micros, plan_micros_p99 : float
        Microseconds of one plan, mean and 99th percentile.
    """

    name: str
    cost: float
    quality: float
    start_cost: float
    start_quality: float
    missed: int
    windows: int
    ratings: float
    plan_micros: float
    plan_micros_p99: float


def summarize(result: PolicyResult, target: float) -> Summary:
    """Reduce the result of a policy to means and missed windows."""
    count = len(result.costs)
    missed = 0
    starts = range(WINDOW_REQUESTS, count - WINDOW_REQUESTS + 1, WINDOW_REQUESTS)
    for start in starts:
        window = result.qualities[start : start + WINDOW_REQUESTS]
        error = float(window.std(ddof=1)) / sqrt(WINDOW_REQUESTS)
        missed += bool(window.mean() < target - 2.0 * error)
    return Summary(
        name=result.name,
        cost=float(result.costs[WINDOW_REQUESTS:].mean()),
        quality=float(result.qualities[WINDOW_REQUESTS:].mean()),
        start_cost=float(result.costs[:WINDOW_REQUESTS].mean()),
        start_quality=float(result.qualities[:WINDOW_REQUESTS].mean()),
        missed=missed,
        windows=len(starts),
        ratings=result.ratings / count,
        plan_micros=1e6 * float(np.mean(result.plan_seconds)),
        plan_micros_p99=1e6 * float(np.quantile(result.plan_seconds, 0.99)),
    )


# Due time, number, policy, estimate, score, and the score that accepted the answer.
PendingRating = tuple[float, int, CascadePolicy, EstimateKey, float, float | None]


class PolicyRun:
    """Runs the cascade policies of several entries on one run's answers.

    Parameters
    ----------
    workload : Workload
        Classes, versions and target.
    answers : Answers
        Simulated answers of the engines and scores of the rating service.
    rating_settings : RatingSettings
        Limit and delay of ratings.
    entries : int
        Entries that share the traffic.
    seed : int
        Seed of the policy and of the choice of entries.
    """

    def __init__(
        self,
        workload: Workload,
        answers: Answers,
        rating_settings: RatingSettings,
        entries: int,
        seed: int,
    ) -> None:
        self.workload = workload
        self.answers = answers
        self.rating_settings = rating_settings
        self.rng = Random(seed)
        per_second = rating_settings.per_request * workload.requests_per_second
        self.rating_budget = RatingBudget(per_second * 1.05, RATING_BURST)
        self.policies = [
            CascadePolicy(
                CascadeSettings(
                    source=f"{number}/1",
                    ratings_per_second=per_second / entries,
                    rating_burst=max(RATING_BURST / entries, 2.0),
                    rating_seconds=RATING_SECONDS,
                ),
                Random(seed + number),
            )
            for number in range(entries)
        ]
        names = [traits.name for traits in workload.versions]
        self.versions = [VersionId(f"{name}:1") for name in names]
        self.indexes = {version: i for i, version in enumerate(self.versions)}
        self.classes = [RequestClass(traits.name) for traits in workload.classes]
        self.workspace = Workspace(
            name="workspace",
            versions=tuple(self.versions),
            quality_target=workload.target,
            latency_weight=workload.latency_weight,
        )
        self.candidates = [
            Candidate(version, v.input_price, v.output_price, v.first_token_seconds)
            for version, v in zip(self.versions, workload.versions, strict=True)
        ]
        self.pending_ratings: list[PendingRating] = []
        self.exchanged_at = 0.0
        self.ratings = 0

    def run(self) -> PolicyResult:
        """Answer every request in the order of arrival."""
        count = len(self.answers.times)
        costs = np.zeros(count)
        qualities = np.zeros(count)
        plan_seconds: list[float] = []
        for index in range(count):
            now = float(self.answers.times[index])
            self._advance_to(now)
            policy = self.rng.choice(self.policies)
            request_class = self.classes[self.answers.classes[index]]
            started = perf_counter()
            plan = policy.plan(
                self.workspace,
                request_class,
                self.candidates,
                int(self.answers.prompts[index]),
                Seconds(now),
            )
            plan_seconds.append(perf_counter() - started)
            costs[index], qualities[index] = self._answer_request(
                policy, plan, request_class, index, now
            )
        return PolicyResult("policy", costs, qualities, self.ratings, plan_seconds)

    def _answer_request(
        self,
        policy: CascadePolicy,
        plan: CascadePlan,
        request_class: RequestClass,
        index: int,
        now: float,
    ) -> tuple[float, float]:
        answers = self.answers
        cost = 0.0
        wait = 0.0
        escalated = False
        for step in plan.steps:
            version = self.indexes[step.version]
            self._record_usage(policy, request_class, index, version)
            cost += float(answers.costs[index, version])
            key = EstimateKey(
                self.workspace.key, request_class, step.version, escalated
            )
            if not step.rate:
                wait += float(answers.first_tokens[index, version])
                break
            wait += float(answers.totals[index, version]) + RATING_SECONDS
            if not self.rating_budget.take(Seconds(now)):
                policy.record_refusal(Seconds(now))
                escalated = True
                continue
            self.ratings += 1
            score = float(answers.first_scores[index, version])
            policy.record_rating(key, score, Seconds(now))
            if score >= step.threshold:
                break
            escalated = True
        accepted_score = (
            float(answers.first_scores[index, version]) if step.rate else None
        )
        policy.record_returned_answer(self.workspace, key, accepted_score)
        if policy.should_sample(key, Seconds(now), accepted_score is not None):
            self._request_sampled_rating(
                policy, key, index, version, now, accepted_score
            )
        quality = float(answers.qualities[index, version])
        return cost + self.workload.latency_weight * wait, quality

    def _record_usage(
        self,
        policy: CascadePolicy,
        request_class: RequestClass,
        index: int,
        version: int,
    ) -> None:
        usage = Usage(
            prompt_tokens=int(self.answers.prompts[index]),
            output_tokens=int(self.answers.outputs[index, version]),
            first_token_seconds=float(self.answers.first_tokens[index, version]),
            total_seconds=float(self.answers.totals[index, version]),
        )
        policy.record_answer(request_class, self.versions[version], usage)

    def _request_sampled_rating(
        self,
        policy: CascadePolicy,
        key: EstimateKey,
        index: int,
        version: int,
        now: float,
        accepted_score: float | None,
    ) -> None:
        if not self.rating_budget.take(Seconds(now)):
            policy.record_refusal(Seconds(now))
            return
        self.ratings += 1
        score = float(self.answers.second_scores[index, version])
        due = now + self.rating_settings.delay_seconds
        heappush(
            self.pending_ratings,
            (due, self.ratings, policy, key, score, accepted_score),
        )

    def _advance_to(self, now: float) -> None:
        while self.pending_ratings and self.pending_ratings[0][0] <= now:
            _, _, policy, key, score, accepted_score = heappop(self.pending_ratings)
            if accepted_score is None:
                policy.record_rating(key, score, Seconds(now))
            else:
                policy.record_repeated_rating(accepted_score, score)
        if len(self.policies) < 2 or now - self.exchanged_at < EXCHANGE_SECONDS:
            return
        self.exchanged_at = now
        messages = [policy.take_evidence() for policy in self.policies]
        for policy in self.policies:
            for message in messages:
                policy.merge_evidence(message)


def run_fixed_cascade(
    workload: Workload,
    answers: Answers,
    rating_settings: RatingSettings,
    steps: Sequence[tuple[int, float]],
) -> PolicyResult:
    """Answer every request with one fixed cascade."""
    per_second = rating_settings.per_request * workload.requests_per_second
    rating_budget = RatingBudget(per_second, RATING_BURST)
    count = len(answers.times)
    costs = np.zeros(count)
    qualities = np.zeros(count)
    ratings = 0
    for index in range(count):
        now = Seconds(float(answers.times[index]))
        wait = 0.0
        for version, threshold in steps[:-1]:
            # A step is skipped when the rating budget is used up.
            if not rating_budget.take(now):
                continue
            ratings += 1
            costs[index] += answers.costs[index, version]
            wait += answers.totals[index, version] + RATING_SECONDS
            if answers.first_scores[index, version] >= threshold:
                qualities[index] = answers.qualities[index, version]
                break
        else:
            version = steps[-1][0]
            costs[index] += answers.costs[index, version]
            wait += answers.first_tokens[index, version]
            qualities[index] = answers.qualities[index, version]
        costs[index] += workload.latency_weight * wait
    names = [workload.versions[version].name for version, _ in steps]
    suffix = f"@{steps[0][1]}" if len(steps) > 1 else ""
    return PolicyResult(">".join(names) + suffix, costs, qualities, ratings)


def list_fixed_cascades(count: int) -> Iterable[tuple[tuple[int, float], ...]]:
    """List single versions, and cascades of two or three with one common threshold."""
    for version in range(count):
        yield ((version, 0.0),)
    for length in (2, 3):
        for chosen in combinations(range(count), length):
            for threshold in FIXED_THRESHOLDS:
                yield tuple((version, threshold) for version in chosen)


def run_clairvoyant(
    workload: Workload,
    answers: Answers,
    rating_settings: RatingSettings,
    drift: Drift,
    seed: int,
) -> PolicyResult:
    """Answer every request with the optimal mix for its true probabilities."""
    count = len(answers.times)
    costs = np.zeros(count)
    qualities = np.zeros(count)
    rng = np.random.default_rng(seed)
    ratings = 0
    for start, end in _list_blocks(answers, drift):
        probabilities = answers.probabilities[(start + end) // 2]
        mix = find_optimal_mix(
            workload, probabilities, rating_settings, RATING_SECONDS, seed
        )
        for index in range(start, end):
            class_index = int(answers.classes[index])
            chosen = rng.choice(len(mix.shares[class_index]), p=mix.shares[class_index])
            steps = mix.options[class_index][chosen].steps
            costs[index], qualities[index], used = _run_steps(
                workload, answers, steps, index
            )
            ratings += used
    return PolicyResult("clairvoyant", costs, qualities, ratings)


def _list_blocks(answers: Answers, drift: Drift) -> list[tuple[int, int]]:
    count = len(answers.times)
    if drift is Drift.DRIFT:
        edges = [round(count * block / BLOCKS) for block in range(BLOCKS + 1)]
    else:
        changed = np.any(np.diff(answers.probabilities, axis=0) != 0.0, axis=(1, 2))
        edges = [0, *(np.flatnonzero(changed) + 1).tolist(), count]
    return list(zip(edges, edges[1:], strict=False))


def _run_steps(
    workload: Workload,
    answers: Answers,
    steps: Sequence[tuple[int, float]],
    index: int,
) -> tuple[float, float, int]:
    cost = 0.0
    wait = 0.0
    used = 0
    for version, threshold in steps[:-1]:
        used += 1
        cost += answers.costs[index, version]
        wait += answers.totals[index, version] + RATING_SECONDS
        if answers.first_scores[index, version] >= threshold:
            cost += workload.latency_weight * wait
            return cost, answers.qualities[index, version], used
    version = steps[-1][0]
    wait += answers.first_tokens[index, version]
    cost += answers.costs[index, version] + workload.latency_weight * wait
    return cost, answers.qualities[index, version], used


@dataclass(frozen=True, slots=True)
class Case:
    """Results of every policy in one run.

    `cheapest` and `dearest` are the first and the last version alone; `best_fixed` is
    the cheapest fixed cascade that missed the target in no window.
    """

    workload: str
    drift: str
    ratings: str
    seed: int
    entries: int
    policy: Summary
    clairvoyant: Summary
    cheapest: Summary
    dearest: Summary
    best_fixed: Summary | None


def run_case(
    workload: Workload,
    drift: Drift,
    ratings: Ratings,
    count: int,
    entries: int,
    seed: int,
    fixed: bool = True,
) -> Case:
    """Run every policy on the same simulated answers."""
    rating_settings = RATING_SETTINGS[ratings]
    answers = draw_answers(workload, drift, rating_settings, count, seed)
    target = workload.target
    policy = PolicyRun(workload, answers, rating_settings, entries, seed).run()
    clairvoyant = run_clairvoyant(workload, answers, rating_settings, drift, seed)
    size = len(workload.versions)
    options = (
        list(list_fixed_cascades(size))
        if fixed
        else list(list_fixed_cascades(size))[:size]
    )
    results = [
        run_fixed_cascade(workload, answers, rating_settings, steps)
        for steps in options
    ]
    summaries = [summarize(result, target) for result in results]
    on_target = [summary for summary in summaries if not summary.missed]
    return Case(
        workload=workload.name,
        drift=drift,
        ratings=ratings,
        seed=seed,
        entries=entries,
        policy=summarize(policy, target),
        clairvoyant=summarize(clairvoyant, target),
        cheapest=summaries[0],
        dearest=summaries[size - 1],
        best_fixed=min(on_target, key=lambda s: s.cost, default=None),
    )


def describe(cases: Sequence[Case]) -> str:
    """Format the cases of one setting as a line of the table."""
    first = cases[0]
    cost = _mean(case.policy.cost for case in cases)
    bound = _mean(case.clairvoyant.cost for case in cases)
    fixed = [case for case in cases if case.best_fixed is not None]
    cost_ratio = (
        _mean(c.policy.cost / c.best_fixed.cost for c in fixed) if fixed else 0.0
    )
    costlier = sum(c.policy.cost > c.best_fixed.cost for c in fixed)
    missed = sum(case.policy.missed for case in cases)
    clairvoyant_missed = sum(case.clairvoyant.missed for case in cases)
    windows = sum(case.policy.windows for case in cases)
    return (
        f"{first.workload:10}{first.drift:10}{first.ratings:9}{first.entries:2}"
        f"{cost:8.3f}{cost / bound:7.3f}{cost_ratio:7.3f}{costlier:3}/{len(fixed):<3}"
        f"{_mean(c.policy.cost / c.dearest.cost for c in cases):7.3f}"
        f"{_mean(c.policy.quality for c in cases):7.3f}"
        f"{missed:4}/{windows:<4}{clairvoyant_missed:3}"
        f"{_mean(c.policy.ratings for c in cases):6.2f}"
        f"{_mean(c.policy.start_cost / c.policy.cost for c in cases):7.2f}"
        f"{_mean(c.policy.start_quality for c in cases):7.3f}"
        f"{_mean(c.policy.plan_micros for c in cases):7.0f}"
    )


HEADER = (
    f"{'workload':10}{'drift':10}{'ratings':9}{'n':>2}{'cost':>8}{'/bound':>7}"
    f"{'/fixed':>7}{'dearer':>7}{'/dear':>7}{'qual':>7}{'missed':>8}{'bnd':>4}"
    f"{'rated':>6}{'start$':>7}{'startq':>7}{'us':>7}"
)


def _mean(numbers: Iterable[float]) -> float:
    return float(np.mean(list(numbers)))


@command()
@option("--workload", "names", multiple=True, help="Workloads; all by default.")
@option("--drift", "drifts", multiple=True, type=Drift, help="Drifts.")
@option("--ratings", "kinds", multiple=True, type=Ratings, help="Rating scenarios.")
@option("--requests", default=10_000, help="Requests in one run.")
@option("--entries", default=1, help="Entries that share the traffic.")
@option("--seeds", default=5, help="Seeds, from --seed up.")
@option("--seed", default=1, help="First seed.")
@option("--no-fixed", is_flag=True, help="Leave out the fixed cascades.")
@option("--short", is_flag=True, help="One workload, one seed.")
@option("--out", default="out/cascade.json", help="Where the JSON goes.")
def main(
    names: tuple[str, ...],
    drifts: tuple[Drift, ...],
    kinds: tuple[Ratings, ...],
    requests: int,
    entries: int,
    seeds: int,
    seed: int,
    no_fixed: bool,
    short: bool,
    out: str,
) -> None:
    """Compare the cascade policy with fixed cascades and a lower bound on the cost."""
    if short:
        names, kinds, seeds, requests = ("kubwa-3",), (Ratings.ENOUGH,), 1, 4_000
    echo(HEADER)
    cases: list[Case] = []
    for name in names or WORKLOADS:
        for drift in drifts or Drift:
            for ratings in kinds or Ratings:
                workload = WORKLOADS[name]
                row = [
                    run_case(
                        workload, drift, ratings, requests, entries, s, not no_fixed
                    )
                    for s in range(seed, seed + seeds)
                ]
                echo(describe(row))
                cases += row
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(dumps([asdict(case) for case in cases], indent=1))


if __name__ == "__main__":
    main()
