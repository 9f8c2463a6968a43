"""Time after which the kernel gives up a peer that no longer answers."""

import os
from contextlib import suppress
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_USER_TIMEOUT,
    socket,
)

import pytest
from daemon.gateway.harness import FakeEndpoint

from bergamotwood_core.messages import Address
from bergamotwood_daemon.clock import read_clock
from bergamotwood_daemon.gateway.client import ConnectionPool
from bergamotwood_daemon.peer import POLL, PeerChannel, PeerServer

# Longest pause of a sound peer.
PAUSE_MILLISECONDS = 1_500


class Echo:
    def handle_poll(self, body):
        return body


def list_connections(port):
    """Return the options of this process's connections to and from a port.

    Keys are "client" and "server"; values are whether keepalive is on, and the
    milliseconds of `TCP_USER_TIMEOUT`.
    """
    found = {}
    for name in os.listdir("/proc/self/fd"):
        with suppress(OSError):
            sock = socket(fileno=os.dup(int(name)))
            with sock:
                if sock.family not in (AF_INET, AF_INET6):
                    continue
                sides = {"server": sock.getsockname(), "client": sock.getpeername()}
                for side, address in sides.items():
                    if address[1] == port:
                        found[side] = (
                            bool(sock.getsockopt(SOL_SOCKET, SO_KEEPALIVE)),
                            sock.getsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT),
                        )
    return found


@pytest.fixture
def peer_port():
    server = PeerServer(Echo(), "")
    with socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    server.start(Address("127.0.0.1", port))
    yield port
    server.stop(0.0)


def test_calls_between_daemons_outlast_a_pause_of_their_peer(peer_port):
    channel = PeerChannel(Address("127.0.0.1", peer_port), "")
    assert channel.call(POLL, b"x", 1.0) == b"x"
    connections = list_connections(peer_port)
    channel.close()
    assert set(connections) == {"client", "server"}
    for _, milliseconds in connections.values():
        assert not 0 < milliseconds <= PAUSE_MILLISECONDS


def test_connections_to_endpoints_are_given_up_by_the_deadlines_of_requests():
    endpoint = FakeEndpoint("one", lambda arrival: arrival.answer())
    pool = ConnectionPool(read_clock)
    connection = pool.open(endpoint.address)
    port = int(endpoint.address.partition(":")[2])
    assert list_connections(port)["client"] == (False, 0)
    connection.close()
    endpoint.stop()
