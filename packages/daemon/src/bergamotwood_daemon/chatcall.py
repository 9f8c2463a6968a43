"""Validates chat requests, and lists the versions that may answer them."""

from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from msgspec import json
from xxhash import xxh3_64_intdigest

from bergamotwood_core.cascade import Candidate, classify_request
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Version, Workspace
from bergamotwood_core.errors import (
    AuthorizationError,
    Code,
    RefusedError,
    RequestError,
)
from bergamotwood_core.ids import (
    CascadeName,
    IdempotencyKey,
    ModelName,
    RequestClass,
    SessionId,
    VersionId,
)
from bergamotwood_core.quarantine import fingerprint_request
from bergamotwood_core.rollout import choose_version
from bergamotwood_core.session import read_session
from bergamotwood_core.states import Priority, VersionState
from bergamotwood_core.tables import ConfigurationTables
from bergamotwood_daemon.entry import Entry, RequestContext
from bergamotwood_daemon.tracing import Trace
from bergamotwood_daemon.web import WebRequest

CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 1_024
MAX_KEY_CHARACTERS = 200
MAX_DEADLINE_SECONDS = 3_600.0
DEFAULT_FIRST_TOKEN_SECONDS = 0.3
PRIORITIES = {"high": Priority.HIGH, "normal": Priority.NORMAL, "low": Priority.LOW}


@dataclass(frozen=True)
class ChatCall:
    """A validated chat request.

    Parameters
    ----------
    context : RequestContext
        State of the request at the entry.
    document : dict
        The caller's JSON document, forwarded to engines.
    models : tuple of ModelName
        Models of the named cascade, or the named model.
    pinned_version : VersionId or None
        Version of the caller's session, or the version that the request names.
    stream : bool
        Whether the caller asked for server-sent events.
    key : IdempotencyKey or None
        Idempotency key of the caller.
    digest : str
        Digest that detects a different request with the same key.
    prompt_tokens : int
        Estimated number of prompt tokens.
    request_class : RequestClass
        Class whose estimates the cascade policy uses.
    """

    context: RequestContext
    document: dict[str, Any]
    models: tuple[ModelName, ...]
    pinned_version: VersionId | None
    stream: bool
    key: IdempotencyKey | None
    digest: str
    prompt_tokens: int
    request_class: RequestClass


def read_chat_call(entry: Entry, request: WebRequest, workspace: Workspace) -> ChatCall:
    """Validate a chat request.

    Raises
    ------
    RequestError, AuthorizationError
        The request is not acceptable; nothing ran.
    """
    document = request.read_json()
    prompt = _read_prompt(document)
    models, named_version = _resolve_model(
        entry.tables.configuration, workspace, document.get("model")
    )
    context = make_context(entry, request, workspace)
    context.prefix_hash = xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())
    prompt_tokens = len(prompt) // CHARACTERS_PER_TOKEN + 1
    context.prefix_tokens = prompt_tokens
    return ChatCall(
        context=context,
        document=document,
        models=models,
        pinned_version=_read_pinned_version(entry, context, models) or named_version,
        stream=bool(document.get("stream", False)),
        key=read_idempotency_key(request),
        digest=digest_request(request),
        prompt_tokens=prompt_tokens,
        request_class=classify_request(
            prompt_tokens, request.read_header("bergamotwood-class")
        ),
    )


def make_context(
    entry: Entry, request: WebRequest, workspace: Workspace
) -> RequestContext:
    """Create the context of a received request.

    Raises
    ------
    RequestError
        The body cannot be read, or the deadline or the priority is invalid.
    """
    session = request.read_header("bergamotwood-session")
    id = entry.make_request_id()
    return RequestContext(
        id=id,
        workspace=workspace,
        fingerprint=fingerprint_request(
            workspace.key, request.path, request.read_body()
        ),
        deadline=_read_deadline(entry, request),
        idempotent=request.read_header("bergamotwood-idempotent") != "false",
        priority=_read_priority(request),
        session=SessionId(session) if session else None,
        trace=Trace(entry.tracer, request, f"{request.method} {request.path}"),
    )


def read_idempotency_key(request: WebRequest) -> IdempotencyKey | None:
    """Read the caller's idempotency key; None if it sent none.

    Raises
    ------
    RequestError
        The key is empty, too long or not printable.
    """
    key = request.read_header("idempotency-key")
    if key is None:
        return None
    if not 1 <= len(key) <= MAX_KEY_CHARACTERS or not key.isprintable():
        raise RequestError(
            f"idempotency-key: 1 to {MAX_KEY_CHARACTERS} printable characters"
        )
    return IdempotencyKey(key)


