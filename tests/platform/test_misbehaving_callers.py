"""Crowds of callers that keep to no limits, at real programs on small machines."""

from contextlib import suppress
from pathlib import Path

import pytest
from bergamotwood_soak.programs import (
    CONTROL_PORT,
    PEER_PORT,
    READY_PORT,
    RESOLVER_PORT,
)
from gevent import joinall, killall, sleep, spawn
from gevent.socket import create_connection
from platformprograms import (
    HOST_NAME,
    RawEndpoint,
    call,
    make_route,
    replace_configuration,
    run_system,
)

from bergamotwood_core.memory import CONNECTION_BYTES
from bergamotwood_daemon.clock import read_clock
from bergamotwood_platform.settings import METRICS_PORT

# The smallest machine of the platform's sheets, with fewer descriptors.
MEMORY_MB = 128
DESCRIPTORS = 400
BODY_BYTES = 4_194_304
CROWD = 60
CROWDS = 10
# Connections of the crowd that sends next to nothing on each.
CONNECTIONS = 600
ANSWER_BYTES = 3_000_000
# A caller that cannot send for so long only keeps its connection.
STALL_SECONDS = 2.0
SEND_SECONDS = 20.0
ANSWER_SECONDS = 60.0
PIECE_BYTES = 65_536
PREFIX = "bergamotwood_"
HEAD = (
    b"POST /big/x HTTP/1.1\r\nHost: " + HOST_NAME.encode() + b"\r\n"
    b"X-Request-Id: crowd\r\nX-Deadline-Ms: 20000\r\n"
)
BODY = b"x" * BODY_BYTES


def send_short(sock):
    """Send a body of legal size without its last byte."""
    sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + BODY[:-1])


def send_whole(sock):
    """Send a complete body of legal size."""
    sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + BODY)


