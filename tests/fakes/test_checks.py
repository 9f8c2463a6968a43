from hashlib import sha256

from msgspec import json
from msgspec.structs import replace
from pytest import fixture, mark

from bergamotwood_core.states import Run
from bergamotwood_fakes.answer import compute_quality, make_answer
from bergamotwood_fakes.checks import check_promises
from bergamotwood_fakes.evidence import Evidence, PlannedStop, Sample, TicketSubmission
from bergamotwood_fakes.record import Event, Record
from bergamotwood_fakes.request import make_chat, make_payment
from bergamotwood_fakes.transcript import Attempt, Outcome, Transcript

VERSIONS = ("small:1", "small:2")


def make_ticket(number, time, withdrawn=(), allowed=VERSIONS):
    models = [{"id": version} for version in VERSIONS]
    for model in models:
        model["state"] = "withdrawn" if model["id"] in withdrawn else "serving"
    content = {
        "number": number,
        "models": [{"name": "small", "versions": models}],
        "workspaces": [
            {"name": "circles", "versions": list(allowed), "services": ["parcels"]}
        ],
    }
    return TicketSubmission(number, content, time, time, True)


def make_run(request, time, version="small:1", request_id="entry-1-7-1"):
    return Record(
        Event.START,
        time,
        "engine-1",
        1,
        1,
        request_id,
        version=version,
        mark=request.mark,
    )


def make_answered_transcript(request, time=100.0, session="", version="small:1"):
    quality = compute_quality(0.8, request.messages)
    text = "".join(make_answer(version, request.messages, quality))
    attempt = Attempt("entry-1", time, time + 1, Outcome.ANSWERED, 200, text=text)
    attempt.request_id = "entry-1-7-1"
    attempt.session = session
    return Transcript(request, [attempt], True)


@fixture
def chat():
    return make_chat("m1", "circles", "small", "hello", key="k1")


@fixture
def evidence(chat):
    bill = {"request": "entry-1-7-1", "workspace": "circles", "key": "k1"}
    return Evidence(
        transcripts=[make_answered_transcript(chat)],
        records=[make_run(chat, 100.1)],
        tickets=[make_ticket(1, 10.0)],
        bills=[bill],
        samples=[Sample(50.0, "entry-1", 1, 1, 0.1, False)],
        departures=[],
        kept_tickets={1: True},
    )


def list_violated_promises(evidence):
    return {violation.promise for violation in check_promises(evidence)}


def test_consistent_evidence_has_no_violation(evidence):
    assert check_promises(evidence) == []


def test_run_on_a_disallowed_version_is_a_violation(evidence, chat):
    evidence.records.append(make_run(chat, 100.2, "large:1"))
    assert list_violated_promises(evidence) == {"allowed version"}


@mark.parametrize(("time", "is_violation"), [(115.0, False), (117.0, True)])
def test_run_on_a_withdrawn_version_is_a_violation_after_the_lag(
    evidence, chat, time, is_violation
):
    evidence.tickets.append(make_ticket(2, 110.0, withdrawn=("small:1",)))
    evidence.samples.append(Sample(time, "entry-1", 1, 2, 0.1, False))
    evidence.records.append(make_run(chat, time))
    assert list_violated_promises(evidence) == (
        {"withdrawn version"} if is_violation else set()
    )


def test_session_answered_by_two_versions_is_a_violation(evidence, chat):
    other = make_chat("m2", "circles", "small", "again", key="k2")
    evidence.bills.append({"request": "x", "workspace": "circles", "key": "k2"})
    evidence.transcripts = [
        make_answered_transcript(chat, session="s"),
        make_answered_transcript(other, session="s", version="small:2"),
    ]
    assert list_violated_promises(evidence) == {"session version"}


@mark.parametrize("bills", [0, 2])
def test_answer_without_exactly_one_bill_is_a_violation(evidence, bills):
    evidence.bills = evidence.bills * bills
    assert list_violated_promises(evidence) == {"billed once"}


