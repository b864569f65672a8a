"""Forward a caller's request to a server as it is, and pass the server's answer on as it is.

The method, the path and the body stay what the caller sent; headers are translated by the wire. The
end of an attempt says what is proven: nothing was written, the server itself says that it did not
run the request, the whole answer came, or anything else, which proves nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, assert_never

import anyio
import httpcore

from turmericweir.answers.forward_answer import ForwardAnswer
from turmericweir.answers.forward_events import EventCutter, count_events
from turmericweir.answers.forward_wire import ForwardCall, Headers, NotRun, Passable, Spoiled, Wire
from turmericweir.servers.backend_attempt import Attempt, connects, read_tail
from turmericweir.servers.backend_call import body_of, lower_headers
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptProgress,
    EndBroken,
    EndComplete,
    EndRefused,
    EndServerError,
)

if TYPE_CHECKING:
    from turmericweir.process.node import Node
    from turmericweir.servers.backend_pool import BackendPool

# Answers that are no streams are kept whole up to this size, so that one which breaks off can be
# had from another server; longer ones are passed on as they come.
HOLD_MAX: Final = 262_144
_SUCCESS: Final = range(200, 300)
_SERVER_FAULT: Final = 500


class ForwardJob:
    """A request that is forwarded."""

    __slots__ = ("_call", "_request", "_wire", "answer")

    answer: ForwardAnswer
    _call: ForwardCall
    _request: Request
    _wire: Wire

    def __init__(
        self, call: ForwardCall, request: Request, wire: Wire, answer: ForwardAnswer
    ) -> None:
        self._call = call
        self._request = request
        self._wire = wire
        self.answer = answer

    def attempt(self, node: Node, pool: BackendPool, start: StartAttempt) -> ForwardAttempt:
        """Make an attempt on a server."""
        return ForwardAttempt(node, pool, start, self)

    async def cancelled(self, pool: BackendPool, start: StartAttempt) -> None:
        """Do nothing more: the connection was closed, and servers take that for a cancel."""

    def tokens(self, attempt: object) -> int:
        """Count the events that an attempt has received."""
        return attempt.events if isinstance(attempt, ForwardAttempt) else 0


class ForwardAttempt:
    """One attempt on one server."""

    __slots__ = ("_attempt", "_call", "_job", "_node", "_start", "events")

    _node: Node
    _start: StartAttempt
    _attempt: Attempt
    _job: ForwardJob
    _call: ForwardCall
    # Events received in this attempt.
    events: int

    def __init__(self, node: Node, pool: BackendPool, start: StartAttempt, job: ForwardJob) -> None:
        self._node = node
        self._start = start
        self._attempt = Attempt(node, pool, start, connects)
        self._job = job
        self._call = job._call
        self.events = 0

    @property
    def sent(self) -> bool:
        """Whether the server may have begun."""
        return self._attempt.sent

    @property
    def broke(self) -> str:
        """How the connection was lost; empty while it was not."""
        return self._attempt.broke

    async def run(self) -> AttemptEnd:
        """Run the attempt to its end."""
        return await self._attempt.run(self._make_request, self._consume)

    def _make_request(self) -> httpcore.Request:
        call = self._call
        job = self._job
        left_s = max(0.001, job._request.deadline - anyio.current_time())
        headers = job._wire.server_headers(call, self._start, left_s, job.answer.last_event)
        if call.body:
            headers.append((b"content-length", b"%d" % len(call.body)))
        host, _, port = self._start.address.rpartition(":")
        url = httpcore.URL(
            scheme=b"http", host=host.encode("ascii"), port=int(port), target=call.target
        )
        request = httpcore.Request(call.method, url, content=call.body)
        # Set afterwards: the constructor would convert each name and value, and add to them.
        request.headers = headers
        return request

    async def _consume(self, response: httpcore.Response) -> AttemptEnd:
        headers = lower_headers(response)
        verdict = self._job._wire.judge(self._call, response.status, headers)
        match verdict:
            case NotRun(leaving):
                await read_tail(response)
                return EndRefused(response.status, leaving)
            case Spoiled(error):
                self._node.count("attempt.spoiled")
                return EndBroken(error, server_alive=True)
            case Passable():
                lower = [(name.lower(), value) for name, value in response.headers]
                if self._call.streamed and response.status in _SUCCESS:
                    return await self._pass_stream(response, lower)
                return await self._take_whole(response, lower)
            case unreachable:
                assert_never(unreachable)

    async def _pass_stream(self, response: httpcore.Response, headers: Headers) -> AttemptEnd:
        answer = self._job.answer
        answer.begin(response.status, headers)
        cutter = EventCutter(answer.last_event) if self._call.resumable else None
        async for chunk in body_of(response):
            if cutter is None:
                data, events = chunk, count_events(chunk)
            else:
                try:
                    data, events = cutter.take(chunk)
                except ValueError as exc:
                    return EndBroken(str(exc), server_alive=True)
                answer.last_event = cutter.last_event
            answer.keep(data)
            if events:
                self._progress(events)
            await answer.flush()
        if cutter is not None and cutter.has_rest:
            return EndBroken("the stream ended within an event", server_alive=True)
        return EndComplete(response.status)

    def _progress(self, events: int) -> None:
        self.events += events
        start = self._start
        self._node.handle(AttemptProgress(start.request_id, start.attempt_id, events))

    async def _take_whole(self, response: httpcore.Response, headers: Headers) -> AttemptEnd:
        answer = self._job.answer
        answer.begin(response.status, headers)
        body = b""
        async for chunk in body_of(response):
            body += chunk
            if len(body) > HOLD_MAX:
                # From here on there is no second try.
                self._progress(1)
                answer.keep(body)
                body = b""
                await answer.flush()
        if response.status >= _SERVER_FAULT and self._job._request.repeatable:
            answer.fail(response.status, headers, body)
            return EndServerError(response.status)
        answer.keep(body)
        return EndComplete(response.status)
