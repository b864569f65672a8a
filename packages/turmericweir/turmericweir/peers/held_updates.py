"""Load updates that were received and not processed yet, by sender.

Each update holds all load of its sender, so of those that wait only the newest counts. A process
that cannot keep up with the updates of its peers thus falls behind by one update of each, and its
work does not grow with the rate at which they send. What waits is bounded for all senders together,
so that updates of very many names, which no deployment has, do not fill the memory.
"""

from __future__ import annotations

from collections import deque
from typing import Final

from returns.pipeline import is_successful
from returns.result import Result, Success

from turmericweir.peers.peer_codec import decode
from turmericweir.process.errors import PeerError
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.engines.load_merge import merge_updates
from turmericweir_core.messages.events import PeerReceived
from turmericweir_core.messages.load_messages import LoadNews

# Updates of one sender that are merged; the prompt parts of older ones are dropped.
_UPDATES_PER_SENDER_MAX: Final = 12
# One update of the largest size from each instance of a large deployment fits in.
HELD_MAX_BYTES: Final = 20_000_000


class HeldUpdates:
    """Frames of load updates, the longest waiting sender first."""

    # Frame and origin of each update, the newest last.
    _frames: dict[InstanceName, deque[tuple[bytes, str]]]
    _held_bytes: int

    def __init__(self) -> None:
        self._frames = {}
        self._held_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._frames)

    def add(self, sender: InstanceName, data: bytes, origin: str) -> bool:
        """Hold the frame of an update; return False if there is no room for it."""
        frames = self._frames.get(sender)
        if frames is not None:
            # The newest counts, so older ones of its sender make room for it.
            while frames and (
                len(frames) == _UPDATES_PER_SENDER_MAX
                or self._held_bytes + len(data) > HELD_MAX_BYTES
            ):
                self._held_bytes -= len(frames.popleft()[0])
        elif self._held_bytes + len(data) > HELD_MAX_BYTES:
            return False
        self._frames.setdefault(sender, deque()).append((data, origin))
        self._held_bytes += len(data)
        return True

    def pop(self) -> tuple[Result[PeerReceived, PeerError], int, int]:
        """Remove the updates of one sender; return them as one, their bytes and their number."""
        frames = self._frames.pop(next(iter(self._frames)))
        size = sum(len(data) for data, _ in frames)
        self._held_bytes -= size
        merged: Result[PeerReceived, PeerError] | None = None
        for data, origin in frames:
            result = decode(data, origin)
            merged = result if merged is None else _merge(merged, result)
        assert merged is not None
        return merged, size, len(frames)


def _merge(
    one: Result[PeerReceived, PeerError], other: Result[PeerReceived, PeerError]
) -> Result[PeerReceived, PeerError]:
    """Return two updates of one sender as one; an invalid one is left out."""
    if not is_successful(other):
        return one
    if not is_successful(one):
        return other
    earlier, later = one.unwrap(), other.unwrap()
    assert isinstance(earlier.message, LoadNews)
    assert isinstance(later.message, LoadNews)
    message = merge_updates(earlier.message, later.message)
    return Success(PeerReceived(later.sender, message, later.origin))
