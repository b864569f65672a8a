"""The transport below uvicorn's protocol, by which a small answer goes out in one write."""

from __future__ import annotations

import asyncio
from typing import Any


class JoiningTransport(asyncio.Transport):
    """A caller's transport that can send the head of an answer together with its body.

    uvicorn writes the two apart. Each write is a system call and a packet of its own, which for a
    small answer is more than the rest of its way through the process.
    """

    # uvicorn's transport, as asyncio made it.
    _below: asyncio.Transport
    # The next write is kept for the one after it.
    _holding: bool
    # What was kept.
    _held: bytes

    def __init__(self, below: asyncio.Transport) -> None:
        super().__init__()
        self._below = below
        self._holding = False
        self._held = b""

    def hold_next(self) -> None:
        """Keep the next write until another one or `release`."""
        self._holding = True

    def release(self) -> None:
        """Write what is kept still, as after the head of an answer without a body."""
        self._holding = False
        if self._held:
            held, self._held = self._held, b""
            self._below.write(held)

    # Any-sized buffers are what asyncio's own transports take.
    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write, after what was kept and together with it."""
        if self._holding:
            self._holding = False
            self._held += data
        elif self._held:
            held, self._held = self._held, b""
            self._below.write(held + data)
        else:
            self._below.write(data)

    def close(self) -> None:
        """Close when all is written."""
        self.release()
        self._below.close()

    def abort(self) -> None:
        """Close at once and forget what is not written."""
        self._held = b""
        self._below.abort()

    def is_closing(self) -> bool:
        """Tell whether it is closed or being closed."""
        return self._below.is_closing()

    # Any: asyncio tells things of any kind by name.
    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Tell about the connection."""
        return self._below.get_extra_info(name, default)

    def pause_reading(self) -> None:
        """Read no more for now."""
        self._below.pause_reading()

    def resume_reading(self) -> None:
        """Go on reading."""
        self._below.resume_reading()
