"""Calls to plain services: any method and path, forwarded unchanged.

The caller receives the status and the headers with the first bytes of the body. After that, the
call cannot be retried, and a broken connection is passed on to the caller. An answer with an error
status is a complete answer; only `X-Not-Started` means that the service did not run the call.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import httpcore

from turmericweir.answers.hop_by_hop import HOP_BY_HOP, connection_header_names
from turmericweir.servers.answer_size import BodyBound
from turmericweir.servers.backend_attempt import (
    ATTEMPT_ID,
    LEAVING,
    NOT_STARTED,
    PRIORITY,
    REQUEST_ID,
    Attempt,
    attempt_headers,
)
from turmericweir.servers.backend_call import body_of, lower_headers
from turmericweir.servers.backend_pool import BackendPool, make_request
from turmericweir.servers.load_check import make_load_check
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    AnswerForm,
    AttemptEnd,
    AttemptProgress,
    EndBroken,
    EndComplete,
)

if TYPE_CHECKING:
    from turmericweir.answers.caller_answer import PlainAnswer
    from turmericweir.process.node import Node

# Headers for the router itself. Prevents a service from receiving the caller's token and acting as
# the caller. The HTTP server for callers has already handled `expect`.
_NOT_FORWARDED: Final = HOP_BY_HOP | {
    b"host",
    b"content-length",
    b"expect",
    b"authorization",
    REQUEST_ID,
    ATTEMPT_ID,
    PRIORITY,
}
# `date` is set by the HTTP server for callers.
_NOT_RETURNED: Final = HOP_BY_HOP | {b"date", REQUEST_ID, ATTEMPT_ID, NOT_STARTED, LEAVING}
_ROUTER_HEADER_PREFIX: Final = b"turmericweir-"


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A caller's request in the form in which it is forwarded."""

    method: bytes
    # Path and query as the caller encoded them.
    target: bytes
    # End-to-end headers only.
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def _end_to_end_headers(
    headers: list[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> tuple[tuple[bytes, bytes], ...]:
    connection_headers = connection_header_names(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped
        and name not in connection_headers
        and not name.startswith(_ROUTER_HEADER_PREFIX)
    )


def forwarded_headers(headers: list[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """Return the caller's headers that are forwarded to the service."""
    return _end_to_end_headers(headers, _NOT_FORWARDED)


class ServiceAttempt:
    """One attempt to run a call on a plain service."""

    __slots__ = ("_answer", "_attempt", "_call", "_node", "_start")

    _node: Node
    _start: StartAttempt
    _attempt: Attempt
    _call: PlainCall
    _answer: PlainAnswer

    def __init__(
        self,
        node: Node,
        pool: BackendPool,
        start: StartAttempt,
        plain_call: PlainCall,
        answer: PlainAnswer,
    ) -> None:
        self._node = node
        self._start = start
        self._attempt = Attempt(node, pool, start)
        self._call = plain_call
        self._answer = answer

    @property
    def may_have_started(self) -> bool:
        """Return whether the service may have started the request."""
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
        plain_call = self._call
        headers = [*plain_call.headers, *attempt_headers(self._start)]
        request = make_request(
            plain_call.method, self._start.address, plain_call.target, headers, plain_call.body
        )
        return await self._attempt.run(
            lambda: request,
            self._consume,
            make_status_check=lambda: make_load_check(self._node.state, self._start.server),
        )

    async def _consume(self, response: httpcore.Response) -> AttemptEnd:
        headers = lower_headers(response)
        refusal = await self._attempt.read_refusal(response, headers)
        if refusal is not None:
            return refusal
        if not self._attempt.is_matching_answer(headers, required=False):
            return EndBroken("the answer belongs to another attempt", server_alive=True)
        response_headers = [(name.lower(), value) for name, value in response.headers]
        answer = self._answer
        answer.begin_answer(response.status, _end_to_end_headers(response_headers, _NOT_RETURNED))
        bounds = self._node.answer_bounds
        bound = BodyBound(bounds, response.status, is_sized=self._attempt.answer.is_sized)
        async for chunk in body_of(response):
            bound.add(len(chunk))
            answer.buffer_body(chunk)
            if not answer.has_received_announced_length:
                # Reports that the caller receives a part, which rules out a retry.
                start = self._start
                self._node.handle(AttemptProgress(start.request_id, start.attempt_id, 1))
                await answer.flush()
        end = await self._attempt.end_answer(response.status)
        if not isinstance(end, EndComplete):
            return end
        return EndComplete(response.status, answer.answer_to_store())
