"""Process a request from its arrival to its account: refusal, queueing, giving up, finishing.

`attempt_flow` handles its attempts. Every path ends in `finish`, exactly once for each request: it
removes the request from all structures and answers the caller. `Request.may_have_run` decides
which outcome the caller may get: `not_run` is never used after an attempt was sent, unless the
server itself reported that it had not started.
"""

from __future__ import annotations

from typing import Final, assert_never

from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.account_text import describe_end
from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import RequestId, ServerName
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.release import UNKNOWN_RELEASE
from turmericweir_core.base.request import Attempt, CancelReason, Request, RequestPhase
from turmericweir_core.claims.claim_end import note_finished, waits_for_holder
from turmericweir_core.limits import limit
from turmericweir_core.membership import server_list
from turmericweir_core.messages.effects import (
    Count,
    Effect,
    FinishRequest,
    Log,
    ProbeServer,
    Timing,
)
from turmericweir_core.messages.events import CallerLeft, RequestArrived, ServerReport
from turmericweir_core.placement import admission, late_refusal, stop_cutoff
from turmericweir_core.placement.dispatch import (
    cancel,
    dispatch,
    dispatch_all,
    displace,
    pool_name,
    wait_for_server,
)
from turmericweir_core.queueing import fair_share
from turmericweir_core.records.claim_answer import StoredAnswer
from turmericweir_core.state import queue_state
from turmericweir_core.state.account_store import store_account
from turmericweir_core.state.predict import predict_tokens
from turmericweir_core.state.state import State
from turmericweir_core.store import document, instance_refusal
from turmericweir_core.streams import stream_bindings, stream_lookup
from turmericweir_core.streams.stream_lookup import Found, Pending, Unknown
from turmericweir_core.streams.stream_servers import is_in_service
from turmericweir_core.trust import (
    isolated_runs,
    liveness_evidence,
    lost_connections,
    quarantine,
    retry,
)

# Time before the end of a stopping instance at which the last waiting requests are answered.
_STOP_ANSWER_S: Final = 0.5
# Time after which a server of the release of a stream may be back.
_STREAM_PAUSE_S: Final = 1.0

# --- arrival ---------------------------------------------------------------------------------


def on_arrived(state: State, now: float, event: RequestArrived) -> list[Effect]:
    """Refuse a request at once, or let it wait for a server."""
    req = event.request
    state.requests[req.request_id] = req
    refusal = instance_refusal.reason_to_refuse(state, now, req)
    if refusal is not None:
        retry_after_s = instance_refusal.refusal_retry_after_s(state, now, refusal)
        return finish(state, now, req, Outcome.NOT_RUN, refusal, retry_after_s=retry_after_s)
    if req.taken_up_after and req.is_resumable:
        return [_taken_up_log(req), *_look_up_stream(state, now, req)]
    return _decide_on_arrival(state, now, req)


def _look_up_stream(state: State, now: float, req: Request) -> list[Effect]:
    match stream_lookup.look_up(state, now, req):
        case Pending(effects):
            req.phase = RequestPhase.LOOKING_UP
            return effects
        case result:
            return on_looked_up(state, now, req, result)


def on_looked_up(state: State, now: float, req: Request, result: Found | Unknown) -> list[Effect]:
    """Go on with a request that takes up a stream, or refuse it."""
    if isinstance(result, Unknown) or result.binding.release == UNKNOWN_RELEASE:
        unknown = result if isinstance(result, Unknown) else Unknown()
        return _refuse_stream(state, now, req, Reason.STREAM_UNKNOWN, unknown)
    effects = _concluded_logs(req, result)
    effects += stream_bindings.take_up(state, now, req, result.binding)
    targets = (req.target, *req.other_targets)
    release = result.binding.release
    target = next((each for each in targets if is_in_service(state, each, release)), None)
    if target is None:
        return effects + _refuse_stream(state, now, req, Reason.VERSION_GONE)
    req.target = target
    return effects + _decide_on_arrival(state, now, req)


