"""Reassembly of streamed answers, with resumption and a completeness check."""

from dataclasses import dataclass

from msgspec import Raw, Struct

from bergamotwood_core.bounds import Integer
from bergamotwood_core.errors import Code, EndpointError
from bergamotwood_core.ids import RequestId


class Usage(Struct, frozen=True):
    """Token counts of an answer; those of a resumed answer include its first part."""

    prompt_tokens: Integer = 0
    completion_tokens: Integer = 0


class Chunk(Struct, frozen=True):
    """One chunk of a streamed answer.

    Parameters
    ----------
    request : RequestId
        Request that it answers.
    index : int
        Position in the answer, from 0.
    content : str
        Text of one token; empty in a chunk that only ends the answer.
    finish_reason : str or None
        Reason for the end of the answer, in the last chunk with content or later.
    usage : Usage or None
        Token counts, in the last chunk.
    delta : Raw
        Complete delta as sent by the endpoint, including fields besides the text.
    """

    request: RequestId
    index: int
    content: str = ""
    finish_reason: str | None = None
    usage: Usage | None = None
    delta: Raw = Raw(b"")

    @property
    def is_token(self) -> bool:
        """Whether the chunk is a generated token."""
        closing = self.finish_reason is not None or self.usage is not None
        return bool(self.content) or not closing


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limits of one streamed answer.

    Parameters
    ----------
    max_reorder_distance : int
        Maximum distance of a chunk from the next expected index.
    max_repeats : int
        Maximum number of consecutive repeated chunks.
    max_tokens : int
        Maximum number of tokens.
    """

    max_reorder_distance: int = 64
    max_repeats: int = 256
    max_tokens: int = 131_072


class StreamAssembler:
    """Assembles the chunks of one answer in order, whatever their order of arrival.

    Parameters
    ----------
    request : RequestId
        Request whose chunks are accepted.
    limits : StreamLimits
        Limits.
    """

    def __init__(self, request: RequestId, limits: StreamLimits | None = None) -> None:
        self.request = request
        self.limits = limits or StreamLimits()
        self.next_index = 0
        self.tokens = 0
        self.finish_reason: str | None = None
        self.usage: Usage | None = None
        self.attempt = 0
        self._done_seen = False
        self._repeats = 0
        self._held_chunks: dict[int, Chunk] = {}

    @property
    def complete(self) -> bool:
        """Whether the whole answer was received, including its end marker."""
        return (
            self._done_seen
            and not self._held_chunks
            and self.finish_reason is not None
            and self.usage is not None
            and self.usage.completion_tokens == self.tokens
        )

    def accept(self, chunk: Chunk, attempt: int | None = None) -> tuple[Chunk, ...]:
        """Accept a chunk and return the chunks that are now in order.

        Parameters
        ----------
        chunk : Chunk
            Received chunk.
        attempt : int, optional
            Attempt that sent it; chunks of earlier attempts are dropped.

        Raises
        ------
        EndpointError
            If the chunk belongs to another request, follows the end marker or exceeds
            a limit.
        """
        if attempt is not None and attempt != self.attempt:
            return ()
        if chunk.request != self.request:
            raise _make_stream_error(f"a chunk of request {chunk.request}")
        if self._done_seen:
            raise _make_stream_error("a chunk after the end marker")
        if chunk.index < self.next_index or chunk.index in self._held_chunks:
            return self._drop_repeated_chunk()
        if chunk.index > self.next_index + self.limits.max_reorder_distance:
            raise _make_stream_error(f"chunk {chunk.index}, expected {self.next_index}")
        self._repeats = 0
        if chunk.index > self.next_index:
            self._held_chunks[chunk.index] = chunk
            return ()
        if not self._held_chunks:
            self._advance(chunk)
            return (chunk,)
        return self._release(chunk)

    def resume(self) -> int:
        """Resume the answer at `next_index` on another endpoint.

        Held chunks of the old endpoint are dropped, since the new one may generate
        different text.

        Returns
        -------
        int
            Number of the new attempt.

        Raises
        ------
        EndpointError
            If the answer has already ended.
        """
        if self._done_seen:
            raise _make_stream_error("resumed after the end marker")
        self._held_chunks.clear()
        self._repeats = 0
        self.attempt += 1
        return self.attempt

    def finish(self, done_seen: bool) -> Usage:
        """Check the end of the answer.

        Parameters
        ----------
        done_seen : bool
            Whether the end marker was received before the connection closed.

        Raises
        ------
        EndpointError
            If the answer is incomplete; it may then be resumed.
        """
        self._done_seen = done_seen
        if self.complete and self.usage is not None:
            return self.usage
        detail = self._explain_end()
        self._done_seen = False
        raise _make_stream_error(detail)

    def _advance(self, chunk: Chunk) -> None:
        """Account for the chunk with the next index."""
        if self.finish_reason is not None and chunk.is_token:
            raise _make_stream_error("a token after the finish reason")
        if chunk.is_token:
            self.tokens += 1
        if self.tokens > self.limits.max_tokens:
            raise EndpointError("answer is too long", Code.ANSWER_TOO_LARGE)
        self.next_index += 1
        self.finish_reason = chunk.finish_reason or self.finish_reason
        self.usage = chunk.usage or self.usage

    def _release(self, chunk: Chunk) -> tuple[Chunk, ...]:
        """Return a chunk together with the held chunks that follow it."""
        ready = []
        following: Chunk | None = chunk
        while following is not None:
            self._advance(following)
            ready.append(following)
            following = self._held_chunks.pop(self.next_index, None)
        return tuple(ready)

    def _drop_repeated_chunk(self) -> tuple[Chunk, ...]:
        """Drop a repeated chunk, up to the limit of consecutive repeats."""
        self._repeats += 1
        if self._repeats > self.limits.max_repeats:
            raise _make_stream_error("only repeated chunks")
        return ()

    def _explain_end(self) -> str:
        """Explain why the answer is incomplete."""
        if not self._done_seen:
            return f"no end marker after chunk {self.next_index - 1}"
        if self._held_chunks:
            return f"chunk {self.next_index} is missing"
        if self.finish_reason is None or self.usage is None:
            return "end marker without finish reason and usage"
        return f"{self.tokens} tokens came of {self.usage.completion_tokens}"


def _make_stream_error(detail: str) -> EndpointError:
    """Return the error of a broken stream."""
    return EndpointError(f"stream broken: {detail}", Code.STREAM_BROKEN)
