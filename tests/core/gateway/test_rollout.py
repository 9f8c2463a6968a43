from random import Random

import pytest
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import (
    EARLY_SHARE_KNOWN,
    EARLY_SHARE_START,
    FIRST_SHARE,
    MAX_EARLY_SHARE,
    MIN_EVIDENCE_TRIALS,
    RegressionDetector,
    RolloutView,
    VersionEvidence,
    choose_outcome,
    choose_share,
    compute_early_share,
    is_on_target,
    is_slower,
    merge_evidence,
)
from bergamotwood_core.ids import LogIndex, ServiceName

SERVICE = ServiceName("models")
ROLLOUT = ServiceRollout(
    SERVICE, "v2", 20.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
)
ENOUGH = [VersionEvidence(SERVICE, "v2", "r", MIN_EVIDENCE_TRIALS, 0)]


def make_view(elapsed, share):
    return RolloutView(ROLLOUT, elapsed, share)


def test_share_grows_with_time_and_requires_evidence_and_capacity():
    shares = [choose_share(ROLLOUT, t, ENOUGH, True) for t in range(21)]
    assert shares == sorted(shares)
    assert shares[0] == 0.0
    assert shares[10] == FIRST_SHARE
    assert shares[16] == 1.0
    assert choose_share(ROLLOUT, 15.5, [], True) < 0.5
    assert choose_share(ROLLOUT, 17.0, [], True) == 1.0
    assert choose_share(ROLLOUT, 16.0, ENOUGH, False) == 0.0


def test_session_moves_to_the_new_version_once_and_stays():
    for index in range(300):
        session = f"s{index}"
        on_target = [
            is_on_target(
                make_view(t, choose_share(ROLLOUT, t, ENOUGH, True)), session, False
            )
            for t in range(21)
        ]
        assert on_target == sorted(on_target)


def test_open_sessions_stay_on_their_version_in_the_first_half():
    moved = [
        f"s{index}"
        for index in range(400)
        if is_on_target(make_view(5.0, 0.1), f"s{index}", False)
    ]
    assert 20 < len(moved) < 60
    assert not any(
        is_on_target(make_view(9.9, 0.1), session, True) for session in moved
    )
    assert all(is_on_target(make_view(10.0, 0.1), session, True) for session in moved)


def test_sessions_of_a_withdrawn_version_move_once_in_the_second_half():
    sessions = [f"s{index}" for index in range(50)]
    for view, expected in (
        (make_view(9.9, 0.0), False),
        (make_view(10.0, 0.0), False),
        (make_view(10.0, 0.01), True),
    ):
        moved = [is_on_target(view, session, True, True) for session in sessions]
        assert moved == [expected] * 50


