"""Cascade policy: versions to try for a request, at least cost for a target quality."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from re import fullmatch

from bergamotwood_core.allocation import find_mixes, find_unrated_mixes
from bergamotwood_core.budget import RatingBudget
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import NAME_PATTERN, Workspace
from bergamotwood_core.estimate import Estimate, SelectionBias, find_bin, is_valid_score
from bergamotwood_core.evidence import (
    MAX_MESSAGE_HISTOGRAMS,
    EstimateKey,
    Evidence,
    EvidenceCollector,
    SequenceFilter,
)
from bergamotwood_core.frontier import (
    THRESHOLDS,
    Option,
    OptionParameters,
    Step,
    VersionForecast,
    bound_quality,
    list_options,
)
from bergamotwood_core.ids import RequestClass, VersionId, WorkspaceId
from bergamotwood_core.segment import (
    ExplorationCandidate,
    Segment,
    SegmentKey,
    WorkspaceState,
)
from bergamotwood_core.usage import Candidate, Usage, UsageAverage

SHORT_PROMPT_TOKENS = 512
MEDIUM_PROMPT_TOKENS = 4_096
# Prior mean quality of the most expensive candidate and of the others.
MOST_EXPENSIVE_PRIOR = 0.9
DEFAULT_PRIOR = 0.6
# The prior of the next version lies this far between the mean quality of the
# previous version and MOST_EXPENSIVE_PRIOR.
PRIOR_INTERPOLATION = 0.25
# Least expected cost saving, as a fraction, for which a version is explored.
MIN_SAVING_SHARE = 0.2
# Prior mean quality loss on requests where another version's answer was rejected.
ESCALATION_LOSS = 0.05
# Weight of that prior, in ratings.
ESCALATION_PRIOR_WEIGHT = 5.0
# Rating weight from which the quality of a version counts as known.
KNOWN_QUALITY_RATINGS = 40.0
# Share of the rating budget that is reserved for sampling.
SAMPLE_BUDGET_SHARE = 0.12
# Share of rated answers that are rated a second time to estimate selection bias.
REPEAT_RATING_SHARE = 0.05
# Maximum number of quality estimates, and of usage averages.
MAX_ESTIMATES = 4_096
MAX_WORKSPACES = 1_024
# Fill level of the rating budget above which ratings may exceed the refill rate.
SURPLUS_BUDGET_LEVEL = 0.5


def classify_request(prompt_tokens: int, explicit: str | None = None) -> RequestClass:
    """Return the class named by the caller, or one chosen by prompt size."""
    if explicit is not None and fullmatch(NAME_PATTERN, explicit):
        return RequestClass(explicit)
    if prompt_tokens <= SHORT_PROMPT_TOKENS:
        return RequestClass("short")
    if prompt_tokens <= MEDIUM_PROMPT_TOKENS:
        return RequestClass("medium")
    return RequestClass("long")


@dataclass(frozen=True, slots=True)
class CascadeSettings:
    """Settings of the cascade policy.

    Parameters
    ----------
    source : str
        Entry and incarnation, the source name in evidence messages.
    ratings_per_second : float
        Ratings that this entry may request per second.
    rating_burst : float
        Ratings that this entry may request in a burst.
    rating_seconds : float
        Duration of one rating.
    sample_share : float
        Share of returned answers that are rated while quality is poorly known.
    explore_share : float
        Share of requests that explore a version, scaled by its expected saving.
    exploration_bonus : float
        Standard errors added to the quality of a version to be explored.
    uncertainty_penalty : float
        Standard errors subtracted from the quality of unrated answers.
    quality_margin : float
        Quality above the target that the policy aims for.
    replan_seconds : float
        Age at which the allocation of a workspace is recomputed.
    """

    source: str = ""
    ratings_per_second: float = 1.0
    rating_burst: float = 20.0
    rating_seconds: float = 0.5
    sample_share: float = 0.2
    explore_share: float = 0.5
    exploration_bonus: float = 1.5
    uncertainty_penalty: float = 0.25
    quality_margin: float = 0.006
    replan_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class CascadePlan:
    """Steps in execution order; the answer of the last one is always returned."""

    steps: tuple[Step, ...] = ()


class CascadePolicy:
    """Plans the cascade of each request from the ratings of earlier answers.

    Parameters
    ----------
    settings : CascadeSettings
        Settings of the policy.
    rng : Random
        Seeded random number generator.
    """

    def __init__(self, settings: CascadeSettings, rng: Random) -> None:
        self.settings = settings
        budget_share = SAMPLE_BUDGET_SHARE
        rate, burst = settings.ratings_per_second, settings.rating_burst
        self.budget = RatingBudget(
            rate * (1.0 - budget_share), burst * (1.0 - budget_share)
        )
        self.sample_budget = RatingBudget(
            rate * budget_share, max(burst * budget_share, 1.0)
        )
        self._rng = rng
        self._estimates: OrderedDict[EstimateKey, Estimate] = OrderedDict()
        self._usage: OrderedDict[tuple[RequestClass, VersionId], UsageAverage] = (
            OrderedDict()
        )
        self._workspaces: OrderedDict[WorkspaceId, WorkspaceState] = OrderedDict()
        self._collector = EvidenceCollector(settings.source)
        self._filter = SequenceFilter()
        self._selection_bias = SelectionBias()

    def plan(
        self,
        workspace: Workspace,
        request_class: RequestClass,
        candidates: Sequence[Candidate],
        prompt_tokens: int,
        now: Seconds,
        deadline: Seconds | None = None,
    ) -> CascadePlan:
        """Plan the steps for one request.

        Parameters
        ----------
        workspace : Workspace
            Workspace of the request; candidates that it may not use are left out.
        request_class : RequestClass
            Class of the request.
        candidates : sequence of Candidate
            Candidates in cascade order, from cheap to expensive.
        prompt_tokens : int
            Length of the prompt.
        now, deadline : Seconds
            Current time, and the latest time for the first token.

        Returns
        -------
        CascadePlan
            Empty if the workspace may use none of the candidates.
        """
        allowed = set(workspace.versions)
        usable = [c for c in candidates if c.version in allowed]
        if not usable:
            return CascadePlan()
        state = self._find_state(workspace.key)
        segment = state.find_segment(request_class, usable)
        state.count_request(segment, prompt_tokens)
        self.budget.count_request(now)
        if segment.mix is None or now - state.planned_at > self.settings.replan_seconds:
            self._allocate(workspace, state, now)
        option = self._choose_option(segment, now)
        steps = self._add_exploration_step(
            workspace, request_class, segment, option, now
        )
        if deadline is not None:
            steps = self._fit_deadline(steps, request_class, usable, deadline - now)
        return CascadePlan(steps)

    def record_answer(
        self, request_class: RequestClass, version: VersionId, usage: Usage
    ) -> None:
        """Update the averages of length and decoding time of a version's answers."""
        key = (request_class, version)
        average = self._usage.setdefault(key, UsageAverage())
        average.add(usage)
        self._usage.move_to_end(key)
        if len(self._usage) > MAX_ESTIMATES:
            self._usage.popitem(last=False)

    def record_rating(self, key: EstimateKey, score: float, now: Seconds) -> None:
        """Record a rating made by this entry; an invalid score is dropped."""
        if not is_valid_score(score):
            return
        self.find_estimate(key).add(score)
        self._collector.add(key, find_bin(score), score)

    def record_refusal(self, now: Seconds) -> None:
        """Record that the rating service refused a request."""
        self.budget.record_refusal(now)
        self.sample_budget.record_refusal(now)

    def record_repeated_rating(self, first: float, second: float) -> None:
        """Update the selection bias from two ratings of the same answer."""
        if is_valid_score(first) and is_valid_score(second):
            self._selection_bias.add(first, second)

    def record_returned_answer(
        self, workspace: Workspace, key: EstimateKey, score: float | None
    ) -> None:
        """Record the quality of the answer that was returned to the caller.

        Parameters
        ----------
        workspace : Workspace
            Workspace of the request.
        key : EstimateKey
            Estimate that the answer belongs to.
        score : float or None
            Score with which the answer was accepted, None if it was not rated.
        """
        if score is None:
            estimate = self.find_estimate(key)
            quality = bound_quality(estimate, self.settings.uncertainty_penalty)
        else:
            quality = score - self._selection_bias.value
        state = self._find_state(workspace.key)
        state.record_quality(
            quality, workspace.quality_target + self.settings.quality_margin
        )

    def should_sample(
        self, key: EstimateKey, now: Seconds, rated: bool = False
    ) -> bool:
        """Decide whether a returned answer should be rated as a sample.

        Parameters
        ----------
        key : EstimateKey
            Estimate that the answer belongs to.
        now : Seconds
            Current time.
        rated : bool
            Whether the answer was rated before it was returned. The caller then
            passes the new score to `record_repeated_rating`.

        Returns
        -------
        bool
            True for a random share of the answers while the rating budget suffices.
            The share of unrated answers falls as ratings accumulate.
        """
        weight = self.find_estimate(key).weight
        chance = REPEAT_RATING_SHARE
        if not rated:
            chance = self.settings.sample_share * 2.0 * KNOWN_QUALITY_RATINGS / weight
        if self._rng.random() >= chance:
            return False
        return self._take_sample(weight, now)

    def take_evidence(self) -> Evidence:
        """Return the ratings since the last call, to be sent to the other entries."""
        return self._collector.take()

    def merge_evidence(self, evidence: Evidence) -> None:
        """Add the ratings of another entry; own and repeated messages are dropped."""
        if evidence.source == self.settings.source:
            return
        if not self._filter.accept(evidence.source, evidence.sequence):
            return
        for histogram in evidence.histograms[:MAX_MESSAGE_HISTOGRAMS]:
            estimate = self.find_estimate(histogram.key)
            for score in histogram.list_scores():
                estimate.add(score)

    def find_estimate(self, key: EstimateKey) -> Estimate:
        """Return the estimate of a key, creating it with the default prior."""
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = self._estimates[key] = Estimate(DEFAULT_PRIOR)
            if len(self._estimates) > MAX_ESTIMATES:
                self._estimates.popitem(last=False)
        self._estimates.move_to_end(key)
        return estimate

    def _find_state(self, workspace: WorkspaceId) -> WorkspaceState:
        state = self._workspaces.setdefault(workspace, WorkspaceState())
        self._workspaces.move_to_end(workspace)
        if len(self._workspaces) > MAX_WORKSPACES:
            self._workspaces.popitem(last=False)
        return state

    def _allocate(
        self, workspace: Workspace, state: WorkspaceState, now: Seconds
    ) -> None:
        options = self._list_options(workspace, state)
        weights = state.list_weights()
        target = (
            workspace.quality_target + self.settings.quality_margin + state.correction
        )
        allow_excess = self.budget.compute_fill_level(now) > SURPLUS_BUDGET_LEVEL
        mixes = find_mixes(
            options, weights, target, self.budget.ratings_per_request, allow_excess
        )
        unrated = find_unrated_mixes(options, weights, target)
        for segment, mix, unrated_mix in zip(
            state.segments.values(), mixes, unrated, strict=True
        ):
            segment.mix = mix
            segment.unrated_mix = unrated_mix
        state.planned_at = now

    def _list_options(
        self, workspace: Workspace, state: WorkspaceState
    ) -> list[list[Option]]:
        return [
            self._list_segment_options(workspace, key, segment)
            for key, segment in state.segments.items()
        ]

    def _list_segment_options(
        self, workspace: Workspace, key: SegmentKey, segment: Segment
    ) -> list[Option]:
        forecasts: list[VersionForecast] = []
        prior = DEFAULT_PRIOR
        for candidate in segment.candidates:
            if candidate is segment.candidates[-1]:
                prior = max(prior, MOST_EXPENSIVE_PRIOR)
            forecast = self._forecast_version(
                workspace, key.request_class, segment, candidate, prior
            )
            forecasts.append(forecast)
            mean = max(DEFAULT_PRIOR, forecast.direct.mean)
            prior = mean + PRIOR_INTERPOLATION * max(MOST_EXPENSIVE_PRIOR - mean, 0.0)
        segment.exploration_candidates = [
            self._make_exploration_candidate(forecast) for forecast in forecasts
        ]
        parameters = OptionParameters(
            latency_weight=workspace.latency_weight,
            rating_seconds=self.settings.rating_seconds,
            selection_bias=self._selection_bias.value,
            uncertainty_penalty=self.settings.uncertainty_penalty,
        )
        return list_options(forecasts, parameters)

    def _make_exploration_candidate(
        self, forecast: VersionForecast
    ) -> ExplorationCandidate:
        quality = bound_quality(forecast.direct, -self.settings.exploration_bonus)
        return ExplorationCandidate(forecast.version, forecast.cost, quality)

    def _forecast_version(
        self,
        workspace: Workspace,
        request_class: RequestClass,
        segment: Segment,
        candidate: Candidate,
        prior: float,
    ) -> VersionForecast:
        usage = self._usage.get((request_class, candidate.version), UsageAverage())
        key = EstimateKey(workspace.key, request_class, candidate.version)
        direct = self.find_estimate(key)
        direct.prior_mean = prior
        key = EstimateKey(workspace.key, request_class, candidate.version, True)
        escalated = self.find_estimate(key)
        escalated.prior_mean = direct.mean - ESCALATION_LOSS
        escalated.prior_weight = ESCALATION_PRIOR_WEIGHT
        return VersionForecast(
            version=candidate.version,
            cost=candidate.compute_cost(segment.prompt_tokens, usage.output_tokens),
            first_token_seconds=candidate.first_token_seconds,
            total_seconds=candidate.first_token_seconds + usage.decode_seconds,
            direct=direct,
            escalated=escalated,
        )

    def _choose_option(self, segment: Segment, now: Seconds) -> Option:
        option = segment.choose_rated_option()
        if not option.ratings or self.budget.take(now, option.ratings):
            return option
        return segment.choose_unrated_option()

    def _add_exploration_step(
        self,
        workspace: Workspace,
        request_class: RequestClass,
        segment: Segment,
        option: Option,
        now: Seconds,
    ) -> tuple[Step, ...]:
        steps = option.steps
        candidate, saving = segment.find_exploration_candidate()
        if candidate is None:
            return steps
        chance = self.settings.explore_share * saving
        if saving < MIN_SAVING_SHARE or self._rng.random() >= chance:
            return steps
        if candidate.version == steps[-1].version:
            return steps[-1:]
        key = EstimateKey(workspace.key, request_class, candidate.version)
        if not self._take_sample(self.find_estimate(key).weight, now):
            return steps
        threshold = min(workspace.quality_target, max(THRESHOLDS))
        other_steps = tuple(step for step in steps if step.version != candidate.version)
        return (Step(candidate.version, True, threshold), *other_steps)

    def _take_sample(self, weight: float, now: Seconds) -> bool:
        if self.sample_budget.take(now):
            return True
        return weight < KNOWN_QUALITY_RATINGS and self.budget.take(now)

    def _fit_deadline(
        self,
        steps: tuple[Step, ...],
        request_class: RequestClass,
        candidates: Sequence[Candidate],
        remaining_seconds: float,
    ) -> tuple[Step, ...]:
        first_token_seconds = {c.version: c.first_token_seconds for c in candidates}
        if first_token_seconds[steps[-1].version] > remaining_seconds:
            fastest = min(candidates, key=lambda c: c.first_token_seconds)
            return (Step(fastest.version),)
        spare_seconds = remaining_seconds - first_token_seconds[steps[-1].version]
        kept_steps: list[Step] = []
        for step in steps[:-1]:
            usage = self._usage.get((request_class, step.version), UsageAverage())
            step_seconds = first_token_seconds[step.version] + usage.decode_seconds
            step_seconds += self.settings.rating_seconds
            if step_seconds <= spare_seconds:
                spare_seconds -= step_seconds
                kept_steps.append(step)
        return (*kept_steps, steps[-1])
