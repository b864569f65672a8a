"""Refuse requests that cannot be answered in time, and return when to retry.

The wait of a new request is predicted as the work ahead of it, in its own and more urgent tiers,
over the rate at which this instance's backlog drains. A request whose predicted wait exceeds a
share of the time to its deadline is refused at once. Before an upper tier is refused, lower work
gives way: a running attempt is displaced or a waiting request is dropped. Only new and waiting
requests are refused, never finished answers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct, field

from turmericweir_core.base.config import PlacementPolicy
from turmericweir_core.base.request import Request
from turmericweir_core.engines import engine_pools
from turmericweir_core.membership import limit_loans
from turmericweir_core.membership.subset import open_servers, pause_left_s
from turmericweir_core.messages.effects import Effect
from turmericweir_core.placement import (
    displacement,
    fair_admission,
    late_refusal,
    predicted_admission,
)
from turmericweir_core.placement.placement import idle_slots_share
from turmericweir_core.queueing import fair_share, urgent_first
from turmericweir_core.state import queue_state
from turmericweir_core.state.pool_load import arrival_rate, drain_rate, note_arrival, pool_load

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Prevents a division by zero where nothing drains.
MIN_DRAIN_RATE: Final = 1e-9


class Admitted(Struct, frozen=True):
    """The request may wait; another request may have to give way to it."""

    # A running request whose attempt is to be displaced.
    to_displace: Request | None = None
    # A waiting request that is to end `not_run`.
    to_drop: Request | None = None
    # Inputs of the decision that drops it, for the log.
    details: dict[str, object] = field(default_factory=dict)


class Refused(Struct, frozen=True):
    """The request ends `not_run` now."""

    retry_after_s: float
    # Inputs of the decision, for the log.
    details: dict[str, object] = field(default_factory=dict)
    # For the metrics.
    effects: list[Effect] = field(default_factory=list)


def decide(state: State, now: float, req: Request, pool: str) -> Admitted | Refused:
    """Decide whether a new request may wait for a server."""
    if state.config.policy is PlacementPolicy.BASELINE:
        return _decide_baseline(state, req)
    if state.config.policy is PlacementPolicy.PREDICTED:
        return _decide_predicted(state, now, req, pool)
    wait_s = predicted_wait_s(state, now, req, pool)
    if _is_wait_acceptable(state, now, req, wait_s) and not _is_queue_full(state, req):
        return Admitted()
    lower_work = _find_lower_work(state, now, req, pool)
    return lower_work or Refused(retry_after(state, now, req, wait_s))


def _decide_baseline(state: State, req: Request) -> Admitted | Refused:
    if _is_queue_full(state, req):
        return Refused(state.options.retry_after_min_s)
    return Admitted()


def _decide_predicted(state: State, now: float, req: Request, pool: str) -> Admitted | Refused:
    # Refused requests count as demand too. Prevents a kind of request from being left with too few
    # engines because most of its requests are refused.
    engine_pools.record_demand(state, now, req, open_servers(state, now, req.target))
    limit_loans.note_demand(state, now, req.target)
    fair_share.estimate_work(state, req)
    engines = len(open_servers(state, now, req.target))
    fair_wait = fair_admission.predict(state, now, req, max(1, engines))
    if fair_wait is not None:
        return _decide_by_share(state, now, req, pool, fair_wait)
    late = late_refusal.refusal_of_new(state, now, req)
    if late is not None:
        is_long = engine_pools.long_predicate(state, req.target)(req.service_class)
        urgent_first.note_refused(state, now, req, is_long=is_long)
        return Refused(late.retry_after_s, late.details, [late_refusal.count(req)])
    wait_s = predicted_admission.wait_s(state, now, req, pool)
    if predicted_admission.can_answer_in_time(state, now, req, wait_s) and not _is_queue_full(
        state, req
    ):
        return Admitted()
    dropped = displacement.waiting_request_to_drop(state, pool, req.priority)
    if dropped is not None:
        return Admitted(to_drop=dropped)
    is_long = engine_pools.long_predicate(state, req.target)(req.service_class)
    urgent_first.note_refused(state, now, req, is_long=is_long)
    retry_after_s = predicted_admission.retry_after(state, now, req, wait_s)
    return Refused(retry_after_s, predicted_admission.explain(state, now, req, wait_s))


def _decide_by_share(
    state: State, now: float, req: Request, pool: str, fair_wait: fair_admission.FairWait
) -> Admitted | Refused:
    """Decide by the share of a request's customer, where customers compete."""
    details = fair_admission.explain(req, fair_wait)
    is_over = fair_admission.is_refused(req, fair_wait)
    wait_s = fair_wait.wait_s + predicted_admission.wait_before_class_s(state, now, req, pool)
    can_be_in_time = predicted_admission.can_answer_in_time(state, now, req, wait_s)
    if not is_over and can_be_in_time and not _is_queue_full(state, req):
        return Admitted()
    dropped = displacement.waiting_request_to_drop(state, pool, req.priority)
    if dropped is None:
        dropped = fair_admission.request_to_drop(state, now, req, fair_wait)
    if dropped is not None and not is_over:
        return Admitted(to_drop=dropped, details=details)
    effects = fair_share.note_refused(state, now, req)
    if can_be_in_time:
        pause_s = fair_admission.retry_after_s(state, req, fair_wait)
    else:
        is_long = engine_pools.long_predicate(state, req.target)(req.service_class)
        urgent_first.note_refused(state, now, req, is_long=is_long)
        pause_s = predicted_admission.retry_after(state, now, req, wait_s)
    details = {**predicted_admission.explain(state, now, req, wait_s), **details}
    return Refused(pause_s, details, effects)