def _concluded_logs(req: Request, found: Found) -> list[Effect]:
    """Return the log of a conclusion that a stream began at the only release of its service."""
    conclusion = found.conclusion
    if conclusion is None:
        return []
    fields = {
        "request_id": req.request_id,
        "stream_id": req.stream_id,
        "release": found.binding.release,
        "list_age_ms": round(1000 * conclusion.list_age_s),
        "has_history": conclusion.has_history,
        "is_vouched": conclusion.is_vouched,
        "ignorant_peers": conclusion.ignorant_peers,
    }
    return [Count("streams.concluded"), Log("stream_concluded", fields)]


def _refuse_stream(
    state: State, now: float, req: Request, reason: Reason, unknown: Unknown | None = None
) -> list[Effect]:
    retry_after_s = None if unknown is None else unknown.retry_after_s
    fields = {
        "request_id": req.request_id,
        "stream_id": req.stream_id,
        "reason": reason,
        "bound_release": req.release,
        "bound_by": req.release_source,
        "looked_up_ms": round(1000 * (now - req.arrived_at)),
        "awaited_list": unknown is not None and unknown.awaits_list,
    }
    log = Log("stream_refused", fields)
    pause_s = _STREAM_PAUSE_S if retry_after_s is None else max(_STREAM_PAUSE_S, retry_after_s)
    return [log, *finish(state, now, req, Outcome.NOT_RUN, reason, retry_after_s=pause_s)]


def _taken_up_log(req: Request) -> Log:
    fields = {
        "request_id": req.request_id,
        "stream_id": req.stream_id,
        "after_event": req.taken_up_after,
        "service_class": req.service_class.name,
    }
    return Log("stream_taken_up", fields)


def _decide_on_arrival(state: State, now: float, req: Request) -> list[Effect]:
    if req.kind is ServiceKind.MODEL:
        req.predicted_tokens = predict_tokens(state.predictor, state.options, req)
    refusal_effects = _refuse_quarantined_or_limited(state, now, req)
    if refusal_effects:
        return refusal_effects
    effects = _decide_admission(state, now, req)
    if req.phase is RequestPhase.DONE:
        return effects
    retry.earn_retry(state, now, req)
    if req.idempotency_key is not None and not req.repeatable:
        # `claim_flow` admits it once its key is claimed.
        req.phase = RequestPhase.CLAIMING
        return effects
    return effects + admit(state, now, req)


def _refuse_quarantined_or_limited(state: State, now: float, req: Request) -> list[Effect]:
    """Refuse a request that crashes servers, or whose customer or team is over a limit."""
    if isolated_runs.refusal_remaining_s(state, now, req) is not None:
        return refuse_quarantined(state, now, req)
    exceeded_limit = limit.charge(state, now, req)
    if exceeded_limit is not None:
        return finish(
            state,
            now,
            req,
            Outcome.NOT_RUN,
            exceeded_limit.reason,
            retry_after_s=exceeded_limit.retry_after_s,
        )
    return []


def refuse_quarantined(state: State, now: float, req: Request) -> list[Effect]:
    """End a request that crashes servers, or that has a part which does."""
    remaining_s = isolated_runs.refusal_remaining_s(state, now, req)
    # Where another request with the same content has run, `not_run` would invite a retry.
    is_same_request = quarantine.refusal_remaining_s(state, now, req.fingerprint) is not None
    outcome = Outcome.FAILED if req.may_have_run or is_same_request else Outcome.NOT_RUN
    return finish(state, now, req, outcome, Reason.QUARANTINED, retry_after_s=remaining_s)


