"""Test time limits that follow from measured response times."""

from __future__ import annotations

import pytest

from turmericweir.process.response_times import ResponseTimes

LEAST_S, MOST_S = 0.5, 8.0


def make_times() -> ResponseTimes:
    """Return response times without an answer."""
    return ResponseTimes(LEAST_S, MOST_S)


def test_first_limit_is_the_lower_bound() -> None:
    """Guards against noticing a silent end later than with a fixed limit."""
    assert make_times().limit_s == LEAST_S


def test_quick_end_keeps_the_lower_bound() -> None:
    times = make_times()
    for _ in range(50):
        times.add(0.004)
    assert times.limit_s == LEAST_S


@pytest.mark.parametrize("duration_s", [0.7, 1.5, 3.0, 7.9])
def test_end_that_is_always_slow_is_reached(duration_s: float) -> None:
    """Guards against a limit that an end always exceeds, so that it never answers in time."""
    times = make_times()
    tries = 0
    while times.limit_s <= duration_s:
        times.note_expired()
        tries += 1
    assert tries <= 4
    for _ in range(50):
        times.add(duration_s)
        assert times.limit_s > duration_s


def test_limit_is_bounded() -> None:
    times = make_times()
    for _ in range(2000):
        times.note_expired()
    assert times.limit_s == MOST_S


def test_answer_ends_the_doubling() -> None:
    times = make_times()
    for _ in range(5):
        times.note_expired()
    times.add(0.004)
    assert times.limit_s == LEAST_S


def test_limit_falls_once_the_end_is_quick_again() -> None:
    """Guards against noticing silence late for long after a slow phase."""
    times = make_times()
    for _ in range(20):
        times.add(3.0)
    for _ in range(25):
        times.add(0.004)
    assert times.limit_s == LEAST_S
