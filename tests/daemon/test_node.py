"""Tests of the loop around the reducer."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import anyio

from turmericweir.process.node import Adapters, Node
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.effects import Count, Effect, Exit, SendDatagram
from turmericweir_core.messages.events import Event, Tick
from turmericweir_core.messages.settings_messages import DocumentAsk


class _Metrics:
    def __init__(self) -> None:
        self.counted: list[str] = []

    def count(self, name: str, by: int = 1) -> None:
        self.counted.append(name)


class _FailingDatagrams:
    def send(self, effect: SendDatagram) -> None:
        raise OverflowError("the number does not fit into 64 bits")


class _State:
    has_settings = False


async def test_failed_effect_leaves_the_others_of_its_event() -> None:
    """Guards against decisions that are lost because an earlier message cannot be encoded."""
    metrics = _Metrics()
    effects: list[Effect] = [
        SendDatagram(InstanceName("entry-2"), "127.0.0.1:1", DocumentAsk(0, 1)),
        Count("later"),
        Exit(),
    ]

    def reduce(_state: Any, _now: float, _event: Event) -> list[Effect]:
        return effects

    adapters = Adapters(cast(Any, None), _FailingDatagrams(), cast(Any, None), cast(Any, metrics))
    async with anyio.create_task_group() as group:
        node = Node(cast(Any, _State()), reduce, adapters, group, unread_s=1.0)
        node.handle(Tick())
    assert metrics.counted == ["fault.perform", "later"]
    assert node.exit_requested.is_set()


async def test_cancelled_future_in_the_background_leaves_the_others() -> None:
    """Guards against a future that someone else cancels and that ends the whole process."""
    adapters = Adapters(cast(Any, None), cast(Any, None), cast(Any, None), cast(Any, _Metrics()))
    is_over = anyio.Event()
    fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    fut.cancel()

    async def await_cancelled() -> None:
        await fut

    async def end_later() -> None:
        await anyio.lowlevel.checkpoint()
        await anyio.lowlevel.checkpoint()
        is_over.set()

    async with anyio.create_task_group() as group:
        node = Node(cast(Any, _State()), cast(Any, None), adapters, group, unread_s=1.0)
        node.run_in_background(await_cancelled)
        node.run_in_background(end_later)
    assert is_over.is_set()
