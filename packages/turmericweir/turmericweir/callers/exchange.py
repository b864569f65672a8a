"""Run one caller's request as the reducer decides.

An exchange passes its request to the reducer. It then runs each attempt that the reducer starts and
reports how it ended, until the reducer returns the final account. All of this runs in the caller's
task, which avoids queues and task switches.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.lowlevel import checkpoint
from msgspec.structs import replace

from turmericweir.answers.caller_answer import Answer, Caller, PlainAnswer
from turmericweir.answers.caller_problem import make_failed_account
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
    AnswerForm,
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    CallerLeft,
    EndBroken,
    EndCancelled,
    RequestArrived,
)


class CallerConnection(Protocol):
    """The part of a caller's connection that an exchange uses."""

    on_lost: Callable[[], None] | None

    @property
    def is_lost(self) -> bool:
        """Whether the connection is lost."""


class RunningAttempt(Protocol):
    """The part of an attempt that an exchange uses."""

    @property
    def may_have_started(self) -> bool:
        """Whether the server may have started the request."""

    @property
    def connection_error(self) -> str:
        """The error that broke the connection; empty if it did not break."""

    @property
    def answer_form(self) -> AnswerForm | None:
        """How the server's answer was framed and ended; None if none began."""

    async def run(self) -> AttemptEnd:
        """Run the attempt and return how it ended."""


class RequestJob(Protocol):
    """Makes the attempts of one kind of request and owns the answer."""

    @property
    def answer(self) -> Answer:
        """The answer that attempts write to."""

    def make_attempt(self, node: Node, pool: BackendPool, start: StartAttempt) -> RunningAttempt:
        """Return a new attempt."""

    async def on_attempt_cancelled(self, pool: BackendPool, start: StartAttempt) -> None:
        """Notify the server that an attempt was cancelled."""

    def received_tokens(self, attempt: RunningAttempt) -> int:
        """Return the number of tokens that an attempt has received."""


