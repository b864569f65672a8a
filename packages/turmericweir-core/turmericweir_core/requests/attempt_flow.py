"""Process an attempt from its start to its end, and retry or end its request.

`dispatch` starts attempts and the daemon reports on them. A request whose attempt failed is retried
only here, by the rules for retries: within its deadline and the retry budget, and never where it
may have run and must not run twice.
"""

from __future__ import annotations

from typing import Final, assert_never

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import PlacementPolicy, ServiceKind
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import (
    Attempt,
    CancelReason,
    Request,
    RequestPhase,
    RetryCause,
)
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import announced_limits, brittle_statements, leaving
from turmericweir_core.messages.effects import Count, Effect, Log, Timing
from turmericweir_core.messages.events import (
    AnswerReceived,
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndMisplaced,
    EndRefused,
    EndServerError,
    EndUnsendable,
    EndUnsent,
    ServerIdentified,
)
from turmericweir_core.placement import answer_moves, attempt_accounting, brittle_servers
from turmericweir_core.placement.dispatch import dispatch, release, wait_for_server
from turmericweir_core.requests import second_sends, unconfirmed_starts
from turmericweir_core.requests.lifecycle import (
    finish,
    is_stop_due,
    refuse_quarantined,
    unanswered_outcome,
)
from turmericweir_core.state import queue_state, usage_meter
from turmericweir_core.state.server_table import note_leaving, note_pause
from turmericweir_core.state.state import State
from turmericweir_core.streams import stream_bindings, stream_records
from turmericweir_core.trust import (
    isolated_runs,
    lost_connections,
    outlier,
    part_verdicts,
    quarantine,
    retry,
    server_paths,
)

_SUCCESS: Final = range(200, 300)
# Share of the predicted time to a stream's first event after which its server may have begun it.
_BEGUN_SHARE: Final = 0.5


def on_sent(state: State, now: float, event: AttemptSent) -> list[Effect]:
    """Record that the server may have begun the attempt from now on."""
    req = state.requests.get(event.request_id)
    if req is None or req.attempt is None or req.attempt.attempt_id != event.attempt_id:
        return []
    req.attempt.sent = True
    req.sent_attempts += 1
    effects = retry.note_sent(state, now, req)
    req.attempt.reused_connection = event.reused_connection
    req.attempt.connection = event.connection
    req.attempt.connection_age_s = event.connection_age_s
    effects += second_sends.note_sent(req, req.attempt)
    if event.reused_connection:
        return effects
    return effects + server_paths.note_connected(state, now, req.attempt.server, req.attempt.via)


def on_identified(state: State, now: float, event: ServerIdentified) -> list[Effect]:
    """Record which start of the server the attempt is sent to."""
    req = state.requests.get(event.request_id)
    attempt = None if req is None else req.attempt
    if attempt is None or attempt.attempt_id != event.attempt_id:
        return []
    attempt.process_incarnation = event.incarnation
    return _note_process(state, now, attempt, event.incarnation)


def _note_process(state: State, now: float, attempt: Attempt, incarnation: str) -> list[Effect]:
    if not stream_bindings.note_process(state, now, attempt, incarnation):
        return []
    return stream_records.on_process_noted(state, now)


def on_progress(state: State, now: float, event: AttemptProgress) -> list[Effect]:
    """Record tokens that were passed on to the caller."""
    req = state.requests.get(event.request_id)
    if req is None:
        return []
    attempt = req.attempt
    if attempt is None or attempt.attempt_id != event.attempt_id:
        return [Count("attempt.late_tokens", event.tokens)]
    if event.tokens == 0:
        # The caller does not read, so the missing tokens say nothing about the server.
        attempt.last_token_at = now if attempt.first_token_at is not None else None
        attempt.consecutive_overdue_gaps = 0
        return []
    quarantine.note_progress(state, attempt)
    part_verdicts.note_progress(state, now, req, attempt)
    server_paths.note_heard(state, now, attempt)
    previous_token_at = attempt.last_token_at
    attempt.tokens += event.tokens
    attempt.last_token_at = now
    quarantine.note_streamed(state, now, req, attempt)
    req.delivered += event.tokens
    effects = stream_bindings.on_events(state, now, req, attempt)
    if previous_token_at is None:
        return effects + _on_first_token(state, now, req, attempt)
    attempt.tick_max_gap_s = max(attempt.tick_max_gap_s, now - previous_token_at)
    attempt.max_gap_s = max(attempt.max_gap_s, now - previous_token_at)
    if now - previous_token_at <= attempt.overdue_gap_s * event.tokens:
        attempt.consecutive_overdue_gaps = 0
        return effects
    return effects + answer_moves.on_late_gap(
        state, now, req, attempt, (now - previous_token_at) / event.tokens
    )


