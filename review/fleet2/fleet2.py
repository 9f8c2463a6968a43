"""Stand-ins for the second review: platform, operator, servers and clients.

Only the standard library is used. Every process gets a loopback address of its own, so
that all of them can use the same ports, as on the platform.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# Bounds of the deployment in sites/kubwa-hq.toml.
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
CONTACT_SECONDS = BOUNDS["contact_ms"] / 1000
POLICIES = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "rollout",
]
ZONES = ("westlands", "upperhill", "karen")
HEARTBEAT_SECONDS = 1.2
# A script may take 120 s.
MAX_CASE_SECONDS = 117
HOST_NAME = "ficu95.example"


class CannotRunError(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._path = path
        path.write_text("")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def note(self, kind, **fields):
        """Write one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            print(f"{self.now():8.3f} {kind} {text}", file=file)


METRICS_PORT = 9464


def choose_addresses(count):
    """Return loopback hosts and the ports that are free on all of them."""
    for _ in range(50):
        subnet = f"127.{random.randint(10, 249)}.{random.randint(1, 249)}"
        hosts = [f"{subnet}.{number + 1}" for number in range(count)]
        base = random.randint(200, 310) * 100
        ports = {
            "peer": base,
            "control": base + 20,
            "frontend": base + 21,
            "ready": base + 22,
            "directory": base + 23,
        }
        used = (*ports.values(), base + 1, METRICS_PORT)
        if all(is_free(host, port) for host in hosts for port in used):
            return subnet, hosts, ports
    raise CannotRunError("no free loopback addresses")