def _is_queue_full(state: State, req: Request) -> bool:
    waiting = queue_state.waiting_count(state.queues, req.target, req.service_class.name)
    return waiting >= state.options.queue_limit


def _find_lower_work(state: State, now: float, req: Request, pool: str) -> Admitted | None:
    """Find lower work that gives way to a request that would otherwise be refused.

    At most one piece of lower work is given up for each such request.
    """
    displaced = displacement.least_urgent_running(state, now, req.target, req.priority)
    if displaced is not None:
        return Admitted(to_displace=displaced)
    dropped = displacement.waiting_request_to_drop(state, pool, req.priority)
    return None if dropped is None else Admitted(to_drop=dropped)


def record_admitted(state: State, now: float, req: Request, pool: str) -> None:
    """Record the work of an admitted request, for the prediction of later waits."""
    load = pool_load(state.pool_loads, pool)
    note_arrival(load, state.options, now, req.priority, queue_state.cost(req))


# --- predicted wait --------------------------------------------------------------------------


def predicted_wait_s(state: State, now: float, req: Request, pool: str) -> float:
    """Return how long a new request is predicted to wait for a server, in seconds."""
    load = pool_load(state.pool_loads, pool)
    rate = drain_rate(load)
    if rate is None:
        # No rate has been observed yet.
        return 0.0
    work_ahead = _work_ahead(state, req, pool)
    upper_arrival_rate = arrival_rate(load, state.options, now, req.priority)
    wait_s = _drain_time_s(state, req, upper_arrival_rate, work_ahead, rate)
    if _is_wait_acceptable(state, now, req, wait_s):
        return wait_s
    rate = drain_rate(load, idle_slots_share(state, now, req.target)) or rate
    return _drain_time_s(state, req, upper_arrival_rate, work_ahead, rate)


def _is_wait_acceptable(state: State, now: float, req: Request, wait_s: float) -> bool:
    """Return whether a predicted wait is within the allowed share of the time left."""
    return wait_s <= state.options.admit_share * (req.deadline - now)


def _work_ahead(state: State, req: Request, pool: str) -> float:
    """Sum the work served before a new request, without overdue work of its own tier."""
    upper_work, own_work = 0.0, 0.0
    for queue in queue_state.pool_queues(state.queues, pool):
        if queue.service_class.priority < req.priority:
            upper_work += queue.work
        elif queue.service_class.priority == req.priority:
            own_work += queue.work - queue.overdue_work
    return upper_work + own_work


