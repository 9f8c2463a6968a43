"""Finds the process that opened a loopback connection."""

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

# Constants and message formats of Linux's sock_diag interface.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ALL_TCP_STATES = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
HEADER_FORMAT = "=IHHII"
REQUEST_FORMAT = "=BBBBI"
# Offset of the inode in a response: 16 bytes of the netlink header, then 68 of
# `struct inet_diag_msg`.
INODE_OFFSET = 84
MAX_RESPONSE_BYTES = 4_096
LOOPBACK = inet_aton("127.0.0.1") + bytes(12)


def find_socket(local_port: int, remote_port: int) -> int | None:
    """Find the inode of the socket that connects two loopback ports."""
    socket_id = (
        pack("!HH", local_port, remote_port)
        + LOOPBACK
        + LOOPBACK
        + pack("=III", 0, NO_COOKIE, NO_COOKIE)
    )
    request = (
        pack(REQUEST_FORMAT, AF_INET, IPPROTO_TCP, 0, 0, ALL_TCP_STATES) + socket_id
    )
    length = calcsize(HEADER_FORMAT) + len(request)
    header = pack(HEADER_FORMAT, length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    with socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        netlink.send(header + request)
        response = netlink.recv(MAX_RESPONSE_BYTES)
    _, message_type = unpack_from("=IH", response)
    if message_type != SOCK_DIAG_BY_FAMILY:
        return None
    return unpack_from("=I", response, INODE_OFFSET)[0]


def owns_socket(pid: int, inode: int) -> bool:
    """Whether a process has a socket open."""
    descriptor_folder = f"/proc/{pid}/fd"
    expected_link = f"socket:[{inode}]"
    try:
        descriptors = listdir(descriptor_folder)
    except OSError:
        return False
    return any(
        _read_link(f"{descriptor_folder}/{descriptor}") == expected_link
        for descriptor in descriptors
    )


def find_connection_owner(
    processes: dict[str, int], local_port: int, remote_port: int
) -> str | None:
    """Find the name of the process that opened a connection, None if unknown.

    Parameters
    ----------
    processes : dict of str to int
        Process ids by name.
    local_port, remote_port : int
        Ports of the connection, as that process sees them.
    """
    inode = find_socket(local_port, remote_port)
    if inode is None:
        return None
    for name, pid in processes.items():
        if owns_socket(pid, inode):
            return name
    return None


def _read_link(path: str) -> str:
    """Read a symbolic link, empty when it cannot be read."""
    try:
        return readlink(path)
    except OSError:
        return ""
