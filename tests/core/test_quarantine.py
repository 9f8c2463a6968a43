from bergamotwood_core.ids import EndpointId, Fingerprint, WorkspaceId
from bergamotwood_core.quarantine import (
    AttemptFailure,
    FinishedRequests,
    Isolated,
    Isolation,
    Quarantined,
    RefuseRequest,
    RunNow,
    Unsuspected,
    WaitFor,
    assign_endpoints,
    check_fingerprint,
    fingerprint_request,
    is_crash,
    plan_dispatch,
)
from bergamotwood_core.tables import Suspect

KUBWA = WorkspaceId("kubwa")
A, B = EndpointId("a"), EndpointId("b")


def test_fingerprint_depends_on_workspace_path_and_body():
    prints = {
        fingerprint_request(WorkspaceId(workspace), path, body)
        for workspace, path, body in [
            ("kubwa", "/v1/chat", b"x"),
            ("kubwa", "/v1/cha", b"tx"),
            ("kubwa/", "v1/chat", b"x"),
            ("colofn", "/v1/chat", b"x"),
            ("kubwa", "/v1/chat", b"y"),
        ]
    }
    assert len(prints) == 5
    again = fingerprint_request(KUBWA, "/v1/chat", b"x")
    assert again in prints


def test_fingerprint_is_quarantined_after_two_crashes():
    suspects = {Fingerprint("one"): Suspect(1, A), Fingerprint("two"): Suspect(2, B)}
    assert check_fingerprint(suspects, Fingerprint("none")) == Unsuspected()
    assert check_fingerprint(suspects, Fingerprint("one")) == Isolated(A)
    assert check_fingerprint(suspects, Fingerprint("two")) == Quarantined(2)


def test_an_endpoint_runs_one_suspect_at_a_time():
    isolation = Isolation()
    first, second = Fingerprint("first"), Fingerprint("second")
    assert isolation.start(first, A)
    assert not isolation.start(second, A)
    assert not isolation.start(first, B)
    isolation.stop(second, A)
    assert isolation.endpoints == {A}
    isolation.stop(first, A)
    assert isolation.start(second, A)


def test_a_pooled_connection_closed_between_requests_is_no_crash():
    idle_close = AttemptFailure(running=False, pooled=True, answered=False, reset=True)
    assert not is_crash(idle_close, incarnation_changed=True, probe_failed=True)


def test_a_reset_alone_is_no_crash():
    reset = AttemptFailure(running=True, pooled=False, answered=True, reset=True)
    assert not is_crash(reset, incarnation_changed=False, probe_failed=False)
    assert is_crash(reset, incarnation_changed=True, probe_failed=False)
    assert is_crash(reset, incarnation_changed=False, probe_failed=True)
    silent = AttemptFailure(running=True, pooled=False, answered=True, reset=False)
    assert not is_crash(silent, incarnation_changed=False, probe_failed=True)


def test_a_suspect_waits_until_duplicates_elsewhere_are_known():
    suspect = Isolated(EndpointId("a"))
    assert plan_dispatch(Unsuspected(), False, False, 0.0) == RunNow()
    assert plan_dispatch(Unsuspected(), True, True, 0.0) != RunNow()
    assert plan_dispatch(suspect, True, True, 0.0) == WaitFor(1.0)
    assert plan_dispatch(suspect, True, True, 1.0) == RunNow()
    assert plan_dispatch(suspect, True, False, 1.5) == WaitFor(1.0)
    assert plan_dispatch(suspect, True, False, 8.0) == RunNow()
    assert plan_dispatch(Quarantined(2), True, True, 0.0) == RefuseRequest()


def test_finished_fingerprints_are_remembered_within_a_bound():
    finished = FinishedRequests(limit=2)
    for name in ("a", "b", "a", "c"):
        finished.add(Fingerprint(name))
    assert Fingerprint("a") in finished
    assert Fingerprint("b") not in finished
    assert Fingerprint("c") in finished


def test_all_entries_assign_the_same_separate_endpoints_to_suspects():
    suspects = {Fingerprint(f"s{n}"): Suspect(1, A) for n in range(5)}
    suspects[Fingerprint("bad")] = Suspect(2, A)
    endpoints = [EndpointId(f"e{n}") for n in range(9)]
    assigned = assign_endpoints(suspects, endpoints)
    assert list(assigned) == ["s0", "s1", "s2", "s3"]
    assert len(set(assigned.values())) == 4
    assert assigned == assign_endpoints(suspects, endpoints[::-1])
    assert len(assign_endpoints(suspects, endpoints[:1])) == 1
    assert assign_endpoints(suspects, []) == {}
