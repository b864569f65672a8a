"""Entries of other writers in the store, under odd names."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Final

import pytest

from tests.platform.platform_world import PlatformWorld, until
from tests.platform.standin_store import SERVERS

ODD_NAMES: Final = {
    "ampersand": "a&b",
    "parameter": "a&topic=keyed.op",
    "plus": "a+b",
    "hash": "a#b",
    "percent": "a%41",
    "percent-encoded": "%7A",
    "blank": "a b",
    "blank at the end": "a ",
    "line end and header": "a\r\nX-Key: 1",
    "nul": "a\0",
    "umlaut": "aäb",
    "direction override": "a\u202eb",
    "long": "&" * 255,
}
FOREIGN_VALUE: Final = b'{"owner": "backup"}'
REQUESTS: Final = 8


@pytest.fixture
def world(tmp_path: Path) -> Iterator[PlatformWorld]:
    """Yield two instances at a store with pages of one entry."""
    with PlatformWorld(tmp_path, instances=2) as world:
        world.store.page_entries = 1
        world.store.is_strict = True
        yield world


def _restart_all(world: PlatformWorld) -> None:
    """Kill all instances and start them again."""
    for instance in world.running.values():
        instance.process.kill()
    for name in world.running:
        world.restart_instance(name)
    for name, instance in world.running.items():
        until(instance.is_ready, f"{name} is ready")
        until(partial(world.has_listed_servers, instance), f"{name} has the servers")


def _assert_all_served(world: PlatformWorld) -> None:
    statuses = [
        send(instance=name).status
        for name in world.running
        for send in (world.send, world.send_safe, world.send_unsafe)
        for _ in range(REQUESTS)
    ]
    assert statuses == [200] * len(statuses)
    assert not any(each.logged("fault") for each in world.running.values())


# --- odd names -------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ODD_NAMES.values(), ids=ODD_NAMES)
def test_entry_under_an_odd_name_leaves_the_other_servers(world: PlatformWorld, name: str) -> None:
    """Guards against a list of servers that is never read to its end after a restart of all."""
    world.store.write(SERVERS, name, FOREIGN_VALUE)
    _restart_all(world)
    _assert_all_served(world)
