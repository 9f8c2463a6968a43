from dataclasses import replace

import pytest
from bergamotwood_soak.checks import (
    Bounds,
    check_observations,
    find_memory_excess,
    find_missing_recovery,
)
from bergamotwood_soak.history import History
from bergamotwood_soak.observation import (
    Attempt,
    ColdArrival,
    Configuration,
    Departure,
    Disturbance,
    Evacuation,
    Kind,
    MemoryPeak,
    Observations,
    Read,
    Run,
    Upload,
)

BOUNDS = Bounds()
ALL_PREFIXES = frozenset(("/once/", "/many/", "/stream/"))
FIRST = Configuration(1, frozenset(("k",)), ALL_PREFIXES, 0.0, 0.1)


def make_attempt(**changes):
    values = {
        "request": "q",
        "kind": Kind.ONCE,
        "path": "/once/pay",
        "body": b"x",
        "key": "k",
        "workspace": "w",
        "entry": "entry-1",
        "sent_at": 50.0,
        "ended_at": 50.1,
        "status": 200,
        "answer": b"made",
        "is_whole": True,
    }
    return Attempt(**{**values, **changes})


def make_run(**changes):
    values = {
        "request": "q",
        "path": "/once/pay",
        "body": b"x",
        "workspace": "w",
        "endpoint": "e",
        "at": 50.05,
        "answer": b"made",
    }
    return Run(**{**values, **changes})


def check(attempts=None, runs=None, **changes):
    """Return the rules that the observations violate."""
    observations = Observations(
        attempts=[make_attempt()] if attempts is None else attempts,
        runs=[make_run()] if runs is None else runs,
        configurations=[FIRST],
        reads=[Read(60.0, 1)],
        faults_ended_at=30.0,
    )
    return [
        item.rule
        for item in check_observations(replace(observations, **changes), BOUNDS)
    ]


def test_request_served_once_violates_no_rule():
    assert check() == []


def test_second_run_of_non_idempotent_request_is_reported():
    twice = [make_run(), make_run(endpoint="f")]
    assert check(runs=twice) == ["run twice"]
    repeated = make_attempt(kind=Kind.REPEATABLE)
    assert check([repeated], twice) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusal_of_request_that_ran_is_reported(status):
    refused = make_attempt(status=status, answer=b"no", sent_at=20.0, ended_at=20.1)
    assert "refused and run" in check([refused])
    assert "refused and run" not in check([refused], runs=[])


def test_answer_that_no_endpoint_made_is_reported():
    assert check([make_attempt(answer=b"other")]) == ["foreign answer"]


@pytest.mark.parametrize(
    ("numbers", "is_whole"),
    [((1, 2, 3), True), ((1, 3), False), ((1, 2, 2, 3), False), ((1, 2), False)],
)
def test_complete_stream_needs_every_event_once_and_in_order(numbers, is_whole):
    answer = "".join(f"id: {number}\ndata: q {number}\n\n" for number in numbers)
    stream = make_attempt(
        kind=Kind.STREAM, path="/stream/s", body=b"3", answer=answer.encode()
    )
    run = make_run(path="/stream/s", body=b"3", answer=b"")
    assert (check([stream], [run]) == []) is is_whole


@pytest.mark.parametrize(
    "change",
    [{"body": b"y"}, {"path": "/once/x"}, {"workspace": "v"}, {"has_caller_key": True}],
)
def test_request_changed_on_the_way_is_reported(change):
    assert check(runs=[make_run(), make_run(**change)])[-1] == "changed request"


def test_run_of_request_that_no_caller_sent_is_reported():
    assert check(runs=[make_run(), make_run(request="r")]) == ["unasked run"]


def test_revoked_key_is_reported_after_the_revocation_bound():
    revoking = Configuration(5, frozenset(("j",)), ALL_PREFIXES, 44.0, 44.5)
    reads = [Read(60.0, 5)]
    assert check(configurations=[FIRST, revoking], reads=reads) == ["revoked key"]
    late = replace(revoking, acked_at=45.5)
    assert check(configurations=[FIRST, late], reads=reads) == []


def test_key_that_a_newer_configuration_restores_may_be_used():
    revoking = Configuration(5, frozenset(("j",)), ALL_PREFIXES, 44.0, 44.5)
    restoring = Configuration(7, frozenset(("k",)), ALL_PREFIXES, 49.0)
    reads = [Read(60.0, 7)]
    assert check(configurations=[FIRST, revoking, restoring], reads=reads) == []
    too_late = replace(restoring, sent_at=51.0)
    assert check(configurations=[FIRST, revoking, too_late], reads=reads) == [
        "revoked key"
    ]


def test_removed_route_is_reported_only_without_disturbances():
    removing = Configuration(5, frozenset(("k",)), frozenset(("/many/",)), 47.0, 47.5)
    reads = [Read(60.0, 5)]
    assert check(configurations=[FIRST, removing], reads=reads) == ["dropped route"]
    disturbances = [Disturbance("entry-1", "frozen", 47.0, 48.0)]
    assert (
        check(configurations=[FIRST, removing], reads=reads, disturbances=disturbances)
        == []
    )


def test_denial_of_what_every_configuration_allows_is_reported():
    denied = make_attempt(status=401, answer=b"no")
    assert "denied" in check([denied], runs=[])
    other = replace(FIRST, version=2, keys=frozenset(("j",)))
    assert "denied" not in check(
        [denied], runs=[], configurations=[FIRST, other], reads=[Read(60.0, 2)]
    )


