"""Load updates that were received and not processed yet, by sender.

Each update holds all load of its sender, so of those that wait only the newest counts. A process
that cannot keep up with the updates of its peers thus falls behind by one update of each, and its
work does not grow with the rate at which they send.
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


class HeldUpdates:
    """Frames of load updates, the longest waiting sender first."""

    # Frame and origin of each update, the newest last.
    _frames: dict[InstanceName, deque[tuple[bytes, str]]]

    def __init__(self) -> None:
        self._frames = {}

    def __bool__(self) -> bool:
        return bool(self._frames)

    def add(self, sender: InstanceName, data: bytes, origin: str) -> None:
        """Hold the frame of an update."""
        frames = self._frames.setdefault(sender, deque(maxlen=_UPDATES_PER_SENDER_MAX))
        frames.append((data, origin))

    def pop(self) -> tuple[Result[PeerReceived, PeerError], int]:
        """Remove the updates of one sender; return them as one, and their size in bytes."""
        frames = self._frames.pop(next(iter(self._frames)))
        merged: Result[PeerReceived, PeerError] | None = None
        for data, origin in frames:
            result = decode(data, origin)
            merged = result if merged is None else _merge(merged, result)
        assert merged is not None
        return merged, sum(len(data) for data, _ in frames)


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
