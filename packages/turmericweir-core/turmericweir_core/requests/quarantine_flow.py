"""Carry out the decisions of `quarantine` and `isolated_runs` for the reducer.

`lifecycle` holds suspects when it admits them, and `attempt_flow` when they need another attempt.
This module starts their isolated runs, returns them to a queue, or ends them.
"""

from __future__ import annotations

from typing import assert_never

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Attempt, CancelReason, Request, RequestPhase
from turmericweir_core.messages.crash_messages import (
    CrashesAsk,
    CrashNews,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from turmericweir_core.messages.effects import Count, Effect
from turmericweir_core.placement import dispatch
from turmericweir_core.requests import lifecycle
from turmericweir_core.state import queue_state
from turmericweir_core.state.state import State
from turmericweir_core.trust import isolated_runs, quarantine
from turmericweir_core.trust.isolated_runs import (
    Decision,
    EndAtDeadline,
    MoveToQueue,
    RefuseQuarantined,
    SendRunMessage,
    StartIsolatedRun,
)


def on_tick(state: State, now: float) -> list[Effect]:
    """Issue the verdicts that are due, and apply the decisions on suspects."""
    effects = quarantine.on_tick(state, now)
    effects += isolated_runs.review_isolated_runs(state, now)
    if state.quarantine.needs_check:
        state.quarantine.needs_check = False
        effects += _review_requests(state, now)
    return effects + _apply_decisions(state, now, isolated_runs.decide_on_suspects(state, now))


def on_message(
    state: State,
    now: float,
    sender: InstanceName,
    message: CrashNews | CrashesAsk | TrialAsk | TrialAnswer | TrialEnd,
) -> list[Effect]:
    """Process a message of another instance."""
    match message:
        case CrashNews():
            return quarantine.on_crash_update(state, now, message)
        case CrashesAsk():
            return quarantine.on_crash_records_request(state, now, sender, message)
        case TrialAsk():
            return isolated_runs.on_ask(state, now, sender, message)
        case TrialAnswer():
            return _apply_decisions(
                state, now, isolated_runs.on_answer(state, now, sender, message)
            )
        case TrialEnd():
            isolated_runs.on_end(state, now, sender, message)
            return []
        case unreachable:
            assert_never(unreachable)


def _review_requests(state: State, now: float) -> list[Effect]:
    """Cancel running requests that are refused now, and hold waiting ones that became suspects."""
    effects: list[Effect] = []
    for req in list(state.requests.values()):
        if req.attempt is not None:
            if _is_refused(state, now, req, req.attempt):
                # Prevents a crash of its server, which would end all other requests on it.
                effects += dispatch.cancel(req, CancelReason.QUARANTINED)
        elif req.phase is RequestPhase.WAITING and _is_new_suspect(state, req):
            queue_state.remove(state.queues, req)
            isolated_runs.hold_suspect(state, req)
    return effects


def _is_refused(state: State, now: float, req: Request, attempt: Attempt) -> bool:
    """Return whether a running request is refused; an answer that goes on harms no server."""
    if quarantine.has_streamed_long(state, attempt):
        return quarantine.refusal_remaining_s(state, now, req.fingerprint) is not None
    return isolated_runs.refusal_remaining_s(state, now, req) is not None


def _is_new_suspect(state: State, req: Request) -> bool:
    """Return whether a waiting request is a suspect that is not held yet."""
    if isolated_runs.is_held(state, req.request_id):
        return False
    return isolated_runs.is_suspect(state, req)


def _apply_decisions(state: State, now: float, decisions: list[Decision]) -> list[Effect]:
    """Carry out decisions in order."""
    effects: list[Effect] = []
    for decision in decisions:
        effects += _apply_decision(state, now, decision)
    return effects


def _apply_decision(state: State, now: float, decision: Decision) -> list[Effect]:
    """Carry out one decision."""
    match decision:
        case StartIsolatedRun(req, server, _, _):
            effects = dispatch.start_attempt(state, now, req, server)
            if req.attempt is not None:
                isolated_runs.note_started(state, now, decision, req.attempt)
            return [Count("quarantine.trial"), *effects]
        case MoveToQueue(req):
            dispatch.wait_for_server(state, req, front=True)
            return dispatch.dispatch(state, now, req.target)
        case RefuseQuarantined(req):
            return lifecycle.refuse_quarantined(state, now, req)
        case EndAtDeadline(req):
            outcome = lifecycle.unanswered_outcome(req)
            return lifecycle.finish(state, now, req, outcome, Reason.DEADLINE)
        case SendRunMessage(effect):
            return [effect]
        case unreachable:
            assert_never(unreachable)
