"""Counts the retries that servers received, as the platform's rule does."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """The platform's bounds on retries of all instances together."""

    ratio: float = 0.2
    window_s: float = 10.0
    burst: float = 56.0


@dataclass(frozen=True, slots=True)
class Window:
    """The arrivals beyond the first of each request in one window."""

    starts_at: float
    retries: int
    allowed: float

    @property
    def used_share(self) -> float:
        """The share of the allowed retries that were made."""
        return self.retries / self.allowed


def repeats_of(arrivals: Iterable[tuple[float, str]]) -> list[float]:
    """Return when requests arrived that had arrived before, in order."""
    seen: Counter[str] = Counter()
    repeats: list[float] = []
    for at, request_id in sorted(arrivals):
        if seen[request_id]:
            repeats.append(at)
        seen[request_id] += 1
    return repeats


def worst_window(sent: Iterable[float], repeats: list[float], bounds: Bounds) -> Window:
    """Return the window in which the largest share of the allowed retries was made.

    Requests count in the window, the one before it or the one half a window before it, whichever
    has most.
    """
    sent_at = sorted(sent)

    def requests_in(start: float) -> int:
        return bisect_right(sent_at, start + bounds.window_s) - bisect_left(sent_at, start)

    windows = [Window(0.0, 0, bounds.burst)]
    for first, start in enumerate(repeats):
        count = bisect_right(repeats, start + bounds.window_s) - first
        half_s = bounds.window_s / 2
        requests = max(requests_in(start - shift) for shift in (0.0, half_s, 2 * half_s))
        windows.append(Window(start, count, bounds.ratio * requests + bounds.burst))
    return max(windows, key=lambda window: window.used_share)
