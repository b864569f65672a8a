"""Plain servers in the process of a script, which register themselves in the store."""

from __future__ import annotations

import asyncio
from typing import Any

from standins import HEARTBEAT_S, Call, Record, World, entry, free_ports, serve, signature


class PlainServer:
    """A sound server of the service `shop`."""

    def __init__(self, world: World, name: str, zone: str, work_s: float = 0.02) -> None:
        self.world = world
        self.record: Record = world.record
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.address = ""
        self.ran: list[str] = []

    async def start(self) -> None:
        """Listen, and check in at the store from now on."""
        (port,) = free_ports(["127.0.0.1"], 1)
        self.address = f"127.0.0.1:{port}"
        await serve("127.0.0.1", port, self._handle)
        self.world.spawn(self._check_in())

    async def _check_in(self) -> None:
        seq = 0
        while True:
            seq += 1
            value: dict[str, Any] = entry("shop", self.address, self.zone, 6, seq)
            self.world.store.write("keyed.servers", self.name, value)
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, call: Call) -> bool:
        attempt_id = call.headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt_id}
        if call.path == "/healthz":
            await call.answer(200, b"", {"X-Instance-Id": self.name})
            return True
        if call.headers.get("x-expect-instance", self.name) != self.name:
            await call.answer(421, b"", echo)
            return True
        self.ran.append(attempt_id)
        self.record.write("run", server=self.name, id=attempt_id, target=call.target)
        await asyncio.sleep(self.work_s)
        body = b"y" * 800
        await call.answer(200, body, {**echo, "X-Server-Signature": signature(body)})
        return True
