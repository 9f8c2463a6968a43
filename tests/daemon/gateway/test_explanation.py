"""Follows the three walk-throughs of docs/OPERATIONS.md step by step."""

import pytest
from click.testing import CliRunner
from core.gateway.samples import make_configuration, make_route
from eliot import add_destinations, remove_destination
from msgspec import json

from bergamotctl.command import main
from bergamotwood_core.gateway.configuration import GatewayWorkspace, RouteKind
from bergamotwood_core.ids import WorkspaceId


@pytest.fixture
def logged():
    lines = []
    add_destinations(lines.append)
    yield lines
    remove_destination(lines.append)


def explain(lines, request, tmp_path):
    path = tmp_path / "edge-1.log"
    path.write_bytes(b"\n".join(json.encode(line, enc_hook=str) for line in lines))
    result = CliRunner().invoke(main, ["explain", request, str(path)])
    assert result.exit_code == 0
    return result.output.splitlines()


def configure(**changes):
    return make_configuration(routes=(make_route(**changes),))


def test_explain_shows_every_attempt_of_a_refused_request(
    make_harness, logged, tmp_path
):
    def refuse(arrival):
        arrival.answer("", 503, not_executed="1")

    harness = make_harness(configure(), one=refuse, two=refuse)
    assert harness.connect().call(id="q-full").status == 503
    explanation = explain(logged, "q-full", tmp_path)
    attempts = [line for line in explanation if "attempt: Attempt failed." in line]
    assert len(attempts) == 2
    assert all("result=full" in line for line in attempts)
    assert "request: Refused." in explanation[-1]
    assert "run=not_run" in explanation[-1]
    assert "retry_after=" in explanation[-1]


def test_explain_shows_that_a_failed_request_may_have_run(
    make_harness, logged, tmp_path
):
    route = configure(kind=RouteKind.NON_IDEMPOTENT, max_attempts=1)
    harness = make_harness(route, one=lambda arrival: False)
    assert harness.connect().call("POST", id="q-lost", body=b"pay").status == 502
    explanation = explain(logged, "q-lost", tmp_path)
    assert "result=broken" in explanation[0]
    assert "endpoint=one" in explanation[0]
    assert "run=may_have_run" in explanation[-1]


def test_explain_shows_what_requests_that_lost_their_endpoint_have_in_common(
    make_harness, logged, tmp_path
):
    def end_within_an_answer(arrival):
        arrival.begin_events()
        return False

    harness = make_harness(
        configure(kind=RouteKind.STREAMING, max_attempts=1), one=end_within_an_answer
    )
    for at in range(2):
        harness.connect().call(id=f"q-{at}", body=b"%d" % at, prompt=f"a b last-{at}")
    lines = [explain(logged, f"q-{at}", tmp_path)[0] for at in range(2)]
    assert all("prompt=[a, b]" in line for line in lines)
    assert all("has_begun=True" in line for line in lines)
    fingerprints = {line.split("fingerprint=")[1].split()[0] for line in lines}
    assert len(fingerprints) == 2


def test_explain_shows_which_configuration_refused_a_key(
    make_harness, logged, tmp_path
):
    harness = make_harness(one=lambda arrival: arrival.answer())
    assert harness.connect().call(id="q-before").status == 200
    harness.configuration = make_configuration(
        number=9, workspaces=(GatewayWorkspace(WorkspaceId("circle"), ("key-2",)),)
    )
    harness.entry.dialect.configuration = harness.configuration
    harness.sync()
    assert harness.connect().call(id="q-after").status == 401
    before = explain(logged, "q-before", tmp_path)[-1]
    after = explain(logged, "q-after", tmp_path)[-1]
    assert "configuration=3" in before
    assert "configuration=9" in after
    assert "reason=unknown key" in after
    path = str(tmp_path / "edge-1.log")
    changes = CliRunner().invoke(main, ["timeline", path]).output
    assert "entry: Configuration in force. number=9 previous=3" in changes
