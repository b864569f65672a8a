"""Derive time limits from how long the other end takes to answer.

A fixed limit takes an end that is always slower than it for one that is gone. Here the limit
follows the times that were measured, as TCP's retransmission timeout does: a smoothed time and its
variation, doubled for each limit that ran out since the last answer. An end of which nothing is
known, or which answers quickly, gets the lower bound, so that its silence is noticed early.
"""

from __future__ import annotations

from typing import Final

# Weights of a new time in the smoothed time and in its variation.
_TIME_GAIN: Final = 0.25
_VARIATION_GAIN: Final = 0.25
# How many times the variation a limit exceeds the smoothed time by.
_VARIATIONS: Final = 4.0
# Doubling ends here; the upper bound is far below it.
_DOUBLINGS_MAX: Final = 16


class ResponseTimes:
    """The response times of one other end, and the time limit that follows from them."""

    __slots__ = ("_expired", "_least_s", "_most_s", "_smoothed_s", "_variation_s")

    _least_s: float
    _most_s: float
    # None before the first answer.
    _smoothed_s: float | None
    _variation_s: float
    # Limits that ran out since the last answer.
    _expired: int

    def __init__(self, least_s: float, most_s: float) -> None:
        self._least_s = least_s
        self._most_s = max(least_s, most_s)
        self._smoothed_s = None
        self._variation_s = 0.0
        self._expired = 0

    @property
    def smoothed_s(self) -> float:
        """The smoothed response time; 0 before the first answer."""
        return self._smoothed_s or 0.0

    @property
    def limit_s(self) -> float:
        """The time limit of the next call."""
        limit_s = self._least_s
        if self._smoothed_s is not None:
            limit_s = max(limit_s, self._smoothed_s + _VARIATIONS * self._variation_s)
        return min(self._most_s, limit_s * 2.0 ** min(self._expired, _DOUBLINGS_MAX))

    def add(self, duration_s: float) -> None:
        """Record an answer, also one that came after its limit."""
        self._expired = 0
        if self._smoothed_s is None:
            self._smoothed_s = duration_s
            self._variation_s = duration_s / 2
            return
        deviation_s = abs(duration_s - self._smoothed_s)
        self._variation_s += _VARIATION_GAIN * (deviation_s - self._variation_s)
        self._smoothed_s += _TIME_GAIN * (duration_s - self._smoothed_s)

    def note_expired(self) -> None:
        """Record a limit that ran out without an answer."""
        self._expired += 1
