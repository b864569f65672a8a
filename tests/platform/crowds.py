"""Crowds that send to an instance without reading, and what they cost its process."""

from __future__ import annotations

import fcntl
import resource
import socket
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

from tests.platform.platform_world import Instance, PlatformWorld, until

MEMORY_MB = 160
# What `docs/operators/bounds.md` promises of the machine's memory.
PEAK_MAX_BYTES = int(0.8 * MEMORY_MB * 1_000_000)
DESCRIPTORS_MAX = 1_024
# A connection of a crowd that can send nothing for this long has sent all that it will.
_STALL_S = 3.0
# The longest time for which one connection of a crowd sends.
_SEND_MAX_S = 8.0
_THREADS = 16
# More at once do not fit into the buffer of the receiver's socket.
_DATAGRAMS_AT_ONCE = 8
_DATAGRAM_PAUSE_S = 0.001
_LOCK_PATH = Path(tempfile.gettempdir()) / "turmericweir-crowds.lock"


@contextmanager
def one_at_a_time() -> Iterator[None]:
    """Hold the lock that keeps crowds of parallel tests apart."""
    with _LOCK_PATH.open("a") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def limit_descriptors(instance: Instance) -> None:
    """Limit the open descriptors of an instance."""
    resource.prlimit(
        instance.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS_MAX, DESCRIPTORS_MAX)
    )


def peak_bytes(instance: Instance) -> int:
    """Return the most memory that the process has used."""
    status = Path(f"/proc/{instance.process.pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


def open_descriptors(instance: Instance) -> int:
    """Return the number of open descriptors of the process."""
    return len(list(Path(f"/proc/{instance.process.pid}/fd").iterdir()))


def assert_unharmed(world: PlatformWorld) -> None:
    """Assert that every instance lives, serves and has stayed within its machine."""
    for name, instance in world.running.items():
        assert instance.process.is_running
        until(lambda name=name: _is_served(world, name), f"{name} serves")  # type: ignore[misc]
        peak, descriptors = peak_bytes(instance), open_descriptors(instance)
        print(f"{name}: at most {peak} bytes, now {descriptors} descriptors")
        assert peak < PEAK_MAX_BYTES, f"{name}: {peak} bytes"
        assert descriptors < DESCRIPTORS_MAX, f"{name}: {descriptors} descriptors"
        assert not instance.logged("fault")


def _is_served(world: PlatformWorld, name: str) -> bool:
    with suppress(OSError):
        return world.send_safe(instance=name).status == 200
    return False


def flood(address: tuple[str, int], datagrams: Iterable[bytes]) -> None:
    """Send datagrams about as fast as a process can receive them."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.connect(address)
        for number, datagram in enumerate(datagrams):
            sock.send(datagram)
            if number % _DATAGRAMS_AT_ONCE == 0:
                time.sleep(_DATAGRAM_PAUSE_S)


class Crowd:
    """Connections that send and never read, and stay open until the end."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._stack = ExitStack()

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def send(self, count: int, parts: Callable[[], Iterator[bytes]]) -> None:
        """Open connections, and send on each until all is sent or it is closed."""
        with ThreadPoolExecutor(_THREADS) as pool:
            list(pool.map(lambda _: self._send_one(parts()), range(count)))

    def ask(self, count: int, question: bytes, parts: Callable[[], Iterator[bytes]]) -> None:
        """Open connections, and send on each after the first byte of the answer to a question."""
        with ThreadPoolExecutor(_THREADS) as pool:
            list(pool.map(lambda _: self._send_one(parts(), question), range(count)))

    def _send_one(self, parts: Iterator[bytes], question: bytes = b"") -> None:
        conn = socket.socket()
        self._stack.callback(conn.close)
        conn.settimeout(_STALL_S)
        ends_at = time.monotonic() + _SEND_MAX_S
        with suppress(OSError):
            conn.connect(self._address)
            if question:
                conn.sendall(question)
                conn.recv(1)
            for part in parts:
                conn.sendall(part)
                if time.monotonic() > ends_at:
                    return
