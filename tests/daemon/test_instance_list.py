"""Tests of odd entries in the platform's list."""

from __future__ import annotations

from typing import Any, cast

import anyio
import orjson
import pytest

from turmericweir import platform_client
from turmericweir.platform_client import PlatformClient
from turmericweir.process.node import Node
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
