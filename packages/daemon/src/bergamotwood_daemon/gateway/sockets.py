"""Checks on sockets that return without blocking."""

from select import POLLIN

from gevent.monkey import get_original
from gevent.socket import socket as Socket

# gevent's poll switches to other greenlets, which could read the bytes meanwhile.
make_poll = get_original("select", "poll")


def is_readable(sock: Socket) -> bool:
    """Whether unread bytes or the end of the stream wait in the socket."""
    poller = make_poll()
    poller.register(sock.fileno(), POLLIN)
    return bool(poller.poll(0))
