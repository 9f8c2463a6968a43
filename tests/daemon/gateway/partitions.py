"""Partitions between an entry and the endpoints, in this process."""

from contextlib import suppress
from enum import Enum
from socket import AF_INET, SO_LINGER, SOCK_STREAM, SOL_SOCKET
from struct import pack

from gevent import sleep, spawn
from gevent.server import StreamServer
from gevent.socket import create_connection
from gevent.socket import socket as Socket

from bergamotwood_daemon.gateway.client import ConnectionPool
from bergamotwood_daemon.gateway.entry import GatewayEntry

POLL_SECONDS = 0.02
NO_LINGER = pack("ii", 1, 0)


class Partition(Enum):
    """What happens to connections between an entry and all endpoints."""

    NONE = "none"
    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse new ones"


class DeafListener:
    """A port at which connections are neither accepted nor refused."""

    def __init__(self):
        self._sock = Socket(AF_INET, SOCK_STREAM)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(0)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._waiting = []
        for _ in range(4):
            waiting = Socket(AF_INET, SOCK_STREAM)
            waiting.settimeout(0.05)
            with suppress(OSError):
                waiting.connect(self._sock.getsockname())
            self._waiting.append(waiting)

    def close(self):
        for sock in (self._sock, *self._waiting):
            sock.close()


class PartitionedPool(ConnectionPool):
    """Connections of one entry to endpoints, through links that can be cut."""

    def __init__(self, clock):
        super().__init__(clock)
        self.partition = Partition.NONE
        self._links = {}
        self._pairs = []
        self._deaf = DeafListener()
        closed = Socket(AF_INET, SOCK_STREAM)
        closed.bind(("127.0.0.1", 0))
        self._refusing = closed

    def open(self, address):
        connection = super().open(self._find_way(address))
        connection.address = address
        return connection

    def cut(self, partition):
        self.partition = partition
        if partition is Partition.RESET:
            for pair in self._pairs:
                reset(*pair)
            self._pairs.clear()

    def stop(self):
        for link in self._links.values():
            link.stop(timeout=0.01)
        for pair in self._pairs:
            reset(*pair)
        self._deaf.close()
        self._refusing.close()

    def _find_way(self, address):
        match self.partition:
            case Partition.HANG:
                return self._deaf.address
            case Partition.RESET | Partition.REFUSE_NEW:
                return f"127.0.0.1:{self._refusing.getsockname()[1]}"
        if address not in self._links:
            link = StreamServer(
                ("127.0.0.1", 0), lambda sock, _: self._serve(sock, address)
            )
            link.start()
            self._links[address] = link
        return f"127.0.0.1:{self._links[address].server_port}"

    def _serve(self, sock, address):
        host, _, port = address.partition(":")
        try:
            other = create_connection((host, int(port)))
        except OSError:
            reset(sock)
            return
        self._pairs.append((sock, other))
        back = spawn(self._forward, other, sock)
        self._forward(sock, other)
        back.join()

    def _forward(self, source, target):
        with suppress(OSError):
            while data := source.recv(65536):
                while self.partition is Partition.HANG:
                    sleep(POLL_SECONDS)
                target.sendall(data)
        for sock in (source, target):
            with suppress(OSError):
                sock.close()


class PartitionedEntry(GatewayEntry):
    """An entry whose connections to endpoints can be cut."""

    def make_pool(self):
        return PartitionedPool(self.clock)


def reset(*socks):
    for sock in socks:
        with suppress(OSError):
            sock.setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
            sock.close()
