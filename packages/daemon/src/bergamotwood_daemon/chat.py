"""`POST /v1/chat/completions`: from a caller's request to its whole answer."""

from collections.abc import Generator

from bergamotwood_core.cascade import CascadePlan
from bergamotwood_core.errors import (
    BergamotwoodError,
    Code,
    RequestError,
)
from bergamotwood_core.ledger import StoredAnswer
from bergamotwood_core.session import make_session
from bergamotwood_core.stream import Chunk
from bergamotwood_daemon.admittance import Admittance
from bergamotwood_daemon.answer import VersionAnswer
from bergamotwood_daemon.authorization import find_workspace
from bergamotwood_daemon.billing import commit_bill, make_bill
from bergamotwood_daemon.chatcall import ChatCall, read_chat_call
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
from bergamotwood_daemon.ratings import Ratings
from bergamotwood_daemon.steps import StepAnswer, Steps
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
        self._steps = Steps(entry, ratings)

    def answer(self, request: WebRequest) -> Response:
        """Answer a chat request."""
        workspace = find_workspace(request, self._entry.tables.configuration)
        call = read_chat_call(self._entry, request, workspace)
        plan = self._steps.plan(call)
        if not call.work.idempotent and call.key is None:
            raise RequestError(
                "idempotency-key: needed for a non-idempotent request",
                Code.KEY_REQUIRED,
            )
        index = self._entry.watch.applied
        self._admittance.enter(call.work, plan.steps[0].version)
        try:
            if self._entry.watch.applied != index:
                plan = self._steps.plan(call)
        except BaseException:
            self._admittance.leave(call.work)
            raise
        if not call.work.idempotent:
            return self._answer_once(call, plan)
        return self._answer_idempotent(call, plan)

    def _answer_idempotent(self, call: ChatCall, plan: CascadePlan) -> Response:
        streaming = False
        try:
            found = self._steps.run(call, plan.steps)
            headers = self._make_headers(call, found.answer)
            if not call.stream:
                body = self._collect(call, found)
                return Response(200, JSON, [body], headers)
            events = self._stream(call, found)
            body = ClosingBody(events, lambda: self._admittance.leave(call.work))
            streaming = True
            return Response(200, EVENT_STREAM, body, headers)
        finally:
            if not streaming:
                self._admittance.leave(call.work)

    def _stream(
        self, call: ChatCall, found: StepAnswer
    ) -> Generator[bytes, None, None]:
        """Encode events; the end marker follows the committed bill."""
        answer = found.answer
        encoder = EventEncoder(call.work.id, answer.version.id)
        sent: list[Chunk] = []
        try:
            for chunk in found.chunks:
                if sent:
                    yield encoder.encode(sent[-1])
                sent.append(chunk)
            receipt = self._bill(call, found)
            yield encoder.encode_last(sent[-1], answer.usage, receipt)
            yield DONE_EVENT
        except BergamotwoodError as error:
            self._steps.note_failure(found, error)
            log_event("chat", "Answer not whole.", request=call.work.id)
            problem = encode_problem(error, call.work.id)
            yield b'data: {"error":%b}\n\n' % problem
            return
        self._steps.sample(call, found, join_text(sent))

    def _collect(self, call: ChatCall, found: StepAnswer) -> bytes:
        try:
            whole = list(found.chunks)
        except BergamotwoodError as error:
            self._steps.note_failure(found, error)
            raise
        receipt = self._bill(call, found)
        self._steps.sample(call, found, join_text(whole))
        return encode_completion(call.work.id, whole, found.answer.usage, receipt)

    def _answer_once(self, call: ChatCall, plan: CascadePlan) -> Response:
        """Run a non-idempotent request on one version, at most once."""
        keyed = KeyedRequest(
            call.work.workspace.key, call.key, call.digest, call.work.id
        )
        acting = False

        def act() -> Ran:
            nonlocal acting
            acting = True
            try:
                found = self._steps.open(call, plan.steps[-1].version)
                chunks = list(found.chunks)
            finally:
                self._admittance.leave(call.work)
            usage = found.answer.usage
            receipt = self._make_receipt(call, found.answer)
            body = encode_completion(call.work.id, chunks, usage, receipt)
            bill = make_bill(call.work, call.key, call.digest)
            return Ran(StoredAnswer(200, JSON, body), bill)

        try:
            stored = self._entry.claims.run_once(
                keyed, act, self._entry.settings.timeouts.request
            )
        finally:
            # A run may go on after its caller was answered; it leaves by itself.
            if not acting:
                self._admittance.leave(call.work)
        return Response(stored.status, stored.content_type, [stored.body])

    def _bill(self, call: ChatCall, found: StepAnswer) -> Receipt:
        self._steps.learn(call, found)
        bill = make_bill(call.work, call.key, call.digest)
        commit_bill(self._entry, bill, call.work.trace)
        return self._make_receipt(call, found.answer)

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
