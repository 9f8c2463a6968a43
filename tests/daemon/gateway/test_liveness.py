import pytest
from core.gateway.samples import make_heartbeat
from daemon.brokenheads import (
    BROKEN_HEADS,
    EVENTS,
    INTERIM_LINES,
    LENGTH_FIELD,
    SOUND_HEADS,
)
from daemon.gateway.harness import FakeEndpoint, PlainDialect
from daemon.gateway.rawserver import RawServer, make_head

from bergamotwood_core.clock import Seconds
from bergamotwood_daemon.clock import read_clock
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


# An interim response, as one of status 199, counted as an answer.
@pytest.mark.parametrize(
    "line, fields, is_alive",
    [
        *((*head, False) for head in BROKEN_HEADS),
        *((*head, True) for head in SOUND_HEADS),
        (INTERIM_LINES + b"HTTP/1.1 200 OK", LENGTH_FIELD, True),
        (INTERIM_LINES, b"", False),
    ],
)
def test_a_broken_answer_to_a_health_check_is_none(line, fields, is_alive):
    heads = []
    server = RawServer(
        lambda sock, request: sock.sendall(make_head(request, line, fields) + EVENTS)
    )
    heartbeat = make_heartbeat("one", address=server.address)
    checker = LivenessChecker(
        b"/alive", read_clock, lambda: 1, record_head=lambda *head: heads.append(head)
    )
    assert checker.check(heartbeat) is is_alive
    assert len(heads) == is_alive
    server.stop()
