"""The budget that bounds retries to a fraction of first attempts.

Without it, a slow cluster gets more load the slower it becomes: every timeout adds an attempt. With
it, retries add at most `retry_share` to the load, however many requests fail at once.

There are two forms. A token bucket is this instance's own affair. A window (`retry_window_s`) keeps
a bound that holds for the sum over all instances, for each target by itself: in any such window an
instance makes no more retries than its share of its own first attempts and its part of the burst.
The part is that of the largest number of instances seen lately, so that two halves which lose sight
of each other do not both take the whole burst.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.membership import membership
from turmericweir_core.state.retry_state import RetryBucket, RetryBudget

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# First attempts and retries are counted by this time; the window is longer by one of them.
_BUCKET_S: Final = 0.25
# A process that has just started knows nobody; it takes the part of so many instances so long.
_START_INSTANCES: Final = 16
_START_S: Final = 5.0
# How long the largest number of instances is remembered: longer than two halves stay parted with
# requests of one of them still counted in the other's window.
_PEAK_KEEP_S: Final = 60.0
# Between two looks at how many instances live.
_LOOK_S: Final = 0.5


def earn_retry(state: State, now: float, req: Request) -> None:
    """Count a first attempt, which pays for a fraction of a retry."""
    budget, options = state.retries, state.options
    if options.retry_window_s:
        _bucket(budget, now, req.target).firsts += 1
        return
    earned = _tokens(budget, options) + options.retry_share
    budget.tokens = min(options.retry_burst, earned)


def may_retry(state: State, now: float, req: Request) -> bool:
    """Tell whether a retry could be taken now, without taking it."""
    return left(state, now, req.target) >= 1.0


def left(state: State, now: float, target: Target) -> float:
    """Give the retries that are left for a target now."""
    budget, options = state.retries, state.options
    if not options.retry_window_s:
        return _tokens(budget, options)
    firsts, retries = _counts(budget, options, now, target)
    burst = options.retry_burst / _instances(budget, now)
    return options.retry_use_share * (options.retry_share * firsts + burst) - retries


def spend_retry(state: State, now: float, req: Request) -> bool:
    """Take one retry from the budget; False means that there is none to take."""
    budget, options = state.retries, state.options
    if not may_retry(state, now, req):
        budget.refused += 1
        return False
    if options.retry_window_s:
        _bucket(budget, now, req.target).retries += 1
    else:
        budget.tokens = _tokens(budget, options) - 1.0
    return True


def on_tick(state: State, now: float) -> None:
    """Follow how many instances share the burst."""
    budget = state.retries
    if not state.options.retry_window_s or now < budget.look_due:
        return
    budget.look_due = now + _LOOK_S
    if budget.started_at is None:
        budget.started_at = now
    live = len(membership.live_instances(state, now))
    if live >= budget.peak or now - budget.peak_at > _PEAK_KEEP_S:
        budget.peak = live
        budget.peak_at = now


def _tokens(budget: RetryBudget, options: Options) -> float:
    return options.retry_burst if budget.tokens is None else budget.tokens


def _instances(budget: RetryBudget, now: float) -> int:
    if budget.started_at is None or now - budget.started_at < _START_S:
        return max(budget.peak, _START_INSTANCES)
    return budget.peak


def _bucket(budget: RetryBudget, now: float, target: Target) -> RetryBucket:
    window = budget.windows.setdefault(target, deque())
    if not window or now - window[-1].since >= _BUCKET_S:
        window.append(RetryBucket(now))
    return window[-1]


def _counts(budget: RetryBudget, options: Options, now: float, target: Target) -> tuple[int, int]:
    """Count first attempts and retries in the newest window; a retry counts a bucket longer."""
    window = budget.windows.get(target)
    if window is None:
        return 0, 0
    oldest = now - options.retry_window_s
    while window and window[0].since < oldest - _BUCKET_S:
        window.popleft()
    firsts = sum(each.firsts for each in window if each.since >= oldest)
    return firsts, sum(each.retries for each in window)
