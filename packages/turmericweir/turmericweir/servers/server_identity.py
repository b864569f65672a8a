"""Ask a server on a connection which start of it this is.

A server may start again under its name and address, with other software, and its entry is that of
an earlier start until it was written and read again. A connection leads to one process for as long
as it lasts. So what the server says of its start on a connection holds for all that is sent on this
connection later, however old its entry is.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio
import httpcore

from turmericweir.process.errors import describe_error
from turmericweir.servers.answer_size import AnswerTooLargeError
from turmericweir.servers.backend_call import (
    ANSWER_MAX_BYTES,
    TRANSPORT_ERRORS,
    FirstByteCallback,
    exchange,
)
from turmericweir.servers.backend_pool import BackendConnection, BackendPool, Via, make_request

# Time limit for the answer.
IDENTIFY_TIMEOUT_S: Final = 1.0
_STATUS_OK: Final = 200

# Returns the start that a report names; empty if it names none.
ReadIncarnation = Callable[[bytes], str]


async def acquire_identified(
    pool: BackendPool,
    address: str,
    *,
    idle_max_s: float,
    via: Via | None,
    report_path: bytes,
    read_incarnation: ReadIncarnation,
) -> BackendConnection:
    """Return a connection with the start of the server that it leads to.

    Raises httpcore's errors if there is none. A kept connection may have been closed meanwhile, and
    a server may close a connection after its answer, so a new one is tried once.
    """
    conn = await pool.acquire(address, idle_max_s=idle_max_s, via=via)
    try:
        await _identify(conn, address, report_path, read_incarnation)
        return conn
    except TRANSPORT_ERRORS:
        await conn.close()
    except BaseException:
        await conn.close()
        raise
    conn = await pool.acquire(address, idle_max_s=0.0, via=via)
    try:
        await _identify(conn, address, report_path, read_incarnation)
    except BaseException:
        await conn.close()
        raise
    return conn


async def _identify(
    conn: BackendConnection, address: str, report_path: bytes, read_incarnation: ReadIncarnation
) -> None:
    if conn.incarnation is not None:
        return
    request = make_request(b"GET", address, report_path, [], b"")
    try:
        with anyio.fail_after(IDENTIFY_TIMEOUT_S):
            answer = await exchange(conn, request, FirstByteCallback(), None, ANSWER_MAX_BYTES)
    except TimeoutError:
        raise httpcore.ReadTimeout(f"no report within {IDENTIFY_TIMEOUT_S} s") from None
    except AnswerTooLargeError as exc:
        raise httpcore.RemoteProtocolError(describe_error(exc)) from exc
    if not conn.is_idle:
        raise httpcore.RemoteProtocolError("the connection was closed after a report")
    conn.incarnation = read_incarnation(answer.body) if answer.status == _STATUS_OK else ""
