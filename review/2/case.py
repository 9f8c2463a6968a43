"""A heartbeat of another writer stops all control of the entries."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (  # noqa: E402
    BOUNDS,
    FRONTEND,
    HEARTBEAT_SECONDS,
    TROUBLE,
    ZONE,
    Client,
    Reader,
    Server,
    make_answer,
    make_configuration,
    make_request,
    make_route,
    run_case,
    send_heartbeat,
    spawn,
)

APPLY_SECONDS = BOUNDS["config_apply_ms"] / 1000
KEY = "key-of-tenant-one"


def serve(server, sock):
    """Serve one connection."""
    reader = Reader(sock)
    while (head := reader.read_head()) is not None:
        line, fields = head
        reader.read_body(fields)
        if "/healthz" in line or "/bergamotwood/report" in line:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            continue
        if fields.get("x-expect-instance") != server.name:
            sock.sendall(make_answer(fields, b"", "421 Misdirected Request"))
            continue
        server.fleet.record.write(f"{server.name}: runs {fields['x-request-id']}")
        sock.sendall(make_answer(fields))


def write_heartbeats(fleet, stopped):
    """Send heartbeats that are counted in 128 bits, from a random start."""
    sequence = 0x5F3759DF_0000_0000_0000_0000_0000_0001
    while not stopped.is_set():
        document = {
            "service": "service-of-another-system",
            "address": "127.0.0.1:9",
            "zone": ZONE,
            "version": "7",
            "slots": 1,
            "state": "ready",
            "sequence": sequence,
            "born": int(time.time() * 1000),
        }
        taken_by = send_heartbeat(fleet, "other-writer-1", document)
        fleet.record.write(f"other writer: {json.dumps(document)} taken by {taken_by}")
        sequence += 1
        stopped.wait(HEARTBEAT_SECONDS)


def ask(fleet, entry, path, number, **fields):
    """Make one request; return its status."""
    client = Client(entry.host, FRONTEND)
    try:
        request = f"q-{number:06x}"
        client.send(make_request("GET", path, request, **fields))
        status, head, _ = client.read()
    except OSError as error:
        status, head = repr(error), {}
    finally:
        client.close()
    fleet.record.write(
        f"client: {request} GET {path} at {entry.name}: {status}"
        f" signed={'x-server-signature' in head}"
    )
    return status


def case(fleet, record):
    """Return whether the rule held."""
    routes = [
        make_route("r-keyed", "/keyed/", "plain", "idempotent", public=False),
        make_route("r-open", "/open/", "plain", "idempotent"),
    ]
    tenants = [{"name": "tenant-one", "api_keys": [KEY]}]
    fleet.replace_configuration(
        make_configuration(1, routes, ["plain"], tenants=tenants)
    )
    for number in (1, 2):
        fleet.add(Server(fleet, f"i-plain-{number}", "plain", serve))
    fleet.wait_until_ready()
    time.sleep(3.0)
    number = 0
    for entry in fleet.entries:
        number += 1
        if ask(fleet, entry, "/keyed/x", number, X_Key=KEY) != 200:
            raise OSError("the fleet does not serve before the case")
    stopped = threading.Event()
    if TROUBLE:
        spawn(write_heartbeats, fleet, stopped)
    time.sleep(12.0)
    routes.append(make_route("r-new", "/new/", "plain", "idempotent"))
    acknowledged_at = fleet.replace_configuration(
        make_configuration(2, routes, ["plain"], tenants=tenants)
    )
    time.sleep(max(acknowledged_at + APPLY_SECONDS + 0.5 - time.monotonic(), 0.0))
    refused = keyed_refused = 0
    for _ in range(20):
        for entry in fleet.entries:
            number += 1
            refused += ask(fleet, entry, "/new/x", number) == 404
            number += 1
            keyed_refused += ask(fleet, entry, "/keyed/x", number, X_Key=KEY) != 200
        time.sleep(0.2)
    stopped.set()
    record.write(
        f"check: of 40 requests on the new route, sent {APPLY_SECONDS} s and more after"
        f" its acknowledgement, {refused} got 404; of 40 with a valid key,"
        f" {keyed_refused} were not served"
    )
    return refused == 0


run_case(Path(__file__).resolve().parent, case)
