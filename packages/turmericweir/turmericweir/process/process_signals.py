"""The signals of a process, from before its imports until it is gone.

The receiver of an event loop exists only while the loop runs: a signal before or after it has the
effect that the system gives it, which ends the process. Here the handlers are set before the daemon
is imported, and after it has ended the signals are ignored. Imports little, because it is used
before the callers' port listens.
"""

from __future__ import annotations

import contextlib
import signal
import socket
from types import FrameType, TracebackType
from typing import Final, Self

_READ_BYTES: Final = 4_096


class ProcessSignals:
    """Receives signals for as long as the process exists.

    A signal that arrives again before it is received counts once.
    """

    _signums: tuple[signal.Signals, ...]
    # The signals that were not received yet, with what they have interrupted.
    _pending: dict[int, FrameType | None]
    # The system writes to one end at each signal, which wakes whoever waits at the other.
    _wake_receiver: socket.socket
    _wake_sender: socket.socket

    def __init__(self, *signums: signal.Signals) -> None:
        self._signums = signums
        self._pending = {}

    def __enter__(self) -> Self:
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        signal.set_wakeup_fd(self._wake_sender.fileno(), warn_on_full_buffer=False)
        for signum in self._signums:
            # A handler in Python would be interrupted by the next signal, without end in a flood.
            signal.signal(signum, self._pending.setdefault)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        # Python's handlers end with the interpreter, but not what is ignored.
        for signum in self._signums:
            signal.signal(signum, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        self._wake_receiver.close()
        self._wake_sender.close()

    def is_stop_requested(self) -> bool:
        """Return whether a stop signal has arrived that was not received yet."""
        return signal.SIGTERM in self._pending or signal.SIGINT in self._pending

    async def receive(self) -> signal.Signals:
        """Wait for the next signal."""
        # Imported late; see the module's doc string.
        import anyio

        while not self._pending:
            await anyio.wait_readable(self._wake_receiver)
            with contextlib.suppress(BlockingIOError):
                self._wake_receiver.recv(_READ_BYTES)
        number = next(iter(self._pending))
        del self._pending[number]
        return signal.Signals(number)
