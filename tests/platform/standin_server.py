"""A stand-in for the platform's servers, with modes in which it misbehaves."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import unquote

from tests.platform.standin_answers import AnswerForm, chunk, write_answer
from tests.platform.standin_endless import EndlessAnswer
from tests.platform.standin_http import Call, encode_head

SIGNATURE = "3e1b.07"
SIGNED = "X-Server-Signature"
HEALTH_PATH = "/healthz"
REPORT_PATH = "/api/report"
# Time for which a server that fell over resets all connections.
FALL_S = 3.0
# Time from the arrival of a request to the crash that a part of its prompt causes.
CRASH_DELAY_S = 0.05
PARTS = "x-prefix-hash"
# The length of the body in mode "large".
LARGE_BODY_BYTES = 12_000_000


@dataclass(slots=True)
class ReceivedRequest:
    """A request as received by a server."""

    server: str
    path: str
    headers: dict[str, str]
    body: bytes
    # False if the server refused it.
    was_run: bool
    # Number of requests received earlier on the connection.
    earlier_requests: int = 0
    # The version of the server's software then.
    version: str = ""
    # "complete", "reset" by the server, "abandoned" by the caller, or "" while it runs.
    outcome: str = ""
    received_at: float = field(default_factory=time.monotonic)

    @property
    def attempt_id(self) -> str:
        """The ID that the request bears."""
        return self.headers.get("x-attempt-id", "")


@dataclass(slots=True)
class Server:
    """A server of one service; `mode` selects how it treats the next requests."""

    name: str
    is_streaming: bool
    address: str = ""
    # "" for correct answers, or one of the modes in `handle`.
    mode: str = ""
    # The status of refusals in the modes "extra_refusal" and "refuse_once".
    extra_status: int = 503
    # The requests that came in the modes of `ONCE_MODES`, and the connection of each first arrival.
    first_connections: dict[str, asyncio.StreamWriter] = field(default_factory=dict)
    # The status and the type of its answers to requests that take up a stream; 0 for streams.
    resumed_status: int = 0
    resumed_type: str = ""
    # Number of requests to which the mode applies; negative for all.
    mode_requests: int = -1
    # The version of its software, which its events name; empty for events that name none.
    version: str = ""
    event_count: int = 6
    has_event_ids: bool = True
    # The ids of its events by their numbers, where they are not the numbers.
    event_ids: dict[int, bytes] = field(default_factory=dict)
    event_interval_s: float = 0.0
    # Whether a connection carries other requests after a stream.
    keeps_streams: bool = False
    # How long after a stream its connection is closed, unannounced, unless it carries another one
    # then; None to keep it.
    closes_after_s: float | None = None
    # Connections on which a stream is being written.
    busy_connections: set[asyncio.StreamWriter] = field(default_factory=set)
    # Replaces its answers by one without an end; None for answers that end.
    endless: EndlessAnswer | None = None
    # In every answer to a request.
    more_headers: dict[str, str] = field(default_factory=dict)
    # Written to health checks and requests for reports.
    endless_check: EndlessAnswer | None = None
    # Requests per second that it names in its answers; empty for no limit.
    limit: str = ""
    # Whether it says in its answers that it is leaving.
    is_leaving: bool = False
    # The seconds for which it wants no requests after a refusal; empty for none.
    pause: str = ""
    # The refusals a second that it bears, as it says in its answers; empty if it is not brittle.
    brittle: str = ""
    # Requests that it takes at once; it refuses others. 0 for no bound.
    room: int = 0
    # How long it works on a plain request.
    work_s: float = 0.0
    # Requests at work, when requests were refused for want of room, and how often it fell over.
    running: int = 0
    # The most requests that were at work at once.
    most_running: int = 0
    refused_at: list[float] = field(default_factory=list)
    falls: int = 0
    down_until: float = 0.0
    # A request body that crashes the server.
    crash_body: bytes = b""
    # A part of a prompt that crashes the server when it begins to write, unless it is the last.
    crash_part: str = ""
    # When requests with that part arrived.
    crash_part_at: list[float] = field(default_factory=list)
    # Closes the port of this server.
    close_port: Callable[[], Awaitable[None]] | None = None
    # Runs before the connection of an answer in a form that is broken off ends.
    before_end: Callable[[], Awaitable[None]] | None = None
    # The body of its plain answers in a form; empty for its name.
    plain_body: bytes = b""
    # The forms of its next answers; servers may share the list.
    forms: list[AnswerForm] = field(default_factory=list)
    received: list[ReceivedRequest] = field(default_factory=list)
    # When its process started, as its reports say; None if they say nothing of it.
    born: int | None = None
    # How it answers a request for its report: "" with its start, if it has one; "nameless" without;
    # "silent" not at all; "closes" and closes the connection.
    report_mode: str = ""
    # How long it takes to answer health checks and requests for its report.
    check_s: float = 0.0
    # Where it answers health checks, before that is percent-encoded.
    health_path: str = HEALTH_PATH
    # Health checks that it answered.
    health_checks: int = 0
    # Set to release streams that the mode "hold" has paused.
    release_held: asyncio.Event = field(default_factory=asyncio.Event)

    async def handle(self, call: Call) -> bool:
        """Answer one request, if there is room for it."""
        if time.monotonic() < self.down_until:
            call.reset()
            return False
        is_health_check = unquote(call.target) == unquote(self.health_path)
        is_check = is_health_check or call.path == REPORT_PATH
        if is_check and self.endless_check is not None:
            return await self.endless_check.write(call, {"X-Instance-Id": self.name})
        if is_check and self.check_s:
            await asyncio.sleep(self.check_s)
        if is_health_check:
            self.health_checks += 1
            await call.answer(503 if self.is_leaving else 200, b"", {"X-Instance-Id": self.name})
            return True
        if call.path == REPORT_PATH and self.is_streaming:
            return await self._answer_report(call)
        if self.room and self.running >= self.room:
            return await self._refuse_for_room(call)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await self._handle(call)
        finally:
            self.running -= 1

    async def _answer_report(self, call: Call) -> bool:
        if self.report_mode == "silent":
            await call.wait_closed()
            return False
        is_named = self.born is not None and self.report_mode != "nameless"
        born = {"born": self.born} if is_named else {}
        headers = {"Connection": "close"} if self.report_mode == "closes" else {}
        await call.answer(200, json.dumps({"seq": 1, **born}).encode(), headers)
        return self.report_mode != "closes"

    async def _refuse_for_room(self, call: Call) -> bool:
        """Refuse a request, and fall over after too many refusals in a second."""
        now = time.monotonic()
        self.refused_at = [each for each in self.refused_at if now - each < 1.0]
        self.refused_at.append(now)
        if self.brittle and len(self.refused_at) > int(self.brittle):
            self.falls += 1
            self.refused_at = []
            self.down_until = now + FALL_S
            call.reset()
            return False
        attempt_id = call.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": attempt_id, "X-Not-Executed": "1", **self._notices()}
        await call.answer(503, b"", headers)
        return True

    async def _handle(self, call: Call) -> bool:
        mode = self._take_mode()
        attempt_id = call.headers.get("x-attempt-id", "")
        request = ReceivedRequest(
            self.name,
            call.target,
            call.headers,
            call.body,
            True,
            call.earlier_requests,
            self.version,
        )
        self.received.append(request)
        notices = self._notices()
        answer_headers = {
            "X-Attempt-Id": attempt_id,
            SIGNED: SIGNATURE,
            **notices,
            **self.more_headers,
        }
        expected = call.headers.get("x-expect-instance")
        if expected != self.name or mode == "misdirected":
            request.was_run = False
            await call.answer(421, b"", {"X-Attempt-Id": attempt_id})
            return True
        if self.crash_body and call.body == self.crash_body and self.close_port is not None:
            request.outcome = "reset"
            call.reset()
            await self.close_port()
            return False
        if self._has_crash_part(call) and self.close_port is not None:
            self.crash_part_at.append(time.monotonic())
            await asyncio.sleep(CRASH_DELAY_S)
            request.outcome = "reset"
            await self.close_port()
            return False
        if self.endless is not None:
            return await self.endless.write(call, answer_headers)
        match mode:
            case "stale":
                # Models reused connections that silently drop everything.
                if call.earlier_requests:
                    request.was_run = False
                    await call.wait_closed()
                    return False
            case "extra_refusal" if call.earlier_requests:
                # Meant for no request, and without the ID of one.
                extra_headers = {"X-Not-Executed": "1", "Server-Limit": "1", "Server-Leaving": "1"}
                await call.answer(self.extra_status, b"", extra_headers)
            case "copies":
                refusal_headers = {"X-Attempt-Id": attempt_id, "X-Not-Executed": "1", **notices}
                if len(self.received) % 2 == 0:
                    request.was_run = False
                    await call.answer(503, b"", refusal_headers)
                    return True
                if call.sent_answers:
                    # An extra copy of an earlier answer on this connection.
                    await call.write(call.sent_answers[len(self.received) % len(call.sent_answers)])
            case "refuse_once" | "error_once" | "half_once":
                is_first = attempt_id not in self.first_connections
                connection = self.first_connections.setdefault(attempt_id, call.writer)
                if connection is call.writer:
                    # If it comes again there, this is an extra copy of the first answer.
                    await self._write_first_answer(call, mode, answer_headers)
                if is_first:
                    request.was_run = mode != "refuse_once"
                    return True
            case "shed":
                request.was_run = False
                refusal_headers = {"X-Attempt-Id": attempt_id, "X-Not-Executed": "1", **notices}
                if self.pause:
                    refusal_headers["Retry-After"] = self.pause
                await call.answer(503, b"", refusal_headers)
                return True
            case "false_promise":
                await call.answer(503, b"busy", answer_headers)
                return True
            case "error":
                await call.answer(500, b"failed", answer_headers)
                return True
            case "foreign":
                await call.answer(200, b"another's", {**answer_headers, "X-Attempt-Id": "another"})
                return True
            case "unsigned":
                await call.answer(200, b"bytes", {"X-Attempt-Id": attempt_id})
                return True
            case "encoded":
                await call.answer(200, b"bytes", {**answer_headers, "Content-Encoding": "gzip"})
                return True
            case "large":
                await call.answer(200, b"x" * LARGE_BODY_BYTES, answer_headers)
                await call.write(b"surplus")
                return True
            case "json":
                json_headers = {**answer_headers, "Content-Type": "application/json"}
                await call.answer(200, b'{"answer": 1}', json_headers)
                return True
            case "no_answer":
                await call.write(b"\x16\x03\x01 no answer\r\n\r\n")
                request.outcome = "reset"
                return False
            case "head_only":
                await call.write(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n")
                request.outcome = "reset"
                call.reset()
                return False
            case "lost":
                request.outcome = "reset"
                call.reset()
                return False
            case "mute":
                await call.wait_closed()
                request.outcome = "abandoned"
                return False
            case "extra":
                await call.answer(200, b"mine", answer_headers)
                await call.answer(200, b"extra", answer_headers)
                return True
            case _:
                pass
        if self.resumed_status and "last-event-id" in call.headers:
            type_headers = {"Content-Type": self.resumed_type} if self.resumed_type else {}
            await call.answer(self.resumed_status, b"odd", {**answer_headers, **type_headers})
            return True
        if self.forms:
            return await self._answer_in_form(call, answer_headers, request)
        if not self.is_streaming:
            return await self._answer_plain(call, answer_headers, mode, request)
        return await self._answer_stream(call, answer_headers, mode, request)

    async def _write_first_answer(
        self, call: Call, mode: str, answer_headers: dict[str, str]
    ) -> None:
        match mode:
            case "refuse_once":
                unsigned = {key: value for key, value in answer_headers.items() if key != SIGNED}
                headers = {**unsigned, "X-Not-Executed": "1"}
                await call.answer(self.extra_status, b"", headers)
            case "error_once":
                await call.answer(500, b"failed", answer_headers)
            case "half_once":
                # Complete by its framing, and ends in the middle of an event.
                lines = "".join(f"{name}: {value}\r\n" for name, value in answer_headers.items())
                start = f"HTTP/1.1 200 X\r\n{lines}Content-Type: text/event-stream\r\n"
                half = stream_of(self.event_count // 2, self.version) + b"id: "
                body = chunk(half) + chunk(b"")
                await call.write(f"{start}Transfer-Encoding: chunked\r\n\r\n".encode() + body)
            case _:
                raise AssertionError(mode)

    def _has_crash_part(self, call: Call) -> bool:
        parts = [each.partition(":")[0] for each in call.headers.get(PARTS, "").split(",")]
        return bool(self.crash_part) and self.crash_part in parts[:-1]

    def _notices(self) -> dict[str, str]:
        notices = {"Server-Limit": self.limit} if self.limit else {}
        if self.brittle:
            notices["Server-Brittle"] = self.brittle
        return {**notices, "Server-Leaving": "1"} if self.is_leaving else notices

    def _take_mode(self) -> str:
        if self.mode_requests == 0:
            return ""
        if self.mode_requests > 0:
            self.mode_requests -= 1
        return self.mode

    async def _answer_in_form(
        self, call: Call, answer_headers: dict[str, str], request: ReceivedRequest
    ) -> bool:
        parts = [self.plain_body] if self.plain_body else [b"by ", self.name.encode()]
        if self.is_streaming:
            answer_headers = {**answer_headers, "Content-Type": "text/event-stream"}
            numbers = range(self._last_number(call) + 1, self.event_count)
            parts = [self._event(number) for number in numbers]
        form = self.forms.pop(0)
        is_complete = await write_answer(call, form, answer_headers, parts, self.event_interval_s)
        request.outcome = "complete" if is_complete else "reset"
        if not is_complete and self.before_end is not None:
            await self.before_end()
        return False

    async def _answer_plain(
        self, call: Call, answer_headers: dict[str, str], mode: str, request: ReceivedRequest
    ) -> bool:
        if mode == "unframed":
            lines = "".join(f"{name}: {value}\r\n" for name, value in answer_headers.items())
            await call.write(f"HTTP/1.1 200 X\r\n{lines}\r\nwhole".encode())
            return False
        if mode == "short":
            lines = "".join(f"{name}: {value}\r\n" for name, value in answer_headers.items())
            await call.write(f"HTTP/1.1 200 X\r\n{lines}Content-Length: 9\r\n\r\nhalf".encode())
            request.outcome = "reset"
            return False
        if self.work_s:
            await asyncio.sleep(self.work_s)
        await call.answer(200, f"by {self.name}".encode(), answer_headers)
        request.outcome = "complete"
        return True

    async def _answer_stream(
        self, call: Call, answer_headers: dict[str, str], mode: str, request: ReceivedRequest
    ) -> bool:
        self.busy_connections.add(call.writer)
        lines = [f"{name}: {value}" for name, value in answer_headers.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        await call.write(encode_head(["HTTP/1.1 200 X", *lines]))
        caller_left = asyncio.create_task(call.wait_closed())
        try:
            is_whole = await self._write_events(call, caller_left, mode, request)
        finally:
            self.busy_connections.discard(call.writer)
            # Ends before the next request is read on the connection.
            caller_left.cancel()
            await asyncio.wait({caller_left})
        if not is_whole:
            return False
        await call.write(b"0\r\n\r\n")
        request.outcome = "complete"
        if self.closes_after_s is not None:
            asyncio.get_running_loop().call_later(self.closes_after_s, self._close_idle, call)
            return True
        return self.keeps_streams

    def _close_idle(self, call: Call) -> None:
        if call.writer not in self.busy_connections:
            call.writer.close()

    async def _write_events(
        self, call: Call, caller_left: asyncio.Task[None], mode: str, request: ReceivedRequest
    ) -> bool:
        """Write the events of a stream; return whether they are all written."""
        for number in range(self._last_number(call) + 1, self.event_count):
            if mode == "cut" and number == self.event_count // 2:
                # Ends in the middle of an event.
                await call.write(chunk(f"id: {number}\ndata: ha".encode()))
                request.outcome = "reset"
                return False
            if mode == "hold" and number == self.event_count // 2:
                release = asyncio.create_task(self.release_held.wait())
                await asyncio.wait({release, caller_left}, return_when=asyncio.FIRST_COMPLETED)
                release.cancel()
            if caller_left.done():
                request.outcome = "abandoned"
                return False
            await call.write(chunk(self._event(number)))
            if self.event_interval_s:
                await asyncio.sleep(self.event_interval_s)
        return True

    def _last_number(self, call: Call) -> int:
        """Return the number of the event that the caller names as its last; -1 for none."""
        event_id = call.headers.get("last-event-id", "")
        numbers = {each.decode("latin-1"): number for number, each in self.event_ids.items()}
        return numbers.get(event_id, int(event_id) if event_id.isdecimal() else -1)

    def _event(self, number: int) -> bytes:
        event_id = self.event_ids.get(number, b"%d" % number) if self.has_event_ids else None
        return _event(number, self.version, event_id)


def stream_of(count: int, version: str = "") -> bytes:
    """Return the whole body of a stream."""
    return b"".join(_event(number, version, b"%d" % number) for number in range(count))


def _event(number: int, version: str, event_id: bytes | None) -> bytes:
    data = f"piece {number} {version}".rstrip()
    id_line = b"" if event_id is None else b"id: " + event_id + b"\n"
    return id_line + f"data: {data}\n\n".encode()
