from geventhttpclient.response import HTTPParseError
from msgspec import json
from pytest import raises

from bergamotwood_fakes.record import Event, find_unfinished, read_records

CHAT = {
    "model": "small:1",
    "stream": True,
    "max_tokens": 6,
    "messages": [{"role": "user", "content": "hello"}],
}
PATH = "/v1/chat/completions"


def read_events(body):
    lines = [line for line in body.split(b"\n") if line.startswith(b"data: {")]
    return [json.decode(line.removeprefix(b"data: ")) for line in lines]


def start_engine(start_fake, *options):
    return start_fake("engine", "--id", "e1", "--version", "small:1", *options)


def test_stream_has_ids_indices_and_usage(start_fake):
    engine = start_engine(start_fake)
    status, body = engine.call("POST", PATH, json.encode(CHAT), X_Request_Id="r1")
    events = read_events(body)
    assert status == 200
    assert body.endswith(b"data: [DONE]\n\n")
    assert [event["index"] for event in events] == list(range(7))
    assert {event["id"] for event in events} == {"r1"}
    assert events[-1]["usage"]["completion_tokens"] == 6


def test_resumed_stream_equals_the_rest_of_the_original(start_fake):
    engine = start_engine(start_fake)
    _, full_body = engine.call("POST", PATH, json.encode(CHAT))
    resume = {"Bergamotwood_Resume_From": "3"}
    _, resumed_body = engine.call("POST", PATH, json.encode(CHAT), **resume)
    assert read_events(resumed_body) == read_events(full_body)[3:]


def test_request_for_an_unloaded_version_returns_404(start_fake):
    engine = start_engine(start_fake)
    other = {"Bergamotwood_Version": "small:2"}
    assert engine.call("POST", PATH, json.encode(CHAT), **other)[0] == 404


def test_reorder_fault_swaps_chunks_and_break_fault_cuts_the_stream(start_fake):
    engine = start_engine(start_fake)
    engine.call("POST", "/fault", b'{"reorder": true}')
    _, body = engine.call("POST", PATH, json.encode(CHAT))
    assert [event["index"] for event in read_events(body)] == [1, 0, 3, 2, 5, 4, 6]
    engine.call("POST", "/fault", b'{"break_after": 2}')
    with raises(HTTPParseError):
        engine.call("POST", PATH, json.encode(CHAT))


def test_order_with_an_old_fencing_token_is_refused_if_checked(start_fake):
    engine = start_engine(start_fake)
    unchecked_engine = start_engine(start_fake, "--no-checks-fencing")
    new_order = b'{"order": "load", "version": "small:2", "term": 3, "index": 9}'
    old_order = b'{"order": "load", "version": "small:3", "term": 2, "index": 20}'
    assert engine.call("POST", "/v1/orders", new_order)[0] == 200
    assert engine.call("POST", "/v1/orders", old_order)[0] == 409
    assert unchecked_engine.call("POST", "/v1/orders", new_order)[0] == 200
    assert unchecked_engine.call("POST", "/v1/orders", old_order)[0] == 200


def test_poison_prompt_crashes_the_engine_and_leaves_an_unfinished_run(
    start_fake, tmp_path
):
    records = tmp_path / "e1.jsonl"
    engine = start_engine(start_fake, "--poison", "hemlock", "--records", str(records))
    poison = {**CHAT, "messages": [{"role": "user", "content": "hemlock tea"}]}
    engine.call("POST", PATH, json.encode(CHAT))
    with raises((HTTPParseError, OSError)):
        engine.call("POST", PATH, json.encode(poison))
    assert engine.process.wait(10) == 13
    ends = [run for run in read_records(records) if run.event is Event.END]
    assert [run.finished for run in ends] == [True]
    assert len(find_unfinished(read_records(records))) == 1


def test_engine_retries_weight_downloads_over_the_rate_limit(start_fake):
    store = start_fake("weights", "--rate", "50", "--burst", "1", "--seconds", "0")
    weights = f"127.0.0.1:{store.port}"
    engine = start_engine(start_fake, "--weights", weights)
    for index, version in enumerate(("small:2", "small:3")):
        order = {"order": "load", "version": version, "term": 1, "index": index}
        assert engine.call("POST", "/v1/orders", json.encode(order))[0] == 200
    assert store.call("GET", "/v1/weights/small:2")[0] in (200, 429)
    chat = {**CHAT, "model": "small:3"}
    assert engine.call("POST", PATH, json.encode(chat))[0] == 200


def test_rating_returns_the_quality_in_the_answer_within_its_rate_limit(start_fake):
    rating = start_fake("rating", "--noise", "0", "--burst", "1", "--rate", "0.001")
    request = {
        "request": "r1",
        "workspace": "w",
        "request_class": "c",
        "version": "small:1",
        "answer": "small:1 quality=0.750 amber",
    }
    status, body = rating.call("POST", "/v1/ratings", json.encode(request))
    assert (status, json.decode(body)) == (200, {"score": 0.75})
    assert rating.call("POST", "/v1/ratings", json.encode(request))[0] == 429
