"""One caller's request on its way through: it runs what the reducer decides.

Everything happens in the caller's own task, so no queue and no switch between tasks lies on the hot
path. The exchange hands its request to the reducer, waits for a decision, runs the attempt that was
decided on, reports its end, and so on until the account comes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.lowlevel import checkpoint

from turmericweir.answers.caller_answer import Answer, Caller, PlainAnswer
from turmericweir.process.node import Node
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.base.account import Account
from turmericweir_core.base.ids import AttemptId
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import (
    CancelAttempt,
    FinishRequest,
    ReplayAnswer,
    StartAttempt,
)
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    CallerLeft,
    EndBroken,
    EndCancelled,
    RequestArrived,
)


class CallerConnection(Protocol):
    """The caller's connection as the exchange sees it."""

    on_lost: Callable[[], None] | None

    @property
    def is_lost(self) -> bool:
        """Whether the caller is gone."""


class RunningAttempt(Protocol):
    """An attempt as the exchange sees it."""

    @property
    def sent(self) -> bool:
        """Whether the server may have begun."""

    @property
    def broke(self) -> str:
        """How the connection was lost; empty while it was not."""

    async def run(self) -> AttemptEnd:
        """Run to the end."""


class Job(Protocol):
    """What kind of request it is: how its attempts are made and its answer is given."""

    @property
    def answer(self) -> Answer:
        """Where the answer goes."""

    def attempt(self, node: Node, pool: BackendPool, start: StartAttempt) -> RunningAttempt:
        """Make an attempt."""

    async def cancelled(self, pool: BackendPool, start: StartAttempt) -> None:
        """Tell the server that an attempt was cancelled."""

    def tokens(self, attempt: RunningAttempt) -> int:
        """Count the tokens that an attempt has received."""


class Exchange:
    """One request, from its arrival to its account."""

    __slots__ = (
        "_attempt_id",
        "_blocked_since",
        "_cancelled",
        "_decisions",
        "_fault",
        "_node",
        "_pool",
        "_scope",
        "_woken",
        "account",
        "caller",
        "job",
        "request",
    )

    _node: Node
    _pool: BackendPool
    request: Request
    caller: Caller
    job: Job
    # What the reducer decided and this has not acted on yet.
    _decisions: deque[StartAttempt | FinishRequest]
    # Set when a decision comes; None while nobody waits.
    _woken: anyio.Event | None
    # The attempt that runs, and the scope that stops it.
    _attempt_id: AttemptId | None
    _scope: anyio.CancelScope | None
    # Attempts that were cancelled before they could be begun.
    _cancelled: set[AttemptId]
    # Since when the caller has not read; None while it reads.
    _blocked_since: float | None
    # A fault of the program in an event of this request: no decision may ever come.
    _fault: BaseException | None
    # The final account; None before it is given.
    account: Account | None

    def __init__(
        self, node: Node, pool: BackendPool, request: Request, caller: Caller, job: Job
    ) -> None:
        self._node = node
        self._pool = pool
        self.request = request
        self.caller = caller
        self.job = job
        self._decisions = deque()
        self._woken = None
        self._attempt_id = None
        self._scope = None
        self._cancelled = set()
        self._blocked_since = None
        self._fault = None
        self.account = None

    # Called by the node, synchronously.

    def decide(self, decision: StartAttempt | FinishRequest) -> None:
        """Take a decision of the reducer."""
        self._decisions.append(decision)
        if self._woken is not None:
            self._woken.set()

    def fail(self, fault: BaseException) -> None:
        """Give up after a fault of the program, so that the caller does not wait for ever."""
        self._fault = fault
        if self._scope is not None:
            self._scope.cancel()
        if self._woken is not None:
            self._woken.set()

    def replay(self, effect: ReplayAnswer) -> None:
        """Take the kept answer of an earlier call; the account that comes next has it written."""
        if isinstance(self.job.answer, PlainAnswer):
            self.job.answer.replay(effect)

    def cancel(self, effect: CancelAttempt) -> None:
        """Stop an attempt, wherever it stands."""
        if effect.attempt_id == self._attempt_id and self._scope is not None:
            self._scope.cancel()
        else:
            self._cancelled.add(effect.attempt_id)

    def check_caller(self, now: float, unread_s: float) -> None:
        """Tell a slow caller from a silent server, and give up on one that has stopped reading.

        While a write waits for the caller nothing is read from the server either. The reducer would
        take that for a silent server and try again on the next, which would wait just the same.
        """
        if not self.caller.blocked:
            self._blocked_since = None
            return
        if self._blocked_since is None:
            self._blocked_since = now
        if now - self._blocked_since > unread_s:
            self._caller_left()
        elif self._attempt_id is not None:
            progress = AttemptProgress(self.request.request_id, self._attempt_id, 0)
            self._node.handle(progress)

    # Called in the caller's task.

    async def run(self, connection: CallerConnection) -> bool:
        """Run the request to its end; False means that the connection must be cut."""
        connection.on_lost = self._caller_left
        try:
            account = await self._run_to_account(connection)
        except BaseException:
            self._abandon()
            raise
        finally:
            connection.on_lost = None
        self.account = account
        return await self.job.answer.finish(account)

    def _abandon(self) -> None:
        """Tell the reducer that nothing more will come, where its account will not be given.

        Without this the request would count as in flight until the process ends, and keep a
        graceful stop from ending.
        """
        self._caller_left()
        if self._attempt_id is not None:
            end = EndCancelled(0)
            ended = AttemptEnded(self.request.request_id, self._attempt_id, end)
            self._node.handle(ended)

    def _caller_left(self) -> None:
        self._node.handle(CallerLeft(self.request.request_id))

    async def _run_to_account(self, connection: CallerConnection) -> Account:
        self._node.handle(RequestArrived(self.request))
        if connection.is_lost:
            # It was lost before anybody watched it.
            self._caller_left()
        while True:
            decision = await self._next_decision()
            match decision:
                case FinishRequest(account):
                    return account
                case StartAttempt():
                    await self._run_attempt(decision)

    async def _next_decision(self) -> StartAttempt | FinishRequest:
        while not self._decisions:
            if self._fault is not None:
                raise self._fault
            self._woken = anyio.Event()
            await self._woken.wait()
            self._woken = None
        return self._decisions.popleft()

    def _stopped(self, attempt: RunningAttempt) -> AttemptEnd:
        """Say how an attempt ended that was stopped.

        Failure: its server crashes, and it is stopped for another reason while a new connection is
        tried. Were the break forgotten, the request would not be known as one that was in flight.
        Whether the server lives was not learnt, so its next report is to say.
        """
        if attempt.broke:
            return EndBroken(attempt.broke, server_alive=True)
        return EndCancelled(self.job.tokens(attempt))

    async def _run_attempt(self, start: StartAttempt) -> None:
        end: AttemptEnd | None = None
        attempt = self.job.attempt(self._node, self._pool, start)
        if start.attempt_id in self._cancelled:
            # Failure: a request that is bound and cancelled over and over keeps the loop to itself,
            # and every other caller of this instance waits. Here the others get their turn.
            await checkpoint()
        else:
            self._attempt_id = start.attempt_id
            with anyio.CancelScope() as scope:
                self._scope = scope
                end = await attempt.run()
            self._attempt_id = None
            self._scope = None
        if end is None:
            end = self._stopped(attempt)
            if attempt.sent:
                self._node.in_background(self.job.cancelled, self._pool, start)
        self._node.handle(AttemptEnded(start.request_id, start.attempt_id, end))
