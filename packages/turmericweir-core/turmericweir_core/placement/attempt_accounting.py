"""Record the start and the end of each attempt, exactly once.

Placement, admission and prediction learn from these records: what runs by tier, the work left on
each server, the pace of servers and pools, and the length of answers. Tokens are not recorded one
by one; running attempts are sampled on ticks instead.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, assert_never

from turmericweir_core.base.config import PlacementPolicy, ServiceKind
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.request import Attempt, CancelReason, Request
from turmericweir_core.base.tiers import most_urgent_configured_tier, most_urgent_gap_target_s
from turmericweir_core.engines import engine_model, engine_pools
from turmericweir_core.messages.effects import Count, Effect, Log, Timing
from turmericweir_core.messages.events import (
    AttemptEnd,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndMisplaced,
    EndRefused,
    EndServerError,
    EndUnsendable,
    EndUnsent,
    ServerReport,
)
from turmericweir_core.placement import displacement
from turmericweir_core.queueing import fair_share
from turmericweir_core.state import (
    answer_times,
    concurrency,
    outlier_state,
    pool_load,
    predict,
    prefix,
    reliability,
    straggler,
)
from turmericweir_core.state.queue_state import cost

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Answers with fewer tokens do not count for the pace.
_PACE_MIN_TOKENS = 8
# Lowest status that counts as a failure of the server.
_SERVER_ERROR_STATUS_MIN = 500


def record_started(state: State, now: float, req: Request, attempt: Attempt, pool: str) -> None:
    """Record the start of an attempt."""
    attempt.pool = pool
    attempt.work = cost(req)
    pool_load.note_start(pool_load.pool_load(state.pool_loads, pool), attempt.tier)
    work_by_server = state.predicted_work
    server = state.servers.by_name.get(attempt.server)
    if server is not None and state.config.policy is PlacementPolicy.PREDICTED:
        engine_model.record_started(state, now, req, attempt, server)
        fair_share.note_started(state, now, req, attempt.attempt_id)
    if req.kind is ServiceKind.MODEL:
        work_by_server[attempt.server] = work_by_server.get(attempt.server, 0.0) + attempt.work
        attempt.overdue_gap_s = req.service_class.token_gap_target_s or inf
        prefix.note_sent(state.prefixes, state.options, now, attempt.server, req.prefixes)


def record_ended(state: State, now: float, req: Request, attempt: Attempt) -> None:
    """Record the end of an attempt, whatever its result."""
    load = pool_load.pool_load(state.pool_loads, attempt.pool)
    pool_load.note_end(load, attempt.tier)
    displacement.record_displaced_end(state, attempt.cancel_reason, attempt.pool)
    engine_model.record_ended(state, attempt)
    _correct_share(state, now, req, attempt)
    if req.kind is not ServiceKind.MODEL:
        return
    work_by_server = state.predicted_work
    work_left = work_by_server.get(attempt.server, 0.0) - attempt.work
    work_by_server[attempt.server] = max(0.0, work_left)
    server = state.servers.by_name.get(attempt.server)
    if server is not None:
        straggler.sample_end(state.stragglers, state.options, server.service.name, attempt)
    if attempt.tokens >= _PACE_MIN_TOKENS:
        pool_load.note_pace(load, state.options, now - attempt.started_at, float(attempt.tokens))


def _correct_share(state: State, now: float, req: Request, attempt: Attempt) -> None:
    """Correct what the customer is charged for an attempt by the time that it held a slot."""
    server = state.servers.by_name.get(attempt.server)
    held_since = attempt.started_at
    if req.kind is ServiceKind.MODEL and attempt.first_token_at is not None:
        held_since = attempt.first_token_at
    slot_s = now - held_since if attempt.sent else None
    slots = 1 if server is None else server.slots
    fair_share.note_ended(state, now, attempt.attempt_id, slot_s, slots)


def record_outcome(state: State, now: float, attempt: Attempt, end: AttemptEnd) -> None:
    """Record whether a server failed; a cancelled attempt counts only if it was unresponsive."""
    match end:
        case EndComplete(status=status):
            failed = status >= _SERVER_ERROR_STATUS_MIN
        case EndCancelled():
            if attempt.cancel_reason not in (CancelReason.UNRESPONSIVE, CancelReason.SERVER_DEAD):
                return
            failed = True
        case EndMisplaced() | EndUnsendable() | EndUnsent(is_declined=True):
            return
        case EndRefused() | EndUnsent() | EndBroken() | EndServerError():
            failed = True
        case unreachable:
            assert_never(unreachable)
    reliability.note_end(state.reliability, now, attempt.server, failed=failed)


def count_end(now: float, attempt: Attempt, end: AttemptEnd) -> list[Effect]:
    """Count the end of an attempt by server, and time complete answers."""
    effects: list[Effect] = [Count(f"attempt.{_end_name(attempt, end)}.{attempt.server}")]
    if isinstance(end, EndComplete):
        effects.append(Timing(f"attempt.completed.{attempt.server}", now - attempt.started_at))
    return effects


def _end_name(attempt: Attempt, end: AttemptEnd) -> str:
    match end:
        case EndComplete():
            return "completed"
        case EndRefused():
            return "refused"
        # Matches `attempt_flow`, which treats an attempt reported as sent as broken.
        case EndUnsent():
            return "broken" if attempt.sent else "unsent"
        case EndMisplaced():
            return "broken" if attempt.sent else "misplaced"
        case EndUnsendable():
            return "unsendable"
        case EndBroken():
            return "broken"
        case EndServerError():
            return "server_error"
        case EndCancelled():
            return "cancelled"
        case unreachable:
            assert_never(unreachable)


def record_completed(state: State, now: float, req: Request, attempt: Attempt) -> list[Effect]:
    """Learn from an attempt with a complete answer."""
    options = state.options
    answer_times.note_answer(state.answer_times, req.service_class.name, now - attempt.started_at)
    if req.kind is ServiceKind.MODEL:
        if attempt.first_token_at is not None and state.config.policy is PlacementPolicy.PREDICTED:
            engine_pools.record_generated(state, req, now - attempt.first_token_at)
        return predict.note_length(state.predictor, options, req)
    elapsed_s = now - attempt.started_at
    load = pool_load.pool_load(state.pool_loads, attempt.pool)
    pool_load.note_pace(load, options, elapsed_s, 1.0)
    server = state.servers.by_name.get(attempt.server)
    if server is not None:
        concurrency.note_latency(
            state.server_limits, options, now, attempt.server, server.slots, elapsed_s
        )
    return []


def record_first_token(state: State, now: float, req: Request, attempt: Attempt) -> None:
    """Learn from the first token of an attempt."""
    engine_model.record_first_token(state, now, req, attempt)
    if attempt.tier != most_urgent_configured_tier(state.config):
        # Lower tiers wait at the engine behind upper ones, which says nothing about its limit.
        return
    waited_s = now - attempt.started_at
    target_s = req.service_class.target_s
    concurrency.note_first_token(
        state.server_limits, state.options, attempt.server, waited_s, target_s
    )


# --- ticks -----------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Sample running attempts, evaluate servers by them, and adapt their limits."""
    if state.config.policy is PlacementPolicy.BASELINE:
        return []
    if not straggler.begin_sampling(state.stragglers, state.options, now):
        return []
    most_urgent_tier = most_urgent_configured_tier(state.config)
    for req in state.requests.values():
        if req.attempt is not None and req.kind is ServiceKind.MODEL:
            server = state.servers.by_name.get(req.attempt.server)
            if server is not None:
                straggler.sample_attempt(
                    state.stragglers,
                    state.options,
                    now,
                    server.service.name,
                    req.attempt,
                    urgent=req.attempt.tier == most_urgent_tier,
                )
    _forget_removed_servers(state)
    _adjust_engine_limits(state, now)
    effects: list[Effect] = []
    for name in straggler.update_weights(state.stragglers, state.options, now):
        effects.append(Count("straggler.found"))
        effects.append(Log("straggler", {"peer": name, "step": "judge"}))
    return effects


