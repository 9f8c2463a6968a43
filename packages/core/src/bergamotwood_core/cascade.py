"""Which versions answer a request, in what order, for least cost at the target."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from re import fullmatch

from bergamotwood_core.budget import RatingBudget
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import NAME_PATTERN, Workspace
from bergamotwood_core.estimate import Estimate, find_bin, is_score
from bergamotwood_core.evidence import (
    MAX_MESSAGE_CELLS,
    CellKey,
    Evidence,
    EvidenceCollector,
    SequenceFilter,
)
from bergamotwood_core.frontier import (
    Mix,
    Option,
    Prospect,
    Step,
    Terms,
    allocate,
    drop_poor,
    list_options,
    trace_hull,
)
from bergamotwood_core.ids import RequestClass, VersionId, WorkspaceId
from bergamotwood_core.segment import Segment, SegmentKey, WorkspaceState
from bergamotwood_core.usage import Candidate, Usage, UsageAverage

SHORT_PROMPT_TOKENS = 512
MEDIUM_PROMPT_TOKENS = 4_096
# Quality believed of the dearest candidate and of the others before any rating.
DEAREST_PRIOR = 0.9
OTHERS_PRIOR = 0.5
MAX_CELLS = 4_096
MAX_WORKSPACES = 1_024


def classify_request(prompt_tokens: int, explicit: str | None = None) -> RequestClass:
    """Class that a caller names, or else one by the size of the prompt."""
    if explicit is not None and fullmatch(NAME_PATTERN, explicit):
        return RequestClass(explicit)
    if prompt_tokens <= SHORT_PROMPT_TOKENS:
        return RequestClass("short")
    if prompt_tokens <= MEDIUM_PROMPT_TOKENS:
        return RequestClass("medium")
    return RequestClass("long")


@dataclass(frozen=True, slots=True)
class CascadeSettings:
    """Settings of the policy.

    Parameters
    ----------
    source : str
        This entry and its incarnation, as evidence names it.
    ratings_per_second : float
        Ratings that this entry may ask for.
    rating_burst : float
        Ratings that it may ask for at once.
    rating_seconds : float
        Time that one rating takes.
    sample_share : float
        Share of the answers that are rated afterwards.
    reliability : float
        Share of the variance of scores that is true quality.
    caution : float
        Standard errors that unrated quality is lowered by.
    margin : float
        Quality aimed at above the target.
    replan_seconds : float
        Age at which a workspace's allocation is made anew.
    """

    source: str = ""
    ratings_per_second: float = 1.0
    rating_burst: float = 20.0
    rating_seconds: float = 0.5
    sample_share: float = 0.1
    reliability: float = 0.8
    caution: float = 0.5
    margin: float = 0.01
    replan_seconds: float = 2.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Steps to try in order; the last one is returned whatever it gives."""

    steps: tuple[Step, ...] = ()


