"""Test reads with large answers, without a network."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import cast

import anyio
import pytest

from turmericweir.process.errors import CallError
from turmericweir.servers import large_call
from turmericweir.servers.backend_pool import BackendPool

pytestmark = pytest.mark.anyio

STALL_S = 0.02


class FakeResponse:
    """An answer whose body a test provides."""

    status = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()

    async def aclose(self) -> None:
        """Do nothing."""


class FakeConnection:
    """A connection that answers at once."""

    async def send(self, request: object, first_byte: object) -> FakeResponse:
        """Return the head of the answer."""
        return FakeResponse()


class FakePool:
    """Hands out one connection."""

    async def acquire(self, address: str, *, idle_max_s: float, via: None) -> FakeConnection:
        """Return the connection."""
        return FakeConnection()

    async def release(self, address: str, conn: object) -> None:
        """Do nothing."""


async def body_with_late_chunk(response: object) -> AsyncIterator[bytes]:
    """Yield a chunk when the time is up and the read is not cancelled yet."""
    with anyio.CancelScope(shield=True):
        await anyio.sleep(2 * STALL_S)
    yield b"late"
    await anyio.sleep_forever()


async def test_chunk_that_arrives_as_the_time_ends_is_no_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a read without an answer and without an error, which ended the process."""
    monkeypatch.setattr(large_call, "body_of", body_with_late_chunk)
    pool = cast(BackendPool, FakePool())
    with pytest.raises(CallError):
        await large_call.read_large(pool, "127.0.0.1:1", "/x", stall_s=STALL_S, max_bytes=100)
