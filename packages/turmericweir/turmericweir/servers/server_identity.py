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
from anyio.lowlevel import checkpoint

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
IDENTIFY_TIMEOUT_S: Final = 0.5
_STATUS_OK: Final = 200

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
) -> BackendConnection:
    """Return a connection with the start of the server that it leads to.

    Raises httpcore's errors if none can be opened. A kept connection may have been closed
    meanwhile, and a server may close a connection after its answer, so a new one is tried once.
    """
    limit_at = anyio.current_time() + IDENTIFY_TIMEOUT_S
    conn = await pool.acquire(address, idle_max_s=idle_max_s, via=via)
    if await _identify(conn, address, report_path, read_incarnation, limit_at):
        return conn
    conn = await pool.acquire(address, idle_max_s=0.0, via=via)
    if await _identify(conn, address, report_path, read_incarnation, limit_at):
        return conn
    raise UnidentifiedError("no connection outlives a report")


async def _identify(
    conn: BackendConnection,
    address: str,
    report_path: bytes,
    read_incarnation: ReadIncarnation,
    limit_at: float,
) -> bool:
    """Ask on a connection, if it was not asked; close it and return False if it has ended."""
    if conn.incarnation is not None:
        return True
    request = make_request(b"GET", address, report_path, [], b"")
    has_carried_request, is_usable = conn.has_carried_request, False
    try:
        with anyio.fail_after(limit_at - anyio.current_time()):
            answer = await exchange(conn, request, FirstByteCallback(), None, ANSWER_MAX_BYTES)
        # An end that follows the answer is seen by then.
        await checkpoint()
        is_usable = conn.is_idle and not conn.is_closed_by_server
    except TimeoutError:
        raise UnidentifiedError(f"no report within {IDENTIFY_TIMEOUT_S} s") from None
    except AnswerTooLargeError as exc:
        raise UnidentifiedError(describe_error(exc)) from exc
    except TRANSPORT_ERRORS:
        return False
    finally:
        if not is_usable:
            await conn.close()
    if is_usable and answer.status == _STATUS_OK:
        conn.incarnation = read_incarnation(answer.body)
        # No answer to a report can be taken for a refusal.
        conn.has_carried_request = has_carried_request
    return is_usable
