"""The ASGI application of the callers' HTTP interface.

Reads a request within the limits, validates it and runs it in an `Exchange`. Every answer carries
the request id and the outcome.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final
from urllib.parse import unquote

import anyio
import orjson
from msgspec.structs import asdict

from turmericweir.answers.caller_answer import Caller, PlainAnswer, StreamAnswer, WholeAnswer
from turmericweir.answers.caller_problem import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    make_problem,
    make_refusal,
)
from turmericweir.answers.caller_refusal import RefusedError, new_request_id
from turmericweir.callers.caller_request import (
    ReceivedPlainCall,
    authenticate,
    build_completion_request,
    build_plain_request,
)
from turmericweir.callers.exchange import Exchange, RequestJob
from turmericweir.callers.exchange_jobs import CompletionJob, PlainJob
from turmericweir.callers.http_server import CONNECTION_KEY, LimitedProtocol
from turmericweir.process import logs
from turmericweir.process.node import Node
from turmericweir.process.process_settings import Limits
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Config, Customer, ServiceKind
from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.state.account_store import find_account

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

COMPLETIONS: Final = "/v1/chat/completions"
MODELS: Final = "/v1/models"
REQUESTS: Final = "/v1/requests/"
SERVICES: Final = "/services/"


@dataclass(frozen=True, slots=True)
class _InboundRequest:
    """A request whose headers are received and whose customer is authenticated."""

    scope: HTTPScope
    receive: ASGIReceiveCallable
    caller: Caller
    customer: Customer
    headers: list[tuple[bytes, bytes]]
    # The last value of each header, by name.
    by_name: dict[bytes, bytes]


class CallerApp:
    """Serves callers' requests and their queries about models and accounts."""

    _node: Node
    _pool: BackendPool
    _limits: Limits

    def __init__(self, node: Node, pool: BackendPool, limits: Limits) -> None:
        self._node = node
        self._pool = pool
        self._limits = limits

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Handle one HTTP request."""
        assert scope["type"] == "http"
        caller = Caller(new_request_id(), send, _connection(scope).coalescing_transport)
        caller.should_close = self._node.is_stopping
        try:
            await self._answer(scope, receive, caller)
        except RefusedError as exc:
            await self._refuse(caller, exc)
        except Exception as exc:
            logs.write_fault("answer", caller.request_id, exc)
            await self._answer_internal_error(scope, caller)

    async def _refuse(self, caller: Caller, exc: RefusedError) -> None:
        self._node.count(f"refused.{exc.reason}")
        # An unread body remains on the connection, which therefore cannot be reused.
        caller.should_close = caller.should_close or exc.reason in _BODY_UNREAD_REASONS
        await caller.write_problem(
            make_refusal(caller.request_id, exc.reason, detail=exc.detail, status=exc.status)
        )

    async def _answer_internal_error(self, scope: HTTPScope, caller: Caller) -> None:
        """Answer that the outcome is unknown; if the answer was started, reset the connection."""
        if caller.is_started:
            _connection(scope).reset_connection()
            return
        problem = make_problem(
            caller.request_id,
            Outcome.UNKNOWN,
            Reason.EVIDENCE_LOST,
            status=500,
            retry_after_s=None,
        )
        await caller.write_problem(problem)

    async def _answer(self, scope: HTTPScope, receive: ASGIReceiveCallable, caller: Caller) -> None:
        config = self._node.state.config
        if not self._node.state.has_settings:
            raise RefusedError(Reason.NO_SETTINGS)
        headers = list(scope["headers"])
        by_name = dict(headers)
        customer = authenticate(config, by_name)
        inbound = _InboundRequest(scope, receive, caller, customer, headers, by_name)
        path = scope["path"]
        if path == COMPLETIONS:
            _check_method(scope, "POST")
            await self._complete(inbound)
        elif path.startswith(SERVICES):
            await self._call_service(inbound)
        elif path == MODELS:
            _check_method(scope, "GET")
            await _send_json(caller, _models(config))
        elif path.startswith(REQUESTS):
            _check_method(scope, "GET")
            await self._send_account(caller, customer, path.removeprefix(REQUESTS))
        else:
            raise RefusedError(Reason.BAD_REQUEST, "There is nothing at this path.", status=404)

    # Completions and plain calls.

    async def _complete(self, inbound: _InboundRequest) -> None:
        body = await self._read_body(inbound)
        caller = inbound.caller
        request, engine_body = build_completion_request(
            self._node.state.config,
            inbound.customer,
            inbound.by_name,
            RequestId(caller.request_id),
            body,
        )
        answer = (
            StreamAnswer(caller) if request.streamed else WholeAnswer(caller, request.prompt_tokens)
        )
        await self._run(inbound, request, CompletionJob(engine_body, answer))

    async def _call_service(self, inbound: _InboundRequest) -> None:
        body = await self._read_body(inbound)
        received_call = _received_plain_call(inbound.scope, inbound.headers, body)
        caller = inbound.caller
        request, call = build_plain_request(
            self._node.state.config, inbound.customer, RequestId(caller.request_id), received_call
        )
        # Only the answer to a call with an idempotency key can be replayed.
        is_replayable = request.idempotency_key is not None and not request.repeatable
        stored_body_max_bytes = self._node.state.options.claim_body_max if is_replayable else 0
        await self._run(
            inbound, request, PlainJob(call, PlainAnswer(caller, stored_body_max_bytes))
        )

    async def _run(self, inbound: _InboundRequest, request: Request, job: RequestJob) -> None:
        exchange = Exchange(self._node, self._pool, request, inbound.caller, job)
        self._node.active_requests[request.request_id] = exchange
        try:
            is_complete = await exchange.run(_connection(inbound.scope))
        finally:
            del self._node.active_requests[request.request_id]
        if not is_complete:
            _connection(inbound.scope).reset_connection()

    async def _read_body(self, inbound: _InboundRequest) -> bytes:
        content_length = inbound.by_name.get(b"content-length")
        if content_length in (None, b"0") and b"transfer-encoding" not in inbound.by_name:
            return b""
        # The HTTP parser has checked that the value consists of digits.
        if content_length is not None and int(content_length) > self._limits.body_bytes:
            raise RefusedError(Reason.TOO_LARGE)
        try:
            with anyio.fail_after(self._limits.body_s):
                return await self._receive_body(inbound.receive)
        except TimeoutError:
            raise RefusedError(Reason.TOO_SLOW) from None

    async def _receive_body(self, receive: ASGIReceiveCallable) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] != "http.request":
                raise RefusedError(Reason.CALLER_LEFT)
            parts.append(message["body"])
            size += len(message["body"])
            if size > self._limits.body_bytes:
                raise RefusedError(Reason.TOO_LARGE)
            if not message["more_body"]:
                return b"".join(parts)

    # Queries for accounts.

    async def _send_account(self, caller: Caller, customer: Customer, request_id: str) -> None:
        running = self._node.state.requests.get(RequestId(request_id))
        if running is not None and running.customer == customer.name:
            status = {"request_id": request_id, "outcome": None, "phase": running.phase.value}
            await _send_json(caller, status)
            return
        account = find_account(self._node.state.accounts, request_id)
        # Does not reveal whether another customer has an account with this id.
        if account is None or account.customer != customer.name:
            detail = "This instance knows no account of that request."
            raise RefusedError(Reason.BAD_REQUEST, detail, status=404)
        await _send_json(caller, asdict(account))


_BODY_UNREAD_REASONS: Final = frozenset(
    {Reason.TOO_LARGE, Reason.TOO_SLOW, Reason.NO_SETTINGS, Reason.UNAUTHORISED}
)


def _check_method(scope: HTTPScope, expected: str) -> None:
    if scope["method"] != expected:
        raise RefusedError(Reason.BAD_REQUEST, f"Use {expected} here.", status=405)


def _received_plain_call(
    scope: HTTPScope, headers: list[tuple[bytes, bytes]], body: bytes
) -> ReceivedPlainCall:
    service_path = scope["raw_path"].removeprefix(SERVICES.encode("ascii"))
    service, _, path = service_path.partition(b"/")
    target = b"/" + path
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return ReceivedPlainCall(
        service=unquote(service.decode("ascii")),
        method=scope["method"],
        path=unquote((b"/" + path).decode("ascii")),
        target=target,
        headers=headers,
        body=body,
    )


def _models(config: Config) -> dict[str, object]:
    data = [
        {"id": model, "object": "model", "owned_by": service.name}
        for service in config.services.values()
        if service.kind is ServiceKind.MODEL
        for model in service.models
    ]
    return {"object": "list", "data": data}


async def _send_json(caller: Caller, value: object) -> None:
    body = orjson.dumps(value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (REQUEST_ID_HEADER, caller.request_id.encode("ascii")),
        (OUTCOME_HEADER, Outcome.COMPLETED.value.encode("ascii")),
    ]
    await caller.write_head(200, headers)
    await caller.write_body(body, more=False)


def _connection(scope: HTTPScope) -> LimitedProtocol:
    connection = scope["state"][CONNECTION_KEY]
    assert isinstance(connection, LimitedProtocol)
    return connection