class Exchange:
    """Runs one request from its arrival to its final account."""

    __slots__ = (
        "_attempt_id",
        "_attempt_scope",
        "_blocked_since",
        "_cancelled_attempts",
        "_decision_event",
        "_decisions",
        "_fault",
        "_node",
        "_pool",
        "account",
        "caller",
        "job",
        "request",
    )

    _node: Node
    _pool: BackendPool
    request: Request
    caller: Caller
    job: RequestJob
    # Decisions of the reducer that have not been executed yet.
    _decisions: deque[StartAttempt | FinishRequest]
    # Set when a decision arrives; None while the exchange does not wait for one.
    _decision_event: anyio.Event | None
    # The running attempt and the scope that cancels it.
    _attempt_id: AttemptId | None
    _attempt_scope: anyio.CancelScope | None
    # Attempts that were cancelled before they were started.
    _cancelled_attempts: set[AttemptId]
    # Since when a write to the caller is blocked; None while no write is blocked.
    _blocked_since: float | None
    # An internal error in the handling of an event of this request; no decision may follow it.
    _fault: BaseException | None
    # The final account; None before the request ends.
    account: Account | None

    def __init__(
        self, node: Node, pool: BackendPool, request: Request, caller: Caller, job: RequestJob
    ) -> None:
        self._node = node
        self._pool = pool
        self.request = request
        self.caller = caller
        self.job = job
        self._decisions = deque()
        self._decision_event = None
        self._attempt_id = None
        self._attempt_scope = None
        self._cancelled_attempts = set()
        self._blocked_since = None
        self._fault = None
        self.account = None

    # Called by the node.

    def add_decision(self, decision: StartAttempt | FinishRequest) -> None:
        """Queue a decision of the reducer."""
        self._decisions.append(decision)
        if self._decision_event is not None:
            self._decision_event.set()

    def abort_request(self, fault: BaseException) -> None:
        """Abort the request after an internal error."""
        self._fault = fault
        if self._attempt_scope is not None:
            self._attempt_scope.cancel()
        if self._decision_event is not None:
            self._decision_event.set()

    def replay(self, effect: ReplayAnswer) -> None:
        """Replace the answer by the stored answer of an earlier call with the same key."""
        if isinstance(self.job.answer, PlainAnswer):
            self.job.answer.replay(effect)

    def cancel(self, effect: CancelAttempt) -> None:
        """Cancel an attempt, whether or not it has started."""
        if effect.attempt_id == self._attempt_id and self._attempt_scope is not None:
            self._attempt_scope.cancel()
        else:
            self._cancelled_attempts.add(effect.attempt_id)

    def check_blocked_caller(self, now: float, unread_s: float) -> None:
        """Report a blocked caller as progress, or as disconnected after `unread_s` seconds.

        Nothing is read from the server while a write to the caller is blocked. Prevents the reducer
        from treating the server as unresponsive and retrying.
        """
        if not self.caller.is_write_blocked:
            self._blocked_since = None
            return
        if self._blocked_since is None:
            self._blocked_since = now
        if now - self._blocked_since > unread_s:
            self._report_caller_left()
        elif self._attempt_id is not None:
            progress = AttemptProgress(self.request.request_id, self._attempt_id, 0)
            self._node.handle(progress)

    # Called from the caller's task.

    async def run(self, connection: CallerConnection) -> bool:
        """Run the request; return False if the connection must be reset."""
        try:
            self.account = await self._reach_account(connection)
            return await self.job.answer.finish(self.account)
        except Exception:
            self.account = self._failed_account()
            raise

    async def _reach_account(self, connection: CallerConnection) -> Account:
        connection.on_lost = self._report_caller_left
        try:
            return await self._run_to_account(connection)
        except BaseException:
            self._report_aborted()
            raise
        finally:
            connection.on_lost = None

    def _failed_account(self) -> Account:
        """Return the account of a request that an internal error ended."""
        accounts = [each.account for each in self._decisions if isinstance(each, FinishRequest)]
        account = self.account or (accounts[-1] if accounts else None)
        failed = make_failed_account(self.request.request_id)
        if account is None:
            return failed
        return replace(
            account, outcome=failed.outcome, reason=failed.reason, detail=failed.detail, status=None
        )

    def _report_aborted(self) -> None:
        """Report to the reducer that the caller left and the attempt was cancelled.

        Prevents an aborted request from counting as in flight, which would block a graceful stop.
        """
        self._report_caller_left()
        if self._attempt_id is not None:
            end = EndCancelled(0)
            ended = AttemptEnded(self.request.request_id, self._attempt_id, end)
            self._node.handle(ended)

    def _report_caller_left(self) -> None:
        self._node.handle(CallerLeft(self.request.request_id))

    async def _run_to_account(self, connection: CallerConnection) -> Account:
        self._node.handle(RequestArrived(self.request))
        if connection.is_lost:
            # The connection was lost before `on_lost` was set.
            self._report_caller_left()
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
            self._decision_event = anyio.Event()
            await self._decision_event.wait()
            self._decision_event = None
        return self._decisions.popleft()

    def _cancelled_end(self, attempt: RunningAttempt) -> AttemptEnd:
        """Return how a cancelled attempt ended.

        A connection that broke before the cancellation is reported as broken. Otherwise a request
        that was in flight when its server crashed would not be recorded as such. The server counts
        as alive until its next load report, as its state is unknown.
        """
        if attempt.connection_error:
            return EndBroken(attempt.connection_error, server_alive=True)
        return EndCancelled(self.job.received_tokens(attempt))

    async def _run_attempt(self, start: StartAttempt) -> None:
        end: AttemptEnd | None = None
        attempt = self.job.make_attempt(self._node, self._pool, start)
        if start.attempt_id in self._cancelled_attempts:
            # Prevents a request that is repeatedly placed and cancelled from blocking the event
            # loop.
            await checkpoint()
        else:
            self._attempt_id = start.attempt_id
            with anyio.CancelScope() as scope:
                self._attempt_scope = scope
                end = await attempt.run()
            self._attempt_id = None
            self._attempt_scope = None
        if end is None:
            end = self._cancelled_end(attempt)
            if attempt.may_have_started:
                self._node.run_in_background(self.job.on_attempt_cancelled, self._pool, start)
        ended = AttemptEnded(start.request_id, start.attempt_id, end, attempt.answer_form)
        self._node.handle(ended)
