"""The common part of attempts on engines and on plain services.

An attempt is one request on one connection. Its end is one of the core's `AttemptEnd` types and
determines whether the request may be retried. This module distinguishes three cases: nothing was
written, the server reported that it had not started the request, or the outcome is unknown.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import anyio
import httpcore

from turmericweir.answers.answer_record import AnswerRecord
from turmericweir.process import logs
from turmericweir.process.errors import CallError, describe_error
from turmericweir.servers.answer_size import AnswerTooLargeError
from turmericweir.servers.backend_call import TRANSPORT_ERRORS, FirstByteCallback, call, read_body
from turmericweir.servers.backend_pool import IDLE_MAX_S, VERIFIED_IDLE_MAX_S, Via
from turmericweir.servers.peer_refusal import PeerRefusedError
from turmericweir_core.messages.effects import ProbeServer, StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptSent,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndRefused,
    EndUnsent,
)

if TYPE_CHECKING:
    from turmericweir.process.node import Node
    from turmericweir.servers.backend_pool import BackendConnection, BackendPool

# Time limit for a load request on a new connection.
PROBE_TIMEOUT_S: Final = 1.0
# Time limit for a connection attempt: some round trips between data centres.
CONNECT_PROBE_S: Final = 0.3
# The same by way of a peer.
CARRIED_PROBE_S: Final = 0.5
# Time limit for reading the body of a refusal or an error, or the end of a complete answer.
TAIL_TIMEOUT_S: Final = 0.25
TAIL_MAX_BYTES: Final = 65_536
NOT_STARTED: Final = b"x-not-started"
LEAVING: Final = b"x-leaving"
ATTEMPT_ID: Final = b"x-attempt-id"
REQUEST_ID: Final = b"x-request-id"
PRIORITY: Final = b"x-priority"
_TRUE: Final = b"1"
# In the errors of the protocol that only say that the connection ended.
_CLOSED_ERRORS: Final = ("disconnected", "closed connection")

_MS_PER_S: Final = 1000.0

# Consumes an answer and returns how the attempt ended.
Consume = Callable[[httpcore.Response], Awaitable[AttemptEnd]]
# Returns whether the server of an attempt can be reached on a new connection.
AliveCheck = Callable[["BackendPool", StartAttempt], Awaitable[bool]]
MakeRequest = Callable[[], httpcore.Request]


class EndEvidence(StrEnum):
    """What the end of an answer without length and chunks was inferred from."""

    NOT_ASKED = "not_asked"
    # A new connection to the server was opened, refused, or neither.
    CONNECTED = "connected"
    REFUSED = "refused"
    NO_CONNECTION = "no_connection"


class Attempt:
    """Sends one request, passes the answer to a consumer and classifies the end."""

    __slots__ = (
        "_check_alive",
        "_conn",
        "_first_byte",
        "_is_reused",
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
    _check_alive: AliveCheck
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
        self.node = node
        self.pool = pool
        self.start = start
        self.connection_error = ""
        self.answer = AnswerRecord()
        self._first_byte = FirstByteCallback(self._report_sent)
        self._is_reused = False
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
        start = self.start
        self.node.handle(AttemptSent(start.request_id, start.attempt_id, self._is_reused))

    async def run(
        self,
        make_request: MakeRequest,
        consume: Consume,
        is_expired: Callable[[], bool] = lambda: False,
    ) -> AttemptEnd:
        """Run the attempt until it ends or is cancelled.

        The request is built after the connection is open, since it may contain the remaining time.
        It is not sent if its time is over by then, before the reducer has noticed.
        """
        address = self.start.address
        try:
            conn = await self.pool.acquire(
                address, idle_max_s=_idle_max_s(self.start), via=via_of(self.start)
            )
            self._is_reused = conn.is_reused
            self._conn = conn
            try:
                if is_expired():
                    return EndCancelled(0)
                response = await conn.send(make_request(), self._first_byte)
                self.answer.begin(response)
                end = await consume(response)
                if conn.has_read_answer:
                    self.answer.note_read()
                # Marks the connection as idle if the answer was read completely.
                await response.aclose()
                return end
            finally:
                self._conn = None
                await self.pool.release(address, conn)
        except AnswerTooLargeError as exc:
            return self.reject_oversized(describe_error(exc))
        except TRANSPORT_ERRORS as exc:
            self.answer.note_lost(exc)
            return await self.classify_loss(describe_error(exc), is_malformed=_is_malformed(exc))

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

        An answer without length and chunks ends like the connection of a server that crashes. A
        server that refuses connections directly after it has crashed, unless it is leaving.
        """
        if self.answer.is_framed:
            return EndComplete(status)
        ended_at = anyio.current_time()
        evidence = EndEvidence.NOT_ASKED if self._is_leaving() else await find_evidence(self)
        is_complete = evidence is not EndEvidence.REFUSED
        self._log_inferred_end(status, evidence, anyio.current_time() - ended_at, is_complete)
        if is_complete:
            return EndComplete(status)
        return await self.classify_loss("the answer has no length, and its server is gone")

    def _log_inferred_end(
        self, status: int, evidence: EndEvidence, age_s: float, is_complete: bool
    ) -> None:
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
            is_complete=is_complete,
        )

    def _is_leaving(self) -> bool:
        server = self.node.state.servers.by_name.get(self.start.server)
        return server is None or server.leaving or server.has_announced_leaving

    async def read_refusal(
        self, response: httpcore.Response, headers: Mapping[bytes, bytes]
    ) -> EndRefused | None:
        """Return the refusal if the server reported that it had not started the request."""
        if headers.get(NOT_STARTED) != _TRUE:
            return None
        self.log_refusal(response.status, has_id=ATTEMPT_ID in headers)
        await read_tail(response)
        return EndRefused(response.status, headers.get(LEAVING) == _TRUE)

    def log_refusal(self, status: int, *, has_id: bool) -> None:
        """Log and count a refusal that does not say which request it answers."""
        if has_id:
            return
        start = self.start
        self.node.count("attempt.refusal_without_id")
        logs.write(
            "refusal_without_id",
            request_id=start.request_id,
            attempt_id=start.attempt_id,
            peer=start.server,
            status=status,
            kept_connection=self._is_reused,
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


def _is_malformed(error: Exception) -> bool:
    """Return whether the bytes of an answer are none, rather than that its connection ended."""
    if not isinstance(error, httpcore.RemoteProtocolError):
        return False
    return not any(each in str(error) for each in _CLOSED_ERRORS)


def via_of(effect: StartAttempt | ProbeServer) -> Via | None:
    """Return the peer by way of which to connect, or None to connect directly."""
    return Via(effect.via_address, effect.server) if effect.via_address else None


def _idle_max_s(start: StartAttempt) -> float:
    """Return how long the connection of an attempt may have been idle, in seconds."""
    if start.needs_new_connection:
        return 0.0
    return VERIFIED_IDLE_MAX_S if start.needs_verified_connection else IDLE_MAX_S


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


async def check_connection(pool: BackendPool, address: str, via: Via | None = None) -> None:
    """Open a new connection to a server and add it to the pool; raise TRANSPORT_ERRORS."""
    timeout_s = CONNECT_PROBE_S if via is None else CARRIED_PROBE_S
    try:
        with anyio.fail_after(timeout_s):
            conn = await pool.acquire(address, idle_max_s=0.0, via=via)
    except TimeoutError:
        raise httpcore.ConnectTimeout(f"no connection within {timeout_s} s") from None
    await pool.release(address, conn)


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


async def find_evidence(attempt: Attempt) -> EndEvidence:
    """Return what a new connection shows of the server of an attempt, without a peer."""
    if attempt.start.via_address:
        return EndEvidence.NOT_ASKED
    try:
        await check_connection(attempt.pool, attempt.start.address)
    except httpcore.ConnectError:
        return EndEvidence.REFUSED
    except TRANSPORT_ERRORS:
        return EndEvidence.NO_CONNECTION
    return EndEvidence.CONNECTED


async def is_alive(pool: BackendPool, start: StartAttempt) -> bool:
    """Return whether a server answers on a new connection.

    An unresponsive or broken connection alone does not show that the server has failed.
    """
    try:
        answer = await call(
            pool,
            b"GET",
            start.address,
            "/v1/load",
            timeout_s=PROBE_TIMEOUT_S,
            needs_new_connection=True,
            via=via_of(start),
        )
    except CallError:
        return False
    return answer.status < 500
