"""Streamed answers: chunks in order, resume, and a checked end."""

from dataclasses import dataclass

from msgspec import Raw, Struct

from bergamotwood_core.errors import Code, EndpointError
from bergamotwood_core.ids import RequestId


class Usage(Struct, frozen=True):
    """Tokens that an answer took; a resumed answer counts from its start."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Chunk(Struct, frozen=True):
    """One piece of a streamed answer.

    Parameters
    ----------
    request : RequestId
        The request that it answers.
    index : int
        Position in the answer, from 0.
    content : str
        Text of one token; empty in a chunk that only closes the answer.
    finish_reason : str or None
        Why the answer ended, on its last piece of content or after it.
    usage : Usage or None
        Tokens taken, on the last chunk.
    delta : Raw
        The whole delta as the endpoint sent it, for fields besides the text.
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
    """Bounds of one streamed answer.

    Parameters
    ----------
    max_reorder_distance : int
        How far ahead of the next index a chunk may be.
    max_repeats : int
        Repeated chunks in a row before the stream counts as broken.
    max_tokens : int
        Tokens of one answer.
    """

    max_reorder_distance: int = 64
    max_repeats: int = 256
    max_tokens: int = 131_072


class StreamAssembler:
    """Puts the chunks of one answer in order, whatever order they come in.

    Parameters
    ----------
    request : RequestId
        The request whose chunks are taken.
    limits : StreamLimits
        Bounds.
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
        """Whether the end was seen and checked."""
        return (
            self._done_seen
            and not self._held_chunks
            and self.finish_reason is not None
            and self.usage is not None
            and self.usage.completion_tokens == self.tokens
        )

    def accept(self, chunk: Chunk, attempt: int | None = None) -> tuple[Chunk, ...]:
        """Take one chunk and return those that are next for the caller.

        Parameters
        ----------
        chunk : Chunk
            As it came.
        attempt : int, optional
            Attempt that it came from; chunks of earlier attempts are dropped.

        Raises
        ------
        EndpointError
            When the chunk belongs to another request, comes after the end, or
            breaks a bound.
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
        """Start over at `next_index` on another endpoint.

        Early chunks of the old endpoint are void: the new one may go on with
        other words.

        Returns
        -------
        int
            The new attempt.

        Raises
        ------
        EndpointError
            When the answer has ended already.
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
            Whether the end marker came, as against a closed connection.

        Raises
        ------
        EndpointError
            When the answer is not whole; it may be resumed then.
        """
        self._done_seen = done_seen
        if self.complete and self.usage is not None:
            return self.usage
        detail = self._explain_end()
        self._done_seen = False
        raise _make_stream_error(detail)

    def _advance(self, chunk: Chunk) -> None:
        """Count the chunk that has the next index."""
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
        """Return a chunk with the held ones that follow it."""
        ready = []
        following: Chunk | None = chunk
        while following is not None:
            self._advance(following)
            ready.append(following)
            following = self._held_chunks.pop(self.next_index, None)
        return tuple(ready)

    def _drop_repeated_chunk(self) -> tuple[Chunk, ...]:
        """Drop a chunk that came before, up to a bound."""
        self._repeats += 1
        if self._repeats > self.limits.max_repeats:
            raise _make_stream_error("only repeated chunks")
        return ()

    def _explain_end(self) -> str:
        """Say what is missing from the end of the answer."""
        if not self._done_seen:
            return f"no end marker after chunk {self.next_index - 1}"
        if self._held_chunks:
            return f"chunk {self.next_index} is missing"
        if self.finish_reason is None or self.usage is None:
            return "end marker without finish reason and usage"
        return f"{self.tokens} tokens came of {self.usage.completion_tokens}"


def _make_stream_error(detail: str) -> EndpointError:
    """Make the error of a broken stream."""
    return EndpointError(f"stream broken: {detail}", Code.STREAM_BROKEN)