class UnservableRequest(Struct, frozen=True):
    """A waiting request that would expire before it is served."""

    request: Request
    retry_after_s: float
    # For the log.
    details: dict[str, object] = field(default_factory=dict)


def unservable_requests(state: State, now: float, pool: str) -> list[UnservableRequest]:
    """Return the waiting requests that are predicted to expire before they are served.

    Only the first and the last overdue request of each queue are checked, which bounds the cost of
    a tick: the first has the least time left, the last the most work ahead.
    """
    load = pool_load(state.pool_loads, pool)
    unservable: list[UnservableRequest] = []
    if state.config.policy is PlacementPolicy.PREDICTED:
        return _paused_past_deadline(state, now, pool) + _late_past_deadline(state, now, pool)
    for queue in queue_state.pool_queues(state.queues, pool):
        rate = (
            drain_rate(load, idle_slots_share(state, now, queue.target))
            if queue.overdue_requests
            else None
        )
        if rate is None:
            continue
        # Arrivals of the same tier are on time and are served first, so they count as well.
        upper_arrival_rate = arrival_rate(
            load, state.options, now, queue.service_class.priority + 1
        )
        for req, overdue_work_ahead in queue.overdue_ends():
            work_ahead = _work_ahead(state, req, pool) + overdue_work_ahead
            wait_s = _drain_time_s(state, req, upper_arrival_rate, work_ahead, rate)
            is_unservable = not req.may_have_run and wait_s > req.deadline - now
            # Lower work gives way first, as for a new request.
            if is_unservable and _find_lower_work(state, now, req, pool) is None:
                unservable.append(UnservableRequest(req, retry_after(state, now, req, wait_s)))
    return unservable


def _paused_past_deadline(state: State, now: float, pool: str) -> list[UnservableRequest]:
    """Return the waiting requests whose servers all want no requests until their deadline."""
    unservable: list[UnservableRequest] = []
    for queue in queue_state.pool_queues(state.queues, pool):
        pause_s = pause_left_s(state, now, queue.target)
        if pause_s is None:
            continue
        for req in queue.waiting():
            if now + pause_s >= req.deadline and req.first_token_at is None:
                delay_s = predicted_admission.retry_after(state, now, req, pause_s)
                unservable.append(UnservableRequest(req, delay_s))
    return unservable


def _late_past_deadline(state: State, now: float, pool: str) -> list[UnservableRequest]:
    """Return the waiting requests that are late and will expire behind those in time."""
    unservable: list[UnservableRequest] = []
    for late in late_refusal.refusals_of_waiting(state, now, pool):
        req = late.request
        if pause_left_s(state, now, req.target) is not None:
            continue
        is_long = engine_pools.long_predicate(state, req.target)(req.service_class)
        urgent_first.note_refused(state, now, req, is_long=is_long)
        unservable.append(UnservableRequest(req, late.retry_after_s, late.details))
    return unservable


def _drain_time_s(
    state: State, req: Request, upper_arrival_rate: float, work_ahead: float, rate: float
) -> float:
    """Return the time in which work drains while more urgent work keeps arriving.

    The recent arrival rate of more urgent work is assumed to last for one more averaging window.
    Prevents a short burst of more urgent work from causing refusals of the lowest class after it
    has ended.
    """
    rate_in_window = max(
        rate - upper_arrival_rate, rate * req.service_class.assured_share, MIN_DRAIN_RATE
    )
    window_s = state.options.arrival_window_s
    drained_in_window = rate_in_window * window_s
    if work_ahead <= drained_in_window:
        return work_ahead / rate_in_window
    return window_s + (work_ahead - drained_in_window) / max(rate, MIN_DRAIN_RATE)


def retry_after(state: State, now: float, req: Request, wait_s: float) -> float:
    """Return the time after which the backlog has drained enough for such a request."""
    options = state.options
    overrun_s = wait_s - (req.deadline - now)
    return min(options.retry_after_max_s, max(options.retry_after_min_s, overrun_s))
