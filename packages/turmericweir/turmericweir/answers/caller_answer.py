"""Answers on their way to the caller, in the three forms that callers ask for.

`StreamAnswer` passes an engine's tokens on as they come, `WholeAnswer` gathers them for a caller
that did not ask for a stream, `PlainAnswer` passes a plain service's answer on. All begin to write
as late as they can, so that a retry before the first byte is invisible, and all end in `finish`
with the request's account.

What an attempt receives is first kept here and then flushed. A flush waits where the caller reads
slowly, and may be cancelled there together with the attempt; what is kept goes out with the next
flush, so the caller's bytes stay whole over all attempts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import orjson

from turmericweir.answers import sse
from turmericweir.answers.caller_problem import Problem, account_headers, problem_of_account
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.messages.effects import ReplayAnswer
from turmericweir_core.records.claim_answer import KeptAnswer

if TYPE_CHECKING:
    from uvicorn._types import ASGISendCallable

_EVENT_STREAM: Final = b"text/event-stream"
# A cache or proxy that held events back would cost the stream its use.
_NO_CACHE: Final = (b"cache-control", b"no-cache")
OUTCOME_EVENT: Final = b"event: turmericweir.outcome\ndata: "
# The account gives the outcome at the end of a stream, so its head cannot.
IN_STREAM: Final = b"in-stream"
_WITHOUT_BODY: Final = frozenset({204, 304})
# Tells a caller that its call was not run for it, but for an earlier one with its key.
REPLAYED: Final = (b"idempotent-replayed", b"true")


class WriteCoalescer(Protocol):
    """What a caller's connection offers for a head that goes out with its body."""

    def delay_next_write(self) -> None:
        """Keep the next write until another one or `flush_delayed`."""

    def flush_delayed(self) -> None:
        """Write what is kept still."""


