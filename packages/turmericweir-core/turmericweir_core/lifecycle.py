"""A request's way from arrival to its account: queueing, attempts, retries, the final word.

Every path ends in `finish`, exactly once for each request: it takes the request out of every
structure and tells the caller. What may be said follows from `Request.may_have_run`: `not_run` is
never said after an attempt was sent, unless the server itself said that it had not started.
"""

from __future__ import annotations

from typing import assert_never

from turmericweir_core import (
    admission,
    attempt_books,
    limit,
    moving,
    quarantine,
    queue_state,
    silence,
    silence_signs,
    trial,
)
from turmericweir_core.account import Account, Outcome
from turmericweir_core.account_store import keep_account
from turmericweir_core.claim_answer import KeptAnswer
from turmericweir_core.claim_end import follows_holder, note_finished
from turmericweir_core.config import Kind
from turmericweir_core.dispatch import (
    cancel,
    dispatch,
    dispatch_all,
    displace,
    pool_name,
    release,
    wait_for_server,
)
from turmericweir_core.effects import (
    Count,
    Effect,
    FinishRequest,
    Log,
    ProbeServer,
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
    ServerReport,
)
from turmericweir_core.ids import RequestId, ServerName
from turmericweir_core.predict import predict_tokens
from turmericweir_core.reasons import MESSAGES, Reason
from turmericweir_core.request import Attempt, CancelReason, Phase, Request
from turmericweir_core.retry import earn_retry, spend_retry
from turmericweir_core.server_table import note_leaving, note_unreachable
from turmericweir_core.state import State

# --- arrival ---------------------------------------------------------------------------------


def on_arrived(state: State, now: float, event: RequestArrived) -> list[Effect]:
    """Refuse a request at once, or let it wait for a server."""
    req = event.request
    state.requests[req.request_id] = req
    refusal = _refusal(state, now, req)
    if refusal is not None:
        return finish(state, now, req, Outcome.NOT_RUN, refusal, retry_after_s=1.0)
    if req.kind is Kind.MODEL:
        req.predicted_tokens = predict_tokens(state.predictor, state.options, req)
    barred = _barred(state, now, req)
    if barred:
        return barred
    effects = _admission(state, now, req)
    if req.phase is Phase.DONE:
        return effects
    earn_retry(state.retries, state.options)
    if req.idempotency_key is not None and not req.repeatable:
        # `claim_flow` admits it once its key is claimed: no claim, no run.
        req.phase = Phase.CLAIMING
        return effects
    return effects + admit(state, now, req)


def _refusal(state: State, now: float, req: Request) -> Reason | None:
    if not state.has_settings:
        return Reason.NO_SETTINGS
    stopping = state.stopping_since
    if stopping is not None and now - stopping > state.options.stop_grace_s:
        return Reason.STOPPING
    return None


def _barred(state: State, now: float, req: Request) -> list[Effect]:
    """Refuse a request that crashes servers, or whose customer or team is over a limit."""
    refused_s = quarantine.refused_for(state, now, req.fingerprint)
    if refused_s is not None:
        # It has run, as another request of the same content: `not_run` would invite another try.
        return finish(state, now, req, Outcome.FAILED, Reason.QUARANTINED, retry_after_s=refused_s)
    over = limit.charge(state, now, req)
    if over is not None:
        return finish(
            state, now, req, Outcome.NOT_RUN, over.reason, retry_after_s=over.retry_after_s
        )
    return []


def _admission(state: State, now: float, req: Request) -> list[Effect]:
    """Refuse what cannot be answered in time, and let lower work make way before that."""
    verdict = admission.judge(state, now, req, pool_name(state, req.target))
    match verdict:
        case admission.Refused(pause):
            return finish(state, now, req, Outcome.NOT_RUN, Reason.OVERLOAD, retry_after_s=pause)
        case admission.Admitted(displaced, dropped):
            effects = displace(state, displaced) if displaced is not None else []
            return effects + (_drop(state, now, dropped) if dropped is not None else [])
        case unreachable:
            assert_never(unreachable)


