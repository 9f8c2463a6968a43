from random import Random

import pytest

from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Model, Rollout, Version
from bergamotwood_core.ids import RolloutId, TicketNumber, VersionId
from bergamotwood_core.outcome import Outcome, OutcomeCounter, RolloutEvidence
from bergamotwood_core.rollout import (
    Advance,
    Hold,
    RolloutMonitor,
    Stop,
    advance_rollouts,
    choose_version,
    evaluate_rollout,
)
from bergamotwood_core.states import RolloutState, VersionState
from bergamotwood_core.tables import (
    ConfigurationTables,
    DirectoryTables,
    RolloutProgress,
)

OLD = VersionId("reader:1")
NEW = VersionId("reader:2")
NAME = RolloutId("reader-2")
TICKET = TicketNumber(4)
ROLLOUT = Rollout(name=NAME, model="reader", candidate=NEW)
MODEL = Model(name="reader", current=OLD, versions=(Version(id=OLD), Version(id=NEW)))


def count_requests(counter, version, count, rng, failed=0.01, seconds=0.3, quality=0.9):
    for _ in range(count):
        counter.count_start(version)
        has_failed = rng.random() < failed
        first = None if has_failed else seconds * rng.lognormvariate(0.0, 0.3)
        counter.count_outcome(Outcome(version, has_failed, first))
        if rng.random() < 0.5:
            counter.count_score(version, min(1.0, rng.betavariate(9, 1) * quality))


def count_candidate(rng, source="a/1", old=2_000, new=200, **worse):
    counter = OutcomeCounter(source)
    counter.start_counting(NAME, TICKET, NEW, OLD)
    count_requests(counter, OLD, old, rng)
    count_requests(counter, NEW, new, rng, **worse)
    return counter


def make_monitor(*reports):
    monitor = RolloutMonitor(RolloutEvidence(TICKET))
    for report in reports:
        monitor.evidence.merge(report)
    return monitor


def evaluate(counter, now=1_000.0):
    monitor = make_monitor(*counter.list_reports())
    progress = RolloutProgress(TICKET)
    evaluate_rollout(ROLLOUT, progress, monitor, Seconds(0.0))
    return evaluate_rollout(ROLLOUT, progress, monitor, Seconds(now))


@pytest.mark.parametrize(
    ("worse", "metric"),
    [
        ({"failed": 0.3}, "failures"),
        ({"seconds": 1.0}, "latency"),
        ({"quality": 0.5}, "quality"),
    ],
)
def test_worse_version_is_stopped(worse, metric):
    verdict = evaluate(count_candidate(Random(1), new=60, **worse))
    assert isinstance(verdict, Stop)
    assert metric in verdict.reason


def test_equal_version_advances():
    assert evaluate(count_candidate(Random(2), new=400)) == Advance(1)


def test_rollout_stays_at_its_stage_on_too_little_evidence():
    assert isinstance(evaluate(count_candidate(Random(3), new=5)), Hold)


def test_candidate_that_degrades_later_is_stopped():
    rng = Random(4)
    counter = count_candidate(rng, new=300)
    monitor = make_monitor(*counter.list_reports())
    progress = RolloutProgress(TICKET)
    assert not isinstance(
        evaluate_rollout(ROLLOUT, progress, monitor, Seconds(0.0)), Stop
    )
    count_requests(counter, NEW, 40, rng, failed=0.5)
    monitor.evidence.merge(counter.list_reports()[0])
    assert isinstance(evaluate_rollout(ROLLOUT, progress, monitor, Seconds(1.0)), Stop)


def test_repeated_late_and_foreign_reports_are_not_counted():
    counter = count_candidate(Random(5), new=10)
    first = counter.list_reports()[0]
    count_requests(counter, NEW, 10, Random(6))
    second = counter.list_reports()[0]
    evidence = RolloutEvidence(TICKET)
    assert evidence.merge(second)
    assert not evidence.merge(second)
    assert not evidence.merge(first)
    assert evidence.sum_candidate().started == 20
    assert not RolloutEvidence(TicketNumber(9)).merge(second)


def test_impossible_counts_are_dropped():
    report = count_candidate(Random(7)).list_reports()[0]
    report.candidate.failed = 10**6
    assert not RolloutEvidence(TICKET).merge(report)


def test_new_leader_evaluates_the_cumulative_counts_of_the_entries():
    rng = Random(8)
    counters = [count_candidate(rng, f"{n}/1", 300, 12, failed=0.4) for n in range(9)]
    reports = [report for c in counters for report in c.list_reports()]
    monitor = make_monitor(*reports)
    verdict = evaluate_rollout(ROLLOUT, RolloutProgress(TICKET), monitor, Seconds(5.0))
    assert isinstance(verdict, Stop)


@pytest.mark.parametrize(
    ("state", "draw", "expected"),
    [
        (RolloutState.RUNNING, 0.005, NEW),
        (RolloutState.RUNNING, 0.5, OLD),
        (RolloutState.STOPPED, 0.0, OLD),
        (RolloutState.COMPLETED, 0.99, NEW),
    ],
)
def test_new_session_follows_the_progress(state, draw, expected):
    progress = RolloutProgress(TICKET, state=state)
    assert choose_version(MODEL, ROLLOUT, progress, draw) == expected


def test_withdrawn_or_unloaded_candidate_is_never_chosen():
    versions = (Version(id=OLD), Version(id=NEW, state=VersionState.WITHDRAWN))
    model = MODEL.model_copy(update={"versions": versions})
    progress = RolloutProgress(TICKET, state=RolloutState.COMPLETED)
    assert choose_version(model, ROLLOUT, progress, 0.0) == OLD
    running = RolloutProgress(TICKET)
    assert choose_version(MODEL, ROLLOUT, running, 0.0, ready=False) == OLD


def test_stop_is_committed_with_the_exposed_count():
    configuration = ConfigurationTables(
        models={"reader": MODEL},
        rollouts={NAME: ROLLOUT},
        progress={NAME: RolloutProgress(TICKET)},
    )
    counter = count_candidate(Random(9), new=60, failed=0.5)
    monitors = {NAME: make_monitor(*counter.list_reports())}
    changes = advance_rollouts(configuration, DirectoryTables(), monitors, Seconds(1.0))
    assert changes[0].progress.state is RolloutState.STOPPED
    assert changes[0].progress.exposed == 60


def test_stage_waits_until_the_candidate_is_loaded():
    configuration = ConfigurationTables(
        models={"reader": MODEL},
        rollouts={NAME: ROLLOUT},
        progress={NAME: RolloutProgress(TICKET)},
    )
    counter = count_candidate(Random(2), new=400)
    monitors = {NAME: make_monitor(*counter.list_reports())}
    for now in (0.0, 1_000.0):
        assert not advance_rollouts(
            configuration, DirectoryTables(), monitors, Seconds(now)
        )
