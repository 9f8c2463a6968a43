from collections import Counter

from bergamotwood_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
    compute_limit,
)
from bergamotwood_core.clock import Seconds
from bergamotwood_core.configuration import Workspace
from bergamotwood_core.errors import Code
from bergamotwood_core.ids import RequestId
from bergamotwood_core.states import Priority

NOW = Seconds(10.0)
LATER = Seconds(1_000.0)


def make_workspace(
    name: str = "w", share: float = 1.0, max_in_flight: int = 100
) -> Workspace:
    return Workspace(name=name, share=share, max_in_flight=max_in_flight)


def make_admission(limit: int = 4, **fields) -> AdmissionController:
    return AdmissionController(
        AdmissionSettings(limit=limit, max_wait_seconds=1e6, **fields)
    )


def offer_many(admission, workspace, count, priority=Priority.NORMAL, deadline=LATER):
    ids = [RequestId(f"{workspace.name}-{priority}-{n}") for n in range(count)]
    return {
        id_: admission.offer(id_, workspace, priority, deadline, NOW) for id_ in ids
    }


def test_requests_beyond_the_free_slots_are_queued():
    admission = make_admission(limit=2)
    decisions = list(offer_many(admission, make_workspace(), 3).values())
    assert decisions == [Admitted(), Admitted(), Queued()]
    assert (admission.in_flight, admission.queued) == (2, 1)


def test_overloading_workspace_gets_no_more_than_its_fair_share():
    admission = make_admission(limit=12)
    flood, small = make_workspace("flood"), make_workspace("small", share=2.0)
    decisions = offer_many(admission, flood, 100) | offer_many(admission, small, 40)
    running = [id_ for id_, answer in decisions.items() if answer == Admitted()]
    for _ in range(30):
        running.extend(admission.release(running.pop(0), NOW))
    held = Counter(request.split("-")[0] for request in running)
    assert held == {"flood": 4, "small": 8}


def test_workspace_below_its_share_is_admitted_from_the_reserve():
    admission = make_admission(limit=20)
    offer_many(admission, make_workspace("flood"), 100)
    decisions = list(offer_many(admission, make_workspace("small"), 5).values())
    assert decisions == [Admitted()] * 3 + [Queued()] * 2
    assert admission.in_flight == 23


def test_workspace_limit_applies_while_slots_are_free():
    admission = make_admission(limit=10)
    workspace = make_workspace(max_in_flight=2)
    decisions = list(offer_many(admission, workspace, 3).values())
    assert decisions[2] == Queued()
    assert admission.release(RequestId("w-1-0"), NOW) == ("w-1-2",)


def test_higher_priority_runs_first_and_displaces_from_a_full_queue():
    admission = make_admission(limit=1, max_queued=2)
    workspace = make_workspace()
    offer_many(admission, workspace, 1)
    offer_many(admission, workspace, 2, Priority.LOW)
    urgent = offer_many(admission, workspace, 1, Priority.HIGH)
    assert urgent == {"w-0-0": Queued(displaced=("w-2-1",))}
    assert isinstance(
        admission.offer(RequestId("x"), workspace, Priority.LOW, LATER, NOW), Refused
    )
    assert admission.release(RequestId("w-1-0"), NOW) == ("w-0-0",)
    assert admission.release(RequestId("w-0-0"), NOW) == ("w-2-0",)
    assert admission.queued == 0


def test_request_that_cannot_start_before_its_deadline_is_refused_at_once():
    admission = make_admission(limit=1, service_seconds=2.0)
    workspace = make_workspace()
    offer_many(admission, workspace, 3)
    soon = Seconds(NOW + 4.0)
    decision = admission.offer(RequestId("x"), workspace, Priority.NORMAL, soon, NOW)
    assert isinstance(decision, Refused)
    assert decision.code is Code.DEADLINE_EXCEEDED
    assert decision.retry_after > 0
    first = admission.offer(RequestId("y"), workspace, Priority.HIGH, soon, NOW)
    assert first == Queued()


def test_queued_request_expires_at_its_deadline():
    admission = make_admission(limit=1, service_seconds=0.5)
    workspace = make_workspace()
    offer_many(admission, workspace, 2)
    late = RequestId("late")
    deadline = Seconds(NOW + 5)
    admission.offer(late, workspace, Priority.NORMAL, deadline, NOW)
    assert admission.expire(Seconds(NOW + 1)) == ()
    assert admission.expire(deadline) == (late,)
    assert admission.release(RequestId("w-1-0"), deadline) == ("w-1-1",)
    assert admission.release(RequestId("w-1-1"), deadline) == ()


def test_expected_wait_over_the_limit_is_refused_with_a_retry_delay():
    settings = AdmissionSettings(limit=1, max_wait_seconds=3.0, service_seconds=1.0)
    admission = AdmissionController(settings)
    decisions = offer_many(admission, make_workspace(), 10)
    refused = [d for d in decisions.values() if isinstance(d, Refused)]
    assert len(refused) == 6
    assert all(d.code is Code.OVERLOADED and d.retry_after > 1 for d in refused)


def test_cancel_frees_a_slot_or_a_queue_position():
    admission = make_admission(limit=1)
    offer_many(admission, make_workspace(), 3)
    assert admission.cancel(RequestId("w-1-1"), NOW) == ()
    assert admission.cancel(RequestId("w-1-0"), NOW) == ("w-1-2",)
    assert admission.cancel(RequestId("w-1-0"), NOW) == ()
    assert (admission.in_flight, admission.queued) == (1, 0)


def test_pools_do_not_block_each_other():
    admission = make_admission(limit=1)
    workspace = make_workspace()
    offer_many(admission, workspace, 2)
    other = admission.offer(
        RequestId("x"), workspace, Priority.LOW, LATER, NOW, "parcels"
    )
    assert other == Admitted()


def test_a_raised_limit_lets_queued_requests_run():
    admission = make_admission(limit=1)
    offer_many(admission, make_workspace(), 3)
    assert admission.set_limit("", 3, NOW) == ("w-1-1", "w-1-2")


def test_entry_limit_grows_with_unused_capacity():
    assert compute_limit(90, 90, 10, 9) == 10
    assert compute_limit(90, 0, 0, 9) == 10
    assert compute_limit(90, 36, 30, 9) == 36
    assert compute_limit(90, 500, 30, 9) == 10
    assert compute_limit(0, 0, 0, 9) == 1
