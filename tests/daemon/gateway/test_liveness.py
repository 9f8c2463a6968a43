import pytest
from core.gateway.samples import make_heartbeat
from daemon.gateway.harness import FakeEndpoint, PlainDialect

from bergamotwood_core.clock import Seconds
from bergamotwood_daemon.gateway.liveness import (
    MAX_CHECKS_PER_SECOND,
    LivenessChecker,
)


@pytest.mark.parametrize("entries", [1, 9, 195])
def test_direct_checks_of_all_entries_together_are_bounded(entries):
    endpoint = FakeEndpoint("one", lambda arrival: arrival.answer())
    heartbeat = make_heartbeat("one", address=endpoint.address)
    now = [0.0]
    checker = LivenessChecker(
        PlainDialect.liveness_target, lambda: Seconds(now[0]), lambda: entries
    )
    seconds = 120
    for _ in range(10 * seconds):
        now[0] += 0.1
        assert checker.check(heartbeat)
        checker.expire()
    endpoint.stop()
    assert checker.checks > 0
    assert entries * (checker.checks - 1) / seconds <= MAX_CHECKS_PER_SECOND
