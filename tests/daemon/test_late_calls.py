"""Test time limits that follow each other end, and calls that go on beyond them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import httpcore
import pytest

from turmericweir.servers import late_calls
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.backend_stream import CONNECT_TIMEOUT_S
from turmericweir.servers.late_calls import ENDS_MAX, LATE_CALLS_MAX, LateCalls

LEAST_S, MOST_S, LATE_MOST_S = 0.05, 1.0, 5.0


class Calls:
    """Late calls to ends that answer when a test says so."""

    def __init__(self, late_most_s: float = LATE_MOST_S) -> None:
        self.adopted: list[tuple[str, int]] = []
        self.released = asyncio.Event()
        self.begun = self.ended = 0
        self.calls = LateCalls[int](
            "test", LEAST_S, MOST_S, late_most_s, lambda *each: self.adopted.append(each)
        )

    async def _call(self) -> int:
        self.begun += 1
        try:
            await self.released.wait()
        finally:
            self.ended += 1
        return self.begun

    async def expire(self, end: str) -> None:
        """Make a call that runs out of its limit."""
        with pytest.raises(TimeoutError):
            await self.calls.run(end, self._call)


async def _until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(20):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.005)


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    anyio.run(scenario)


def test_call_beyond_its_limit_goes_on_and_raises_the_next_limit() -> None:
    """Guards against the same limit for ever for an end that is always slower."""

    async def scenario() -> None:
        world = Calls()
        await world.expire("slow")
        assert world.calls.limit_s("slow") == LEAST_S
        world.released.set()
        await _until(lambda: bool(world.adopted))
        assert world.adopted == [("slow", 1)]
        assert world.calls.limit_s("slow") > LEAST_S
        assert world.calls.limit_s("another") == LEAST_S

    _run(scenario)


def test_silent_end_keeps_its_first_limit() -> None:
    """Guards against noticing the silence of an end later each time."""

    async def scenario() -> None:
        world = Calls(late_most_s=2 * LEAST_S)
        for _ in range(4):
            await world.expire("silent")
            assert world.calls.limit_s("silent") == LEAST_S
        await _until(lambda: world.ended == world.begun)
        assert not world.adopted

    _run(scenario)


def test_calls_that_go_on_are_bounded() -> None:
    """Guards against connections without bound to ends that are silent."""

    async def scenario() -> None:
        world = Calls()
        for _ in range(3):
            await world.expire("one")
        await _until(lambda: world.ended == 2)
        async with anyio.create_task_group() as group:
            for number in range(2 * LATE_CALLS_MAX):
                group.start_soon(world.expire, f"end-{number}")
        await _until(lambda: world.begun - world.ended == LATE_CALLS_MAX)
        await world.calls.stop()
        assert world.begun == world.ended

    _run(scenario)


def test_slow_end_is_known_beside_many_silent_ones() -> None:
    """Guards against the first limit for ever for a slow end while many others are lost."""

    async def scenario() -> None:
        world = Calls(late_most_s=3 * LEAST_S)
        silent = asyncio.Event()
        is_over = False

        async def stay_silent() -> int:
            await silent.wait()
            return 0

        async def retry(end: str) -> None:
            while not is_over:
                with suppress(TimeoutError):
                    await world.calls.run(end, stay_silent)

        async def answer_late() -> int:
            await asyncio.sleep(2 * LEAST_S)
            return 1

        async with anyio.create_task_group() as group:
            for number in range(2 * LATE_CALLS_MAX):
                group.start_soon(retry, f"silent-{number}")
            await anyio.sleep(4 * LEAST_S)
            for _ in range(20):
                with suppress(TimeoutError):
                    await world.calls.run("slow", answer_late)
            is_over = True
        await world.calls.stop()
        assert ("slow", 1) in world.adopted
        assert world.calls.limit_s("slow") > LEAST_S

    _run(scenario)


def test_call_whose_caller_leaves_goes_on() -> None:
    """Guards against learning nothing of a slow end while its callers give up early."""

    async def scenario() -> None:
        world = Calls()
        with anyio.move_on_after(LEAST_S / 5):
            await world.calls.run("slow", world._call)
        world.released.set()
        await _until(lambda: bool(world.adopted))

    _run(scenario)


def test_ends_whose_times_are_kept_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory for each server that ever was."""

    async def answer() -> int:
        return 0

    async def scenario() -> None:
        world = Calls()
        for number in range(10):
            await world.calls.run(f"end-{number}", answer)
        assert len(world.calls._times) == 4

    assert ENDS_MAX > 4
    monkeypatch.setattr(late_calls, "ENDS_MAX", 4)
    _run(scenario)


def test_connection_that_opens_by_a_repeated_packet_is_used() -> None:
    """Guards against never reaching a server whose queue was full when the first packet came."""

    async def scenario() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            host, port = listener.getsockname()
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                with suppress(BlockingIOError):
                    filler.connect((host, port))
            address = f"{host}:{port}"
            async with BackendPool() as pool:
                with pytest.raises(httpcore.ConnectTimeout):
                    await pool.acquire(address)
                listener.setblocking(False)
                accepted = []

                def has_opened() -> bool:
                    with suppress(BlockingIOError):
                        accepted.append(listener.accept()[0])
                    return bool(pool.idle_counts())

                await _until(has_opened)
                assert (await pool.acquire(address)).is_reused
                assert pool.connects.limit_s(address) > CONNECT_TIMEOUT_S
            for each in (*fillers, *accepted):
                each.close()

    _run(scenario)
