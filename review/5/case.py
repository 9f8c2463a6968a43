"""Sessions with long requests move to a version in the first half of its roll-out."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    BOUNDS,
    CONTROL,
    FRONTEND,
    TROUBLE,
    CaseError,
    Client,
    Reader,
    Server,
    call,
    make_configuration,
    make_request,
    make_route,
    run_case,
    spawn,
)

# The sheet of the head office: `chapter-guide`.
ROUTE = {
    "timeout_ms": 25_000,
    "target_latency_ms": 4_000,
    "itl_target_ms": 800,
    "max_attempts": 3,
    "resumable": True,
    "session_affinity": True,
}
SESSIONS = 60
# The first request of a session takes 5.5 s, longer than `session_s`.
FIRST_EVENTS, FIRST_EVENT_SECONDS = 11, 0.5
SECOND_EVENTS, SECOND_EVENT_SECONDS = 3, 0.05
# Time from the end of the first request of a session to its second one.
PAUSE_SECONDS = 1.5
ROLLOUT_SECONDS = 16.0
# Requests on another version that the rule allows.
ALLOWED = 3


class ModelServer(Server):
    """A model server of one version, which streams events."""

    def __init__(self, fleet, name, version, runs):
        self._version = version
        self._runs = runs
        super().__init__(fleet, name, "models", type(self).serve)

    def make_heartbeat(self):
        """Return the next heartbeat."""
        return {**super().make_heartbeat(), "version": self._version, "slots": 64}

    def serve(self, sock):
        """Serve one connection."""
        reader = Reader(sock)
        while (head := reader.read_head()) is not None:
            line, fields = head
            reader.read_body(fields)
            if "/healthz" in line or "/bergamotwood/report" in line:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                continue
            self._stream(sock, fields)

    def _stream(self, sock, fields):
        request = fields["x-request-id"]
        self._runs.append((request, self._version))
        self.fleet.record.write(
            f"{self.name} ({self._version}): runs {request} of {fields['session']}"
        )
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Server-Signature: 1.2.3\r\nTransfer-Encoding: chunked\r\n"
            + f"X-Request-Id: {request}\r\n\r\n".encode()
        )
        events, seconds = SECOND_EVENTS, SECOND_EVENT_SECONDS
        if request.startswith("q-a"):
            events, seconds = FIRST_EVENTS, FIRST_EVENT_SECONDS
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, events + 1):
            time.sleep(seconds)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        sock.sendall(b"0\r\n\r\n")


def ask(entry, record, session, request):
    """Make one request of a session; return the time of its end."""
    client = Client(entry.host, FRONTEND, seconds=25.0)
    try:
        client.send(
            make_request(
                "POST", "/guide/x", request, b"prompt", 25_000, Session=session
            )
        )
        status = client.read()[0]
    except OSError as error:
        status = repr(error)
    finally:
        client.close()
    record.write(f"client: {request} of {session} at {entry.name}: {status}")
    return time.monotonic()


def use_session(entry, record, number, times):
    """Make two requests of one session, and store their end and beginning."""
    session = f"session-{number}"
    ended_at = ask(entry, record, session, f"q-a{number}")
    time.sleep(PAUSE_SECONDS)
    times[number] = (ended_at, time.monotonic())
    ask(entry, record, session, f"q-b{number}")


def begin_rollout(fleet):
    """Order the roll-out until it is acknowledged; return the time of that."""
    order = {"service": "models", "target": "v2", "duration_s": ROLLOUT_SECONDS}
    body = json.dumps(order).encode()
    for _ in range(4):
        for program in fleet.controls:
            address = (program.host, CONTROL)
            if call(address, "POST", "/bergamotwood/rollouts/begin", body)[0] == 200:
                fleet.record.write(f"operator: {order} acknowledged")
                return time.monotonic()
    raise CaseError("the roll-out is not acknowledged")


def case(fleet, record):
    """Return whether the rule held."""
    routes = [make_route("r-guide", "/guide/", "models", "streaming", **ROUTE)]
    fleet.replace_configuration(make_configuration(1, routes, ["models"]))
    runs = []
    for number in (1, 2, 3):
        fleet.add(ModelServer(fleet, f"i-old-{number}", "v1", runs))
    fleet.wait_until_ready()
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
    times = {}
    threads = []
    for number in range(SESSIONS):
        entry = fleet.entries[number % 2]
        threads.append(spawn(use_session, entry, record, number, times))
        time.sleep(0.005)
    time.sleep(0.5)
    ordered_at = time.monotonic()
    if TROUBLE:
        ordered_at = begin_rollout(fleet)
        for number in (1, 2, 3):
            fleet.add(ModelServer(fleet, f"i-new-{number}", "v2", runs))
    for thread in threads:
        thread.join(30.0)
    versions = {}
    for request, version in runs:
        versions.setdefault(request, []).append(version)
    moved = []
    for number, (ended_at, began_at) in times.items():
        is_open = began_at - ended_at < BOUNDS["session_s"]
        is_first_half = began_at - ordered_at < ROLLOUT_SECONDS / 2
        before = versions.get(f"q-a{number}", ["-"])[-1]
        after = versions.get(f"q-b{number}", ["-"])[0]
        if is_open and is_first_half and (before, after) == ("v1", "v2"):
            moved.append(f"q-b{number}")
    record.write(
        f"check: {len(moved)} of {SESSIONS} sessions that were open on v1 went on at v2"
        f" in the first half of its roll-out, allowed are {ALLOWED}: {moved}"
    )
    return len(moved) <= ALLOWED


run_case(Path(__file__).resolve().parent, case)
