"""Make calls to one other end with a time limit that follows its response times.

Used for writes, which a slow store or platform answers late rather than never. Each call is timed,
and an expired limit is counted and logged, which distinguishes a slow end from one that is gone.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from turmericweir.process import logs
from turmericweir.process.errors import CallError
from turmericweir.process.node import Node
from turmericweir.process.response_times import ResponseTimes
from turmericweir.servers.backend_call import Answer, call
from turmericweir.servers.backend_pool import BackendPool


class _Progress:
    """Whether a call has ended, and whether its limit ran out before."""

    __slots__ = ("has_ended", "is_expired")

    has_ended: bool
    is_expired: bool

    def __init__(self) -> None:
        self.has_ended = False
        self.is_expired = False


class TimedCalls:
    """The calls of one kind to one other end."""

    __slots__ = ("_address", "_expired_in_row", "_name", "_node", "_pool", "_times")

    _pool: BackendPool
    _address: str
    # Names the kind of call in logs and metrics.
    _name: str
    _node: Node
    _times: ResponseTimes
    # Limits that ran out since the last answer; only the first one is logged.
    _expired_in_row: int

    def __init__(
        self, pool: BackendPool, address: str, name: str, *, least_s: float, most_s: float
    ) -> None:
        self._pool = pool
        self._address = address
        self._name = name
        self._times = ResponseTimes(least_s, most_s)
        self._expired_in_row = 0

    def attach(self, node: Node) -> None:
        """Set the node whose metrics record the calls."""
        self._node = node

    async def post(self, target: str, *, raw: bytes = b"") -> Answer:
        """Make one call; raise CallError without a complete answer in time."""
        limit_s = self._times.limit_s
        started_at = anyio.current_time()
        try:
            answer = await call(
                self._pool,
                b"POST",
                self._address,
                target,
                raw=raw,
                timeout_s=limit_s,
            )
        except CallError:
            if anyio.current_time() - started_at >= limit_s:
                self._note_expired(limit_s)
            raise
        self._note_answer(anyio.current_time() - started_at)
        return answer

    async def post_patiently(
        self,
        target: str,
        *,
        value: object,
        headers: tuple[tuple[bytes, bytes], ...],
        needs_new_connection: bool,
        give_up_s: float,
        on_expired: Callable[[], None],
    ) -> Answer | None:
        """Make one call, whose answer may come after its time limit; call back at the limit.

        Raise CallError if the call fails before its limit. Return None without an answer after it.
        """
        progress = _Progress()
        started_at = anyio.current_time()
        self._node.run_in_background(self._watch, progress, self._times.limit_s, on_expired)
        try:
            answer = await call(
                self._pool,
                b"POST",
                self._address,
                target,
                value=value,
                headers=headers,
                timeout_s=give_up_s,
                needs_new_connection=needs_new_connection,
            )
        except CallError:
            if progress.is_expired:
                return None
            raise
        finally:
            progress.has_ended = True
        self._note_answer(anyio.current_time() - started_at)
        return answer

    async def _watch(
        self, progress: _Progress, limit_s: float, on_expired: Callable[[], None]
    ) -> None:
        await anyio.sleep(limit_s)
        if not progress.has_ended:
            progress.is_expired = True
            self._note_expired(limit_s)
            on_expired()

    def _note_expired(self, limit_s: float) -> None:
        self._times.note_expired()
        self._expired_in_row += 1
        self._node.count(f"{self._name}.expired")
        if self._expired_in_row == 1:
            logs.write(
                "limit_expired",
                step=self._name,
                peer=self._address,
                limit_s=round(limit_s, 3),
                usual_s=round(self._times.smoothed_s, 3),
            )

    def _note_answer(self, duration_s: float) -> None:
        self._times.add(duration_s)
        self._node.timing(self._name, duration_s)
        if self._expired_in_row:
            logs.write(
                "answered_again",
                step=self._name,
                peer=self._address,
                seconds=round(duration_s, 3),
                expired=self._expired_in_row,
            )
        self._expired_in_row = 0
