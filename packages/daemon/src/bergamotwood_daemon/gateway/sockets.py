"""Questions to sockets that must not wait."""

from select import POLLIN

from gevent.monkey import get_original
from gevent.socket import socket as Socket

# The one of gevent lets other greenlets run, which may read the bytes meanwhile.
make_poll = get_original("select", "poll")


def is_readable(sock: Socket) -> bool:
    """Whether bytes, or the end, have come that were not read yet."""
    poller = make_poll()
    poller.register(sock.fileno(), POLLIN)
    return bool(poller.poll(0))
