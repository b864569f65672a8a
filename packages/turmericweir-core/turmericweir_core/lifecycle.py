"""A request's way from arrival to its account: queueing, attempts, retries, the final word.

Every path ends in `finish`, exactly once for each request: it takes the request out of every
structure and tells the caller. What may be said follows from `Request.may_have_run`: `not_run` is
never said after an attempt was sent, unless the server itself said that it had not started.
"""

from __future__ import annotations

from typing import assert_never

from turmericweir_core import queue_state
from turmericweir_core.account import Account, Outcome
from turmericweir_core.account_store import keep_account
from turmericweir_core.config import Kind, Policy
from turmericweir_core.effects import (
    CancelAttempt,
    Count,
    Effect,
    FinishRequest,
    Log,
    ProbeServer,
    StartAttempt,
    Timing,
)
from turmericweir_core.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    CallerLeft,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndRefused,
    EndServerError,
    EndUnsent,
    RequestArrived,
)
from turmericweir_core.ids import RequestId, ServerName, Target, attempt_id
from turmericweir_core.placement import pick_server
from turmericweir_core.reasons import MESSAGES, Reason
from turmericweir_core.request import Attempt, CancelReason, Phase, Request
from turmericweir_core.retry import earn_retry, spend_retry
from turmericweir_core.server_table import Server, note_leaving, note_unreachable
from turmericweir_core.state import State

# --- arrival ---------------------------------------------------------------------------------


def on_arrived(state: State, now: float, event: RequestArrived) -> list[Effect]:
    """Refuse a request at once, or let it wait for a server."""
    req = event.request
    state.requests[req.request_id] = req
    refusal = _refusal(state, now, req)
    if refusal is not None:
        return finish(state, now, req, Outcome.NOT_RUN, refusal, retry_after_s=1.0)
    earn_retry(state.retries, state.options)
    return admit(state, now, req)


def _refusal(state: State, now: float, req: Request) -> Reason | None:
    if not state.has_settings:
        return Reason.NO_SETTINGS
    stopping = state.stopping_since
    if stopping is not None and now - stopping > state.options.stop_grace_s:
        return Reason.STOPPING
    waiting = queue_state.waiting_count(state.queues, req.target, req.service_class.name)
    if waiting >= state.options.queue_limit:
        return Reason.OVERLOAD
    return None


def admit(state: State, now: float, req: Request) -> list[Effect]:
    """Queue a request that passed every check and hand out whatever capacity there is."""
    req.phase = Phase.WAITING
    queue_state.enqueue(state.queues, req)
    return dispatch(state, now, req.target)


# --- dispatch --------------------------------------------------------------------------------


def dispatch(state: State, now: float, target: Target) -> list[Effect]:
    """Bind waiting requests of a target to servers while any has room."""
    effects: list[Effect] = []
    held = state.queues.targets.get(target)
    if held is None:
        return effects
    while True:
        bound = _dispatch_one(state, now, held)
        if not bound:
            return effects
        effects += bound


def _dispatch_one(state: State, now: float, held: queue_state.TargetQueue) -> list[Effect]:
    for queue in _serving_order(state, held):
        req = queue.waiting[0]
        server = pick_server(state, now, req)
        if server is not None:
            queue_state.note_dispatched(held, queue, req)
            return _start(now, req, server)
    return []


def _serving_order(state: State, held: queue_state.TargetQueue) -> list[queue_state.ClassQueue]:
    if state.config.policy is Policy.BASELINE:
        nonempty = [queue for queue in held.classes.values() if queue.waiting]
        return sorted(nonempty, key=lambda queue: queue.waiting[0].arrived)
    return queue_state.in_order(held)


def _start(now: float, req: Request, server: Server) -> list[Effect]:
    name = attempt_id(req.request_id, req.attempts)
    req.attempts += 1
    req.attempt = Attempt(name, server.entry.name, now)
    req.phase = Phase.RUNNING
    server.in_flight[name] = req.priority
    server.sent += 1
    return [
        StartAttempt(
            request_id=req.request_id,
            attempt_id=name,
            server=server.entry.name,
            address=server.entry.address,
            priority=req.priority,
            resume_from=req.delivered if req.kind is Kind.MODEL else 0,
            fresh_connection=not req.repeatable,
        )
    ]


# --- attempts --------------------------------------------------------------------------------


def on_sent(state: State, now: float, event: AttemptSent) -> list[Effect]:
    """Note that from here on a server may have begun."""
    req = state.requests.get(event.request_id)
    if req is None or req.attempt is None or req.attempt.attempt_id != event.attempt_id:
        return []
    req.attempt.sent = True
    return []