def _decide_admission(state: State, now: float, req: Request) -> list[Effect]:
    """Refuse a request that cannot be answered in time, or make lower work give way to it."""
    verdict = admission.decide(state, now, req, pool_name(state, req.target))
    match verdict:
        case admission.Refused(pause_s, details, counts):
            log = Log("not_admitted", {"request_id": req.request_id, **details})
            return [
                *([log] if details else []),
                *counts,
                *finish(state, now, req, Outcome.NOT_RUN, Reason.OVERLOAD, retry_after_s=pause_s),
            ]
        case admission.Admitted(displaced, dropped, details):
            effects = displace(state, displaced) if displaced is not None else []
            if dropped is None:
                return effects
            if details:
                effects.append(Log("share_taken", {"request_id": dropped.request_id, **details}))
                effects += fair_share.note_dropped(state, now, dropped)
            return effects + _drop_waiting(state, now, dropped)
        case unreachable:
            assert_never(unreachable)


def _drop_waiting(state: State, now: float, req: Request) -> list[Effect]:
    """End a waiting request that never ran, in favour of an upper tier."""
    queue_state.remove(state.queues, req)
    pause_s = admission.retry_after(state, now, req, 0.0)
    return finish(state, now, req, Outcome.NOT_RUN, Reason.DISPLACED, retry_after_s=pause_s)


def admit(state: State, now: float, req: Request) -> list[Effect]:
    """Queue a request that passed every check, and dispatch."""
    req.phase = RequestPhase.WAITING
    if isolated_runs.must_wait_outside_queue(state, now, req):
        isolated_runs.hold_suspect(state, req)
        return []
    admission.record_admitted(state, now, req, pool_name(state, req.target))
    wait_for_server(state, req)
    fair_share.note_waiting(state, now, req)
    return dispatch(state, now, req.target)


# --- giving up -------------------------------------------------------------------------------


def on_caller_left(state: State, now: float, event: CallerLeft) -> list[Effect]:
    """Stop working for a caller that has left."""
    req = state.requests.get(event.request_id)
    if req is None:
        return []
    req.caller_left = True
    if req.attempt is None:
        queue_state.remove(state.queues, req)
        outcome = Outcome.UNKNOWN if waits_for_holder(state, req) else unanswered_outcome(req)
        return finish(state, now, req, outcome, Reason.CALLER_LEFT)
    if not req.repeatable and req.kind is ServiceKind.PLAIN:
        # The call cannot be undone, and its account helps callers that ask for it later.
        return []
    return cancel(req, CancelReason.CALLER_LEFT)


def is_stop_due(state: State, now: float) -> bool:
    """Return whether this instance ends too soon to send another attempt."""
    if state.stopping_since is None:
        return False
    return now - state.stopping_since >= state.options.stop_limit_s - _STOP_ANSWER_S


def _finish_waiting_at_stop(state: State, now: float) -> list[Effect]:
    """End the requests that wait for a server and cannot be answered before this instance ends.

    Prevents their connections from being reset, after which callers do not know that nothing ran.
    """
    if state.stopping_since is None:
        return []
    effects: list[Effect] = []
    is_due = is_stop_due(state, now)
    cutoff = stop_cutoff.stop_cutoff(state, now)
    for req in [each for each in state.requests.values() if each.attempt is None]:
        # One that may have run gets an error in any case, so its next attempt is worth a try.
        is_served = req.may_have_run or stop_cutoff.can_pass_on(state, now, cutoff, req)
        if is_served and not is_due:
            continue
        queue_state.remove(state.queues, req)
        outcome = Outcome.UNKNOWN if waits_for_holder(state, req) else unanswered_outcome(req)
        pause_s = state.options.retry_after_min_s
        effects += finish(state, now, req, outcome, Reason.STOPPING, retry_after_s=pause_s)
    return effects


def on_tick(state: State, now: float) -> list[Effect]:
    """End expired requests and check running attempts for unresponsive connections."""
    effects = _finish_waiting_at_stop(state, now)
    for req in list(queue_state.expired(state.queues, now)):
        if req.first_token_at is not None:
            # The answer has begun and only has to resume on another server.
            continue
        queue_state.remove(state.queues, req)
        effects += finish(
            state, now, req, unanswered_outcome(req), Reason.DEADLINE, retry_after_s=1.0
        )
    effects += _finish_begun_at_limit(state, now)
    effects += _finish_unproven(state, now)
    effects += _finish_unlisted(state, now)
    effects += liveness_evidence.on_tick(state, now)
    effects += _finish_unservable(state, now)
    effects += _finish_without_release(state, now)
    effects += _finish_overdrawn(state, now)
    for req in list(state.requests.values()):
        if req.attempt is not None:
            effects += _check_running(state, now, req, req.attempt)
    return effects + dispatch_all(state, now)


