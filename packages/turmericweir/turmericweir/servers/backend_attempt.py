"""What attempts at engines and at plain services have in common.

An attempt is one request on one connection. It ends in one of core's `AttemptEnd` types; which one
decides what the caller may be told, so the classification is made here, in one place: nothing was
written, or the server itself says that it had not started, or anything else, which proves nothing.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Final

import anyio
import httpcore

from turmericweir.process.errors import CallError, describe
from turmericweir.servers.backend_call import TRANSPORT_ERRORS, FirstByte, call, read_body
from turmericweir.servers.backend_pool import IDLE_MAX_S, PROVEN_IDLE_S
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptSent,
    EndBroken,
    EndRefused,
    EndUnsent,
)

if TYPE_CHECKING:
    from turmericweir.process.node import Node
    from turmericweir.servers.backend_pool import BackendPool

# How long a new connection may take to show that a server lives.
PROBE_TIMEOUT_S: Final = 1.0
# The same where connecting alone is asked for: some round trips between data centres.
CONNECT_PROBE_S: Final = 0.3
# How long a refusal's or an error's body, or the end of a finished answer, is waited for.
TAIL_TIMEOUT_S: Final = 0.25
TAIL_MAX: Final = 65_536
NOT_STARTED: Final = b"x-not-started"
LEAVING: Final = b"x-leaving"
ATTEMPT_ID: Final = b"x-attempt-id"
REQUEST_ID: Final = b"x-request-id"
PRIORITY: Final = b"x-priority"
_YES: Final = b"1"

# Consumes an answer and says how the attempt ended.
Consume = Callable[[httpcore.Response], Awaitable[AttemptEnd]]
Lives = Callable[["BackendPool", str], Awaitable[bool]]
MakeRequest = Callable[[], httpcore.Request]


class Attempt:
    """One attempt: sends the request, has the answer consumed, classifies the end."""

    __slots__ = ("_first_byte", "_kept", "_lives", "broke", "node", "pool", "start")

    node: Node
    pool: BackendPool
    start: StartAttempt
    # How the connection was lost after something had been written to it; empty before that.
    broke: str
    _first_byte: FirstByte
    # Its connection was kept from an earlier request.
    _kept: bool
    # Asks whether a server answers on a new connection.
    _lives: Lives

    def __init__(
        self, node: Node, pool: BackendPool, start: StartAttempt, lives: Lives | None = None
    ) -> None:
        self._lives = lives or is_alive
        self.node = node
        self.pool = pool
        self.start = start
        self.broke = ""
        self._first_byte = FirstByte(self._announce)
        self._kept = False

    @property
    def sent(self) -> bool:
        """Whether the server may have begun."""
        return self._first_byte.sent

    def _announce(self) -> None:
        start = self.start
        self.node.handle(AttemptSent(start.request_id, start.attempt_id, self._kept))

    async def run(self, make: MakeRequest, consume: Consume) -> AttemptEnd:
        """Run the attempt to its end; being cancelled ends it too.

        The request is made only once there is a connection, as it may say how much time is left.
        """
        address = self.start.address
        try:
            conn = await self.pool.take(address, idle_max_s=_idle_max_s(self.start))
            self._kept = conn.is_kept
            try:
                response = await conn.send(make(), self._first_byte)
                end = await consume(response)
                # Marks the connection as idle, if the answer was read to its end.
                await response.aclose()
                return end
            finally:
                await self.pool.give_back(address, conn)
        except TRANSPORT_ERRORS as exc:
            return await self.lost(describe(exc))

    async def lost(self, error: str) -> AttemptEnd:
        """Classify a loss of the connection by what had been written to it."""
        if not self.sent:
            return EndUnsent(error)
        self.broke = error
        return EndBroken(error, await self._lives(self.pool, self.start.address))

    async def refusal(
        self, response: httpcore.Response, headers: Mapping[bytes, bytes]
    ) -> EndRefused | None:
        """Recognise a server's word that it had not started."""
        if headers.get(NOT_STARTED) != _YES:
            return None
        await read_tail(response)
        return EndRefused(response.status, headers.get(LEAVING) == _YES)

    def is_ours(self, headers: Mapping[bytes, bytes], *, required: bool) -> bool:
        """Check that an answer belongs to this attempt.

        A server, or something between, that mixes up its connections would hand one caller's answer
        to another; the id that the server echoes shows it before a byte is passed on.
        """
        echoed = headers.get(ATTEMPT_ID)
        if echoed is None and not required:
            return True
        if echoed == self.start.attempt_id.encode("ascii"):
            return True
        self.node.count("attempt.foreign_answer")
        return False


def _idle_max_s(start: StartAttempt) -> float:
    """Give how long the connection of an attempt may have been idle, seconds."""
    if start.fresh_connection:
        return 0.0
    return PROVEN_IDLE_S if start.proven_connection else IDLE_MAX_S


def attempt_headers(start: StartAttempt) -> list[tuple[bytes, bytes]]:
    """Name the request and the attempt to the server."""
    return [
        (REQUEST_ID, start.request_id.encode("ascii")),
        (ATTEMPT_ID, start.attempt_id.encode("ascii")),
    ]


async def read_tail(response: httpcore.Response) -> None:
    """Read a short rest of an answer so that its connection can be used again."""
    with anyio.move_on_after(TAIL_TIMEOUT_S):
        try:
            await read_body(response, TAIL_MAX)
        except TRANSPORT_ERRORS:
            return


async def connects(pool: BackendPool, address: str) -> bool:
    """Tell whether a new connection to a server works; it is kept for the next request."""
    try:
        with anyio.fail_after(CONNECT_PROBE_S):
            conn = await pool.take(address, idle_max_s=0.0)
    except (TimeoutError, *TRANSPORT_ERRORS):
        return False
    await pool.give_back(address, conn)
    return True


async def is_alive(pool: BackendPool, address: str) -> bool:
    """Tell whether a server answers on a new connection.

    Silence or a break of one connection is no evidence against the server itself.
    """
    try:
        answer = await call(
            pool, b"GET", address, "/v1/load", timeout_s=PROBE_TIMEOUT_S, fresh=True
        )
    except CallError:
        return False
    return answer.status < 500
