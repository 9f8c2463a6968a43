from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.suspects import (
    CONFIRMATION_SECONDS,
    LOCAL_SUSPENSION_SECONDS,
    MAX_ANSWERS,
    MAX_ENDS,
    MAX_SUCCESSES,
    REPORT_SECONDS,
    SURVIVAL_SECONDS,
    Cause,
    CauseKind,
    CauseReport,
    EndpointCrash,
    ExecutedRequest,
    SuspectTable,
)
from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    Incarnation,
    PromptPartId,
    ServiceName,
)

SERVICE = ServiceName("models")
E1 = (EndpointId("e-1"), Incarnation(1))
E2 = (EndpointId("e-2"), Incarnation(1))
CONCLUDED = SURVIVAL_SECONDS + CONFIRMATION_SECONDS


def make_request(fingerprint="f", parts=("a", "b"), has_begun=True):
    return ExecutedRequest(
        Fingerprint(fingerprint), tuple(map(PromptPartId, parts)), has_begun
    )


def make_part(name):
    return Cause(CauseKind.PROMPT_PART, SERVICE, PromptPartId(name))


def make_cause(fingerprint="f"):
    return Cause(CauseKind.REQUEST, SERVICE, Fingerprint(fingerprint))


def answer(table, key, now, **changes):
    return table.record_answer(key, SERVICE, make_request(**changes), Seconds(now))


def list_reported(table, now):
    return {
        crash.endpoint: [request.fingerprint for request in crash.requests]
        for crash in table.list_crashes(Seconds(now))
    }


def test_requests_that_were_just_answered_are_reported_with_the_end():
    table = SuspectTable()
    answer(table, E1, 1.0, fingerprint="long")
    answer(table, E1, 4.0, fingerprint="recent")
    answer(table, E2, 4.0, fingerprint="elsewhere")
    table.record_crash(E1, SERVICE, make_request("recent"), Seconds(4.2))
    assert list_reported(table, 4.3) == {"e-1": ["recent"]}
    assert list_reported(table, 4.2 + REPORT_SECONDS + 0.1) == {}


def test_an_answer_that_was_cut_off_is_suspected_and_no_success():
    table = SuspectTable()
    # The gateway leaves for a larger model; the endpoint ends a little later.
    answer(table, E1, 1.0).is_conclusive = False
    table.record_end(E1, SERVICE, Seconds(1.1))
    assert list_reported(table, 1.2) == {"e-1": ["f"]}
    answer(table, E2, 2.0, parts=["c"]).is_conclusive = False
    assert table.list_successes([make_part("c")], Seconds(2.0 + CONCLUDED)) == ()


def test_an_end_that_another_entry_noticed_makes_own_answers_suspects():
    table = SuspectTable()
    answer(table, E1, 1.0)
    assert table.list_crashes(Seconds(2.0)) == ()
    noticed = EndpointCrash(*E1, SERVICE, age_seconds=0.8)
    table.apply_ends([noticed], Seconds(2.0))
    assert list_reported(table, 2.0) == {"e-1": ["f"]}
    assert table.list_successes([make_part("a")], Seconds(1.0 + CONCLUDED)) == ()
    # The end alone is known to others already.
    table.apply_ends([EndpointCrash(*E2, SERVICE, 0.1)], Seconds(2.0))
    assert "e-2" not in list_reported(table, 2.0)


def test_an_answer_that_survives_is_a_success_of_its_request_and_parts():
    table = SuspectTable()
    answer(table, E1, 1.0)
    causes = [make_part("a"), make_part("b"), make_cause(), make_part("other")]
    assert table.list_successes(causes, Seconds(1.0 + SURVIVAL_SECONDS)) == ()
    successes = table.list_successes(causes, Seconds(1.0 + CONCLUDED))
    assert [success.cause for success in successes] == causes[:3]
    assert {success.age_seconds for success in successes} == {CONFIRMATION_SECONDS}


def test_a_request_that_waited_for_its_answer_is_reported_as_such():
    table = SuspectTable()
    table.record_crash(E1, SERVICE, make_request(has_begun=False), Seconds(1.0))
    (crash,) = table.list_crashes(Seconds(1.0))
    assert [request.has_begun for request in crash.requests] == [False]


