"""Incarnations of instances: one for each start of a process, in the order of the starts.

A process that is taken for gone may live on and send under its name. The order tells others which
of two processes of one name was started later, as far as the clocks of their machines agree.
"""

from __future__ import annotations

from typing import Final

# The start time stands first, in milliseconds, so that incarnations sort by it.
_TIME_DIGITS: Final = 12
_MS_PER_S: Final = 1000
# Hexadecimal digits of the random part, which keeps two starts in one millisecond apart.
RANDOM_DIGITS: Final = 8


def make_incarnation(started_at: float, random_digits: str) -> str:
    """Return the incarnation of a process that was started at a wall clock time."""
    return f"{int(started_at * _MS_PER_S):0{_TIME_DIGITS}x}{random_digits}"


def is_earlier(incarnation: str, other: str) -> bool | None:
    """Return whether an incarnation was started before another; None if one does not tell."""
    if any(len(each) != _TIME_DIGITS + RANDOM_DIGITS for each in (incarnation, other)):
        return None
    return incarnation < other