def simulate_rollout(rates, seed, seconds=24.0, rate=20.0, baseline=0.01):
    """Simulate a roll-out.

    Returns its outcome, the requests on the new version and its bad answers. By
    default, 480 requests arrive in 24 s.

    Parameters
    ----------
    rates : callable
        Returns the probability of a bad answer of the new version at a time.
    """
    rng = Random(seed)
    detector = RegressionDetector()
    rollout = ServiceRollout(
        SERVICE, "v2", seconds, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    counts = {"v1": [0, 0], "v2": [0, 0]}
    elapsed = 0.0
    bad_answers = 0
    while elapsed < seconds:
        elapsed += 0.25
        evidence = [VersionEvidence(SERVICE, v, "r", *c) for v, c in counts.items()]
        detector.update(rollout, evidence, Seconds(elapsed))
        is_suspected = detector.suspected_route is not None
        share = choose_share(rollout, elapsed, evidence, True, is_suspected)
        outcome = choose_outcome(
            rollout, elapsed, detector.regressed_route, share, 0, is_suspected
        )
        if outcome is not RolloutOutcome.IN_PROGRESS:
            return outcome, counts["v2"][0], bad_answers
        for _ in range(int(rate * 0.25)):
            version = "v2" if rng.random() < share else "v1"
            chance = rates(elapsed) if version == "v2" else baseline
            is_bad = rng.random() < chance
            bad_answers += is_bad and version == "v2"
            counts[version][0] += 1
            counts[version][1] += is_bad
    return RolloutOutcome.IN_PROGRESS, counts["v2"][0], bad_answers


@pytest.mark.parametrize("bad", [0.35, 0.5, 1.0])
def test_bad_version_is_rolled_back_within_the_exposure_limit(bad):
    for seed in range(30):
        outcome, exposed, answers = simulate_rollout(lambda t: bad, seed)
        assert outcome is RolloutOutcome.ROLLED_BACK
        assert exposed <= 0.15 * 480 + 30
        assert answers < 50


def test_version_that_turns_bad_late_is_rolled_back_within_the_exposure_limit():
    for seed in range(30):
        outcome, exposed, _ = simulate_rollout(lambda t: 0.5 if t > 8.0 else 0.0, seed)
        assert outcome is RolloutOutcome.ROLLED_BACK
        assert exposed <= 0.15 * 480 + 30


@pytest.mark.parametrize("baseline", [0.0, 0.02, 0.14])
def test_good_versions_are_completed_before_the_deadline(baseline):
    outcomes = [
        simulate_rollout(lambda t: baseline, seed, baseline=baseline)[0]
        for seed in range(60)
    ]
    assert outcomes.count(RolloutOutcome.COMPLETED) >= 58


def test_completion_waits_for_requests_on_the_previous_version():
    early = choose_outcome(ROLLOUT, 17.0, None, 1.0, 3)
    assert early is RolloutOutcome.IN_PROGRESS
    assert choose_outcome(ROLLOUT, 17.0, None, 1.0, 0) is RolloutOutcome.COMPLETED
    assert choose_outcome(ROLLOUT, 19.0, None, 1.0, 3) is RolloutOutcome.COMPLETED


@pytest.mark.parametrize("rollout", [ROLLOUT.index, LogIndex(0)])
def test_a_replica_that_begins_to_look_late_judges_the_requests_before(rollout):
    """Guards against a new leader that disregards the bad responses until then."""
    detector = RegressionDetector()
    evidence = [VersionEvidence(SERVICE, "v2", "r", 12, 12, rollout=rollout)]
    for seconds in (5.0, 9.0, 13.0):
        detector.update(ROLLOUT, evidence, Seconds(seconds))
    # Counts of an older build may be those of the roll-out before.
    assert detector.regressed_route == ("r" if rollout else None)


def test_evidence_of_all_entries_is_summed():
    one = (VersionEvidence(SERVICE, "v2", "r", 3, 1),)
    other = (VersionEvidence(SERVICE, "v2", "r", 2, 0, sent=4),)
    merged = VersionEvidence(SERVICE, "v2", "r", 5, 1, sent=7)
    assert merge_evidence([one, other]) == [merged]
    later = VersionEvidence(SERVICE, "v2", "r", 1, 0, rollout=LogIndex(9))
    assert merge_evidence([one, other, (later,)]) == [merged, replace(later, sent=1)]


def make_version(version, ended, seconds, route="r", **changes):
    return VersionEvidence(
        SERVICE, version, route, ended, 0, ended=ended, seconds=seconds, **changes
    )


def test_a_version_whose_requests_stay_open_is_slower():
    rollout = ServiceRollout(
        SERVICE, "v2", 15.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    old = make_version("v1", 190, 250.0)
    assert is_slower(rollout, [old, make_version("v2", 11, 70.0, open=20)])
    # As many are open, but for as short a time as on the old version.
    assert not is_slower(rollout, [old, make_version("v2", 11, 20.0, open=20)])
    # Too little time to tell, and a route that the old version has not served.
    assert not is_slower(rollout, [old, make_version("v2", 0, 3.0, open=3)])
    other = make_version("v2", 0, 500.0, route="other")
    assert not is_slower(rollout, [old, other])


def test_a_suspected_version_gets_no_larger_share_and_is_rolled_back_at_the_end():
    rollout = ServiceRollout(
        SERVICE, "v2", 15.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    evidence = [make_version("v1", 800, 800.0), make_version("v2", 50, 50.0)]
    assert choose_share(rollout, 14.0, evidence, True) == 1.0
    share = choose_share(rollout, 14.0, evidence, True, is_suspected=True)
    assert share < 0.5
    outcome = choose_outcome(rollout, 14.4, None, share, 0, is_suspected=True)
    assert outcome is RolloutOutcome.ROLLED_BACK


def test_open_requests_delay_the_last_stages():
    rollout = ServiceRollout(
        SERVICE, "v2", 15.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    old = make_version("v1", 10, 10.0)
    judged = [old, make_version("v2", 13, 13.0, open=5)]
    assert choose_share(rollout, 12.0, judged, True) == 1.0
    undecided = [old, make_version("v2", 13, 13.0, open=25)]
    assert choose_share(rollout, 12.0, undecided, True) < 0.5


def test_the_first_share_grows_where_few_requests_come():
    """Guards against a verdict on too little evidence: half the traffic, 15 s."""
    rollout = ServiceRollout(
        SERVICE, "v2", 15.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    known_at = EARLY_SHARE_KNOWN * 15.0
    few = [make_version("v1", round(8.5 * known_at), 30.0)]
    assert compute_early_share(rollout, known_at - 0.1, few) is None
    share = compute_early_share(rollout, known_at, few)
    assert share == MAX_EARLY_SHARE
    starts_at = EARLY_SHARE_START * 15.0
    assert (
        choose_share(rollout, starts_at - 0.1, few, True, False, share) == FIRST_SHARE
    )
    assert choose_share(rollout, starts_at, few, True, False, share) == share
    assert choose_share(rollout, starts_at, few, False, False, share) == 0.0
    # Entries exchange the sessions that it moves, with a margin.
    view = RolloutView(rollout, known_at, FIRST_SHARE, share)
    assert view.exchanged_share > share
    assert RolloutView(rollout, known_at, FIRST_SHARE).exchanged_share == FIRST_SHARE


@pytest.mark.parametrize("rate", [2.0, 8.5, 17.0, 60.0, 500.0])
def test_the_larger_first_share_stays_within_the_allowed_exposure(rate):
    """A bad version may get 15 percent of the requests and 30 more."""
    rollout = ServiceRollout(
        SERVICE, "v2", 15.0, RolloutOutcome.IN_PROGRESS, LogIndex(4), 0.0
    )
    known_at = EARLY_SHARE_KNOWN * 15.0
    evidence = [make_version("v1", round(rate * known_at), 30.0)]
    share = compute_early_share(rollout, known_at, evidence)
    sent = 0.0
    for step in range(1_000):
        at = 15.0 * step / 1_000
        sent += rate * 0.015 * choose_share(rollout, at, [], True, True, share)
        assert sent <= 0.15 * rate * at + 30.0


# Above 745 expected events the probability was 0, and a good version was suspected.
def test_a_good_version_with_many_requests_is_not_slower():
    for ended in (100, 1_000, 50_000):
        seconds = 1.0 * ended
        evidence = [
            make_version("v1", ended, seconds),
            make_version("v2", ended, seconds),
        ]
        assert not is_slower(ROLLOUT, evidence)
        evidence[1] = make_version("v2", ended // 2, seconds)
        assert is_slower(ROLLOUT, evidence)
