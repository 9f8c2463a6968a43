"""A server answers before it has read a long body, and gets another request's bytes."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    FRONTEND,
    TROUBLE,
    Client,
    Reader,
    Server,
    is_readable,
    make_answer,
    make_configuration,
    make_request,
    make_route,
    run_case,
)

# Longer than what the small window of the server and the entry's own buffer hold.
BODY_BYTES = 1_000_000
# Of the server's connections: segments as on an Ethernet link, and a small window. The
# segments of a loopback link would make the buffers some MB long.
SEGMENT_BYTES = 1_460
WINDOW_BYTES = 16_384
# The server reads at most this much each second, and answers before it has the body.
STEP_BYTES = 100_000
STEP_SECONDS = 1.0
STEPS = 4
# How long after its early answer the server reads on.
READ_ON_SECONDS = 1.0
PATTERN = b"abcdefghijklmnopqrstuvwxyz012345"


def make_body(size):
    """Return a body in which each byte is known."""
    return (PATTERN * (size // len(PATTERN) + 1))[:size]


class EarlyServer:
    """Behaviour of the server, and what it has seen."""

    def __init__(self, record):
        self.record = record
        self.broken = []
        self.answered = threading.Event()
        self.has_read = threading.Event()

    def serve(self, server, sock):
        """Serve one connection."""
        reader = Reader(sock)
        while (head := reader.read_head()) is not None:
            line, fields = head
            if "/healthz" in line or "/bergamotwood/report" in line:
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                continue
            request = fields.get("x-request-id")
            self.record.write(f"{server.name}: head of {request}: {line}")
            size = int(fields.get("content-length", 0))
            if size < BODY_BYTES or not TROUBLE:
                reader.read_exactly(size)
                sock.sendall(make_answer(fields))
                continue
            if not self._read_slowly(reader, sock, fields, request, size):
                return

    def _read_slowly(self, reader, sock, fields, request, size):
        body = b""
        for _ in range(STEPS):
            time.sleep(STEP_SECONDS)
            step = b""
            while len(step) < STEP_BYTES and (reader.data or is_readable(sock, 0.0)):
                if not reader.data and not reader.fill():
                    return False
                step += reader.read_exactly(
                    min(len(reader.data), STEP_BYTES - len(step))
                )
            body += step
        self.record.write(f"server: has read {len(body)} of {size} bytes of {request}")
        sock.sendall(make_answer(fields))
        self.record.write(f"server: has answered {request} early; reads on later")
        self.answered.set()
        time.sleep(READ_ON_SECONDS)
        while len(body) < size:
            if not reader.data:
                if not is_readable(sock, 3.0):
                    self.record.write(
                        f"server: {len(body)} bytes of {request} came, then nothing"
                    )
                    break
                if not reader.fill():
                    self.record.write(
                        f"server: connection ended after {len(body)} bytes of {request}"
                    )
                    break
            body += reader.read_exactly(min(len(reader.data), size - len(body)))
        expected = make_body(size)
        if body != expected[: len(body)]:
            at = next(i for i, byte in enumerate(body) if byte != expected[i])
            self.broken.append(request)
            self.record.write(
                f"server: after {at} bytes of the body of {request} come other bytes:"
                f" {body[at : at + 160]!r}"
            )
        else:
            self.record.write(f"server: all {len(body)} bytes of {request} are its own")
        self.has_read.set()
        return len(body) == size


def case(fleet, record):
    """Return whether the rule held."""
    routes = [make_route("r-up", "/up/", "plain", "idempotent", timeout_ms=8000)]
    fleet.replace_configuration(make_configuration(1, routes, ["plain"]))
    behaviour = EarlyServer(record)
    fleet.add(
        Server(
            fleet,
            "i-plain-1",
            "plain",
            behaviour.serve,
            receive_bytes=WINDOW_BYTES,
            segment_bytes=SEGMENT_BYTES,
        )
    )
    fleet.wait_until_ready()
    time.sleep(2.0)
    entry = fleet.entries[0]
    first = Client(entry.host, FRONTEND)
    body = make_body(BODY_BYTES)
    record.write(f"client: q-1 POST /up/x with {len(body)} bytes")
    first.send(make_request("POST", "/up/x", "q-1", body, 8000))
    status, head, answer = first.read()
    record.write(f"client: q-1 got {status}, {answer!r}")
    for number in (2, 3):
        second = Client(entry.host, FRONTEND)
        record.write(f"client: q-{number} POST /up/y")
        second.send(make_request("POST", "/up/y", f"q-{number}", b"z" * 300, 3000))
        status, head, answer = second.read()
        record.write(f"client: q-{number} got {status}, {answer!r}")
    if TROUBLE:
        behaviour.has_read.wait(15.0)
    record.write(f"check: requests whose body was changed: {behaviour.broken}")
    return not behaviour.broken


run_case(Path(__file__).resolve().parent, case)
