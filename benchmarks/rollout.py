"""Exposure to bad versions, false stops and time: roll-outs against canaries."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from json import dumps
from math import sqrt
from pathlib import Path

import numpy as np
from click import command, echo, option

from benchmarks.workloads import Floats
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Model, Rollout, Version
from bergamotwood_core.estimate import SCORE_BINS
from bergamotwood_core.ids import RolloutId, TicketNumber, VersionId
from bergamotwood_core.messages import Address, Announcement
from bergamotwood_core.outcome import LATENCY_BOUNDS, ArmCounts, RolloutReport
from bergamotwood_core.rollout import RolloutMonitor, advance_rollouts, merge_reports
from bergamotwood_core.states import EndpointKind, RolloutState
from bergamotwood_core.tables import (
    ConfigurationTables,
    DirectoryTables,
    Endpoint,
    RolloutProgress,
)

TICK_SECONDS = 5.0
REQUESTS_PER_SECOND = 10.0
MAX_SECONDS = 14_400.0
# Time until the entries apply a committed change of a roll-out's progress.
PROPAGATION_SECONDS = 5.0
# Shares of the answers that are rated, and the time that a rating takes.
CURRENT_RATED = 0.1
CANDIDATE_RATED = 0.5
RATING_SECONDS = 10.0
ANSWER_SECONDS = 5.0
# A version that turns bad does so within this many requests on the candidate in one
# stage; the stage and the request are drawn uniformly.
REGRESSION_REQUESTS = 50
# Second at which the leader is lost, and seconds until the next one leads.
LEADER_LOST_AT_SECONDS = 300.0
LEADERLESS_SECONDS = 15.0
# Time from a canary's last request until its stop applies, as in the roll-outs.
CANARY_DELAY_SECONDS = ANSWER_SECONDS + RATING_SECONDS + 5.0 + PROPAGATION_SECONDS
DRAWS = 200_000
TICKET = TicketNumber(1)
STAGES = (0.01, 0.05, 0.25, 1.0)


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Failures, latency and quality of a version.

    Parameters
    ----------
    failures : float
        Share of its requests that fail.
    first_token_seconds, quality : float
        Median time to the first token, and mean quality.
    """

    failures: float = 0.01
    first_token_seconds: float = 0.3
    quality: float = 0.87


@dataclass(frozen=True, slots=True)
class Trial:
    """A candidate with its behaviour before and, if it turns bad, after the turn."""

    name: str
    before: Behaviour
    after: Behaviour | None = None
    harmful: bool = True


GOOD = Behaviour()
BAD_QUALITY = Behaviour(quality=0.6)
BAD_FAILURES = Behaviour(failures=0.15)
BAD_LATENCY = Behaviour(first_token_seconds=0.6)
TRIALS = (
    Trial("good", GOOD, harmful=False),
    Trial("better", Behaviour(quality=0.89), harmful=False),
    Trial("bad quality", BAD_QUALITY),
    Trial("bad failures", BAD_FAILURES),
    Trial("bad latency", BAD_LATENCY),
    Trial("turns quality", GOOD, BAD_QUALITY),
    Trial("turns failures", GOOD, BAD_FAILURES),
    Trial("turns latency", GOOD, BAD_LATENCY),
)


@dataclass(frozen=True, slots=True)
class Setting:
    """Conditions of a run.

    Parameters
    ----------
    name : str
        Name in the table.
    entries : int
        Entries that share the traffic.
    report_seconds : float
        Age of an entry's report when the leader gets it.
    lose_leader : bool
        Whether the leader is lost during the run, with its collected evidence.
    rollouts : int
        Number of concurrent roll-outs, each of a different model.
    """

    name: str
    entries: int = 1
    report_seconds: float = 5.0
    lose_leader: bool = False
    rollouts: int = 1


SETTINGS = (
    Setting("one entry"),
    Setting("nine entries", entries=9),
    Setting("delayed 60 s", entries=9, report_seconds=60.0),
    Setting("leader lost", entries=9, lose_leader=True),
    Setting("two at once", entries=9, rollouts=2),
)


