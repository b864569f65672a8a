"""The common part of attempts on engines and on plain services.

An attempt is one request on one connection. Its end is one of the core's `AttemptEnd` types and
determines whether the request may be retried. This module distinguishes three cases: nothing was
written, the server reported that it had not started the request, or the outcome is unknown.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Final, Protocol

import anyio
import httpcore

from turmericweir.answers.answer_record import AnswerRecord
from turmericweir.process import logs
from turmericweir.process.errors import CallError, UnsendableError, describe_error
from turmericweir.servers.answer_size import AnswerTooLargeError
from turmericweir.servers.backend_call import TRANSPORT_ERRORS, FirstByteCallback, call, read_body
from turmericweir.servers.backend_pool import IDLE_MAX_S, VERIFIED_IDLE_MAX_S
from turmericweir.servers.new_connection import check_connection, via_of
from turmericweir.servers.peer_refusal import PeerDeclinedError, PeerRefusedError
from turmericweir.servers.server_identity import UnidentifiedError
from turmericweir.servers.server_life import EndEvidence, StatusCheck, Witness
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptSent,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndMisplaced,
    EndRefused,
    EndUnsendable,
    EndUnsent,
    ServerIdentified,
)

if TYPE_CHECKING:
    from turmericweir.process.node import Node
    from turmericweir.servers.backend_pool import BackendConnection, BackendPool, Via

# Time limit for a load request on a new connection.
PROBE_TIMEOUT_S: Final = 1.0
# Time limit for reading the body of a refusal or an error, or the end of a complete answer.
TAIL_TIMEOUT_S: Final = 0.25
TAIL_MAX_BYTES: Final = 65_536
# Where servers of the own protocol report their load.
LOAD_PATH: Final = "/v1/load"
NOT_STARTED: Final = b"x-not-started"
LEAVING: Final = b"x-leaving"
ATTEMPT_ID: Final = b"x-attempt-id"
REQUEST_ID: Final = b"x-request-id"
PRIORITY: Final = b"x-priority"
_TRUE: Final = b"1"
# RFC 9110, section 5.5. The parser refuses the other ones.
_CONTROLS: Final = re.compile(rb"[\x01-\x08\x0e-\x1f\x7f]")
# In the errors of the protocol that only say that the connection ended.
_CLOSED_ERRORS: Final = ("disconnected", "closed connection")

_MS_PER_S: Final = 1000.0

# Consumes an answer and returns how the attempt ended.
Consume = Callable[[httpcore.Response], Awaitable[AttemptEnd]]
# Returns whether the server of an attempt can be reached on a new connection.
AliveCheck = Callable[["BackendPool", StartAttempt], Awaitable[bool]]
MakeRequest = Callable[[], httpcore.Request]
MakeStatusCheck = Callable[[], StatusCheck]


class Acquire(Protocol):
    """Returns a connection for an attempt; raises httpcore's errors if there is none."""

    async def __call__(
        self, pool: BackendPool, address: str, *, idle_max_s: float, via: Via | None
    ) -> BackendConnection:
        """Return a connection to an address, directly or by way of a peer."""


async def acquire_any(
    pool: BackendPool, address: str, *, idle_max_s: float, via: Via | None
) -> BackendConnection:
    """Return a connection to whichever process listens at an address."""
    return await pool.acquire(address, idle_max_s=idle_max_s, via=via)


