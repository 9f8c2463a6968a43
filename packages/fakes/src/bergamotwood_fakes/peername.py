"""Finds which known process opened a connection on loopback."""

from os import listdir, readlink
from socket import (
    AF_INET,
    AF_NETLINK,
    IPPROTO_TCP,
    SOCK_RAW,
    inet_aton,
    socket,
)
from struct import calcsize, pack, unpack_from

# Linux's interface for questions about sockets (sock_diag).
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
HEADER = "=IHHII"
QUESTION = "=BBBBI"
INODE_OFFSET = 84
ANSWER_BYTES = 4_096
LOOPBACK = inet_aton("127.0.0.1") + bytes(12)


def find_socket(local_port: int, remote_port: int) -> int | None:
    """Find the inode of the socket that connects two ports of loopback."""
    connection = (
        pack("!HH", local_port, remote_port)
        + LOOPBACK
        + LOOPBACK
        + pack("=III", 0, NO_COOKIE, NO_COOKIE)
    )
    question = pack(QUESTION, AF_INET, IPPROTO_TCP, 0, 0, ALL_STATES) + connection
    length = calcsize(HEADER) + len(question)
    header = pack(HEADER, length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    with socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG) as kernel:
        kernel.send(header + question)
        answer = kernel.recv(ANSWER_BYTES)
    _, kind = unpack_from("=IH", answer)
    if kind != SOCK_DIAG_BY_FAMILY:
        return None
    return unpack_from("=I", answer, INODE_OFFSET)[0]


def owns_socket(process: int, inode: int) -> bool:
    """Whether a process has a socket open."""
    folder = f"/proc/{process}/fd"
    wanted = f"socket:[{inode}]"
    try:
        numbers = listdir(folder)
    except OSError:
        return False
    return any(_read_link(f"{folder}/{number}") == wanted for number in numbers)


def find_owner(
    processes: dict[str, int], local_port: int, remote_port: int
) -> str | None:
    """Find the name of the process that opened a connection.

    Parameters
    ----------
    processes : dict of str to int
        Process id by name.
    local_port, remote_port : int
        Ports of the connection, as that process sees them.
    """
    inode = find_socket(local_port, remote_port)
    if inode is None:
        return None
    for name, process in processes.items():
        if owns_socket(process, inode):
            return name
    return None


def _read_link(path: str) -> str:
    """Read a link, empty when it has gone."""
    try:
        return readlink(path)
    except OSError:
        return ""
