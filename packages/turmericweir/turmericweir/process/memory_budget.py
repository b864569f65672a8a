"""The memory that this process may hold for callers and servers, as a share of its limit.

What is held is counted by those who hold it, since the size of the process also contains what it
would need without them, and does not fall when memory is freed. Bytes count from when they are read
(`MemoryBudget.add`), also those that are passed on at once; the next count finds what is held of
them. Nothing here closes a connection: `callers.caller_memory` does, by what `choose_cut_off`
returns.
"""

from __future__ import annotations

import ctypes
import gc
import os
import sys
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
# The share from which on memory that is free is returned to the system, whatever is held.
OVERSIZE_SHARE: Final = 0.6
# The share of what is left of it that may be held: a byte that is passed on is copied once.
HELD_SHARE: Final = 0.5
# The least that may be held, as a share of the limit, whatever else the process needs.
ROOM_MIN_SHARE: Final = 1 / 32
# The share of the room from which on no new requests are taken, and the one down to which
# connections are cut off.
REFUSE_SHARE: Final = 0.6
CUT_OFF_SHARE: Final = 0.8
# The share of the room beyond which no large headers are held, so that others have room as well.
HEADERS_SHARE: Final = 0.4
# The share of the room that may be read between two counts while much is held.
_COUNT_SHARE: Final = 1 / 16
# Bodies up to this size need no room before they are read. They arrive with their heads, and large
# ones that are still on their way do not keep them out.
SMALL_BODY_BYTES: Final = 65_536
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
    # The same where the buffers of sockets count toward it.
    socket_limit_bytes: int = 0
    # At the last count.
    held_bytes: int = 0
    # Bytes read since then.
    read_bytes: int = 0
    # Counts what is held and calls `update`.
    recount: Callable[[], None] | None = None
    # The number of bytes held or read above which what is held is counted.
    _recount_above_bytes: int = sys.maxsize
    # The size of the process, and its size when it last held next to nothing.
    resident_bytes: int = 0
    own_bytes: int = 0
    # Whether much was held since then, so that the allocator may keep freed memory.
    _has_held_much: bool = False
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
        return bool(self.limit_bytes) and self.used_bytes > REFUSE_SHARE * self.room_bytes

    @property
    def used_bytes(self) -> int:
        """The most that may be held: what was counted last, and all that was read since."""
        return self.held_bytes + self.read_bytes

    @property
    def excess_bytes(self) -> int:
        """The number of bytes to be freed at once; 0 if what is held is within the room."""
        if not self.limit_bytes or self.held_bytes <= self.room_bytes:
            return 0
        return self.held_bytes - int(CUT_OFF_SHARE * self.room_bytes)

    def fits(self, body_bytes: int, awaited_bytes: int) -> bool:
        """Return whether the body of a new request may be read.

        `awaited_bytes` are the parts of others' bodies that have not arrived. A large body gets
        room only beside them, or if nothing else is there.
        """
        if not self.limit_bytes:
            return True
        if self.is_short:
            return False
        if body_bytes <= SMALL_BODY_BYTES:
            return True
        taken_bytes = self.used_bytes + awaited_bytes
        share = CUT_OFF_SHARE if taken_bytes < _IDLE_HELD_BYTES else REFUSE_SHARE
        return taken_bytes + body_bytes <= share * self.room_bytes

    def fits_headers(self, size: int) -> bool:
        """Return whether large headers may be held."""
        return not self.limit_bytes or self.used_bytes + size <= HEADERS_SHARE * self.room_bytes

    def add(self, size: int) -> None:
        """Count bytes that were read; count what is held if it may have become too much."""
        self.read_bytes += size
        if self.recount is not None and self.used_bytes > self._recount_above_bytes:
            self.recount()

    def update(self, held_bytes: int, resident_bytes: int) -> None:
        """Record what callers' requests hold, and the size of the process."""
        self.held_bytes = held_bytes + sum(source() for source in self.sources)
        self.read_bytes = 0
        self.resident_bytes = resident_bytes
        if self.held_bytes >= _IDLE_HELD_BYTES:
            self._has_held_much = True
        elif not self._has_held_much:
            self.own_bytes = resident_bytes
        self.own_bytes = self.own_bytes or resident_bytes
        if self.limit_bytes:
            room_bytes = self.room_bytes
            next_bytes = self.held_bytes + int(_COUNT_SHARE * room_bytes)
            self._recount_above_bytes = max(int(REFUSE_SHARE * room_bytes), next_bytes)

    @property
    def can_release(self) -> bool:
        """Whether what was held is free, and the allocator may still keep it."""
        is_free = self._has_held_much and self.used_bytes < _IDLE_HELD_BYTES
        return bool(self.limit_bytes) and is_free

    @property
    def is_oversized(self) -> bool:
        """Whether the process is so large that free memory must be returned to the system."""
        return bool(self.limit_bytes) and self.resident_bytes > OVERSIZE_SHARE * self.limit_bytes

    def note_released(self, resident_bytes: int) -> None:
        """Record the size of the process without freed memory, which is what it needs itself.

        Prevents a room that becomes smaller with each burst, since the size of the process does not
        fall by itself, until every large request is refused.
        """
        self._has_held_much = False
        self.resident_bytes = resident_bytes
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


def release_free_memory() -> None:
    """Free what only refers to itself, and return free memory to the system.

    The C library's allocator returns it; others may keep it.
    """
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


def resident_size() -> int:
    """Return the number of bytes of memory that this process uses."""
    return int(_STATM.read_bytes().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def peak_size() -> int:
    """Return the largest number of bytes of memory that this process has used.

    Does not use `getrusage`, whose maximum includes that of the process that started this one.
    """
    fields = _STATUS.read_bytes().split()
    return int(fields[fields.index(_PEAK_FIELD) + 1]) * _KILOBYTE
