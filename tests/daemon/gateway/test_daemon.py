from socket import AF_INET, SOCK_STREAM

import pytest
from core.gateway.samples import make_configuration
from daemon.gateway.harness import Caller, PlainDialect
from gevent import Timeout, sleep, spawn
from gevent.monkey import get_original
from gevent.socket import socket as GreenSocket

from bergamotwood_core.ids import InstanceId
from bergamotwood_core.messages import Address
from bergamotwood_daemon.gateway.daemon import GatewayDaemon
from bergamotwood_daemon.gateway.settings import GatewayBounds, GatewaySettings

# A blocking socket connects without running the greenlet that accepts.
BlockingSocket = get_original("socket", "socket")
LOOPBACK = Address("127.0.0.1", 0)
BOUNDS = GatewayBounds(grace_period_seconds=2.0, address_ttl_seconds=0.05)


class FailingReplica:
    def stop(self):
        raise OSError("disk is gone")


class SilentPeerServer:
    def __init__(self):
        self.is_stopped = False

    def stop(self, grace_seconds):
        self.is_stopped = True


@pytest.fixture
def make_daemon():
    daemons = []

    def make(**addresses):
        settings = GatewaySettings(
            InstanceId("127.0.0.1:1"), "one", "karen", (), BOUNDS, **addresses
        )
        daemon = GatewayDaemon(settings, PlainDialect(make_configuration()))
        daemons.append(daemon)
        return daemon

    yield make
    for daemon in daemons:
        daemon.stop()


def stop_and_wait(daemon):
    daemon.stop()
    with Timeout(5.0):
        daemon.wait()


def test_a_replica_that_fails_to_stop_does_not_keep_the_process(make_daemon):
    daemon = make_daemon()
    daemon.replica = FailingReplica()
    stop_and_wait(daemon)


def test_no_peer_is_served_once_the_daemon_has_stopped(make_daemon):
    daemon = make_daemon()
    daemon.replica = FailingReplica()
    daemon._peer_server = SilentPeerServer()
    stop_and_wait(daemon)
    assert daemon._peer_server.is_stopped


def test_requests_that_arrive_during_the_whole_stop_are_answered(make_daemon):
    daemon = make_daemon(caller_address=LOOPBACK)
    daemon.start()
    server = daemon._caller_server
    outcomes = []

    def press():
        while not daemon._stopped.is_set():
            try:
                caller = Caller(server.port)
            except OSError:
                return
            try:
                caller.send()
                outcomes.append(caller.read())
            except OSError as error:
                outcomes.append(error)
            sleep(0.0)

    callers = [spawn(press) for _ in range(20)]
    while len(outcomes) < 100:
        sleep(0.01)
    stop_and_wait(daemon)
    for caller in callers:
        caller.join(5.0)
    # Every caller sends during the stop as well, on any machine.
    assert len(outcomes) >= 100 + len(callers)
    assert {getattr(outcome, "status", outcome) for outcome in outcomes} == {503}


def test_a_stop_waits_for_a_request_that_is_still_in_the_kernel(make_daemon):
    daemon = make_daemon(caller_address=LOOPBACK)
    daemon.start()
    server = daemon._caller_server
    caller = Caller(server.port)
    assert caller.call().status == 503
    assert server.open_requests == 0
    # No other greenlet runs in between, so the bytes are still in the kernel.
    caller.send()
    assert server.active_requests == 0
    assert server.open_requests == 1
    assert caller.read().status == 503


def test_connections_that_wait_to_be_accepted_are_not_reset(make_daemon):
    daemon = make_daemon(caller_address=LOOPBACK)
    daemon.start()
    server = daemon._caller_server
    sock = BlockingSocket(AF_INET, SOCK_STREAM)
    sock.connect_ex(("127.0.0.1", server.port))
    server.stop_listening()
    caller = GreenSocket(fileno=sock.detach())
    caller.settimeout(2.0)
    caller.sendall(b"GET /a/x HTTP/1.1\r\nhost: h\r\n\r\n")
    assert caller.recv(100).startswith(b"HTTP/1.1 503")


def test_a_replica_that_hangs_does_not_keep_the_process(make_daemon):
    class HangingReplica:
        def stop(self):
            sleep(60.0)

    daemon = make_daemon()
    daemon.replica = HangingReplica()
    daemon._peer_server = SilentPeerServer()
    stop_and_wait(daemon)
    assert daemon._peer_server.is_stopped
