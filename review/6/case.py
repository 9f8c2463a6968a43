"""Core machines are replaced as planned; then another one loses its disk.

Two machines are replaced, both new ones first, the old ones 13 s after each other, and
the disk is lost 13 s after that. With WAY=2 one machine is replaced, and the disk is
lost 1.5 s after the old one has ended.
"""

import json
import os
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "fleet2"))

from fleet2 import (  # noqa: E402
    BOUNDS,
    HOST_NAME,
    CannotRunError,
    Daemon,
    Fleet,
    Server,
    fetch,
    make_configuration,
    make_route,
    make_service,
    new_id,
    run_case,
)

# A successor counts as lost for `catch_up_s` after its start; it gets twice that.
SUCCESSOR_SECONDS = 2.0 * BOUNDS["catch_up_s"]
WAY = os.environ.get("WAY", "1")
REPLACED = 1 if WAY == "2" else 2
# Time from the end of an old machine to what comes next.
PAUSE_SECONDS = 1.5 if WAY == "2" else 13.0
DOWN_SECONDS = 1.0
RECOVERY_SECONDS = BOUNDS["recovery_s"]
CONTACT_SECONDS = BOUNDS["contact_ms"] / 1000
READ_PATH = "/bergamotwood/config/read"
REQUESTS = 20


def play(record, is_troubled):
    """Play the case; return what broke the rule, or an empty text."""

    def put(fleet, version, seconds=20.0):
        route = make_route("/look/", "idempotent", "duka")
        tenants = [{"name": "circle", "api_keys": ["k"], "priority": 1}]
        document = make_configuration(version, [route], [make_service("duka")], tenants)
        fleet.replace_configuration(document, seconds)

    def read(fleet):
        """Return the newest version that any core machine reads back; 0 if none."""
        newest = 0
        for core in fleet.cores:
            port = fleet.ports["control"]
            status, _, body = fetch(core.host, port, "GET", READ_PATH, seconds=4.0)
            version = json.loads(body)["version"] if status == 200 else 0
            record.note("read", core=core.name, status=status, version=version)
            newest = max(newest, version)
        return newest

    def count_served(fleet):
        """Return how many of some requests of clients are served."""
        edge, port = fleet.edges[0], fleet.ports["frontend"]
        served = 0
        for _ in range(REQUESTS):
            request = new_id()
            headers = {
                "Host": HOST_NAME,
                "X-Request-Id": request,
                "X-Deadline-Ms": "1000",
                "X-Key": "k",
            }
            status = fetch(edge.host, port, "GET", "/look/1", headers)[0]
            record.note("answered", edge=edge.name, id=request, status=status)
            served += status == 200
        return served

    def run(server, exchange):
        record.note("runs", server=server.name, id=exchange.request)
        exchange.answer(200, b"found")

    def add_successor(fleet, number, old):
        """Start an empty machine at a new address, in the zone of an old one."""
        host = f"{fleet.subnet}.{60 + number}"
        successor = Daemon(fleet, f"core-{7 + number}", host, True, old.zone)
        fleet.cores.append(successor)
        record.note("successor-starts", core=successor.name, host=host)
        successor.start()

    def remove(fleet, old):
        """Stop a machine, which doesn't come back."""
        record.note("sigterm", core=old.name)
        old.signal(signal.SIGTERM)
        old.process.wait(BOUNDS["grace_period_s"])
        fleet.cores.remove(old)
        record.note("ended", core=old.name)

    with Fleet(record, edges=1) as fleet:
        Server(fleet, "i-1", "duka", run)
        put(fleet, 3)
        fleet.wait_until_ready()
        replaced, other = fleet.cores[:REPLACED], fleet.cores[REPLACED]
        for number, old in enumerate(replaced):
            add_successor(fleet, number, old)
        time.sleep(SUCCESSOR_SECONDS)
        put(fleet, 5)
        served_before = count_served(fleet)
        if served_before < REQUESTS:
            raise CannotRunError(f"{served_before} requests are served at first")
        for old in replaced:
            remove(fleet, old)
            time.sleep(PAUSE_SECONDS)
        # What is started from now on is told of the machines that are left.
        control = fleet.ports["control"]
        fleet.seeds = [f"{core.host}:{control}" for core in fleet.cores]
        put(fleet, 7)
        if is_troubled:
            record.note("loses-its-disk", core=other.name)
            other.kill()
            shutil.rmtree(other.folder / "disk")
            (other.folder / "disk").mkdir()
            time.sleep(DOWN_SECONDS)
            other.start()
            record.note("back-with-an-empty-disk", core=other.name)
        time.sleep(RECOVERY_SECONDS)
        record.note("recovered", seconds=RECOVERY_SECONDS)
        deadline = time.monotonic() + 2.0 * CONTACT_SECONDS
        newest = 0
        while newest < 7 and time.monotonic() < deadline:
            newest = max(newest, read(fleet))
        served = count_served(fleet)
        try:
            put(fleet, 9, 10.0)
            is_accepted = True
        except CannotRunError as error:
            is_accepted = False
            record.note("not-acknowledged", version=9, reason=error)
    if newest >= 7 and is_accepted and served >= REQUESTS / 4:
        return ""
    return (
        f"version 7 was acknowledged, {newest or 'none'} is read back, and version 9 is"
        f" {'' if is_accepted else 'not '}acknowledged; {served} of {REQUESTS} requests"
        f" are served, {served_before} before"
    )


run_case(play)
