"""A request that crashes servers reaches them again and again."""

import random
import socket
import struct
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    BOUNDS,
    FRONTEND,
    TROUBLE,
    Client,
    Reader,
    Server,
    make_answer,
    make_configuration,
    make_request,
    make_route,
    run_case,
    spawn,
)

ENTRIES = 6
SERVERS = 4
# Time from the request's arrival at a server to its crash, and from that to its return.
CRASH_SECONDS = 0.03
RETURN_SECONDS = 3.0
RUN_SECONDS = 40.0
# Time after which the request comes again; a refusal's Retry-After counts up to a third
# of its deadline.
REPEAT_SECONDS = 1.0
DEADLINE_MS = 3_000
CALLERS = 8
# Longest work of a sound request, and the pause between two of one caller: together as
# many a second as the sheet has for the service (8).
MAX_WORK_SECONDS = 0.18
CALLER_PAUSE_SECONDS = 0.9
# Later retries that the rule allows.
ALLOWED = 3
# A close with this option resets the connection.
RESET = struct.pack("ii", 1, 0)


class Crashes:
    """Crashes of servers, and arrivals of the request that causes them."""

    def __init__(self):
        self.times = []
        self.arrivals = []
        self.lock = threading.Lock()


class BrittleServer(Server):
    """A server that crashes when it begins to run one request, and comes back."""

    def __init__(self, fleet, number, generation, crashes):
        self._number = number
        self._generation = generation
        self._crashes = crashes
        self._sockets = set()
        name = f"i-plain-{number}-{generation}"
        super().__init__(fleet, name, "plain", type(self).serve)

    def serve(self, sock):
        """Serve one connection."""
        self._sockets.add(sock)
        reader = Reader(sock)
        while (head := reader.read_head()) is not None:
            line, fields = head
            body = reader.read_body(fields)
            if "/healthz" in line or "/bergamotwood/report" in line:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                continue
            if body == b"crash" and TROUBLE:
                request = fields["x-request-id"]
                self.fleet.record.write(f"{self.name}: begins to run {request}")
                self._crashes.arrivals.append((time.monotonic(), request))
                time.sleep(CRASH_SECONDS)
                self._crash()
                return
            time.sleep(random.uniform(0.02, MAX_WORK_SECONDS))
            sock.sendall(make_answer(fields))

    def _crash(self):
        with self._crashes.lock:
            if self._is_stopped:
                return
            self._is_stopped = True
            self._crashes.times.append(time.monotonic())
        self.fleet.record.write(f"{self.name}: crashes")
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self._sockets):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                # It has been closed before.
                continue
        spawn(self._return)

    def _return(self):
        time.sleep(RETURN_SECONDS)
        generation = self._generation + 1
        self.fleet.add(
            BrittleServer(self.fleet, self._number, generation, self._crashes)
        )


def ask(entry, request, body):
    """Make one request; return its status."""
    try:
        client = Client(entry.host, FRONTEND, seconds=DEADLINE_MS / 1000 + 1.0)
    except OSError as error:
        return repr(error)
    try:
        client.send(make_request("POST", "/pay/x", request, body, DEADLINE_MS))
        return client.read()[0]
    except OSError as error:
        return repr(error)
    finally:
        client.close()


def use_service(fleet, caller, stopped, statuses):
    """Make sound requests until the case ends."""
    number = 0
    while not stopped.wait(CALLER_PAUSE_SECONDS):
        number += 1
        body = f"sound {caller} {number}".encode()
        entry = random.choice(fleet.entries)
        statuses.append(ask(entry, f"q-{caller}-{number}", body))


def case(fleet, record):
    """Return whether the rule held."""
    routes = [make_route("r-pay", "/pay/", "plain", "non_idempotent", max_attempts=1)]
    fleet.replace_configuration(make_configuration(1, routes, ["plain"]))
    crashes = Crashes()
    for number in range(SERVERS):
        fleet.add(BrittleServer(fleet, number, 0, crashes))
    fleet.wait_until_ready()
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
    stopped = threading.Event()
    statuses = []
    for caller in range(CALLERS):
        spawn(use_service, fleet, caller, stopped, statuses)
    time.sleep(2.0)
    deadline = time.monotonic() + RUN_SECONDS
    number = 0
    while time.monotonic() < deadline:
        number += 1
        entry = fleet.entries[number % len(fleet.entries)]
        status = ask(entry, f"q-crash-{number}", b"crash")
        record.write(f"client: q-crash-{number} at {entry.name}: {status}")
        time.sleep(REPEAT_SECONDS)
    stopped.set()
    late = set()
    if len(crashes.times) >= 3:
        since = crashes.times[2] + BOUNDS["contact_ms"] / 1000
        late = {request for at, request in crashes.arrivals if at > since}
    failed = sum(status != 200 for status in statuses)
    record.write(
        f"check: {len(crashes.times)} crashes; {len(late)} retries reached servers"
        f" later than contact_ms after the third crash, allowed are {ALLOWED};"
        f" {failed} of {len(statuses)} sound requests failed or were refused"
    )
    return len(late) <= ALLOWED


run_case(Path(__file__).resolve().parent, case, entries=ENTRIES)