def on_answer(state: State, now: float, event: AnswerReceived) -> list[Effect]:
    """Record what a server states about itself in its answer to an attempt."""
    req = state.requests.get(event.request_id)
    attempt = None if req is None else req.attempt
    if attempt is None or attempt.attempt_id != event.attempt_id:
        return []
    server = state.servers.by_name.get(attempt.server)
    if server is None or attempt.attempt_id not in server.in_flight:
        # The attempt ran on an earlier incarnation of the server.
        return []
    server_paths.note_heard(state, now, attempt)
    effects: list[Effect] = []
    if event.is_limit_readable:
        effects += announced_limits.on_answer(state, now, server, attempt.started_at, event.limit_s)
    effects += brittle_statements.on_answer(
        state, now, server, attempt.started_at, event.borne_refusals_s
    )
    if event.pause_s:
        fields = {"peer": attempt.server, "seconds": event.pause_s}
        effects.append(Log("server_paused", fields))
        note_pause(state.servers, now, server, event.pause_s)
    if event.is_leaving and not server.has_announced_leaving:
        note_leaving(state.servers, attempt.server)
        effects += leaving.create_leaving_notices(state, now)
    return effects


def _on_first_token(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    attempt.first_token_at = now
    predicted_ms = engine_model.predicted_ms(state, attempt)
    attempt_accounting.record_first_token(state, now, req, attempt)
    lost_connections.record_first_wait(state, now, attempt)
    effects: list[Effect] = [
        Timing(f"attempt.first_token.{attempt.server}", now - attempt.started_at),
        *outlier.on_begun(state, now, attempt),
    ]
    if predicted_ms is not None:
        ids = {"request_id": req.request_id, "peer": attempt.server}
        times = {
            "predicted_ms": round(predicted_ms),
            "took_ms": round(1000 * (now - attempt.started_at)),
        }
        effects.append(Log("begun", {**ids, **times}))
    if state.meter is not None:
        usage_meter.note_begun(state.meter, now, req, attempt)
    if req.first_token_at is None:
        req.first_token_at = now
        effects.append(Timing(f"first_token.{req.service_class.name}", now - req.arrived_at))
    if state.config.policy is PlacementPolicy.PREDICTED and queue_state.has_waiting(
        state.queues, attempt.pool
    ):
        # Its parts are cached now; other requests may wait for that.
        effects += dispatch(state, now, req.target)
    return effects


def on_ended(state: State, now: float, event: AttemptEnded) -> list[Effect]:
    """Finish the request, or let it wait for another attempt."""
    req = state.requests.get(event.request_id)
    if req is None or req.attempt is None or req.attempt.attempt_id != event.attempt_id:
        # The stale end of an attempt that was already given up.
        return [Count("attempt.late_end")]
    attempt = req.attempt
    may_have_begun = state.meter is not None and _may_have_begun(state, now, req, event.end)
    effects = release(state, now, req, attempt)
    attempt_accounting.record_outcome(state, now, attempt, event.end)
    effects += attempt_accounting.count_end(now, attempt, event.end)
    effects += outlier.on_ended(state, now, req, attempt, event.end)
    if state.config.policy is PlacementPolicy.PREDICTED:
        effects.append(_ended_log(now, req, attempt, event))
    if isinstance(event.end, EndComplete | EndRefused | EndServerError):
        server_paths.note_heard(state, now, attempt)
    req.attempt = None
    stream_bindings.bind_before_retry(req, attempt)
    is_broken = isinstance(event.end, EndBroken)
    if state.meter is not None and may_have_begun:
        usage_meter.note_begun(state.meter, now, req, attempt)
    effects += isolated_runs.note_ended(state, now, attempt.attempt_id, broken=is_broken)
    effects += _handle_end(state, now, req, attempt, event.end)
    return effects + dispatch(state, now, req.target)


def _is_same_start(state: State, attempt: Attempt) -> bool:
    """Return whether the start of the server at which an attempt was placed is still listed."""
    server = state.servers.by_name.get(attempt.server)
    return server is None or server.entry.incarnation == attempt.listed_incarnation


def _may_have_begun(state: State, now: float, req: Request, end: AttemptEnd) -> bool:
    """Return whether the end of an attempt shows that its server may have begun it."""
    attempt = req.attempt
    if attempt is None or not attempt.sent or isinstance(end, EndUnsent):
        return False
    if isinstance(end, EndRefused) and end.is_identified:
        return False
    if req.kind is not ServiceKind.MODEL:
        return True
    # A stream is counted by its first event, unless a living server lost it on the way. One that
    # was closed before the server can have begun, for example for want of room, has not run.
    if not isinstance(end, EndBroken) or not end.server_alive:
        return False
    begin_ms = engine_model.predicted_ms(state, attempt)
    lasted_ms = 1000.0 * (now - attempt.started_at)
    return begin_ms is not None and lasted_ms >= _BEGUN_SHARE * begin_ms


def _ended_log(now: float, req: Request, attempt: Attempt, event: AttemptEnded) -> Log:
    answer = event.answer
    fields = {
        "request_id": req.request_id,
        "attempt_id": attempt.attempt_id,
        "peer": attempt.server,
        "end": type(event.end).__name__,
        "framing": None if answer is None else answer.framing,
        "answer_end": None if answer is None else answer.end,
        "event_open": answer is not None and answer.is_event_open,
        "cancelled": attempt.cancel_reason,
        "sent": attempt.sent,
        "kept_connection": attempt.reused_connection,
        "events": attempt.tokens,
        "worst_gap_ms": round(1000 * attempt.max_gap_s),
        "took_ms": round(1000 * (now - attempt.started_at)),
    }
    return Log("attempt_ended", fields)


def _handle_end(
    state: State, now: float, req: Request, attempt: Attempt, end: AttemptEnd
) -> list[Effect]:
    """Complete, retry or end a request by the end of its attempt."""
    match end:
        case EndComplete(status, answer):
            if attempt.first_token_at is None:
                lost_connections.record_first_wait(state, now, attempt)
            if status in _SUCCESS:
                part_verdicts.note_sound(state, now, req)
            learning_effects = attempt_accounting.record_completed(state, now, req, attempt)
            finish_effects = finish(
                state,
                now,
                req,
                Outcome.COMPLETED,
                Reason.OK,
                status=status,
                server=attempt.server,
                answer=answer,
            )
            return finish_effects + learning_effects
        case EndRefused(status, is_identified=False):
            req.may_have_run = True
            error = f"a refusal ({status}) that names no request"
            log = _failure_log(req, attempt, "unidentified_refusal", error)
            effects = _handle_loss(state, now, req, attempt, Reason.OVERLOAD, RetryCause.REFUSED)
            return [log, *effects]
        case EndRefused(_, is_leaving):
            if is_leaving and _is_same_start(state, attempt):
                note_leaving(state.servers, attempt.server)
            if attempt.sent:
                # A refusal does not count as a send. Prevents a call with a single send from ending
                # at the first full server.
                req.sent_attempts -= 1
            req.refusal = second_sends.refusal_of(attempt, end)
            cause = RetryCause.LEAVING if is_leaving else RetryCause.REFUSED
            server = state.servers.by_name.get(attempt.server)
            effects = []
            if server is not None and not is_leaving:
                effects += brittle_servers.note_refused(state, now, server)
            return effects + _retry_or_finish(state, now, req, attempt, Reason.OVERLOAD, cause)
        case EndUnsent(error) | EndMisplaced(error) if attempt.sent:
            # An attempt that was reported as sent may have run, so `not_run` may be wrong.
            return _handle_end(state, now, req, attempt, EndBroken(error, server_alive=False))
        case EndUnsent(error):
            req.unsent_attempts += 1
            effects = server_paths.note_failed(state, now, attempt.server, error, attempt.via)
            effects += _retry_or_finish(state, now, req, attempt, Reason.NO_SERVER, None)
            return [_failure_log(req, attempt, "unsent", error), *effects]
        case EndMisplaced(incarnation):
            req.unsent_attempts += 1
            stream_bindings.note_misplaced(state, now, attempt.server)
            effects = _note_process(state, now, attempt, incarnation)
            error = f"{incarnation or 'nothing'} for {attempt.listed_incarnation or 'nothing'}"
            effects += _retry_or_finish(state, now, req, attempt, Reason.NO_SERVER, None)
            return [_failure_log(req, attempt, "misplaced", error), *effects]
        case EndUnsendable(error):
            # No server is at fault, and no other one could be sent it.
            outcome = unanswered_outcome(req)
            effects = finish(state, now, req, outcome, Reason.UNSENDABLE, server=attempt.server)
            return [_failure_log(req, attempt, "unsendable", error), *effects]
        case EndBroken(error, server_alive, is_malformed, is_final):
            req.may_have_run = True
            logs: list[Effect] = [_failure_log(req, attempt, "broken", error)]
            if not is_malformed:
                logs += stream_bindings.on_broken(state, now, req, attempt)
                logs += unconfirmed_starts.stop(state)
            if not server_alive:
                logs += server_paths.note_failed(state, now, attempt.server, error, attempt.via)
            quarantine.record_broken_connection(state, now, req, attempt, server_alive)
            if attempt.cancel_reason is not None:
                # It broke while being cancelled; the reason of the cancellation still applies.
                return [*logs, *_handle_cancelled(state, now, req, attempt)]
            cause = RetryCause.BROKEN if server_alive else RetryCause.SERVER_GONE
            effects = _handle_loss(
                state, now, req, attempt, Reason.SERVER_LOST, cause, is_final=is_final
            )
            return [*logs, *effects]
        case EndServerError(status):
            req.may_have_run = True
            effects = _handle_loss(
                state, now, req, attempt, Reason.SERVER_ERROR, RetryCause.SERVER_ERROR
            )
            return [_failure_log(req, attempt, "server_error", str(status)), *effects]
        case EndCancelled():
            req.may_have_run = req.may_have_run or attempt.sent
            return _handle_cancelled(state, now, req, attempt)
        case unreachable:
            assert_never(unreachable)


def _failure_log(req: Request, attempt: Attempt, step: str, error: str) -> Log:
    fields = {
        "request_id": req.request_id,
        "attempt_id": attempt.attempt_id,
        "peer": attempt.server,
        "step": step,
        "error": error,
    }
    return Log("attempt_failed", fields)


def _handle_loss(
    state: State,
    now: float,
    req: Request,
    attempt: Attempt,
    reason: Reason,
    cause: RetryCause,
    *,
    is_final: bool = False,
) -> list[Effect]:
    """Retry or end a request whose attempt was lost."""
    if not req.repeatable:
        # A second run is not allowed.
        return finish(state, now, req, Outcome.UNKNOWN, Reason.EVIDENCE_LOST, server=attempt.server)
    if is_final or (req.kind is ServiceKind.PLAIN and req.delivered):
        # The caller has part of the answer, and a second run could not be joined to it.
        return finish(state, now, req, Outcome.FAILED, reason, server=attempt.server)
    return _retry_or_finish(state, now, req, attempt, reason, cause)


def _handle_cancelled(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    """Retry or end a request whose attempt was cancelled, by the reason."""
    reason = attempt.cancel_reason
    match reason:
        case CancelReason.CALLER_LEFT:
            return finish(state, now, req, unanswered_outcome(req), Reason.CALLER_LEFT)
        case CancelReason.DEADLINE:
            return finish(state, now, req, unanswered_outcome(req), Reason.DEADLINE)
        case CancelReason.DISPLACED:
            if not req.repeatable and req.may_have_run:
                # It may not run again, so it should not have been displaced.
                return _handle_loss(
                    state, now, req, attempt, Reason.DISPLACED, RetryCause.DISPLACED
                )
            count = Count(f"displaced.{req.service_class.name}")
            return [count, *_requeue_stopped(state, now, req, RetryCause.DISPLACED)]
        case CancelReason.MOVED:
            # Only repeatable requests are moved.
            req.failed_servers.add(attempt.server)
            return _requeue_stopped(state, now, req, RetryCause.MOVED)
        case CancelReason.SERVER_DEAD:
            quarantine.record_broken_connection(state, now, req, attempt, alive=False)
            effects = server_paths.note_failed(
                state, now, attempt.server, "server_dead", attempt.via
            )
            return effects + _handle_loss(
                state, now, req, attempt, Reason.SERVER_LOST, RetryCause.SERVER_DEAD
            )
        case CancelReason.QUARANTINED:
            return refuse_quarantined(state, now, req)
        case CancelReason.UNRESPONSIVE | None if not attempt.sent:
            return _retry_or_finish(state, now, req, attempt, Reason.NO_SERVER, None)
        case CancelReason.UNRESPONSIVE:
            quarantine.record_unresponsive_connection(state, now, req, attempt)
            cause = RetryCause.UNRESPONSIVE
            return _handle_loss(state, now, req, attempt, Reason.SERVER_LOST, cause)
        case None:
            return _handle_loss(state, now, req, attempt, Reason.SERVER_LOST, RetryCause.CANCELLED)
        case unreachable:
            assert_never(unreachable)


def _requeue_stopped(state: State, now: float, req: Request, cause: RetryCause) -> list[Effect]:
    """Requeue a request whose attempt this instance stopped, to resume elsewhere."""
    if req.caller_left:
        # Prevents generating the rest for a caller that has left.
        return finish(state, now, req, unanswered_outcome(req), Reason.CALLER_LEFT)
    if not retry.take(state, now, req, cause):
        return finish(state, now, req, unanswered_outcome(req), Reason.DISPLACED)
    _requeue(state, now, req)
    return []


def _retry_or_finish(
    state: State,
    now: float,
    req: Request,
    attempt: Attempt,
    reason: Reason,
    cause: RetryCause | None,
) -> list[Effect]:
    """Requeue a request at the front of its queue if the rules for retries allow it.

    The cause is None if nothing of the attempt was sent.
    """
    req.failed_servers.add(attempt.server)
    if req.caller_left:
        return finish(state, now, req, unanswered_outcome(req), Reason.CALLER_LEFT)
    is_past_deadline = now >= req.deadline and req.first_token_at is None
    if is_past_deadline or (req.end_by is not None and now >= req.end_by):
        return finish(state, now, req, unanswered_outcome(req), Reason.DEADLINE)
    if is_stop_due(state, now):
        return finish(state, now, req, unanswered_outcome(req), Reason.STOPPING)
    options = state.options
    if (
        req.counted_attempts >= options.attempts_max
        or req.unsent_attempts >= options.unsent_attempts_max
    ):
        return finish(state, now, req, unanswered_outcome(req), reason, server=attempt.server)
    if req.sends_max is not None and req.sent_attempts >= req.sends_max:
        return finish(state, now, req, unanswered_outcome(req), reason, server=attempt.server)
    if not retry.take(state, now, req, cause):
        effects = retry.report_refused(state, now, req, cause)
        outcome = unanswered_outcome(req)
        return effects + finish(state, now, req, outcome, reason, server=attempt.server)
    _requeue(state, now, req)
    return [Count("attempt.retry")]


def _requeue(state: State, now: float, req: Request) -> None:
    """Put a request back into its queue, or hold it if it is a suspect."""
    req.phase = RequestPhase.WAITING
    if isolated_runs.must_wait_outside_queue(state, now, req):
        isolated_runs.hold_after_crash(state, now, req)
    else:
        wait_for_server(state, req, front=True)
