from itertools import count

import pytest

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.crashcauses import choose_parts
from bergamotwood_core.gateway.crashes import (
    MAX_INCIDENTS,
    MAX_QUESTIONS,
    MAX_REQUESTS,
    QUESTION_SECONDS,
    CrashEvidence,
)
from bergamotwood_core.gateway.suspects import (
    Cause,
    CauseKind,
    CauseReport,
    EndpointCrash,
    ExecutedRequest,
)
from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    Incarnation,
    PromptPartId,
    ServiceName,
)

SERVICE = ServiceName("models")
NONE = frozenset()
numbers = count()


def make_part(name):
    return Cause(CauseKind.PROMPT_PART, SERVICE, PromptPartId(name))


def make_request(*parts, fingerprint=None, has_begun=True):
    return ExecutedRequest(
        Fingerprint(fingerprint or f"f{next(numbers)}"),
        tuple(map(PromptPartId, parts)),
        has_begun,
    )


def crash(evidence, at, *requests):
    """Report the end of another incarnation at a time."""
    report = EndpointCrash(
        EndpointId(f"e{next(numbers)}"), Incarnation(1), SERVICE, 0.0, requests
    )
    evidence.apply_report([report], (), Seconds(at))
    evidence.list_questions(NONE, Seconds(at))


def succeed(evidence, part, at):
    evidence.apply_report((), [CauseReport(make_part(part), 0.0)], Seconds(at))


def find(evidence, at, suspended=NONE):
    """Return the ids of the causes named once entries were asked about them."""
    evidence.list_questions(suspended, Seconds(at))
    now = Seconds(at + QUESTION_SECONDS + 0.01)
    return [cause.id for cause in evidence.find_causes(suspended, now)]


def test_the_part_that_recurs_and_never_succeeds_is_named():
    evidence = CrashEvidence()
    for at in range(3):
        succeed(evidence, "first", at + 0.1)
        assert find(evidence, at) == []
        crash(
            evidence,
            at + 0.5,
            make_request("first", "bad"),
            make_request("first", f"topic-{at}"),
        )
    assert find(evidence, 3) == ["bad"]
    # Its entries were asked whether it succeeds before it was named.
    assert make_part("bad") in evidence.list_questions(NONE, Seconds(3.0))


def test_a_part_is_not_named_before_entries_were_asked():
    evidence = CrashEvidence()
    for at in (0.0, 0.2, 0.4):
        crash(evidence, at, make_request("bad"))
    assert evidence.find_causes(NONE, Seconds(0.5)) == []
    assert evidence.find_causes(NONE, Seconds(0.5 + QUESTION_SECONDS)) != []


def test_a_part_with_a_success_since_is_not_named():
    evidence = CrashEvidence()
    for at in range(3):
        crash(evidence, at, make_request("sound"))
    succeed(evidence, "sound", 2.5)
    assert find(evidence, 3) == []


def test_endpoints_that_end_together_count_once():
    evidence = CrashEvidence()
    for at in range(9):
        crash(evidence, 1.0 + 0.001 * at, make_request("sound", "rare"))
    assert find(evidence, 1.1) == []


def test_a_part_of_many_prompts_is_not_named_while_nothing_is_served():
    evidence = CrashEvidence()
    succeed(evidence, "first", 0.5)
    for at in range(1, 5):
        crash(evidence, at, make_request("first", "bad"), make_request("first"))
    assert find(evidence, 5) == ["bad"]
    suspended = frozenset([make_part("bad")])
    assert find(evidence, 6, suspended) == []


def test_requests_that_were_answered_count_before_those_that_waited():
    evidence = CrashEvidence()
    for at in range(3):
        crash(
            evidence,
            at,
            make_request("first", "bad"),
            make_request("first", "waiting", has_begun=False),
        )
        succeed(evidence, "first", at + 0.1)
    assert find(evidence, 3) == ["bad"]
    # The head of an answer may be lost with the connection.
    lost = CrashEvidence()
    for at in range(5):
        crash(lost, at, make_request("bad", has_begun=False))
    assert find(lost, 5) == ["bad"]


def test_a_request_that_is_resent_is_named_and_not_a_part_that_only_it_has():
    evidence = CrashEvidence()
    for at in range(3):
        succeed(evidence, "first", at + 0.1)
        request = make_request("first", "own", fingerprint="again")
        crash(evidence, at + 0.5, request)
    assert find(evidence, 3) == ["again"]


def test_a_sound_request_that_is_resent_to_crashing_endpoints_is_not_named():
    evidence = CrashEvidence()
    for at in range(3):
        sound = make_request("first", "rare", fingerprint="sound")
        crash(evidence, at, make_request("bad"), sound)
        succeed(evidence, "first", at + 0.1)
    assert find(evidence, 3) == ["bad"]