def digest_request(request: WebRequest) -> str:
    """Hash method, path, query and body, which must not differ for one key."""
    digest = sha256()
    query = request.environ.get("QUERY_STRING", "")
    for part in (request.method, request.path, query):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(request.read_body())
    return digest.hexdigest()


def list_candidates(entry: Entry, call: ChatCall) -> list[Candidate]:
    """List the versions that may answer, in the order of the cascade.

    Raises
    ------
    RefusedError, AuthorizationError
        No version may answer.
    """
    tables = entry.tables.configuration
    if call.pinned_version is not None:
        chosen = [call.pinned_version]
    else:
        chosen = [
            _choose_version(entry, call.context.workspace, m) for m in call.models
        ]
    allowed = [v for v in chosen if v in call.context.workspace.versions]
    if not allowed:
        raise AuthorizationError(
            f"workspace {call.context.workspace.name} may use none of {chosen}",
            Code.MODEL_NOT_ALLOWED,
        )
    serving = [v for v in allowed if _is_serving(tables, v)]
    if not serving:
        raise RefusedError(f"withdrawn: {', '.join(allowed)}", Code.VERSION_WITHDRAWN)
    return [_make_candidate(entry, tables.versions[v]) for v in serving]


def _choose_version(entry: Entry, workspace: Workspace, name: ModelName) -> VersionId:
    tables = entry.tables.configuration
    model = tables.models[name]
    rollout = next((r for r in tables.rollouts.values() if r.model == name), None)
    progress = tables.progress.get(rollout.key) if rollout is not None else None
    version = choose_version(model, rollout, progress, entry.rng.random())
    usable = version in workspace.versions and _is_serving(tables, version)
    return version if usable else VersionId(model.current)


def _is_serving(tables: ConfigurationTables, id: VersionId) -> bool:
    version = tables.versions.get(id)
    return version is not None and version.state is VersionState.SERVING


def _make_candidate(entry: Entry, version: Version) -> Candidate:
    endpoints = entry.tables.directory.endpoints.values()
    measured = [
        endpoint.first_token_seconds
        for endpoint in endpoints
        if version.id in endpoint.announcement.versions
        and endpoint.first_token_seconds > 0.0
    ]
    expected = (
        sum(measured) / len(measured) if measured else DEFAULT_FIRST_TOKEN_SECONDS
    )
    return Candidate(
        version.version_id, version.input_price, version.output_price, expected
    )


def _read_prompt(document: dict[str, Any]) -> str:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RequestError("messages: a list of at least one message is needed")
    if not all(isinstance(message, dict) for message in messages):
        raise RequestError("messages: each must be an object")
    pieces = []
    for message in messages:
        content = message.get("content")
        pieces.append(
            content if isinstance(content, str) else json.encode(content).decode()
        )
    return "\n".join(pieces)


def _resolve_model(
    tables: ConfigurationTables, workspace: Workspace, name: Any
) -> tuple[tuple[ModelName, ...], VersionId | None]:
    if not isinstance(name, str):
        raise RequestError("model: the name of a model, version or cascade is needed")
    cascade = tables.cascades.get(CascadeName(name))
    if cascade is not None and name in workspace.cascades:
        return tuple(ModelName(model) for model in cascade.models), None
    if name in tables.models:
        return (ModelName(name),), None
    if name in tables.versions:
        return (ModelName(name.partition(":")[0]),), VersionId(name)
    if cascade is not None:
        raise AuthorizationError(
            f"workspace {workspace.name} may not use cascade {name}",
            Code.MODEL_NOT_ALLOWED,
        )
    raise RequestError(f"model: {name!r:.80} is not known", Code.UNKNOWN_MODEL)


def _read_pinned_version(
    entry: Entry, context: RequestContext, models: tuple[ModelName, ...]
) -> VersionId | None:
    if context.session is None:
        return None
    version = read_session(context.session, entry.secret)
    if version.partition(":")[0] not in models:
        raise RequestError(
            f"session: it is on {version}, which the request does not name",
            Code.SESSION_INVALID,
        )
    return version


def _read_deadline(entry: Entry, request: WebRequest) -> Seconds:
    text = request.read_header("bergamotwood-deadline-seconds")
    seconds = entry.settings.timeouts.request
    if text is not None:
        seconds = _parse_seconds(text)
    return Seconds(entry.clock() + seconds)


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds <= MAX_DEADLINE_SECONDS:
        raise RequestError(
            f"bergamotwood-deadline-seconds: above 0, at most {MAX_DEADLINE_SECONDS}"
        )
    return seconds


def _read_priority(request: WebRequest) -> Priority:
    name = request.read_header("bergamotwood-priority")
    if name is None:
        return Priority.NORMAL
    if name not in PRIORITIES:
        raise RequestError(f"bergamotwood-priority: one of {', '.join(PRIORITIES)}")
    return PRIORITIES[name]
