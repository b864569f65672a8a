"""An attempt's way from its start to its end, and what its end means for the request.

`dispatch` starts attempts and the node reports on them. A request whose attempt failed waits for
another only here, under the rules for retries: within its deadline, within the budget, and never
where it may have run and must not run twice.
"""

from __future__ import annotations

from typing import assert_never

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import Kind, Policy
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Attempt, CancelReason, Phase, Request
from turmericweir_core.engines import engine_model
from turmericweir_core.messages.effects import Count, Effect, Log, Timing
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndRefused,
    EndServerError,
    EndUnsent,
)
from turmericweir_core.placement import attempt_books, moving
from turmericweir_core.placement.dispatch import dispatch, release, wait_for_server
from turmericweir_core.requests.lifecycle import finish, given_up
from turmericweir_core.state import queue_state, usage_meter
from turmericweir_core.state.server_table import note_leaving, note_unreachable
from turmericweir_core.state.state import State
from turmericweir_core.trust import quarantine, silence, trial
from turmericweir_core.trust.retry import spend_retry


def on_sent(state: State, now: float, event: AttemptSent) -> list[Effect]:
    """Note that from here on a server may have begun."""
    req = state.requests.get(event.request_id)
    if req is None or req.attempt is None or req.attempt.attempt_id != event.attempt_id:
        return []
    req.attempt.sent = True
    req.sends += 1
    req.attempt.kept_connection = event.kept_connection
    return []


def on_progress(state: State, now: float, event: AttemptProgress) -> list[Effect]:
    """Count tokens that were passed on to the caller."""
    req = state.requests.get(event.request_id)
    if req is None:
        return []
    attempt = req.attempt
    if attempt is None or attempt.attempt_id != event.attempt_id:
        return [Count("attempt.late_tokens", event.tokens)]
    if event.tokens == 0:
        # Nothing came, because the caller does not read; the server is not to blame.
        attempt.last_token_at = now if attempt.first_token_at is not None else None
        attempt.late_gaps = 0
        return []
    quarantine.note_progress(state, attempt)
    last = attempt.last_token_at
    attempt.tokens += event.tokens
    attempt.last_token_at = now
    req.delivered += event.tokens
    if last is None:
        return _on_first_token(state, now, req, attempt)
    attempt.longest_gap = max(attempt.longest_gap, now - last)
    attempt.worst_gap = max(attempt.worst_gap, now - last)
    if now - last <= attempt.gap_late_s * event.tokens:
        attempt.late_gaps = 0
        return []
    return moving.on_late_gap(state, now, req, attempt, (now - last) / event.tokens)


