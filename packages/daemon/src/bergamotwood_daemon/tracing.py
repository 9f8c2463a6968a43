"""W3C trace context: taken from the caller, passed on to endpoints."""

from hashlib import sha256
from re import compile as compile_pattern

from bergamotwood_core.ids import RequestId
from bergamotwood_daemon.web import WebRequest

_TRACE_PARENT = compile_pattern(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")


def read_trace_parent(request: WebRequest, id: RequestId) -> str:
    """Return the context of our hop, in the caller's trace if it has one."""
    match = _TRACE_PARENT.fullmatch(request.read_header("traceparent") or "")
    own = sha256(id.encode()).hexdigest()
    trace = match.group(1) if match else own[:32]
    return f"00-{trace}-{own[32:48]}-01"
