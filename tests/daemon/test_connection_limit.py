"""Tests of which connections are closed when there are too many, without a network."""

from __future__ import annotations

from dataclasses import dataclass

from turmericweir.callers.connection_limit import ConnectionLimit

_MAX = 64


@dataclass(eq=False)
class _Connection:
    closing_rank: int | None
    active_at: float = 0.0
    is_lost: bool = False

    def close_idle(self) -> None:
        self.is_lost = True


def _make_room(*connections: _Connection) -> list[_Connection]:
    """Let the last one connect; return those that were closed."""
    counts: list[int] = []
    limit = ConnectionLimit(
        _MAX, lambda: len(connections), lambda: connections, lambda name, by: counts.append(by)
    )
    limit.make_room(connections[-1])
    closed = [conn for conn in connections if conn.is_lost]
    assert sum(counts) == len(closed)
    return closed


def test_none_is_closed_within_the_limit() -> None:
    # Guards against closing the connections of callers that are not too many.
    assert _make_room(*(_Connection(0) for _ in range(_MAX))) == []


def test_those_without_a_request_are_closed_first_and_the_oldest_of_them() -> None:
    # Guards against closing a caller's kept connection, or a fresh one, before useless ones.
    running = [_Connection(None) for _ in range(_MAX - 6)]
    kept = [_Connection(1, active_at=1.0) for _ in range(3)]
    silent = [_Connection(0, active_at=2.0 + number) for number in range(3)]
    newest = _Connection(0, active_at=9.0)
    assert _make_room(*silent, *kept, *running, newest) == silent
    silent = [_Connection(0, active_at=5.0)]
    assert (
        _make_room(*silent, *kept, *running, _Connection(None), _Connection(None), newest)
        == silent + kept[:2]
    )


def test_newest_is_closed_if_requests_run_on_all_others() -> None:
    # Guards against cutting off a request that runs.
    running = [_Connection(None) for _ in range(_MAX)]
    newest = _Connection(0)
    assert _make_room(*running, newest) == [newest]


def test_closed_ones_do_not_count() -> None:
    # Guards against closing more for each connection that comes before the event loop runs.
    closing = [_Connection(None, is_lost=True) for _ in range(_MAX)]
    idle = _Connection(0)
    connections = [*closing, idle, _Connection(0)]
    limit = ConnectionLimit(
        _MAX, lambda: len(connections), lambda: connections, lambda name, by: None
    )
    limit.make_room(connections[-1])
    assert not idle.is_lost
