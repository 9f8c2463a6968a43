import json
from hashlib import sha256
from signal import SIGTERM
from socket import AF_INET, SOCK_STREAM, socket
from time import monotonic

import pytest
import yaml
from click.testing import CliRunner
from ctl.fakeentry import write_ticket
from gevent import sleep

from bergamotctl.command import main
from bergamotctl.context import ExitCode
from bergamotwood_fakes.launch import launch_module

KEY = "operator key of the test"
START_SECONDS = 30.0


def choose_port():
    with socket(AF_INET, SOCK_STREAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def write_settings(folder):
    port, peer_port = choose_port(), choose_port()
    settings = {
        "instance": "a",
        "data_centre": "karen",
        "listen": {"port": port},
        "peer_listen": {"port": peer_port},
        "roles": ["entry", "control"],
        "data_folder": str(folder / "data"),
        "replicas": [{"id": "a", "host": "127.0.0.1", "port": peer_port}],
        "operator_key_hashes": [sha256(KEY.encode()).hexdigest()],
        "instance_key": "instance key of the test",
        "session_secret": "session secret of the test",
        "address_ttl_seconds": 1,
        "timeouts": {"drain": 1.0},
    }
    file = folder / "a.yaml"
    file.write_text(yaml.safe_dump(settings))
    return file, f"127.0.0.1:{port}"


def start_daemon(file):
    return launch_module("bergamotwood_daemon", ["run", str(file)], file.parent / "log")


@pytest.fixture
def fleet(tmp_path):
    file, address = write_settings(tmp_path)
    processes = [start_daemon(file)]
    yield file, address, processes
    for process in processes:
        if process.poll() is None:
            process.kill()
            process.wait()


def call(address, *arguments, body=None):
    environ = {"BERGAMOTWOOD_OPERATOR_KEY": KEY, "BERGAMOTWOOD_ENTRIES": address}
    return CliRunner().invoke(main, arguments, body, environ)


def call_when_ready(address, *arguments, body=None):
    deadline = monotonic() + START_SECONDS
    while True:
        result = call(address, *arguments, body=body)
        if result.exit_code not in (ExitCode.UNREACHABLE, ExitCode.UNAVAILABLE):
            return result
        assert monotonic() < deadline, result.output
        sleep(0.1)


def test_tickets_survive_a_restart_of_the_daemon(fleet):
    file, address, processes = fleet
    ticket = write_ticket(4, services=[{"name": "parcels"}])
    applied = call_when_ready(address, "ticket", "apply", "--wait", "-", body=ticket)
    assert applied.exit_code == 0, applied.output
    conflict = call(address, "ticket", "apply", "-", body=write_ticket(4))
    assert conflict.exit_code == ExitCode.CONFLICT
    assert "accepted by operator with other content" in conflict.output
    processes[0].kill()
    processes[0].wait()
    processes.append(start_daemon(file))
    again = call_when_ready(address, "ticket", "apply", "-", body=ticket)
    assert again.exit_code == 0, again.output
    assert "repeated" in again.output
    assert json.loads(call(address, "bill", "total", "--json").output) == {}
    processes[1].send_signal(SIGTERM)
    assert processes[1].wait() == 0
