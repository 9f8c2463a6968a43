"""Runs the steps of a cascade, and rates and records their answers."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain
from typing import TypeVar

from gevent import spawn

from bergamotwood_core.cascade import CascadePlan, Usage
from bergamotwood_core.errors import (
    BergamotwoodError,
    Code,
    EndpointError,
    RefusedError,
)
from bergamotwood_core.evidence import EstimateKey
from bergamotwood_core.frontier import Step
from bergamotwood_core.ids import VersionId
from bergamotwood_core.outcome import Outcome
from bergamotwood_core.states import Run
from bergamotwood_core.stream import Chunk
from bergamotwood_daemon.answer import VersionAnswer
from bergamotwood_daemon.chatcall import ChatCall, list_candidates
from bergamotwood_daemon.completion import join_text
from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.ratings import RatingClient, RatingRequest

# Refusals that hold for every step of a request.
FINAL_CODES = (Code.CONFIG_STALE, Code.QUARANTINED, Code.DEADLINE_EXCEEDED)


# Times that a request is planned again while tickets withdraw its versions; each
# needs another ticket between planning and dispatch.
MAX_REPLANS = 3

Result = TypeVar("Result")


@dataclass
class StepAnswer:
    """The answer of one step.

    Parameters
    ----------
    answer : VersionAnswer
        The answer of the step's version.
    chunks : iterator of Chunk
        Chunks of the answer, from the first one.
    key : EstimateKey
        Estimate that ratings of the answer update.
    score : float or None
        Rating by which the answer was accepted or rejected; None if not rated yet.
    """

    answer: VersionAnswer
    chunks: Iterator[Chunk]
    key: EstimateKey
    score: float | None = None


class CascadeRunner:
    """Runs cascades at one entry.

    Parameters
    ----------
    entry : Entry
        Shared state of the entry.
    ratings : RatingClient
        Client of the rating service.
    """

    def __init__(self, entry: Entry, ratings: RatingClient) -> None:
        self._entry = entry
        self._ratings = ratings

    def plan(self, call: ChatCall) -> CascadePlan:
        """Choose the steps by the current configuration.

        Raises
        ------
        RefusedError, AuthorizationError
            No version may answer.
        """
        return self._entry.policy.plan(
            call.context.workspace,
            call.request_class,
            list_candidates(self._entry, call),
            call.prompt_tokens,
            self._entry.clock(),
            call.context.deadline,
        )

    def run(self, call: ChatCall, steps: tuple[Step, ...]) -> StepAnswer:
        """Run steps until an answer is accepted.

        If the later steps fail, the last complete answer is returned despite its low
        rating.

        Raises
        ------
        EndpointError, RefusedError, AuthorizationError
            No step gave an answer.
        """
        fallback: StepAnswer | None = None
        failure: BergamotwoodError | None = None
        for number, step in enumerate(steps):
            try:
                step_answer = self._run_step(call, step, number, len(steps))
            except (EndpointError, RefusedError) as error:
                failure = error
                if error.code in FINAL_CODES:
                    break
                continue
            if step_answer.score is None or step_answer.score >= step.threshold:
                return step_answer
            fallback = step_answer
        if fallback is not None:
            return fallback
        raise failure or RefusedError("no version may answer", Code.NO_ENDPOINT)

    def prepare_answer(
        self, call: ChatCall, version: VersionId, number: int = 0
    ) -> StepAnswer:
        """Prepare the answer of one version; nothing is sent yet.

        Parameters
        ----------
        call : ChatCall
            The chat request.
        version : VersionId
            Version that answers.
        number : int
            Position of the step in the cascade, from 0. Answers of later steps have
            quality estimates of their own.

        Raises
        ------
        RefusedError
            The version no longer exists.
        """
        entity = self._entry.tables.configuration.versions.get(version)
        if entity is None:
            raise RefusedError(f"version {version} is gone", Code.VERSION_WITHDRAWN)
        answer = VersionAnswer(self._entry, call.context, entity, call.document)
        key = EstimateKey(
            call.context.workspace.key, call.request_class, version, number > 0
        )
        return StepAnswer(answer, answer.stream(), key)

    def record_answer(self, call: ChatCall, returned: StepAnswer) -> None:
        """Update the estimates with an answer that the caller receives in full."""
        answer = returned.answer
        first_token_seconds = answer.first_token_seconds or 0.0
        usage = Usage(
            answer.usage.prompt_tokens,
            answer.usage.completion_tokens,
            first_token_seconds,
            self._entry.clock() - answer.started_at,
        )
        version = answer.version.version_id
        policy = self._entry.policy
        policy.record_answer(call.request_class, version, usage)
        policy.record_returned_answer(
            call.context.workspace, returned.key, returned.score
        )
        self._entry.outcomes.count_outcome(Outcome(version, False, first_token_seconds))

    def count_failure(self, failed: StepAnswer, error: BergamotwoodError) -> None:
        """Count an endpoint's failure in the outcomes of its version."""
        if isinstance(error, EndpointError):
            outcome = Outcome(failed.answer.version.version_id, failed=True)
            self._entry.outcomes.count_outcome(outcome)

    def sample_for_rating(
        self, call: ChatCall, returned: StepAnswer, text: str
    ) -> None:
        """Rate a sample of the returned answers in the background."""
        if self._should_sample(returned):
            spawn(self._rate_returned, call, returned, text)

    def _run_step(
        self, call: ChatCall, step: Step, number: int, count: int
    ) -> StepAnswer:
        """Run one step; an answer to be rated is first read in full."""
        step_answer = self.prepare_answer(call, step.version, number)
        try:
            if number == count - 1 or not step.rate:
                # Waiting for the first chunk lets an early failure set the HTTP status.
                step_answer.chunks = chain(
                    (next(step_answer.chunks),), step_answer.chunks
                )
                return step_answer
            chunks = list(step_answer.chunks)
        except (EndpointError, RefusedError) as error:
            self.count_failure(step_answer, error)
            raise
        step_answer.chunks = iter(chunks)
        # An answer without a rating counts as rejected, so the next step runs.
        step_answer.score = self._rate(call, step_answer, join_text(chunks)) or 0.0
        return step_answer

    def _should_sample(self, returned: StepAnswer) -> bool:
        """Whether to rate a returned answer; candidates of roll-outs take priority."""
        policy = self._entry.policy
        now = self._entry.clock()
        if returned.score is not None:
            return policy.should_sample(returned.key, now, rated=True)
        if self._entry.outcomes.is_candidate(returned.answer.version.version_id):
            return policy.budget.take(now)
        return policy.should_sample(returned.key, now)

    def _rate_returned(self, call: ChatCall, returned: StepAnswer, text: str) -> None:
        if returned.score is None:
            self._rate(call, returned, text)
            return
        second = self._request_rating(call, returned, text)
        if second is not None:
            # The answer was selected by its first rating, so the second one measures
            # the selection rather than the version.
            self._entry.policy.record_repeated_rating(returned.score, second)

    def _rate(self, call: ChatCall, rated: StepAnswer, text: str) -> float | None:
        score = self._request_rating(call, rated, text)
        if score is None:
            return None
        self._entry.policy.record_rating(rated.key, score, self._entry.clock())
        self._entry.outcomes.count_score(rated.answer.version.version_id, score)
        return score

    def _request_rating(
        self, call: ChatCall, rated: StepAnswer, text: str
    ) -> float | None:
        request = RatingRequest(
            call.context.id,
            call.context.workspace.name,
            call.request_class,
            rated.answer.version.id,
            text,
        )
        score = self._ratings.rate(request)
        if score is None:
            self._entry.policy.record_refusal(self._entry.clock())
        return score


def run_planned(
    plan: CascadePlan,
    replan: Callable[[], CascadePlan],
    action: Callable[[CascadePlan], Result],
) -> Result:
    """Run an action with a plan; plan again if a ticket has withdrawn its version.

    Parameters
    ----------
    plan : CascadePlan
        First plan.
    replan : callable
        Returns a plan by the current configuration.
    action : callable
        Runs the request with a plan.

    Raises
    ------
    RefusedError
        The versions of `MAX_REPLANS` further plans were withdrawn as well, or the
        request may have run.
    """
    for _ in range(MAX_REPLANS):
        try:
            return action(plan)
        except RefusedError as error:
            is_withdrawn = error.code is Code.VERSION_WITHDRAWN
            if not is_withdrawn or error.run is not Run.NOT_RUN:
                raise
        plan = replan()
    return action(plan)
