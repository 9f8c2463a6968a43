"""Real programs on loopback addresses, with raw endpoints and callers beside them."""

from contextlib import contextmanager
from itertools import count
from os import getpid
from random import Random
from time import time

import h11
from bergamotwood_soak.checks import Bounds
from bergamotwood_soak.http_client import Connection, fetch
from bergamotwood_soak.programs import System
from gevent import sleep, spawn
from gevent.server import StreamServer

from bergamotwood_core.messages import Address
from bergamotwood_daemon.clock import read_clock
from bergamotwood_fakes.port import HOST
from bergamotwood_platform.api import PATH_PREFIX
from bergamotwood_platform.headers import DEADLINE, PREFIX_HASH, REQUEST_ID, SIGNATURE

HOST_NAME = "site.example"
HEARTBEAT_SECONDS = 0.5
RETRY_SECONDS = 0.1
ORDER_TIMEOUT_SECONDS = 20.0

_subnets = count()


@contextmanager
def run_system(folder, controls, entries, limits=None):
    """Start real programs on machines with some limits; end them by id afterwards."""
    subnet = f"127.{10 + getpid() % 240}.{next(_subnets) % 250}"
    system = System(
        folder,
        subnet,
        controls,
        entries,
        "bergamotwood_platform",
        Bounds(),
        Random(1),
        limits,
    )
    try:
        system.start()
        yield system
    finally:
        system.stop()


def list_controls(system):
    """Return the addresses of the control replicas that run."""
    return [item.process.address for item in system.controls if item.process.running]


def replace_configuration(system, document):
    """Send a configuration until it is acknowledged."""
    deadline = read_clock() + ORDER_TIMEOUT_SECONDS
    while read_clock() < deadline:
        for address in list_controls(system):
            path = f"{PATH_PREFIX}/config/replace"
            if fetch(address, "POST", path, document)[0] == 200:
                return
        sleep(RETRY_SECONDS)
    raise TimeoutError("configuration not acknowledged")


def make_route(prefix, kind, service, **fields):
    """Return a route of a configuration; `fields` replace defaults."""
    return {
        "name": prefix,
        "hostname": HOST_NAME,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 8_000,
        "target_latency_ms": 1_000,
        "service": service,
        "max_attempts": 3,
        "public": True,
        **fields,
    }


class RawEndpoint:
    """One start of an endpoint, which runs each request with a function.

    Parameters
    ----------
    system : System
        Programs that get its heartbeats.
    name, service : str
        Its id and its service.
    run : callable
        Takes the endpoint, a connection's `Exchange`, and writes the answer.
    version : str
        Version that it states.
    """

    def __init__(self, system, name, service, run, slots=64):
        self.name = name
        self.service = service
        self.is_stopped = False
        self._system = system
        self._run = run
        self._slots = slots
        self._born = int(time() * 1000)
        self._sequence = 0
        self._sockets = set()
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()
        self.address = Address(HOST, self._server.server_port)
        self._beating = spawn(self._beat)

    def crash(self):
        """Close the listener and reset all connections."""
        if self.is_stopped:
            return
        self.is_stopped = True
        self._beating.kill(block=False)
        self._server.stop(timeout=0.0)
        for sock in list(self._sockets):
            sock.close()

    def _beat(self):
        while True:
            self._sequence += 1
            document = {
                "service": self.service,
                "address": str(self.address),
                "zone": "here",
                "version": "v1",
                "slots": self._slots,
                "state": "ready",
                "warmup_left_ms": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
            path = f"{PATH_PREFIX}/instances/{self.name}/heartbeat"
            any(
                fetch(address, "POST", path, document)[0] == 200
                for address in list_controls(self._system)
            )
            sleep(HEARTBEAT_SECONDS)

    def _serve(self, sock, peer):
        self._sockets.add(sock)
        http = h11.Connection(h11.SERVER)
        try:
            while not self.is_stopped:
                exchange = Exchange(http, sock)
                if not exchange.receive():
                    return
                if exchange.path in ("/h", f"{PATH_PREFIX}/report"):
                    exchange.answer(b"{}")
                else:
                    self._run(self, exchange)
                if http.our_state is not h11.DONE:
                    return
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._sockets.discard(sock)
            sock.close()


class Exchange:
    """One request at an endpoint, and its answer."""

    def __init__(self, http, sock):
        self._http = http
        self._sock = sock
        self.headers = {}
        self.path = ""
        self.body = b""

    def receive(self):
        """Read the request; return False if the connection ends instead."""
        while True:
            event = self._http.next_event()
            match event:
                case h11.Request():
                    self.headers = dict(event.headers)
                    self.path = event.target.decode()
                case h11.Data():
                    self.body += bytes(event.data)
                case h11.EndOfMessage():
                    return True
                case h11.ConnectionClosed():
                    return False
                case _:
                    self._http.receive_data(self._sock.recv(65_536))

    @property
    def parts(self):
        """Ids of the parts of the prompt."""
        text = self.headers.get(PREFIX_HASH, b"").decode()
        return [item.split(":")[0] for item in text.split(",") if item]

    def answer(self, body=b"done"):
        """Send a complete answer."""
        length = (b"content-length", str(len(body)).encode())
        self._send(h11.Response(status_code=200, headers=[*self._identify(), length]))
        self._send(h11.Data(data=body))
        self._send(h11.EndOfMessage())

    def begin_stream(self):
        """Send the head of a stream."""
        kind = (b"content-type", b"text/event-stream")
        self._send(h11.Response(status_code=200, headers=[*self._identify(), kind]))

    def send_event(self, number):
        """Send one event."""
        self._send(h11.Data(data=f"id: {number}\ndata: {number}\n\n".encode()))

    def end_stream(self):
        """End the stream."""
        self._send(h11.EndOfMessage())

    def _identify(self):
        request = self.headers.get(REQUEST_ID, b"")
        return [(REQUEST_ID, request), (SIGNATURE, b"endpoint")]

    def _send(self, event):
        self._sock.sendall(self._http.send(event))


def call(address, request, path="/models/x", body=b"", parts=(), seconds=8.0):
    """Make one call; return its status, 0 without a complete answer."""
    headers = [
        (b"host", HOST_NAME.encode()),
        (REQUEST_ID, request.encode()),
        (DEADLINE, str(int(1_000 * seconds)).encode()),
    ]
    if parts:
        tokens = ",".join(f"{part}:100" for part in parts)
        headers.append((PREFIX_HASH, tokens.encode()))
    try:
        connection = Connection(address)
    except OSError:
        return 0
    status = 0
    deadline = read_clock() + seconds + 1.0
    try:
        connection.send("POST", path, headers, body)
        while True:
            match connection.receive(deadline - read_clock()):
                case h11.Response() as head:
                    status = head.status_code
                case h11.EndOfMessage():
                    return status
                case h11.ConnectionClosed():
                    return 0
    except OSError:
        return 0
    finally:
        connection.close()
