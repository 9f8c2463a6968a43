"""Stand-ins for the cases of this review: the platform, clients and servers.

Only the standard library is used. The project's programs run as separate processes with
the commands of the deploy file, each on a loopback address of its own.
"""

import json
import os
import random
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
FRONTEND, READY, DIRECTORY, CONTROL, FIRST_PEER = 8227, 8220, 8224, 8229, 7340
METRICS = 9464
ZONE = "zone-a"
HEARTBEAT_SECONDS = 1.2
# Bounds of the sheets of the small deployments.
BOUNDS = {
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "drain_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "strict_revocation": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "retry_window_s": 10,
    "retry_min_extra": 54,
    "session_s": 5,
    "ttl_max_s": 5,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self.write(f"trouble: {'on' if TROUBLE else 'off'}")

    def write(self, text):
        """Write one line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
            self._file.flush()


class Program:
    """A process of the system."""

    def __init__(self, name, host, command, settings, folder, record):
        self.name = name
        self.host = host
        self._command = command
        self._folder = folder
        self._record = record
        self._path = folder / "local.toml"
        self.settings = settings
        self.process = None

    def start(self):
        """Write the settings and start the process."""
        self._path.write_text(format_settings(self.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BERGAMOTWOOD_CONFIG"] = str(self._path)
        with open(self._folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self._command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(f"platform: {self.name} started")

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)
        self._record.write(f"platform: {signal.Signals(number).name} to {self.name}")

    def kill(self):
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self._record.write(f"platform: {self.name} killed")

    @property
    def log(self):
        """Return what the process has written."""
        return (self._folder / "log").read_text(errors="replace")


class Fleet:
    """The programs of one small deployment."""

    def __init__(self, record, entries=2, controls=3):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        subnet = find_subnet(entries + controls)
        hosts = [f"{subnet}.{number}" for number in range(1, entries + controls + 1)]
        seeds = [f"{host}:{CONTROL}" for host in hosts[:controls]]
        self.controls = []
        self.entries = []
        for number, host in enumerate(hosts):
            is_control = number < controls
            role = "control" if is_control else "entry"
            name = f"{role}-{number}"
            folder = self.folder / name
            folder.mkdir()
            settings = make_settings(name, host, is_control, seeds, folder)
            command = deploy["roles"][role]["run"]
            program = Program(name, host, command, settings, folder, record)
            (self.controls if is_control else self.entries).append(program)
        self._server_subnet = subnet
        self._servers = []

    def start(self):
        """Start all programs, which form a new system."""
        for program in self.controls + self.entries:
            program.start()
        for program in self.controls + self.entries:
            program.settings["bootstrap"] = False

    def replace_configuration(self, document, seconds=20.0):
        """Send a configuration until it is acknowledged; return the time of the ack."""
        deadline = time.monotonic() + seconds
        body = json.dumps(document).encode()
        while time.monotonic() < deadline:
            for program in random.sample(self.controls, len(self.controls)):
                status = call(
                    (program.host, CONTROL),
                    "POST",
                    "/bergamotwood/config/replace",
                    body,
                )[0]
                if status == 200:
                    self.record.write(
                        f"operator: configuration {document['version']} acknowledged"
                        f" by {program.name}"
                    )
                    return time.monotonic()
                if status in (400, 409, 413, 422):
                    raise CaseError(f"configuration refused with {status}")
            time.sleep(0.2)
        raise CaseError(f"configuration {document['version']} not acknowledged")

    def wait_until_ready(self, seconds=30.0):
        """Wait until all entries report that they are ready."""
        deadline = time.monotonic() + seconds
        for program in self.entries:
            while call((program.host, READY), "GET", "/bergamotwood/readyz")[0] != 200:
                if time.monotonic() > deadline:
                    raise CaseError(f"{program.name} not ready")
                time.sleep(0.1)

    def stop(self):
        """End all servers and processes, and remove their folder."""
        for server in self._servers:
            server.stop()
        for program in self.controls + self.entries:
            program.kill()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def add(self, server):
        """Add a server that ends with the fleet."""
        self._servers.append(server)
        return server


class Server:
    """A server: sends heartbeats, and runs requests in `handle`.

    `handle(server, sock, buffer)` serves one connection.
    """

    def __init__(
        self, fleet, name, service, handle, receive_bytes=None, segment_bytes=None
    ):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_beating = True
        self.deregister_body = json.dumps({"born": self.born}).encode()
        self._handle = handle
        self._listener = socket.socket()
        if receive_bytes:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        if segment_bytes:
            self._listener.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes
            )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._is_stopped = False
        spawn(self._accept)
        spawn(self._beat)

    def make_heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def stop(self):
        """Stop the heartbeats and accept no more connections."""
        self._is_stopped = True
        self._listener.close()

    def _accept(self):
        while not self._is_stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self._serve, sock)

    def _serve(self, sock):
        try:
            self._handle(self, sock)
        except OSError:
            pass
        finally:
            sock.close()

    def _beat(self):
        while not self._is_stopped:
            if self.is_beating:
                send_heartbeat(self.fleet, self.name, self.make_heartbeat())
            time.sleep(HEARTBEAT_SECONDS)


def send_heartbeat(fleet, name, document):
    """Send a heartbeat to a daemon at random, or to the next; return who took it."""
    body = json.dumps(document).encode()
    for program in random.sample(fleet.controls, len(fleet.controls)):
        path = f"/bergamotwood/instances/{name}/heartbeat"
        if call((program.host, CONTROL), "POST", path, body)[0] == 200:
            return program.name
    return None


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def fill(self):
        """Read what is there; return False at the end of the connection."""
        more = self.sock.recv(65536)
        self.data += more
        return bool(more)

    def read_head(self):
        """Return the first line and the fields; None at the end of the connection."""
        while b"\r\n\r\n" not in self.data:
            if not self.fill():
                return None
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def read_exactly(self, count):
        """Return the next bytes; OSError if the connection ends before."""
        while len(self.data) < count:
            if not self.fill():
                raise OSError("ended early")
        data, self.data = self.data[:count], self.data[count:]
        return data

    def read_body(self, fields):
        """Return the body of a message with a length or in chunks."""
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in self.data:
                    if not self.fill():
                        raise OSError("ended early")
                line, _, self.data = self.data.partition(b"\r\n")
                size = int(line, 16)
                body += self.read_exactly(size)
                self.read_exactly(2)
                if size == 0:
                    return body
        return self.read_exactly(int(fields.get("content-length", 0)))


class Client:
    """A client with one connection."""

    def __init__(self, host, port=FRONTEND, seconds=10.0):
        self.sock = socket.create_connection((host, port), timeout=seconds)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def send(self, data):
        """Send bytes."""
        self.sock.sendall(data)

    def read(self):
        """Return status, fields and body; status 0 if the connection ended."""
        head = self.reader.read_head()
        if head is None:
            return 0, {}, b""
        line, fields = head
        return int(line.split()[1]), fields, self.reader.read_body(fields)

    def close(self):
        """Close the connection."""
        self.sock.close()


def make_request(method, path, request_id, body=b"", deadline_ms=3000, **fields):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: site.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_answer(fields, body=b"done", status="200 OK", extra=()):
    """Return the bytes of a server's complete response to a request."""
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {fields.get('x-request-id', '')}",
        "X-Server-Signature: 1.2.3",
        *extra,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def call(address, method, path, body=b"", seconds=1.0):
    """Make one call; return status and body, status 0 without a response."""
    try:
        client = Client(*address, seconds=seconds)
    except OSError:
        return 0, b""
    try:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n"
        )
        if method == "POST" and body:
            head += "Content-Type: application/json\r\n"
        if method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        client.send(head.encode() + b"\r\n" + body)
        status, _, answer = client.read()
        return status, answer
    except (OSError, ValueError):
        return 0, b""
    finally:
        client.close()