def test_stale_read_is_reported_after_the_apply_bound():
    second = Configuration(2, FIRST.keys, ALL_PREFIXES, 10.0, 10.1)
    stale = [Read(20.0, 1), Read(60.0, 2)]
    assert check(configurations=[FIRST, second], reads=stale) == ["stale read"]
    early = [Read(11.0, 1), Read(60.0, 2)]
    assert check(configurations=[FIRST, second], reads=early) == []


def test_loss_of_newest_acknowledged_configuration_is_reported():
    second = Configuration(2, FIRST.keys, ALL_PREFIXES, 10.0, 10.1)
    assert "lost order" in check(configurations=[FIRST, second], reads=[])


def test_run_at_draining_endpoint_is_reported_after_the_drain_bound():
    assert check(departures=[Departure("e", 47.0)]) == ["sent to a leaving endpoint"]
    assert check(departures=[Departure("e", 49.0)]) == []


def test_run_in_an_evacuated_zone_is_reported_after_the_bound():
    runs = [make_run(zone="here")]
    early = Evacuation("here", acked_at=45.0)
    assert check(runs=runs, evacuations=[early]) == ["sent to an evacuated zone"]
    frozen = [Disturbance("entry-1", "frozen", 44.0, 50.0)]
    assert check(runs=runs, evacuations=[early], disturbances=frozen) == [
        "sent to an evacuated zone"
    ]
    for other in (
        Evacuation("here", acked_at=45.1),
        Evacuation("here", acked_at=45.0, finish_sent_at=50.0),
        Evacuation("there", acked_at=45.0),
        Evacuation("here"),
    ):
        assert check(runs=runs, evacuations=[other]) == []
    delayed = [Disturbance("e", "link delay", 48.0, 50.0)]
    assert check(runs=runs, evacuations=[early], disturbances=delayed) == []


def test_rejected_order_of_an_evacuation_is_reported():
    rejected = Evacuation("here", rejection=404)
    assert check(evacuations=[rejected]) == ["rejected evacuation"]


def test_answer_cut_by_graceful_stop_is_reported():
    cut = make_attempt(
        status=None, answer=b"", is_whole=False, sent_at=50.0, ended_at=50.1
    )
    runs = [make_run(), make_run(request="r")]
    stop = Disturbance("entry-1", "stop", 49.0, 55.0, is_graceful=True)
    link_cut = Disturbance("entry-1", "link cut", 49.0, 50.5)
    many = [cut, *(make_attempt(request="r") for _ in range(20))]
    assert "cut by a stop" in check(many, runs, disturbances=[stop])
    assert "cut by a stop" not in check(many, runs, disturbances=[stop, link_cut])
    failed_runs = [make_run(has_failed=True), make_run(request="r")]
    assert "cut by a stop" not in check(many, failed_runs, disturbances=[stop])
    assert "cut by a stop" not in check(many, [runs[1]], disturbances=[stop])


def test_service_not_restored_after_the_recovery_bound_is_reported():
    failed = [make_attempt(status=502, answer=b"") for _ in range(3)]
    assert "not recovered" in check([make_attempt(), *failed])
    assert "not recovered" in check([], runs=[])


# The soak printed only how many requests were not served, which told no cause.
def test_what_was_not_served_is_described():
    answer = b'{"title":"suspended","status":503}'
    failed = [make_attempt(status=503, answer=answer) for _ in range(3)]
    cut = make_attempt(kind=Kind.STREAM, answer=b"id: 1", is_whole=False)
    observations = Observations(
        attempts=[make_attempt(), *failed, cut], faults_ended_at=30.0
    )
    (found,) = find_missing_recovery(History(observations, BOUNDS))
    assert found.detail == (
        "1 of 5 served; 3 x once 503 suspended at entry-1, 1 x stream 200  at entry-1"
    )


@pytest.mark.parametrize(
    ("requests", "seconds", "rules"),
    [
        # 5.6 requests a second, times 1.5, plus 5: 13.4 in any one second.
        (13, 0.9, []),
        (14, 0.9, ["too many while cold"]),
        (26, 2.2, []),
    ],
)
def test_cold_endpoint_that_receives_too_many_requests_is_reported(
    requests, seconds, rules
):
    arrivals = [
        ColdArrival("e", 40.0 + seconds * number / requests)
        for number in range(requests)
    ]
    assert check(cold_arrivals=arrivals) == rules
    # What a disturbed connection delivers late was sent over a longer time.
    disturbed = [Disturbance("e", "connections delayed", 39.0, 41.0)]
    assert check(cold_arrivals=arrivals, disturbances=disturbed) == []


def test_a_program_that_had_more_memory_than_its_machine_is_found():
    observations = Observations()
    observations.memory_peaks += [
        MemoryPeak("entry-1", 1.0, 90.0),
        MemoryPeak("entry-2", 2.0, 129.0),
    ]
    found = list(find_memory_excess(History(observations, Bounds())))
    assert [(item.rule, item.subject) for item in found] == [
        ("too much memory", "entry-2")
    ]


@pytest.mark.parametrize(
    "status, answer, is_whole, is_broken",
    [
        (200, b"made", True, False),
        (200, b"ma", True, True),
        (200, b"ma", False, False),
        (502, b"error", True, False),
        (700, b"made", True, True),
        (None, b"", False, False),
    ],
)
def test_answer_to_a_long_request_has_to_be_whole(status, answer, is_whole, is_broken):
    upload = Upload("u", 50.0, "length", b"made", status, answer, is_whole)
    assert check(uploads={"u": upload}) == ["broken answer"] * is_broken


def test_answer_that_the_endpoint_broke_off_is_no_success():
    upload = Upload("u", 50.0, "reset", None, 200, b"", True)
    assert check(uploads={"u": upload}) == ["broken answer"]
