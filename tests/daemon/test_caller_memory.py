"""Tests of which callers are cut off, on connections of the test's own."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import cast

import pytest

from turmericweir.callers.caller_memory import CallerMemory
from turmericweir.process.memory_budget import MemoryBudget
from turmericweir.process.node import Node

_UNREAD_MAX_S = 5.0


@dataclass(eq=False)
class _Channel:
    unread_bytes: int = 0
    unsent_bytes: int = 0
    sent_bytes: int = 0
    was_reset: bool = False
    expected_bodies: list[int] = field(default_factory=list)

    def expect_body(self, body_bytes: int) -> None:
        self.expected_bodies.append(body_bytes)

    def reset_connection(self) -> None:
        self.was_reset = True


@dataclass
class _Job:
    held_bytes: int


@dataclass
class _Node:
    memory: MemoryBudget = field(default_factory=MemoryBudget)
    counts: list[str] = field(default_factory=list)

    def count(self, name: str) -> None:
        self.counts.append(name)


@pytest.fixture
def node() -> _Node:
    return _Node()


@pytest.fixture
def memory(node: _Node, monkeypatch: pytest.MonkeyPatch) -> CallerMemory:
    monkeypatch.setattr("turmericweir.callers.caller_memory.anyio.current_time", lambda: 0.0)
    return CallerMemory(cast(Node, node), _UNREAD_MAX_S)


def test_caller_that_reads_nothing_of_a_complete_answer_is_cut_off(
    node: _Node, memory: CallerMemory
) -> None:
    # Guards against answers that are held after their requests have ended.
    channel = _Channel(unsent_bytes=200_000)
    memory.end_request(memory.track(channel, "a"))
    memory.check(_UNREAD_MAX_S - 1, 0)
    assert (channel.was_reset, node.memory.held_bytes) == (False, 200_000)
    memory.check(_UNREAD_MAX_S + 1, 0)
    assert (channel.was_reset, node.counts) == (True, ["caller.cut_off.unread"])
    memory.check(_UNREAD_MAX_S + 2, 0)
    assert node.memory.held_bytes == 0


def test_caller_that_reads_slowly_is_not_cut_off(memory: CallerMemory) -> None:
    # Guards against cutting off callers on slow links.
    channel = _Channel(unsent_bytes=200_000)
    memory.track(channel, "a")
    for second in range(20):
        channel.sent_bytes += 1_000
        memory.check(float(second), 0)
    assert not channel.was_reset


def test_caller_whose_server_is_slow_is_not_cut_off(memory: CallerMemory) -> None:
    # Guards against cutting off callers for which nothing waits.
    channel = _Channel()
    memory.track(channel, "a")
    for second in range(20):
        memory.check(float(second), 0)
    channel.unsent_bytes = 1_000
    memory.check(20.0, 0)
    assert not channel.was_reset


def test_next_request_on_a_connection_is_tracked_beside_the_last(memory: CallerMemory) -> None:
    # Guards against a connection that is forgotten while its next request runs.
    channel = _Channel(unsent_bytes=1_000)
    first = memory.track(channel, "a")
    second = memory.track(channel, "b")
    second.job = _Job(5_000)
    memory.end_request(first)
    channel.unsent_bytes = 0
    memory.check(0.0, 0)
    assert second.held_bytes == 5_000
    assert memory._tracked == {channel: second}


def test_those_that_hold_most_are_cut_off_when_memory_is_short(
    node: _Node, memory: CallerMemory
) -> None:
    # Guards against a process that is killed for what its callers hold together.
    node.memory.limit_bytes = 100_000_000
    memory.check(0.0, 40_000_000)
    channels = [_Channel(unsent_bytes=1_000_000) for _ in range(30)]
    large = _Channel(unsent_bytes=10_000_000)
    for number, channel in enumerate([*channels, large]):
        memory.track(channel, str(number))
    memory.check(0.0, 120_000_000)
    assert large.was_reset
    left = sum(channel.unsent_bytes for channel in channels if not channel.was_reset)
    assert 0 < left <= node.memory.room_bytes
    assert set(node.counts) == {"caller.cut_off.memory"}


def test_room_is_kept_for_the_rest_of_a_body(node: _Node, memory: CallerMemory) -> None:
    # Guards against requests that are all taken since their bodies have not arrived yet.
    node.memory.limit_bytes = 100_000_000
    memory.check(0.0, 40_000_000)
    callers = [memory.track(_Channel(), str(number)) for number in range(10)]
    taken = [caller for caller in callers if memory.admit(caller, 4_000_000)]
    assert 0 < len(taken) * 4_000_000 <= node.memory.room_bytes
    for caller in taken:
        assert memory.add_body(caller, 4_000_000)
        memory.end_body(caller)
    memory.count()
    assert node.memory.held_bytes == len(taken) * 4_000_000
    assert not memory.admit(memory.track(_Channel(), "late"), 4_000_000)


def test_request_is_not_refused_for_what_was_freed(
    node: _Node, memory: CallerMemory, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against refusals by a count from before the end of a burst.
    node.memory.limit_bytes = 100_000_000
    memory.check(0.0, 40_000_000)
    channel = _Channel(unsent_bytes=node.memory.room_bytes)
    tracked = memory.track(channel, "a")
    memory.check(0.0, 40_000_000)
    assert not memory.admit(memory.track(_Channel(), "b"), 0)
    channel.unsent_bytes = 0
    memory.end_request(tracked)
    monkeypatch.setattr("turmericweir.callers.caller_memory.anyio.current_time", lambda: 0.1)
    assert memory.admit(memory.track(_Channel(), "c"), 0)


def test_room_is_not_kept_for_a_body_that_stops_arriving(
    node: _Node, memory: CallerMemory, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against callers that announce large bodies and send none, so that others are refused.
    node.memory.limit_bytes = 100_000_000
    memory.check(0.0, 40_000_000)
    while memory.admit(memory.track(_Channel(), "a"), 4_000_000):
        pass
    monkeypatch.setattr("turmericweir.callers.caller_memory.anyio.current_time", lambda: 6.0)
    assert memory.admit(memory.track(_Channel(), "b"), 4_000_000)


def test_body_of_unknown_length_is_read_until_memory_is_short(
    node: _Node, memory: CallerMemory
) -> None:
    # Guards against bodies that announce no length and so need no room.
    node.memory.limit_bytes = 100_000_000
    memory.check(0.0, 40_000_000)
    caller = memory.track(_Channel(), "a")
    assert memory.admit(caller, None)
    size = 0
    while memory.add_body(caller, 65_536):
        size += 65_536
        node.memory.add(65_536)
    assert 0 < size < node.memory.room_bytes
