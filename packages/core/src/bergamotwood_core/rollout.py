"""Roll-outs: share of new sessions for a candidate, and verdicts on its outcomes."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from math import ceil

from bergamotwood_core.clock import Seconds
from bergamotwood_core.comparison import (
    Baseline,
    Metric,
    compute_safety_capital,
    find_harmed_metric,
    list_baselines,
)
from bergamotwood_core.configuration import Model, Rollout
from bergamotwood_core.ids import RolloutId, TicketNumber, VersionId
from bergamotwood_core.outcome import ArmCounts, RolloutEvidence, RolloutReport
from bergamotwood_core.states import RolloutState, VersionState
from bergamotwood_core.tables import (
    ConfigurationTables,
    DirectoryTables,
    RolloutProgress,
)

# Excess loss over the current version that the first stage must rule out, and the
# factor by which it shrinks with each later stage.
FIRST_STAGE_MARGIN = 0.1
MARGIN_FACTOR = 0.7
# Probability that a candidate which is worse by the margin passes a stage.
FALSE_PASS_RATE = 0.05
# Minimum duration of a stage, so that delayed reports arrive.
MIN_STAGE_SECONDS = 60.0
# Minimum duration of the last stage, to detect a version that degrades later.
MIN_FINAL_SECONDS = 300.0
# Requests between two starting points of the harm tests, and how many are kept.
TEST_START_SPACING = 25
MAX_TEST_STARTS = 16
# Weight of the test that runs from the beginning. The other tests share the rest, so
# that the weights of all tests add up to at most 1.
FIRST_TEST_START_WEIGHT = 0.5
# Fraction of the endpoints needed for a stage's share of traffic that must have
# loaded the candidate.
MIN_READY_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Hold:
    """The roll-out stays at its stage."""

    reason: str


@dataclass(frozen=True, slots=True)
class Advance:
    """The roll-out moves to a stage."""

    stage: int


@dataclass(frozen=True, slots=True)
class Complete:
    """The candidate gets all new sessions from now on."""


@dataclass(frozen=True, slots=True)
class Stop:
    """The candidate gets no new sessions."""

    reason: str


Verdict = Hold | Advance | Complete | Stop


@dataclass(frozen=True, slots=True)
class ProgressChange:
    """Progress of a roll-out, to be committed to the log by the leader."""

    rollout: RolloutId
    progress: RolloutProgress


@dataclass(slots=True)
class RolloutMonitor:
    """State that a leader keeps in memory about one roll-out; it is not replicated.

    Parameters
    ----------
    evidence : RolloutEvidence
        Outcome counts from the entries.
    stage, stage_seen_at : int, Seconds
        Current stage, and when this leader first saw it.
    test_starts : list of tuple
        Starting points of further harm tests: the number of each, and the
        candidate's counts at that time. They detect a candidate that degrades
        later.
    test_start_count : int
        Number of starting points so far, including those no longer kept.
    """

    evidence: RolloutEvidence
    stage: int = -1
    stage_seen_at: Seconds = Seconds(0.0)
    test_starts: list[tuple[int, ArmCounts]] = field(default_factory=list)
    test_start_count: int = 0


def choose_version(
    model: Model,
    rollout: Rollout | None,
    progress: RolloutProgress | None,
    draw: float,
    ready: bool = True,
) -> VersionId:
    """Choose the version for a new session.

    Parameters
    ----------
    model : Model
        Requested model.
    rollout, progress : Rollout, RolloutProgress or None
        Roll-out of the model, if there is one.
    draw : float
        Uniform random number from 0 to 1.
    ready : bool
        Whether an endpoint has loaded the candidate.

    Returns
    -------
    VersionId
        Candidate or current version.
    """
    current = VersionId(model.current)
    if rollout is None or progress is None or not ready:
        return current
    if rollout.state is RolloutState.STOPPED:
        return current
    if progress.state is RolloutState.STOPPED or not _is_serving(model, rollout):
        return current
    candidate = VersionId(rollout.candidate)
    if progress.state is RolloutState.COMPLETED:
        return candidate
    share = rollout.stages[min(progress.stage, len(rollout.stages) - 1)]
    return candidate if draw < share else current


def evaluate_rollout(
    rollout: Rollout,
    progress: RolloutProgress,
    monitor: RolloutMonitor,
    now: Seconds,
    ratings_expected: bool = True,
) -> Verdict:
    """Evaluate the evidence about a running roll-out.

    Parameters
    ----------
    rollout, progress : Rollout, RolloutProgress
        Roll-out and its replicated progress.
    monitor : RolloutMonitor
        Evidence and starting points; a starting point may be added.
    now : Seconds
        Current time.
    ratings_expected : bool
        Whether stages wait for quality ratings.

    Returns
    -------
    Verdict
        `Stop` as soon as a test shows that the candidate is worse; `Advance` or
        `Complete` when the tests rule out that it is worse by the stage's margin.
    """
    if monitor.stage != progress.stage:
        monitor.stage = progress.stage
        monitor.stage_seen_at = now
    candidate = monitor.evidence.sum_candidate()
    current = monitor.evidence.sum_current()
    baselines = list_baselines(current)
    harm = find_harmed_metric(
        baselines, candidate, _list_test_starts(monitor), rollout.false_stop_rate
    )
    if harm is not None:
        return Stop(f"worse than the current version: {harm}")
    _add_test_start(monitor, candidate)
    final = progress.stage + 1 >= len(rollout.stages)
    min_seconds = MIN_FINAL_SECONDS if final else MIN_STAGE_SECONDS
    if now - monitor.stage_seen_at < min_seconds:
        return Hold("waiting for reports")
    missing = _find_missing_evidence(
        progress.stage, baselines, candidate, ratings_expected
    )
    if missing is not None:
        return Hold(missing)
    if final:
        return Complete()
    return Advance(progress.stage + 1)


def advance_rollouts(
    configuration: ConfigurationTables,
    directory: DirectoryTables,
    monitors: dict[RolloutId, RolloutMonitor],
    now: Seconds,
    ratings_expected: bool = True,
) -> list[ProgressChange]:
    """Evaluate all running roll-outs; called by the control leader every tick.

    Parameters
    ----------
    configuration : ConfigurationTables
        Roll-outs and their progress.
    directory : DirectoryTables
        Endpoints, to count how many have loaded a version.
    monitors : dict
        Monitors of the leader; updated to match the configured roll-outs.
    now : Seconds
        Current time.
    ratings_expected : bool
        Whether stages wait for quality ratings.

    Returns
    -------
    list of ProgressChange
        Changes to commit to the log.
    """
    for rollout_id in monitors.keys() - configuration.rollouts.keys():
        del monitors[rollout_id]
    changes: list[ProgressChange] = []
    for rollout_id, rollout in configuration.rollouts.items():
        progress = configuration.progress.get(rollout_id)
        if progress is None or not _is_running(rollout, progress):
            continue
        monitor = _find_monitor(monitors, rollout_id, progress.ticket)
        verdict = evaluate_rollout(rollout, progress, monitor, now, ratings_expected)
        ready = _is_ready(configuration, directory, rollout, verdict)
        exposed = monitor.evidence.sum_candidate().started
        change = _apply_verdict(progress, verdict if ready else Hold(""), exposed)
        if change is not None:
            changes.append(ProgressChange(rollout_id, change))
    return changes


def merge_reports(
    monitors: dict[RolloutId, RolloutMonitor], reports: Sequence[RolloutReport]
) -> None:
    """Merge the reports of the entries into the evidence of the leader."""
    for report in reports:
        monitor = monitors.get(report.rollout)
        if monitor is not None:
            monitor.evidence.merge(report)


def _find_monitor(
    monitors: dict[RolloutId, RolloutMonitor], rollout: RolloutId, ticket: TicketNumber
) -> RolloutMonitor:
    monitor = monitors.get(rollout)
    if monitor is None or monitor.evidence.ticket != ticket:
        monitor = monitors[rollout] = RolloutMonitor(RolloutEvidence(ticket))
    return monitor


def _apply_verdict(
    progress: RolloutProgress, verdict: Verdict, exposed: int
) -> RolloutProgress | None:
    exposed = max(progress.exposed, exposed)
    match verdict:
        case Stop(reason):
            state = RolloutState.STOPPED
            return replace(progress, state=state, reason=reason, exposed=exposed)
        case Advance(stage):
            return replace(progress, stage=stage, exposed=exposed)
        case Complete():
            return replace(progress, state=RolloutState.COMPLETED, exposed=exposed)
        case Hold():
            return None


def _is_running(rollout: Rollout, progress: RolloutProgress) -> bool:
    if rollout.state is not RolloutState.RUNNING:
        return False
    return progress.state is RolloutState.RUNNING


def _is_serving(model: Model, rollout: Rollout) -> bool:
    return any(
        version.id == rollout.candidate and version.state is VersionState.SERVING
        for version in model.versions
    )


def _is_ready(
    configuration: ConfigurationTables,
    directory: DirectoryTables,
    rollout: Rollout,
    verdict: Verdict,
) -> bool:
    if not isinstance(verdict, Advance):
        return True
    model = configuration.models.get(rollout.model)
    if model is None:
        return False
    current = _count_loaded(directory, VersionId(model.current))
    loaded = _count_loaded(directory, VersionId(rollout.candidate))
    needed = ceil(MIN_READY_SHARE * rollout.stages[verdict.stage] * current)
    return loaded >= max(needed, 1)


def _count_loaded(directory: DirectoryTables, version: VersionId) -> int:
    return sum(
        endpoint.serving and version in endpoint.announcement.versions
        for endpoint in directory.endpoints.values()
    )


def _find_missing_evidence(
    stage: int,
    baselines: Sequence[Baseline],
    candidate: ArmCounts,
    ratings_expected: bool,
) -> str | None:
    margin = FIRST_STAGE_MARGIN * MARGIN_FACTOR**stage
    known = {baseline.metric: baseline for baseline in baselines}
    for metric in Metric:
        if metric is Metric.QUALITY and not ratings_expected:
            continue
        baseline = known.get(metric)
        if baseline is None:
            return f"waiting for {metric} of the current version"
        if compute_safety_capital(baseline, candidate, margin) < 1.0 / FALSE_PASS_RATE:
            return f"waiting for {metric} of the candidate"
    return None


def _list_test_starts(monitor: RolloutMonitor) -> list[tuple[float, ArmCounts]]:
    test_starts = [(FIRST_TEST_START_WEIGHT, ArmCounts())]
    for number, counts in monitor.test_starts:
        weight = (1.0 - FIRST_TEST_START_WEIGHT) / (number * (number + 1.0))
        test_starts.append((weight, counts))
    return test_starts


def _add_test_start(monitor: RolloutMonitor, candidate: ArmCounts) -> None:
    newest = monitor.test_starts[-1][1].started if monitor.test_starts else 0
    if candidate.started - newest < TEST_START_SPACING:
        return
    monitor.test_start_count += 1
    monitor.test_starts.append((monitor.test_start_count, candidate))
    del monitor.test_starts[:-MAX_TEST_STARTS]
