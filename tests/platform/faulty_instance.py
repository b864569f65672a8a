"""Starts the daemon with a fault of its own, which a test names.

The fault happens when the file named by `TRIGGER_VARIABLE` appears; its text is the kind of fault.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import anyio

from turmericweir import entry_daemon
from turmericweir.callers.http_server import HttpServer
from turmericweir.process.node import Node
from turmericweir_platform.__main__ import main

TRIGGER_VARIABLE: Final = "TEST_FAULT"
_POLL_S: Final = 0.02
_nodes: list[Node] = []
_servers: list[HttpServer] = []
# Servers whose next step fails.
_failing_servers: list[HttpServer] = []


async def _await_cancelled_future() -> None:
    fut = asyncio.get_running_loop().create_future()
    fut.cancel()
    await fut


async def _cancel_in_group() -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(_await_cancelled_future)
        await anyio.sleep_forever()


def _fail() -> None:
    raise ValueError("a fault of the test")


def _crash() -> None:
    ctypes.string_at(0)


async def _fail_here() -> None:
    _fail()


async def _cancel_in_background() -> None:
    _nodes[0].run_in_background(_await_cancelled_future)


async def _fail_in_callback() -> None:
    asyncio.get_running_loop().call_soon(_fail)


async def _crash_here() -> None:
    _crash()


async def _end_serving() -> None:
    for server in _servers:
        server.should_exit = True


async def _fail_in_servers() -> None:
    _failing_servers.extend(_servers)


async def _exit_task() -> None:
    raise SystemExit(0)


FAULTS: Final[dict[str, Callable[[], Awaitable[None]]]] = {
    "cancelled future": _await_cancelled_future,
    "cancelled future in background": _cancel_in_background,
    "cancelled future in a group": _cancel_in_group,
    "exception": _fail_here,
    "exception in callback": _fail_in_callback,
    "crash": _crash_here,
    "end of serving": _end_serving,
    "exception in servers": _fail_in_servers,
    "system exit": _exit_task,
}


# After these the task that runs them returns, as tasks do whose body is only such a step.
_RETURNING_FAULTS: Final = frozenset({"cancelled future in a group"})


def take_trigger(trigger: Path) -> str:
    """Return the text of a trigger and remove it; empty if there is none."""
    if not trigger.exists():
        return ""
    kind = trigger.read_text()
    trigger.unlink()
    return kind


async def _reload_with_fault(node: Node, file: Any) -> None:
    _nodes.append(node)
    trigger = Path(os.environ[TRIGGER_VARIABLE])
    while True:
        await anyio.sleep(_POLL_S)
        kind = take_trigger(trigger)
        if kind:
            await FAULTS[kind]()
        if kind in _RETURNING_FAULTS:
            return


class _NotedServer(HttpServer):
    """A server that the faults can reach."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        _servers.append(self)

    async def on_tick(self, counter: int) -> bool:
        """Fail once where a test wants it."""
        if self in _failing_servers:
            _failing_servers.remove(self)
            _fail()
        return await super().on_tick(counter)


if __name__ == "__main__":
    entry_daemon._reload_forever = _reload_with_fault
    vars(entry_daemon)["HttpServer"] = _NotedServer
    sys.exit(main())
