from random import Random

import pytest

from bergamotwood_core.errors import Code, EndpointError
from bergamotwood_core.ids import RequestId
from bergamotwood_core.stream import Chunk, StreamAssembler, StreamLimits, Usage

REQUEST = RequestId("r1")


def make_chunks(count: int, words: str = "w") -> list[Chunk]:
    """Make a complete answer: tokens, then the finish reason, then the usage."""
    chunks = [Chunk(REQUEST, index, f"{words}{index} ") for index in range(count)]
    chunks.append(Chunk(REQUEST, count, finish_reason="stop"))
    chunks.append(Chunk(REQUEST, count + 1, usage=Usage(3, count)))
    return chunks


def read_text(chunks) -> str:
    return "".join(chunk.content for chunk in chunks)


def test_reordered_and_repeated_chunks_give_the_complete_answer():
    rng = Random(5)
    for _ in range(200):
        chunks = make_chunks(20)
        sent = chunks + rng.sample(chunks, 6)
        rng.shuffle(sent)
        assembler = StreamAssembler(REQUEST)
        got = [ready for chunk in sent for ready in assembler.accept(chunk)]
        assert got == chunks
        assert assembler.finish(done_seen=True) == Usage(3, 20)
        assert assembler.complete


def test_a_chunk_of_another_request_is_an_error():
    assembler = StreamAssembler(REQUEST)
    with pytest.raises(EndpointError) as caught:
        assembler.accept(Chunk(RequestId("r2"), 0, "theirs"))
    assert caught.value.code is Code.STREAM_BROKEN


@pytest.mark.parametrize("missing", range(7))
def test_an_answer_that_lacks_a_chunk_is_never_complete(missing):
    chunks = make_chunks(5)
    assembler = StreamAssembler(REQUEST)
    for chunk in chunks[:missing] + chunks[missing + 1 :]:
        assembler.accept(chunk)
    with pytest.raises(EndpointError):
        assembler.finish(done_seen=True)
    assert not assembler.complete


def test_stream_closed_before_its_end_marker_is_incomplete():
    assembler = StreamAssembler(REQUEST)
    for chunk in make_chunks(5):
        assembler.accept(chunk)
    with pytest.raises(EndpointError):
        assembler.finish(done_seen=False)
    assert not assembler.complete


def test_usage_that_disagrees_with_the_token_count_is_an_error():
    assembler = StreamAssembler(REQUEST)
    for chunk in make_chunks(5)[:-1]:
        assembler.accept(chunk)
    assembler.accept(Chunk(REQUEST, 6, usage=Usage(3, 6)))
    with pytest.raises(EndpointError):
        assembler.finish(done_seen=True)


def test_a_chunk_after_the_end_is_an_error():
    assembler = StreamAssembler(REQUEST)
    for chunk in make_chunks(2):
        assembler.accept(chunk)
    assembler.finish(done_seen=True)
    with pytest.raises(EndpointError):
        assembler.accept(Chunk(REQUEST, 4, "more"))


def test_a_token_after_the_finish_reason_is_an_error():
    assembler = StreamAssembler(REQUEST)
    assembler.accept(Chunk(REQUEST, 0, "last", finish_reason="stop"))
    with pytest.raises(EndpointError):
        assembler.accept(Chunk(REQUEST, 1, "more"))


def test_resume_drops_out_of_order_chunks_of_the_previous_endpoint():
    old = make_chunks(6, "old")
    new = make_chunks(6, "new")
    assembler = StreamAssembler(REQUEST)
    got = [*assembler.accept(old[0]), *assembler.accept(old[1])]
    assert assembler.accept(old[3]) == ()
    attempt = assembler.resume()
    assert assembler.next_index == 2
    assert assembler.accept(old[2], attempt=0) == ()
    for chunk in new[2:]:
        got.extend(assembler.accept(chunk, attempt))
    assembler.finish(done_seen=True)
    assert read_text(got) == "old0 old1 new2 new3 new4 new5 "


def test_chunk_too_far_ahead_is_an_error():
    assembler = StreamAssembler(
        REQUEST, StreamLimits(max_reorder_distance=4, max_repeats=3)
    )
    assert assembler.accept(Chunk(REQUEST, 4, "early")) == ()
    with pytest.raises(EndpointError):
        assembler.accept(Chunk(REQUEST, 5, "too early"))


def test_too_many_repeated_chunks_break_the_stream():
    assembler = StreamAssembler(REQUEST, StreamLimits(max_repeats=3))
    chunk = Chunk(REQUEST, 0, "a")
    assembler.accept(chunk)
    for _ in range(3):
        assert assembler.accept(chunk) == ()
    with pytest.raises(EndpointError):
        assembler.accept(chunk)


def test_answer_over_the_token_limit_is_an_error():
    assembler = StreamAssembler(REQUEST, StreamLimits(max_tokens=3))
    for index in range(3):
        assembler.accept(Chunk(REQUEST, index, "x"))
    with pytest.raises(EndpointError) as caught:
        assembler.accept(Chunk(REQUEST, 3, "x"))
    assert caught.value.code is Code.ANSWER_TOO_LARGE


def test_early_end_marker_leaves_the_answer_resumable():
    chunks = make_chunks(4)
    assembler = StreamAssembler(REQUEST)
    got = [*assembler.accept(chunks[0]), *assembler.accept(chunks[1])]
    with pytest.raises(EndpointError):
        assembler.finish(done_seen=True)
    attempt = assembler.resume()
    for chunk in chunks[2:]:
        got.extend(assembler.accept(chunk, attempt))
    assert assembler.finish(done_seen=True) == Usage(3, 4)
    assert got == chunks


def test_complete_answer_cannot_be_resumed():
    assembler = StreamAssembler(REQUEST)
    for chunk in make_chunks(2):
        assembler.accept(chunk)
    assembler.finish(done_seen=True)
    with pytest.raises(EndpointError):
        assembler.resume()