def test_parts_that_always_come_together_are_named_together():
    evidence = CrashEvidence()
    for at in range(3):
        crash(evidence, at, make_request("x", "y"))
    assert find(evidence, 3) == []
    crash(evidence, 4, make_request("x", "y"))
    assert sorted(find(evidence, 4)) == ["x", "y"]


def test_a_part_that_was_served_before_is_named_later_and_alone():
    old, new = make_part("old"), make_part("new")
    served = frozenset([old])
    assert choose_parts({old: 4}, served) == []
    assert choose_parts({old: 5}, served) == [old]
    assert choose_parts({old: 5, new: 5}, served) == [new]
    assert choose_parts({old: 5, make_part("other"): 5}, {old, make_part("other")}) == (
        []
    )


def test_relayed_evidence_adds_up_with_own():
    one, two = CrashEvidence(), CrashEvidence()
    for at in range(3):
        crash((one, two, one)[at], at, make_request("bad"))
    two.apply_relay(
        one.list_own_crashes(Seconds(2.5)), one.list_own_successes(Seconds(2.5)), 2.5
    )
    assert find(two, 3) == ["bad"]
    # What was relayed is not relayed again.
    assert len(two.list_own_crashes(Seconds(2.5))) == 1
    assert all(not end.requests for end in two.list_ends(Seconds(2.5)))


def test_evidence_is_bounded():
    evidence = CrashEvidence()
    for at in range(3 * MAX_INCIDENTS):
        requests = [make_request(f"p{at}-{i}") for i in range(2 * MAX_REQUESTS)]
        crash(evidence, at * 0.01, *requests[: 2 if at else None])
    crashes = evidence.list_own_crashes(Seconds(0.01 * 3 * MAX_INCIDENTS))
    assert len(crashes) <= MAX_INCIDENTS
    assert all(len(item.requests) <= MAX_REQUESTS for item in crashes)
    questions = evidence.list_questions(NONE, Seconds(4.0))
    assert len(questions) <= MAX_QUESTIONS


def test_a_part_of_many_prompts_is_not_named_when_the_fleet_has_just_started():
    """Answers count as successes only after some time."""
    evidence = CrashEvidence()
    for at in range(5):
        running = ExecutedRequest(
            Fingerprint(f"old-{at}"), (PromptPartId("first"),), True, 0.7
        )
        crash(evidence, 0.3 * at, make_request("first", "bad"), running)
    assert find(evidence, 1.5) == ["bad"]
    complete = CrashEvidence()
    for at in range(5):
        crash(complete, 0.3 * at, make_request("first", "bad"))
    report = CauseReport(make_part("first"), 0.0, is_certain=False)
    complete.apply_report((), [report], Seconds(1.5))
    assert find(complete, 1.5) == ["bad"]


def test_a_served_part_is_not_named_while_a_stronger_one_is_asked_about():
    """Guards against suspending the first part of all prompts of a route."""
    evidence = CrashEvidence()
    succeed(evidence, "first", 0.0)
    for at in range(5):
        crash(evidence, 1.0 + 0.1 * at, make_request("first"))
    # The part is seen at six ends within less time than it is asked about.
    for at in range(6):
        crash(evidence, 1.7 + 0.1 * at, make_request("bad"), make_request("first"))
    assert evidence.find_causes(NONE, Seconds(2.3)) == []
    assert find(evidence, 2.3) == ["bad"]


def test_nothing_else_is_named_for_ends_of_a_part_that_is_served_again():
    """Requests that the part crashed would be refused though they work by now."""
    evidence = CrashEvidence()
    for at in range(5):
        crash(
            evidence,
            at,
            make_request("bad", fingerprint="resent"),
            make_request("bad"),
            make_request("topic"),
        )
    suspended = frozenset([make_part("bad")])
    assert find(evidence, 5, suspended) == []
    succeed(evidence, "bad", 9.0)
    assert find(evidence, 10) == []
    for at in range(11, 15):
        crash(evidence, at, make_request("other"))
    assert find(evidence, 15) == ["other"]


# A plain request that crashes endpoints was never named beside answers that had begun.
@pytest.mark.parametrize("prompt", [(), ("first", "topic")])
def test_a_plain_request_is_named_beside_others_whose_answers_have_begun(prompt):
    evidence = CrashEvidence()
    for at in range(3):
        succeed(evidence, "first", at - 0.1)
        sound = [make_request(*prompt[:1], *(f"{part}-{at}" for part in prompt[1:]))]
        crash(
            evidence,
            at,
            make_request(fingerprint="bad", has_begun=False),
            *sound,
            make_request(fingerprint=f"waits-{at}", has_begun=False),
        )
    assert find(evidence, 3) == ["bad"]


