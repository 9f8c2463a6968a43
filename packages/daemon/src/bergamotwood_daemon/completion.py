"""Encodes chat answers for callers, as events or as one completion."""

from dataclasses import dataclass
from time import time
from typing import Any

from msgspec import json

from bergamotwood_core.ids import RequestId
from bergamotwood_core.stream import Chunk, Usage

DONE_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True, slots=True)
class Receipt:
    """Version, cost and session of an answer, sent to the caller with its text."""

    version: str
    cost: float
    session: str


class EventEncoder:
    """Encodes chunks of one answer as server-sent events.

    Parameters
    ----------
    request : RequestId
        Id of the request, and of its answer.
    version : str
        The version that answers.
    """

    def __init__(self, request: RequestId, version: str) -> None:
        head = json.encode(
            {
                "id": request,
                "object": "chat.completion.chunk",
                "created": int(time()),
                "model": version,
            }
        )
        self._head = b"data: " + head[:-1] + b',"choices":[{"index":0,"delta":'

    def encode(self, chunk: Chunk) -> bytes:
        """Encode a chunk that is not the last."""
        delta = bytes(chunk.delta) or json.encode({"content": chunk.content})
        return b'%b%b,"finish_reason":%b}],"index":%d}\n\n' % (
            self._head,
            delta,
            json.encode(chunk.finish_reason),
            chunk.index,
        )

    def encode_last(self, chunk: Chunk, usage: Usage, receipt: Receipt) -> bytes:
        """Encode the closing chunk with usage and receipt."""
        event = self.encode(chunk)[: -len(b"}\n\n")]
        return b'%b,"usage":%b,"bergamotwood":%b}\n\n' % (
            event,
            json.encode(_describe_usage(usage)),
            json.encode(receipt),
        )


def encode_completion(
    request: RequestId, chunks: list[Chunk], usage: Usage, receipt: Receipt
) -> bytes:
    """Encode a whole answer as one chat completion."""
    finish_reason = chunks[-1].finish_reason if chunks else None
    return json.encode(
        {
            "id": request,
            "object": "chat.completion",
            "created": int(time()),
            "model": receipt.version,
            "choices": [
                {
                    "index": 0,
                    "message": _merge_deltas(chunks),
                    "finish_reason": finish_reason,
                }
            ],
            "usage": _describe_usage(usage),
            "bergamotwood": receipt,
        }
    )


def join_text(chunks: list[Chunk]) -> str:
    """Join the text of an answer."""
    return "".join(chunk.content for chunk in chunks)


def _describe_usage(usage: Usage) -> dict[str, int]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    }


def _merge_deltas(chunks: list[Chunk]) -> dict[str, Any]:
    message: dict[str, Any] = {"role": "assistant", "content": ""}
    for chunk in chunks:
        delta = json.decode(chunk.delta) if chunk.delta else {}
        for name, value in delta.items():
            _merge_field(message, name, value)
    message["content"] = join_text(chunks)
    if "tool_calls" in message and not message["content"]:
        message["content"] = None
    return message


def _merge_field(message: dict[str, Any], name: str, value: Any) -> None:
    if name in ("content", "role") or value is None:
        return
    if name == "tool_calls":
        _merge_tool_calls(message.setdefault(name, []), value)
        return
    known = message.get(name)
    message[name] = known + value if isinstance(known, str) else value


def _merge_tool_calls(calls: list[dict[str, Any]], pieces: list[Any]) -> None:
    """Merge parts of tool calls: arguments are appended, other fields replaced."""
    for piece in pieces:
        index = piece.get("index", 0)
        while len(calls) <= index:
            calls.append({"type": "function", "function": {"arguments": ""}})
        call = calls[index]
        call.update(
            {key: value for key, value in piece.items() if key in ("id", "type")}
        )
        function = piece.get("function") or {}
        if function.get("name"):
            call["function"]["name"] = function["name"]
        call["function"]["arguments"] += function.get("arguments") or ""
