"""Test what is shown of the times of reads."""

from __future__ import annotations

from typing import Any

import pytest

from turmericweir.process import logs
from turmericweir.servers import read_stats
from turmericweir.servers.read_stats import ReadStats


class Clock:
    """A clock that a test sets."""

    now = 100.0

    def current_time(self) -> float:
        """Return the time."""
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the clock of the statistics."""
    clock = Clock()
    monkeypatch.setattr(read_stats, "anyio", clock)
    return clock


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, Any]]]:
    """Return the log lines."""
    lines: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(logs, "write", lambda event, **fields: lines.append((event, fields)))
    return lines


def test_slow_store_is_logged_once(clock: Clock, lines: list[tuple[str, dict[str, Any]]]) -> None:
    """Guards against a line for each read of a store that is slow for hours."""
    stats = ReadStats()
    for _ in range(50):
        stats.note_expired("/x", 0.7)
        clock.now += 0.8
        stats.note_answer(1.5, is_late=True)
    assert [event for event, _ in lines] == ["store_slow"]
    assert stats.limits_expired == 50


def test_store_that_answered_late_differs_from_one_that_was_gone(
    clock: Clock, lines: list[tuple[str, dict[str, Any]]]
) -> None:
    """Guards against log lines that do not tell a slow store from one that is gone."""
    stats = ReadStats()
    for answered_late in (0, 2):
        stats.note_expired("/x", 0.7)
        for _ in range(answered_late):
            stats.note_answer(1.5, is_late=True)
        clock.now += 10.0
        stats.note_answer(0.1, is_late=False)
    assert [fields["answered_late"] for event, fields in lines if event == "store_quick"] == [0, 2]


def test_store_is_not_quick_at_the_first_answer_in_time(
    clock: Clock, lines: list[tuple[str, dict[str, Any]]]
) -> None:
    """Guards against two lines for each slow read of a store that is slow now and then."""
    stats = ReadStats()
    for _ in range(20):
        stats.note_expired("/x", 0.7)
        clock.now += 1.0
        stats.note_answer(0.1, is_late=False)
    assert [event for event, _ in lines] == ["store_slow"]
