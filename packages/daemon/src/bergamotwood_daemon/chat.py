"""`POST /v1/chat/completions`: from a caller's request to its whole answer."""

from collections.abc import Generator, Iterator
from itertools import chain

from gevent import spawn

from bergamotwood_core.cascade import Plan, Usage
from bergamotwood_core.configuration import Version
from bergamotwood_core.errors import (
    BergamotwoodError,
    Code,
    EndpointError,
    RefusedError,
    RequestError,
)
from bergamotwood_core.evidence import CellKey
from bergamotwood_core.frontier import Step
from bergamotwood_core.ids import VersionId
from bergamotwood_core.ledger import StoredAnswer
from bergamotwood_core.outcome import Outcome
from bergamotwood_core.session import make_session
from bergamotwood_core.stream import Chunk
from bergamotwood_core.tables import InFlight
from bergamotwood_daemon.admittance import Admittance
from bergamotwood_daemon.answer import VersionAnswer
from bergamotwood_daemon.authorization import find_workspace
from bergamotwood_daemon.billing import commit_bill, make_bill
from bergamotwood_daemon.chatcall import ChatCall, list_candidates, read_chat_call
from bergamotwood_daemon.claims import KeyedRequest, Ran
from bergamotwood_daemon.completion import (
    DONE_EVENT,
    EventEncoder,
    Receipt,
    encode_completion,
    join_text,
)
from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.log import log_event
from bergamotwood_daemon.ratings import RatingRequest, Ratings
from bergamotwood_daemon.web import (
    EVENT_STREAM,
    JSON,
    ClosingBody,
    Response,
    WebRequest,
    encode_problem,
)


