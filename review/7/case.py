"""All tenants are taken out of the configuration: their keys have to stop working."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "fleet2"))

from fleet2 import (  # noqa: E402
    BOUNDS,
    HOST_NAME,
    CannotRunError,
    Fleet,
    Server,
    fetch,
    make_configuration,
    make_route,
    make_service,
    new_id,
    run_case,
)

HELD_KEY, OTHER_KEY = "key-of-circle", "key-that-no-configuration-held"
REVOKE_SECONDS = BOUNDS["revoke_ms"] / 1000
# Requests with each key at each edge machine after the key has to be out.
REQUESTS = 5


def play(record, is_troubled):
    """Play the case; return what broke the rule, or an empty text."""
    runs = {}

    def run(server, exchange):
        tenant = exchange.headers.get("x-tenant")
        record.note("runs", server=server.name, id=exchange.request, tenant=tenant)
        runs[exchange.request] = tenant
        exchange.answer(200, b"ok")

    def ask(fleet, edge, key):
        request = new_id()
        headers = {
            "Host": HOST_NAME,
            "X-Request-Id": request,
            "X-Deadline-Ms": "3000",
            "X-Key": key,
        }
        port = fleet.ports["frontend"]
        record.note("sent", edge=edge.name, id=request, key=key)
        status = fetch(edge.host, port, "POST", "/pay/1", headers, b"x", 3.0)[0]
        record.note("answered", edge=edge.name, id=request, status=status)
        return request, status

    with Fleet(record) as fleet:
        Server(fleet, "i-1", "duka", run)
        routes = [make_route("/pay/", "non_idempotent", "duka", max_attempts=1)]
        services = [make_service("duka")]
        tenants = [{"name": "circle", "api_keys": [HELD_KEY], "priority": 1}]
        fleet.replace_configuration(make_configuration(3, routes, services, tenants))
        fleet.wait_until_ready()
        time.sleep(3.0)
        for edge in fleet.edges:
            if ask(fleet, edge, HELD_KEY)[1] != 200:
                raise CannotRunError("the key does not work before it is taken away")
            if ask(fleet, edge, OTHER_KEY)[1] != 401:
                raise CannotRunError("an unknown key is not refused before the change")
        kept = [] if is_troubled else tenants
        fleet.replace_configuration(make_configuration(8, routes, services, kept))
        acknowledged_at = time.monotonic()
        time.sleep(REVOKE_SECONDS + 1.0)
        after = round(time.monotonic() - acknowledged_at, 1)
        record.note("keys-have-to-be-out", seconds_after_acknowledgement=after)
        keys = (HELD_KEY, OTHER_KEY) if is_troubled else (OTHER_KEY,)
        ran = {
            key: sum(
                ask(fleet, edge, key)[0] in runs
                for edge in fleet.edges
                for _ in range(REQUESTS)
            )
            for key in keys
        }
    record.note("ran-later", **{key.replace("-", "_"): n for key, n in ran.items()})
    if not any(ran.values()):
        return ""
    return f"requests that ran although no configuration in force has the key: {ran}"


run_case(play)
