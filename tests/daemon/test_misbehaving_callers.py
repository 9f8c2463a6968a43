"""A crowd of callers that keep to no limits, at a real daemon's own interface."""

from contextlib import contextmanager, suppress
from hashlib import sha256
from pathlib import Path

import pytest
from bergamotwood_soak.http_client import fetch
from gevent import joinall, killall, sleep, spawn
from gevent.socket import create_connection
from msgspec import yaml

from bergamotwood_core.messages import Address
from bergamotwood_daemon.clock import read_clock
from bergamotwood_fakes.launch import launch_logged
from bergamotwood_fakes.port import PortChooser

HOST = "127.0.0.1"
OPERATOR_KEY = "an operator's key"
# Memory that a daemon's settings state by default.
MEMORY_MB = 256
DESCRIPTORS = 4_096
BODY = b"x" * 4_000_000
CROWD = 100
CONNECTIONS = 4_500
STALL_SECONDS = 2.0
SEND_SECONDS = 20.0
ANSWER_SECONDS = 60.0
HEAD = (
    b"POST /v1/tickets/check HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer "
    + OPERATOR_KEY.encode()
    + b"\r\n"
)


def send_short(sock):
    """Send a body of legal size without its last byte."""
    sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY[:-1])


def send_chunks(sock):
    """Send a body of legal size in chunks, without its end."""
    sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(len(BODY) // 65_536):
        sock.sendall(b"10000\r\n" + BODY[:65_536] + b"\r\n")


def send_part_of_head(sock):
    """Send a part of a head."""
    sock.sendall(HEAD)


class Daemon:
    """A daemon with both roles, and a crowd of its callers."""

    def __init__(self, process, port):
        self.process = process
        self.port = port
        self._sockets = []

    def crowd(self, send, size):
        """Have callers send, and keep their connections open."""
        greenlets = [spawn(self._misbehave, send) for _ in range(size)]
        joinall(greenlets, timeout=SEND_SECONDS)
        killall(greenlets)

    def ask(self):
        """Send one ordinary request until it is answered."""
        deadline = read_clock() + ANSWER_SECONDS
        while read_clock() < deadline:
            assert self.process.poll() is None
            if fetch(Address(HOST, self.port), "GET", "/v1/addresses")[0] == 200:
                return
            sleep(0.2)
        raise AssertionError("an ordinary request is not answered")

    def check(self):
        """Check that the daemon lives within its memory, and answers."""
        self.ask()
        process = Path(f"/proc/{self.process.pid}")
        status = dict(
            line.split(":", 1) for line in (process / "status").read_text().splitlines()
        )
        assert int(status["VmHWM"].split()[0]) / 1_024 <= MEMORY_MB
        assert len(list((process / "fd").iterdir())) <= DESCRIPTORS

    def leave(self):
        for sock in self._sockets:
            sock.close()

    def _misbehave(self, send):
        with suppress(OSError):
            sock = create_connection((HOST, self.port), STALL_SECONDS)
            self._sockets.append(sock)
            send(sock)


@contextmanager
def run_daemon(folder):
    ports = PortChooser()
    port, peer_port = ports.choose(), ports.choose()
    (folder / "data").mkdir()
    settings = {
        "instance": "one",
        "data_centre": "here",
        "listen": {"host": HOST, "port": port},
        "peer_listen": {"host": HOST, "port": peer_port},
        "roles": ["entry", "control"],
        "data_folder": str(folder / "data"),
        "replicas": [{"id": "one", "host": HOST, "port": peer_port}],
        "operator_key_hashes": [sha256(OPERATOR_KEY.encode()).hexdigest()],
        "instance_key": "a key of sixteen characters",
        "session_secret": "a secret of sixteen characters",
    }
    path = folder / "settings.yaml"
    path.write_bytes(yaml.encode(settings))
    process = launch_logged(
        "bergamotwood_daemon", ["run", str(path)], folder / "daemon.log"
    )
    daemon = Daemon(process, port)
    try:
        daemon.ask()
        yield daemon
    finally:
        daemon.leave()
        process.kill()
        process.wait()


@pytest.fixture
def daemon(tmp_path):
    with run_daemon(tmp_path) as daemon:
        yield daemon


@pytest.mark.parametrize("send", [send_short, send_chunks])
def test_a_crowd_of_bodies_does_not_end_a_daemon(daemon, send):
    daemon.crowd(send, CROWD)
    daemon.check()


def test_a_crowd_of_connections_leaves_a_daemon_descriptors(daemon):
    daemon.crowd(send_part_of_head, CONNECTIONS)
    daemon.check()


def test_a_large_body_is_read_in_calm(daemon):
    with create_connection((HOST, daemon.port), SEND_SECONDS) as sock:
        sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY)
        # It is no ticket, as its reader finds.
        assert sock.recv(65_536).startswith(b"HTTP/1.1 422 ")
    daemon.check()
