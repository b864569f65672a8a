"""The ASGI application of the callers' port on a platform with routes.

The whole request is read before it is validated. Closing a connection with unread data might reset
it before the caller receives the refusal. Only if there is no memory for its body is a request
refused by its head; the connection then drops the body (`http_server`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import anyio

from turmericweir.answers.caller_answer import Caller
from turmericweir.answers.caller_problem import make_failed_account
from turmericweir.answers.caller_refusal import RefusedError
from turmericweir.answers.forward_answer import ForwardAnswer
from turmericweir.answers.forward_wire import RequestHead, WireAdapter
from turmericweir.callers.arrival_gate import ArrivalGate
from turmericweir.callers.caller_memory import CallerMemory, TrackedCaller
from turmericweir.callers.exchange import Exchange
from turmericweir.callers.http_server import CONNECTION_KEY, TARGET_KEY, LimitedProtocol
from turmericweir.process import logs
from turmericweir.process.node import Node
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.forward import ForwardJob
from turmericweir_core.base.account import Account
from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.store import document

if TYPE_CHECKING:
    from uvicorn._types import ASGIReceiveCallable, ASGISendCallable, HTTPScope, Scope

# The maximum time after the start for which callers wait for the settings from the store. Later
# callers are refused at once if there are no settings.
SETTINGS_WAIT_S: Final = 1.0
# The maximum time from the end of the headers to the end of the body.
BODY_TIMEOUT_S: Final = 20.0


class ForwardApp:
    """Serves callers' requests by forwarding them to servers."""

    _node: Node
    _pool: BackendPool
    _wire: WireAdapter
    _memory: CallerMemory
    _gate: ArrivalGate
    _wait_for_settings_until: float

    def __init__(
        self, node: Node, pool: BackendPool, wire: WireAdapter, memory: CallerMemory
    ) -> None:
        self._node = node
        self._pool = pool
        self._wire = wire
        self._memory = memory
        self._gate = ArrivalGate()
        self._wait_for_settings_until = anyio.current_time() + SETTINGS_WAIT_S

    async def __call__(
        self, scope: Scope, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Handle one HTTP request."""
        assert scope["type"] == "http"
        connection = scope["state"][CONNECTION_KEY]
        assert isinstance(connection, LimitedProtocol)
        head = _read_head(scope)
        await self._gate.enter()
        request_id = self._unique_id(self._wire.request_id_for(head))
        caller = Caller(request_id, send, connection.coalescing_transport)
        caller.should_close = self._node.is_stopping
        tracked = self._memory.track(connection, request_id)
        try:
            await self._answer(connection, head, receive, caller, tracked)
        except RefusedError as exc:
            if exc.reason is Reason.MEMORY_SHORT:
                await self._prepare_early_refusal(connection, head, receive, caller, tracked)
            await self._refuse(caller, exc)
        except Exception as exc:
            logs.write_fault("answer", request_id, exc)
            await self._answer_failed(connection, caller)
        finally:
            self._memory.end_request(tracked)

    def _unique_id(self, request_id: RequestId) -> RequestId:
        """Return the id, with a number appended if a running request has the same id."""
        unique_id = request_id
        number = 1
        while unique_id in self._node.active_requests:
            number += 1
            unique_id = RequestId(f"{request_id}~{number}")
        return unique_id

    async def _prepare_early_refusal(
        self,
        connection: LimitedProtocol,
        head: RequestHead,
        receive: ASGIReceiveCallable,
        caller: Caller,
        tracked: TrackedCaller,
    ) -> None:
        """Let go of a body, and drop the rest of it first if the refusal closes the connection."""
        tracked.body_bytes = 0
        if any(name == b"expect" for name, _ in head.headers):
            # The caller sends no body after a refusal.
            caller.should_close = True
        elif caller.should_close or connection.closes_after_answer:
            with anyio.move_on_after(BODY_TIMEOUT_S):
                while True:
                    message = await receive()
                    if message["type"] != "http.request" or not message["more_body"]:
                        break

    async def _answer_failed(self, connection: LimitedProtocol, caller: Caller) -> None:
        """Answer that the outcome is unknown; reset the connection if an answer has begun."""
        if caller.is_started:
            connection.reset_connection()
            return
        # The body may be unread.
        caller.should_close = True
        account = make_failed_account(caller.request_id)
        try:
            await caller.write_problem(self._wire.account_problem(account))
        except Exception as exc:
            logs.write_fault("answer failed request", caller.request_id, exc)
            connection.reset_connection()

    async def _refuse(self, caller: Caller, exc: RefusedError) -> None:
        self._node.count(f"refused.{exc.reason}")
        state = self._node.state
        logs.write(
            "refused",
            request_id=caller.request_id,
            reason=exc.reason.value,
            detail=exc.detail,
            settings_version=state.settings_offset(),
        )
        caller.should_close = caller.should_close or exc.reason in _BODY_UNREAD_REASONS
        await caller.write_problem(self._wire.refusal_problem(caller.request_id, exc))

    async def _answer(
        self,
        connection: LimitedProtocol,
        head: RequestHead,
        receive: ASGIReceiveCallable,
        caller: Caller,
        tracked: TrackedCaller,
    ) -> None:
        state = self._node.state
        body = await self._read_body(head, receive, tracked)
        if not state.has_settings:
            with anyio.CancelScope(deadline=self._wait_for_settings_until):
                await self._node.settings_available.wait()
        if not state.has_settings:
            raise RefusedError(Reason.NO_SETTINGS)
        request_id = RequestId(caller.request_id)
        try:
            parsed = self._wire.parse_request(state.config, state.rng, head, body, request_id)
        except RefusedError as exc:
            if exc.reason in _SETTINGS_DENIALS and not document.can_reject_by_settings(
                state, anyio.current_time()
            ):
                raise RefusedError(Reason.SETTINGS_IN_DOUBT) from exc
            raise
        answer = ForwardAnswer(
            caller, self._wire, lambda: self._node.is_stopping, parsed.call.resume_after
        )
        job = ForwardJob(parsed.call, parsed.request, self._wire, answer)
        tracked.job = job
        exchange = Exchange(self._node, self._pool, parsed.request, caller, job)
        self._node.active_requests[request_id] = exchange
        try:
            is_complete = await exchange.run(connection)
        finally:
            del self._node.active_requests[request_id]
            if exchange.account is not None:
                self._log_end(exchange.account)
        if not is_complete:
            connection.reset_connection()

    def _log_end(self, account: Account) -> None:
        logs.write(
            "finished",
            request_id=account.request_id,
            outcome=account.outcome.value,
            reason=account.reason.value,
            status=account.status,
            attempts=account.attempts,
            peer=account.server,
            events=account.tokens,
            service_class=account.service_class,
            customer=account.customer,
            elapsed_ms=round(account.elapsed_s * 1000),
            retry_after_s=account.retry_after_s,
            settings_version=self._node.state.settings_offset(),
        )

    async def _read_body(
        self, head: RequestHead, receive: ASGIReceiveCallable, tracked: TrackedCaller
    ) -> bytes:
        headers_by_name = dict(head.headers)
        content_length = headers_by_name.get(b"content-length")
        if content_length in (None, b"0") and b"transfer-encoding" not in headers_by_name:
            if not self._memory.admit(tracked, 0):
                raise RefusedError(Reason.MEMORY_SHORT)
            return b""
        limit = self._node.state.config.limits.body_bytes
        if content_length is not None and int(content_length) > limit:
            raise RefusedError(Reason.TOO_LARGE)
        announced_bytes = None if content_length is None else int(content_length)
        if not self._memory.admit(tracked, announced_bytes):
            raise RefusedError(Reason.MEMORY_SHORT)
        parts: list[bytes] = []
        size = 0
        try:
            with anyio.fail_after(BODY_TIMEOUT_S):
                while True:
                    message = await receive()
                    if message["type"] != "http.request":
                        raise RefusedError(Reason.CALLER_LEFT)
                    size += len(message["body"])
                    if size > limit:
                        raise RefusedError(Reason.TOO_LARGE)
                    if not self._memory.add_body(tracked, len(message["body"])):
                        raise RefusedError(Reason.MEMORY_SHORT)
                    parts.append(message["body"])
                    if not message["more_body"]:
                        break
        except TimeoutError:
            raise RefusedError(Reason.TOO_SLOW) from None
        finally:
            self._memory.end_body(tracked)
        return b"".join(parts)


# Refusals that follow from the settings alone, which may be outdated.
_SETTINGS_DENIALS: Final = frozenset({Reason.UNAUTHORISED, Reason.UNKNOWN_TARGET})
_BODY_UNREAD_REASONS: Final = frozenset({Reason.TOO_LARGE, Reason.TOO_SLOW, Reason.CALLER_LEFT})


def _read_head(scope: HTTPScope) -> RequestHead:
    return RequestHead(
        method=scope["method"].encode("ascii"),
        target=scope["state"][TARGET_KEY],
        headers=list(scope["headers"]),
        arrived_at=anyio.current_time(),
    )