def on_server_answered(state: State, now: float, report: ServerReport) -> list[Effect]:
    """Check the attempts on a server that answered over a new connection."""
    if not liveness_evidence.note_report(state, now, report):
        return []
    effects: list[Effect] = []
    for req in list(state.requests.values()):
        if req.attempt is not None and req.attempt.server == report.server:
            effects += _check_running(state, now, req, req.attempt)
    return effects


def _finish_unservable(state: State, now: float) -> list[Effect]:
    """End waiting requests that are predicted to expire before they are served."""
    effects: list[Effect] = []
    for pool in state.queues.pools:
        while unservable := admission.unservable_requests(state, now, pool):
            for entry in unservable:
                queue_state.remove(state.queues, entry.request)
                if entry.details:
                    fields = {"request_id": entry.request.request_id, **entry.details}
                    effects += [Log("refused_late", fields), late_refusal.count(entry.request)]
                effects += finish(
                    state,
                    now,
                    entry.request,
                    unanswered_outcome(entry.request),
                    Reason.OVERLOAD,
                    retry_after_s=entry.retry_after_s,
                )
    return effects


def _finish_begun_at_limit(state: State, now: float) -> list[Effect]:
    """End begun answers that wait for a server to go on, at the operator's limit."""
    effects: list[Effect] = []
    for req in list(state.requests.values()):
        if req.attempt is not None or req.first_token_at is None:
            continue
        if req.end_by is not None and now >= req.end_by:
            queue_state.remove(state.queues, req)
            effects += finish(state, now, req, unanswered_outcome(req), Reason.DEADLINE)
    return effects


def _finish_unproven(state: State, now: float) -> list[Effect]:
    """End waiting requests whose API key may have been revoked meanwhile."""
    if document.proof_age_s(state, now) <= state.options.key_proof_s:
        return []
    effects: list[Effect] = []
    for request_id in queue_state.waiting_ids(state.queues):
        req = state.requests[request_id]
        if req.keyed:
            queue_state.remove(state.queues, req)
            reason = Reason.KEY_UNPROVEN
            pause_s = instance_refusal.refusal_retry_after_s(state, now, reason)
            effects += finish(
                state, now, req, unanswered_outcome(req), reason, retry_after_s=pause_s
            )
    return effects


def _finish_unlisted(state: State, now: float) -> list[Effect]:
    """End requests that wait for a server where the list of servers has not come."""
    if not server_list.is_list_missing(state, now):
        return []
    effects: list[Effect] = []
    pause_s = instance_refusal.refusal_retry_after_s(state, now, Reason.NO_SERVER)
    for request_id in queue_state.waiting_ids(state.queues):
        req = state.requests[request_id]
        queue_state.remove(state.queues, req)
        outcome = unanswered_outcome(req)
        effects += finish(state, now, req, outcome, Reason.NO_SERVER, retry_after_s=pause_s)
    return effects


def _finish_without_release(state: State, now: float) -> list[Effect]:
    """End requests whose streams no server can go on with, so that their callers learn it early."""
    effects: list[Effect] = []
    for req in list(state.requests.values()):
        if req.release is None or req.attempt is not None or req.phase is RequestPhase.LOOKING_UP:
            continue
        effects += stream_bindings.bind_held(state, now, req)
        if req.unconfirmed_attempt is not None or is_in_service(state, req.target, req.release):
            # One that has crashed may be back before its entry expires.
            continue
        queue_state.remove(state.queues, req)
        outcome, pause_s = unanswered_outcome(req), _STREAM_PAUSE_S
        effects += finish(state, now, req, outcome, Reason.VERSION_GONE, retry_after_s=pause_s)
    return effects


