"""Questions to sockets that must not wait."""

from select import POLLIN

from gevent.select import poll as make_poll
from gevent.socket import socket as Socket


def is_readable(sock: Socket) -> bool:
    """Whether bytes, or the end, have come that were not read yet."""
    poller = make_poll()
    poller.register(sock, POLLIN)
    return bool(poller.poll(0))
