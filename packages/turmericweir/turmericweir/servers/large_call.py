"""HTTP reads whose answers may be large for a slow link.

`backend_call` limits the time of a whole call. Here a call fails only if it makes no progress, so
that an answer that takes seconds on a slow link is not requested again and again.
"""

from __future__ import annotations

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

# Bound on the whole call, in case the server sends next to nothing forever.
_TOTAL_MAX_S: Final = 10.0


class ReadTooLargeError(CallError):
    """The answer is larger than allowed; `start` is how it begins."""

    start: bytes

    def __init__(self, step: str, peer: str, detail: str, *, start: bytes) -> None:
        super().__init__(step, peer, detail, was_sent=True)
        self.start = start


async def read_large(
    pool: BackendPool, address: str, target: str, *, stall_s: float, max_bytes: int
) -> Answer:
    """Make one GET call; raise CallError if nothing arrives for `stall_s` seconds."""
    request = make_request(b"GET", address, target.encode("ascii"), [], b"")

    async def read(conn: BackendConnection) -> Answer:
        response = await conn.send(request, FirstByteCallback())
        body = bytearray()
        async for chunk in body_of(response):
            progress.deadline = anyio.current_time() + stall_s
            body += chunk
            if len(body) > max_bytes:
                detail = f"the answer is larger than {max_bytes} bytes"
                raise ReadTooLargeError(target, address, detail, start=bytes(body))
        await response.aclose()
        return Answer(response.status, lower_headers(response), bytes(body))

    try:
        # An answer may arrive between the end of the time and the cancellation, which moves the
        # deadline on, so the end of the block itself shows that the time was up.
        with anyio.move_on_after(_TOTAL_MAX_S), anyio.move_on_after(stall_s) as progress:
            return await use_repeatably(pool, address, read, idle_max_s=IDLE_MAX_S)
    except TRANSPORT_ERRORS as exc:
        raise CallError(target, address, describe_error(exc), was_sent=True) from exc
    raise CallError(target, address, f"no progress within {stall_s} s", was_sent=True)