class Chat:
    """Chat requests at one entry.

    Parameters
    ----------
    entry : Entry
        Tables, policies and ways to the leaders.
    admittance : Admittance
        Waiting for a slot.
    ratings : Ratings
        The rating service.
    """

    def __init__(self, entry: Entry, admittance: Admittance, ratings: Ratings) -> None:
        self._entry = entry
        self._admittance = admittance
        self._ratings = ratings

    def answer(self, request: WebRequest) -> Response:
        """Answer a chat request."""
        workspace = find_workspace(request, self._entry.tables.configuration)
        call = read_chat_call(self._entry, request, workspace)
        plan = self._plan(call)
        if not call.work.idempotent and call.key is None:
            raise RequestError(
                "idempotency-key: needed for a non-idempotent request",
                Code.KEY_REQUIRED,
            )
        index = self._entry.watch.applied
        self._enter(call, plan.steps[0].version)
        try:
            if self._entry.watch.applied != index:
                plan = self._plan(call)
        except BaseException:
            self._leave(call)
            raise
        if not call.work.idempotent:
            return self._answer_once(call, plan)
        return self._answer_idempotent(call, plan)

    def _plan(self, call: ChatCall) -> Plan:
        """Choose the steps by the configuration in force now."""
        return self._entry.policy.plan(
            call.work.workspace,
            call.request_class,
            list_candidates(self._entry, call),
            call.prompt_tokens,
            self._entry.clock(),
            call.work.deadline,
        )

    def _answer_idempotent(self, call: ChatCall, plan: Plan) -> Response:
        streaming = False
        try:
            answer, chunks = self._run_steps(call, plan.steps)
            headers = self._make_headers(call, answer)
            if not call.stream:
                body = self._collect(call, answer, chunks)
                return Response(200, JSON, [body], headers)
            events = self._stream(call, answer, chunks)
            body = ClosingBody(events, lambda: self._leave(call))
            streaming = True
            return Response(200, EVENT_STREAM, body, headers)
        finally:
            if not streaming:
                self._leave(call)

    def _run_steps(
        self, call: ChatCall, steps: tuple[Step, ...]
    ) -> tuple[VersionAnswer, Iterator[Chunk]]:
        """Run the cascade until a step's answer is accepted."""
        fallback: tuple[VersionAnswer, Iterator[Chunk]] | None = None
        failure: BergamotwoodError | None = None
        for number, step in enumerate(steps):
            last = number == len(steps) - 1
            answer = self._make_answer(call, step.version)
            try:
                if last or not step.rate:
                    return answer, self._begin(call, answer, number > 0)
                chunks = list(answer.stream())
            except (EndpointError, RefusedError) as error:
                self._note_failure(answer, error)
                failure = error
                if error.code in (Code.CONFIG_STALE, Code.QUARANTINED):
                    break
                continue
            fallback = (answer, iter(chunks))
            if self._is_accepted(call, answer, chunks, step, number > 0):
                return answer, iter(chunks)
        if fallback is not None:
            return fallback
        raise failure or RefusedError("no version may answer", Code.NO_ENDPOINT)

    def _begin(
        self, call: ChatCall, answer: VersionAnswer, escalated: bool
    ) -> Iterator[Chunk]:
        """Wait for the first chunk, so that an early failure has its status."""
        chunks = answer.stream()
        first = next(chunks)
        return self._sample(call, answer, chain((first,), chunks), escalated)

    def _sample(
        self,
        call: ChatCall,
        answer: VersionAnswer,
        chunks: Iterator[Chunk],
        escalated: bool,
    ) -> Iterator[Chunk]:
        """Pass chunks on; have some whole answers rated afterwards."""
        kept: list[Chunk] = []
        for chunk in chunks:
            kept.append(chunk)
            yield chunk
        if self._is_sampled(call, answer, escalated):
            spawn(self._rate, call, answer, kept, escalated)

    def _is_sampled(
        self, call: ChatCall, answer: VersionAnswer, escalated: bool
    ) -> bool:
        """Whether to rate a returned answer; those of a roll-out come first."""
        policy = self._entry.policy
        now = self._entry.clock()
        if self._entry.outcomes.is_candidate(answer.version.version_id):
            return policy.budget.take(now)
        return policy.should_sample(self._make_cell(call, answer, escalated), now)

    def _is_accepted(
        self,
        call: ChatCall,
        answer: VersionAnswer,
        chunks: list[Chunk],
        step: Step,
        escalated: bool,
    ) -> bool:
        score = self._rate(call, answer, chunks, escalated)
        return score is not None and score >= step.threshold

    def _rate(
        self,
        call: ChatCall,
        answer: VersionAnswer,
        chunks: list[Chunk],
        escalated: bool,
    ) -> float | None:
        policy = self._entry.policy
        score = self._ratings.rate(
            RatingRequest(
                call.work.id,
                call.work.workspace.name,
                call.request_class,
                answer.version.id,
                join_text(chunks),
            )
        )
        now = self._entry.clock()
        if score is None:
            policy.record_refusal(now)
            return None
        policy.record_rating(self._make_cell(call, answer, escalated), score, now)
        self._entry.outcomes.count_score(answer.version.version_id, score)
        return score

    def _stream(
        self, call: ChatCall, answer: VersionAnswer, chunks: Iterator[Chunk]
    ) -> Generator[bytes, None, None]:
        """Encode events; the end marker follows the committed bill."""
        encoder = EventEncoder(call.work.id, answer.version.id)
        held: Chunk | None = None
        try:
            for chunk in chunks:
                if held is not None:
                    yield encoder.encode(held)
                held = chunk
            receipt = self._bill(call, answer)
            yield encoder.encode_last(held, answer.usage, receipt)
            yield DONE_EVENT
        except BergamotwoodError as error:
            self._note_failure(answer, error)
            log_event("chat", "Answer not whole.", request=call.work.id)
            problem = encode_problem(error, call.work.id)
            yield b'data: {"error":%b}\n\n' % problem

    def _collect(
        self, call: ChatCall, answer: VersionAnswer, chunks: Iterator[Chunk]
    ) -> bytes:
        try:
            whole = list(chunks)
        except BergamotwoodError as error:
            self._note_failure(answer, error)
            raise
        receipt = self._bill(call, answer)
        return encode_completion(call.work.id, whole, answer.usage, receipt)

    def _answer_once(self, call: ChatCall, plan: Plan) -> Response:
        """Run a non-idempotent request on one version, at most once."""
        answer = self._make_answer(call, plan.steps[-1].version)
        keyed = KeyedRequest(
            call.work.workspace.key, call.key, call.digest, call.work.id
        )

        acting = False

        def act() -> Ran:
            nonlocal acting
            acting = True
            try:
                chunks = list(answer.stream())
            finally:
                self._leave(call)
            receipt = self._make_receipt(call, answer)
            body = encode_completion(call.work.id, chunks, answer.usage, receipt)
            bill = make_bill(call.work, call.key, call.digest)
            return Ran(StoredAnswer(200, JSON, body), bill)

        try:
            stored = self._entry.claims.run_once(
                keyed, act, self._entry.settings.timeouts.request
            )
        finally:
            # A run may go on after its caller was answered; it leaves by itself.
            if not acting:
                self._leave(call)
        return Response(stored.status, stored.content_type, [stored.body])

    def _bill(self, call: ChatCall, answer: VersionAnswer) -> Receipt:
        self._learn(call, answer)
        bill = make_bill(call.work, call.key, call.digest)
        commit_bill(self._entry, bill, call.work.trace)
        return self._make_receipt(call, answer)

    def _make_receipt(self, call: ChatCall, answer: VersionAnswer) -> Receipt:
        return Receipt(
            version=answer.version.id,
            cost=sum(attempt.cost for attempt in call.work.attempts),
            session=self._find_session(call, answer),
        )

    def _make_headers(
        self, call: ChatCall, answer: VersionAnswer
    ) -> tuple[tuple[str, str], ...]:
        return (
            ("Bergamotwood-Request", call.work.id),
            ("Bergamotwood-Version", answer.version.id),
            ("Bergamotwood-Session", self._find_session(call, answer)),
        )

    def _find_session(self, call: ChatCall, answer: VersionAnswer) -> str:
        if call.work.session is None:
            call.work.session = make_session(
                answer.version.version_id, self._entry.secret, self._entry.rng
            )
        return call.work.session

    def _learn(self, call: ChatCall, answer: VersionAnswer) -> None:
        first = answer.first_token_seconds or 0.0
        usage = Usage(
            answer.usage.prompt_tokens,
            answer.usage.completion_tokens,
            first,
            self._entry.clock() - answer.started_at,
        )
        version = answer.version.version_id
        self._entry.policy.record_answer(call.request_class, version, usage)
        self._entry.outcomes.count_outcome(Outcome(version, False, first))

    def _note_failure(self, answer: VersionAnswer, error: BergamotwoodError) -> None:
        if isinstance(error, EndpointError):
            outcome = Outcome(answer.version.version_id, failed=True)
            self._entry.outcomes.count_outcome(outcome)

    def _make_answer(self, call: ChatCall, id: VersionId) -> VersionAnswer:
        version: Version = self._entry.tables.configuration.versions[id]
        return VersionAnswer(self._entry, call.work, version, call.document)

    def _make_cell(
        self, call: ChatCall, answer: VersionAnswer, escalated: bool
    ) -> CellKey:
        return CellKey(
            call.work.workspace.key,
            call.request_class,
            answer.version.version_id,
            escalated,
        )

    def _enter(self, call: ChatCall, version: VersionId) -> None:
        work = call.work
        work.trace.annotate(request=work.id, workspace=work.workspace.name)
        self._entry.claims.check_room()
        self._entry.retries.record_offered()
        self._admittance.enter(work, version)
        self._entry.tables.in_flight[work.id] = InFlight(
            work.id, work.workspace.key, self._entry.clock(), work.fingerprint
        )

    def _leave(self, call: ChatCall) -> None:
        self._entry.tables.in_flight.pop(call.work.id, None)
        self._admittance.leave(call.work.id)
        call.work.trace.end()
