from bergamotwood_core.gateway.departedevidence import MAX_RUNS, DepartedEvidence
from bergamotwood_core.gateway.rollout import VersionEvidence
from bergamotwood_core.ids import Incarnation, InstanceId, LogIndex

COUNTS = VersionEvidence("models", "v2", "r", 3, 1, 2, sent=5, rollout=LogIndex(4))


def make_run(number):
    return InstanceId(f"i{number}"), Incarnation(1)


def test_what_a_run_reported_last_is_kept_without_its_open_requests():
    departed = DepartedEvidence()
    departed.keep(make_run(1), [COUNTS])
    ((kept,),) = departed.list_reports()
    assert (kept.trials, kept.bad, kept.open, kept.requests) == (3, 1, 0, 5)
    departed.forget(make_run(1))
    assert departed.list_reports() == []


def test_only_counts_of_the_rollouts_in_progress_are_retained():
    departed = DepartedEvidence()
    other = VersionEvidence("plain", "v5", "r", 1, 0, sent=1, rollout=LogIndex(7))
    departed.keep(make_run(1), [COUNTS, other])
    departed.keep(make_run(2), [COUNTS])
    departed.retain_rollouts({LogIndex(7)})
    assert departed.list_reports() == [(other,)]


def test_counts_of_an_older_build_are_not_kept():
    departed = DepartedEvidence()
    departed.keep(make_run(1), [VersionEvidence("models", "v2", "r", 3, 1)])
    assert departed.list_reports() == []


def test_memory_is_bounded_however_many_entries_restart():
    departed = DepartedEvidence()
    for number in range(MAX_RUNS + 5):
        departed.keep(make_run(number), [COUNTS])
    assert len(departed.list_reports()) == MAX_RUNS
