"""Codes and retry times of requests for which no endpoint is available."""

from bergamotwood_core.errors import Code
from bergamotwood_core.gateway.call import Call
from bergamotwood_core.gateway.notices import compute_return
from bergamotwood_daemon.gateway.entry import GatewayEntry

# Retry delay when a service has no endpoint: an endpoint that starts announces itself
# within about one heartbeat.
NO_ENDPOINT_RETRY_SECONDS = 0.6
# Retry delay sent to callers when every endpoint refused the request.
OVERLOADED_RETRY_SECONDS = 0.3


def choose_refusal_code(entry: GatewayEntry, call: Call, code: Code) -> Code:
    """Return a code, or that only this entry cannot serve a request."""
    has_no_way = entry.reach.is_lost(call.service) or entry.lacks_share(call)
    return Code.OUT_OF_REACH if has_no_way else code


def choose_retry_after(entry: GatewayEntry, call: Call) -> float:
    """Return the seconds until a refused request is likely to find an endpoint."""
    groups = entry.list_eligible_endpoints(call)
    heartbeats = [heartbeat for group in groups for heartbeat in group]
    pause = entry.placement.estimate_return(heartbeats, call, entry.clock())
    if pause is None:
        seconds = NO_ENDPOINT_RETRY_SECONDS
    else:
        seconds = max(pause, OVERLOADED_RETRY_SECONDS)
    return compute_return(seconds, call.priority, entry.rng)
