"""Fake model engine: `python -m bergamotwood_fakes.engine`."""

from collections.abc import Iterator
from os import _exit
from pathlib import Path
from random import Random

from click import command, option
from gevent import sleep
from msgspec import DecodeError, Struct, ValidationError, json

from bergamotwood_core.ids import EndpointId
from bergamotwood_core.messages import Address, Announcement
from bergamotwood_core.states import EndpointKind, EndpointState
from bergamotwood_fakes.announcer import Announcer, make_incarnation
from bergamotwood_fakes.answer import compute_quality, join_prompt, make_answer
from bergamotwood_fakes.batch import Batch, PrefixCache, Speed
from bergamotwood_fakes.fault import Faults
from bergamotwood_fakes.loader import Loader, Order
from bergamotwood_fakes.option import ADDRESS, add_endpoint_options
from bergamotwood_fakes.process import run_endpoint
from bergamotwood_fakes.record import Record, find_unfinished, read_records
from bergamotwood_fakes.recorder import Identity, Recorder
from bergamotwood_fakes.web import (
    Environ,
    Response,
    StartResponse,
    check_bearer,
    close_connection,
    make_error_response,
    make_json_response,
    make_server,
    read_body,
    read_header,
)

CRASH_EXIT_CODE = 13
FAULT_POLL_SECONDS = 0.1
DEFAULT_QUALITY = 0.9


class Chat(Struct):
    """Fields of a chat request that the engine reads."""

    messages: list[dict]
    model: str = ""
    max_tokens: int | None = None
    priority: int = 0


class BrokenStreamError(Exception):
    """Injected fault that closes the connection in the middle of a stream."""


