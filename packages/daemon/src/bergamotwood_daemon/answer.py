"""The answer of one version, streamed over one or more attempts."""

from collections.abc import Iterator

from msgspec import MsgspecError, Raw, Struct, field, json

from bergamotwood_core.configuration import Version
from bergamotwood_core.errors import (
    BergamotwoodError,
    Code,
    EndpointError,
    RefusedError,
)
from bergamotwood_core.ids import RequestId
from bergamotwood_core.ledger import Attempt
from bergamotwood_core.states import Run
from bergamotwood_core.stream import Chunk, StreamAssembler, Usage
from bergamotwood_core.target import VersionTarget
from bergamotwood_daemon.attempts import (
    OpenAttempt,
    OutgoingRequest,
    allow_retry,
    handle_failure,
    open_attempt,
)
from bergamotwood_daemon.endpointcall import Header
from bergamotwood_daemon.entry import Entry, RequestContext

CHAT_PATH = "/v1/chat/completions"
DONE = b"[DONE]"
# Prices of versions are per 1,000 tokens.
TOKENS_PER_PRICE = 1_000.0
MAX_ERROR_BYTES = 4_096


class _Delta(Struct):
    content: str | None = None


class _Choice(Struct):
    delta: Raw = field(default_factory=lambda: Raw(b"{}"))
    finish_reason: str | None = None


class _Event(Struct):
    id: str
    index: int
    choices: list[_Choice] = field(default_factory=list)
    usage: Usage | None = None


_EVENTS = json.Decoder(_Event)
_DELTAS = json.Decoder(_Delta)


class VersionAnswer:
    """One version's answer to a chat request.

    Parameters
    ----------
    entry : Entry
        The entry that received the request.
    context : RequestContext
        State of the request at the entry.
    version : Version
        The version that answers.
    document : dict
        The caller's JSON document.

    Attributes
    ----------
    first_token_seconds : float or None
        Time from `started_at` to the first token; None before the first token.
    started_at : Seconds
        Time at which the answer was prepared.
    """

    def __init__(
        self, entry: Entry, context: RequestContext, version: Version, document: dict
    ):
        self.version = version
        self.first_token_seconds: float | None = None
        self.started_at = entry.clock()
        self._entry = entry
        self._context = context
        self._document = document
        self._assembler = StreamAssembler(context.id)
        self._target = VersionTarget(version.version_id)

    @property
    def usage(self) -> Usage:
        """Tokens used; zero until the end of the answer."""
        return self._assembler.usage or Usage()

    @property
    def cost(self) -> float:
        """Cost of the complete answer, in cost units."""
        usage = self.usage
        prompt = usage.prompt_tokens * self.version.input_price
        output = usage.completion_tokens * self.version.output_price
        return (prompt + output) / TOKENS_PER_PRICE

    def stream(self) -> Iterator[Chunk]:
        """Yield the chunks in order; return only when the answer is complete.

        Raises
        ------
        EndpointError, RefusedError, AuthorizationError
            The answer is incomplete.
        """
        attempts = 0
        self._entry.outcomes.count_start(self.version.version_id)
        while True:
            attempts += 1
            try:
                yield from self._stream_attempt()
                return
            except EndpointError as error:
                if not allow_retry(self._entry, self._context, attempts):
                    raise
                if error.run is not Run.NOT_RUN:
                    self._assembler.resume()

    def _stream_attempt(self) -> Iterator[Chunk]:
        attempt = self._open()
        try:
            yield from self._read(attempt)
        except EndpointError as error:
            self._record_attempt(attempt, "failed")
            handle_failure(
                self._entry, self._context, attempt, error.code is Code.STREAM_BROKEN
            )
            raise
        except GeneratorExit:
            attempt.cancel()
            raise
        finally:
            attempt.cancel()

    def _open(self) -> OpenAttempt:
        try:
            return open_attempt(
                self._entry, self._context, self._target, self._make_outgoing()
            )
        except RefusedError as error:
            raise self._mark_partly_run(error) from error

    def _mark_partly_run(self, error: RefusedError) -> BergamotwoodError:
        """Mark a refusal MAY_HAVE_RUN if an earlier attempt was dispatched."""
        if not self._context.attempts:
            return error
        return RefusedError(error.detail, error.code, Run.MAY_HAVE_RUN)

    def _read(self, attempt: OpenAttempt) -> Iterator[Chunk]:
        self._check_status(attempt)
        timeouts = self._entry.settings.timeouts
        events = attempt.call.read_events(timeouts.first_chunk, timeouts.next_chunk)
        end_marker_seen = False
        for event in events:
            if event == DONE:
                end_marker_seen = True
                break
            if self._entry.clock() >= self._context.deadline:
                raise EndpointError(
                    "the deadline passed before the end",
                    Code.DEADLINE_EXCEEDED,
                )
            for chunk in self._assembler.accept(_decode_chunk(event)):
                self._mark_first_token(attempt)
                yield chunk
        self._assembler.finish(end_marker_seen)
        self._record_attempt(attempt, "answered")
        attempt.succeed()

    def _check_status(self, attempt: OpenAttempt) -> None:
        status = attempt.call.status
        if status == 200:
            return
        wait = self._entry.settings.timeouts.next_chunk
        body = attempt.call.read_all(wait, MAX_ERROR_BYTES)
        run = Run.NOT_RUN if 400 <= status < 500 else Run.MAY_HAVE_RUN
        raise EndpointError(
            f"{attempt.endpoint_id} answered {status}: {body.decode(errors='replace')}",
            run=run,
        )

    def _mark_first_token(self, attempt: OpenAttempt) -> None:
        attempt.mark_first_token()
        if self.first_token_seconds is None:
            self.first_token_seconds = self._entry.clock() - self.started_at

    def _record_attempt(self, attempt: OpenAttempt, outcome: str) -> None:
        is_complete = outcome == "answered"
        usage = self.usage if is_complete else Usage(0, self._assembler.tokens)
        self._context.attempts.append(
            Attempt(
                self.version.id,
                attempt.endpoint_id,
                usage.prompt_tokens,
                usage.completion_tokens,
                self.cost if is_complete else 0.0,
                outcome,
            )
        )

    def _make_outgoing(self) -> OutgoingRequest:
        document = dict(self._document)
        document["model"] = self.version.id
        document["stream"] = True
        document["priority"] = int(self._context.priority)
        headers = (
            Header("Content-Type", "application/json"),
            Header("X-Request-Id", self._context.id),
            Header("Bergamotwood-Version", self.version.id),
            Header("Bergamotwood-Resume-From", str(self._assembler.next_index)),
        )
        wait = self._entry.settings.timeouts.first_chunk
        return OutgoingRequest("POST", CHAT_PATH, headers, json.encode(document), wait)


def _decode_chunk(event: bytes) -> Chunk:
    try:
        decoded = _EVENTS.decode(event)
        choice = decoded.choices[0] if decoded.choices else _Choice()
        delta = _DELTAS.decode(choice.delta)
    except (MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise EndpointError(f"not a chunk: {error}", Code.STREAM_BROKEN) from error
    return Chunk(
        RequestId(decoded.id),
        decoded.index,
        delta.content or "",
        choice.finish_reason,
        decoded.usage,
        choice.delta,
    )