# Connections that broke at endpoints which lived on had sound requests suspended.
@pytest.mark.parametrize(("heard_after", "named"), [(2.0, []), (1.0, ["sound"])])
def test_an_endpoint_that_is_heard_of_later_did_not_end(heard_after, named):
    heard = {}
    evidence = CrashEvidence(heard.get)
    for at in range(3):
        crash(evidence, at, make_request(fingerprint="sound", has_begun=False))
    for end in evidence.list_own_crashes(Seconds(2.0)):
        at = Seconds(2.0 - end.age_seconds + heard_after)
        heard[end.endpoint, end.incarnation] = at
    assert find(evidence, 3.0) == named


def test_an_endpoint_that_refuses_connections_has_ended_whatever_is_heard_late():
    evidence = CrashEvidence(lambda key: Seconds(100.0))
    for at in range(3):
        end = EndpointCrash(
            EndpointId(f"e{at}"),
            Incarnation(1),
            SERVICE,
            0.0,
            (make_request(fingerprint="bad", has_begun=False),),
            is_certain=True,
        )
        evidence.apply_report([end], (), Seconds(at))
    assert find(evidence, 3.0) == ["bad"]


def test_a_plain_request_that_is_served_meanwhile_is_not_named():
    evidence = CrashEvidence()
    cause = Cause(CauseKind.REQUEST, SERVICE, Fingerprint("lookup"))
    for at in range(3):
        crash(
            evidence,
            at,
            make_request(fingerprint="lookup", has_begun=False),
            make_request(),
        )
        evidence.apply_report((), [CauseReport(cause, 0.0)], Seconds(at + 0.1))
    assert find(evidence, 3) == []


# A prompt that crashes endpoints before it is answered had no weight beside streams.
@pytest.mark.parametrize("is_part", [False, True])
def test_what_waits_at_every_end_is_named_beside_answers_that_have_begun(is_part):
    evidence = CrashEvidence()
    for at in range(5):
        fingerprint = f"bad-{at}" if is_part else "again"
        crash(
            evidence,
            at,
            make_request("first", "bad", fingerprint=fingerprint, has_begun=False),
            make_request("first", f"topic-{at}"),
            make_request("first", f"topic-{at + 1}", has_begun=False),
        )
        succeed(evidence, "first", at + 0.1)
    assert find(evidence, 5) == ["bad" if is_part else "again"]


def test_what_a_suspended_request_took_along_is_not_named():
    evidence = CrashEvidence()
    for at in range(6):
        crash(
            evidence,
            at,
            make_request("first", "own", fingerprint="again", has_begun=False),
            make_request("first", "rare", fingerprint="sound", has_begun=False),
            make_request("first", "rare", has_begun=at < 3),
        )
        succeed(evidence, "first", at + 0.1)
        if at == 2:
            succeed(evidence, "rare", at + 0.1)
    cause = Cause(CauseKind.REQUEST, SERVICE, Fingerprint("again"))
    assert cause.id in find(evidence, 6)
    suspended = frozenset([cause])
    assert find(evidence, 7, suspended) == []
    # It explains those ends also once it is served again.
    evidence.apply_report((), [CauseReport(cause, 0.0)], Seconds(9.0))
    succeed(evidence, "own", 9.0)
    assert find(evidence, 10) == []


def test_a_common_part_that_was_served_is_not_named_for_ends_in_an_outage():
    evidence = CrashEvidence()
    succeed(evidence, "first", 0.0)
    for at in range(1, 7):
        crash(evidence, 0.1 * at, *(make_request("first", f"t{at}") for _ in range(2)))
    assert find(evidence, 0.7) == []


# Three crashes by one request within 50 ms counted as one.
@pytest.mark.parametrize("is_part", [False, True])
def test_ends_of_a_request_that_is_resent_count_also_when_they_are_close(is_part):
    evidence = CrashEvidence()
    for turn in range(2):
        fingerprint = f"bad-{turn}" if is_part else "again"
        for number in range(3):
            bad = ExecutedRequest(
                Fingerprint(fingerprint),
                (PromptPartId("first"), PromptPartId("bad")),
                is_resent=number > 0,
            )
            sound = make_request("first", f"topic-{turn}-{number}")
            crash(evidence, turn + 0.01 * number, bad, sound)
        succeed(evidence, "first", turn + 0.1)
    assert find(evidence, 2) == ["bad" if is_part else "again"]


def test_questions_are_not_weighed_anew_with_every_poll():
    evidence = CrashEvidence()
    for at in range(3):
        crash(evidence, at, make_request("bad"))
    asked = evidence.list_questions(NONE, Seconds(3.0))
    crash(evidence, 3.01, make_request("bad", "other"), make_request("other"))
    assert evidence.list_questions(NONE, Seconds(3.02)) == asked
    suspended = frozenset([make_part("new")])
    assert suspended <= set(evidence.list_questions(suspended, Seconds(3.03)))
