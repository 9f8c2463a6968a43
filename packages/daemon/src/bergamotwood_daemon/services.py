"""Handles `ANY /v1/services/{service}/{path}`, for plain services behind the router."""

from dataclasses import dataclass
from urllib.parse import quote

from gevent import GreenletExit

from bergamotwood_core.configuration import Service
from bergamotwood_core.errors import (
    AuthorizationError,
    Code,
    EndpointError,
    RequestError,
)
from bergamotwood_core.ids import IdempotencyKey, ServiceName
from bergamotwood_core.ledger import Attempt, StoredAnswer
from bergamotwood_core.states import Run
from bergamotwood_core.target import ServiceTarget
from bergamotwood_daemon.admissiongate import AdmissionGate
from bergamotwood_daemon.attempts import (
    OpenAttempt,
    OutgoingRequest,
    allow_retry,
    handle_failure,
    open_attempt,
)
from bergamotwood_daemon.authorization import find_workspace
from bergamotwood_daemon.billing import commit_bill, make_bill
from bergamotwood_daemon.chatcall import (
    digest_request,
    make_context,
    read_idempotency_key,
)
from bergamotwood_daemon.claims import CompletedRun, KeyedRequest
from bergamotwood_daemon.endpointcall import Header
from bergamotwood_daemon.entry import Entry, RequestContext
from bergamotwood_daemon.hedging import run_hedged
from bergamotwood_daemon.web import Response, WebRequest

# Methods that RFC 9110 defines as safe.
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
# Characters that RFC 3986 allows unescaped in a path.
PATH_CHARACTERS = "/:@!$&'()*+,;=-._~"
FORWARDED_HEADERS = ("content-type", "accept", "accept-language")


@dataclass(frozen=True)
class ServiceCall:
    """A validated request for a plain service.

    Parameters
    ----------
    context : RequestContext
        State of the request at the entry.
    service : Service
        The requested service.
    outgoing : OutgoingRequest
        Request to send to the endpoint.
    key : IdempotencyKey or None
        Idempotency key of the caller.
    digest : str
        Digest that detects a different request with the same key.
    """

    context: RequestContext
    service: Service
    outgoing: OutgoingRequest
    key: IdempotencyKey | None
    digest: str


class ServiceHandler:
    """Answers the requests for plain services at one entry.

    Parameters
    ----------
    entry : Entry
        Shared state of the entry.
    admission_gate : AdmissionGate
        Makes requests wait for a slot.
    """

    def __init__(self, entry: Entry, admission_gate: AdmissionGate) -> None:
        self._entry = entry
        self._admission_gate = admission_gate

    def answer(self, request: WebRequest, name: str, path: str) -> Response:
        """Answer a request for a plain service."""
        call = self._read_call(request, name, path)
        if not call.context.idempotent and call.key is None:
            raise RequestError(
                "idempotency-key: needed for a non-idempotent request",
                Code.KEY_REQUIRED,
            )
        self._admission_gate.acquire(call.context, call.service.name)
        if call.context.idempotent:
            try:
                answer = self._answer_idempotent(call)
            finally:
                self._admission_gate.release(call.context)
        else:
            answer = self._answer_once(call)
        headers = (("Bergamotwood-Request", call.context.id),)
        return Response(answer.status, answer.content_type, [answer.body], headers)

    def _read_call(self, request: WebRequest, name: str, path: str) -> ServiceCall:
        tables = self._entry.tables.configuration
        workspace = find_workspace(request, tables)
        service = tables.services.get(ServiceName(name))
        if service is None:
            raise RequestError(f"service: {name!r:.80} unknown", Code.UNKNOWN_SERVICE)
        if name not in workspace.services:
            raise AuthorizationError(
                f"workspace {workspace.name} may not use service {name}",
                Code.FORBIDDEN,
            )
        context = make_context(self._entry, request, workspace)
        is_idempotent = (
            request.method in SAFE_METHODS or path in service.idempotent_paths
        )
        context.idempotent = context.idempotent and is_idempotent
        return ServiceCall(
            context=context,
            service=service,
            outgoing=self._make_outgoing(request, context, path),
            key=read_idempotency_key(request),
            digest=digest_request(request),
        )

    def _make_outgoing(
        self, request: WebRequest, context: RequestContext, path: str
    ) -> OutgoingRequest:
        headers = [
            Header(name, value)
            for name in FORWARDED_HEADERS
            if (value := _read_forwarded_header(request, name))
        ]
        headers.append(Header("X-Request-Id", context.id))
        key = read_idempotency_key(request)
        if key is not None:
            headers.append(Header("Idempotency-Key", key))
        query = request.environ.get("QUERY_STRING", "")
        # The WSGI server has decoded the path, so it may hold any character.
        quoted = "/" + quote(path.encode("latin-1"), safe=PATH_CHARACTERS)
        target = f"{quoted}?{query}" if query else quoted
        timeouts = self._entry.settings.timeouts
        wait = timeouts.call if context.idempotent else timeouts.late
        return OutgoingRequest(
            request.method, target, tuple(headers), request.read_body(), wait
        )

    def _answer_idempotent(self, call: ServiceCall) -> StoredAnswer:
        attempts = 0
        while True:
            attempts += 1
            try:
                answer = run_hedged(
                    lambda: self._attempt(call),
                    self._entry.hedge_budget,
                    self._entry.clock,
                )
                break
            except EndpointError as error:
                if error.run is Run.RAN:
                    raise
                if not allow_retry(self._entry, call.context, attempts):
                    raise
        bill = make_bill(call.context, call.key, call.digest)
        commit_bill(self._entry, bill, call.context.trace)
        return answer

    def _answer_once(self, call: ServiceCall) -> StoredAnswer:
        keyed_request = KeyedRequest(
            call.context.workspace.key, call.key, call.digest, call.context.id
        )

        dispatched = False

        def dispatch() -> CompletedRun:
            nonlocal dispatched
            dispatched = True
            try:
                answer = self._attempt(call)
            finally:
                self._admission_gate.release(call.context)
            return CompletedRun(answer, make_bill(call.context, call.key, call.digest))

        timeouts = self._entry.settings.timeouts
        try:
            return self._entry.claims.run_once(keyed_request, dispatch, timeouts.call)
        finally:
            # A dispatched run may outlast its caller; it releases its slot itself.
            if not dispatched:
                self._admission_gate.release(call.context)

    def _attempt(self, call: ServiceCall) -> StoredAnswer:
        """Run one attempt and read its whole answer."""
        target = ServiceTarget(ServiceName(call.service.name))
        attempt = open_attempt(self._entry, call.context, target, call.outgoing)
        settings = self._entry.settings
        try:
            body = attempt.call.read_all(
                call.outgoing.wait_seconds, settings.limits.answer_bytes
            )
        except EndpointError as error:
            reset = error.code is Code.STREAM_BROKEN
            handle_failure(self._entry, call.context, attempt, reset)
            raise
        except GreenletExit:
            attempt.cancel()
            raise
        return self._finish_attempt(call, attempt, body)

    def _finish_attempt(
        self, call: ServiceCall, attempt: OpenAttempt, body: bytes
    ) -> StoredAnswer:
        status = attempt.call.status
        attempt.mark_first_token()
        attempt.succeed()
        call.context.attempts.append(
            Attempt(
                call.service.name,
                attempt.endpoint_id,
                0,
                0,
                call.service.price,
                str(status),
            )
        )
        return StoredAnswer(status, attempt.call.content_type, body)


def _read_forwarded_header(request: WebRequest, name: str) -> str | None:
    if name == "content-type":
        return request.environ.get("CONTENT_TYPE")
    return request.read_header(name)