def _on_first_token(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    attempt.first_token_at = now
    predicted = engine_model.predicted_ms(state, attempt)
    attempt_books.note_first_token(state, now, req, attempt)
    silence.note_begun(state, now, attempt)
    effects: list[Effect] = [Timing(f"attempt.first_token.{attempt.server}", now - attempt.started)]
    if predicted is not None:
        fields = {"request_id": req.request_id, "peer": attempt.server}
        times = {"predicted_ms": round(predicted), "took_ms": round(1000 * (now - attempt.started))}
        effects.append(Log("begun", {**fields, **times}))
    if state.meter is not None:
        usage_meter.note_begun(state.meter, now, req, attempt)
    if req.first_token_at is None:
        req.first_token_at = now
        effects.append(Timing(f"first_token.{req.service_class.name}", now - req.arrived))
    if state.config.policy is Policy.PREDICTED and queue_state.anything_waits(
        state.queues, attempt.pool
    ):
        # What it has had the engine read is in the cache now; others may wait for just that.
        effects += dispatch(state, now, req.target)
    return effects


def on_ended(state: State, now: float, event: AttemptEnded) -> list[Effect]:
    """Finish the request, or let it wait for another attempt."""
    req = state.requests.get(event.request_id)
    if req is None or req.attempt is None or req.attempt.attempt_id != event.attempt_id:
        # An answer of an older attempt: whatever it brought was wasted work.
        return [Count("attempt.late_end")]
    attempt = req.attempt
    effects = release(state, now, req, attempt)
    attempt_books.record_outcome(state, now, attempt, event.end)
    effects += attempt_books.count_end(now, attempt, event.end)
    if state.config.policy is Policy.PREDICTED:
        effects.append(_end_log(now, req, attempt, event.end))
    req.attempt = None
    broken = isinstance(event.end, EndBroken)
    if state.meter is not None and _was_begun(req, attempt, event.end):
        usage_meter.note_begun(state.meter, now, req, attempt)
    effects += trial.note_ended(state, now, attempt.attempt_id, broken=broken)
    effects += _settle(state, now, req, attempt, event.end)
    return effects + dispatch(state, now, req.target)


def _was_begun(req: Request, attempt: Attempt, end: AttemptEnd) -> bool:
    """Tell whether the end of a plain call shows that its server had begun it, or may have."""
    if req.kind is Kind.MODEL or not attempt.sent:
        return False
    return not isinstance(end, EndRefused | EndUnsent)


def _end_log(now: float, req: Request, attempt: Attempt, end: AttemptEnd) -> Log:
    fields = {
        "request_id": req.request_id,
        "attempt_id": attempt.attempt_id,
        "peer": attempt.server,
        "end": type(end).__name__,
        "cancelled": attempt.cancelled,
        "sent": attempt.sent,
        "kept_connection": attempt.kept_connection,
        "events": attempt.tokens,
        "worst_gap_ms": round(1000 * attempt.worst_gap),
        "took_ms": round(1000 * (now - attempt.started)),
    }
    return Log("attempt_ended", fields)


def _settle(
    state: State, now: float, req: Request, attempt: Attempt, end: AttemptEnd
) -> list[Effect]:
    match end:
        case EndComplete(status, answer):
            if attempt.first_token_at is None:
                silence.note_begun(state, now, attempt)
            learnt = attempt_books.record_completed(state, now, req, attempt)
            finished = finish(
                state,
                now,
                req,
                Outcome.COMPLETED,
                Reason.OK,
                status=status,
                server=attempt.server,
                answer=answer,
            )
            return finished + learnt
        case EndRefused(_, leaving):
            if leaving:
                note_leaving(state.servers, attempt.server)
            if attempt.sent:
                # Failure where it counts as one of the servers that may run it: a call that may be
                # sent to one server ends with the first that is full, though others are free.
                req.sends -= 1
            paid = not leaving or state.options.retry_pay_all
            return _try_again(state, now, req, attempt, Reason.OVERLOAD, paid=paid)
        case EndUnsent(error) if attempt.sent:
            # Whoever reported the first byte cannot take it back: `not_run` would be a guess.
            return _settle(state, now, req, attempt, EndBroken(error, server_alive=False))
        case EndUnsent(error):
            note_unreachable(state.servers, state.options, now, attempt.server)
            effects = _try_again(state, now, req, attempt, Reason.NO_SERVER, paid=False)
            return [_attempt_log(req, attempt, "unsent", error), *effects]
        case EndBroken(error, server_alive):
            req.may_have_run = True
            if not server_alive:
                note_unreachable(state.servers, state.options, now, attempt.server)
            quarantine.note_broken(state, now, req, attempt, server_alive)
            log = _attempt_log(req, attempt, "broken", error)
            if attempt.cancelled is not None:
                # It broke while it was being stopped, for a reason that stands all the same.
                return [log, *_after_cancel(state, now, req, attempt)]
            # What a crash cut off adds no load by going on elsewhere: its server has none now. The
            # budget is for the rest, and a crash of a full server would spend it at a stroke.
            paid = server_alive or state.options.retry_pay_all
            effects = _after_loss(state, now, req, attempt, Reason.SERVER_LOST, paid=paid)
            return [log, *effects]
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
    state: State,
    now: float,
    req: Request,
    attempt: Attempt,
    reason: Reason,
    *,
    paid: bool = True,
) -> list[Effect]:
    if not req.repeatable:
        # It may have run, and a second run is what the caller must never get.
        return finish(state, now, req, Outcome.UNKNOWN, Reason.EVIDENCE_LOST, server=attempt.server)
    if req.kind is Kind.PLAIN and req.delivered:
        # The caller has part of the answer already; another run could not be joined to it.
        return finish(state, now, req, Outcome.FAILED, reason, server=attempt.server)
    return _try_again(state, now, req, attempt, reason, paid=paid)