class Attempt:
    """Sends one request, passes the answer to a consumer and classifies the end."""

    __slots__ = (
        "_check_alive",
        "_conn",
        "_first_byte",
        "_is_first_answer",
        "_is_reused",
        "_sent_at",
        "_witness",
        "answer",
        "connection_error",
        "node",
        "pool",
        "start",
    )

    node: Node
    pool: BackendPool
    start: StartAttempt
    # The connection error that occurred after the first byte was written; empty if none did.
    connection_error: str
    # How the answer is framed and ends.
    answer: AnswerRecord
    _first_byte: FirstByteCallback
    # Whether the connection has carried an earlier request.
    _is_reused: bool
    # Whether the connection has carried no earlier request, so that no answer to one can arrive.
    _is_first_answer: bool
    _check_alive: AliveCheck
    # When the request was sent; 0.0 before.
    _sent_at: float
    # While an answer is read that does not tell its own end.
    _witness: Witness | None
    # The connection while the attempt runs.
    _conn: BackendConnection | None

    def __init__(
        self,
        node: Node,
        pool: BackendPool,
        start: StartAttempt,
        check_alive: AliveCheck | None = None,
    ) -> None:
        self._check_alive = check_alive or is_alive
        self._witness = None
        self.node = node
        self.pool = pool
        self.start = start
        self.connection_error = ""
        self.answer = AnswerRecord()
        self._first_byte = FirstByteCallback(self._report_sent)
        self._is_reused = False
        self._is_first_answer = False
        self._sent_at = 0.0
        self._conn = None

    @property
    def held_bytes(self) -> int:
        """The number of bytes that wait to be read here, or by the server."""
        return 0 if self._conn is None else self._conn.held_bytes

    @property
    def may_have_started(self) -> bool:
        """Return whether the server may have started the request."""
        return self._first_byte.was_called

    def _report_sent(self) -> None:
        start, conn = self.start, self._conn
        assert conn is not None
        self.node.handle(
            AttemptSent(
                start.request_id,
                start.attempt_id,
                self._is_reused,
                conn.local_address,
                anyio.current_time() - conn.opened_at,
            )
        )

    async def run(
        self,
        make_request: MakeRequest,
        consume: Consume,
        is_expired: Callable[[], bool] = lambda: False,
        make_status_check: MakeStatusCheck | None = None,
        acquire: Acquire = acquire_any,
    ) -> AttemptEnd:
        """Run the attempt until it ends or is cancelled.

        The request is built after the connection is open, since it may contain the remaining time.
        It is not sent if its time is over by then, before the reducer has noticed, or if the server
        has begun to leave since the attempt started: connections to a slow one take long to open.
        """
        address = self.start.address
        try:
            idle_max_s, via = idle_limit_s(self.pool, self.start), via_of(self.start)
            took_work = self._takes_work()
            conn = await acquire(self.pool, address, idle_max_s=idle_max_s, via=via)
            self._is_reused = conn.is_reused
            self._conn = conn
            try:
                if is_expired() or (took_work and not self._takes_work()):
                    return EndCancelled(0)
                if self._is_misplaced(conn):
                    return EndMisplaced(conn.incarnation or "")
                self._report_identity(conn)
                self._is_first_answer = not conn.has_carried_request
                request = make_request()
                self._sent_at = anyio.current_time()
                response = await conn.send(request, self._first_byte)
                _check_headers(response)
                self.answer.begin(request, response)
                if self.answer.is_framed or make_status_check is None:
                    end = await consume(response)
                else:
                    status_check = make_status_check()
                    end = await self._consume_watched(consume, response, status_check, conn)
                if conn.has_read_answer:
                    self.answer.note_read()
                # Marks the connection as idle if the answer was read completely.
                await response.aclose()
                return end
            finally:
                self._conn = None
                await self.pool.release(address, conn)
        except UnidentifiedError:
            return EndMisplaced("")
        except UnsendableError as exc:
            return EndUnsendable(exc.detail)
        except AnswerTooLargeError as exc:
            return self.reject_oversized(describe_error(exc))
        except TRANSPORT_ERRORS as exc:
            if isinstance(exc, PeerDeclinedError) and not self.may_have_started:
                return EndUnsent(describe_error(exc), is_declined=True)
            self.answer.note_lost(exc)
            return await self.classify_loss(describe_error(exc), is_malformed=_is_malformed(exc))

    def _takes_work(self) -> bool:
        """Return whether the server is listed and takes new requests."""
        server = self.node.state.servers.by_name.get(self.start.server)
        return server is not None and not server.leaving and not server.drained

    def _is_misplaced(self, conn: BackendConnection) -> bool:
        """Return whether the server is not the start that the attempt may be sent to."""
        start = self.start
        if not (start.needs_identity and start.is_bound):
            return False
        return (conn.incarnation or "") != start.incarnation

    def _report_identity(self, conn: BackendConnection) -> None:
        """Report which start the server says that it is."""
        start = self.start
        if start.needs_identity:
            incarnation = conn.incarnation or ""
            self.node.handle(ServerIdentified(start.request_id, start.attempt_id, incarnation))

    async def _consume_watched(
        self,
        consume: Consume,
        response: httpcore.Response,
        status_check: StatusCheck,
        conn: BackendConnection,
    ) -> AttemptEnd:
        """Consume an answer of which only the connection shows the end."""
        async with Witness(
            self.node, self.pool, self.start, status_check, conn, self._sent_at
        ) as witness:
            self._witness = witness
            return await consume(response)

    def reject_oversized(self, error: str) -> EndBroken:
        """Return the end of an attempt whose answer exceeds a bound, so is no answer."""
        self.answer.note_oversized()
        self.node.count("attempt.oversized")
        # The server is there: it is sending.
        return EndBroken(error, server_alive=True, is_malformed=True)

    async def classify_loss(self, error: str, *, is_malformed: bool = False) -> AttemptEnd:
        """Classify a connection error by whether anything had been written."""
        if not self.may_have_started:
            return EndUnsent(error)
        self.connection_error = error
        is_alive_now = await self._check_alive(self.pool, self.start)
        return EndBroken(error, is_alive_now, is_malformed)

    async def end_answer(self, status: int) -> AttemptEnd:
        """Return the end of an answer that was read to its end.

        An answer without a length and without chunks is complete only if its server has outlived
        its end, since the connection of a process that exits ends alike.
        """
        if self.answer.is_framed:
            return EndComplete(status)
        ended_at = anyio.current_time()
        witness = self._witness
        evidence = EndEvidence.NOT_ASKED if witness is None else await witness.find_evidence()
        self._log_inferred_end(status, evidence, anyio.current_time() - ended_at)
        if evidence.shows_life:
            return EndComplete(status)
        return await self.classify_loss(
            f"nothing shows that the answer without a length is complete: {evidence}"
        )

    def _log_inferred_end(self, status: int, evidence: EndEvidence, age_s: float) -> None:
        start = self.start
        self.node.count(f"attempt.end_inferred.{evidence}")
        logs.write(
            "end_inferred",
            request_id=start.request_id,
            attempt_id=start.attempt_id,
            peer=start.server,
            via=start.via,
            status=status,
            framing=self.answer.framing,
            evidence=evidence,
            age_ms=round(_MS_PER_S * age_s),
            is_complete=evidence.shows_life,
        )

    async def read_refusal(
        self, response: httpcore.Response, headers: Mapping[bytes, bytes]
    ) -> EndRefused | None:
        """Return the refusal if the server reported that it had not started the request."""
        if headers.get(NOT_STARTED) != _TRUE:
            return None
        echoed_id = headers.get(ATTEMPT_ID)
        if echoed_id not in (None, self.start.attempt_id.encode("ascii")):
            return None
        is_leaving = headers.get(LEAVING) == _TRUE
        return await self.end_refused(response, is_leaving, has_id=echoed_id is not None)

    async def end_refused(
        self, response: httpcore.Response, is_leaving: bool, *, has_id: bool
    ) -> EndRefused:
        """Return the end of an attempt that the server refused.

        A refusal without an ID that may answer an earlier request is not read to its end, so that
        its connection is closed: the answer to this request may follow.
        """
        is_identified = self.is_identified(has_id=has_id)
        if is_identified:
            await read_tail(response)
        if not has_id:
            self._log_refusal(response.status)
        return EndRefused(response.status, is_leaving, is_identified, names_request=has_id)

    def is_identified(self, *, has_id: bool) -> bool:
        """Return whether an answer can only be meant for this attempt."""
        return has_id or self._is_first_answer

    def _log_refusal(self, status: int) -> None:
        start = self.start
        self.node.count("attempt.refusal_without_id")
        logs.write(
            "refusal_without_id",
            request_id=start.request_id,
            attempt_id=start.attempt_id,
            peer=start.server,
            status=status,
            kept_connection=not self._is_first_answer,
        )

    def is_matching_answer(self, headers: Mapping[bytes, bytes], *, required: bool) -> bool:
        """Return whether an answer belongs to this attempt, by the id that the server echoes.

        Prevents one caller from receiving another's answer when a server or a proxy confuses its
        connections.
        """
        echoed_id = headers.get(ATTEMPT_ID)
        if echoed_id is None and not required:
            return True
        if echoed_id == self.start.attempt_id.encode("ascii"):
            return True
        self.node.count("attempt.foreign_answer")
        return False