class Engine:
    """A model engine that answers in the format of the OpenAI chat API.

    Parameters
    ----------
    batch : Batch
        Batch slots and decode times.
    cache : PrefixCache
        Prefix cache.
    loader : Loader
        Loaded versions.
    recorder : Recorder
        Records the runs.
    qualities : dict of str to float
        Mean quality by version.
    order_key : str
        Key required in orders; empty for none.
    poison : str
        Text that crashes the process when a prompt contains it; empty for none.
    """

    def __init__(
        self,
        batch: Batch,
        cache: PrefixCache,
        loader: Loader,
        recorder: Recorder,
        qualities: dict[str, float],
        order_key: str,
        poison: str,
    ) -> None:
        self._batch = batch
        self._cache = cache
        self._loader = loader
        self._recorder = recorder
        self._qualities = qualities
        self._order_key = order_key
        self._poison = poison
        self._faults = Faults()
        self._random = Random(0)

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return self._batch.load

    def handle_request(self, environ: Environ, start_response: StartResponse):  # noqa: ANN201
        """Handle one HTTP request (a WSGI application)."""
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "POST", "/v1/chat/completions":
                return self._handle_chat(environ, start_response)
            case "POST", "/v1/orders":
                return self._handle_order(environ).send(start_response)
            case "POST", "/fault":
                return self._set_faults(environ).send(start_response)
            case _:
                return make_error_response(404, "no such path").send(start_response)

    def _set_faults(self, environ: Environ) -> Response:
        """Replace the injected faults."""
        try:
            self._faults = json.decode(read_body(environ), type=Faults)
        except (DecodeError, ValidationError) as error:
            return make_error_response(400, str(error))
        return make_json_response(self._faults)

    def _handle_order(self, environ: Environ) -> Response:
        """Handle an order to load or unload a version."""
        if not check_bearer(environ, self._order_key):
            return make_error_response(401, "wrong key")
        try:
            order = json.decode(read_body(environ), type=Order)
        except (DecodeError, ValidationError) as error:
            return make_error_response(400, str(error))
        return self._loader.execute(order)

    def _handle_chat(self, environ: Environ, start_response: StartResponse):  # noqa: ANN202
        """Check a chat request and stream its answer."""
        body = read_body(environ)
        try:
            chat = json.decode(body, type=Chat)
        except (DecodeError, ValidationError) as error:
            return make_error_response(400, str(error)).send(start_response)
        version = read_header(environ, "Bergamotwood-Version") or chat.model
        if version not in self._loader.versions:
            return make_error_response(404, f"{version} not loaded").send(
                start_response
            )
        if self._draws_error(version):
            return make_error_response(500, "engine error").send(start_response)
        first_index = int(read_header(environ, "Bergamotwood-Resume-From") or 0)
        run = self._recorder.record_start(environ, body, version)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._stream(environ, run, chat, first_index)

    def _draws_error(self, version: str) -> bool:
        """Whether this request fails, drawn with the injected error rate."""
        if not self._faults.matches(version):
            return False
        return self._random.random() < self._faults.error_rate

    def _stream(
        self, environ: Environ, run: Record, chat: Chat, first_index: int
    ) -> Iterator[bytes]:
        """Run a request in the batch and yield its server-sent events."""
        sent_events = 0
        finished = False
        self._batch.acquire_slot(chat.priority)
        try:
            for event in self._generate_events(run, chat, first_index):
                yield event
                sent_events += 1
            finished = True
        except BrokenStreamError:
            close_connection(environ)
        finally:
            self._batch.release_slot()
            self._recorder.record_end(run, sent_events, finished)

    def _generate_events(
        self, run: Record, chat: Chat, first_index: int
    ) -> Iterator[bytes]:
        """Yield the events of a request as the batch produces them."""
        prompt = join_prompt(chat.messages)
        if self._poison and self._poison in prompt:
            _exit(CRASH_EXIT_CODE)
        words = prompt.split()
        cached = self._cache.look_up_and_store(run.version, words)
        sleep(self._faults.extra_latency)
        self._batch.prefill(len(words), cached)
        quality = compute_quality(self._get_quality(run.version), chat.messages)
        tokens = make_answer(run.version, chat.messages, quality, chat.max_tokens)
        yield from self._send_tokens(run.request, tokens, first_index)
        usage = {
            "prompt_tokens": len(words),
            "completion_tokens": len(tokens),
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        yield _make_last_chunk(run.request, len(tokens), usage)
        yield b"data: [DONE]\n\n"

    def _send_tokens(
        self, request: str, tokens: list[str], first_index: int
    ) -> Iterator[bytes]:
        """Yield one chunk per token, at the speed of the batch."""
        for index in self._order_chunks(first_index, len(tokens)):
            self._batch.decode_step()
            self._apply_stream_fault(index)
            yield _make_chunk(request, index, tokens[index])

    def _order_chunks(self, first: int, end: int) -> list[int]:
        """List the indices of the chunks, reordered or repeated by faults."""
        indices = list(range(first, end))
        if self._faults.reorder:
            for position in range(0, len(indices) - 1, 2):
                swapped = indices[position + 1], indices[position]
                indices[position : position + 2] = swapped
        if self._faults.repeat:
            indices = [index for index in indices for _ in range(2)]
        return indices

    def _apply_stream_fault(self, index: int) -> None:
        """Break or stall the stream when a fault applies at this token."""
        faults = self._faults
        if faults.break_after is not None and index >= faults.break_after:
            raise BrokenStreamError
        if faults.silent_after is not None and index >= faults.silent_after:
            while self._faults is faults:
                sleep(FAULT_POLL_SECONDS)
            raise BrokenStreamError

    def _get_quality(self, version: str) -> float:
        """Get the mean quality of a version, which a fault can replace."""
        faults = self._faults
        if faults.bad_quality is not None and faults.matches(version):
            return faults.bad_quality
        return self._qualities.get(version, DEFAULT_QUALITY)


def _make_chunk(request: str, index: int, token: str) -> bytes:
    """Make the server-sent event for one token."""
    choice = {"index": 0, "delta": {"content": token}, "finish_reason": None}
    return _make_event(request, index, choice, None)


def _make_last_chunk(request: str, index: int, usage: dict) -> bytes:
    """Make the last server-sent event, with the finish reason and the usage."""
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    return _make_event(request, index, choice, usage)


def _make_event(request: str, index: int, choice: dict, usage: dict | None) -> bytes:
    """Make one server-sent event in the format of the OpenAI API."""
    chunk = {
        "id": request,
        "object": "chat.completion.chunk",
        "index": index,
        "choices": [choice],
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + json.encode(chunk) + b"\n\n"


def _parse_qualities(texts: tuple[str, ...]) -> dict[str, float]:
    """Parse the `model:version=quality` options."""
    pairs = (text.rsplit("=", 1) for text in texts)
    return {version: float(quality) for version, quality in pairs}


@command()
@add_endpoint_options
@option("--version", "versions", multiple=True, help="Version loaded at the start.")
@option("--quality", "qualities", multiple=True, help="model:version=0.9")
@option("--token-seconds", type=float, default=0.004, show_default=True)
@option("--batch-growth", type=float, default=0.05, show_default=True)
@option("--prefill-seconds", type=float, default=0.00002, show_default=True)
@option("--cache-blocks", type=int, default=2_000, show_default=True)
@option("--weights", type=ADDRESS, help="The weight store.")
@option("--order-key", default="", help="Key required in orders.")
@option("--checks-fencing/--no-checks-fencing", default=True)
@option(
    "--poison",
    default="",
    help="Text that crashes the process when a prompt contains it.",
)
def main(
    identity: str,
    listen: Address,
    public: Address | None,
    entries: tuple[Address, ...],
    endpoint_key: str,
    data_centre: str,
    capacity: int,
    leave_seconds: float,
    records: Path | None,
    versions: tuple[str, ...],
    qualities: tuple[str, ...],
    token_seconds: float,
    batch_growth: float,
    prefill_seconds: float,
    cache_blocks: int,
    weights: Address | None,
    order_key: str,
    checks_fencing: bool,
    poison: str,
) -> None:
    """Run a fake model engine until SIGTERM."""
    suspects = find_unfinished(read_records(records)) if records else []
    endpoint_identity = Identity(EndpointId(identity), make_incarnation())
    speed = Speed(token_seconds, batch_growth, prefill_seconds)
    engine = Engine(
        Batch(capacity, speed),
        PrefixCache(cache_blocks),
        loader := Loader(versions, weights, checks_fencing),
        recorder := Recorder(endpoint_identity, records),
        _parse_qualities(qualities),
        order_key,
        poison,
    )
    server = make_server(listen, engine.handle_request)
    address = public or Address(listen.host, server.server_port)

    def describe() -> Announcement:
        return Announcement(
            id=endpoint_identity.id,
            incarnation=endpoint_identity.incarnation,
            sequence=0,
            address=address,
            data_centre=data_centre,
            kind=EndpointKind.MODEL,
            versions=tuple(loader.versions),
            capacity=capacity,
            load=float(engine.load),
            checks_fencing=checks_fencing,
            state=EndpointState.SERVING,
            crash_suspects=tuple({record.fingerprint for record in suspects}),
        )

    announcer = Announcer(entries, endpoint_key, describe)
    run_endpoint(
        server,
        announcer,
        identity,
        "engine",
        recorder,
        leave_seconds,
    )


if __name__ == "__main__":
    main()
