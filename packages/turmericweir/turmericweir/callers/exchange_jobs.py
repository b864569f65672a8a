"""The jobs of the completion and service interface: an engine's completion and a plain call.

A job creates the attempts of one request and owns its answer. An `Exchange` runs it.
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

    def make_attempt(self, node: Node, pool: BackendPool, start: StartAttempt) -> RunningAttempt:
        """Return a new attempt on an engine."""
        return EngineAttempt(node, pool, start, self._body, self.answer)

    async def on_attempt_cancelled(self, pool: BackendPool, start: StartAttempt) -> None:
        """Ask the engine to stop generating, which frees its batch slot."""
        await cancel_at_engine(pool, start)

    def received_tokens(self, attempt: RunningAttempt) -> int:
        """Return the number of tokens that an attempt has received."""
        return attempt.tokens if isinstance(attempt, EngineAttempt) else 0


class PlainJob:
    """A call of a plain service."""

    __slots__ = ("_call", "answer")

    answer: PlainAnswer
    _call: PlainCall

    def __init__(self, call: PlainCall, answer: PlainAnswer) -> None:
        self._call = call
        self.answer = answer

    def make_attempt(self, node: Node, pool: BackendPool, start: StartAttempt) -> RunningAttempt:
        """Return a new attempt on a service."""
        return ServiceAttempt(node, pool, start, self._call, self.answer)

    async def on_attempt_cancelled(self, pool: BackendPool, start: StartAttempt) -> None:
        """Do nothing: closing the connection is the only way to cancel a plain call."""

    def received_tokens(self, attempt: RunningAttempt) -> int:
        """Return zero: a plain call has no tokens."""
        return 0
