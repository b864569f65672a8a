"""Tests of odd entries in the platform's list, and of names that calls to it cannot have."""

from __future__ import annotations

import json
from typing import Any, cast

import anyio
import orjson
import pytest

from turmericweir import platform_client
from turmericweir.platform_client import PlatformClient
from turmericweir.process.node import Node
from turmericweir.process.process_settings import parse_settings
from turmericweir.servers.backend_call import Answer
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.messages.events import Event, ListRead

ENTRIES: list[dict[str, Any]] = [
    {
        "name": name,
        "kind": kind,
        "service": "lm",
        "data_centre": "dc",
        "address": f"127.0.0.1:{port}",
        "peer_address": "127.0.0.1:9" if kind == "entry" else None,
        "state": "live",
    }
    for port, (name, kind) in enumerate([("lm-1", "engine"), ("a-1", "plain"), ("e-1", "entry")], 1)
]
ODD_ENTRIES: dict[str, object] = {
    "no object": 7,
    "null": None,
    "name missing": {"kind": "engine"},
    "name null": {**ENTRIES[0], "name": None},
    "name empty": {**ENTRIES[0], "name": ""},
    "unknown kind": {**ENTRIES[0], "kind": "cache"},
    "unknown state": {**ENTRIES[0], "state": "asleep"},
    "address missing": {key: value for key, value in ENTRIES[0].items() if key != "address"},
    "no address": {**ENTRIES[0], "address": "here"},
    "address with a line end": {**ENTRIES[0], "address": "127.0.0.1:1\n"},
    "digits of another script": {**ENTRIES[0], "address": "127.0.0.1:\uff18"},
    "scope": {**ENTRIES[0], "address": "fe80::1%a b:1"},
    "odd peer address": {**ENTRIES[2], "peer_address": "127.0.0.1:1 "},
}
PROCESS: dict[str, Any] = {
    "name": "entry-1",
    "data_centre": "dc",
    "region": "home",
    "caller_address": "127.0.0.1:1",
    "admin_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3",
    "platform": {"address": "127.0.0.1:4"},
}


class _Node:
    def __init__(self) -> None:
        self.traffic = type("Traffic", (), {"platform": None})()


def _read(monkeypatch: pytest.MonkeyPatch, entries: list[object]) -> ListRead:
    async def call(*_: object, **__: object) -> Answer:
        return Answer(200, {}, orjson.dumps({"instances": entries}))

    async def main() -> Event:
        client = PlatformClient(cast(BackendPool, None), "127.0.0.1:4", "entry-1")
        client.attach(cast(Node, _Node()))
        return await client._read_list()

    monkeypatch.setattr(platform_client, "call", call)
    return cast(ListRead, anyio.run(main))


@pytest.mark.parametrize("entry", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_leaves_the_others(monkeypatch: pytest.MonkeyPatch, entry: object) -> None:
    """Guards against one entry that makes the whole list unreadable."""
    read = _read(monkeypatch, [ENTRIES[0], entry, *ENTRIES[1:]])
    assert [each.name for each in read.servers] == ["lm-1", "a-1"]
    assert [each.name for each in read.instances] == ["e-1"]


def test_process_file_is_sound() -> None:
    assert parse_settings(json.dumps(PROCESS), "file").unwrap().name == "entry-1"


@pytest.mark.parametrize("name", ["a\n", "a ", "a\0", "a\r\nX-Key: 1"])
@pytest.mark.parametrize("field", ["name", "source"])
def test_name_that_platform_calls_cannot_have_ends_the_start(field: str, name: str) -> None:
    """Guards against an instance none of whose calls to the platform can be sent."""
    changes = (
        {"name": name} if field == "name" else {"platform": {**PROCESS["platform"], field: name}}
    )
    result = parse_settings(json.dumps({**PROCESS, **changes}), "file")
    assert field in str(result.failure())


@pytest.mark.parametrize(
    "address", ["127.0.0.1:\uff18", "127.0.0.1:8 ", "fe80::1%a\r\nX-Key: 1:80", "127.0.0.1:8_0"]
)
def test_address_that_no_request_can_have_ends_the_start(address: str) -> None:
    """Guards against an address that ends each request which it becomes a part of."""
    changes = {"platform": {"address": address}}
    result = parse_settings(json.dumps({**PROCESS, **changes}), "file")
    assert "address" in str(result.failure())


def test_name_beyond_ascii_is_sent() -> None:
    """Guards against a process that ends at its start for its name."""
    client = PlatformClient(cast(BackendPool, None), "127.0.0.1:4", "entry-ä")
    assert client._source_header == ((b"x-instance", "entry-ä".encode()),)
