import json

import pytest
from click.testing import CliRunner
from ctl.fakeentry import KEY, FakeEntry, write_ticket
from daemon.test_encryption import Authority

from bergamotctl.command import main
from bergamotctl.context import ExitCode
from bergamotwood_core.ledger import (
    Attempt,
    Bill,
    Claim,
    Finish,
    StoredAnswer,
    encode_command,
)
from bergamotwood_daemon.encryption import ServerEncryption

MODEL = {
    "name": "small",
    "current": "small:1",
    "versions": [{"id": "small:1"}, {"id": "small:2"}],
}
ROLLOUT = {"name": "r", "model": "small", "candidate": "small:2"}
SERVICE = {"services": [{"name": "parcels"}]}


@pytest.fixture
def entry():
    fake = FakeEntry()
    yield fake
    fake.server.stop()


@pytest.fixture
def call(entry):
    def run(
        *arguments, code=ExitCode.DONE, body=None, key=KEY, entries=(entry.address,)
    ):
        options = [argument for name in entries for argument in ("--entry", name)]
        environ = {"BERGAMOTWOOD_OPERATOR_KEY": key, "BERGAMOTWOOD_OPERATOR": "wanjiru"}
        result = CliRunner().invoke(main, [*options, *arguments], body, environ)
        assert result.exit_code == code, result.output
        return result.output

    return run


def test_ticket_check_shows_the_difference_and_applies_nothing(entry, call):
    output = call("ticket", "check", "-", body=write_ticket(1, **SERVICE))
    assert "added service parcels" in output
    assert entry.control.tables.ticket == 0


def test_ticket_check_names_every_fault(call):
    ticket = write_ticket(1, remove={"models": ["x"], "services": ["y"]})
    output = call("ticket", "check", "-", body=ticket, code=ExitCode.INVALID)
    assert "remove.models: unknown x" in output
    assert "remove.services: unknown y" in output


def test_malformed_ticket_is_rejected_with_the_line(call):
    output = call("ticket", "apply", "-", body="number: [", code=ExitCode.INVALID)
    assert "line 2" in output


def test_resent_ticket_is_repeated_and_a_conflicting_one_is_rejected(call):
    ticket = write_ticket(3, **SERVICE)
    assert "ticket 3 accepted" in call("ticket", "apply", "-", body=ticket)
    assert "ticket 3 repeated" in call("ticket", "apply", "-", body=ticket)
    other = write_ticket(3, services=[{"name": "members"}])
    call("ticket", "apply", "-", body=other, code=ExitCode.CONFLICT)
    call("ticket", "apply", "-", body=write_ticket(2), code=ExitCode.CONFLICT)


def test_apply_waits_until_every_entry_has_the_ticket(entry, call):
    output = call("ticket", "apply", "-", "--wait", body=write_ticket(1, **SERVICE))
    assert "in force everywhere" in output
    entry.lag = 1
    output = call("ticket", "wait", "1", "--timeout", "0.1", code=ExitCode.NOT_YET)
    assert "a (index 0)" in output


def test_tickets_are_shown_and_listed(call):
    call("ticket", "apply", "-", body=write_ticket(1, note="first", **SERVICE))
    assert "wanjiru" in call("ticket", "show", "1")
    listed = json.loads(call("ticket", "list", "--json"))
    assert [item["number"] for item in listed] == [1]
    assert "services/parcels" in call("ticket", "list")
    call("ticket", "show", "9", code=ExitCode.NOT_FOUND)


def test_rollout_changes_are_numbered_tickets(entry, call):
    ticket = write_ticket(5, models=[MODEL], rollouts=[ROLLOUT])
    call("ticket", "apply", "-", body=ticket)
    assert "running" in call("rollout", "list")
    assert '"number": 6' in call("rollout", "pause", "r", "--preview")
    assert entry.control.tables.ticket == 5
    call("rollout", "pause", "r")
    assert json.loads(call("rollout", "show", "r", "--json"))["state"] == "paused"
    call("rollout", "resume", "r")
    assert "accepted" in call("rollout", "withdraw", "r", "--wait")
    assert entry.control.tables.ticket == 8
    assert entry.control.tables.versions["small:2"].state == "withdrawn"
    assert "stopped by ticket 8" in call("rollout", "list")
    call("rollout", "pause", "none", code=ExitCode.NOT_FOUND)


