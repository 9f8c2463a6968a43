"""A small deployment of the system's real programs, with stand-ins (cases 11 to 15).

Every machine has a loopback address of its own, as the pages ask: the ports are the
same on all machines. Only the standard library is used.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FRONTEND, READY, DIRECTORY, CONTROL, PEER = 8227, 8220, 8224, 8229, 7340
SERVER = 8080
ZONES = ("westlands", "upperhill", "karen")
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revocation": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "retry_window_s": 10,
    "retry_min_extra": 54,
    "exposure_ratio": 0.15,
    "exposure_tolerance": 30,
    "rollback_ms": 5000,
    "recovery_s": 12,
    "delivery_slack_ms": 120,
    "reuse_window_s": 10,
    "session_s": 5,
    "ttl_max_s": 5,
}


class Record:
    """What was sent, answered and run, in `record.txt` of a case."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        with self._lock:
            at = time.monotonic() - self.started
            with self._path.open("a") as file:
                file.write(f"{at:8.3f} {text}\n")


class Fleet:
    """The machines of a deployment, and the temporary folder that they use."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="bw-review-"))
        self.subnet = find_subnet()
        self.machines = []
        self.seeds = []
        self.tolerance = {"machines": 1, "zones": 0, "regions": 0}

    def add(self, name, is_core, zone, bootstrap=True):
        """Return a new machine, which is not started yet."""
        number = len(self.machines) + 1
        machine = Machine(self, name, f"{self.subnet}.{number}", is_core, zone)
        machine.bootstrap = bootstrap
        self.machines.append(machine)
        return machine

    def close(self):
        """End all processes and remove the folder."""
        for machine in self.machines:
            machine.kill(is_quiet=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Machine:
    """One machine of the system with its process."""

    def __init__(self, fleet, name, ip, is_core, zone):
        self.fleet, self.name, self.ip = fleet, name, ip
        self.is_core, self.zone = is_core, zone
        self.bootstrap = True
        self.process = None
        self.started_at = None
        self.disk = fleet.folder / f"{name}-disk"
        self.disk.mkdir()

    @property
    def control(self):
        """Address of its API for operators and servers."""
        return (self.ip, CONTROL)

    def start(self):
        """Write the settings file and start the process."""
        settings = self.fleet.folder / f"{self.name}.toml"
        settings.write_text(self._make_settings())
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["BERGAMOTWOOD_CONFIG"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-P", "-m", "bergamotwood_platform"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.started_at = time.monotonic()
        self.fleet.record.write(f"{self.name} ({self.ip}) starts")

    def kill(self, is_quiet=False):
        """End the process with SIGKILL and wait for its end."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process = None
        if not is_quiet:
            self.fleet.record.write(f"{self.name} is killed")

    def stop(self, seconds):
        """Send SIGTERM, and SIGKILL if the process has not ended in time."""
        self.fleet.record.write(f"{self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process = None
        self.fleet.record.write(f"{self.name} has ended")

    def wipe(self):
        """Empty the disk of a machine whose process does not run."""
        shutil.rmtree(self.disk)
        self.disk.mkdir()
        self.bootstrap = False
        self.fleet.record.write(f"{self.name} loses its disk")

    def _make_settings(self):
        rows = {
            "node_name": self.name,
            "role": "control" if self.is_core else "entry",
            "machine_class": "core" if self.is_core else "edge",
            "serves": ["control"] if self.is_core else ["edge", "registry"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "nairobi",
            "port_range": [PEER, PEER + 15],
            "seed_nodes": self.fleet.seeds,
            "bootstrap": self.bootstrap,
            "fault_domain_member": self.is_core,
            "discovery": "registration",
            "ingress": "registry",
            "heartbeat_ms": 1200,
            "config_mode": "highest",
        }
        listen = {"control_plane": f"{self.ip}:{CONTROL}"}
        if self.is_core:
            rows["data_path"] = str(self.disk)
        else:
            listen = {
                "frontend": f"{self.ip}:{FRONTEND}",
                "ready": f"{self.ip}:{READY}",
                "directory_addr": f"{self.ip}:{DIRECTORY}",
            }
        tables = {
            "zones": dict.fromkeys(ZONES, "nairobi"),
            "listen": listen,
            "limits": {"memory_mb": 296, "max_open_files": 4096},
            "fault_tolerance": self.fleet.tolerance,
            "bounds": BOUNDS,
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in rows.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in values.items()]
        return "\n".join(lines) + "\n"


def find_subnet():
    """Return three octets of loopback addresses on which the ports are free."""
    rng = random.SystemRandom()
    for _ in range(50):
        subnet = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        try:
            for port in (FRONTEND, READY, DIRECTORY, CONTROL, PEER, SERVER, 9464):
                with socket.socket() as sock:
                    sock.bind((f"{subnet}.1", port))
        except OSError:
            continue
        return subnet
    raise SystemExit(2)


def call(address, method, path, body=None, headers=None, seconds=1.0):
    """Return status and body of one call; status 0 if there was no answer."""
    connection = http.client.HTTPConnection(*address, timeout=seconds)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Operator:
    """The operator: sends a change to any machine of its list until it is answered."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.machines = []
        self.acknowledged = 0

    def make_document(self, version):
        """Return a configuration with two routes and one tenant."""
        return {
            "version": version,
            "routes": [
                {
                    "name": "r-1",
                    "hostname": HOST,
                    "path_prefix": "/pay/",
                    "route_type": "non_idempotent",
                    "timeout_ms": 1500,
                    "target_latency_ms": 400,
                    "priority": 1,
                    "service": "duka",
                    "max_attempts": 1,
                    "public": False,
                },
                {
                    "name": "r-2",
                    "hostname": HOST,
                    "path_prefix": "/list/",
                    "route_type": "idempotent",
                    "timeout_ms": 1500,
                    "target_latency_ms": 400,
                    "priority": 1,
                    "service": "duka",
                    "max_attempts": 2,
                    "public": False,
                },
            ],
            "services": [
                {"name": "duka", "health_path": "/healthz", "max_connections": 100}
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
        }

    def replace(self, version, seconds):
        """Send a configuration until it is acknowledged; return whether it was."""
        body = json.dumps(self.make_document(version)).encode()
        headers = {"Content-Type": "application/json"}
        deadline = time.monotonic() + seconds
        pause = 0.05
        while time.monotonic() < deadline:
            for machine in self.machines:
                path = "/bergamotwood/config/replace"
                status, _ = call(machine.control, "POST", path, body, headers)
                self.record.write(
                    f"operator: configuration {version} to {machine.name}: {status}"
                )
                if status == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    return True
            time.sleep(pause)
            pause = min(2 * pause, 0.8)
        return False

    def read(self, seconds):
        """Read the configuration until one comes; return its version or None."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for machine in self.machines:
                status, body = call(machine.control, "GET", "/bergamotwood/config/read")
                version = json.loads(body)["version"] if status == 200 else None
                self.record.write(
                    f"operator: read at {machine.name}: {status}, version {version}"
                )
                if version is not None:
                    return version
            time.sleep(0.2)
        return None


class Backend:
    """A sound server of the service `duka`, with its heartbeats."""

    def __init__(self, fleet, operator, record, ip, zone, name):
        self.id = f"i-{name}"
        self.born = int(time.time() * 1000)
        self.address = (ip, SERVER)
        self.zone, self.record = zone, record
        self.runs = []
        self._operator = operator
        self._stopped = threading.Event()
        self._server = ThreadingHTTPServer(self.address, self._make_handler())
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self):
        """Stop the heartbeats and the server."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def _beat(self):
        sequence = 0
        while not self._stopped.is_set():
            sequence += 1
            beat = {
                "service": "duka",
                "address": f"{self.address[0]}:{SERVER}",
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "warmup_left_ms": 0,
                "sequence": sequence,
                "born": self.born,
            }
            path = f"/bergamotwood/instances/{self.id}/heartbeat"
            machines = list(self._operator.machines)
            random.shuffle(machines)
            for machine in machines:
                status, _ = call(
                    machine.control,
                    "POST",
                    path,
                    json.dumps(beat).encode(),
                    {"Content-Type": "application/json"},
                )
                if 200 <= status < 300:
                    break
            self._stopped.wait(1.2)

    def _make_handler(self):
        backend = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def _serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.rfile.read(length)
                request = self.headers.get("X-Request-Id", "")
                expected = self.headers.get("X-Expect-Instance", backend.id)
                status = 200 if expected == backend.id else 421
                if status == 200:
                    backend.runs.append(request)
                    backend.record.write(f"server {backend.id} runs {request}")
                    time.sleep(0.02)
                body = b"done" if status == 200 else b""
                self.send_response(status)
                self.send_header("X-Request-Id", request)
                self.send_header("X-Server-Signature", f"sig-{request}")
                if status == 421:
                    self.send_header("X-Not-Executed", "1")
                self.send_header("Content-Length", str(len(body)))
                with suppress(OSError):
                    # The caller may have left.
                    self.end_headers()
                    self.wfile.write(body)

            do_GET = do_POST = _serve

        return Handler


def send_request(edge, record, number, path="/pay/x", method="POST"):
    """Send one request to an edge; return its status."""
    request = f"{number:016x}"
    headers = {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Deadline-Ms": "3000",
        "X-Key": KEY,
    }
    body = b"x" * 100 if method == "POST" else None
    status, _ = call((edge.ip, FRONTEND), method, path, body, headers, 3.5)
    record.write(f"client: {method} {path} {request} at {edge.name}: {status}")
    return status
