"""Tests of the memory budget, without a network."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass
from itertools import pairwise

import pytest

from turmericweir.process.memory_budget import Holder, MemoryBudget, choose_cut_off, resident_size

_LIMIT = 160_000_000
_OWN = 50_000_000
# With these, 39 MB may be held.
_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class _Body:
    """A body that is announced while something is held, has been read, or is on its way."""

    name: str
    size: int
    fits: bool
    held: int = 0
    read: int = 0
    awaited: int = 0


_BODIES = (
    _Body("beside nothing", 4 * _MB, fits=True),
    _Body("beside others", 4 * _MB, held=8 * _MB, read=4 * _MB, awaited=4 * _MB, fits=True),
    _Body("held bytes count", 4 * _MB, held=20 * _MB, fits=False),
    _Body("bytes read since the last count count", 4 * _MB, read=20 * _MB, fits=False),
    _Body("bytes on their way count", 4 * _MB, awaited=20 * _MB, fits=False),
    _Body("large ones alone", 30 * _MB, fits=True),
    _Body("large ones not beside others", 30 * _MB, held=2 * _MB, fits=False),
    _Body("larger than all room", 40 * _MB, fits=False),
    _Body("small ones beside large ones on their way", 60_000, awaited=24 * _MB, fits=True),
    _Body("none of any size when short", 0, held=24 * _MB, fits=False),
)


def _budget(held_bytes: int) -> MemoryBudget:
    budget = MemoryBudget(limit_bytes=_LIMIT)
    budget.update(0, _OWN)
    budget.update(held_bytes, _OWN + 2 * held_bytes)
    return budget


def test_twice_the_room_and_what_the_process_needs_fit_into_the_limit() -> None:
    budget = _budget(0)
    assert _OWN + 2 * budget.room_bytes <= 0.8 * _LIMIT


def test_new_requests_are_refused_before_anyone_is_cut_off() -> None:
    room_bytes = _budget(0).room_bytes
    assert not _budget(room_bytes // 2).is_short
    assert (_budget(room_bytes - 1).is_short, _budget(room_bytes - 1).excess_bytes) == (True, 0)
    assert _budget(room_bytes + 1_000_000).excess_bytes > 1_000_000


def test_process_without_a_limit_is_never_short() -> None:
    # Guards against deployments that name no limit and refuse requests.
    budget = MemoryBudget()
    budget.update(10**12, 10**12)
    assert (budget.is_short, budget.excess_bytes) == (False, 0)


def test_process_that_needs_more_than_its_share_serves_on() -> None:
    # Guards against large settings after which every request is refused.
    budget = MemoryBudget(limit_bytes=_LIMIT)
    budget.update(0, _LIMIT)
    assert not budget.is_short


def test_held_memory_does_not_raise_what_the_process_needs() -> None:
    # Guards against a room that grows or shrinks with what is held.
    assert _budget(20_000_000).room_bytes == _budget(0).room_bytes


def test_room_after_much_was_held_is_that_of_before() -> None:
    # Guards against an instance that refuses large requests for good after one burst of them.
    budget = _budget(30 * _MB)
    room_bytes = budget.room_bytes
    assert not budget.can_release
    budget.update(0, _OWN + 30 * _MB)
    assert (budget.room_bytes, budget.can_release) == (room_bytes, True)
    budget.note_released(_OWN)
    assert (budget.room_bytes, budget.can_release) == (room_bytes, False)


def test_what_others_hold_counts() -> None:
    budget = MemoryBudget(limit_bytes=_LIMIT, sources=[lambda: 7, lambda: 5])
    budget.update(1, _OWN)
    assert budget.held_bytes == 13


def test_unread_largest_and_newest_are_cut_off_first() -> None:
    # Guards against cutting off callers that read, or old and small requests, before others.
    holders = [
        Holder("reads", 9_000, 5.0, is_unread=False),
        Holder("old", 1_000, 1.0, is_unread=True),
        Holder("new", 1_000, 2.0, is_unread=True),
        Holder("large", 3_000, 0.0, is_unread=True),
    ]
    for excess, names in (
        (0, []),
        (2_000, ["large"]),
        (3_500, ["large", "new"]),
        (10_000, ["large", "new", "old", "reads"]),
    ):
        assert [holder.key for holder in choose_cut_off(holders, excess)] == names


def test_peak_is_that_of_the_process_itself() -> None:
    # Guards against a peak that is the memory of the process which started this one.
    ballast = bytes([1]) * _LIMIT
    command = "from turmericweir.process import memory_budget as each; print(each.peak_size())"
    child = subprocess.run([sys.executable, "-c", command], capture_output=True, check=True)
    assert 0 < int(child.stdout) < len(ballast) < resident_size()


@pytest.mark.parametrize("case", _BODIES, ids=lambda case: case.name)
def test_body_is_read_only_if_there_is_room_for_all_of_it(case: _Body) -> None:
    # Guards against bodies that are all within the bound when they begin, and together beyond it.
    budget = _budget(case.held)
    budget.add(case.read)
    assert budget.fits(case.size, case.awaited) == case.fits


def test_process_without_a_limit_takes_any_body_and_returns_no_memory() -> None:
    # Guards against deployments that name no limit and pay for one.
    budget = MemoryBudget()
    assert budget.fits(10**12, 10**12)
    budget.update(10**12, 10**12)
    budget.update(0, 10**12)
    assert not budget.can_release


def test_what_was_read_is_counted_before_it_fills_the_room() -> None:
    # Guards against bytes that arrive faster than what is held is counted at intervals.
    budget = _budget(0)
    counts: list[int] = []

    def recount() -> None:
        counts.append(budget.used_bytes)
        budget.update(budget.used_bytes, _OWN)

    budget.recount = recount
    while budget.used_bytes <= budget.room_bytes:
        budget.add(65_536)
    assert counts
    assert counts[-1] <= budget.room_bytes + 65_536
    assert max(counts) - min(counts) > 0
    gaps = [later - earlier for earlier, later in pairwise(counts)]
    assert max(gaps) <= 0.1 * budget.room_bytes


def test_bytes_that_are_passed_on_are_counted_rarely() -> None:
    # Guards against counting for each read while streams pass through.
    budget = _budget(0)
    counts: list[int] = []

    def recount() -> None:
        counts.append(budget.used_bytes)
        budget.update(0, _OWN)

    budget.recount = recount
    for _ in range(1_000):
        budget.add(65_536)
    assert 0 < len(counts) <= 3
    assert not budget.is_short


def test_large_headers_leave_room_for_small_requests() -> None:
    # Guards against refusing ordinary requests beside a crowd with large headers.
    budget = _budget(0)
    size = 300_000
    while budget.fits_headers(size):
        budget.update(budget.held_bytes + size, _OWN)
    assert budget.held_bytes > size
    assert not budget.is_short
    assert budget.fits(64_000, 0)
    assert MemoryBudget().fits_headers(10**12)


@pytest.mark.parametrize(
    ("limit_bytes", "resident_bytes", "is_oversized"),
    [(100_000_000, 59_000_000, False), (100_000_000, 61_000_000, True), (0, 61_000_000, False)],
)
def test_large_process_returns_free_memory_while_something_is_held(
    limit_bytes: int, resident_bytes: int, is_oversized: bool
) -> None:
    # Guards against freed memory that is kept until the limit, as long as any request holds some.
    budget = MemoryBudget(limit_bytes=limit_bytes)
    budget.update(30_000_000, resident_bytes)
    assert not budget.can_release
    assert budget.is_oversized == is_oversized
