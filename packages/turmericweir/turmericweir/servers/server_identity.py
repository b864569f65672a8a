"""Ask a server on a connection which start of it this is.

A server may start again under its name and address, with other software, and its entry is that of
an earlier start until it was written and read again. A connection leads to one process for as long
as it lasts. So what the server says of its start on a connection holds for all that is sent on this
connection later, however old its entry is.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from anyio.lowlevel import checkpoint

from turmericweir.process.errors import describe_error
from turmericweir.servers.answer_size import AnswerTooLargeError
from turmericweir.servers.backend_call import (
    ANSWER_MAX_BYTES,
    TRANSPORT_ERRORS,
    FirstByteCallback,
    exchange,
)
from turmericweir.servers.backend_pool import (
    REPORT_TIMEOUT_S,
    BackendConnection,
    BackendPool,
    Via,
    make_request,
)

_STATUS_OK: Final = 200
# The longest wait for a report that is not required.
_UNREQUIRED_MAX_S: Final = 1.0

# Returns the start that a report names; empty if it names none.
ReadIncarnation = Callable[[bytes], str]


class UnidentifiedError(Exception):
    """A server that is reached does not say which start it is."""


async def acquire_identified(
    pool: BackendPool,
    address: str,
    *,
    idle_max_s: float,
    via: Via | None,
    report_path: bytes,
    read_incarnation: ReadIncarnation,
    is_required: bool,
) -> BackendConnection:
    """Return a connection with the start of the server that it leads to.


    Raises httpcore's errors if none can be opened. A kept connection may have been closed
    meanwhile, and a server may close a connection after its answer, so a new one is tried once.
    """
    for reused_max_s in (idle_max_s, 0.0):
        conn = await pool.acquire(address, idle_max_s=reused_max_s, via=via)
        if conn.incarnation is not None:
            return conn
        limit_s = _limit_s(pool, address, is_required=is_required)
        ask = partial(_ask, conn, address, report_path, read_incarnation)
        try:
            identified = await pool.reports.run(address, ask, limit_s=limit_s)
        except TimeoutError as exc:
            raise UnidentifiedError(f"no report: {exc}") from None
        if identified is not None:
            return identified
    raise UnidentifiedError("no connection outlives a report")


def _limit_s(pool: BackendPool, address: str, *, is_required: bool) -> float:
    """Return the time limit for a report; a stream that may begin without one waits less."""
    limit_s = pool.reports.limit_s(address)
    if is_required:
        return limit_s
    if pool.reports.smoothed_s(address) > _UNREQUIRED_MAX_S:
        return REPORT_TIMEOUT_S
    return min(limit_s, _UNREQUIRED_MAX_S)


async def _ask(
    conn: BackendConnection, address: str, report_path: bytes, read_incarnation: ReadIncarnation
) -> BackendConnection | None:
    """Return the connection with the start of its server; close it and return None if it ends."""
    request = make_request(b"GET", address, report_path, [], b"")
    has_carried_request, is_usable = conn.has_carried_request, False
    try:
        answer = await exchange(conn, request, FirstByteCallback(), None, ANSWER_MAX_BYTES)
        # An end that follows the answer is seen by then.
        await checkpoint()
        is_usable = conn.is_idle and not conn.is_closed_by_server
    except AnswerTooLargeError as exc:
        raise UnidentifiedError(describe_error(exc)) from exc
    except TRANSPORT_ERRORS:
        return None
    finally:
        if not is_usable:
            await conn.close()
    if is_usable and answer.status == _STATUS_OK:
        conn.incarnation = read_incarnation(answer.body)
        # No answer to a report can be taken for a refusal.
        conn.has_carried_request = has_carried_request
    return conn if is_usable else None
