"""Construction of the requests of callers."""

from msgspec import json

from bergamotwood_fakes.transcript import Request

MARK_PREFIX = "mark-"


def make_chat(
    mark: str,
    workspace: str,
    model: str,
    text: str,
    max_tokens: int | None = None,
    stream: bool = True,
    key: str = "",
    session: str = "",
) -> Request:
    """Make a chat request whose prompt contains its mark."""
    messages = [{"role": "user", "content": f"{text} {MARK_PREFIX}{mark}"}]
    document = {"model": model, "messages": messages, "stream": stream}
    if max_tokens is not None:
        document["max_tokens"] = max_tokens
    return Request(
        mark=mark,
        workspace=workspace,
        method="POST",
        path="/v1/chat/completions",
        body=json.encode(document),
        key=key,
        session=session,
        messages=messages,
        max_tokens=max_tokens,
    )


def make_payment(mark: str, workspace: str, service: str, path: str) -> Request:
    """Make a request that must not run twice, with its own idempotency key."""
    body = json.encode({"amount": 450, "reference": f"{MARK_PREFIX}{mark}"})
    return Request(
        mark=mark,
        workspace=workspace,
        method="POST",
        path=f"/v1/services/{service}/{path}",
        body=body,
        key=f"key-{mark}",
        idempotent=False,
    )


def make_lookup(mark: str, workspace: str, service: str, path: str) -> Request:
    """Make a safe request to a plain service."""
    return Request(
        mark=mark,
        workspace=workspace,
        method="GET",
        path=f"/v1/services/{service}/{path}/{MARK_PREFIX}{mark}",
        body=b"",
    )
