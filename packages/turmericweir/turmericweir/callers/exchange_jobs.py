"""Jobs of the own interface: a completion by an engine, and a call of a plain service.

An exchange runs a job without knowing its kind. The job makes the attempts and holds the answer.
"""

from __future__ import annotations

from turmericweir.answers.caller_answer import PlainAnswer, TokenAnswer
from turmericweir.callers.exchange import RunningAttempt
from turmericweir.process.node import Node
from turmericweir.servers.backend_engine import EngineAttempt, cancel_at_engine
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.backend_service import PlainCall, ServiceAttempt
from turmericweir_core.messages.effects import StartAttempt


class CompletionJob:
    """A completion by an engine."""

    __slots__ = ("_body", "answer")

    answer: TokenAnswer
    _body: bytes

    def __init__(self, body: bytes, answer: TokenAnswer) -> None:
        self._body = body
        self.answer = answer

    def attempt(self, node: Node, pool: BackendPool, start: StartAttempt) -> RunningAttempt:
        """Make an attempt on an engine."""
        return EngineAttempt(node, pool, start, self._body, self.answer)

    async def cancelled(self, pool: BackendPool, start: StartAttempt) -> None:
        """Have the engine stop, so that nobody's answer takes up a place in its batch."""
        await cancel_at_engine(pool, start)

    def tokens(self, attempt: RunningAttempt) -> int:
        """Count the tokens that an attempt has received."""
        return attempt.tokens if isinstance(attempt, EngineAttempt) else 0


class PlainJob:
    """A call of a plain service."""

    __slots__ = ("_call", "answer")

    answer: PlainAnswer
    _call: PlainCall

    def __init__(self, call: PlainCall, answer: PlainAnswer) -> None:
        self._call = call
        self.answer = answer

    def attempt(self, node: Node, pool: BackendPool, start: StartAttempt) -> RunningAttempt:
        """Make an attempt on a service."""
        return ServiceAttempt(node, pool, start, self._call, self.answer)

    async def cancelled(self, pool: BackendPool, start: StartAttempt) -> None:
        """Do nothing more: the connection was closed, and services know no other sign."""

    def tokens(self, attempt: RunningAttempt) -> int:
        """Count none: a plain call has no tokens."""
        return 0
