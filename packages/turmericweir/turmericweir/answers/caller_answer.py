"""Answers to callers of the completion and service interface.

`StreamAnswer` forwards an engine's tokens as they arrive, `WholeAnswer` collects them in one JSON
answer, and `PlainAnswer` forwards a plain service's answer. Writing starts as late as possible,
because a retry is invisible to the caller until the first byte. Every answer ends with `finish`.

Received data is buffered before it is flushed. A flush to a slow caller may be cancelled together
with its attempt; the next flush then sends the data that remains in the buffer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import orjson

from turmericweir.answers import sse
from turmericweir.answers.caller_problem import Problem, account_headers, make_account_problem
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.messages.effects import ReplayAnswer
from turmericweir_core.records.claim_answer import StoredAnswer

if TYPE_CHECKING:
    from uvicorn._types import ASGISendCallable

_EVENT_STREAM: Final = b"text/event-stream"
# Prevents caches and proxies from delaying events.
_NO_CACHE: Final = (b"cache-control", b"no-cache")
OUTCOME_EVENT: Final = b"event: turmericweir.outcome\ndata: "
# The outcome header of a stream, whose outcome is unknown until its last event.
IN_STREAM: Final = b"in-stream"
_STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})
# Marks the stored answer of an earlier call with the same idempotency key.
REPLAYED_HEADER: Final = (b"idempotent-replayed", b"true")


class WriteCoalescer(Protocol):
    """The part of a caller's transport that joins the head of an answer with its body."""

    def delay_next_write(self) -> None:
        """Delay the next write until another write or `flush_delayed`."""

    def flush_delayed(self) -> None:
        """Send the delayed write."""


class Caller:
    """Writes the answer to one request to its caller."""

    __slots__ = (
        "_coalescer",
        "_send",
        "is_started",
        "is_write_blocked",
        "request_id",
        "should_close",
    )

    _send: ASGISendCallable
    _coalescer: WriteCoalescer
    request_id: str
    # Whether the head of the answer was written.
    is_started: bool
    # Whether a write waits for the caller to read.
    is_write_blocked: bool
    # Whether the answer asks the caller to close the connection.
    should_close: bool

    def __init__(self, request_id: str, send: ASGISendCallable, coalescer: WriteCoalescer) -> None:
        self._send = send
        self._coalescer = coalescer
        self.request_id = request_id
        self.is_started = False
        self.is_write_blocked = False
        self.should_close = False

    async def write_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Write status and headers; they are sent together with the first part of the body."""
        self.is_started = True
        if self.should_close:
            headers = [*headers, (b"connection", b"close")]
        self._coalescer.delay_next_write()
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def write_body(self, data: bytes, *, more: bool) -> None:
        """Write a part of the body, and wait while the caller's buffer is full."""
        self.is_write_blocked = True
        try:
            await self._send({"type": "http.response.body", "body": data, "more_body": more})
        finally:
            self.is_write_blocked = False
            # Sends the delayed head of an answer without a body.
            self._coalescer.flush_delayed()

    async def write_problem(self, problem: Problem) -> None:
        """Write a complete problem answer."""
        await self.write_head(problem.status, problem.headers)
        await self.write_body(problem.body, more=False)


class Answer(Protocol):
    """The part of an answer that an exchange uses."""

    async def finish(self, account: Account) -> bool:
        """Write the end of the answer; return False if the connection must be reset instead."""


class TokenAnswer:
    """An answer that consists of an engine's token events."""

    __slots__ = ("_event_chunks", "_unstreamed_answer", "caller")

    caller: Caller
    # Chunks of complete events from all attempts, in order.
    _event_chunks: list[bytes]
    # The engine's answer if it is not a stream: status, content type, body.
    _unstreamed_answer: tuple[int, bytes, bytes] | None

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self._event_chunks = []
        self._unstreamed_answer = None

    def prepare_resume(self, tokens: int) -> None:
        """Prepare for an attempt that resumes after this number of tokens."""
        raise NotImplementedError

    def buffer_events(self, events: bytes) -> None:
        """Buffer a chunk of complete events."""
        self._event_chunks.append(events)

    async def flush(self) -> None:
        """Write buffered events if the caller wants a stream."""
        raise NotImplementedError

    def first_tokens_text(self, tokens: int) -> str:
        """Return the text of the first tokens."""
        return sse.join_token_texts(self._event_chunks, tokens)

    def set_unstreamed_answer(self, status: int, content_type: bytes, body: bytes) -> None:
        """Record an answer that is not a stream, for example an error status."""
        self._unstreamed_answer = (status, content_type, body)

    async def finish(self, account: Account) -> bool:
        """Write the end of the answer; return False if the connection must be reset instead."""
        raise NotImplementedError

    async def _write_whole_answer(self, account: Account, answer: tuple[int, bytes, bytes]) -> None:
        status, content_type, body = answer
        headers = [
            (b"content-type", content_type or b"application/octet-stream"),
            (b"content-length", b"%d" % len(body)),
            *account_headers(account.request_id, account.outcome),
        ]
        await self.caller.write_head(status, headers)
        await self.caller.write_body(body, more=False)


