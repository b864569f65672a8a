"""Crowds of clients that send without bounds and read nothing."""

from __future__ import annotations

import errno
import json
import os
import select
import selectors
import socket
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, Self

from tests.platform.platform_world import PlatformWorld
from turmericweir_standins.procs import Process

_KILOBYTE: Final = 1024
_RECEIVE_BUFFER_BYTES: Final = 4_096
_SELECT_S: Final = 0.05
# How many requests are asked at most beside a crowd that goes on sending.
_ASKED_MAX: Final = 20
# Requests beside which a crowd makes no progress before it counts as settled.
_ASKED_WITHOUT_PROGRESS: Final = 3
_START: Final = (
    "import resource, runpy, sys;"
    "resource.setrlimit(resource.RLIMIT_NOFILE, (int(sys.argv.pop()),) * 2);"
    "runpy.run_module('turmericweir_platform', run_name='__main__', alter_sys=True)"
)


@dataclass(slots=True)
class LimitedWorld(PlatformWorld):
    """A world whose instances may open a limited number of descriptors."""

    descriptors: int = 1_000

    def _launch(self, name: str) -> Process:
        path = self.directory / f"{name}.json"
        env = {"TURMERICWEIR_CONFIG": str(path), "PYTHONPATH": os.pathsep.join(sys.path)}
        argv = [sys.executable, "-c", _START, str(self.descriptors)]
        process = Process(argv, name=name, directory=self.directory, env=env)
        process.start()
        return process

    def address_of(self, port: str) -> str:
        """Return the address of a port of the first instance, by its name in the settings file."""
        if port == "metrics":
            return self.metrics_address
        text = (self.directory / "entry-1.json").read_text()
        address: str = json.loads(text.split("\n", 1)[1])[f"{port}_address"]
        return address


def peak_bytes(process: Process) -> int:
    """Return the most memory that a process has used."""
    fields = Path(f"/proc/{process.pid}/status").read_bytes().split()
    return int(fields[fields.index(b"VmHWM:") + 1]) * _KILOBYTE


def open_descriptors(process: Process) -> int:
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


@dataclass(frozen=True, slots=True)
class Sent:
    """What each client of a crowd sends: some bytes, and others again and again up to a size."""

    first: bytes = b""
    repeated: bytes = b""
    size: int = 0

    def data(self) -> bytes:
        """Return all bytes."""
        if not self.repeated:
            return self.first
        count = (self.size - len(self.first)) // len(self.repeated)
        return self.first + self.repeated * count


@dataclass(slots=True)
class Crowd:
    """Clients that send the same bytes on a connection each, as fast as they are read."""

    address: str
    count: int
    sent: Sent
    _socks: dict[socket.socket, int] = field(default_factory=dict)
    _sent_bytes: int = 0
    _thread: threading.Thread | None = None
    _should_end: threading.Event = field(default_factory=threading.Event)

    def __enter__(self) -> Self:
        self._thread = threading.Thread(target=self._send_all)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._should_end.set()
        assert self._thread is not None
        self._thread.join()
        for sock in self._socks:
            sock.close()

    @property
    def open_count(self) -> int:
        """The number of clients whose connections the process has not closed."""
        return sum(1 for sock in list(self._socks) if not _is_closed(sock))

    @property
    def has_connected(self) -> bool:
        """Whether all clients have begun to connect."""
        return len(self._socks) == self.count

    def settle(self, ask: Callable[[], object]) -> None:
        """Ask until the crowd makes no more progress beside it, or for a number of times."""
        quiet = 0
        for _ in range(_ASKED_MAX):
            before = self._sent_bytes
            ask()
            quiet = quiet + 1 if self._sent_bytes == before and self.has_connected else 0
            if quiet == _ASKED_WITHOUT_PROGRESS:
                return

    def _send_all(self) -> None:
        data = memoryview(self.sent.data())
        with selectors.DefaultSelector() as selector:
            for _ in range(self.count):
                sock = _connect(self.address)
                self._socks[sock] = 0
                selector.register(sock, selectors.EVENT_WRITE)
            while not self._should_end.is_set():
                if not selector.get_map():
                    self._should_end.wait(_SELECT_S)
                for key, _mask in selector.select(_SELECT_S):
                    client = key.fileobj
                    assert isinstance(client, socket.socket)
                    if not self._send_some(client, data):
                        selector.unregister(client)

    def _send_some(self, sock: socket.socket, data: memoryview) -> bool:
        """Send what the connection takes; return whether there is more to send."""
        position = self._socks[sock]
        try:
            size = sock.send(data[position:])
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._socks[sock] = position + size
        self._sent_bytes += size
        return position + size < len(data)


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    status = sock.connect_ex((host, int(port)))
    if status not in (0, errno.EINPROGRESS):
        raise OSError(status, os.strerror(status))
    return sock


def _is_closed(sock: socket.socket) -> bool:
    """Return whether the other end has closed or reset a connection of which nothing is read."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))
