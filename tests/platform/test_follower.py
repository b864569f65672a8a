"""When an instance reads the store."""

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
from turmericweir_platform.store import Follower, StoreClient

NOTHING = struct.pack(">QQ", 0, 0)


class _Node:
    """Has events reduced."""

    def __init__(self, world: StoreWorld) -> None:
        self.state = world.state
        self._world = world

    def handle(self, event: Event) -> None:
        self._world.now = anyio.current_time()
        self._world.give(event)


class _Cfg:
    class store:  # noqa: N801
        address = "127.0.0.1:1"

    class bounds:  # noqa: N801
        drain_ms = 2000


def follow(world: StoreWorld, part: Callable[[Follower], Any]) -> list[str]:
    """Run a part of a follower; list what it did, in order: pauses, and calls with their target."""
    done: list[str] = []

    async def call(_self: StoreClient, target: str, _timeout_s: float) -> Answer:
        done.append(target)
        return Answer(200, {}, NOTHING)

    async def sleep(_seconds: float) -> None:
        done.append("pause")

    async def main() -> None:
        follower = Follower(cast(BackendPool, None), cast(Any, _Cfg))
        follower.attach(cast(Node, _Node(world)))
        await part(follower)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(StoreClient, "_call", call)
        patch.setattr("turmericweir_platform.store.anyio.sleep", sleep)
        anyio.run(main)
    return done


def settled(world: StoreWorld, *, reads: bool) -> StoreWorld:
    """Let an instance be one that reads for others, or one that was not told in time."""
    world.state.members.started_at = float("-inf") if reads else None
    return world


def test_one_that_was_not_told_of_the_servers_reads_at_once() -> None:
    # The instance that reads for all dies just before a server leaves. The others have waited for
    # its word; a pause on top would give the leaving server requests for longer than is allowed.
    world = settled(StoreWorld(), reads=False)
    (target,) = follow(world, lambda each: each._read_next_entries(1, False))
    assert "log-read" in target


def test_a_reader_pauses_between_reads_of_the_servers() -> None:
    world = settled(StoreWorld(), reads=True)
    pause, target = follow(world, lambda each: each._read_next_entries(1, False))
    assert pause == "pause"
    assert "log-read" in target


@pytest.mark.parametrize("reads", [False, True])
def test_only_a_reader_pauses_before_it_reads_the_settings(reads: bool) -> None:
    """What an instance that was not told holds is old: waiting would make its keys stop."""
    world = settled(StoreWorld(), reads=reads)
    *pauses, target = follow(world, lambda each: each._read_next_document(1, False))
    assert pauses == ["pause"] * reads
    assert "log-read" in target
