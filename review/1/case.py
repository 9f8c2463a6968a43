"""One answer of a server in trouble stops an entry for all of its clients."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    BOUNDS,
    FRONTEND,
    READY,
    TROUBLE,
    Client,
    Reader,
    Server,
    call,
    make_answer,
    make_configuration,
    make_request,
    make_route,
    run_case,
    spawn,
)

STREAM_ROUTE = {
    "timeout_ms": 25_000,
    "target_latency_ms": 4_000,
    "itl_target_ms": 800,
    "max_attempts": 3,
    "resumable": True,
    "session_affinity": True,
}
EVENTS = 20
# Requests of other clients, which wait for the answer and do not repeat them.
PLAIN_TIMEOUT_MS = 800
PLAIN_DEADLINE_MS = 3_000
PLAIN_INTERVAL_SECONDS = 0.25
SLACK_SECONDS = 0.5
# Streams before the spoiled one: it is one answer of fifty.
STREAMS = 49
CHUNK = b"80\r\n" + 128 * b"x" + b"\r\n"


class ModelServer:
    """Streams events; one answer goes on without end, and holds no event."""

    def __init__(self, record):
        self.record = record
        self.streams = 0
        self.lock = threading.Lock()

    def serve(self, server, sock):
        """Serve one connection."""
        reader = Reader(sock)
        while (head := reader.read_head()) is not None:
            line, fields = head
            reader.read_body(fields)
            if "/healthz" in line or "/bergamotwood/report" in line:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                continue
            with self.lock:
                self.streams += 1
                is_spoiled = TROUBLE and self.streams == STREAMS + 1
            request = fields["x-request-id"]
            self.record.write(
                f"{server.name}: runs {request}, answer {self.streams}"
                f"{', without end' if is_spoiled else ''}"
            )
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"X-Server-Signature: 1.2.3\r\nTransfer-Encoding: chunked\r\n"
                + f"X-Request-Id: {request}\r\n\r\n".encode()
            )
            if is_spoiled:
                self._send_without_end(server, sock, request)
                return
            first = int(fields.get("last-event-id", 0)) + 1
            for number in range(first, EVENTS + 1):
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            sock.sendall(b"0\r\n\r\n")

    def _send_without_end(self, server, sock, request):
        sent = 0
        started_at = time.monotonic()
        try:
            while True:
                sock.sendall(8 * CHUNK)
                sent += 8 * 128
        except OSError:
            seconds = time.monotonic() - started_at
            self.record.write(
                f"{server.name}: the caller closed {request} after {seconds:.1f} s and"
                f" at most {sent} bytes"
            )


def serve_plain(server, sock):
    """Serve one connection of the sound service."""
    reader = Reader(sock)
    while (head := reader.read_head()) is not None:
        line, fields = head
        reader.read_body(fields)
        if "/healthz" in line or "/bergamotwood/report" in line:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            continue
        server.fleet.record.write(f"{server.name}: runs {fields['x-request-id']}")
        sock.sendall(make_answer(fields))


def ask_plain(entry, number, record, late):
    """Send a request on a connection that is open already."""
    client = Client(entry.host, FRONTEND, seconds=PLAIN_DEADLINE_MS / 1000)
    started_at = time.monotonic()
    try:
        client.send(
            make_request("POST", "/pay/x", f"q-p{number}", b"pay", PLAIN_DEADLINE_MS)
        )
        status = client.read()[0]
    except TimeoutError:
        status = "no answer until its deadline"
    except OSError as error:
        status = repr(error)
    finally:
        client.close()
    seconds = time.monotonic() - started_at
    record.write(f"client: q-p{number}: {status} after {1000 * seconds:.0f} ms")
    late.append(seconds > PLAIN_TIMEOUT_MS / 1000 + SLACK_SECONDS)


def ask_stream(entry, number, record):
    """Ask for one stream and read it to its end."""
    client = Client(entry.host, FRONTEND, seconds=25.0)
    try:
        client.send(make_request("POST", "/guide/x", f"q-s{number}", b"p", 25_000))
        status, _, body = client.read()
    except OSError as error:
        status, body = repr(error), b""
    finally:
        client.close()
    record.write(f"client: q-s{number}: {status}, {body.count(b'data:')} events")


def watch_readiness(entry, record, stopped):
    """Ask for readiness each second, as the platform does."""
    while not stopped.wait(1.0):
        status = call((entry.host, READY), "GET", "/bergamotwood/readyz")[0]
        if status != 200:
            record.write(
                f"platform: readiness of {entry.name}: {status or 'no answer'}"
            )


def case(fleet, record):
    """Return whether the rule held."""
    routes = [
        make_route("r-guide", "/guide/", "models", "streaming", **STREAM_ROUTE),
        make_route(
            "r-pay",
            "/pay/",
            "plain",
            "non_idempotent",
            timeout_ms=PLAIN_TIMEOUT_MS,
            max_attempts=1,
        ),
    ]
    fleet.replace_configuration(make_configuration(1, routes, ["models", "plain"]))
    behaviour = ModelServer(record)
    for number in (1, 2, 3):
        fleet.add(Server(fleet, f"i-model-{number}", "models", behaviour.serve))
    fleet.add(Server(fleet, "i-plain-1", "plain", serve_plain))
    fleet.wait_until_ready()
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1.0)
    entry = fleet.entries[0]
    stopped = threading.Event()
    spawn(watch_readiness, entry, record, stopped)
    for number in range(STREAMS):
        ask_stream(entry, number, record)
    stream = spawn(ask_stream, entry, STREAMS, record)
    late = []
    workers = []
    for number in range(40):
        workers.append(spawn(ask_plain, entry, number, record, late))
        time.sleep(PLAIN_INTERVAL_SECONDS)
    for worker in workers:
        worker.join()
    stream.join(26.0)
    stopped.set()
    record.write(
        f"check: {sum(late)} of {len(late)} requests had no final answer"
        f" {SLACK_SECONDS} s after the time-out of their route"
    )
    return sum(late) < 8 or sum(late) <= len(late) / 4


run_case(Path(__file__).resolve().parent, case)