@dataclass(frozen=True, slots=True)
class Result:
    """Result of one roll-out.

    Parameters
    ----------
    state : str
        Final state.
    exposed : int
        Requests on the candidate while it was bad; all of them if it never turns.
    seconds : float
        Second at which it ended.
    """

    state: str
    exposed: int
    seconds: float


class Bins:
    """Probabilities of the latency and score bins of a behaviour."""

    def __init__(self, behaviour: Behaviour, rng: np.random.Generator) -> None:
        self.behaviour = behaviour
        times = behaviour.first_token_seconds * rng.lognormal(0.0, 0.4, DRAWS)
        latency_indexes = np.searchsorted(LATENCY_BOUNDS, times)
        size = len(LATENCY_BOUNDS) + 1
        self.latencies = np.bincount(latency_indexes, minlength=size) / DRAWS
        scores = draw_scores(behaviour, DRAWS, rng)
        score_indexes = np.minimum((scores * SCORE_BINS).astype(int), SCORE_BINS - 1)
        self.scores = np.bincount(score_indexes, minlength=SCORE_BINS) / DRAWS


def draw_scores(behaviour: Behaviour, count: int, rng: np.random.Generator) -> Floats:
    """Draw ratings of a behaviour's answers, a mixture of good and poor ones."""
    # Good answers have a mean of 0.93, poor ones of 0.35, as in `benchmarks.workloads`.
    good = rng.random(count) < (behaviour.quality - 0.35) / (0.93 - 0.35)
    means = np.where(good, 0.93, 0.35)
    return rng.beta(means * 8.0, (1.0 - means) * 8.0)


class Arm:
    """Requests of one version at one entry, with their pending answers and ratings."""

    def __init__(self, rated_share: float, rng: np.random.Generator) -> None:
        self.counts = ArmCounts()
        self.rated_share = rated_share
        self.rng = rng
        self.answers: list[tuple[float, int, Bins]] = []
        self.ratings: list[tuple[float, np.ndarray]] = []

    def dispatch(self, now: float, count: int, bins: Bins) -> None:
        """Dispatch requests, whose answers become due later."""
        self.counts.started += count
        self.answers.append((now + ANSWER_SECONDS, count, bins))

    def process_due(self, now: float) -> None:
        """Count the answers and the ratings that are due."""
        while self.answers and self.answers[0][0] <= now:
            _, count, bins = self.answers.pop(0)
            self._finish(now, count, bins)
        while self.ratings and self.ratings[0][0] <= now:
            _, scores = self.ratings.pop(0)
            self.counts.scores = (scores + self.counts.scores).tolist()

    def _finish(self, now: float, count: int, bins: Bins) -> None:
        failed = int(self.rng.binomial(count, bins.behaviour.failures))
        self.counts.finished += count
        self.counts.failed += failed
        latencies = self.rng.multinomial(count - failed, bins.latencies)
        self.counts.latencies = (latencies + self.counts.latencies).tolist()
        rated = self.rng.binomial(count - failed, self.rated_share)
        scores = self.rng.multinomial(rated, bins.scores)
        self.ratings.append((now + RATING_SECONDS, scores))


