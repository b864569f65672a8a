"""The retry budget, which limits retries to a fraction of first attempts.

Prevents retries from adding more than `retry_share` to the load of a slow cluster when many
requests fail at once.

There are two forms. A token bucket limits the retries of this instance. A window (`retry_window_s`)
limits the retries of all instances together, per target: in any window an instance makes at most a
fraction of its own first attempts plus its part of the burst. The part is computed from the largest
recent number of instances, so a network partition does not double the burst.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request, RetryCause
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.state.retry_state import RetryBucket, RetryBudget

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Time covered by one counter; retries count for one bucket longer than the window.
_BUCKET_S: Final = 0.25
# A process assumes this minimum number of instances for this time after its start.
_START_INSTANCES: Final = 16
_START_S: Final = 5.0
# How long the largest number of instances is used. Prevents a partition from raising the burst
# while requests from before it still count in the window.
_PEAK_KEEP_S: Final = 60.0
# Interval between counts of the live instances.
_INSTANCES_CHECK_S: Final = 0.5


def earn_retry(state: State, now: float, req: Request) -> None:
    """Count a first attempt, which adds a fraction of a retry to the budget."""
    budget, options = state.retries, state.options
    if options.retry_window_s:
        _current_bucket(budget, now, req.target).first_attempts += 1
        return
    tokens = _tokens_left(budget, options) + options.retry_share
    budget.tokens = min(options.retry_burst, tokens)


def has_attempts_left(state: State, req: Request) -> bool:
    """Return whether a request may be sent to another server, as far as its own limits go."""
    if not req.repeatable or (req.kind is ServiceKind.PLAIN and req.delivered):
        return False
    if req.counted_attempts >= state.options.attempts_max:
        return False
    return req.sends_max is None or req.sent_attempts < req.sends_max


def may_retry(state: State, now: float, req: Request) -> bool:
    """Return whether the budget allows a retry now, without taking it."""
    return retries_left(state, now, req.target) >= 1.0


def retries_left(state: State, now: float, target: Target) -> float:
    """Return the number of retries that are left for a target now."""
    budget, options = state.retries, state.options
    if not options.retry_window_s:
        return _tokens_left(budget, options)
    first_attempts, retries = _window_counts(budget, options, now, target)
    burst = options.retry_burst / _sharing_instances(budget, now)
    return options.retry_use_share * (options.retry_share * first_attempts + burst) - retries


def spend_retry(state: State, now: float, req: Request) -> bool:
    """Take one retry from the budget; return False if none is left."""
    budget, options = state.retries, state.options
    if not may_retry(state, now, req):
        budget.refused += 1
        return False
    if options.retry_window_s:
        _current_bucket(budget, now, req.target).retries += 1
    else:
        budget.tokens = _tokens_left(budget, options) - 1.0
    return True


def note_sent(state: State, now: float, req: Request) -> list[Effect]:
    """Record that an attempt is sent; count it by its cause if the request was sent before."""
    req.arrivals += 1
    if req.arrivals == 1:
        return []
    cause = req.retry_cause or RetryCause.CANCELLED
    fields = {"request_id": req.request_id, "cause": cause, **describe(state, now, req.target)}
    return [Count(f"retry.sent.{req.target}.{cause}"), Log("retry_sent", fields)]


def report_refused(
    state: State, now: float, req: Request, cause: RetryCause | None
) -> list[Effect]:
    """Count and log a retry that the budget does not allow."""
    fields = {"request_id": req.request_id, "cause": cause, **describe(state, now, req.target)}
    return [Count(f"retry.refused.{req.target}"), Log("retry_refused", fields)]


def describe(state: State, now: float, target: Target) -> dict[str, float]:
    """Return what the window of a target holds and allows, for logs and the state dump."""
    budget = state.retries
    first_attempts, retries = _window_counts(budget, state.options, now, target)
    return {
        "first_attempts": first_attempts,
        "retries": retries,
        "left": round(retries_left(state, now, target), 2),
        "sharing_instances": _sharing_instances(budget, now),
    }


def on_tick(state: State, now: float) -> None:
    """Update the number of instances that share the burst."""
    budget = state.retries
    if not state.options.retry_window_s or now < budget.next_check_at:
        return
    budget.next_check_at = now + _INSTANCES_CHECK_S
    if budget.started_at is None:
        budget.started_at = now
    live_count = len(membership.live_instances(state, now))
    if live_count >= budget.peak_instances or now - budget.peak_at > _PEAK_KEEP_S:
        budget.peak_instances = live_count
        budget.peak_at = now


def _tokens_left(budget: RetryBudget, options: Options) -> float:
    return options.retry_burst if budget.tokens is None else budget.tokens


def _sharing_instances(budget: RetryBudget, now: float) -> int:
    if budget.started_at is None or now - budget.started_at < _START_S:
        return max(budget.peak_instances, _START_INSTANCES)
    return budget.peak_instances


def _current_bucket(budget: RetryBudget, now: float, target: Target) -> RetryBucket:
    window = budget.windows.setdefault(target, deque())
    if not window or now - window[-1].started_at >= _BUCKET_S:
        window.append(RetryBucket(now))
    return window[-1]


def _window_counts(
    budget: RetryBudget, options: Options, now: float, target: Target
) -> tuple[int, int]:
    """Return the first attempts and retries in the window; retries count a bucket longer."""
    window = budget.windows.get(target)
    if window is None:
        return 0, 0
    window_start = now - options.retry_window_s
    while window and window[0].started_at < window_start - _BUCKET_S:
        window.popleft()
    first_attempts = sum(each.first_attempts for each in window if each.started_at >= window_start)
    return first_attempts, sum(each.retries for each in window)
