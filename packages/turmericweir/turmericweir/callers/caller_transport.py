"""A transport for uvicorn's protocol that sends a head and a small body in one write."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


class CoalescingTransport(asyncio.Transport):
    """A caller's transport that can delay one write and send it together with the next.

    uvicorn writes the head and the body of an answer separately, which costs a system call and a
    packet each.
    """

    # The transport that asyncio created.
    _transport: asyncio.Transport
    # Whether the next write is delayed.
    _is_next_write_delayed: bool
    # Bytes of the delayed write.
    _delayed_bytes: bytes
    # Bytes written so far, including those that are not sent yet.
    _written_bytes: int
    # Called when a write was not passed to the network at once.
    _on_full: Callable[[], None]

    def __init__(
        self, transport: asyncio.Transport, on_full: Callable[[], None] = lambda: None
    ) -> None:
        super().__init__()
        self._transport = transport
        self._is_next_write_delayed = False
        self._delayed_bytes = b""
        self._written_bytes = 0
        self._on_full = on_full

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that were written and not passed to the network yet."""
        return self._transport.get_write_buffer_size()

    @property
    def sent_bytes(self) -> int:
        """The number of bytes that were passed to the network."""
        return self._written_bytes - self.unsent_bytes

    def delay_next_write(self) -> None:
        """Delay the next write until another write or `flush_delayed`."""
        self._is_next_write_delayed = True

    def flush_delayed(self) -> None:
        """Send the delayed write, for example the head of an answer without a body."""
        self._is_next_write_delayed = False
        if self._delayed_bytes:
            delayed, self._delayed_bytes = self._delayed_bytes, b""
            self._write(delayed)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send the data together with the delayed write, or delay it."""
        if self._is_next_write_delayed:
            self._is_next_write_delayed = False
            self._delayed_bytes += data
        elif self._delayed_bytes:
            delayed, self._delayed_bytes = self._delayed_bytes, b""
            self._write(delayed + data)
        else:
            self._write(data)

    def _write(self, data: bytes | bytearray | memoryview) -> None:
        self._written_bytes += len(data)
        self._transport.write(data)
        if self.unsent_bytes:
            self._on_full()

    def close(self) -> None:
        """Close after all data is sent."""
        self.flush_delayed()
        self._transport.close()

    def abort(self) -> None:
        """Close at once and discard the delayed write."""
        self._delayed_bytes = b""
        self._transport.abort()

    def write_eof(self) -> None:
        """Close the writing side after all data is sent."""
        self.flush_delayed()
        self._transport.write_eof()

    def is_closing(self) -> bool:
        """Return whether the transport is closed or being closed."""
        return self._transport.is_closing()

    # Any: the type depends on the name.
    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return optional information about the connection."""
        return self._transport.get_extra_info(name, default)

    def pause_reading(self) -> None:
        """Pause the reading of data."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume the reading of data."""
        self._transport.resume_reading()