def _adjust_engine_limits(state: State, now: float) -> None:
    gap_target_s = most_urgent_gap_target_s(state.config)
    for name, pace in state.stragglers.by_server.items():
        server = state.servers.by_name.get(name)
        if server is not None and server.in_flight:
            concurrency.adjust_engine(
                state.server_limits, state.options, now, name, pace.gap_s, gap_target_s
            )


def _forget_removed_servers(state: State) -> None:
    """Forget the state of servers that left the server table."""
    for name in list(state.stragglers.by_server):
        if name not in state.servers.by_name:
            straggler.forget_server(state.stragglers, name)
    for name in list(state.engines.by_server):
        if name not in state.servers.by_name:
            del state.engines.by_server[name]
            reliability.forget(state.reliability, name)
            outlier_state.forget(state.outliers, name)
    for name in list(state.server_limits.by_server):
        if name not in state.servers.by_name:
            concurrency.forget_server(state.server_limits, name)
    for name in list(state.predicted_work):
        if name not in state.servers.by_name:
            del state.predicted_work[name]


def reset_if_restarted(state: State, now: float, report: ServerReport) -> None:
    """Reset a server's state where its report shows a restart under the same name."""
    name = report.server
    server = state.servers.by_name.get(name)
    if server is None or server.report is None:
        return
    if server.report.incarnation != report.incarnation:
        reset_server_state(state, now, name)


def reset_server_state(state: State, now: float, name: ServerName) -> None:
    """Forget the state of a server that restarted; its cache is empty."""
    straggler.forget_server(state.stragglers, name)
    concurrency.forget_server(state.server_limits, name)
    prefix.forget_server(state.prefixes, now, name)
    reliability.forget(state.reliability, name)
    outlier_state.forget(state.outliers, name)
    engine_model.reset_engine(state, name)
