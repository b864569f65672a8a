"""The HTTP interface of the engine stand-in: one ASGI app with a handler for each path.

It parses requests, refuses them and sends answers; the batch schedules them. The faults of single
answers (stalled and cut streams) are implemented here.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Final, TypeVar

import anyio
from pydantic import BaseModel, ValidationError

from turmericweir_standins.asgi import (
    ClientDisconnectedError,
    Receive,
    Request,
    Scope,
    Send,
    request_of,
    send_json,
    send_start,
)
from turmericweir_standins.engine_answer import answer_of, capped, prompt_of
from turmericweir_standins.engine_batch import Emission, Sequence
from turmericweir_standins.engine_loop import Engine, TokenStream
from turmericweir_standins.engine_models import Order, StaleFenceError
from turmericweir_standins.engine_wire import (
    CANCELLED,
    DONE,
    BadRequestError,
    CancelRequest,
    ChunkWriter,
    CompletionRequest,
    ExportedKv,
    KvExportRequest,
    KvImportRequest,
    check_resume,
    complete_answer,
)
from turmericweir_standins.listener import Listener

NOT_STARTED: Final = ("x-not-started", "1")
LEAVING: Final = ("x-leaving", "1")
CLIENT_CLOSED_REQUEST: Final = 499

Handler = Callable[[Request, Send], Awaitable[None]]
HeaderPairs = tuple[tuple[str, str], ...]
BodyT = TypeVar("BodyT", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class _Ids:
    """The router's ids of a request and of this attempt."""

    request_id: str
    attempt_id: str

    @property
    def echo(self) -> HeaderPairs:
        """The id headers of every answer to the attempt."""
        return (("x-request-id", self.request_id), ("x-attempt-id", self.attempt_id))


@dataclass(frozen=True, slots=True)
class _Rejection:
    """A refusal before any work."""

    status: int
    reason: str
    headers: HeaderPairs


