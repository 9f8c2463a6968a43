"""Server under test control, which sends any bytes and reads as little as told."""

from contextlib import suppress
from re import search
from socket import IPPROTO_TCP, SO_LINGER, SO_RCVBUF, SOL_SOCKET, TCP_MAXSEG
from struct import pack

from gevent.server import StreamServer
from gevent.socket import AF_INET, SOCK_STREAM
from gevent.socket import socket as Socket

# A small window and short segments keep the sender of a long request busy.
RECEIVE_BUFFER_BYTES = 4_096
SEGMENT_BYTES = 1_460
NO_LINGER = pack("ii", 1, 0)


def make_head(request, line=b"HTTP/1.1 200 OK", fields=b""):
    """Return the head of an endpoint's answer, also as another entry passes it on."""
    return b"%b\r\nid: %b\r\nsigned: 1\r\nbergamotwood-relay: endpoint\r\n%b\r\n" % (
        line,
        request,
        fields,
    )


def reset(sock):
    """Close a connection with a reset instead of an end of its bytes."""
    sock.setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
    sock.close()


class RawServer:
    """Calls `act` with each connection and the id of its request, once it has the head.

    The rest of the request is left unread.
    """

    def __init__(self, act):
        self.requests = 0
        self._act = act
        listener = Socket(AF_INET, SOCK_STREAM)
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        self._server = StreamServer(listener, self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _):
        head = b""
        with suppress(OSError):
            while b"\r\n\r\n" not in head:
                data = sock.recv(256)
                if not data:
                    return
                head += data
            self.requests += 1
            id_field = search(rb"\r\nid: (\S+)", head)
            self._act(sock, id_field.group(1) if id_field else b"")
        sock.close()
