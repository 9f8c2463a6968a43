import pytest

from bergamotwood_core.errors import RequestError
from bergamotwood_core.gateway.call import ForwardMetadata, PromptPart
from bergamotwood_core.ids import EndpointId, ModelName, WorkspaceId
from bergamotwood_platform.headers import (
    read_answer,
    read_call,
    read_id,
    write_forward,
)

HEADERS = [
    (b"host", b"a.example"),
    (b"x-request-id", b"9c41"),
    (b"x-deadline-ms", b"1500"),
    (b"x-key", b"secret"),
    (b"session", b"s-1"),
    (b"x-model", b"*"),
    (b"x-token-usage", b"1460,80"),
    (b"x-prefix-hash", b"5c1e07a2:800,91bd3f06:410"),
    (b"last-event-id", b"12"),
    (b"x-tenant", b"forged"),
    (b"x-retention", b"forged"),
    (b"kv-from", b"forged"),
    (b"accept", b"text/event-stream"),
]


def test_a_callers_fields_become_terms():
    terms = read_call(HEADERS)
    assert terms.request == read_id(HEADERS) == "9c41"
    assert terms.patience_seconds == 1.5
    assert terms.key == "secret"
    assert terms.session == "s-1"
    assert terms.leaves_model_open
    assert terms.model == ""
    assert (terms.prompt_tokens, terms.output_tokens) == (1460, 80)
    assert terms.prompt == (PromptPart("5c1e07a2", 800), PromptPart("91bd3f06", 410))
    assert terms.last_event == "12"


@pytest.mark.parametrize("value", [b"soon", b"-1", b"nan", b"inf", b""])
def test_a_deadline_that_is_no_time_is_refused(value):
    with pytest.raises(RequestError, match="deadline"):
        read_call([(b"x-deadline-ms", value)])


def test_an_endpoint_gets_the_routers_fields_and_never_the_callers_own():
    terms = ForwardMetadata(
        endpoint=EndpointId("i-1"),
        patience_seconds=0.75,
        workspace=WorkspaceId("circle"),
        model=ModelName("small"),
        urgency=2,
        last_event="14",
    )
    fields = write_forward(HEADERS, terms)
    names = [name for name, _ in fields]
    held = dict(fields)
    assert len(names) == len(set(names))
    assert held[b"x-deadline-ms"] == b"750"
    assert held[b"x-expect-instance"] == b"i-1"
    assert held[b"x-tenant"] == b"circle"
    assert held[b"x-model"] == b"small"
    assert held[b"x-request-priority"] == b"2"
    assert held[b"last-event-id"] == b"14"
    assert held[b"x-request-id"] == b"9c41"
    assert held[b"x-prefix-hash"] == dict(HEADERS)[b"x-prefix-hash"]
    assert not {b"x-key", b"x-retention", b"kv-from"} & set(names)


def test_a_callers_own_model_and_absence_of_terms_are_kept():
    fields = write_forward(
        [(b"x-model", b"large"), (b"x-tenant", b"forged")],
        ForwardMetadata(EndpointId("i-1"), 1.0),
    )
    assert dict(fields) == {
        b"x-model": b"large",
        b"x-deadline-ms": b"1000",
        b"x-expect-instance": b"i-1",
    }


def test_an_answers_fields_become_terms():
    signed = read_answer([(b"x-request-id", b"9"), (b"x-server-signature", b"3e")])
    assert (signed.request, signed.is_signed, signed.is_not_run) == ("9", True, False)
    refused = read_answer([(b"x-not-executed", b"1"), (b"x-confidence", b"40")])
    assert (refused.is_signed, refused.is_not_run) == (False, True)
    assert refused.confidence == 0.4
    assert read_answer([(b"x-confidence", b"high")]).confidence is None