def make_route(name, prefix, service, kind, **fields):
    """Return a route of a configuration; `fields` replace defaults."""
    return {
        "name": name,
        "hostname": "site.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": True,
        **fields,
    }


def make_configuration(version, routes, services, limits=None, tenants=None):
    """Return a configuration; `limits` replace defaults."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 100}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **(limits or {}),
        },
    }
    if tenants is not None:
        document["tenants"] = tenants
    return document


def make_settings(name, host, is_control, seeds, folder):
    """Return the settings of a process, as the platform gives them."""
    listen = {"frontend": f"{host}:{FRONTEND}", "ready": f"{host}:{READY}"}
    listen["directory_addr"] = f"{host}:{DIRECTORY}"
    settings = {
        "node_name": name,
        "role": "control" if is_control else "entry",
        "machine_class": "core" if is_control else "edge",
        "serves": ["control"] if is_control else ["edge", "registry"],
        "ip": host,
        "zone": ZONE,
        "region": "region-a",
        "port_range": [FIRST_PEER, FIRST_PEER + 15],
        "seed_nodes": seeds,
        "bootstrap": True,
        "fault_domain_member": is_control,
        "discovery": "registration",
        "ingress": "registry",
        "heartbeat_ms": int(1000 * HEARTBEAT_SECONDS),
        "config_mode": "highest",
    }
    if is_control:
        listen = {"control_plane": f"{host}:{CONTROL}"}
        settings["data_path"] = str(folder / "disk")
        (folder / "disk").mkdir()
    settings["tables"] = {
        "zones": {ZONE: "region-a"},
        "listen": listen,
        "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
        "bounds": BOUNDS,
    }
    return settings


def format_settings(settings):
    """Return settings as TOML."""
    lines = [
        f"{key} = {json.dumps(value)}"
        for key, value in settings.items()
        if key != "tables"
    ]
    for name, table in settings["tables"].items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join(lines) + "\n"


def find_subnet(count):
    """Return the first three octets of loopback addresses with free ports."""
    for _ in range(50):
        subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(
            is_free(f"{subnet}.{number}", port)
            for number in range(1, count + 1)
            for port in (FRONTEND, READY, DIRECTORY, CONTROL, FIRST_PEER, METRICS)
        ):
            return subnet
    raise CaseError("no free ports")


def is_free(host, port):
    """Return whether a port can be used."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def is_readable(sock, seconds):
    """Return whether bytes or the end come within some seconds."""
    return bool(select.select([sock], [], [], seconds)[0])


def spawn(function, *arguments):
    """Run a function in a thread."""
    thread = threading.Thread(target=function, args=arguments, daemon=True)
    thread.start()
    return thread


def run_case(folder, case, entries=2):
    """Run a case, which returns whether its rule held; exit with the result."""
    record = Record(folder)
    code = NOT_RUN
    fleet = None
    try:
        fleet = Fleet(record, entries)
        fleet.start()
        code = HELD if case(fleet, record) else BROKEN
    except Exception as error:
        # Whatever keeps the case from its end is no finding.
        record.write(f"case: not run: {error!r}")
    finally:
        if fleet is not None:
            fleet.stop()
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record.write(f"case: {words[code]}")
    print(words[code])
    sys.stdout.flush()
    os._exit(code)