class StreamAnswer(TokenAnswer):
    """Forwards tokens as they arrive."""

    __slots__ = ("_flushed_chunks",)

    # The number of chunks that were written.
    _flushed_chunks: int

    def __init__(self, caller: Caller) -> None:
        super().__init__(caller)
        self._flushed_chunks = 0

    def prepare_resume(self, tokens: int) -> None:
        """Do nothing, because the caller already has the tokens."""

    async def flush(self) -> None:
        """Write all events that were not written yet."""
        caller = self.caller
        if not caller.is_started:
            await caller.write_head(200, self._head())
        event_chunks = self._event_chunks
        while self._flushed_chunks < len(event_chunks):
            await caller.write_body(event_chunks[self._flushed_chunks], more=True)
            self._flushed_chunks += 1

    def _head(self) -> list[tuple[bytes, bytes]]:
        request_id, _ = account_headers(self.caller.request_id, Outcome.COMPLETED)
        return [
            (b"content-type", _EVENT_STREAM),
            _NO_CACHE,
            request_id,
            (b"turmericweir-outcome", IN_STREAM),
        ]

    async def finish(self, account: Account) -> bool:
        """Write the outcome event, and [DONE] if the answer is complete."""
        completed = account.outcome is Outcome.COMPLETED
        if completed and self._unstreamed_answer is not None:
            await self._write_whole_answer(account, self._unstreamed_answer)
            return True
        if not completed and not self.caller.is_started:
            await self.caller.write_problem(make_account_problem(account))
            return True
        await self.flush()
        # The outcome precedes [DONE], because many clients stop reading there.
        end = outcome_event(account) + (sse.DONE if completed else b"")
        await self.caller.write_body(end, more=False)
        return True


class WholeAnswer(TokenAnswer):
    """Collects tokens in one JSON answer."""

    __slots__ = ("prompt_tokens",)

    prompt_tokens: int

    def __init__(self, caller: Caller, prompt_tokens: int) -> None:
        super().__init__(caller)
        self.prompt_tokens = prompt_tokens

    def prepare_resume(self, tokens: int) -> None:
        """Discard the tokens after those from which the next attempt resumes."""
        events = list(sse.data_events(self._event_chunks)) if tokens else []
        self._event_chunks = events[:tokens]

    async def flush(self) -> None:
        """Do nothing, because `finish` writes the whole answer."""

    async def finish(self, account: Account) -> bool:
        """Write the complete answer or a problem."""
        if account.outcome is not Outcome.COMPLETED:
            await self.caller.write_problem(make_account_problem(account))
        elif self._unstreamed_answer is not None:
            await self._write_whole_answer(account, self._unstreamed_answer)
        else:
            value = sse.aggregate(self._event_chunks, account.request_id, self.prompt_tokens)
            body = orjson.dumps(value)
            await self._write_whole_answer(account, (200, b"application/json", body))
        return True


class PlainAnswer:
    """Forwards a plain service's answer."""

    __slots__ = (
        "_announced_bytes",
        "_headers",
        "_received_bytes",
        "_status",
        "_stored_body",
        "_stored_max_bytes",
        "_unsent",
        "caller",
    )

    caller: Caller
    _status: int
    _headers: list[tuple[bytes, bytes]]
    # The body's length according to the service, or None.
    _announced_bytes: int | None
    _received_bytes: int
    # Received bytes that were not written yet.
    _unsent: bytes
    # Bodies up to this length are stored to replay the answer for the same idempotency key.
    _stored_max_bytes: int
    _stored_body: bytes

    def __init__(self, caller: Caller, stored_max_bytes: int = 0) -> None:
        self.caller = caller
        self._stored_max_bytes = stored_max_bytes
        self.begin_answer(0, ())

    def begin_answer(self, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Record the status and the headers of an attempt's answer."""
        self._status = status
        if status in _STATUSES_WITHOUT_BODY:
            # The announced length belongs to an answer with a body.
            headers = tuple(each for each in headers if each[0] != b"content-length")
        self._headers = list(headers)
        self._announced_bytes = _content_length(headers)
        self._received_bytes = 0
        self._unsent = b""
        self._stored_body = b""

    def buffer_body(self, data: bytes) -> None:
        """Buffer a part of the body."""
        self._received_bytes += len(data)
        self._unsent += data
        if self._received_bytes <= self._stored_max_bytes:
            self._stored_body += data

    def answer_to_store(self) -> StoredAnswer | None:
        """Return the complete answer if it should be stored and is small enough."""
        if not self._stored_max_bytes or self._received_bytes > self._stored_max_bytes:
            return None
        return StoredAnswer(self._status, tuple(self._headers), self._stored_body)

    def replay(self, effect: ReplayAnswer) -> None:
        """Use the stored answer of an earlier call."""
        self.begin_answer(effect.status, (*effect.headers, REPLAYED_HEADER))
        self.buffer_body(effect.body)

    @property
    def has_received_announced_length(self) -> bool:
        """Whether the announced length was received."""
        return self._received_bytes == self._announced_bytes

    async def flush(self) -> None:
        """Write buffered data, preceded by the head if it was not written."""
        data = self._unsent
        if data:
            await self._write_head()
            await self.caller.write_body(data, more=True)
            self._unsent = b""

    async def _write_head(self) -> None:
        if self.caller.is_started:
            return
        # Writing this outcome before the end is safe, because a partial answer ends in a reset.
        common_headers = account_headers(self.caller.request_id, Outcome.COMPLETED)
        await self.caller.write_head(self._status, [*self._headers, *common_headers])

    async def finish(self, account: Account) -> bool:
        """Write the rest or a problem; return False if the connection must be reset."""
        if account.outcome is Outcome.COMPLETED:
            await self._write_head()
            await self.caller.write_body(self._unsent, more=False)
            return True
        if self.caller.is_started:
            return False
        await self.caller.write_problem(make_account_problem(account))
        return True


def _content_length(headers: tuple[tuple[bytes, bytes], ...]) -> int | None:
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return None


def outcome_event(account: Account) -> bytes:
    """Return the event with a streamed request's outcome."""
    value = {
        "outcome": account.outcome.value,
        "reason": account.reason.value,
        "request_id": account.request_id,
        "detail": account.detail,
    }
    return OUTCOME_EVENT + orjson.dumps(value) + sse.END
