"""Tests of when an instance reads the store."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, cast

import anyio
import pytest

from tests.core.store_world import StoreWorld
from turmericweir.process.node import Node
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.messages.events import Event
from turmericweir_platform.store import Follower
from turmericweir_platform.store_client import Position, StoreClient

EMPTY_PAGE = struct.pack(">QQ", 0, 0)


class _ReducingNode:
    """Passes events to the reducer."""

    def __init__(self, world: StoreWorld) -> None:
        self.state = world.state
        self._world = world

    def handle(self, event: Event) -> None:
        self._world.now = anyio.current_time()
        self._world.give(event)


class _Settings:
    name = "entry-1"

    class store:  # noqa: N801
        address = "127.0.0.1:1"

    class bounds:  # noqa: N801
        drain_ms = 2000


def run_follower(world: StoreWorld, method: Callable[[Follower], Any]) -> list[str]:
    """Run a method of a follower; return its pauses and call targets, in order."""
    steps: list[str] = []

    async def call(_self: StoreClient, target: str, _timeout_s: float) -> Answer:
        steps.append(target)
        return Answer(200, {}, EMPTY_PAGE)

    async def sleep(_seconds: float) -> None:
        steps.append("pause")

    async def main() -> None:
        follower = Follower(cast(BackendPool, None), cast(Any, _Settings))
        follower.attach(cast(Node, _ReducingNode(world)))
        await method(follower)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(StoreClient, "_call", call)
        patch.setattr("turmericweir_platform.store.anyio.sleep", sleep)
        anyio.run(main)
    return steps


def set_reader_role(world: StoreWorld, *, is_reader: bool) -> StoreWorld:
    """Make the instance a reader, or one whose updates from the reader are overdue."""
    world.state.members.started_at = float("-inf") if is_reader else None
    return world


def test_instance_with_overdue_updates_reads_servers_at_once() -> None:
    # Guards against a pause that delays the notice of a leaving server after the reader has died.
    world = set_reader_role(StoreWorld(), is_reader=False)
    (target,) = run_follower(
        world, lambda follower: follower._read_next_entries(Position(0, 1), False)
    )
    assert "log-read" in target


def test_reader_pauses_between_reads_of_the_servers() -> None:
    world = set_reader_role(StoreWorld(), is_reader=True)
    pause, target = run_follower(
        world, lambda follower: follower._read_next_entries(Position(0, 1), False)
    )
    assert pause == "pause"
    assert "log-read" in target


@pytest.mark.parametrize("is_reader", [False, True])
def test_only_a_reader_pauses_before_reading_the_settings(is_reader: bool) -> None:
    """Guards against a pause that makes a stale freshness proof expire."""
    world = set_reader_role(StoreWorld(), is_reader=is_reader)
    *pauses, target = run_follower(
        world, lambda follower: follower._read_next_document(Position(0, 1), False)
    )
    assert pauses == ["pause"] * is_reader
    assert "log-read" in target
