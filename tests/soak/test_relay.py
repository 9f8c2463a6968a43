from random import Random

import pytest
from bergamotwood_soak.relay import Relay
from gevent import Timeout
from gevent.server import StreamServer
from gevent.socket import create_connection, timeout

from bergamotwood_core.messages import Address
from bergamotwood_fakes.port import HOST
from bergamotwood_fakes.rule import Action

WAIT_SECONDS = 5.0
# Time in which no byte may arrive; an echo takes a thousandth of it.
SILENT_SECONDS = 0.3


def echo(sock, peer):
    while data := sock.recv(100):
        sock.sendall(data)


@pytest.fixture
def relay():
    server = StreamServer((HOST, 0), echo)
    server.start()
    relay = Relay(Address(HOST, server.server_port), Random(1))
    with Timeout(WAIT_SECONDS):
        yield relay
    relay.stop()
    server.stop(timeout=0.1)


def connect(relay):
    sock = create_connection((relay.address.host, relay.address.port), WAIT_SECONDS)
    sock.sendall(b"a")
    return sock


def test_relay_carries_bytes_in_both_directions(relay):
    assert connect(relay).recv(1) == b"a"


def test_cut_closes_open_connections_and_refuses_new_ones(relay):
    sock = connect(relay)
    assert sock.recv(1) == b"a"
    relay.inject(Action.CUT, 60.0)
    assert sock.recv(1) == b""
    # A refused connection ends with an error or without a byte.
    with pytest.raises(ConnectionError):
        if connect(relay).recv(1) == b"":
            raise ConnectionError


def test_silence_keeps_connections_open_and_drops_their_bytes(relay):
    sock = connect(relay)
    assert sock.recv(1) == b"a"
    relay.inject(Action.SILENCE, 60.0)
    sock.sendall(b"b")
    sock.settimeout(SILENT_SECONDS)
    with pytest.raises(timeout):
        sock.recv(1)


def test_fault_ends_after_its_duration(relay):
    relay.inject(Action.CUT, 0.05)
    while True:
        try:
            if connect(relay).recv(1) == b"a":
                return
        except ConnectionError:
            continue
