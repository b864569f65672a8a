"""Show that a server has outlived the end of an answer that does not tell its own end.

An answer without a length and without chunks ends with its connection, and so does the connection
of a process that exits. A witness is a connection to the same process that was opened before the
end. An answer on it to a call that was sent after the end shows that the process lives, so it has
closed the other connection on purpose. An error, a time-out or an unknown server shows nothing.

The end may be read long after it was sent, for example if the caller reads slowly or this process
was stopped meanwhile. So a witness is not replaced when it ends, and one that was opened after the
request was sent counts only if the end had not arrived by then.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from types import TracebackType
from typing import TYPE_CHECKING, Final, Self

import anyio
import httpcore

from turmericweir.process.errors import UnsendableError
from turmericweir.servers.backend_call import (
    ANSWER_MAX_BYTES,
    TRANSPORT_ERRORS,
    Answer,
    FirstByteCallback,
    exchange,
)
from turmericweir.servers.backend_pool import (
    IDLE_MAX_S,
    BackendConnection,
    BackendPool,
    make_request,
)
from turmericweir.servers.new_connection import check_connection, via_of
from turmericweir_core.messages.effects import StartAttempt

if TYPE_CHECKING:
    from turmericweir.process.node import Node

# Within this time a process that exits closes all of its connections and its port.
EXIT_S: Final = 0.25
# Limit of the looks for a newer read of the servers' entries, and the time between two.
_ENTRIES_POLLS: Final = 30
_ENTRIES_POLL_S: Final = 0.05


class EndEvidence(StrEnum):
    """What shows whether a server has outlived the end of its answer."""

    # The witness got an answer.
    ANSWERED = "answered"
    # No witness did; an answer on a new connection names the same start of the server.
    SAME_START = "same_start"
    # No witness did; an answer on a new connection names the server, and the entries that were read
    # after it name the same start.
    LISTED = "listed"
    # The witness has ended.
    EXITED = "exited"
    # Its entry names another start.
    RESTARTED = "restarted"
    # A new connection was refused, or did not open.
    REFUSED = "refused"
    NO_CONNECTION = "no_connection"
    # No answer, or not one of this server.
    NO_ANSWER = "no_answer"
    # The server has no status check.
    NOT_ASKED = "not_asked"

    @property
    def shows_life(self) -> bool:
        """Whether the server has outlived the end."""
        return self in (EndEvidence.ANSWERED, EndEvidence.SAME_START, EndEvidence.LISTED)


def _names_none(_: Answer) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class StatusCheck:
    """A call that servers answer at any time without running a request."""

    # Empty if there is none.
    target: bytes
    # Returns whether an answer names another server, or another start of this one.
    names_other: Callable[[Answer], bool] = _names_none
    # Returns whether an answer names the server, where each of its starts has a name of its own.
    names_server: Callable[[Answer], bool] = _names_none
    # Returns whether an answer names this start of the server.
    names_start: Callable[[Answer], bool] = _names_none


class Witness:
    """Owns the witness of one answer."""

    __slots__ = (
        "_answer_conn",
        "_check",
        "_conn",
        "_incarnation",
        "_is_closed",
        "_node",
        "_opening",
        "_pool",
        "_sent_at",
        "_start",
    )

    _node: Node
    _pool: BackendPool
    _start: StartAttempt
    _check: StatusCheck
    # The connection of the answer, and when the request was sent on it.
    _answer_conn: BackendConnection
    _sent_at: float
    # The incarnation in the entry of the server when the answer began.
    _incarnation: str
    # None until it is open, if it cannot be opened, or if the end had arrived by then.
    _conn: BackendConnection | None
    _opening: anyio.CancelScope
    _is_closed: bool

    def __init__(
        self,
        node: Node,
        pool: BackendPool,
        start: StartAttempt,
        check: StatusCheck,
        answer_conn: BackendConnection,
        sent_at: float,
    ) -> None:
        self._node = node
        self._pool = pool
        self._start = start
        self._check = check
        self._answer_conn = answer_conn
        self._sent_at = sent_at
        self._incarnation = self._listed_incarnation()
        self._conn = None
        self._opening = anyio.CancelScope()
        self._is_closed = False

    async def __aenter__(self) -> Self:
        self._node.run_in_background(self._open)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._is_closed = True
        self._opening.cancel()
        if self._conn is not None:
            await self._pool.release(self._start.address, self._conn)

    async def _open(self) -> None:
        address = self._start.address
        conn = None
        with self._opening, suppress(*TRANSPORT_ERRORS):
            conn = await self._pool.acquire(address, idle_max_s=IDLE_MAX_S, via=via_of(self._start))
        if conn is None:
            return
        if self._is_closed or not self._is_older_than_end(conn):
            await self._pool.release(address, conn)
            return
        self._conn = conn

    def _is_older_than_end(self, conn: BackendConnection) -> bool:
        """Return whether a connection that is open now was opened before the end of the answer."""
        return conn.opened_at < self._sent_at or not self._answer_conn.has_end_arrived

    def _listed_incarnation(self) -> str:
        server = self._node.state.servers.by_name.get(self._start.server)
        return "" if server is None else server.entry.incarnation

    async def find_evidence(self) -> EndEvidence:
        """Return what the server shows after the end of its answer, which is now."""
        if not self._check.target:
            return EndEvidence.NOT_ASKED
        await anyio.sleep(EXIT_S)
        try:
            await check_connection(self._pool, self._start.address, via_of(self._start))
        except httpcore.ConnectError:
            return EndEvidence.REFUSED
        except TRANSPORT_ERRORS:
            return EndEvidence.NO_CONNECTION
        evidence = await self._ask()
        # Its entry may have been read meanwhile.
        listed_incarnation = self._listed_incarnation()
        if listed_incarnation and listed_incarnation != self._incarnation:
            return EndEvidence.RESTARTED
        return evidence

    async def _ask(self) -> EndEvidence:
        conn = self._conn
        if conn is not None:
            if conn.is_closed_by_server:
                return EndEvidence.EXITED
            # The call returns it to the pool.
            self._conn = None
            answer = await self._call(conn)
            if answer is None or self._check.names_other(answer):
                return EndEvidence.NO_ANSWER
            return EndEvidence.ANSWERED
        return await self._ask_for_start()

    async def _ask_for_start(self) -> EndEvidence:
        address = self._start.address
        try:
            conn = await self._pool.acquire(address, via=via_of(self._start))
        except TRANSPORT_ERRORS:
            return EndEvidence.NO_CONNECTION
        answer = await self._call(conn)
        if answer is None:
            return EndEvidence.NO_ANSWER
        if self._check.names_start(answer):
            return EndEvidence.SAME_START
        if self._check.names_server(answer) and await self._is_still_listed():
            return EndEvidence.LISTED
        return EndEvidence.NO_ANSWER

    async def _is_still_listed(self) -> bool:
        """Return whether entries that are read from now on name the same start of the server."""
        state, asked_at = self._node.state, anyio.current_time()
        for _ in range(_ENTRIES_POLLS):
            if state.registry.read_at > asked_at:
                server = state.servers.by_name.get(self._start.server)
                return server is not None and server.entry.incarnation == self._incarnation
            await anyio.sleep(_ENTRIES_POLL_S)
        return False

    async def _call(self, conn: BackendConnection) -> Answer | None:
        """Return the answer to a status check, or None if there is none; release the connection."""
        try:
            answer: Answer = await self._pool.checks.run(
                self._start.address, partial(self._exchange, conn)
            )
        except (TimeoutError, UnsendableError, *TRANSPORT_ERRORS):
            return None
        return answer

    async def _exchange(self, conn: BackendConnection) -> Answer:
        address = self._start.address
        request = make_request(b"GET", address, self._check.target, [], b"")
        try:
            return await exchange(conn, request, FirstByteCallback(), None, ANSWER_MAX_BYTES)
        finally:
            await self._pool.release(address, conn)