class RolloutRun:
    """Runs the roll-outs of one trial until they end.

    Parameters
    ----------
    trial : Trial
        The candidates' behaviour.
    setting : Setting
        Conditions of the run.
    bins : dict
        Bin probabilities of each behaviour.
    seed : int
        Seed of the traffic.
    """

    def __init__(
        self, trial: Trial, setting: Setting, bins: dict[Behaviour, Bins], seed: int
    ) -> None:
        self.trial = trial
        self.setting = setting
        self.bins = bins
        self.rng = np.random.default_rng(seed)
        self.bad_stage = int(self.rng.integers(0, len(STAGES)))
        self.bad_after = int(self.rng.integers(0, REGRESSION_REQUESTS))
        self.names = [RolloutId(f"r{index}") for index in range(setting.rollouts)]
        self.configuration = _make_configuration(self.names)
        self.directory = _make_directory(self.names)
        self.monitors: dict[RolloutId, RolloutMonitor] = {}
        self.traffic = {
            name: [
                (Arm(CANDIDATE_RATED, self.rng), Arm(CURRENT_RATED, self.rng))
                for _ in range(setting.entries)
            ]
            for name in self.names
        }
        self.active = dict.fromkeys(self.names, (0, RolloutState.RUNNING))
        self.pending: list[tuple[float, RolloutId, int, RolloutState]] = []
        self.reports: list[tuple[float, list[RolloutReport]]] = []
        self.bad_requests = dict.fromkeys(self.names, 0)
        self.started_before: dict[RolloutId, int] = {}
        self.ended: dict[RolloutId, float] = {}
        self.sequence = 0

    def run(self) -> list[Result]:
        """Run until every roll-out has ended or `MAX_SECONDS` have passed."""
        now = 0.0
        while now < MAX_SECONDS and len(self.ended) < len(self.names):
            now += TICK_SECONDS
            self._apply_changes(now)
            for name in self.names:
                self._send_traffic(name, now)
            self._report(now)
            self._evaluate(now)
        return [self._find_result(name, now) for name in self.names]

    def _apply_changes(self, now: float) -> None:
        while self.pending and self.pending[0][0] <= now:
            _, name, stage, state = self.pending.pop(0)
            self.active[name] = (stage, state)
            if state is not RolloutState.RUNNING:
                self.ended.setdefault(name, now)

    def _send_traffic(self, name: RolloutId, now: float) -> None:
        stage, state = self.active[name]
        share = STAGES[stage] if state is RolloutState.RUNNING else 0.0
        mean = REQUESTS_PER_SECOND * TICK_SECONDS / self.setting.entries
        bad = self.trial.after is not None and self._is_bad(name, stage)
        behaviour = self.trial.after if bad else self.trial.before
        for candidate, current in self.traffic[name]:
            count = int(self.rng.poisson(mean))
            chosen = int(self.rng.binomial(count, share))
            candidate.process_due(now)
            current.process_due(now)
            candidate.dispatch(now, chosen, self.bins[behaviour])
            current.dispatch(now, count - chosen, self.bins[GOOD])
            if self.trial.after is None or bad:
                self.bad_requests[name] += chosen

    def _is_bad(self, name: RolloutId, stage: int) -> bool:
        if stage != self.bad_stage:
            return stage > self.bad_stage
        exposed = sum(pair[0].counts.started for pair in self.traffic[name])
        started_before = self.started_before.setdefault(name, exposed)
        return exposed - started_before >= self.bad_after

    def _report(self, now: float) -> None:
        self.sequence += 1
        reports = [
            RolloutReport(
                f"{entry}/1",
                self.sequence,
                name,
                TICKET,
                candidate.counts.copy(),
                current.counts.copy(),
            )
            for name in self.names
            for entry, (candidate, current) in enumerate(self.traffic[name])
        ]
        self.reports.append((now + self.setting.report_seconds, reports))

    def _evaluate(self, now: float) -> None:
        since_loss = now - LEADER_LOST_AT_SECONDS
        if self.setting.lose_leader and 0.0 <= since_loss < LEADERLESS_SECONDS:
            self.monitors = {}
            return
        changes = advance_rollouts(
            self.configuration, self.directory, self.monitors, Seconds(now)
        )
        while self.reports and self.reports[0][0] <= now:
            _, reports = self.reports.pop(0)
            merge_reports(self.monitors, reports)
        for change in changes:
            progress = change.progress
            self.configuration.progress[change.rollout] = progress
            due = now + PROPAGATION_SECONDS
            self.pending.append((due, change.rollout, progress.stage, progress.state))

    def _find_result(self, name: RolloutId, now: float) -> Result:
        state = self.configuration.progress[name].state
        return Result(state, self.bad_requests[name], self.ended.get(name, now))


def _make_configuration(names: Sequence[RolloutId]) -> ConfigurationTables:
    configuration = ConfigurationTables()
    for name in names:
        old, new = Version(id=f"{name}:1"), Version(id=f"{name}:2")
        model = Model(name=name, current=old.id, versions=(old, new))
        configuration.models[model.key] = model
        configuration.rollouts[name] = Rollout(
            name=name, model=name, candidate=new.id, stages=STAGES
        )
        configuration.progress[name] = RolloutProgress(TICKET)
    return configuration