def on_progress(state: State, now: float, event: AttemptProgress) -> list[Effect]:
    """Count tokens that were passed on to the caller."""
    req = state.requests.get(event.request_id)
    if req is None:
        return []
    attempt = req.attempt
    if attempt is None or attempt.attempt_id != event.attempt_id:
        return [Count("attempt.late_tokens", event.tokens)]
    attempt.tokens += event.tokens
    attempt.last_token_at = now
    req.delivered += event.tokens
    if attempt.first_token_at is None:
        attempt.first_token_at = now
    if req.first_token_at is None:
        req.first_token_at = now
        return [Timing(f"first_token.{req.service_class.name}", now - req.arrived)]
    return []


def on_ended(state: State, now: float, event: AttemptEnded) -> list[Effect]:
    """Finish the request, or let it wait for another attempt."""
    req = state.requests.get(event.request_id)
    if req is None or req.attempt is None or req.attempt.attempt_id != event.attempt_id:
        # An answer of an older attempt: whatever it brought was wasted work.
        return [Count("attempt.late_end")]
    attempt = req.attempt
    _release(state, attempt)
    req.attempt = None
    effects = _settle(state, now, req, attempt, event.end)
    return effects + dispatch(state, now, req.target)


def _release(state: State, attempt: Attempt) -> None:
    server = state.servers.by_name.get(attempt.server)
    if server is not None:
        server.in_flight.pop(attempt.attempt_id, None)


def _settle(
    state: State, now: float, req: Request, attempt: Attempt, end: AttemptEnd
) -> list[Effect]:
    match end:
        case EndComplete(status):
            return finish(
                state, now, req, Outcome.COMPLETED, Reason.OK, status=status, server=attempt.server
            )
        case EndRefused(_, leaving):
            if leaving:
                note_leaving(state.servers, attempt.server)
            return _try_again(state, now, req, attempt, Reason.OVERLOAD, paid=not leaving)
        case EndUnsent(error):
            note_unreachable(state.servers, state.options, now, attempt.server)
            effects = _try_again(state, now, req, attempt, Reason.NO_SERVER, paid=False)
            return [_attempt_log(req, attempt, "unsent", error), *effects]
        case EndBroken(error, server_alive):
            req.may_have_run = True
            if not server_alive:
                note_unreachable(state.servers, state.options, now, attempt.server)
            effects = _after_loss(state, now, req, attempt, Reason.SERVER_LOST)
            return [_attempt_log(req, attempt, "broken", error), *effects]
        case EndServerError(status):
            req.may_have_run = True
            effects = _after_loss(state, now, req, attempt, Reason.SERVER_ERROR)
            return [_attempt_log(req, attempt, "server_error", str(status)), *effects]
        case EndCancelled():
            req.may_have_run = req.may_have_run or attempt.sent
            return _after_cancel(state, now, req, attempt)
        case unreachable:
            assert_never(unreachable)


def _attempt_log(req: Request, attempt: Attempt, step: str, error: str) -> Log:
    fields = {
        "request_id": req.request_id,
        "attempt_id": attempt.attempt_id,
        "peer": attempt.server,
        "step": step,
        "error": error,
    }
    return Log("attempt_failed", fields)


def _after_loss(
    state: State, now: float, req: Request, attempt: Attempt, reason: Reason
) -> list[Effect]:
    if not req.repeatable:
        # It may have run, and a second run is what the caller must never get.
        return finish(state, now, req, Outcome.UNKNOWN, Reason.EVIDENCE_LOST, server=attempt.server)
    if req.kind is Kind.PLAIN and req.delivered:
        # The caller has part of the answer already; another run could not be joined to it.
        return finish(state, now, req, Outcome.FAILED, reason, server=attempt.server)
    return _try_again(state, now, req, attempt, reason, paid=True)


