"""A request's way from arrival to its account: refusal, queueing, giving up, the final word.

Its attempts, and what follows from their ends, are in `attempt_flow`.

Every path ends in `finish`, exactly once for each request: it takes the request out of every
structure and tells the caller. What may be said follows from `Request.may_have_run`: `not_run` is
never said after an attempt was sent, unless the server itself said that it had not started.
"""

from __future__ import annotations

from typing import assert_never

from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import Kind
from turmericweir_core.base.ids import RequestId, ServerName
from turmericweir_core.base.reasons import MESSAGES, Reason
from turmericweir_core.base.request import Attempt, CancelReason, Phase, Request
from turmericweir_core.claims.claim_end import follows_holder, note_finished
from turmericweir_core.limits import limit
from turmericweir_core.messages.effects import (
    Count,
    Effect,
    FinishRequest,
    Log,
    ProbeServer,
    Timing,
)
from turmericweir_core.messages.events import CallerLeft, RequestArrived, ServerReport
from turmericweir_core.placement import admission
from turmericweir_core.placement.dispatch import (
    cancel,
    dispatch,
    dispatch_all,
    displace,
    pool_name,
    wait_for_server,
)
from turmericweir_core.records.claim_answer import KeptAnswer
from turmericweir_core.state import queue_state
from turmericweir_core.state.account_store import keep_account
from turmericweir_core.state.predict import predict_tokens
from turmericweir_core.state.state import State
from turmericweir_core.store import document, instance_refusal
from turmericweir_core.trust import quarantine, silence, silence_signs, trial
from turmericweir_core.trust.retry import earn_retry

# --- arrival ---------------------------------------------------------------------------------


def on_arrived(state: State, now: float, event: RequestArrived) -> list[Effect]:
    """Refuse a request at once, or let it wait for a server."""
    req = event.request
    state.requests[req.request_id] = req
    refusal = instance_refusal.reason_to_refuse(state, now, req)
    if refusal is not None:
        pause = instance_refusal.come_back_s(state, now, refusal)
        return finish(state, now, req, Outcome.NOT_RUN, refusal, retry_after_s=pause)
    if req.kind is Kind.MODEL:
        req.predicted_tokens = predict_tokens(state.predictor, state.options, req)
    barred = _barred(state, now, req)
    if barred:
        return barred
    effects = _admission(state, now, req)
    if req.phase is Phase.DONE:
        return effects
    earn_retry(state, now, req)
    if req.idempotency_key is not None and not req.repeatable:
        # `claim_flow` admits it once its key is claimed: no claim, no run.
        req.phase = Phase.CLAIMING
        return effects
    return effects + admit(state, now, req)


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
    verdict = admission.decide(state, now, req, pool_name(state, req.target))
    match verdict:
        case admission.Refused(pause, details):
            refused = Log("not_admitted", {"request_id": req.request_id, **details})
            return [
                *([refused] if details else []),
                *finish(state, now, req, Outcome.NOT_RUN, Reason.OVERLOAD, retry_after_s=pause),
            ]
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
    if trial.must_wait(state, now, req):
        trial.hold(state, req)
        return []
    admission.record_admitted(state, now, req, pool_name(state, req.target))
    wait_for_server(state, req)
    return dispatch(state, now, req.target)


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
    if not req.repeatable and req.kind is Kind.PLAIN:
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
    effects += _end_unproven(state, now)
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
        while found := admission.unservable_requests(state, now, pool):
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


def _end_unproven(state: State, now: float) -> list[Effect]:
    """End what waits with a key that may have been taken away meanwhile."""
    if document.proof_age(state, now) <= state.options.key_proof_s:
        return []
    effects: list[Effect] = []
    for request_id in queue_state.waiting_ids(state.queues):
        req = state.requests[request_id]
        if req.keyed:
            queue_state.remove(state.queues, req)
            reason = Reason.KEY_UNPROVEN
            pause = instance_refusal.come_back_s(state, now, reason)
            effects += finish(state, now, req, given_up(req), reason, retry_after_s=pause)
    return effects


def _check_running(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    options = state.options
    late = now > req.deadline + options.deadline_grace_s
    if late and req.first_token_at is None:
        return cancel(req, CancelReason.DEADLINE)
    if req.end_by is not None and now >= req.end_by:
        # The operator's limit ends answers that have begun as well.
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


def given_up(req: Request) -> Outcome:
    """Give the outcome of a request that ends without an answer."""
    if not req.may_have_run:
        return Outcome.NOT_RUN
    return Outcome.FAILED if req.repeatable else Outcome.UNKNOWN


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