def is_free(host, port):
    """Whether nobody listens at a port."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Daemon:
    """One process of the system, started as the deploy file says."""

    def __init__(self, fleet, name, host, is_core, zone):
        self.fleet, self.name, self.host, self.is_core = fleet, name, host, is_core
        self.zone = zone
        self.folder = fleet.folder / name
        (self.folder / "disk").mkdir(parents=True)
        self.process = None

    def start(self, bootstrap=False):
        """Write the settings file and start the process."""
        path = self.folder / "local.toml"
        path.write_text(self._format(bootstrap))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BERGAMOTWOOD_CONFIG"] = str(path)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-P", "-m", "bergamotwood_platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def _format(self, bootstrap):
        ports = self.fleet.ports
        fields = {
            "node_name": self.name,
            "role": "control" if self.is_core else "entry",
            "machine_class": "core" if self.is_core else "edge",
            "serves": ["control"] if self.is_core else ["edge", "registry"],
            "ip": self.host,
            "zone": self.zone,
            "region": "nairobi",
            "port_range": [ports["peer"], ports["peer"] + 15],
            "seed_nodes": self.fleet.seeds,
            "bootstrap": bootstrap,
            "fault_domain_member": self.is_core,
            "discovery": "registration",
            "ingress": "registry",
            "heartbeat_ms": int(1000 * HEARTBEAT_SECONDS),
            "policies": POLICIES,
            "config_mode": "highest",
        }
        if self.is_core:
            fields["data_path"] = str(self.folder / "disk")
            listen = {"control_plane": f"{self.host}:{ports['control']}"}
        else:
            listen = {
                "frontend": f"{self.host}:{ports['frontend']}",
                "ready": f"{self.host}:{ports['ready']}",
                "directory_addr": f"{self.host}:{ports['directory']}",
            }
        limits = {
            "cpu_quota": 0.537,
            "cpu_cores": 2,
            "memory_mb": 300,
            "max_open_files": 4100,
            "bandwidth_mbps": 1000.0,
            "disk_mb": 128 if self.is_core else 0,
        }
        tables = {
            "zones": dict.fromkeys(ZONES, "nairobi"),
            "listen": listen,
            "limits": limits,
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.fleet.bounds,
        }
        # JSON and TOML write strings, numbers, booleans and lists alike.
        lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        return "\n".join([*lines, ""])


class Fleet:
    """Three core machines and some edge machines of a small deployment."""

    def __init__(self, record, edges=2, cores=3, bounds=None):
        self.record = record
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.subnet, hosts, self.ports = choose_addresses(cores + edges)
        self.seeds = [f"{host}:{self.ports['control']}" for host in hosts[:3]]
        self.cores = [
            Daemon(self, f"core-{index}", hosts[index], True, ZONES[index % 3])
            for index in range(cores)
        ]
        self.edges = [
            Daemon(self, f"edge-{index}", hosts[cores + index], False, ZONES[index % 3])
            for index in range(edges)
        ]
        self._next_host = 100
        self.servers = []

    def __enter__(self):
        if not (ROOT / "target" / "deps" / "bergamotwood_platform").is_dir():
            raise CannotRunError("the system is not built")
        for daemon in (*self.cores, *self.edges):
            daemon.start(bootstrap=True)
        return self

    def __exit__(self, *_):
        for server in self.servers:
            server.crash()
        for daemon in (*self.cores, *self.edges):
            daemon.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def new_host(self):
        """Return a loopback address for a server."""
        self._next_host += 1
        return f"{self.subnet}.{self._next_host}"

    def list_controls(self):
        """Return the addresses that serve `control`."""
        return [(core.host, self.ports["control"]) for core in self.cores]

    def call(self, method, path, document=None, seconds=20.0):
        """Call any control address until one answers with 200; return its answer."""
        body = None if document is None else json.dumps(document).encode()
        deadline = time.monotonic() + seconds
        last = None
        while time.monotonic() < deadline:
            for host, port in self.list_controls():
                status, _, answer = fetch(host, port, method, path, {}, body, 1.0)
                last = status
                if status == 200:
                    return answer
            time.sleep(0.1)
        raise CannotRunError(f"{method} {path}: last answer {last}")

    def replace_configuration(self, document, seconds=20.0):
        """Send a configuration until it is acknowledged."""
        self.call("POST", "/bergamotwood/config/replace", document, seconds)
        self.record.note("config-acknowledged", version=document["version"])

    def wait_until_ready(self):
        """Wait until all edge machines are ready."""
        deadline = time.monotonic() + 25.0
        for edge in self.edges:
            path = "/bergamotwood/readyz"
            while fetch(edge.host, self.ports["ready"], "GET", path)[0] != 200:
                if time.monotonic() > deadline or edge.process.poll() is not None:
                    raise CannotRunError(f"{edge.name} is not ready")
                time.sleep(0.1)


def fetch(host, port, method, path, headers=(), body=None, seconds=1.0):
    """Return status, header fields and body; status 0 without a complete answer."""
    connection = http.client.HTTPConnection(host, port, timeout=seconds)
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class Server:
    """One start of a server; `run(server, exchange)` answers each request."""

    def __init__(self, fleet, name, service, run, slots=64, models=(), host=None):
        self.fleet, self.name, self.service, self._run = fleet, name, service, run
        self._slots, self._models = slots, models
        self.is_down = False
        self.state = "ready"
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._sockets = set()
        self._lock = threading.Lock()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host or fleet.new_host(), 8080))
        self._listener.listen(128)
        self.host = self._listener.getsockname()[0]
        fleet.servers.append(self)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def crash(self):
        """End as a process that is killed: the kernel closes all connections."""
        if self.is_down:
            return
        self.is_down = True
        # Wakes the thread that waits in `accept`, which would keep the port.
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            sockets = list(self._sockets)
        for sock in sockets:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    @property
    def warmup_ms(self):
        """How much longer the server is cold."""
        return 0

    def send_heartbeat(self):
        """Send a heartbeat to any core machine; return whether it was acknowledged."""
        self._sequence += 1
        document = {
            "service": self.service,
            "address": f"{self.host}:8080",
            "zone": ZONES[0],
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "warmup_left_ms": self.warmup_ms,
            "phase": "unified",
            "model_list": [
                {"name": name, "version": 1, "loras": []} for name in self._models
            ],
            "sequence": self._sequence,
            "born": self._born,
        }
        path = f"/bergamotwood/instances/{self.name}/heartbeat"
        controls = self.fleet.list_controls()
        random.shuffle(controls)
        for host, port in controls:
            body = json.dumps(document).encode()
            if fetch(host, port, "POST", path, {}, body)[0] == 200:
                return True
        return False

    def _beat(self):
        while not self.is_down:
            self.send_heartbeat()
            time.sleep(HEARTBEAT_SECONDS)

    def _accept(self):
        while not self.is_down:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._sockets.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = sock.makefile("rb")
        try:
            while not self.is_down:
                exchange = ServerExchange.read(self, sock, reader)
                if exchange is None or not self._answer(exchange):
                    break
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._sockets.discard(sock)
            with suppress(OSError):
                sock.close()

    def _answer(self, exchange):
        if exchange.path == "/healthz":
            fields = {"X-Instance-Id": self.name}
            if self.warmup_ms:
                fields["X-Warmup-Ms"] = self.warmup_ms
            exchange.answer(200, b"", fields, signed=False)
            return True
        if exchange.path == "/bergamotwood/report":
            exchange.answer(200, b"{}", signed=False)
            return True
        if exchange.headers.get("x-expect-instance") not in (None, self.name):
            exchange.answer(421, b"", {"X-Not-Executed": "1"}, signed=False)
            return True
        return self._run(self, exchange) is not False


class ServerExchange:
    """One request at a server."""

    def __init__(self, server, sock, method, path, headers, body):
        self.server, self.sock = server, sock
        self.method, self.path = method, path
        self.headers, self.body = headers, body
        self.request = headers.get("x-request-id", "")

    @classmethod
    def read(cls, server, sock, reader):
        """Return the next request on a connection; None at its end."""
        line = reader.readline()
        if not line:
            return None
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (line := reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = reader.read(int(headers.get("content-length", "0")))
        return cls(server, sock, method, path, headers, body)

    def sign(self):
        """Return the fields that name the request and its server."""
        return [
            f"X-Request-Id: {self.request}",
            f"X-Server-Signature: {self.server.name}.{self.request}",
            f"X-Instance-Id: {self.server.name}",
        ]

    def answer(self, status, body, fields=(), signed=True):
        """Send a complete answer."""
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += self.sign() if signed else [f"X-Request-Id: {self.request}"]
        lines += [f"{key}: {value}" for key, value in dict(fields).items()]
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)


def make_route(prefix, kind, service, **fields):
    """Return a route of a configuration; `fields` replace defaults."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "hostname": HOST_NAME,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 3,
        "public": False,
        **fields,
    }


def make_service(name, **fields):
    """Return a service of a configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 360,
        "protocol": "h1",
        "tls": False,
        **fields,
    }


def make_configuration(version, routes, services, tenants):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def new_id():
    """Return the id of a new request."""
    return f"{random.getrandbits(64):016x}"


def _stop_late(*_):
    raise CannotRunError(f"not done within {MAX_CASE_SECONDS} s")


def run_case(play):
    """Run a case; end with 1 if the rule was broken, 0 if it held, 2 if not run.

    `play(record, is_troubled)` returns what broke the rule, or an empty text.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    signal.signal(signal.SIGALRM, _stop_late)
    signal.alarm(MAX_CASE_SECONDS)
    record.note("case", trouble=int(is_troubled))
    try:
        broken = play(record, is_troubled)
    except CannotRunError as error:
        record.note("not-run", reason=error)
        print(f"not run: {error}")
        sys.exit(2)
    except Exception as error:
        record.note("not-run", reason=repr(error))
        print(f"not run: {error!r}")
        sys.exit(2)
    record.note("result", broken=bool(broken), why=broken)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
