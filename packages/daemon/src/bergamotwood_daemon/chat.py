"""Handles `POST /v1/chat/completions`, from the request to the end of the answer."""

from collections.abc import Generator

from bergamotwood_core.cascade import CascadePlan
from bergamotwood_core.errors import (
    BergamotwoodError,
    Code,
    RequestError,
)
from bergamotwood_core.ids import VersionId
from bergamotwood_core.ledger import StoredAnswer
from bergamotwood_core.session import make_session
from bergamotwood_core.stream import Chunk
from bergamotwood_daemon.admissiongate import AdmissionGate
from bergamotwood_daemon.answer import VersionAnswer
from bergamotwood_daemon.authorization import find_workspace
from bergamotwood_daemon.billing import commit_bill, make_bill
from bergamotwood_daemon.cascaderunner import CascadeRunner, StepAnswer, run_planned
from bergamotwood_daemon.chatcall import ChatCall, read_chat_call
from bergamotwood_daemon.claims import CompletedRun, KeyedRequest
from bergamotwood_daemon.completion import (
    DONE_EVENT,
    EventEncoder,
    Receipt,
    encode_completion,
    join_text,
)
from bergamotwood_daemon.entry import Entry
from bergamotwood_daemon.log import log_event
from bergamotwood_daemon.ratings import RatingClient
from bergamotwood_daemon.web import (
    EVENT_STREAM,
    JSON,
    ClosingBody,
    Response,
    WebRequest,
    encode_problem,
)


class ChatHandler:
    """Answers the chat requests of one entry.

    Parameters
    ----------
    entry : Entry
        Shared state of the entry.
    admission_gate : AdmissionGate
        Makes requests wait for a slot.
    ratings : RatingClient
        Client of the rating service.
    """

    def __init__(
        self, entry: Entry, admission_gate: AdmissionGate, ratings: RatingClient
    ) -> None:
        self._entry = entry
        self._admission_gate = admission_gate
        self._cascade_runner = CascadeRunner(entry, ratings)

    def answer(self, request: WebRequest) -> Response:
        """Answer a chat request."""
        workspace = find_workspace(request, self._entry.tables.configuration)
        call = read_chat_call(self._entry, request, workspace)
        plan = self._cascade_runner.plan(call)
        if not call.context.idempotent and call.key is None:
            raise RequestError(
                "idempotency-key: needed for a non-idempotent request",
                Code.KEY_REQUIRED,
            )
        index = self._entry.watch.applied
        self._admission_gate.acquire(call.context, plan.steps[0].version)
        try:
            # The configuration may have changed while the request waited.
            if self._entry.watch.applied != index:
                plan = self._cascade_runner.plan(call)
        except BaseException:
            self._admission_gate.release(call.context)
            raise
        if not call.context.idempotent:
            return self._answer_once(call, plan)
        return self._answer_idempotent(call, plan)

    def _answer_idempotent(self, call: ChatCall, plan: CascadePlan) -> Response:
        streaming = False
        try:
            step_answer = run_planned(
                plan,
                lambda: self._cascade_runner.plan(call),
                lambda current: self._cascade_runner.run(call, current.steps),
            )
            headers = self._make_headers(call, step_answer.answer)
            if not call.stream:
                body = self._collect(call, step_answer)
                return Response(200, JSON, [body], headers)
            events = self._stream(call, step_answer)
            body = ClosingBody(
                events, lambda: self._admission_gate.release(call.context)
            )
            streaming = True
            return Response(200, EVENT_STREAM, body, headers)
        finally:
            if not streaming:
                self._admission_gate.release(call.context)

    def _stream(
        self, call: ChatCall, step_answer: StepAnswer
    ) -> Generator[bytes, None, None]:
        """Encode events; the end marker is sent after the bill is committed."""
        answer = step_answer.answer
        encoder = EventEncoder(call.context.id, answer.version.id)
        sent: list[Chunk] = []
        try:
            for chunk in step_answer.chunks:
                if sent:
                    yield encoder.encode(sent[-1])
                sent.append(chunk)
            receipt = self._commit_bill(call, step_answer)
            yield encoder.encode_last(sent[-1], answer.usage, receipt)
            yield DONE_EVENT
        except BergamotwoodError as error:
            self._cascade_runner.count_failure(step_answer, error)
            log_event("chat", "Answer ended with an error.", request=call.context.id)
            problem = encode_problem(error, call.context.id)
            yield b'data: {"error":%b}\n\n' % problem
            return
        self._cascade_runner.sample_for_rating(call, step_answer, join_text(sent))

    def _collect(self, call: ChatCall, step_answer: StepAnswer) -> bytes:
        try:
            chunks = list(step_answer.chunks)
        except BergamotwoodError as error:
            self._cascade_runner.count_failure(step_answer, error)
            raise
        receipt = self._commit_bill(call, step_answer)
        self._cascade_runner.sample_for_rating(call, step_answer, join_text(chunks))
        return encode_completion(
            call.context.id, chunks, step_answer.answer.usage, receipt
        )

    def _answer_once(self, call: ChatCall, plan: CascadePlan) -> Response:
        """Run a non-idempotent request on one version, at most once."""
        keyed_request = KeyedRequest(
            call.context.workspace.key, call.key, call.digest, call.context.id
        )
        dispatched = False

        def dispatch() -> CompletedRun:
            nonlocal dispatched
            dispatched = True
            try:
                step_answer, chunks = run_planned(
                    plan,
                    lambda: self._cascade_runner.plan(call),
                    lambda current: self._run_version(call, current.steps[-1].version),
                )
            finally:
                self._admission_gate.release(call.context)
            usage = step_answer.answer.usage
            receipt = self._make_receipt(call, step_answer.answer)
            body = encode_completion(call.context.id, chunks, usage, receipt)
            bill = make_bill(call.context, call.key, call.digest)
            return CompletedRun(StoredAnswer(200, JSON, body), bill)

        try:
            stored = self._entry.claims.run_once(
                keyed_request, dispatch, self._entry.settings.timeouts.request
            )
        finally:
            # A dispatched run may outlast its caller; it releases its slot itself.
            if not dispatched:
                self._admission_gate.release(call.context)
        return Response(stored.status, stored.content_type, [stored.body])

    def _run_version(
        self, call: ChatCall, version: VersionId
    ) -> tuple[StepAnswer, list[Chunk]]:
        step_answer = self._cascade_runner.prepare_answer(call, version)
        return step_answer, list(step_answer.chunks)

    def _commit_bill(self, call: ChatCall, step_answer: StepAnswer) -> Receipt:
        self._cascade_runner.record_answer(call, step_answer)
        bill = make_bill(call.context, call.key, call.digest)
        commit_bill(self._entry, bill, call.context.trace)
        return self._make_receipt(call, step_answer.answer)

    def _make_receipt(self, call: ChatCall, answer: VersionAnswer) -> Receipt:
        return Receipt(
            version=answer.version.id,
            cost=sum(attempt.cost for attempt in call.context.attempts),
            session=self._ensure_session(call, answer),
        )

    def _make_headers(
        self, call: ChatCall, answer: VersionAnswer
    ) -> tuple[tuple[str, str], ...]:
        return (
            ("Bergamotwood-Request", call.context.id),
            ("Bergamotwood-Version", answer.version.id),
            ("Bergamotwood-Session", self._ensure_session(call, answer)),
        )

    def _ensure_session(self, call: ChatCall, answer: VersionAnswer) -> str:
        if call.context.session is None:
            call.context.session = make_session(
                answer.version.version_id, self._entry.secret, self._entry.rng
            )
        return call.context.session