def _after_cancel(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    reason = attempt.cancelled
    match reason:
        case CancelReason.CALLER_LEFT:
            return finish(state, now, req, _given_up(req), Reason.CALLER_LEFT)
        case CancelReason.DEADLINE:
            return finish(state, now, req, _given_up(req), Reason.DEADLINE)
        case CancelReason.DISPLACED:
            queue_state.enqueue(state.queues, req, front=True)
            req.phase = Phase.WAITING
            return [Count(f"displaced.{req.service_class.name}")]
        case CancelReason.SILENT | None:
            return _after_loss(state, now, req, attempt, Reason.SERVER_LOST)
        case unreachable:
            assert_never(unreachable)


def _given_up(req: Request) -> Outcome:
    if not req.may_have_run:
        return Outcome.NOT_RUN
    return Outcome.FAILED if req.repeatable else Outcome.UNKNOWN


def _try_again(
    state: State, now: float, req: Request, attempt: Attempt, reason: Reason, *, paid: bool
) -> list[Effect]:
    """Put a request back at the front of its queue, where the rules for retries allow it."""
    req.avoid.add(attempt.server)
    if req.caller_left:
        return finish(state, now, req, _given_up(req), Reason.CALLER_LEFT)
    if now >= req.deadline and req.first_token_at is None:
        return finish(state, now, req, _given_up(req), Reason.DEADLINE)
    if req.attempts >= state.options.attempts_max:
        return finish(state, now, req, _given_up(req), reason, server=attempt.server)
    if paid and not spend_retry(state.retries, state.options):
        return finish(state, now, req, _given_up(req), reason, server=attempt.server)
    req.phase = Phase.WAITING
    queue_state.enqueue(state.queues, req, front=True)
    return [Count("attempt.retry")]


# --- giving up -------------------------------------------------------------------------------


def on_caller_left(state: State, now: float, event: CallerLeft) -> list[Effect]:
    """Stop working for a caller that is gone."""
    req = state.requests.get(event.request_id)
    if req is None:
        return []
    req.caller_left = True
    if req.attempt is None:
        queue_state.remove(state.queues, req)
        return finish(state, now, req, _given_up(req), Reason.CALLER_LEFT)
    if not req.repeatable:
        # It cannot be called back, and its account is worth having for the next one who asks.
        return []
    return cancel(req, CancelReason.CALLER_LEFT)


def cancel(req: Request, reason: CancelReason) -> list[Effect]:
    """Order the attempt of a request to stop; the first reason given stands."""
    attempt = req.attempt
    if attempt is None or attempt.cancelled is not None:
        return []
    attempt.cancelled = reason
    return [CancelAttempt(req.request_id, attempt.attempt_id, attempt.server, reason)]


def on_tick(state: State, now: float) -> list[Effect]:
    """Give up what is past its deadline and doubt what has gone silent."""
    effects: list[Effect] = []
    for req in list(queue_state.expired(state.queues, now)):
        if req.first_token_at is not None:
            # Its answer has begun; it waits only for a server to go on with it.
            continue
        queue_state.remove(state.queues, req)
        effects += finish(state, now, req, _given_up(req), Reason.DEADLINE, retry_after_s=1.0)
    for req in list(state.requests.values()):
        if req.attempt is not None:
            effects += _check_running(state, now, req, req.attempt)
    for target in list(state.queues.targets):
        effects += dispatch(state, now, target)
    return effects


def _check_running(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    options = state.options
    late = now > req.deadline + options.deadline_grace_s
    if late and req.first_token_at is None:
        return cancel(req, CancelReason.DEADLINE)
    last = attempt.last_token_at
    if last is None or now - last < options.silence_s:
        return []
    server = state.servers.by_name.get(attempt.server)
    if server is None:
        return cancel(req, CancelReason.SILENT)
    # Silence of a stream that had begun: the connection is doubted, not yet the server. A probe
    # over a new connection says which, and the request goes on elsewhere meanwhile.
    probe = ProbeServer(attempt.server, server.entry.address)
    return [probe, *cancel(req, CancelReason.SILENT)]


# --- the final word --------------------------------------------------------------------------


def finish(
    state: State,
    now: float,
    req: Request,
    outcome: Outcome,
    reason: Reason,
    *,
    status: int | None = None,
    server: ServerName | None = None,
    retry_after_s: float | None = None,
) -> list[Effect]:
    """Give a request its account and forget it."""
    req.phase = Phase.DONE
    state.requests.pop(RequestId(req.request_id), None)
    account = Account(
        request_id=req.request_id,
        outcome=outcome,
        reason=reason,
        detail=MESSAGES[reason],
        retry_after_s=retry_after_s,
        status=status,
        tokens=req.delivered,
        attempts=req.attempts,
        server=server or "",
        service_class=req.service_class.name,
        customer=req.customer,
        elapsed_s=now - req.arrived,
    )
    keep_account(state.accounts, state.options, now, account)
    return [
        FinishRequest(account),
        Count(f"request.{outcome}.{req.service_class.name}"),
        Timing(f"request.{req.service_class.name}", now - req.arrived),
    ]
