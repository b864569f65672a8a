"""What waits in the sockets of a process, as the system's list of sockets tells it."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from turmericweir_standins.procs import Process

_LISTS: Final = ("/proc/net/tcp", "/proc/net/tcp6")
_LOCAL, _STATE, _QUEUES, _INODE = 1, 3, 4, 9
_ESTABLISHED: Final = "01"
_CLOSE_WAIT: Final = "08"
# A connection that is not accepted has no inode.
_NO_INODE: Final = "0"


@dataclass(frozen=True, slots=True)
class Connection:
    """One connection, with the local port."""

    port: int
    unread_bytes: int
    # What was written and has not been received by the other end.
    unsent_bytes: int
    # The number of the socket; "0" before it is accepted.
    inode: str

    @property
    def is_accepted(self) -> bool:
        """Whether the process has accepted the connection, or opened it."""
        return self.inode != _NO_INODE


def connections(addresses: list[str]) -> list[Connection]:
    """Return the connections to these addresses, also those that are not accepted."""
    ports = {int(address.rpartition(":")[2]) for address in addresses}
    return [each for each in _all_connections() if each.port in ports]


def unread_bytes(addresses: list[str]) -> int:
    """Return how many bytes wait in all connections to these addresses."""
    return sum(each.unread_bytes for each in connections(addresses))


def waiting_bytes(process: Process) -> int:
    """Return how many bytes wait in all connections of a process, in both directions."""
    inodes = set(_socket_inodes(process))
    own = [each for each in _all_connections() if each.inode in inodes]
    return sum(each.unread_bytes + each.unsent_bytes for each in own)


def _socket_inodes(process: Process) -> Iterator[str]:
    for path in Path(f"/proc/{process.pid}/fd").iterdir():
        # Closed meanwhile, if it is gone.
        with suppress(FileNotFoundError):
            yield os.readlink(path).removeprefix("socket:[").removesuffix("]")


def resident_bytes(process: Process) -> int:
    """Return the memory that a process uses."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_bytes().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _all_connections() -> Iterator[Connection]:
    for name in _LISTS:
        for line in Path(name).read_text().splitlines()[1:]:
            fields = line.split()
            if fields[_STATE] in (_ESTABLISHED, _CLOSE_WAIT):
                port = int(fields[_LOCAL].rpartition(":")[2], 16)
                unsent, _, unread = fields[_QUEUES].partition(":")
                yield Connection(port, int(unread, 16), int(unsent, 16), fields[_INODE])