def test_an_entry_refuses_a_request_after_three_crashes_by_itself():
    table = SuspectTable()
    plain = make_request(parts=(), has_begun=False)
    for at, key in enumerate((E1, E1, E1, E2), start=1):
        table.record_crash(key, SERVICE, plain, Seconds(at))
    # Repeated crashes of one incarnation count once.
    assert table.measure_suspension(make_cause(), Seconds(5.0)) == 0.0
    third = (EndpointId("e-1"), Incarnation(2))
    table.record_crash(third, SERVICE, plain, Seconds(6.0))
    left = table.measure_suspension(make_cause(), Seconds(7.0))
    assert left == LOCAL_SUSPENSION_SECONDS - 1.0
    assert table.measure_suspension(make_cause("other"), Seconds(7.0)) == 0.0
    after = Seconds(6.1 + LOCAL_SUSPENSION_SECONDS)
    assert table.measure_suspension(make_cause(), after) == 0.0


# An entry refused a sound request after its connections broke at living endpoints.
def test_an_endpoint_that_answers_later_was_not_crashed():
    table = SuspectTable()
    plain = make_request(parts=(), has_begun=False)
    for at, key in enumerate((E1, E2, (EndpointId("e-3"), Incarnation(1)))):
        table.record_crash(key, SERVICE, plain, Seconds(at))
    # Its head may have arrived before the end was noticed.
    table.record_answer(E2, SERVICE, make_request("other"), Seconds(1.5))
    assert table.measure_suspension(make_cause(), Seconds(2.5)) > 0.0
    table.record_answer(E2, SERVICE, make_request("other"), Seconds(2.5))
    assert table.measure_suspension(make_cause(), Seconds(2.5)) == 0.0


def test_a_request_with_a_prompt_that_waited_at_three_ends_is_not_refused():
    table = SuspectTable()
    for at in range(5):
        key = (EndpointId(f"e-{at}"), Incarnation(1))
        waiting = make_request(has_begun=False)
        table.record_crash(key, SERVICE, waiting, Seconds(at))
    assert table.measure_suspension(make_cause(), Seconds(5.0)) == 0.0


def test_a_success_clears_a_request_of_earlier_crashes():
    table = SuspectTable()
    plain = make_request(parts=(), has_begun=False)
    for at in range(3):
        key = (EndpointId(f"e-{at}"), Incarnation(1))
        table.record_crash(key, SERVICE, plain, Seconds(at))
    answer(table, E1, 10.0, parts=())
    table.list_crashes(Seconds(10.0 + CONCLUDED))
    assert table.measure_suspension(make_cause(), Seconds(15.0)) == 0.0


def test_memory_is_bounded_under_a_flood_of_parts_that_never_recur():
    table = SuspectTable()
    for at in range(MAX_ANSWERS + MAX_SUCCESSES):
        now = at * 0.01
        answer(table, E1, now, fingerprint=f"f{at}", parts=[f"p{at}", f"r{at}"])
        table.record_end((EndpointId(f"x{at}"), Incarnation(1)), SERVICE, Seconds(now))
        table.record_refusal(make_part(f"p{at}"), Seconds(now))
        if at % 100 == 0:
            assert len(table.list_crashes(Seconds(now))) <= MAX_ENDS
    causes = [make_part(f"p{at}") for at in range(MAX_ANSWERS + MAX_SUCCESSES)]
    last = Seconds(0.01 * len(causes) + CONCLUDED)
    assert len(table.list_successes(causes, last)) <= MAX_SUCCESSES


def test_a_success_at_any_entry_ends_the_suspicion_of_a_plain_request():
    """Guards against refusing a request that others send with success."""
    plain = make_request(parts=(), has_begun=False)
    for clear in ("own", "other"):
        table = SuspectTable()
        for at in range(3):
            key = (EndpointId(f"e-{at}"), Incarnation(1))
            table.record_crash(key, SERVICE, plain, Seconds(at))
        assert table.measure_suspension(make_cause(), Seconds(3.0)) > 0.0
        if clear == "own":
            answer(table, E2, 3.0, parts=()).is_complete = True
        else:
            report = CauseReport(make_cause(), age_seconds=0.5)
            table.apply_successes([report], Seconds(3.5))
        assert table.measure_suspension(make_cause(), Seconds(4.0)) == 0.0
