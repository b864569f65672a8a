"""The answer to a forwarded request, over all of its attempts.

Writing starts with the first event of a stream, or with the complete answer otherwise. Until then a
retry is invisible to the caller. A server's error answer is stored and sent only if no further
attempt succeeds. A partial answer ends in a reset of the connection, which prevents the caller from
treating it as complete.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from turmericweir.answers.answer_record import STATUSES_WITHOUT_BODY
from turmericweir.answers.caller_answer import Caller
from turmericweir.answers.forward_wire import Headers, WireAdapter
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.reasons import Reason

_CONTENT_LENGTH: Final = b"content-length"


class ForwardAnswer:
    """Buffers and writes the answer to one forwarded request."""

    __slots__ = (
        "_error_answer",
        "_has_body",
        "_headers",
        "_is_stopping",
        "_status",
        "_unsent",
        "_wire",
        "caller",
        "events_after_id",
        "last_event_id",
    )

    caller: Caller
    _wire: WireAdapter
    # Returns whether this instance is stopping and the caller should reconnect.
    _is_stopping: Callable[[], bool]
    _status: int
    _headers: Headers
    # Received bytes that were not written yet.
    _unsent: bytes
    # The id of the last complete event that was written or buffered, over all attempts, of those
    # whose ids can be sent. Initially the id from which the caller resumes the stream.
    last_event_id: bytes
    # The number of events with an id that were written or buffered after that one.
    events_after_id: int
    # Whether a part of the body was received, after which the head is fixed.
    _has_body: bool
    # The error answer of a server: status, headers, body.
    _error_answer: tuple[int, Headers, bytes] | None

    def __init__(
        self,
        caller: Caller,
        wire: WireAdapter,
        is_stopping: Callable[[], bool],
        resume_after: bytes,
    ) -> None:
        self.caller = caller
        self._wire = wire
        self._is_stopping = is_stopping
        self._status = 0
        self._headers = []
        self._unsent = b""
        self.last_event_id = resume_after
        self.events_after_id = 0
        self._has_body = False
        self._error_answer = None

    @property
    def held_bytes(self) -> int:
        """The number of bytes that were received and not written yet."""
        error_bytes = 0 if self._error_answer is None else len(self._error_answer[2])
        return len(self._unsent) + error_bytes

    def can_be_joined(self) -> bool:
        """Return whether the answer of another attempt could follow what earlier ones received."""
        return not self._has_body or bool(self.last_event_id)

    def can_go_on(self, *, is_stream: bool) -> bool:
        """Return whether the answer of this attempt may follow what earlier attempts received.

        Only a stream goes on, and only after an event with an id. Prevents completing a stream by
        the error of another server, and joining an answer to the beginning of an earlier one.
        """
        return self.can_be_joined() and (is_stream or not self._has_body)

    def begin_answer(self, status: int, headers: Headers) -> None:
        """Record the head of an attempt's answer, except for a resumed stream."""
        if self._has_body:
            return
        self._status = status
        self._headers = self._wire.caller_headers(headers)
        self._unsent = b""

    def store_error_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Store a server's error answer."""
        self._error_answer = (status, self._wire.caller_headers(headers), body)

    def buffer_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self._unsent += data
        self._has_body = self._has_body or bool(data)

    async def flush(self) -> None:
        """Write buffered data, preceded by the head if it was not written."""
        if not self._unsent:
            return
        await self._write_head()
        data, self._unsent = self._unsent, b""
        await self.caller.write_body(data, more=True)

    async def _write_head(self) -> None:
        if not self.caller.is_started:
            self.caller.should_close = self._is_stopping()
            await self.caller.write_head(self._status, self._headers)

    async def finish(self, account: Account) -> bool:
        """Write the end or a problem; return False if the connection must be reset instead."""
        if account.outcome is Outcome.COMPLETED:
            await self._write_whole_answer()
            return True
        if self.caller.is_started:
            return False
        if account.reason is Reason.SERVER_ERROR and self._error_answer is not None:
            self._status, self._headers, self._unsent = self._error_answer
            await self._write_whole_answer()
            return True
        self.caller.should_close = self._is_stopping()
        await self.caller.write_problem(self._wire.account_problem(account))
        return True

    async def _write_whole_answer(self) -> None:
        if not self.caller.is_started and self._status not in STATUSES_WITHOUT_BODY:
            # The complete body is buffered, so its length is known.
            other_headers = [each for each in self._headers if each[0] != _CONTENT_LENGTH]
            self._headers = [*other_headers, (_CONTENT_LENGTH, b"%d" % len(self._unsent))]
        await self._write_head()
        await self.caller.write_body(self._unsent, more=False)
