from random import Random

import pytest

from bergamotwood_core.budget import RatingBudget
from bergamotwood_core.cascade import CascadePolicy, CascadeSettings, classify_request
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.evidence import EstimateKey, Evidence, EvidenceHistogram
from bergamotwood_core.ids import RequestClass, VersionId, WorkspaceId
from bergamotwood_core.usage import Candidate, Usage

SMALL = VersionId("small:1")
LARGE = VersionId("large:1")
LETTERS = RequestClass("letters")
KUBWA = WorkspaceId("kubwa")
CANDIDATES = (Candidate(SMALL, 0.1, 0.1, 0.2), Candidate(LARGE, 2.0, 2.0, 0.5))
WORKSPACE = Workspace(name="kubwa", versions=(SMALL, LARGE), quality_target=0.8)


@pytest.fixture
def policy():
    settings = CascadeSettings(source="a/1", ratings_per_second=100.0)
    policy = CascadePolicy(settings, Random(7))
    for version in (SMALL, LARGE):
        policy.record_answer(LETTERS, version, Usage(400, 300, 0.2, 2.0))
    return policy


def rate(policy, version, score, count=40, now=0.0):
    key = EstimateKey(KUBWA, LETTERS, version)
    for _ in range(count):
        policy.record_rating(key, score, Seconds(now))


def rate_in_turn(policy, version, *scores):
    for _ in range(20):
        for score in scores:
            rate(policy, version, score, count=1)


def plan_many(policy, count=100, start=10.0, deadline=None, workspace=WORKSPACE):
    plans = []
    for index in range(count):
        now = start + index
        until = None if deadline is None else Seconds(now + deadline)
        plans.append(
            policy.plan(workspace, LETTERS, CANDIDATES, 400, Seconds(now), until)
        )
    return plans


def test_request_class_follows_the_prompt_size_unless_it_is_named():
    assert classify_request(10) == "short"
    assert classify_request(2_000) == "medium"
    assert classify_request(90_000) == "long"
    assert classify_request(90_000, "letters") == "letters"
    assert classify_request(10, "Not a name!") == "short"


def test_good_cheap_version_answers_alone(policy):
    rate(policy, SMALL, 0.95)
    rate(policy, LARGE, 0.97)
    plans = plan_many(policy)
    assert all(plan.steps[0].version == SMALL for plan in plans)
    assert sum(step.rate for plan in plans for step in plan.steps) == 0


def test_bad_cheap_version_is_skipped(policy):
    rate(policy, SMALL, 0.1)
    rate(policy, LARGE, 0.95)
    assert all(plan.steps[0].version == LARGE for plan in plan_many(policy))


def test_version_whose_quality_drops_is_not_used_unrated(policy):
    rate(policy, SMALL, 0.95, count=200)
    rate(policy, LARGE, 0.95)
    rate(policy, SMALL, 0.1, count=15)
    plans = plan_many(policy)
    assert not any(p.steps[0].version == SMALL and not p.steps[0].rate for p in plans)


def test_without_ratings_the_last_version_answers():
    policy = CascadePolicy(CascadeSettings(ratings_per_second=0.0), Random(1))
    policy.record_refusal(Seconds(0.0))
    plans = plan_many(policy)
    assert all([step.version for step in p.steps] == [LARGE] for p in plans)


def test_plans_end_with_the_large_version_when_ratings_are_refused(policy):
    rate_in_turn(policy, SMALL, 0.2, 0.95)
    for now in range(50):
        policy.record_refusal(Seconds(float(now)))
    plans = plan_many(policy, start=50.0)
    assert all(plan.steps[-1].version == LARGE for plan in plans)


def test_rating_budget_refills_more_slowly_after_refusals():
    budget = RatingBudget(per_second=100.0, burst=20.0)
    for now in range(50):
        budget.record_refusal(Seconds(float(now)))
    taken = sum(budget.take(Seconds(49.0 + n / 100.0)) for n in range(1_000))
    assert taken < 150


def test_deadline_skips_the_rated_step(policy):
    rate_in_turn(policy, SMALL, 0.2, 0.95)
    rate(policy, LARGE, 0.95)
    assert any(plan.steps[0].rate for plan in plan_many(policy))
    for plan in plan_many(policy, deadline=1.0):
        assert not any(step.rate for step in plan.steps)


def test_version_that_is_not_allowed_is_never_planned(policy):
    rate(policy, SMALL, 0.95)
    workspace = WORKSPACE.model_copy(update={"versions": (LARGE,)})
    for plan in plan_many(policy, workspace=workspace):
        assert [step.version for step in plan.steps] == [LARGE]
    nobody = WORKSPACE.model_copy(update={"versions": ()})
    assert plan_many(policy, workspace=nobody, count=1)[0].steps == ()


def test_evidence_delivered_twice_counts_once(policy):
    other = CascadePolicy(CascadeSettings(source="b/1"), Random(1))
    rate(other, SMALL, 0.9, count=10)
    evidence = other.take_evidence()
    for _ in range(3):
        policy.merge_evidence(evidence)
    rate(policy, SMALL, 0.9, count=1)
    mine = policy.take_evidence()
    assert sum(mine.histograms[0].counts) == 1
    estimate = policy.find_estimate(EstimateKey(KUBWA, LETTERS, SMALL))
    assert estimate.ratings.weight == pytest.approx(11, abs=0.5)


def test_malformed_or_excessive_evidence_has_a_bounded_effect(policy):
    rate(policy, SMALL, 0.9, count=200)
    key = EstimateKey(KUBWA, LETTERS, SMALL)
    before = policy.find_estimate(key).mean
    huge = EvidenceHistogram(key, (10**9, *([0] * 19)), (0.0, *([0.0] * 19)))
    broken = EvidenceHistogram(key, (5,), (float("nan"),))
    outside = EvidenceHistogram(key, (1, *([0] * 19)), (-7.0, *([0.0] * 19)))
    policy.merge_evidence(Evidence("c/1", 1, (broken, outside)))
    assert policy.find_estimate(key).mean == before
    policy.merge_evidence(Evidence("c/1", 2, (huge,)))
    assert policy.find_estimate(key).weight < 1_000
    rate(policy, SMALL, 0.9, count=200)
    assert policy.find_estimate(key).mean > 0.8


def test_invalid_scores_are_dropped(policy):
    key = EstimateKey(KUBWA, LETTERS, SMALL)
    for score in (float("nan"), -0.1, 1.1, float("inf")):
        policy.record_rating(key, score, Seconds(0.0))
    assert policy.take_evidence().histograms == ()


def test_last_step_is_never_rated_and_no_version_runs_twice():
    rng = Random(3)
    settings = CascadeSettings(ratings_per_second=100.0)
    for seed in range(20):
        policy = CascadePolicy(settings, Random(seed))
        quality = {SMALL: rng.random(), LARGE: rng.random()}
        for now in range(200):
            plan = policy.plan(WORKSPACE, LETTERS, CANDIDATES, 400, Seconds(now * 2.0))
            versions = [step.version for step in plan.steps]
            assert not plan.steps[-1].rate
            assert len(set(versions)) == len(versions)
            score = min(quality[versions[0]] * rng.uniform(0.8, 1.2), 1.0)
            rate(policy, versions[0], score, count=1)