def _drop(state: State, now: float, req: Request) -> list[Effect]:
    """End a waiting request that nothing was run of, for the sake of an upper tier."""
    queue_state.remove(state.queues, req)
    pause = admission.retry_after(state, now, req, 0.0)
    return finish(state, now, req, Outcome.NOT_RUN, Reason.DISPLACED, retry_after_s=pause)


def admit(state: State, now: float, req: Request) -> list[Effect]:
    """Queue a request that passed every check and hand out whatever capacity there is."""
    req.phase = Phase.WAITING
    if quarantine.is_suspect(state, req.fingerprint):
        trial.hold(state, req)
        return []
    admission.note_admitted(state, now, req, pool_name(state, req.target))
    wait_for_server(state, req)
    return dispatch(state, now, req.target)


# --- attempts --------------------------------------------------------------------------------


def on_sent(state: State, now: float, event: AttemptSent) -> list[Effect]:
    """Note that from here on a server may have begun."""
    req = state.requests.get(event.request_id)
    if req is None or req.attempt is None or req.attempt.attempt_id != event.attempt_id:
        return []
    req.attempt.sent = True
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
    last = attempt.last_token_at
    attempt.tokens += event.tokens
    attempt.last_token_at = now
    req.delivered += event.tokens
    if last is None:
        return _on_first_token(state, now, req, attempt)
    attempt.longest_gap = max(attempt.longest_gap, now - last)
    if now - last <= attempt.gap_late_s * event.tokens:
        attempt.late_gaps = 0
        return []
    return moving.on_late_gap(state, now, req, attempt, (now - last) / event.tokens)