def _after_cancel(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    reason = attempt.cancelled
    match reason:
        case CancelReason.CALLER_LEFT:
            return finish(state, now, req, given_up(req), Reason.CALLER_LEFT)
        case CancelReason.DEADLINE:
            return finish(state, now, req, given_up(req), Reason.DEADLINE)
        case CancelReason.DISPLACED:
            if not req.repeatable and req.may_have_run:
                # Whoever displaced it took it for one that may be run again, which it may not.
                return _after_loss(state, now, req, attempt, Reason.DISPLACED)
            count = Count(f"displaced.{req.service_class.name}")
            return [count, *_go_on_elsewhere(state, now, req)]
        case CancelReason.MOVED:
            # Paid for when it was decided, and never asked of a request that may not run again.
            req.avoid.add(attempt.server)
            return _go_on_elsewhere(state, now, req)
        case CancelReason.SERVER_DEAD:
            quarantine.note_broken(state, now, req, attempt, alive=False)
            note_unreachable(state.servers, state.options, now, attempt.server)
            return _after_loss(state, now, req, attempt, Reason.SERVER_LOST)
        case CancelReason.QUARANTINED:
            return finish(state, now, req, Outcome.FAILED, Reason.QUARANTINED)
        case CancelReason.SILENT | None if not attempt.sent:
            return _try_again(state, now, req, attempt, Reason.NO_SERVER, paid=False)
        case CancelReason.SILENT:
            quarantine.note_silent(state, now, req, attempt)
            # Paid for when it was doubted.
            return _after_loss(state, now, req, attempt, Reason.SERVER_LOST, paid=False)
        case None:
            return _after_loss(state, now, req, attempt, Reason.SERVER_LOST)
        case unreachable:
            assert_never(unreachable)


def _go_on_elsewhere(state: State, now: float, req: Request) -> list[Effect]:
    """Let a request wait again whose attempt was stopped for no fault of its own."""
    if req.caller_left:
        # It left before the attempt had ended. Without this the rest would be generated for nobody.
        return finish(state, now, req, given_up(req), Reason.CALLER_LEFT)
    _wait_again(state, now, req)
    return []


def _try_again(
    state: State, now: float, req: Request, attempt: Attempt, reason: Reason, *, paid: bool
) -> list[Effect]:
    """Put a request back at the front of its queue, where the rules for retries allow it."""
    req.avoid.add(attempt.server)
    if req.caller_left:
        return finish(state, now, req, given_up(req), Reason.CALLER_LEFT)
    if now >= req.deadline and req.first_token_at is None:
        return finish(state, now, req, given_up(req), Reason.DEADLINE)
    if req.tries >= state.options.attempts_max:
        return finish(state, now, req, given_up(req), reason, server=attempt.server)
    if req.sends_max is not None and req.sends >= req.sends_max:
        return finish(state, now, req, given_up(req), reason, server=attempt.server)
    if paid and not spend_retry(state, now, req):
        return finish(state, now, req, given_up(req), reason, server=attempt.server)
    _wait_again(state, now, req)
    return [Count("attempt.retry")]


def _wait_again(state: State, now: float, req: Request) -> None:
    req.phase = Phase.WAITING
    if trial.must_wait(state, now, req):
        trial.hold_after_crash(state, now, req)
    else:
        wait_for_server(state, req, front=True)
