"""Documents of the platform for tests."""

ROUTE = {
    "name": "r",
    "hostname": "Ficu95.example",
    "path_prefix": "/lohu930/",
    "route_type": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 4000,
    "priority": 1,
    "sizes": ["small", "large"],
    "backends": [{"service": "pool", "weight": 90}, {"service": "desk", "weight": 10}],
    "max_attempts": 3,
    "public": False,
    "session_affinity": True,
    "resumable": True,
    "itl_target_ms": 1500,
    "unknown": {"x": 1},
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "pool",
            "health_path": "/healthz",
            "max_connections": 370,
            "runtime": {
                "slots": 64,
                "kv_capacity": 362689,
                "model_list": [{"name": "small", "cost": 0.0074}],
            },
        },
        {"name": "desk"},
    ],
    "limits": {"max_header_bytes": 8192, "idle_timeout_ms": 15000},
    "tenants": [{"name": "circle", "api_keys": ["a", "b"], "priority": 1}],
}
HEARTBEAT = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "karen",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "warmup_left_ms": 250,
    "phase": "unified",
    "model_list": [{"name": "small", "version": 1, "loras": []}],
    "sequence": 4,
    "born": 1783727335582,
}