def _on_first_token(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    attempt.first_token_at = now
    attempt_books.note_first_token(state, now, req, attempt)
    silence.note_begun(state, now, attempt)
    effects: list[Effect] = [Timing(f"attempt.first_token.{attempt.server}", now - attempt.started)]
    if req.first_token_at is None:
        req.first_token_at = now
        effects.append(Timing(f"first_token.{req.service_class.name}", now - req.arrived))
    return effects


def on_ended(state: State, now: float, event: AttemptEnded) -> list[Effect]:
    """Finish the request, or let it wait for another attempt."""
    req = state.requests.get(event.request_id)
    if req is None or req.attempt is None or req.attempt.attempt_id != event.attempt_id:
        # An answer of an older attempt: whatever it brought was wasted work.
        return [Count("attempt.late_end")]
    attempt = req.attempt
    effects = release(state, now, req, attempt)
    effects += attempt_books.report_end(now, attempt, event.end)
    req.attempt = None
    broken = isinstance(event.end, EndBroken)
    effects += trial.note_ended(state, now, attempt.attempt_id, broken=broken)
    effects += _settle(state, now, req, attempt, event.end)
    return effects + dispatch(state, now, req.target)


def _settle(
    state: State, now: float, req: Request, attempt: Attempt, end: AttemptEnd
) -> list[Effect]:
    match end:
        case EndComplete(status, answer):
            if attempt.first_token_at is None:
                silence.note_begun(state, now, attempt)
            learnt = attempt_books.note_completed(state, now, req, attempt)
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
            return _try_again(state, now, req, attempt, Reason.OVERLOAD, paid=not leaving)
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
            # What a crash cut off adds no load by going on elsewhere: its server has none now. The
            # budget is for the rest, and a crash of a full server would spend it at a stroke.
            paid = server_alive
            effects = _after_loss(state, now, req, attempt, Reason.SERVER_LOST, paid=paid)
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
        case CancelReason.QUARANTINED:
            return finish(state, now, req, Outcome.FAILED, Reason.QUARANTINED)
        case CancelReason.SILENT | None if not attempt.sent:
            return _try_again(state, now, req, attempt, Reason.NO_SERVER, paid=False)
        case CancelReason.SILENT:
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


def given_up(req: Request) -> Outcome:
    """Give the outcome of a request that ends without an answer."""
    if not req.may_have_run:
        return Outcome.NOT_RUN
    return Outcome.FAILED if req.repeatable else Outcome.UNKNOWN


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
    if paid and not spend_retry(state.retries, state.options):
        return finish(state, now, req, given_up(req), reason, server=attempt.server)
    _wait_again(state, now, req)
    return [Count("attempt.retry")]


def _wait_again(state: State, now: float, req: Request) -> None:
    req.phase = Phase.WAITING
    if quarantine.is_suspect(state, req.fingerprint):
        trial.hold_after_crash(state, now, req)
    else:
        wait_for_server(state, req, front=True)


# --- giving up -------------------------------------------------------------------------------


def on_caller_left(state: State, now: float, event: CallerLeft) -> list[Effect]:
    """Stop working for a caller that is gone."""
    req = state.requests.get(event.request_id)
    if req is None:
        return []
    req.caller_left = True
    if req.attempt is None:
        queue_state.remove(state.queues, req)
        outcome = Outcome.UNKNOWN if follows_holder(state, req) else given_up(req)
        return finish(state, now, req, outcome, Reason.CALLER_LEFT)
    if not req.repeatable:
        # It cannot be called back, and its account is worth having for the next one who asks.
        return []
    return cancel(req, CancelReason.CALLER_LEFT)


def on_tick(state: State, now: float) -> list[Effect]:
    """Give up what is past its deadline and doubt what has gone silent."""
    effects: list[Effect] = []
    for req in list(queue_state.expired(state.queues, now)):
        if req.first_token_at is not None:
            # Its answer has begun; it waits only for a server to go on with it.
            continue
        queue_state.remove(state.queues, req)
        effects += finish(state, now, req, given_up(req), Reason.DEADLINE, retry_after_s=1.0)
    effects += silence_signs.on_tick(state, now)
    effects += _end_in_vain(state, now)
    for req in list(state.requests.values()):
        if req.attempt is not None:
            effects += _check_running(state, now, req, req.attempt)
    return effects + dispatch_all(state, now)


def on_server_answered(state: State, now: float, report: ServerReport) -> list[Effect]:
    """Doubt what its server's answer over a new connection proves to be lost."""
    if not silence_signs.note_report(state, now, report):
        return []
    effects: list[Effect] = []
    for req in list(state.requests.values()):
        if req.attempt is not None and req.attempt.server == report.server:
            effects += _check_running(state, now, req, req.attempt)
    return effects


def _end_in_vain(state: State, now: float) -> list[Effect]:
    """Tell callers now whose late requests would only wait until their deadlines."""
    effects: list[Effect] = []
    for pool in state.queues.pools:
        while found := admission.in_vain(state, now, pool):
            for each in found:
                queue_state.remove(state.queues, each.request)
                effects += finish(
                    state,
                    now,
                    each.request,
                    Outcome.NOT_RUN,
                    Reason.OVERLOAD,
                    retry_after_s=each.retry_after_s,
                )
    return effects


def _check_running(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    options = state.options
    late = now > req.deadline + options.deadline_grace_s
    if late and req.first_token_at is None:
        return cancel(req, CancelReason.DEADLINE)
    if attempt.cancelled is not None or not silence.is_doubtful(state, now, req, attempt):
        return []
    req.went_silent = True
    effects: list[Effect] = [Count(f"silence.doubted.{attempt.server}")]
    server = state.servers.by_name.get(attempt.server)
    if server is not None:
        # The connection is doubted, not yet the server. A probe over a new connection says which,
        # and the request goes on elsewhere meanwhile.
        effects.append(ProbeServer(attempt.server, server.entry.address))
    return effects + cancel(req, CancelReason.SILENT)


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
    answer: KeptAnswer | None = None,
) -> list[Effect]:
    """Give a request its account and forget it."""
    req.phase = Phase.DONE
    state.requests.pop(RequestId(req.request_id), None)
    trial.let_go(state, req.request_id)
    limit.settle(state, now, req, outcome)
    if outcome is Outcome.COMPLETED:
        quarantine.note_cleared(state, now, req.fingerprint)
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
        *note_finished(state, now, account, answer),
        FinishRequest(account),
        Count(f"request.{outcome}.{req.service_class.name}"),
        Timing(f"request.{req.service_class.name}", now - req.arrived),
    ]