def _make_directory(names: Sequence[RolloutId]) -> DirectoryTables:
    versions = tuple(VersionId(f"{name}:{n}") for name in names for n in (1, 2))
    directory = DirectoryTables()
    announcement = Announcement(
        id="e1",
        incarnation=1,
        sequence=1,
        address=Address("127.0.0.1", 1),
        data_centre="westlands",
        kind=EndpointKind.MODEL,
        versions=versions,
    )
    directory.endpoints["e1"] = Endpoint(announcement, Seconds(0.0))
    return directory


@dataclass(frozen=True, slots=True)
class CanaryRun:
    """Maximum z statistic of each stage of one fixed-step canary.

    Parameters
    ----------
    statistics : tuple of float
        Maximum over the metrics, by stage.
    step, bad_after : int
        Requests on the candidate in each stage, and before it turned bad.
    """

    statistics: tuple[float, ...]
    step: int
    bad_after: int

    def count_exposed(self, limit: float) -> tuple[bool, float]:
        """Count the requests that the candidate gets while bad, under a z limit.

        Returns
        -------
        tuple of bool and float
            Whether the limit stops the canary, and the number of these requests.
        """
        exposed = 0.0
        for stage, statistic in enumerate(self.statistics):
            delayed = STAGES[stage] * REQUESTS_PER_SECOND * CANARY_DELAY_SECONDS
            exposed = max((stage + 1) * self.step + delayed - self.bad_after, 0.0)
            if statistic > limit:
                return True, exposed
        return False, exposed


def run_canary(
    trial: Trial, step: int, bins: dict[Behaviour, Bins], rng: np.random.Generator
) -> CanaryRun:
    """Run a canary that tests after a fixed number of requests in each stage."""
    # The request at which a version turns bad is drawn uniformly.
    bad_after = 0
    if trial.after is not None:
        bad_after = int(rng.integers(0, step * len(STAGES)))
    statistics: list[float] = []
    for stage, share in enumerate(STAGES):
        bad = 0
        if trial.after is not None:
            bad = min(max((stage + 1) * step - bad_after, 0), step)
        parts = [(trial.before, step - bad), (trial.after or GOOD, bad)]
        current = min(int(step * max(1.0 / share - 1.0, 3.0)), 20_000)
        z_statistics = [
            _compute_z(parts, current, metric, bins, rng)
            for metric in ("failures", "latencies", "scores")
        ]
        statistics.append(max(z_statistics))
    return CanaryRun(tuple(statistics), step, bad_after)


def _compute_z(
    parts: Sequence[tuple[Behaviour, int]],
    current: int,
    metric: str,
    bins: dict[Behaviour, Bins],
    rng: np.random.Generator,
) -> float:
    new = np.concatenate([_draw_metric(b, n, metric, True, rng) for b, n in parts])
    old = _draw_metric(GOOD, current, metric, False, rng)
    if len(new) < 2 or len(old) < 2:
        return 0.0
    spread = sqrt(float(new.var() / len(new) + old.var() / len(old)))
    return float(new.mean() - old.mean()) / max(spread, 1e-9)


def _draw_metric(
    behaviour: Behaviour,
    count: int,
    metric: str,
    candidate: bool,
    rng: np.random.Generator,
) -> Floats:
    match metric:
        case "failures":
            return (rng.random(count) < behaviour.failures).astype(float)
        case "latencies":
            times = behaviour.first_token_seconds * rng.lognormal(0.0, 0.4, count)
            return (times > 0.5).astype(float)
        case _:
            rated = CANDIDATE_RATED if candidate else CURRENT_RATED
            scores = draw_scores(behaviour, int(rng.binomial(count, rated)), rng)
            return 1.0 - scores


def calibrate_canary(
    step: int,
    bins: dict[Behaviour, Bins],
    rate: float,
    runs: int,
    rng: np.random.Generator,
) -> float:
    """Find the z limit that stops a given share of the canaries of a good candidate."""
    maxima = [
        max(run_canary(TRIALS[0], step, bins, rng).statistics) for _ in range(runs)
    ]
    return float(np.quantile(maxima, 1.0 - rate))


