"""The protocol of model engines: run, cancel and resume completions.

An engine always streams to the daemon. The hot path handles one network chunk: it splits off the
complete events, counts them, sends them on and reports them to the reducer. It parses nothing and
creates no task or timer. The reducer detects unresponsive streams and cancels their attempts.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Final

import anyio
import httpcore
import orjson

from turmericweir.answers import sse
from turmericweir.process.errors import CallError
from turmericweir.servers.answer_size import AnswerTooLargeError
from turmericweir.servers.backend_attempt import (
    PRIORITY,
    TAIL_TIMEOUT_S,
    Attempt,
    attempt_headers,
    read_tail,
)
from turmericweir.servers.backend_call import (
    TRANSPORT_ERRORS,
    body_of,
    call,
    lower_headers,
    read_body,
)
from turmericweir.servers.backend_pool import BackendPool, make_request
from turmericweir.servers.load_check import make_load_check
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    AnswerForm,
    AttemptEnd,
    AttemptProgress,
    EndBroken,
    EndComplete,
    EndServerError,
)

if TYPE_CHECKING:
    from turmericweir.answers.caller_answer import TokenAnswer
    from turmericweir.process.node import Node

_PATH: Final = b"/v1/chat/completions"
_HEADERS: Final = [(b"content-type", b"application/json"), (b"accept", b"text/event-stream")]
_EVENT_STREAM: Final = b"text/event-stream"
_BODY_MAX_BYTES: Final = 1_048_576
_CANCEL_TIMEOUT_S: Final = 1.0


class EngineAttempt:
    """One attempt to run a completion on an engine."""

    __slots__ = ("_answer", "_attempt", "_body", "_node", "_start", "tokens")

    _node: Node
    _start: StartAttempt
    _attempt: Attempt
    _answer: TokenAnswer
    # The caller's JSON with `stream` set to true.
    _body: bytes
    # Tokens received in this attempt.
    tokens: int

    def __init__(
        self, node: Node, pool: BackendPool, start: StartAttempt, body: bytes, answer: TokenAnswer
    ) -> None:
        self._node = node
        self._start = start
        self._attempt = Attempt(node, pool, start)
        self._answer = answer
        self._body = body
        self.tokens = 0

    @property
    def may_have_started(self) -> bool:
        """Return whether the engine may have started the request."""
        return self._attempt.may_have_started

    @property
    def connection_error(self) -> str:
        """Return the error that broke the connection; empty if it did not break."""
        return self._attempt.connection_error

    @property
    def answer_form(self) -> AnswerForm | None:
        """Return how the server's answer was framed and ended; None if none began."""
        return self._attempt.answer.form

    async def run(self) -> AttemptEnd:
        """Run the attempt to its end."""
        start = self._start
        self._answer.prepare_resume(start.resume_from)
        body = self._body
        if start.resume_from > 0:
            body = _with_resume(
                body, start.resume_from, self._answer.first_tokens_text(start.resume_from)
            )
        headers = [*_HEADERS, *attempt_headers(start), (PRIORITY, b"%d" % start.priority)]
        request = make_request(b"POST", start.address, _PATH, headers, body)
        return await self._attempt.run(
            lambda: request,
            self._consume,
            make_status_check=lambda: make_load_check(self._node.state, start.server),
        )

    async def _consume(self, response: httpcore.Response) -> AttemptEnd:
        headers = lower_headers(response)
        refusal = await self._attempt.read_refusal(response, headers)
        if refusal is not None:
            return refusal
        status = response.status
        if status >= 500:
            await read_tail(response)
            return EndServerError(status)
        content_type = headers.get(b"content-type", b"")
        is_stream = status == 200 and content_type.startswith(_EVENT_STREAM)
        is_required = is_stream or not self._attempt.is_identified(has_id=False)
        if not self._attempt.is_matching_answer(headers, required=is_required):
            return EndBroken("the answer belongs to another attempt", server_alive=True)
        if is_stream:
            return await self._stream(response)
        if self._answer.caller.is_started:
            # The caller has the beginning of a stream.
            error = f"the stream goes on with no stream (status {status})"
            return EndBroken(error, server_alive=True, is_malformed=True)
        body = await read_body(response, _BODY_MAX_BYTES)
        end = await self._attempt.end_answer(status)
        if isinstance(end, EndComplete):
            self._answer.set_unstreamed_answer(status, content_type, body)
        return end

    async def _stream(self, response: httpcore.Response) -> AttemptEnd:
        event_max_bytes = self._node.answer_bounds.event_bytes
        partial = b""
        chunks = body_of(response)
        async for chunk in chunks:
            events, partial = sse.split_complete_events(partial + chunk if partial else chunk)
            if events:
                before_error = sse.events_before_error(events)
                if before_error is not None:
                    await self._deliver(before_error)
                    return EndBroken("the engine reported an error", server_alive=True)
                if events.endswith(sse.DONE):
                    await self._deliver(events[: -len(sse.DONE)])
                    await _read_end(chunks)
                    return EndComplete(response.status)
                await self._deliver(events)
            elif len(partial) > event_max_bytes:
                raise AnswerTooLargeError(f"an event exceeds {event_max_bytes} bytes")
        return await self._attempt.classify_loss("the stream ended without [DONE]")

    async def _deliver(self, events: bytes) -> None:
        tokens = sse.count_data_events(events)
        if tokens:
            self.tokens += tokens
            start = self._start
            # Stored before the reducer counts the tokens as delivered. Prevents a retry that
            # resumes after these tokens from missing them.
            self._answer.buffer_events(events)
            self._node.handle(AttemptProgress(start.request_id, start.attempt_id, tokens))
            await self._answer.flush()


async def _read_end(chunks: AsyncIterator[bytes]) -> None:
    """Read the end of the body after [DONE] to make the connection reusable."""
    with anyio.move_on_after(TAIL_TIMEOUT_S):
        try:
            await anext(chunks, None)
        except TRANSPORT_ERRORS:
            return


def _with_resume(body: bytes, from_token: int, text: str) -> bytes:
    value = orjson.loads(body)
    value["resume"] = {"from_token": from_token, "text": text}
    return orjson.dumps(value)


async def cancel_at_engine(pool: BackendPool, start: StartAttempt) -> None:
    """Ask an engine to stop an attempt; ignore errors, since the connection is closed as well.

    Uses a new connection, since pooled ones may be unresponsive like that of the attempt.
    """
    value = {"request_id": start.request_id, "attempt_id": start.attempt_id}
    try:
        await call(
            pool,
            b"POST",
            start.address,
            "/v1/cancel",
            value=value,
            timeout_s=_CANCEL_TIMEOUT_S,
            needs_new_connection=True,
        )
    except CallError:
        return