def _finish_overdrawn(state: State, now: float) -> list[Effect]:
    """End waiting requests whose reserved retries the budget does not cover any more."""
    effects: list[Effect] = []
    for target in state.retries.windows:
        if not retry.is_overdrawn(state, now, target):
            continue
        waiting = [
            req
            for req in state.requests.values()
            if req.holds_retry and req.target == target and req.phase is RequestPhase.WAITING
        ]
        waiting.sort(key=lambda req: (-req.priority, -req.arrived_at))
        for req in waiting:
            if not retry.is_overdrawn(state, now, target):
                break
            queue_state.remove(state.queues, req)
            effects += retry.report_refused(state, now, req, req.retry_cause)
            effects += finish(state, now, req, unanswered_outcome(req), Reason.OVERLOAD)
    return effects


def _check_running(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    """Cancel an attempt that is past its deadline or unresponsive."""
    options = state.options
    is_expired = now > req.deadline + options.deadline_grace_s
    if is_expired and req.first_token_at is None:
        return cancel(req, CancelReason.DEADLINE)
    if req.end_by is not None and now >= req.end_by:
        # The operator's limit also ends answers that have begun.
        return cancel(req, CancelReason.DEADLINE)
    if attempt.cancel_reason is not None or not lost_connections.is_suspected_lost(
        state, now, req, attempt
    ):
        return []
    req.had_unresponsive_attempt = True
    effects: list[Effect] = [Count(f"silence.doubted.{attempt.server}")]
    server = state.servers.by_name.get(attempt.server)
    if server is not None:
        # Only the connection is suspected. A probe over a new connection checks the server, and the
        # request goes on elsewhere meanwhile.
        effects.append(ProbeServer(attempt.server, server.entry.address))
    return effects + cancel(req, CancelReason.UNRESPONSIVE)


def unanswered_outcome(req: Request) -> Outcome:
    """Return the outcome of a request that ends without an answer."""
    if not req.may_have_run:
        return Outcome.NOT_RUN
    return Outcome.FAILED if req.repeatable else Outcome.UNKNOWN


# --- finishing -------------------------------------------------------------------------------


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
    answer: StoredAnswer | None = None,
) -> list[Effect]:
    """Create a request's account and remove the request."""
    req.phase = RequestPhase.DONE
    state.requests.pop(RequestId(req.request_id), None)
    retry.give_back(state, req)
    isolated_runs.remove_suspect(state, req.request_id)
    limit.settle_charge(state, now, req, outcome)
    if outcome is Outcome.COMPLETED:
        quarantine.note_cleared(state, now, req.fingerprint)
    account = Account(
        request_id=req.request_id,
        outcome=outcome,
        reason=reason,
        detail=describe_end(outcome, reason),
        # A second run might repeat the effect of the first.
        retry_after_s=None if outcome is Outcome.UNKNOWN else retry_after_s,
        status=status,
        tokens=req.delivered,
        attempts=req.attempts,
        server=server or "",
        service_class=req.service_class.name,
        customer=req.customer,
        elapsed_s=now - req.arrived_at,
    )
    store_account(state.accounts, state.options, now, account)
    return [
        *_log_never_placed(req, account),
        *note_finished(state, now, account, answer),
        FinishRequest(account),
        Count(f"request.{outcome}.{req.service_class.name}"),
        Timing(f"request.{req.service_class.name}", now - req.arrived_at),
    ]


def _log_never_placed(req: Request, account: Account) -> list[Effect]:
    """Log why a request that was never sent to a server was left waiting."""
    if req.attempts or req.wait_reason is None:
        return []
    fields = {
        "request_id": req.request_id,
        "service_class": req.service_class.name,
        "reason": account.reason,
        "waited_for": req.wait_reason,
        "waited_ms": round(1000 * account.elapsed_s),
    }
    return [Log("never_placed", fields)]