class Caller:
    """The caller's side of one request: where an answer is written."""

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
    # The head of the answer was written.
    is_started: bool
    # A write waits for the caller to read.
    is_write_blocked: bool
    # Ask the caller to close the connection: this instance is stopping.
    should_close: bool

    def __init__(self, request_id: str, send: ASGISendCallable, coalescer: WriteCoalescer) -> None:
        self._send = send
        self._coalescer = coalescer
        self.request_id = request_id
        self.is_started = False
        self.is_write_blocked = False
        self.should_close = False

    async def write_head(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Write status and headers, together with the part of the body that comes next."""
        self.is_started = True
        if self.should_close:
            headers = [*headers, (b"connection", b"close")]
        self._coalescer.delay_next_write()
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def write_body(self, data: bytes, *, more: bool) -> None:
        """Write a part of the body, waiting for the caller to read what came before."""
        self.is_write_blocked = True
        try:
            await self._send({"type": "http.response.body", "body": data, "more_body": more})
        finally:
            self.is_write_blocked = False
            # An answer without a body writes none, and its head must go out all the same.
            self._coalescer.flush_delayed()

    async def write_problem(self, problem: Problem) -> None:
        """Write a whole problem answer."""
        await self.write_head(problem.status, problem.headers)
        await self.write_body(problem.body, more=False)


class Answer(Protocol):
    """What the exchange needs of any answer."""

    async def finish(self, account: Account) -> bool:
        """Write the end; False means that the connection must be cut instead."""


class TokenAnswer:
    """An answer made of an engine's token events."""

    __slots__ = ("_parts", "_whole", "caller")

    caller: Caller
    # Whole events received so far, over all attempts, in order.
    _parts: list[bytes]
    # An answer of the engine that is no stream: status, content type, body.
    _whole: tuple[int, bytes, bytes] | None

    def __init__(self, caller: Caller) -> None:
        self.caller = caller
        self._parts = []
        self._whole = None

    def restart_at(self, tokens: int) -> None:
        """Prepare for an attempt that goes on after so many tokens."""
        raise NotImplementedError

    def keep(self, events: bytes) -> None:
        """Take whole events."""
        self._parts.append(events)

    async def flush(self) -> None:
        """Pass on what was kept, where the caller wants it as it comes."""
        raise NotImplementedError

    def text(self, tokens: int) -> str:
        """Give the text of the first tokens."""
        return sse.text_of(self._parts, tokens)

    def whole(self, status: int, content_type: bytes, body: bytes) -> None:
        """Take an answer that is no stream, such as an engine's refusal of a bad request."""
        self._whole = (status, content_type, body)

    async def finish(self, account: Account) -> bool:
        """Write the end."""
        raise NotImplementedError

    async def _finish_whole(self, account: Account, whole: tuple[int, bytes, bytes]) -> None:
        status, content_type, body = whole
        headers = [
            (b"content-type", content_type or b"application/octet-stream"),
            (b"content-length", b"%d" % len(body)),
            *account_headers(account.request_id, account.outcome),
        ]
        await self.caller.write_head(status, headers)
        await self.caller.write_body(body, more=False)


class StreamAnswer(TokenAnswer):
    """Passes tokens on as they come."""

    __slots__ = ("_flushed",)

    # How many of the parts were written.
    _flushed: int

    def __init__(self, caller: Caller) -> None:
        super().__init__(caller)
        self._flushed = 0

    def restart_at(self, tokens: int) -> None:
        """Go on: what the caller was sent cannot be taken back."""

    async def flush(self) -> None:
        """Write the events that were not written yet."""
        caller = self.caller
        if not caller.is_started:
            await caller.write_head(200, self._head())
        parts = self._parts
        while self._flushed < len(parts):
            await caller.write_body(parts[self._flushed], more=True)
            self._flushed += 1

    def _head(self) -> list[tuple[bytes, bytes]]:
        request_id, _ = account_headers(self.caller.request_id, Outcome.COMPLETED)
        return [
            (b"content-type", _EVENT_STREAM),
            _NO_CACHE,
            request_id,
            (b"turmericweir-outcome", IN_STREAM),
        ]

    async def finish(self, account: Account) -> bool:
        """Write the outcome event, and [DONE] only where the answer is whole."""
        completed = account.outcome is Outcome.COMPLETED
        if completed and self._whole is not None:
            await self._finish_whole(account, self._whole)
            return True
        if not completed and not self.caller.is_started:
            await self.caller.write_problem(problem_of_account(account))
            return True
        await self.flush()
        # The outcome comes before [DONE], where many clients stop reading.
        end = outcome_event(account) + (sse.DONE if completed else b"")
        await self.caller.write_body(end, more=False)
        return True


class WholeAnswer(TokenAnswer):
    """Gathers tokens to one JSON answer."""

    __slots__ = ("prompt_tokens",)

    # For the usage in the answer.
    prompt_tokens: int

    def __init__(self, caller: Caller, prompt_tokens: int) -> None:
        super().__init__(caller)
        self.prompt_tokens = prompt_tokens

    def restart_at(self, tokens: int) -> None:
        """Forget what came after the tokens from which the next attempt goes on."""
        events = list(sse.data_events(self._parts)) if tokens else []
        self._parts = events[:tokens]

    async def flush(self) -> None:
        """Write nothing before the end."""

    async def finish(self, account: Account) -> bool:
        """Write the whole answer, or the problem."""
        if account.outcome is not Outcome.COMPLETED:
            await self.caller.write_problem(problem_of_account(account))
        elif self._whole is not None:
            await self._finish_whole(account, self._whole)
        else:
            value = sse.aggregate(self._parts, account.request_id, self.prompt_tokens)
            body = orjson.dumps(value)
            await self._finish_whole(account, (200, b"application/json", body))
        return True


class PlainAnswer:
    """Passes a plain service's answer on."""

    __slots__ = (
        "_headers",
        "_keep_max",
        "_kept",
        "_length",
        "_received",
        "_status",
        "_unsent",
        "caller",
    )

    caller: Caller
    _status: int
    _headers: list[tuple[bytes, bytes]]
    # Length of the body as the service announced it, or None.
    _length: int | None
    _received: int
    # Bytes that were kept and not written yet.
    _unsent: bytes
    # Bodies up to this length are kept whole for a caller who sends the same key again.
    _keep_max: int
    _kept: bytes

    def __init__(self, caller: Caller, keep_max: int = 0) -> None:
        self.caller = caller
        self._keep_max = keep_max
        self.begin(0, ())

    def begin(self, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Take status and headers of an attempt's answer."""
        self._status = status
        if status in _WITHOUT_BODY:
            # Its length is that of the answer with a body, which will not come.
            headers = tuple(each for each in headers if each[0] != b"content-length")
        self._headers = list(headers)
        self._length = _content_length(headers)
        self._received = 0
        self._unsent = b""
        self._kept = b""

    def keep(self, data: bytes) -> None:
        """Take a part of the body."""
        self._received += len(data)
        self._unsent += data
        if self._received <= self._keep_max:
            self._kept += data

    def kept(self) -> KeptAnswer | None:
        """Give the whole answer, where it is to be kept and small enough."""
        if not self._keep_max or self._received > self._keep_max:
            return None
        return KeptAnswer(self._status, tuple(self._headers), self._kept)

    def replay(self, effect: ReplayAnswer) -> None:
        """Take the answer of an earlier call in place of one of a server."""
        self.begin(effect.status, (*effect.headers, REPLAYED))
        self.keep(effect.body)

    @property
    def is_whole(self) -> bool:
        """Whether all of the announced length has come."""
        return self._received == self._length

    async def flush(self) -> None:
        """Write what was kept, with the head before the first part."""
        data = self._unsent
        if data:
            await self._start()
            await self.caller.write_body(data, more=True)
            self._unsent = b""

    async def _start(self) -> None:
        if self.caller.is_started:
            return
        # Said before the end: a cut after this closes the connection uncleanly, so the caller
        # never takes the part for a whole answer.
        named = account_headers(self.caller.request_id, Outcome.COMPLETED)
        await self.caller.write_head(self._status, [*self._headers, *named])

    async def finish(self, account: Account) -> bool:
        """Write the rest, or the problem, or ask for the connection to be cut."""
        if account.outcome is Outcome.COMPLETED:
            await self._start()
            await self.caller.write_body(self._unsent, more=False)
            return True
        if self.caller.is_started:
            return False
        await self.caller.write_problem(problem_of_account(account))
        return True


def _content_length(headers: tuple[tuple[bytes, bytes], ...]) -> int | None:
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return None


def outcome_event(account: Account) -> bytes:
    """Build the event that tells a streamed request's outcome."""
    value = {
        "outcome": account.outcome.value,
        "reason": account.reason.value,
        "request_id": account.request_id,
        "detail": account.detail,
    }
    return OUTCOME_EVENT + orjson.dumps(value) + sse.END
