"""After a change of the limits, kept connections are still judged by the old ones."""

import sys
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
)

OLD_HEADER_BYTES, NEW_HEADER_BYTES = 4_096, 16_384
PROMPT_PARTS = 500
CONNECTIONS = 20
# Allowed refusals of proper requests: 5, and one in 500.
ALLOWED = 5 + 2 * CONNECTIONS / 500


def serve(server, sock):
    """Serve one connection."""
    reader = Reader(sock)
    while (head := reader.read_head()) is not None:
        line, fields = head
        reader.read_body(fields)
        if "/healthz" in line or "/bergamotwood/report" in line:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            continue
        sock.sendall(make_answer(fields))


def case(fleet, record):
    """Return whether the rule held."""
    routes = [make_route("r-open", "/open/", "plain", "idempotent")]
    limits = {"max_header_bytes": OLD_HEADER_BYTES if TROUBLE else NEW_HEADER_BYTES}
    fleet.replace_configuration(make_configuration(1, routes, ["plain"], limits))
    fleet.add(Server(fleet, "i-plain-1", "plain", serve))
    fleet.wait_until_ready()
    time.sleep(3.0)
    clients = []
    for number in range(CONNECTIONS):
        client = Client(fleet.entries[number % 2].host, FRONTEND)
        client.send(make_request("GET", "/open/x", f"q-a{number}"))
        record.write(f"client: q-a{number} got {client.read()[0]}")
        clients.append(client)
    limits = {"max_header_bytes": NEW_HEADER_BYTES}
    acknowledged_at = fleet.replace_configuration(
        make_configuration(2, routes, ["plain"], limits)
    )
    apply_seconds = BOUNDS["config_apply_ms"] / 1000
    time.sleep(acknowledged_at + apply_seconds + 0.5 - time.monotonic())
    prompt = ",".join(f"{part:012x}:{part % 90 + 10}" for part in range(PROMPT_PARTS))
    refused = 0
    for number, client in enumerate(clients):
        request = make_request("GET", "/open/x", f"q-b{number}", X_Prefix_Hash=prompt)
        # Two segments, as a head of this size has on any link.
        client.send(request[:6_000])
        time.sleep(0.02)
        client.send(request[6_000:])
        status = client.read()[0]
        record.write(f"client: q-b{number}, a head of {len(request)} bytes: {status}")
        refused += status == 431
    record.write(
        f"check: {refused} of {CONNECTIONS} requests, sent later than config_apply_ms"
        f" after the acknowledgement, were refused by the old limit; allowed are"
        f" {ALLOWED}"
    )
    return refused <= ALLOWED


run_case(Path(__file__).resolve().parent, case)
