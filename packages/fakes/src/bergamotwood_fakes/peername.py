"""Finds which known process opened a connection on loopback."""

from os import listdir, readlink

SOCKET_TABLE = "/proc/net/tcp"


def find_socket(local_port: int, remote_port: int) -> str | None:
    """Find the inode of the socket that connects two ports of this machine."""
    wanted_local = f":{local_port:04X}"
    wanted_remote = f":{remote_port:04X}"
    with open(SOCKET_TABLE) as table:
        next(table)
        for line in table:
            fields = line.split()
            local, remote = fields[1], fields[2]
            if local.endswith(wanted_local) and remote.endswith(wanted_remote):
                return fields[9]
    return None


def owns_socket(process: int, inode: str) -> bool:
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
