from hashlib import sha256

from msgspec import json
from msgspec.structs import replace
from pytest import fixture, mark

from bergamotwood_core.states import Run
from bergamotwood_fakes.answer import grade_answer, make_answer
from bergamotwood_fakes.checks import check_promises
from bergamotwood_fakes.evidence import Departure, Evidence, Sample, TicketTry
from bergamotwood_fakes.record import Event, Record
from bergamotwood_fakes.request import make_chat, make_payment
from bergamotwood_fakes.transcript import Outcome, Transcript, Try

VERSIONS = ("small:1", "small:2")


def make_ticket(number, time, withdrawn=(), allowed=VERSIONS):
    models = [{"id": one} for one in VERSIONS]
    for model in models:
        model["state"] = "withdrawn" if model["id"] in withdrawn else "serving"
    content = {
        "number": number,
        "models": [{"name": "small", "versions": models}],
        "workspaces": [
            {"name": "circles", "versions": list(allowed), "services": ["parcels"]}
        ],
    }
    return TicketTry(number, content, time, time, True)


def make_run(request, time, version="small:1", id="entry-1-7-1"):
    return Record(
        Event.START, time, "engine-1", 1, 1, id, version=version, mark=request.mark
    )


def make_answered(request, time=100.0, session="", version="small:1"):
    grade = grade_answer(0.8, request.messages)
    text = "".join(make_answer(version, request.messages, grade))
    one = Try("entry-1", time, time + 1, Outcome.ANSWERED, 200, text=text)
    one.request_id = "entry-1-7-1"
    one.session = session
    return Transcript(request, [one], True)


@fixture
def chat():
    return make_chat("m1", "circles", "small", "hello", key="k1")


@fixture
def evidence(chat):
    bill = {"request": "entry-1-7-1", "workspace": "circles", "key": "k1"}
    return Evidence(
        transcripts=[make_answered(chat)],
        records=[make_run(chat, 100.1)],
        tickets=[make_ticket(1, 10.0)],
        bills=[bill],
        samples=[Sample(50.0, "entry-1", 1, 1, 0.1, False)],
        departures=[],
        kept_tickets={1: True},
    )


def find_promises(evidence):
    return {violation.promise for violation in check_promises(evidence)}


def test_sound_evidence_has_no_violation(evidence):
    assert check_promises(evidence) == []


def test_version_that_is_not_allowed(evidence, chat):
    evidence.records.append(make_run(chat, 100.2, "large:1"))
    assert find_promises(evidence) == {"allowed version"}


@mark.parametrize(("time", "expected"), [(115.0, set()), (117.0, {1})])
def test_withdrawn_version_within_and_after_the_lag(evidence, chat, time, expected):
    evidence.tickets.append(make_ticket(2, 110.0, withdrawn=("small:1",)))
    evidence.samples.append(Sample(time, "entry-1", 1, 2, 0.1, False))
    evidence.records.append(make_run(chat, time))
    assert find_promises(evidence) == ({"withdrawn version"} if expected else set())


def test_session_that_changes_its_version(evidence, chat):
    other = make_chat("m2", "circles", "small", "again", key="k2")
    evidence.bills.append({"request": "x", "workspace": "circles", "key": "k2"})
    evidence.transcripts = [
        make_answered(chat, session="s"),
        make_answered(other, session="s", version="small:2"),
    ]
    assert find_promises(evidence) == {"session version"}


@mark.parametrize("bills", [0, 2])
def test_answer_with_no_bill_or_two(evidence, bills):
    evidence.bills = evidence.bills * bills
    assert find_promises(evidence) == {"billed once"}


def test_ledger_that_cannot_be_read(evidence):
    evidence.bills = None
    assert find_promises(evidence) == {"billed once"}


def test_answer_that_is_short(evidence):
    one = evidence.transcripts[0].tries[0]
    one.text = one.text.rsplit(" ", 1)[0]
    assert find_promises(evidence) == {"whole answer"}


def test_answer_of_another_request(evidence):
    other = make_chat("m2", "circles", "small", "hello", key="k2")
    text = make_answered(other).tries[0].text
    evidence.transcripts[0].tries[0].text = text
    assert find_promises(evidence) == {"whole answer"}


def test_refusal_of_a_request_that_ran(evidence, chat):
    refused = Try("entry-2", 100.0, 100.5, Outcome.REFUSED, 503, 1202, Run.NOT_RUN)
    evidence.transcripts[0].tries.insert(0, refused)
    assert find_promises(evidence) == set()
    evidence.records.append(make_run(chat, 100.2, id="entry-2-7-9"))
    assert find_promises(evidence) == {"not run"}


def test_payment_that_ran_twice(evidence):
    payment = make_payment("p1", "circles", "parcels", "payments")
    answer = {"body": sha256(payment.body).hexdigest(), "path": "/payments"}
    one = Try("entry-1", 1.0, 2.0, Outcome.ANSWERED, 200)
    one.text = json.encode(answer).decode()
    evidence.transcripts.append(Transcript(payment, [one], True))
    bill = {"request": "y", "workspace": "circles", "key": payment.key}
    evidence.bills.append(bill)
    run = make_run(payment, 100.3, "parcels", "y")
    evidence.records.append(run)
    assert find_promises(evidence) == set()
    evidence.records.append(replace(run, time=100.4))
    assert find_promises(evidence) == {"at most once"}


def test_work_for_an_endpoint_that_left(evidence, chat):
    evidence.departures = [Departure("engine-1", 90.0, 120.0, 0)]
    assert find_promises(evidence) == {"leaving endpoint"}


def test_planned_stop_that_cuts_or_fails(evidence, chat):
    cut = Try("entry-1", 100.0, 101.0, Outcome.BROKEN)
    evidence.transcripts[0].tries.insert(0, cut)
    assert find_promises(evidence) == set()
    evidence.departures = [Departure("entry-1", 100.5, 105.0, 0)]
    assert find_promises(evidence) == {"graceful shutdown"}


def test_configuration_that_goes_back(evidence):
    evidence.tickets.append(make_ticket(2, 40.0))
    evidence.samples = [
        Sample(50.0, "entry-1", 1, 2, 0.1, False),
        Sample(51.0, "entry-1", 1, 1, 9.0, False),
    ]
    assert find_promises(evidence) == {"configuration"}


def test_configuration_that_comes_late(evidence):
    evidence.tickets.append(make_ticket(2, 40.0))
    stale = Sample(47.0, "entry-1", 1, 1, 0.1, False)
    evidence.samples = [replace(stale, time=45.0), replace(stale, age=9.0)]
    assert find_promises(evidence) == set()
    evidence.samples.append(stale)
    assert find_promises(evidence) == {"configuration"}


def test_lost_or_doubly_accepted_ticket(evidence):
    evidence.kept_tickets[1] = False
    assert find_promises(evidence) == {"configuration"}
    evidence.kept_tickets[1] = True
    evidence.tickets.append(make_ticket(1, 10.0, allowed=("small:1",)))
    assert find_promises(evidence) == {"configuration"}
