"""A server's answer on its way to the caller, over as many attempts as it takes.

Nothing is written before it is worth something: of a stream the first event, of anything else the
whole answer. Until then another attempt is invisible to the caller. A server's own failure is kept
and passed on if no other attempt follows; an answer that breaks off after its beginning was written
ends in a reset, so that nobody takes it for a whole one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from turmericweir.answers.caller_answer import Caller
from turmericweir.answers.forward_wire import Headers, Wire
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.reasons import Reason

_WITHOUT_BODY: Final = frozenset({204, 304})
_LENGTH: Final = b"content-length"


class ForwardAnswer:
    """Where the answer goes."""

    __slots__ = (
        "_begun",
        "_failure",
        "_headers",
        "_status",
        "_stopping",
        "_unsent",
        "_wire",
        "caller",
        "last_event",
    )

    caller: Caller
    _wire: Wire
    # Whether this instance is stopping, and the caller is to connect anew.
    _stopping: Callable[[], bool]
    _status: int
    _headers: Headers
    # Bytes that were kept and not written yet.
    _unsent: bytes
    # The id of the last whole event that the caller has or was kept for it, over all attempts; one
    # that resumes a stream brings the first.
    last_event: bytes
    # An event was kept, so the head stays that of the attempt which brought it.
    _begun: bool
    # A server's answer that says it failed: status, headers, body.
    _failure: tuple[int, Headers, bytes] | None

    def __init__(
        self, caller: Caller, wire: Wire, stopping: Callable[[], bool], resume_after: bytes
    ) -> None:
        self.caller = caller
        self._wire = wire
        self._stopping = stopping
        self._status = 0
        self._headers = []
        self._unsent = b""
        self.last_event = resume_after
        self._begun = False
        self._failure = None

    def begin(self, status: int, headers: Headers) -> None:
        """Take the head of an attempt's answer; of a stream that goes on, the first one stays."""
        if self._begun:
            return
        self._status = status
        self._headers = self._wire.caller_headers(headers)
        self._unsent = b""

    def fail(self, status: int, headers: Headers, body: bytes) -> None:
        """Keep a server's whole answer that says it failed."""
        self._failure = (status, self._wire.caller_headers(headers), body)

    def keep(self, data: bytes) -> None:
        """Take a part of the body."""
        self._unsent += data
        self._begun = self._begun or bool(data)

    async def flush(self) -> None:
        """Write what was kept, with the head before the first part."""
        if not self._unsent:
            return
        await self._start()
        data, self._unsent = self._unsent, b""
        await self.caller.write_body(data, more=True)

    async def _start(self) -> None:
        if not self.caller.is_started:
            self.caller.should_close = self._stopping()
            await self.caller.write_head(self._status, self._headers)

    async def finish(self, account: Account) -> bool:
        """Write the end, or a problem; False means that the connection must be cut instead."""
        if account.outcome is Outcome.COMPLETED:
            await self._finish_whole()
            return True
        if self.caller.is_started:
            return False
        if account.reason is Reason.SERVER_ERROR and self._failure is not None:
            self._status, self._headers, self._unsent = self._failure
            await self._finish_whole()
            return True
        self.caller.should_close = self._stopping()
        await self.caller.write_problem(self._wire.problem(account))
        return True

    async def _finish_whole(self) -> None:
        if not self.caller.is_started and self._status not in _WITHOUT_BODY:
            # The whole body is here, so its length is known however the server framed it.
            named = [each for each in self._headers if each[0] != _LENGTH]
            self._headers = [*named, (_LENGTH, b"%d" % len(self._unsent))]
        await self._start()
        await self.caller.write_body(self._unsent, more=False)
