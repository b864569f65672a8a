"""Entries of other writers in the store: under odd names, odd themselves, or without an end."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any, Final

import pytest

from tests.platform.platform_world import Instance, PlatformWorld, until
from tests.platform.standin_store import MISSING, OPERATOR, OWN, SERVERS
from tests.platform.test_duties import DUTIES
from turmericweir_platform.platform_names import LEASES_TOPIC

# Surrogate escapes stand for bytes that are not UTF-8.
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
    "replacement character": "a\ufffdb",
    "empty": "",
    "not utf-8": "a\udcffb",
    "continuation byte": "a\udc80",
    "long": "&" * 255,
}
FOREIGN_VALUE: Final = b'{"owner": "backup"}'
ODD_FIELDS: Final[dict[str, dict[str, object]]] = {
    "value null": {"value": None},
    "value missing": {"value": MISSING},
    "value not base64": {"value": "*"},
    "offset missing": {"offset": MISSING},
    "offset text": {"offset": "1"},
    "offset beyond 64 bits": {"offset": 2**70},
    "offset negative": {"offset": -1},
    "key null": {"key": None},
    "key number": {"key": 7},
    "key missing": {"key": MISSING},
    "key with half a surrogate": {"key": "a\ud800"},
}
TOPICS: Final = {"servers": SERVERS, "settings": OPERATOR, "own records": OWN}
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
    _restart(world, list(world.running))


def _restart(world: PlatformWorld, names: list[str]) -> None:
    for name in names:
        world.running[name].process.kill()
    for name in names:
        world.restart_instance(name)
    for name in names:
        instance = world.running[name]
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


def _has_logged(instance: Instance, event: str) -> bool:
    return bool(instance.logged(event))


def _page_reads(world: PlatformWorld, seconds: float) -> int:
    """Return how many pages are read in some time."""
    before = world.store.pages.total()
    time.sleep(seconds)
    return world.store.pages.total() - before


# --- odd names -------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ODD_NAMES.values(), ids=ODD_NAMES)
def test_entry_under_an_odd_name_leaves_the_other_servers(world: PlatformWorld, name: str) -> None:
    """Guards against a list of servers that is never read to its end after a restart of all."""
    world.store.write(SERVERS, name, FOREIGN_VALUE)
    _restart_all(world)
    _assert_all_served(world)


@pytest.mark.parametrize("topic", TOPICS.values(), ids=TOPICS)
@pytest.mark.parametrize("page_entries", [1, 2, 500])
def test_entries_under_odd_names_leave_the_others_of_their_topic(
    world: PlatformWorld, topic: str, page_entries: int
) -> None:
    """Guards against settings or own records that cannot be read beside a foreign entry."""
    world.store.page_entries = page_entries
    for name in ODD_NAMES.values():
        world.store.write(topic, name, FOREIGN_VALUE)
    _restart_all(world)
    _assert_all_served(world)


def test_settings_are_found_beyond_keys_that_cannot_be_named(world: PlatformWorld) -> None:
    """Guards against settings that are lost where only a page beyond odd keys holds them."""
    for name in ("a\udcff", "a\udcfe", ""):
        world.store.write(OPERATOR, name, FOREIGN_VALUE)
    world.store.delete_history(OPERATOR)
    _restart_all(world)
    _assert_all_served(world)


@pytest.mark.parametrize("is_without_progress", [False, True])
def test_servers_that_join_and_leave_beside_odd_entries_are_noticed_after_an_outage(
    world: PlatformWorld, is_without_progress: bool
) -> None:
    """Guards against a list that stays as it was before an outage of the store."""
    for topic in TOPICS.values():
        for name in ("%7A", "a&b", "a\udcffb", "odd"):
            world.store.write(topic, name, FOREIGN_VALUE)
        if is_without_progress:
            world.store.odd_pages[topic] = {"entries": [], "has-more": True, "end": 1}
    world.store.odd_fields["odd"] = {"value": None}
    world.store.mode = "reset"
    for instance in world.running.values():
        until(partial(_has_logged, instance, "store_lost"), "the store is lost")
    world.add_server("shop-3", "shop")
    world.store.write(SERVERS, "shop-1", None)
    world.store.mode = ""
    until(
        lambda: world.send_safe().status == 200 and bool(world.servers["shop-3"].received),
        "the new server is used",
    )
    until(
        lambda: any(
            line["peer"] == "shop-1"
            for each in world.running.values()
            for line in each.logged("server_removed")
        ),
        "the server that left is removed",
    )
    _assert_all_served(world)


def test_leases_are_granted_beside_odd_names(tmp_path: Path) -> None:
    """Guards against duties that nobody does while a foreign entry stands among the leases."""
    with PlatformWorld(tmp_path, duties=dict(DUTIES)) as world:
        world.store.page_entries = 1
        world.store.is_strict = True
        until(lambda: LEASES_TOPIC in world.store.topics, "leases are written")
        for name in ODD_NAMES.values():
            world.store.write(LEASES_TOPIC, name, FOREIGN_VALUE)
        _restart_all(world)
        before = len(world.duty_standin.accepted)
        until(lambda: len(world.duty_standin.accepted) > before, "usage is reported again")


# --- many names, large pages, other orders ---------------------------------------------------


ALL_CHARACTERS: Final = "a&b+c#d%41 e%f=g?h/i\r\nX-Key: 1\0ä\u202e\ufffd\U0001f600"
# Orders of keys that a store may have, by which each server is the last of a page at times.
KEY_ORDERS: Final[dict[str, Callable[[str], Any]]] = {
    "bytes from the last one down": lambda key: [-byte for byte in _bytes_of(key)] + [1],
    "length, then bytes": lambda key: (len(_bytes_of(key)), _bytes_of(key)),
    "without regard to case": lambda key: (key.casefold(), _bytes_of(key)),
    "utf-16": lambda key: key.encode("utf-16-be", "surrogatepass"),
    "hash": lambda key: hashlib.sha256(_bytes_of(key)).digest(),
}


def _bytes_of(key: str) -> bytes:
    return key.encode(errors="surrogateescape")


def _write_servers(world: PlatformWorld, count: int) -> None:
    """Write the entries of servers of a service that no route leads to."""
    for number in range(count):
        entry = {"service": "other", "address": f"10.0.0.1:{1 + number}", "zone": "dc-1"}
        world.store.write(SERVERS, f"{number % 36:x}-{number}", {**entry, "state": "ready"})


@pytest.mark.parametrize("page_entries", [1, 2, 3])
def test_entry_under_a_name_of_all_characters_leaves_the_other_servers(
    world: PlatformWorld, page_entries: int
) -> None:
    """Guards against a list that one character of a name lets through and another ends."""
    world.store.page_entries = page_entries
    for begin in ("", "lm-1", "zz", "\0"):
        for topic in TOPICS.values():
            world.store.write(topic, begin + ALL_CHARACTERS, FOREIGN_VALUE)
    _restart_all(world)
    _assert_all_served(world)


@pytest.mark.parametrize("page_entries", [1, 2, 500])
def test_odd_names_at_the_end_of_each_page_leave_the_servers(
    world: PlatformWorld, page_entries: int
) -> None:
    """Guards against pages of which each one ends at a name that is read as something else."""
    world.store.page_entries = page_entries
    for server in world.servers:
        for name in ODD_NAMES.values():
            world.store.write(SERVERS, f"{server}{name}"[:200], FOREIGN_VALUE)
            world.store.write(SERVERS, f"{name}{server}"[-200:], FOREIGN_VALUE)
    for server in world.servers:
        world.register(server)
    _restart_all(world)
    _assert_all_served(world)


@pytest.mark.parametrize("name", ["a&b", "a+b", "a#b", "%7A", "a b", "ä", "a\udcff", ""])
def test_odd_name_among_more_servers_than_a_page_holds(world: PlatformWorld, name: str) -> None:
    """Guards against a list that ends at an odd name after the 500 entries of a page."""
    world.store.page_entries = 500
    _write_servers(world, 620)
    keys = sorted(world.store.topics[SERVERS].newest())
    for before in (keys[498], keys[499], keys[500]):
        world.store.write(SERVERS, f"{before}{name}", FOREIGN_VALUE)
    world.store.write(SERVERS, name, FOREIGN_VALUE)
    _restart_all(world)
    _assert_all_served(world)


def test_odd_names_in_pages_of_a_megabyte(world: PlatformWorld) -> None:
    """Guards against pages that end by their size at a name that cannot be named as it stands."""
    world.store.page_entries = 500
    for name in (*ODD_NAMES.values(), ALL_CHARACTERS):
        for number in range(3):
            world.store.write(SERVERS, f"{number}{name}"[:200], b"x" * 250_000)
    _restart_all(world)
    _assert_all_served(world)


@pytest.mark.parametrize("order", KEY_ORDERS.values(), ids=KEY_ORDERS)
@pytest.mark.parametrize("page_entries", [1, 3])
def test_odd_names_at_a_store_with_another_order_of_keys(
    world: PlatformWorld, order: Callable[[str], Any], page_entries: int
) -> None:
    """Guards against servers that are passed over where keys do not come in the order of bytes."""
    world.store.key_order = order
    world.store.page_entries = page_entries
    for topic in TOPICS.values():
        for name in ODD_NAMES.values():
            world.store.write(topic, name, FOREIGN_VALUE)
    _restart_all(world)
    _assert_all_served(world)


def test_data_centre_that_is_restarted_alone_serves_beside_odd_names(tmp_path: Path) -> None:
    """Guards against instances that get no list, though those of another data centre have one."""
    with PlatformWorld(tmp_path, instances=4, data_centres=2) as world:
        world.store.page_entries = 1
        world.store.is_strict = True
        for topic in TOPICS.values():
            for name in ODD_NAMES.values():
                world.store.write(topic, name, FOREIGN_VALUE)
        _restart(world, [name for name in world.running if _data_centre(world, name) == "dc-1"])
        _assert_all_served(world)


def _data_centre(world: PlatformWorld, name: str) -> str:
    return str(world.settings_of(name)["data_centre"])


# --- odd entries and pages -------------------------------------------------------------------


@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_odd_entry_of_a_page_leaves_the_others(
    world: PlatformWorld, fields: dict[str, object]
) -> None:
    """Guards against one entry that cannot be read and fails the list as a whole."""
    for topic in TOPICS.values():
        world.store.write(topic, "foreign", FOREIGN_VALUE)
    world.store.odd_fields["foreign"] = fields
    _restart_all(world)
    _assert_all_served(world)


@pytest.mark.parametrize("topic", TOPICS.values(), ids=TOPICS)
@pytest.mark.parametrize("has_entries", [True, False])
def test_pages_without_progress_are_read_at_a_bounded_rate(
    world: PlatformWorld, topic: str, has_entries: bool
) -> None:
    """Guards against reads without a pause where a store gives the same page again and again."""
    entries = [{"key": "a", "value": "e30=", "offset": 0}] if has_entries else []
    world.store.odd_pages[topic] = {"entries": entries, "has-more": True, "end": 1}
    _restart_all(world)
    _assert_all_served(world)
    assert _page_reads(world, 2.0) < 20
    assert any(each.logged("snapshot_incomplete") for each in world.running.values())


def test_large_foreign_entries_leave_the_servers(world: PlatformWorld) -> None:
    """Guards against entries that name no server and use up the room of the whole list."""
    world.store.page_entries = 2
    for number in range(40):
        world.store.write(SERVERS, f"blob-{number}", b"x" * 900_000)
    _restart_all(world)
    _assert_all_served(world)


def test_entries_that_are_passed_over_are_logged(world: PlatformWorld) -> None:
    """Guards against a foreign entry of which nothing is written."""
    world.store.write(SERVERS, "foreign", FOREIGN_VALUE)
    world.store.odd_fields["foreign"] = {"value": None}
    _restart_all(world)
    until(
        lambda: any(each.logged("entries_skipped") for each in world.running.values()),
        "the entry is logged",
    )
