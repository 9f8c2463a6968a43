import pytest

from bergamotwood_core.errors import Code, EndpointError, RefusedError
from bergamotwood_core.states import Run
from bergamotwood_daemon.cascaderunner import MAX_REPLANS, run_planned


def withdraw(*versions, run=Run.NOT_RUN):
    """Return an action that refuses the given versions as withdrawn."""

    def act(plan):
        if plan in versions:
            raise RefusedError(f"{plan} is withdrawn", Code.VERSION_WITHDRAWN, run)
        return f"answer of {plan}"

    return act


def test_a_plan_of_a_withdrawn_version_is_made_again():
    plans = iter(["small:3"])
    assert (
        run_planned("small:2", lambda: next(plans), withdraw("small:2"))
        == "answer of small:3"
    )


def test_a_plan_that_holds_is_run_once():
    assert run_planned("small:2", pytest.fail, withdraw()) == "answer of small:2"


def test_a_request_that_may_have_run_is_not_planned_again():
    action = withdraw("small:2", run=Run.MAY_HAVE_RUN)
    with pytest.raises(RefusedError):
        run_planned("small:2", lambda: "small:3", action)


def test_other_errors_are_raised_at_once():
    def fail(plan):
        raise EndpointError("gone")

    with pytest.raises(EndpointError):
        run_planned("small:2", lambda: "small:3", fail)


def test_planning_ends_when_every_plan_is_withdrawn():
    plans = []

    def replan():
        plans.append("small:2")
        return "small:2"

    with pytest.raises(RefusedError):
        run_planned("small:2", replan, withdraw("small:2"))
    assert len(plans) == MAX_REPLANS
