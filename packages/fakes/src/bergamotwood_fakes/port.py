"""Allocation of free loopback ports."""

from os import getpid
from random import Random
from socket import AF_INET, SOCK_STREAM, socket

HOST = "127.0.0.1"
# Below the range of ephemeral ports, which outgoing connections use.
LOWEST_PORT = 12_000
HIGHEST_PORT = 31_000


class PortChooser:
    """Chooses ports that are free and that it has not returned before."""

    def __init__(self) -> None:
        self._random = Random(getpid())
        self._chosen: set[int] = set()

    def choose(self) -> int:
        """Choose a free port."""
        while True:
            port = self._random.randint(LOWEST_PORT, HIGHEST_PORT)
            if port not in self._chosen and _is_free(port):
                self._chosen.add(port)
                return port


def _is_free(port: int) -> bool:
    """Whether a port can be bound."""
    with socket(AF_INET, SOCK_STREAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