class EngineApp:
    """Serve one engine."""

    engine: Final[Engine]
    _listener: Listener
    # Selects the requests that fail by `error_rate`.
    _random: random.Random
    # Numbers the requests without an id.
    _unnamed: itertools.count[int]
    _handlers: dict[tuple[str, str], Handler]

    def __init__(self, engine: Engine, listener: Listener) -> None:
        self.engine = engine
        self._listener = listener
        self._random = random.Random(engine.options.seed)
        self._unnamed = itertools.count(1)
        self._handlers = {
            ("POST", "/v1/chat/completions"): self._complete,
            ("POST", "/v1/cancel"): self._cancel,
            ("GET", "/v1/load"): self._load,
            ("GET", "/v1/cache/events"): self._cache_events,
            ("POST", "/v1/orders"): self._order,
            ("POST", "/v1/kv/export"): self._export_kv,
            ("POST", "/v1/kv/import"): self._import_kv,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        request = request_of(scope, receive)
        try:
            if await self.engine.controls.handle(request, send):
                return
            await self.engine.wait_unfrozen()
            await self._dispatch(request, send)
        except ClientDisconnectedError:
            return

    async def _dispatch(self, request: Request, send: Send) -> None:
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            await send_json(send, 404, {"error": f"no {request.method} {request.path}"})
            return
        try:
            await handler(request, send)
        except (ValidationError, BadRequestError) as exc:
            await send_json(send, 400, {"error": str(exc)})

    # Completions.

    async def _complete(self, request: Request, send: Send) -> None:
        body = await _parse(request, CompletionRequest)
        ids = self._ids(request)
        rejection = self._rejection(body.model)
        if rejection is not None:
            self.engine.record.refused(ids.request_id, ids.attempt_id, rejection.reason)
            headers = (*ids.echo, *rejection.headers)
            await send_json(send, rejection.status, {"error": rejection.reason}, headers)
            return
        sequence = self._sequence(body, ids, _priority(request))
        self.engine.record.received(sequence, body.stream)
        stream = self.engine.submit(sequence)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, request, tasks.cancel_scope)
                deliver = self._deliver_stream if body.stream else self._deliver_complete
                await deliver(request, send, stream, ids.echo)
                tasks.cancel_scope.cancel()
        finally:
            self.engine.abandon(stream)

    def _ids(self, request: Request) -> _Ids:
        request_id = request.headers.get("x-request-id") or f"unnamed-{next(self._unnamed)}"
        return _Ids(request_id, request.headers.get("x-attempt-id", ""))

    def _rejection(self, model: str) -> _Rejection | None:
        """Return the refusal of a request before any work, if there is one."""
        table = self.engine.controls.table
        if table.refuse_start:
            return _Rejection(503, "refuses to start", (NOT_STARTED,))
        if table.leaving:
            return _Rejection(503, "leaving", (NOT_STARTED, LEAVING))
        if not self.engine.models.serves(model, anyio.current_time()):
            return _Rejection(503, "model not loaded", (NOT_STARTED,))
        if self._random.random() < table.error_rate:
            return _Rejection(500, "injected error", ())
        return None

    def _sequence(self, body: CompletionRequest, ids: _Ids, priority: int) -> Sequence:
        """Return the sequence for the batch; raise BadRequestError if it does not fit."""
        prompt = prompt_of(body.model, body.messages)
        available_tokens = self.engine.options.batch.kv_tokens - prompt.tokens
        if available_tokens <= 0:
            raise BadRequestError(f"a prompt of {prompt.tokens} tokens does not fit the KV memory")
        answer = capped(answer_of(body.model, body.messages, body.max_tokens), available_tokens)
        start = 0
        if body.resume is not None:
            check_resume(body.resume, answer)
            start = body.resume.from_token
        return Sequence(ids.request_id, ids.attempt_id, body.model, priority, prompt, answer, start)

    async def _deliver_stream(
        self, request: Request, send: Send, stream: TokenStream, echo: HeaderPairs
    ) -> None:
        await send_start(send, 200, "text/event-stream", echo)
        writer = ChunkWriter(stream.sequence)
        async for emissions in self._tokens(request, stream):
            data = b"".join(writer.chunk(emission) for emission in emissions)
            await send({"type": "http.response.body", "body": data, "more_body": True})
        match stream.outcome:
            case "finished":
                await send({"type": "http.response.body", "body": DONE})
            case "cancelled":
                await send({"type": "http.response.body", "body": CANCELLED})
            case _:
                # The connection is closed.
                pass

    async def _deliver_complete(
        self, request: Request, send: Send, stream: TokenStream, echo: HeaderPairs
    ) -> None:
        all_emissions = [
            each async for emissions in self._tokens(request, stream) for each in emissions
        ]
        match stream.outcome:
            case "finished":
                await send_json(send, 200, complete_answer(stream.sequence, all_emissions), echo)
            case "cancelled":
                await send_json(send, CLIENT_CLOSED_REQUEST, {"error": "cancelled"}, echo)
            case _:
                # The connection is closed.
                pass

    async def _tokens(self, request: Request, stream: TokenStream) -> AsyncIterator[list[Emission]]:
        """Yield the generated tokens until a behaviour stalls or cuts the answer."""
        delivered = 0
        while emissions := await stream.take():
            token_limit = self._stop_limit()
            if token_limit is not None and delivered + len(emissions) >= token_limit:
                yield emissions[: max(0, token_limit - delivered)]
                await self._stall_or_cut(request)
            delivered += len(emissions)
            yield emissions

    def _stop_limit(self) -> int | None:
        table = self.engine.controls.table
        limits = [
            limit
            for limit in (table.stall_after_tokens, table.cut_after_tokens)
            if limit is not None
        ]
        return min(limits, default=None)

    async def _stall_or_cut(self, request: Request) -> None:
        """Cut the connection if configured, then wait until the disconnection ends the handler."""
        table = self.engine.controls.table
        stalls = table.stall_after_tokens
        cuts = table.cut_after_tokens
        if cuts is not None and (stalls is None or cuts < stalls):
            if table.cut_once:
                self.engine.controls.merge({"cut_after_tokens": None})
            self._listener.drop(request.client)
        await anyio.sleep_forever()

    # Other calls.

    async def _cancel(self, request: Request, send: Send) -> None:
        body = await _parse(request, CancelRequest)
        tokens = self.engine.cancel(body.request_id, body.attempt_id)
        await send_json(send, 200, {"cancelled": tokens is not None, "tokens": tokens or 0})

    async def _load(self, _request: Request, send: Send) -> None:
        await send_json(send, 200, self.engine.load_report())

    async def _cache_events(self, request: Request, send: Send) -> None:
        after = request.query.get("after", "0")
        if not after.isdecimal():
            raise BadRequestError("`after` must be a number")
        events, next_after = self.engine.cache_log().read(anyio.current_time(), int(after))
        await send_json(send, 200, {"events": events, "next": next_after})

    async def _order(self, request: Request, send: Send) -> None:
        order = await _parse(request, Order)
        try:
            state = self.engine.execute(order)
        except StaleFenceError as exc:
            await send_json(send, 409, {"fence": exc.fence})
            return
        await send_json(send, 200, {"state": state})

    async def _export_kv(self, request: Request, send: Send) -> None:
        body = await _parse(request, KvExportRequest)
        kv = self.engine.batch.export_kv(body.request_id)
        if kv is None:
            await send_json(send, 404, {"error": "no KV of this request"})
            return
        self.engine.record.kv_moved(body.request_id, "kv_exported")
        text = ExportedKv(prompt_id=kv.prompt_id, tokens=kv.tokens).model_dump_json()
        await send_json(send, 200, {"kv": text})

    async def _import_kv(self, request: Request, send: Send) -> None:
        body = await _parse(request, KvImportRequest)
        kv = ExportedKv.model_validate_json(body.kv)
        if not self.engine.import_kv(body.request_id, kv.prompt_id, kv.tokens):
            await send_json(send, 409, {"error": "no room"})
            return
        self.engine.record.kv_moved(body.request_id, "kv_imported")
        await send_json(send, 200, {})


async def _parse(request: Request, body_type: type[BodyT]) -> BodyT:
    return body_type.model_validate_json(await request.body())


def _priority(request: Request) -> int:
    value = request.headers.get("x-priority", "0")
    try:
        return int(value)
    except ValueError:
        raise BadRequestError(f"X-Priority is no integer: {value}") from None


async def _cancel_on_disconnect(request: Request, scope: anyio.CancelScope) -> None:
    await request.disconnected()
    scope.cancel()