def send_large_chunks(sock):
    """Send a body of legal size in large chunks, without its end."""
    sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    size = 1_000_000
    for _ in range(BODY_BYTES // size):
        sock.sendall(b"%x\r\n" % size + BODY[:size] + b"\r\n")


def send_small_chunks(sock):
    """Send a body of legal size in chunks of a few bytes, without its end."""
    sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    chunks = b"8\r\nabcdefgh\r\n" * (PIECE_BYTES // 8)
    for _ in range(BODY_BYTES // PIECE_BYTES):
        sock.sendall(chunks)


def send_far_too_much(sock):
    """Announce a body far over the limit, and send three times the limit."""
    sock.sendall(HEAD + b"Content-Length: 1000000000000\r\n\r\n" + 3 * BODY)


def send_endless_chunks(sock):
    """Send three times the limit in chunks."""
    sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(3 * BODY_BYTES // PIECE_BYTES):
        sock.sendall(b"%x\r\n" % PIECE_BYTES + BODY[:PIECE_BYTES] + b"\r\n")


def send_pipelined(sock):
    """Send as many requests as a body has bytes for, and read no answer."""
    request = HEAD + b"Content-Length: 4\r\n\r\nmany"
    sock.sendall(request * (BODY_BYTES // len(request)))


def send_for_answers(sock):
    """Ask for large answers, and read none."""
    sock.sendall((HEAD + b"Content-Length: 5\r\n\r\nlarge") * 4)


def send_part_of_head(sock):
    """Send a part of a head."""
    sock.sendall(HEAD)


class SmallMachines:
    """One entry and one control replica with little memory, and an endpoint."""

    def __init__(self, system):
        self.system = system
        self.entry = system.entries[0]
        self._endpoint = RawEndpoint(system, "i-big", "big", self._run)
        self._sockets = []
        self._greenlets = []
        route = make_route(
            "/big/", "non_idempotent", "big", max_attempts=1, timeout_ms=20_000
        )
        document = {
            "version": 1,
            "routes": [route],
            "services": [{"name": "big", "health_path": "/h", "max_connections": 200}],
            "tenants": [],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": BODY_BYTES,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
        }
        replace_configuration(system, document)
        system.wait_until_ready()
        self.ask()

    def find_listener(self, name):
        """Return the program and the address of a listener."""
        entry, control = self.entry, self.system.controls[0]
        match name:
            case "callers":
                return entry, (entry.host, entry.process.address.port)
            case "addresses":
                return entry, (entry.host, RESOLVER_PORT)
            case "readiness":
                return entry, (entry.host, READY_PORT)
            case "metrics":
                return entry, (entry.host, METRICS_PORT)
            case "relays":
                return entry, (entry.host, PEER_PORT + 1)
            case "control":
                return control, (control.host, CONTROL_PORT)

    def crowd(self, send, size=CROWD, address=None):
        """Have callers send, and keep their connections open."""
        address = address or self.find_listener("callers")[1]
        greenlets = [spawn(self._misbehave, send, address) for _ in range(size)]
        joinall(greenlets, timeout=SEND_SECONDS)
        killall(greenlets)

    def read_gauges(self):
        """Return the entry's gauges by name, once it answers."""
        deadline = read_clock() + ANSWER_SECONDS
        while read_clock() < deadline:
            with suppress(OSError):
                text = self._fetch_metrics()
                if "held_bytes" in text:
                    lines = text.partition("\r\n\r\n")[2].splitlines()
                    fields = [line.split() for line in lines]
                    return {item[0]: item[1] for item in fields if len(item) == 2}
            sleep(0.2)
        raise AssertionError("no metrics")

    def _fetch_metrics(self):
        request = b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n"
        with create_connection(self.find_listener("metrics")[1], STALL_SECONDS) as sock:
            sock.sendall(request)
            data = b""
            while piece := sock.recv(PIECE_BYTES):
                data += piece
        return data.decode()

    def leave(self):
        """Close the crowd's connections."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

    def ask(self):
        """Send one ordinary request until it is answered."""
        deadline = read_clock() + ANSWER_SECONDS
        while read_clock() < deadline:
            assert self.entry.process.running
            if call(self.entry.process.address, "ordinary", "/big/x") == 200:
                return
            sleep(0.2)
        raise AssertionError("an ordinary request is not answered")

    def check(self, program=None):
        """Check that a process lives within its machine, and that requests are served.

        The kernel's own figure is used: the most memory that the process ever had.
        """
        program = program or self.entry
        self.ask()
        assert program.process.running
        process = Path(f"/proc/{program.process.process.pid}")
        status = dict(
            line.split(":", 1) for line in (process / "status").read_text().splitlines()
        )
        assert int(status["VmHWM"].split()[0]) / 1_024 <= MEMORY_MB
        assert len(list((process / "fd").iterdir())) <= DESCRIPTORS

    def stop(self):
        self.leave()
        self._endpoint.crash()

    def _misbehave(self, send, address):
        with suppress(OSError):
            sock = create_connection(address, STALL_SECONDS)
            self._sockets.append(sock)
            send(sock)

    def _run(self, endpoint, exchange):
        exchange.answer(b"x" * ANSWER_BYTES if exchange.body == b"large" else b"done")


@pytest.fixture
def machines(tmp_path):
    limits = {"memory_mb": MEMORY_MB, "max_open_files": DESCRIPTORS}
    with run_system(tmp_path, 1, 1, limits) as system:
        machines = SmallMachines(system)
        yield machines
        machines.stop()


SENDERS = [
    send_short,
    send_whole,
    send_large_chunks,
    send_small_chunks,
    send_far_too_much,
    send_endless_chunks,
    send_pipelined,
    send_for_answers,
]


@pytest.mark.parametrize("send", SENDERS)
def test_a_crowd_of_callers_ends_no_entry(machines, send):
    machines.crowd(send)
    machines.check()


@pytest.mark.parametrize("listener", ["addresses", "readiness", "metrics", "control"])
def test_a_crowd_at_another_listener_ends_no_program(machines, listener):
    program, address = machines.find_listener(listener)
    machines.crowd(send_short, address=address)
    machines.check(program)


@pytest.mark.parametrize("send", [send_part_of_head, send_short])
def test_a_crowd_of_connections_leaves_descriptors(machines, send):
    machines.crowd(send, size=CONNECTIONS)
    machines.check()


def test_crowds_in_a_row_end_no_entry(machines):
    for send in (send_short, send_whole) * (CROWDS // 2):
        machines.crowd(send, size=CROWD // 3)
        machines.leave()
    machines.check()


def test_a_large_request_is_served_in_calm(machines):
    address = machines.entry.process.address
    assert call(address, "large", "/big/x", BODY, seconds=20.0) == 200
    machines.check()


def send_head_line_by_line(sock):
    """Send a head line by line, one that never ends."""
    sock.sendall(b"POST /big/x HTTP/1.1\r\n")
    for number in range(600):
        sock.sendall(b"X-Line-%d: %s\r\n" % (number, 20 * b"x"))


def send_half(sock):
    """Send half of a body of legal size."""
    sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
    sock.sendall(BODY[: BODY_BYTES // 2])


def send_pipelined_bodies(sock):
    """Send several bodies of legal size one after the other."""
    for _ in range(3):
        send_whole(sock)


@pytest.mark.parametrize(
    "send", [send_head_line_by_line, send_half, send_pipelined_bodies]
)
def test_another_crowd_of_callers_ends_no_entry(machines, send):
    machines.crowd(send)
    machines.check()


def test_a_crowd_at_the_listener_for_other_entries_ends_no_entry(machines):
    machines.crowd(send_short, address=machines.find_listener("relays")[1])
    machines.check()


def test_crowds_of_all_kinds_at_once_end_no_entry(machines):
    crowds = [spawn(machines.crowd, send, CROWD // len(SENDERS)) for send in SENDERS]
    joinall(crowds)
    machines.check()


def test_nothing_is_held_after_crowds(machines):
    for send in (send_short, send_for_answers, send_part_of_head):
        machines.crowd(send)
    assert float(machines.read_gauges()[f"{PREFIX}evicted_for_memory_total"]) > 0
    machines.leave()
    deadline = read_clock() + ANSWER_SECONDS
    # The connection that asks is one itself.
    while float(machines.read_gauges()[f"{PREFIX}peer_connections"]) > 1.0:
        assert read_clock() < deadline
        sleep(0.2)
    held = float(machines.read_gauges()[f"{PREFIX}held_bytes"])
    assert held <= CONNECTION_BYTES + PIECE_BYTES
    machines.check()


@pytest.mark.parametrize("size", [1, 1_000, 100_000])
def test_a_large_body_in_chunks_is_served_in_calm(machines, size):
    count = min(BODY_BYTES, 20_000 * size) // size
    with create_connection(machines.find_listener("callers")[1], SEND_SECONDS) as sock:
        sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        chunk = b"%x\r\n" % size + BODY[:size] + b"\r\n"
        sock.sendall(chunk * count + b"0\r\n\r\n")
        assert sock.recv(PIECE_BYTES).startswith(b"HTTP/1.1 200 ")


def test_a_body_byte_by_byte_is_served_in_calm(machines):
    with create_connection(machines.find_listener("callers")[1], SEND_SECONDS) as sock:
        sock.sendall(HEAD + b"Content-Length: 300\r\n\r\n")
        for _ in range(300):
            sock.sendall(b"x")
            sleep(0.002)
        assert sock.recv(PIECE_BYTES).startswith(b"HTTP/1.1 200 ")