def _check_headers(response: httpcore.Response) -> None:
    """Raise httpcore's error for invalid header values, which cannot be written to a caller."""
    if _CONTROLS.search(b"".join([value for _, value in response.headers])):
        raise httpcore.RemoteProtocolError("a header of the answer has a control character")


def _is_malformed(error: Exception) -> bool:
    """Return whether the bytes of an answer are none, rather than that its connection ended."""
    if not isinstance(error, httpcore.RemoteProtocolError):
        return False
    return not any(each in str(error) for each in _CLOSED_ERRORS)


def idle_limit_s(pool: BackendPool, start: StartAttempt) -> float:
    """Return how long the connection of an attempt may have been idle, in seconds."""
    address, via = start.address, via_of(start)
    if start.needs_new_connection or pool.closes_under_calls(address, via):
        return 0.0
    if not start.needs_verified_connection:
        return IDLE_MAX_S
    return 0.0 if pool.closes_early(address, via) else VERIFIED_IDLE_MAX_S


def attempt_headers(start: StartAttempt) -> list[tuple[bytes, bytes]]:
    """Return the headers that identify the request and the attempt."""
    return [
        (REQUEST_ID, start.request_id.encode("ascii")),
        (ATTEMPT_ID, start.attempt_id.encode("ascii")),
    ]


async def read_tail(response: httpcore.Response) -> None:
    """Read the short remainder of an answer to make its connection reusable."""
    with anyio.move_on_after(TAIL_TIMEOUT_S):
        try:
            await read_body(response, TAIL_MAX_BYTES)
        except TRANSPORT_ERRORS:
            return


async def can_connect(pool: BackendPool, start: StartAttempt) -> bool:
    """Return whether the server of a broken attempt accepts connections.

    By way of a peer this is false only if the peer says so. The peer itself may have been lost,
    which says nothing about the server.
    """
    try:
        await check_connection(pool, start.address, via_of(start))
    except PeerRefusedError:
        return False
    except TRANSPORT_ERRORS:
        return bool(start.via_address)
    return True


async def is_alive(pool: BackendPool, start: StartAttempt) -> bool:
    """Return whether a server answers on a new connection.

    An unresponsive or broken connection alone does not show that the server has failed.
    """
    try:
        answer = await call(
            pool,
            b"GET",
            start.address,
            LOAD_PATH,
            timeout_s=PROBE_TIMEOUT_S,
            needs_new_connection=True,
            via=via_of(start),
        )
    except CallError:
        return False
    return answer.status < 500
