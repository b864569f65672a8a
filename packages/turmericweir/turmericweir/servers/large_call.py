"""HTTP reads whose answers may be large for a slow link.

`backend_call` limits the time of a whole call. Here a call fails only if it makes no progress, so
that an answer that takes seconds on a slow link is not requested again and again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio

from turmericweir.process.errors import CallError, describe_error
from turmericweir.servers.backend_call import (
    TRANSPORT_ERRORS,
    Answer,
    FirstByteCallback,
    body_of,
    lower_headers,
    use_repeatably,
)
from turmericweir.servers.backend_pool import (
    IDLE_MAX_S,
    BackendConnection,
    BackendPool,
    make_request,
)

# How long a body may take beside its time at the least rate, in case the server sends next to
# nothing forever.
_BODY_EXTRA_S: Final = 10.0
_RATE_MIN_BYTES_S: Final = 16_384


class ReadTooLargeError(CallError):
    """The answer is larger than allowed; `start` is how it begins."""

    start: bytes

    def __init__(self, step: str, peer: str, detail: str, *, start: bytes) -> None:
        super().__init__(step, peer, detail, was_sent=True)
        self.start = start


async def read_large(
    pool: BackendPool,
    address: str,
    target: str,
    *,
    stall_s: float,
    max_bytes: int,
    idle_max_s: float = IDLE_MAX_S,
    on_progress: Callable[[], None] = lambda: None,
) -> Answer:
    """Make one GET call; raise CallError if nothing arrives for `stall_s` seconds.

    `on_progress` is called for each part of the body.
    """
    request = make_request(b"GET", address, target.encode("ascii"), [], b"")

    async def read(conn: BackendConnection) -> Answer:
        response = await conn.send(request, FirstByteCallback())
        body = bytearray()
        slow_at = total.deadline = anyio.current_time() + _BODY_EXTRA_S
        async for chunk in body_of(response):
            progress.deadline = anyio.current_time() + stall_s
            on_progress()
            body += chunk
            total.deadline = slow_at + len(body) / _RATE_MIN_BYTES_S
            if len(body) > max_bytes:
                detail = f"the answer is larger than {max_bytes} bytes"
                raise ReadTooLargeError(target, address, detail, start=bytes(body))
        await response.aclose()
        return Answer(response.status, lower_headers(response), bytes(body))

    try:
        # An answer may arrive between the end of the time and the cancellation, which moves the
        # deadline on, so the end of the block itself shows that the time was up.
        with anyio.CancelScope() as total, anyio.move_on_after(stall_s) as progress:
            return await use_repeatably(pool, address, read, idle_max_s=idle_max_s)
    except TRANSPORT_ERRORS as exc:
        raise CallError(target, address, describe_error(exc), was_sent=True) from exc
    raise CallError(target, address, f"no progress within {stall_s} s", was_sent=True)
