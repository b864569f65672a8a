"""The streams of peers that are open, and the bounds on all of them together."""

from __future__ import annotations

from typing import Final, Protocol

from turmericweir.process.socket_buffers import SocketBuffers

# More than all other instances of a large deployment open at a time.
STREAMS_MAX: Final = 512
# Bytes of incomplete frames on all streams. One frame of the largest size fits in.
HELD_MAX_BYTES: Final = 25_165_824


class BoundedStream(Protocol):
    """The part of a stream that is used here."""

    @property
    def received_at(self) -> float:
        """When bytes arrived last."""

    @property
    def has_sent_message(self) -> bool:
        """Whether a message has arrived."""

    @property
    def held_bytes(self) -> int:
        """The number of bytes that wait for the rest of a frame, or for the next turn."""

    def drop(self, reason: str) -> None:
        """Close the connection to keep a bound."""


class IncomingStreams:
    """Drops the streams that are worth least while there is too much of them."""

    # What each stream held when it was last updated.
    _held_bytes: dict[BoundedStream, int]
    _total_bytes: int
    # The receive buffers of all streams, also of those that are carried.
    buffers: SocketBuffers

    def __init__(self) -> None:
        self._held_bytes = {}
        self._total_bytes = 0
        self.buffers = SocketBuffers()

    def add(self, stream: BoundedStream) -> None:
        """Add a new stream; if there are too many, drop one.

        Streams without a message go first, then those that have been silent longest.
        """
        self._held_bytes[stream] = 0
        if len(self._held_bytes) > STREAMS_MAX:
            others = (each for each in self._held_bytes if each is not stream)
            worst = min(others, key=lambda each: (each.has_sent_message, each.received_at))
            self._drop(worst, f"more than {STREAMS_MAX} streams")

    def update(self, stream: BoundedStream) -> None:
        """Count what a stream holds; if all hold too much, drop some.

        Streams without a message go first, then those that hold most.
        """
        if stream not in self._held_bytes:
            return
        self._total_bytes += stream.held_bytes - self._held_bytes[stream]
        self._held_bytes[stream] = stream.held_bytes
        while self._total_bytes > HELD_MAX_BYTES:
            held = self._held_bytes
            worst = max((each for each in held if held[each]), key=self._excess_order)
            self._drop(worst, f"more than {HELD_MAX_BYTES} bytes of incomplete frames")

    def _excess_order(self, stream: BoundedStream) -> tuple[bool, int]:
        return not stream.has_sent_message, self._held_bytes[stream]

    def remove(self, stream: BoundedStream) -> None:
        """Forget a stream that has ended."""
        self._total_bytes -= self._held_bytes.pop(stream, 0)

    def _drop(self, stream: BoundedStream, reason: str) -> None:
        self.remove(stream)
        stream.drop(reason)
