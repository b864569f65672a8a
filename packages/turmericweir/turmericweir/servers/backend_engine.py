"""The protocol of model engines: completions, cancelling and resuming them.

An engine always streams to the daemon. The hot path is one chunk from the network: whole events are
cut off, counted and passed on, with one event for the reducer; nothing is parsed, no task and no
timer is made. A stream that goes silent is noticed by the reducer, which orders a cancel.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Final

import anyio
import httpcore
import orjson

from turmericweir.answers import sse
from turmericweir.process.errors import CallError
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
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
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
# An event that grows beyond this is no token, and would fill the memory.
_EVENT_MAX: Final = 1_048_576
_WHOLE_MAX: Final = 1_048_576
_CANCEL_TIMEOUT_S: Final = 1.0


class EngineAttempt:
    """One attempt of a completion on an engine."""

    __slots__ = ("_answer", "_attempt", "_body", "_node", "_start", "tokens")

    _node: Node
    _start: StartAttempt
    _attempt: Attempt
    _answer: TokenAnswer
    # The caller's JSON, with `stream` forced.
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
    def sent(self) -> bool:
        """Whether the engine may have begun."""
        return self._attempt.sent

    @property
    def broke(self) -> str:
        """How the connection was lost; empty while it was not."""
        return self._attempt.broke

    async def run(self) -> AttemptEnd:
        """Run the attempt to its end."""
        start = self._start
        self._answer.restart_at(start.resume_from)
        body = self._body
        if start.resume_from > 0:
            body = _with_resume(body, start.resume_from, self._answer.text(start.resume_from))
        headers = [*_HEADERS, *attempt_headers(start), (PRIORITY, b"%d" % start.priority)]
        request = make_request(b"POST", start.address, _PATH, headers, body)
        return await self._attempt.run(lambda: request, self._consume)

    async def _consume(self, response: httpcore.Response) -> AttemptEnd:
        headers = lower_headers(response)
        refusal = await self._attempt.refusal(response, headers)
        if refusal is not None:
            return refusal
        status = response.status
        if status >= 500:
            await read_tail(response)
            return EndServerError(status)
        content_type = headers.get(b"content-type", b"")
        streams = status == 200 and content_type.startswith(_EVENT_STREAM)
        if not self._attempt.is_ours(headers, required=streams):
            return EndBroken("the answer is of another attempt", server_alive=True)
        if streams:
            return await self._stream(response)
        self._answer.whole(status, content_type, await read_body(response, _WHOLE_MAX))
        return EndComplete(status)

    async def _stream(self, response: httpcore.Response) -> AttemptEnd:
        partial = b""
        chunks = body_of(response)
        async for chunk in chunks:
            whole, partial = sse.split_whole(partial + chunk if partial else chunk)
            if whole:
                before_error = sse.cut_at_error(whole)
                if before_error is not None:
                    await self._pass_on(before_error)
                    return EndBroken("the engine reported an error", server_alive=True)
                if whole.endswith(sse.DONE):
                    await self._pass_on(whole[: -len(sse.DONE)])
                    await _read_end(chunks)
                    return EndComplete(response.status)
                await self._pass_on(whole)
            elif len(partial) > _EVENT_MAX:
                return EndBroken("an event does not end", server_alive=True)
        return await self._attempt.lost("the stream ended without [DONE]")

    async def _pass_on(self, whole: bytes) -> None:
        tokens = sse.count_data(whole)
        if tokens:
            self.tokens += tokens
            start = self._start
            # Kept for the caller before the reducer counts it as delivered: a retry that the
            # reducer resumes after these tokens must not find them missing.
            self._answer.keep(whole)
            self._node.handle(AttemptProgress(start.request_id, start.attempt_id, tokens))
            await self._answer.flush()


async def _read_end(chunks: AsyncIterator[bytes]) -> None:
    """Read the end of the body after [DONE], so that the connection can be used again."""
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
    """Tell an engine to stop an attempt; best effort, since closing the connection says it too.

    Over a new connection: a kept one may have gone silent with the attempt's own, and the engine
    would go on generating for nobody.
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
            fresh=True,
        )
    except CallError:
        return