def test_unreadable_ledger_is_a_violation(evidence):
    evidence.bills = None
    assert list_violated_promises(evidence) == {"billed once"}


def test_truncated_answer_is_a_violation(evidence):
    attempt = evidence.transcripts[0].tries[0]
    attempt.text = attempt.text.rsplit(" ", 1)[0]
    assert list_violated_promises(evidence) == {"whole answer"}


def test_answer_to_another_request_is_a_violation(evidence):
    other = make_chat("m2", "circles", "small", "hello", key="k2")
    text = make_answered_transcript(other).tries[0].text
    evidence.transcripts[0].tries[0].text = text
    assert list_violated_promises(evidence) == {"whole answer"}


def test_not_run_refusal_of_a_request_that_ran_is_a_violation(evidence, chat):
    refused_attempt = Attempt(
        "entry-2", 100.0, 100.5, Outcome.REFUSED, 503, 1202, Run.NOT_RUN
    )
    evidence.transcripts[0].tries.insert(0, refused_attempt)
    assert list_violated_promises(evidence) == set()
    evidence.records.append(make_run(chat, 100.2, request_id="entry-2-7-9"))
    assert list_violated_promises(evidence) == {"not run"}


def test_payment_that_ran_twice_is_a_violation(evidence):
    payment = make_payment("p1", "circles", "parcels", "payments")
    answer = {"body": sha256(payment.body).hexdigest(), "path": "/payments"}
    attempt = Attempt("entry-1", 1.0, 2.0, Outcome.ANSWERED, 200)
    attempt.text = json.encode(answer).decode()
    evidence.transcripts.append(Transcript(payment, [attempt], True))
    bill = {"request": "y", "workspace": "circles", "key": payment.key}
    evidence.bills.append(bill)
    run = make_run(payment, 100.3, "parcels", "y")
    evidence.records.append(run)
    assert list_violated_promises(evidence) == set()
    evidence.records.append(replace(run, time=100.4))
    assert list_violated_promises(evidence) == {"at most once"}


def test_run_on_a_leaving_endpoint_is_a_violation(evidence, chat):
    evidence.departures = [PlannedStop("engine-1", 90.0, 120.0, 0)]
    assert list_violated_promises(evidence) == {"leaving endpoint"}


def test_request_broken_by_a_planned_stop_is_a_violation(evidence, chat):
    broken_attempt = Attempt("entry-1", 100.0, 101.0, Outcome.BROKEN)
    evidence.transcripts[0].tries.insert(0, broken_attempt)
    assert list_violated_promises(evidence) == set()
    evidence.departures = [PlannedStop("entry-1", 100.5, 105.0, 0)]
    assert list_violated_promises(evidence) == {"graceful shutdown"}


def test_entry_that_reverts_to_an_older_ticket_is_a_violation(evidence):
    evidence.tickets.append(make_ticket(2, 40.0))
    evidence.samples = [
        Sample(50.0, "entry-1", 1, 2, 0.1, False),
        Sample(51.0, "entry-1", 1, 1, 9.0, False),
    ]
    assert list_violated_promises(evidence) == {"configuration"}


def test_ticket_not_in_force_after_the_lag_is_a_violation(evidence):
    evidence.tickets.append(make_ticket(2, 40.0))
    old_sample = Sample(47.0, "entry-1", 1, 1, 0.1, False)
    evidence.samples = [replace(old_sample, time=45.0), replace(old_sample, age=9.0)]
    assert list_violated_promises(evidence) == set()
    evidence.samples.append(old_sample)
    assert list_violated_promises(evidence) == {"configuration"}


def test_lost_or_twice_accepted_ticket_is_a_violation(evidence):
    evidence.kept_tickets[1] = False
    assert list_violated_promises(evidence) == {"configuration"}
    evidence.kept_tickets[1] = True
    evidence.tickets.append(make_ticket(1, 10.0, allowed=("small:1",)))
    assert list_violated_promises(evidence) == {"configuration"}