def test_bills_totals_and_claims_are_shown(entry, call):
    attempts = (Attempt("small:1", "e1", 10, 5, 0.25, "accepted"),)
    bill = Bill("a-1-1", "karen", "k", "d", attempts, 0.25)
    answer = StoredAnswer(200, "text/plain", b"done")
    for index, command in enumerate(
        (
            Claim("karen", "k", "d", "t", "a-1-1"),
            Finish("karen", "k", "t", answer, bill),
        ),
        1,
    ):
        entry.ledger.apply(index, encode_command(command))
    assert "a-1-1" in call("bill", "list", "--workspace", "karen")
    assert "(none)" in call("bill", "list", "--workspace", "westlands")
    assert "accepted" in call("bill", "show", "a-1-1")
    assert call("bill", "total").splitlines()[1].split() == [
        *("karen", "1", "1", "10", "5", "0.25")
    ]
    assert "done" in call("claim", "show", "karen", "k")
    call("claim", "show", "karen", "none", code=ExitCode.NOT_FOUND)


def test_instances_and_endpoints_are_listed(call):
    assert "karen" in call("entries")
    assert "small:1" in call("endpoints")
    assert "leader" in call("status")
    assert json.loads(call("status", "--json"))["instance"] == "a"


def test_drain_asks_one_entry_only(entry, call):
    both = (entry.address, "127.0.0.1:1")
    call("drain", entries=both, code=ExitCode.USAGE)
    assert not entry.draining
    assert "draining" in call("drain")
    assert entry.draining


def test_next_entry_is_asked_when_one_cannot_be_reached(entry, call):
    call("status", entries=("127.0.0.1:1", entry.address))
    output = call("status", entries=("127.0.0.1:1",), code=ExitCode.UNREACHABLE)
    assert "127.0.0.1:1" in output


def test_wrong_key_missing_key_and_missing_entry_are_reported(call):
    call("status", key="wrong", code=ExitCode.FORBIDDEN)
    assert "--key-file" in call("status", key="", code=ExitCode.USAGE)
    assert "--entry" in call("status", entries=(), code=ExitCode.USAGE)


def test_help_needs_no_entry_and_no_key():
    result = CliRunner().invoke(main, ["ticket", "apply", "--help"], env={})
    assert result.exit_code == 0
    assert "harmless" in result.output


def test_key_is_read_from_a_file(entry, tmp_path):
    file = tmp_path / "key"
    file.write_text(KEY + "\n")
    options = ["--entry", entry.address, "--key-file", str(file), "status"]
    result = CliRunner().invoke(main, options, env={"BERGAMOTWOOD_OPERATOR_KEY": ""})
    assert result.exit_code == 0


def test_https_entry_is_accepted_only_with_its_ca_file(tmp_path):
    authority = Authority(tmp_path)
    tls = authority.issue(1)
    fake = FakeEntry(ssl_context=ServerEncryption(tls).context)
    options = ["--entry", f"https://{fake.address}"]
    environ = {"BERGAMOTWOOD_OPERATOR_KEY": KEY}
    trusted = ["--ca-file", str(authority.file)]
    try:
        accepted = CliRunner().invoke(main, [*options, *trusted, "status"], env=environ)
        refused = CliRunner().invoke(main, [*options, "status"], env=environ)
    finally:
        fake.server.stop()
    assert accepted.exit_code == ExitCode.DONE, accepted.output
    assert refused.exit_code == ExitCode.UNREACHABLE
    assert "certificate" in refused.output.lower()
