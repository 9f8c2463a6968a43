"""A stream whose server pauses is cut while its entry is stopped as planned."""

import signal
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
    is_readable,
    make_configuration,
    make_request,
    make_route,
    run_case,
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
EVENTS = 12
EVENT_SECONDS = 0.1
# The server preempts the stream after this event, and reads it in again meanwhile.
PREEMPTED_AFTER = 4
PREEMPTION_SECONDS = 3.0 if TROUBLE else 0.0
# A client leaves a stream after a gap of 2 s, four times the objective or eight times
# the pause of the sheet, whichever is longest.
CLIENT_GAP_SECONDS = max(2.0, 4 * 4.0, 8 * 0.8)
# The last sixth of the grace period is left out.
JUDGED_SECONDS = BOUNDS["grace_period_s"] * 5 / 6


class StreamServer:
    """A model server with one stream at a time."""

    def __init__(self, record):
        self.record = record
        self.started = threading.Event()
        self.cut_at = None

    def serve(self, server, sock):
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
        first = int(fields.get("last-event-id", 0)) + 1
        self.record.write(f"server: runs {request} from event {first}")
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Server-Signature: 1.2.3\r\nTransfer-Encoding: chunked\r\n"
            + f"X-Request-Id: {request}\r\n\r\n".encode()
        )
        for number in range(first, EVENTS + 1):
            pause = EVENT_SECONDS
            if number == PREEMPTED_AFTER + 1:
                pause += PREEMPTION_SECONDS
            if is_readable(sock, pause) and not sock.recv(1):
                self.cut_at = time.monotonic()
                self.record.write(
                    f"server: the entry has closed {request} before event {number}"
                )
                return
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            self.started.set()
        sock.sendall(b"0\r\n\r\n")
        self.record.write(f"server: {request} has ended with event {EVENTS}")


def case(fleet, record):
    """Return whether the rule held."""
    routes = [make_route("r-guide", "/guide/", "models", "streaming", **ROUTE)]
    fleet.replace_configuration(make_configuration(1, routes, ["models"]))
    behaviour = StreamServer(record)
    fleet.add(Server(fleet, "i-model-1", "models", behaviour.serve))
    fleet.wait_until_ready()
    # Later than `contact_ms` after the start.
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
    entry = fleet.entries[0]
    client = Client(entry.host, FRONTEND, seconds=CLIENT_GAP_SECONDS)
    record.write(f"client: q-1 POST /guide/x at {entry.name}")
    client.send(make_request("POST", "/guide/x", "q-1", b"prompt", 25_000))
    behaviour.started.wait(5.0)
    stopped_at = time.monotonic()
    entry.signal(signal.SIGTERM)
    text = b""
    ended_at = None
    try:
        while not text.endswith(b"0\r\n\r\n"):
            more = client.sock.recv(65536)
            if not more:
                ended_at = time.monotonic()
                break
            text += more
            record.write(f"client: q-1 received {more!r}")
    except TimeoutError:
        record.write("client: q-1 leaves after too long a gap")
    except OSError as error:
        ended_at = time.monotonic()
        record.write(f"client: q-1: {error!r}")
    if ended_at is None:
        record.write("check: the answer of q-1 is complete")
        return True
    seconds = ended_at - stopped_at
    record.write(
        f"check: the connection of q-1 has ended without a complete answer,"
        f" {seconds:.2f} s after SIGTERM to its entry; its server was still at work,"
        f" its deadline and the route's time-out are 25 s"
    )
    return seconds > JUDGED_SECONDS


run_case(Path(__file__).resolve().parent, case)
