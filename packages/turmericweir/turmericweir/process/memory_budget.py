"""The memory that this process may hold for callers and servers, as a share of its limit.

What is held is counted by those who hold it, since the size of the process also contains what it
would need without them, and does not fall when memory is freed. Nothing here closes a connection:
`callers.caller_memory` does, by what `choose_cut_off` returns.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, Generic, TypeVar

_KILOBYTE: Final = 1024
_STATM: Final = Path("/proc/self/statm")
_STATUS: Final = Path("/proc/self/status")
_PEAK_FIELD: Final = b"VmHWM:"
# The share of the limit that the whole process may use.
LIMIT_SHARE: Final = 0.8
# The share of what is left of it that may be held: a byte that is passed on is copied once.
HELD_SHARE: Final = 0.5
# The least that may be held, as a share of the limit, whatever else the process needs.
ROOM_MIN_SHARE: Final = 1 / 32
# The share of the room from which on no new requests are taken, and the one down to which
# connections are cut off.
REFUSE_SHARE: Final = 0.6
CUT_OFF_SHARE: Final = 0.8
# While less than this is held, the size of the process shows what it needs for itself.
_IDLE_HELD_BYTES: Final = 1_048_576

Key = TypeVar("Key")


@dataclass(frozen=True, slots=True)
class Holder(Generic[Key]):
    """One request or connection for which memory is held."""

    key: Key
    held_bytes: int
    # When the process began to hold something for it.
    since: float
    # Whether the memory would be free if the other end read what waits for it.
    is_unread: bool


@dataclass(slots=True)
class MemoryBudget:
    """The limit, and what is held at present."""

    # The memory limit of the process; 0 for none.
    limit_bytes: int = 0
    held_bytes: int = 0
    # The size of the process, and its size when it last held next to nothing.
    resident_bytes: int = 0
    own_bytes: int = 0
    # What others hold, each of whom counts for itself.
    sources: list[Callable[[], int]] = field(default_factory=list)

    @property
    def room_bytes(self) -> int:
        """The number of bytes that may be held."""
        share = HELD_SHARE * (LIMIT_SHARE * self.limit_bytes - self.own_bytes)
        return int(max(share, ROOM_MIN_SHARE * self.limit_bytes))

    @property
    def is_short(self) -> bool:
        """Whether no new requests should be taken."""
        return bool(self.limit_bytes) and self.held_bytes > REFUSE_SHARE * self.room_bytes

    @property
    def excess_bytes(self) -> int:
        """The number of bytes to be freed at once; 0 if what is held is within the room."""
        if not self.limit_bytes or self.held_bytes <= self.room_bytes:
            return 0
        return self.held_bytes - int(CUT_OFF_SHARE * self.room_bytes)

    def update(self, held_bytes: int, resident_bytes: int) -> None:
        """Record what callers' requests hold, and the size of the process."""
        self.held_bytes = held_bytes + sum(source() for source in self.sources)
        self.resident_bytes = resident_bytes
        if self.held_bytes < _IDLE_HELD_BYTES or not self.own_bytes:
            self.own_bytes = resident_bytes


def choose_cut_off(holders: Sequence[Holder[Key]], excess_bytes: int) -> list[Holder[Key]]:
    """Return those to be cut off so that the excess is freed.

    Those that do not read go first, then the largest, then the newest, which lose least. Sizes
    within a factor of two count as the same.
    """
    chosen: list[Holder[Key]] = []
    freed_bytes = 0
    for holder in sorted(holders, key=_cut_off_order):
        if freed_bytes >= excess_bytes or not holder.held_bytes:
            break
        chosen.append(holder)
        freed_bytes += holder.held_bytes
    return chosen


def _cut_off_order(holder: Holder[Key]) -> tuple[bool, int, float]:
    return (not holder.is_unread, -holder.held_bytes.bit_length(), -holder.since)


def resident_size() -> int:
    """Return the number of bytes of memory that this process uses."""
    return int(_STATM.read_bytes().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def peak_size() -> int:
    """Return the largest number of bytes of memory that this process has used.

    Does not use `getrusage`, whose maximum includes the memory of the process that started this one.
    """
    fields = _STATUS.read_bytes().split()
    return int(fields[fields.index(_PEAK_FIELD) + 1]) * _KILOBYTE