def describe(name: str, trial: Trial, results: Sequence[Result]) -> str:
    """Format the results of one trial as a line of the table."""
    stopped = [r for r in results if r.state == RolloutState.STOPPED]
    completed = [r for r in results if r.state == RolloutState.COMPLETED]
    exposed = [r.exposed for r in results]
    times = [r.seconds for r in (stopped if trial.harmful else completed)]
    return (
        f"{name:14}{trial.name:16}{len(results):5}"
        f"{len(stopped) / len(results):9.3f}{len(completed) / len(results):10.3f}"
        f"{np.mean(exposed):9.1f}{np.quantile(exposed, 0.95):8.0f}"
        f"{np.mean(times) if times else float('nan'):9.0f}"
    )


HEADER = (
    f"{'setting':14}{'candidate':16}{'runs':>5}{'stopped':>9}{'completed':>10}"
    f"{'exposed':>9}{'p95':>8}{'seconds':>9}"
)


@command()
@option("--seeds", default=40, help="Runs of each trial.")
@option("--good-seeds", default=200, help="Runs of a good candidate, one entry.")
@option("--seed", default=1, help="First seed.")
@option("--canary-runs", default=2_000, help="Runs of each canary.")
@option("--settings", default=len(SETTINGS), help="Settings to run, from the first.")
@option("--short", is_flag=True, help="Few runs, one entry.")
@option("--out", default="out/rollout.json", help="Where the JSON goes.")
def main(
    seeds: int,
    good_seeds: int,
    seed: int,
    canary_runs: int,
    settings: int,
    short: bool,
    out: str,
) -> None:
    """Compare the roll-outs' sequential tests with fixed-step canaries."""
    if short:
        seeds, good_seeds, canary_runs = 3, 3, 100
    rng = np.random.default_rng(seed)
    behaviours = {t.before for t in TRIALS} | {t.after for t in TRIALS if t.after}
    bins = {b: Bins(b, rng) for b in sorted(behaviours, key=repr)}
    echo(HEADER)
    rows: list[dict[str, object]] = []
    mean_exposed: dict[str, float] = {}
    false_stops = 0.0
    for setting in SETTINGS[: 1 if short else settings]:
        for trial in TRIALS:
            is_first = setting is SETTINGS[0] and trial is TRIALS[0]
            results = [
                result
                for number in range(good_seeds if is_first else seeds)
                for result in RolloutRun(trial, setting, bins, seed + number).run()
            ]
            echo(describe(setting.name, trial, results))
            if is_first:
                stops = [r.state == RolloutState.STOPPED for r in results]
                false_stops = float(np.mean(stops))
            if setting is SETTINGS[0]:
                mean_exposed[trial.name] = float(np.mean([r.exposed for r in results]))
            rows.append(
                {
                    "setting": asdict(setting),
                    "trial": trial.name,
                    "seed": seed,
                    "results": [asdict(result) for result in results],
                }
            )
    rate = max(false_stops, 1.0 / good_seeds)
    echo(f"\ncanaries at a false-stop rate of {rate:.3f} (measured {false_stops:.3f})")
    rows += compare_canaries(bins, rate, canary_runs, mean_exposed, rng)
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(dumps(rows))


def compare_canaries(
    bins: dict[Behaviour, Bins],
    rate: float,
    runs: int,
    mean_exposed: dict[str, float],
    rng: np.random.Generator,
) -> list[dict[str, object]]:
    """Print and return exposure and missed bad candidates for several step sizes."""
    echo(f"{'step':>6}{'candidate':>16}{'missed':>8}{'exposed':>9}{'ours/it':>9}")
    rows: list[dict[str, object]] = []
    for step in (50, 100, 200, 400):
        limit = calibrate_canary(step, bins, rate, runs, rng)
        for trial in TRIALS:
            if not trial.harmful:
                continue
            found = [
                run_canary(trial, step, bins, rng).count_exposed(limit)
                for _ in range(runs // 4)
            ]
            missed = 1.0 - float(np.mean([stopped for stopped, _ in found]))
            exposed = float(np.mean([count for _, count in found]))
            ratio = mean_exposed[trial.name] / exposed if exposed else float("nan")
            echo(f"{step:6}{trial.name:>16}{missed:8.3f}{exposed:9.1f}{ratio:9.2f}")
            rows.append(
                {
                    "canary": step,
                    "trial": trial.name,
                    "limit": limit,
                    "missed": missed,
                    "exposed": exposed,
                }
            )
    return rows


if __name__ == "__main__":
    main()