class CascadePolicy:
    """Learns from ratings and plans the cascade of each request.

    Parameters
    ----------
    settings : CascadeSettings
        Limits and margins.
    rng : Random
        Seeded generator.
    """

    def __init__(self, settings: CascadeSettings, rng: Random) -> None:
        self.settings = settings
        self.budget = RatingBudget(settings.ratings_per_second, settings.rating_burst)
        self._rng = rng
        self._cells: OrderedDict[CellKey, Estimate] = OrderedDict()
        self._usage: OrderedDict[tuple[RequestClass, VersionId], UsageAverage] = (
            OrderedDict()
        )
        self._workspaces: OrderedDict[WorkspaceId, WorkspaceState] = OrderedDict()
        self._collector = EvidenceCollector(settings.source)
        self._filter = SequenceFilter()

    def plan(
        self,
        workspace: Workspace,
        request_class: RequestClass,
        candidates: Sequence[Candidate],
        prompt_tokens: int,
        now: Seconds,
        deadline: Seconds | None = None,
    ) -> Plan:
        """Plan the steps for one request.

        Parameters
        ----------
        workspace : Workspace
            Whose request; candidates it may not use are left out.
        request_class : RequestClass
            Kind of request.
        candidates : sequence of Candidate
            In the order of the cascade, cheaper before dearer.
        prompt_tokens : int
            Size of the prompt.
        now, deadline : Seconds
            The time, and when the first token has to be out.

        Returns
        -------
        Plan
            Empty when the workspace may use none of the candidates.
        """
        allowed = set(workspace.versions)
        usable = [c for c in candidates if c.version in allowed]
        if not usable:
            return Plan()
        state = self._find_state(workspace.key)
        segment = state.find_segment(request_class, usable)
        state.count_request(segment, prompt_tokens)
        self.budget.count_request(now)
        if segment.mix is None or now - state.planned_at > self.settings.replan_seconds:
            self._allocate(workspace, state, now)
        steps = self._draw_option(segment).steps
        steps = self._fit_budget(steps, now)
        if deadline is not None:
            steps = self._fit_deadline(steps, request_class, usable, deadline - now)
        return Plan(steps)

    def record_answer(
        self, request_class: RequestClass, version: VersionId, usage: Usage
    ) -> None:
        """Learn the size and speed of a version's answers."""
        key = (request_class, version)
        average = self._usage.setdefault(key, UsageAverage())
        average.add(usage)
        self._usage.move_to_end(key)
        if len(self._usage) > MAX_CELLS:
            self._usage.popitem(last=False)

    def record_rating(self, key: CellKey, score: float, now: Seconds) -> None:
        """Learn from one rating of this entry; an invalid score is dropped."""
        if not is_score(score):
            return
        self.find_estimate(key).add(score)
        self._collector.add(key, find_bin(score), score)

    def record_refusal(self, now: Seconds) -> None:
        """Learn that the rating service refused."""
        self.budget.refuse(now)

    def should_sample(self, key: CellKey, now: Seconds) -> bool:
        """Whether an answer that was returned should be rated afterwards."""
        if self._rng.random() >= self.settings.sample_share:
            return False
        return self.budget.take(now)

    def take_evidence(self) -> Evidence:
        """Ratings since the last call, to be sent to the other entries."""
        return self._collector.take()

    def merge_evidence(self, evidence: Evidence) -> None:
        """Learn from another entry; its own and repeated messages are dropped."""
        if evidence.source == self.settings.source:
            return
        if not self._filter.accept(evidence.source, evidence.sequence):
            return
        for cell in evidence.cells[:MAX_MESSAGE_CELLS]:
            estimate = self.find_estimate(cell.key)
            for score in cell.list_scores():
                estimate.add(score)

    def find_estimate(self, key: CellKey) -> Estimate:
        """Find the estimate of a cell, made with its prior if it is new."""
        return self._find_cell(key, OTHERS_PRIOR)

    def _find_state(self, workspace: WorkspaceId) -> WorkspaceState:
        state = self._workspaces.setdefault(workspace, WorkspaceState())
        self._workspaces.move_to_end(workspace)
        if len(self._workspaces) > MAX_WORKSPACES:
            self._workspaces.popitem(last=False)
        return state

    def _allocate(
        self, workspace: Workspace, state: WorkspaceState, now: Seconds
    ) -> None:
        options = [
            self._list_segment_options(workspace, key, segment)
            for key, segment in state.segments.items()
        ]
        weights = state.list_weights()
        target = workspace.quality_target + self.settings.margin
        options = [drop_poor(listed, target) for listed in options]
        mixes = self._find_mixes(options, weights, target)
        for segment, mix in zip(state.segments.values(), mixes, strict=True):
            segment.mix = mix
        state.planned_at = now

    def _find_mixes(
        self, options: list[list[Option]], weights: list[float], target: float
    ) -> list[Mix]:
        limit = self.budget.share * (1.0 - self.settings.sample_share)
        price = 0.0
        highest = max(option.cost for listed in options for option in listed)
        for _ in range(12):
            hulls = [trace_hull(listed, price) for listed in options]
            mixes = allocate(hulls, weights, target)
            if _count_ratings(mixes, weights) <= limit:
                return mixes
            price = max(2.0 * price, highest / 64.0)
        return mixes

    def _list_segment_options(
        self, workspace: Workspace, key: SegmentKey, segment: Segment
    ) -> list[Option]:
        prospects = [
            self._weigh_candidate(workspace, key.request_class, segment, candidate)
            for candidate in segment.candidates
        ]
        terms = Terms(
            latency_weight=workspace.latency_weight,
            rating_seconds=self.settings.rating_seconds,
            reliability=self.settings.reliability,
            caution=self.settings.caution,
        )
        return list_options(prospects, terms)

    def _weigh_candidate(
        self,
        workspace: Workspace,
        request_class: RequestClass,
        segment: Segment,
        candidate: Candidate,
    ) -> Prospect:
        usage = self._usage.get((request_class, candidate.version), UsageAverage())
        last = candidate is segment.candidates[-1]
        prior = DEAREST_PRIOR if last else OTHERS_PRIOR
        key = CellKey(workspace.key, request_class, candidate.version)
        fresh = self._find_cell(key, prior)
        key = CellKey(workspace.key, request_class, candidate.version, True)
        return Prospect(
            version=candidate.version,
            cost=candidate.price(segment.prompt_tokens, usage.output_tokens),
            first_token_seconds=candidate.first_token_seconds,
            total_seconds=candidate.first_token_seconds + usage.decode_seconds,
            fresh=fresh,
            escalated=self._find_cell(key, fresh.mean),
        )

    def _find_cell(self, key: CellKey, prior: float) -> Estimate:
        estimate = self._cells.get(key)
        if estimate is None:
            estimate = self._cells[key] = Estimate(prior)
            if len(self._cells) > MAX_CELLS:
                self._cells.popitem(last=False)
        self._cells.move_to_end(key)
        return estimate

    def _draw_option(self, segment: Segment) -> Option:
        mix = segment.mix
        if mix is None:
            raise ValueError("segment without an allocation")
        segment.credit += mix.share
        if segment.credit < 1.0:
            return mix.low
        segment.credit -= 1.0
        return mix.high

    def _fit_budget(self, steps: tuple[Step, ...], now: Seconds) -> tuple[Step, ...]:
        fitted = [step for step in steps if not step.rate or self.budget.take(now)]
        return tuple(fitted)

    def _fit_deadline(
        self,
        steps: tuple[Step, ...],
        request_class: RequestClass,
        candidates: Sequence[Candidate],
        left: float,
    ) -> tuple[Step, ...]:
        first = {c.version: c.first_token_seconds for c in candidates}
        if first[steps[-1].version] > left:
            fastest = min(candidates, key=lambda c: c.first_token_seconds)
            return (Step(fastest.version),)
        spare = left - first[steps[-1].version]
        kept: list[Step] = []
        for step in steps[:-1]:
            usage = self._usage.get((request_class, step.version), UsageAverage())
            wait = first[step.version] + usage.decode_seconds
            wait += self.settings.rating_seconds
            if wait <= spare:
                spare -= wait
                kept.append(step)
        return (*kept, steps[-1])


def _count_ratings(mixes: Sequence[Mix], weights: Sequence[float]) -> float:
    return sum(
        weight * (mix.low.ratings + mix.share * (mix.high.ratings - mix.low.ratings))
        for weight, mix in zip(weights, mixes, strict=True)
    )
