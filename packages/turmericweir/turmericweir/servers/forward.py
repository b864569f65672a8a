"""Forward a caller's request to a server and return the server's answer, both unchanged.

The `WireAdapter` translates the headers; method, path and body stay the same. The end of an attempt
is one of four: nothing was written, the server reported that it did not run the request, the
complete answer was received, or the outcome is unknown.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Final, assert_never

import anyio
import httpcore
from msgspec.structs import replace

from turmericweir.answers.answer_record import STATUSES_WITHOUT_BODY
from turmericweir.answers.forward_answer import ForwardAnswer
from turmericweir.answers.forward_events import EventSplitter, EventTracker
from turmericweir.answers.forward_wire import (
    AnswerAccepted,
    AnswerNotRun,
    AnswerRejected,
    ForwardCall,
    Headers,
    WireAdapter,
)
from turmericweir.process import logs
from turmericweir.servers.answer_size import AnswerTooLargeError, BodyBound
from turmericweir.servers.backend_attempt import Attempt, acquire_any, can_connect
from turmericweir.servers.backend_call import body_of, lower_headers
from turmericweir.servers.server_identity import UnidentifiedError, acquire_identified
from turmericweir.servers.server_life import StatusCheck
from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    AnswerForm,
    AnswerReceived,
    AttemptEnd,
    AttemptProgress,
    EndBroken,
    EndComplete,
    EndServerError,
    EndUnsendable,
)

if TYPE_CHECKING:
    from turmericweir.process.node import Node
    from turmericweir.servers.backend_pool import BackendConnection, BackendPool, Via

# An answer that is not a stream is buffered up to this size, which allows a retry if its connection
# breaks. A longer one is sent to the caller as it arrives.
BUFFER_MAX_BYTES: Final = 262_144
_SUCCESS: Final = range(200, 300)
_SERVER_ERROR: Final = 500
_EVENT_STREAM: Final = b"text/event-stream"
_LENGTH: Final = b"content-length"


def _is_event_stream(status: int, headers: Mapping[bytes, bytes]) -> bool:
    """Return whether an answer is a stream of events; one without a type counts as such."""
    content_type = headers.get(b"content-type", _EVENT_STREAM)
    is_event_type = content_type.strip().lower().startswith(_EVENT_STREAM)
    return status in _SUCCESS and status not in STATUSES_WITHOUT_BODY and is_event_type


def _without_length(headers: Headers) -> Headers:
    return [each for each in headers if each[0] != _LENGTH]


class ForwardJob:
    """A forwarded request with its answer."""

    __slots__ = ("_attempt", "_call", "_request", "_wire", "answer")

    answer: ForwardAnswer
    _call: ForwardCall
    _request: Request
    _wire: WireAdapter
    # The running attempt.
    _attempt: ForwardAttempt | None

    def __init__(
        self, call: ForwardCall, request: Request, wire: WireAdapter, answer: ForwardAnswer
    ) -> None:
        self._call = call
        self._request = request
        self._wire = wire
        self.answer = answer
        self._attempt = None

    def make_attempt(self, node: Node, pool: BackendPool, start: StartAttempt) -> ForwardAttempt:
        """Return a new attempt on a server."""
        self._attempt = ForwardAttempt(node, pool, start, self)
        return self._attempt

    def forget_attempt(self, attempt: ForwardAttempt) -> None:
        """Forget an attempt that has ended.

        The attempt refers to the job. Prevents the body of a request that has ended from staying in
        memory until the garbage collector looks for cycles, which is rare.
        """
        if self._attempt is attempt:
            self._attempt = None

    @property
    def held_bytes(self) -> int:
        """The number of bytes held for the request and its answer."""
        held_bytes = len(self._call.body) + self.answer.held_bytes
        return held_bytes + (0 if self._attempt is None else self._attempt.held_bytes)

    async def on_attempt_cancelled(self, pool: BackendPool, start: StartAttempt) -> None:
        """Do nothing, since closing the connection cancels the request at the server."""

    def received_tokens(self, attempt: object) -> int:
        """Return the number of events that an attempt has received."""
        return attempt.events if isinstance(attempt, ForwardAttempt) else 0


class ForwardAttempt:
    """One attempt to run the request on one server."""

    __slots__ = ("_attempt", "_buffered_bytes", "_call", "_job", "_node", "_start", "events")

    _node: Node
    _start: StartAttempt
    _attempt: Attempt
    _job: ForwardJob
    _call: ForwardCall
    # Bytes of the answer that are not complete enough to be passed on.
    _buffered_bytes: int
    # Events received in this attempt.
    events: int

    def __init__(self, node: Node, pool: BackendPool, start: StartAttempt, job: ForwardJob) -> None:
        self._node = node
        self._start = start
        self._job = job
        self._attempt = Attempt(node, pool, start, can_connect)
        self._call = job._call
        self._buffered_bytes = 0
        self.events = 0

    def _make_status_check(self) -> StatusCheck:
        server = self._node.state.servers.by_name.get(self._start.server)
        if server is None:
            return StatusCheck(b"")
        wire, incarnation = self._job._wire, server.entry.incarnation
        if incarnation and server.service.kind is ServiceKind.MODEL:
            # Takes no slot of the engine, unlike its health check.
            return StatusCheck(
                wire.report_path,
                names_other=lambda answer: wire.read_incarnation(answer.body)
                not in ("", incarnation),
                names_start=lambda answer: wire.read_incarnation(answer.body) == incarnation,
            )
        name = self._start.server
        return StatusCheck(
            server.service.health_path.encode(),
            names_other=lambda answer: wire.read_server_name(answer.headers) not in ("", name),
            # Where entries name no incarnation, every start of a server has a name of its own.
            names_server=lambda answer: not incarnation
            and wire.read_server_name(answer.headers) == name,
        )

    @property
    def held_bytes(self) -> int:
        """The number of bytes held of the answer, and of the request until the server reads it."""
        return self._buffered_bytes + self._attempt.held_bytes

    @property
    def may_have_started(self) -> bool:
        """Return whether the server may have started the request."""
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
        try:
            if not self._job.answer.can_be_joined():
                return EndUnsendable(
                    "the caller has a part of an answer without ids to go on after"
                )
            end = await self._attempt.run(
                self._make_request,
                self._consume,
                self._is_expired,
                self._make_status_check,
                self._acquire,
            )
            if isinstance(end, EndBroken) and not self._job.answer.can_be_joined():
                return replace(end, is_final=True)
            return end
        finally:
            self._job.forget_attempt(self)

    async def _acquire(
        self, pool: BackendPool, address: str, *, idle_max_s: float, via: Via | None
    ) -> BackendConnection:
        if not self._start.needs_identity:
            return await acquire_any(pool, address, idle_max_s=idle_max_s, via=via)
        wire = self._job._wire
        try:
            return await acquire_identified(
                pool,
                address,
                idle_max_s=idle_max_s,
                via=via,
                report_path=wire.report_path,
                read_incarnation=wire.read_incarnation,
                is_required=self._start.is_bound,
            )
        except UnidentifiedError as exc:
            self._log_unidentified(exc)
            if self._start.is_bound:
                raise
        # A stream may begin at any start; nobody goes on with it then.
        return await acquire_any(pool, address, idle_max_s=0.0, via=via)

    def _log_unidentified(self, error: UnidentifiedError) -> None:
        start = self._start
        logs.write(
            "server_unidentified",
            request_id=start.request_id,
            attempt_id=start.attempt_id,
            peer=start.server,
            error=str(error),
        )

    def _is_expired(self) -> bool:
        """Return whether nobody waits for the beginning of the answer any more."""
        req, now = self._job._request, anyio.current_time()
        has_begun = req.first_token_at is not None
        return (now > req.deadline and not has_begun) or (
            req.end_by is not None and now >= req.end_by
        )

    def _make_request(self) -> httpcore.Request:
        call = self._call
        job = self._job
        remaining_s = max(0.001, job._request.deadline - anyio.current_time())
        headers = job._wire.server_headers(call, self._start, remaining_s, job.answer.last_event_id)
        if call.body:
            headers.append((b"content-length", b"%d" % len(call.body)))
        host, _, port = self._start.address.rpartition(":")
        url = httpcore.URL(
            scheme=b"http", host=host.encode("ascii"), port=int(port), target=call.target
        )
        request = httpcore.Request(call.method, url, content=call.body)
        # Set here, since the constructor would convert each name and value, and add headers.
        request.headers = headers
        return request

    async def _consume(self, response: httpcore.Response) -> AttemptEnd:
        headers = lower_headers(response)
        verdict = self._job._wire.judge_answer(self._call, response.status, headers)
        match verdict:
            case AnswerNotRun(leaving, has_id):
                if self._attempt.is_identified(has_id=has_id):
                    self._report_notice(response.status, headers)
                return await self._attempt.end_refused(response, leaving, has_id=has_id)
            case AnswerRejected(error):
                self._report_notice(response.status, headers)
                self._node.count("attempt.spoiled")
                return EndBroken(error, server_alive=True, is_malformed=True)
            case AnswerAccepted():
                self._report_notice(response.status, headers)
                is_stream = self._call.streamed and _is_event_stream(response.status, headers)
                if not self._job.answer.can_go_on(is_stream=is_stream):
                    return self._reject_continuation(response.status)
                response_headers = [(name.lower(), value) for name, value in response.headers]
                if is_stream:
                    return await self._deliver_stream(response, response_headers)
                return await self._deliver_body(response, response_headers)
            case unreachable:
                assert_never(unreachable)

    def _reject_continuation(self, status: int) -> AttemptEnd:
        """Return the end of an attempt whose answer cannot follow what the caller has."""
        if status >= _SERVER_ERROR:
            return EndServerError(status)
        self._node.count("attempt.spoiled")
        error = f"the stream goes on with no stream (status {status})"
        return EndBroken(error, server_alive=True, is_malformed=True)

    def _report_notice(self, status: int, headers: Mapping[bytes, bytes]) -> None:
        start = self._start
        notice = self._job._wire.read_notice(self._call, status, headers)
        if notice is None:
            return
        if notice.limit_error:
            self._node.count("attempt.notice_unreadable")
            logs.write("notice_unreadable", peer=start.server, error=notice.limit_error)
        self._node.handle(
            AnswerReceived(
                start.request_id,
                start.attempt_id,
                notice.limit_s,
                is_leaving=notice.is_leaving,
                pause_s=notice.pause_s,
                borne_refusals_s=notice.borne_refusals_s,
                is_limit_readable=not notice.limit_error,
            )
        )

    async def _deliver_stream(self, response: httpcore.Response, headers: Headers) -> AttemptEnd:
        answer = self._job.answer
        # A caller that has as many bytes as announced would take a broken stream for complete.
        answer.begin_answer(response.status, _without_length(headers))
        splitter = None
        if self._call.resumable:
            splitter = EventSplitter(answer.last_event_id, answer.events_after_id)
        tracker = EventTracker()
        event_max_bytes = self._node.answer_bounds.event_bytes
        try:
            async for chunk in body_of(response):
                events = tracker.count_ends(chunk)
                if tracker.open_bytes > event_max_bytes:
                    raise AnswerTooLargeError(f"an event exceeds {event_max_bytes} bytes")
                self._buffered_bytes = 0 if splitter is None else tracker.open_bytes
                data = chunk
                if splitter is not None:
                    data, events = splitter.split_chunk(chunk)
                    answer.last_event_id = splitter.last_event_id
                    answer.events_after_id = splitter.events_after_id
                answer.buffer_body(data)
                if events:
                    self._report_progress(events)
                await answer.flush()
        finally:
            self._attempt.answer.is_event_open = tracker.is_event_open
        if tracker.is_event_open:
            return await self._attempt.classify_loss("the stream ended within an event")
        if not self.events and not self._attempt.answer.is_framed:
            return await self._attempt.classify_loss("the stream ended before its first event")
        if splitter is not None:
            answer.buffer_body(splitter.take_rest())
        return await self._attempt.end_answer(response.status)

    def _report_progress(self, events: int) -> None:
        self.events += events
        start = self._start
        self._node.handle(AttemptProgress(start.request_id, start.attempt_id, events))

    async def _deliver_body(self, response: httpcore.Response, headers: Headers) -> AttemptEnd:
        answer = self._job.answer
        if response.status in STATUSES_WITHOUT_BODY or not self._attempt.answer.is_sized:
            # Announces the length of another answer, or does not count beside chunks.
            headers = _without_length(headers)
        answer.begin_answer(response.status, headers)
        bounds = self._node.answer_bounds
        bound = BodyBound(bounds, response.status, is_sized=self._attempt.answer.is_sized)
        body = b""
        async for chunk in body_of(response):
            bound.add(len(chunk))
            body += chunk
            self._buffered_bytes = len(body)
            if len(body) > BUFFER_MAX_BYTES:
                # Reports that the caller receives a part, which rules out a retry.
                self._report_progress(1)
                answer.buffer_body(body)
                body = b""
                self._buffered_bytes = 0
                await answer.flush()
        self._buffered_bytes = 0
        if response.status >= _SERVER_ERROR and self._job._request.repeatable:
            answer.store_error_answer(response.status, headers, body)
            return EndServerError(response.status)
        end = await self._attempt.end_answer(response.status)
        if isinstance(end, EndComplete):
            answer.buffer_body(body)
        return end
