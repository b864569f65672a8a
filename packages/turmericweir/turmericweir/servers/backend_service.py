"""Calls of plain services: any method and path, forwarded as they are.

The caller is sent the status and the headers with the first bytes of the body. From there on the
call cannot be tried again, and a cut must reach the caller as a cut. An answer whose status is an
error is still the service's whole answer; only `X-Not-Started` says that nothing was run.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import httpcore

from turmericweir.answers.hop_by_hop import HOP_BY_HOP, named_by_connection
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
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import AttemptEnd, AttemptProgress, EndBroken, EndComplete

if TYPE_CHECKING:
    from turmericweir.answers.caller_answer import PlainAnswer
    from turmericweir.process.node import Node

# The router's own; a caller's token is meant for the router, and a service that got it could act as
# the caller. `expect` was answered by the caller's server already.
_NOT_FORWARDED: Final = HOP_BY_HOP | {
    b"host",
    b"content-length",
    b"expect",
    b"authorization",
    REQUEST_ID,
    ATTEMPT_ID,
    PRIORITY,
}
# `date` is set by the caller's server.
_NOT_PASSED_ON: Final = HOP_BY_HOP | {b"date", REQUEST_ID, ATTEMPT_ID, NOT_STARTED, LEAVING}
_OWN_PREFIX: Final = b"turmericweir-"


@dataclass(frozen=True, slots=True)
class PlainCall:
    """What the caller asked for, as it is forwarded."""

    method: bytes
    # Path and query as the caller encoded them.
    target: bytes
    # End-to-end headers.
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def _end_to_end(
    headers: list[tuple[bytes, bytes]], dropped: frozenset[bytes]
) -> tuple[tuple[bytes, bytes], ...]:
    named = named_by_connection(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in dropped and name not in named and not name.startswith(_OWN_PREFIX)
    )


def forwarded_headers(headers: list[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    """Keep the caller's headers that are meant for the service."""
    return _end_to_end(headers, _NOT_FORWARDED)


class ServiceAttempt:
    """One attempt of a call on a plain service."""

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
    def sent(self) -> bool:
        """Whether the service may have begun."""
        return self._attempt.sent

    @property
    def broke(self) -> str:
        """How the connection was lost; empty while it was not."""
        return self._attempt.broke

    async def run(self) -> AttemptEnd:
        """Run the attempt to its end."""
        plain_call = self._call
        headers = [*plain_call.headers, *attempt_headers(self._start)]
        request = make_request(
            plain_call.method, self._start.address, plain_call.target, headers, plain_call.body
        )
        return await self._attempt.run(lambda: request, self._consume)

    async def _consume(self, response: httpcore.Response) -> AttemptEnd:
        headers = lower_headers(response)
        refusal = await self._attempt.refusal(response, headers)
        if refusal is not None:
            return refusal
        if not self._attempt.is_ours(headers, required=False):
            return EndBroken("the answer is of another attempt", server_alive=True)
        lower = [(name.lower(), value) for name, value in response.headers]
        answer = self._answer
        answer.begin(response.status, _end_to_end(lower, _NOT_PASSED_ON))
        async for chunk in body_of(response):
            answer.keep(chunk)
            if not answer.is_whole:
                # The reducer must know that the caller has a part: there is no second try now.
                start = self._start
                self._node.handle(AttemptProgress(start.request_id, start.attempt_id, 1))
                await answer.flush()
        return EndComplete(response.status, answer.kept())
