import pytest
from core.gateway.samples import MODELS, make_call, make_route

from bergamotwood_core.gateway.configuration import Destination
from bergamotwood_core.gateway.latency import Progress
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.rollout import VersionEvidence
from bergamotwood_core.ids import LogIndex
from bergamotwood_daemon.gateway.evidence import EvidenceCounter

CALL = make_call(make_route(destinations=(Destination(MODELS),)))


def make_rollout(index=4):
    return ServiceRollout(
        MODELS, "v2", 15.0, RolloutOutcome.IN_PROGRESS, LogIndex(index), 0.0
    )


@pytest.fixture
def counter():
    return EvidenceCounter()


def send(counter, seconds, rollout=None, version="v2"):
    """Record a request; `seconds` holds its time so far, and 5 s are too long."""
    return counter.open(
        rollout or make_rollout(),
        version,
        CALL,
        lambda: Progress(seconds[0]),
        lambda progress: progress.seconds > 5.0,
    )


def test_an_open_request_counts_as_bad_once_its_answer_takes_too_long(counter):
    seconds = [1.0]
    request = send(counter, seconds)
    key = (MODELS, "v2", CALL.route.name)
    assert counter.list_counts() == (VersionEvidence(*key, 0, 0, 1, 0, 1.0, 1, 4),)
    seconds[0] = 6.0
    assert counter.list_counts() == (VersionEvidence(*key, 1, 1, 0, 0, 6.0, 1, 4),)
    # Its end is no further trial.
    seconds[0] = 8.0
    counter.close(request, False)
    assert counter.list_counts() == (VersionEvidence(*key, 1, 1, 0, 1, 8.0, 1, 4),)


def test_a_request_whose_caller_left_tells_only_that_it_was_sent(counter):
    counter.close(send(counter, [1.0]), None)
    key = (MODELS, "v2", CALL.route.name)
    assert counter.list_counts() == (VersionEvidence(*key, 0, 0, sent=1, rollout=4),)


def test_counts_restart_with_each_rollout(counter):
    old = send(counter, [1.0])
    counter.close(send(counter, [1.0]), True)
    send(counter, [2.0], make_rollout(9))
    counter.close(old, True)
    (evidence,) = counter.list_counts()
    assert (evidence.trials, evidence.open, evidence.seconds) == (0, 1, 2.0)
