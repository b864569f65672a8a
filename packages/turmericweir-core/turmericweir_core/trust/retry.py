"""The retry budget, which limits retries to a fraction of first attempts.

Prevents retries from adding more than `retry_share` to the load of a slow cluster when many
requests fail at once.

There are two forms. A token bucket limits the retries of this instance. A window (`retry_window_s`)
limits the retries of all instances together, per target. There a retry is charged to what the own
first attempts earn, and the rest of it to the burst, of which each instance has a part
(`retry_shares`) and may borrow more (`retry_loans`).

What first attempts earn expires after a short time, and what is used of the burst is back after a
window. So no sum over instances counts the first attempts of two windows, though callers move from
one instance to another, or processes end and others earn in their place.

Whoever queues a request again takes a retry here first (`take`), unless nothing of it was sent.
Every attempt passes `note_sent`, which charges each one after the first, whatever led to it. So a
retry is charged when servers may receive it, not when it was decided; until then it is reserved.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request, RetryCause
from turmericweir_core.base.tiers import most_urgent_configured_tier
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.state.loan_state import Loan
from turmericweir_core.state.retry_state import RetryBucket, RetryBudget, RetryWindow
from turmericweir_core.trust import retry_shares

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Time covered by one counter; retries count for one bucket longer than the window.
_BUCKET_S: Final = 0.25
# Time after which what a first attempt earned expires.
_EARNED_KEEP_S: Final = 3.0
# Share of what first attempts may earn that is used. The rest covers the time between sending and
# arrival.
_EARNED_USE_SHARE: Final = 0.97
# Retries that are free unless `retry_pay_all` is set, since the server that ended the attempt has
# no load from it, or this instance ended the attempt itself.
_FREE_CAUSES: Final = frozenset({RetryCause.LEAVING, RetryCause.SERVER_GONE, RetryCause.DISPLACED})
# Part of the budget for urgent requests, and for those that have not run and must not run twice.
_KEPT_SHARE: Final = 0.05


def earn_retry(state: State, now: float, req: Request) -> None:
    """Count a first attempt, which adds a fraction of a retry to the budget."""
    budget, options = state.retries, state.options
    if options.retry_window_s:
        bucket = _current_bucket(_window_of(budget, req.target), options, now)
        bucket.first_attempts += 1
        bucket.earned_left += earned_by_one(options)
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


def take(state: State, now: float, req: Request, cause: RetryCause | None) -> bool:
    """Reserve a retry for a request; return False if none is left.

    A request that holds one already needs no other, and neither does one of whose last attempt
    nothing was sent, which has no cause.
    """
    budget, options = state.retries, state.options
    req.retry_cause = cause or req.retry_cause
    if cause is None or req.holds_retry:
        return True
    if cause in _FREE_CAUSES and not options.retry_pay_all:
        return True
    if not options.retry_window_s:
        if _tokens_left(budget, options) < 1.0:
            budget.refused += 1
            return False
        budget.tokens = _tokens_left(budget, options) - 1.0
        req.holds_retry = True
        return True
    window = _window_of(budget, req.target)
    left = retries_left(state, now, req.target) - _kept_for_others(state, now, req, cause)
    # A displaced request is queued again in any case: this instance ended its attempt for others.
    if cause is not RetryCause.DISPLACED and not _is_granted(state, now, req.target, window, left):
        budget.refused += 1
        _current_bucket(window, options, now).wanted += 1
        return False
    window.reserved += 1
    req.holds_retry = True
    return True


def _has_whole_retries(state: State, now: float, target: Target, window: RetryWindow) -> bool:
    """Return whether an instance's own part of the budget is a whole retry or more."""
    own = _earned(state.options, window, now) + retry_shares.part_of_burst(state, target, window)
    return own >= 1.0


def _is_granted(state: State, now: float, target: Target, window: RetryWindow, left: float) -> bool:
    """Return whether a retry may be made; part of a retry is granted with that probability.

    Prevents many instances with few requests each from retrying nothing. The rest is charged to the
    burst, so the next retries are missing here; drawn once in a while, not for each request. An
    instance that has whole retries uses those: parts of all instances exceed the budget together.
    """
    if left >= 1.0 or _has_whole_retries(state, now, target, window):
        return left >= 1.0
    if now >= window.draw_again_at:
        window.draw_again_at = now + _EARNED_KEEP_S
        window.drawn = state.rng.random()
    return left > window.drawn


def _kept_for_others(state: State, now: float, req: Request, cause: RetryCause) -> float:
    """Return the retries that a request must leave to others."""
    is_unrun = cause in (RetryCause.REFUSED, RetryCause.LEAVING)
    if req.priority <= most_urgent_configured_tier(state.config) or (
        is_unrun and not req.repeatable
    ):
        return 0.0
    window = _window_of(state.retries, req.target)
    earned = _earned(state.options, window, now)
    return _KEPT_SHARE * (earned + retry_shares.part_of_burst(state, req.target, window))


def give_back(state: State, req: Request) -> None:
    """Return the retry that a request holds, since it ends without using it."""
    if req.holds_retry and state.options.retry_window_s:
        _window_of(state.retries, req.target).reserved -= 1
    req.holds_retry = False


def note_sent(state: State, now: float, req: Request) -> list[Effect]:
    """Record that an attempt is sent, and charge it if the request was sent before."""
    req.arrivals += 1
    if req.arrivals == 1:
        return []
    give_back(state, req)
    if state.options.retry_window_s:
        window = _window_of(state.retries, req.target)
        bucket = _current_bucket(window, state.options, now)
        bucket.wanted += 1
        unpaid = 1.0 - _use_earned(window, now)
        bucket.from_burst += unpaid - _use_borrowed(window, now, unpaid)
    cause = req.retry_cause or RetryCause.CANCELLED
    fields = {"request_id": req.request_id, "cause": cause, **describe(state, now, req.target)}
    return [Count(f"retry.sent.{req.target}.{cause}"), Log("retry_sent", fields)]


def _use_earned(window: RetryWindow, now: float) -> float:
    """Use up to one of the retries that first attempts earned; return how much there was."""
    used = 0.0
    for bucket in _unexpired(window, now):
        part = min(bucket.earned_left, 1.0 - used)
        bucket.earned_left -= part
        used += part
    return used


def _use_borrowed(window: RetryWindow, now: float, needed: float) -> float:
    """Use up to the needed part of a retry of what is borrowed; return how much there was."""
    _drop_expired_loans(window, now)
    used = 0.0
    while window.borrowed and used < needed:
        loan = window.borrowed.pop(0)
        part = min(loan.tokens, needed - used)
        used += part
        if part < loan.tokens:
            window.borrowed.insert(0, Loan(loan.tokens - part, loan.until))
    return used


def report_refused(
    state: State, now: float, req: Request, cause: RetryCause | None
) -> list[Effect]:
    """Count and log a retry that the budget does not allow."""
    fields = {"request_id": req.request_id, "cause": cause, **describe(state, now, req.target)}
    return [Count(f"retry.refused.{req.target}"), Log("retry_refused", fields)]


# --- what is left ----------------------------------------------------------------------------


def retries_left(state: State, now: float, target: Target) -> float:
    """Return the number of retries that are left for a target now."""
    budget, options = state.retries, state.options
    if not options.retry_window_s:
        return _tokens_left(budget, options)
    window = budget.windows.get(target)
    if window is None:
        return float(retry_shares.part_of_burst(state, target, RetryWindow()))
    earned_left = _earned_left(window, now)
    return earned_left + _burst_left(state, now, target, window) - window.reserved


def is_overdrawn(state: State, now: float, target: Target) -> bool:
    """Return whether more retries are reserved than may be sent, as parts or loans have ended.

    What was earned up to a window ago counts as well, since it may have been reserved then.
    """
    window = state.retries.windows[target]
    if not window.reserved:
        return False
    options = state.options
    half_s = options.retry_window_s / 2
    earned = max(_earned(options, window, now - shift * half_s) for shift in range(3))
    # One retry may be granted for a part of one.
    return window.reserved > 1.0 + earned + max(0.0, _burst_left(state, now, target, window))


def own_burst_left(state: State, now: float, target: Target, window: RetryWindow) -> float:
    """Return what is left of this instance's own part of the burst."""
    left = _burst_left(state, now, target, window) - _total(window.borrowed)
    return left - max(0.0, window.reserved - _earned_left(window, now))


def _burst_left(state: State, now: float, target: Target, window: RetryWindow) -> float:
    _drop_expired_loans(window, now)
    part = retry_shares.part_of_burst(state, target, window)
    used = _used_burst(state.options, window, now)
    return part - _total(window.lent) + _total(window.borrowed) - used


def _total(loans: Iterable[Loan]) -> float:
    return sum(loan.tokens for loan in loans)


def _used_burst(options: Options, window: RetryWindow, now: float) -> float:
    counted_from = now - options.retry_window_s - _BUCKET_S
    return sum(each.from_burst for each in window.buckets if each.started_at >= counted_from)


def _earned_left(window: RetryWindow, now: float) -> float:
    return sum(bucket.earned_left for bucket in _unexpired(window, now))


def _unexpired(window: RetryWindow, now: float) -> Iterator[RetryBucket]:
    """Yield the buckets whose first attempts may still pay for retries, the oldest first."""
    counted_from = now - _EARNED_KEEP_S + _BUCKET_S
    return (each for each in window.buckets if each.started_at >= counted_from)


def _earned(options: Options, window: RetryWindow, until: float) -> float:
    """Return what the first attempts earned, used or not, that has not expired at a time."""
    return earned_by_one(options) * _first_attempts(window, until, _EARNED_KEEP_S)


def earned_by_one(options: Options) -> float:
    """Return what one first attempt earns.

    What expires after a time may be used in a window that began that much later than the attempts.
    """
    window_s = options.retry_window_s
    return _EARNED_USE_SHARE * options.retry_share * window_s / (window_s + _EARNED_KEEP_S)


def retries_wanted(window: RetryWindow, now: float, span_s: float) -> int:
    """Return the retries that were sent or refused in a time up to now."""
    return sum(each.wanted for each in window.buckets if each.started_at > now - span_s)


def describe(state: State, now: float, target: Target) -> dict[str, float]:
    """Return what the window of a target holds and allows, for logs and the state dump."""
    budget, options = state.retries, state.options
    left = round(retries_left(state, now, target), 2)
    window = budget.windows.get(target)
    if window is None:
        return {"left": left}
    return {
        "first_attempts": _first_attempts(window, now, options.retry_window_s),
        "earned_left": round(_earned_left(window, now), 2),
        "part_of_burst": retry_shares.part_of_burst(state, target, window),
        "used_burst": round(_used_burst(options, window, now), 2),
        "lent": round(_total(window.lent), 2),
        "borrowed": round(_total(window.borrowed), 2),
        "reserved": window.reserved,
        "left": left,
        "sharing_instances": len(budget.sharers[-1].names) if budget.sharers else 0,
    }


def _first_attempts(window: RetryWindow, until: float, window_s: float) -> int:
    return sum(
        each.first_attempts
        for each in window.buckets
        if until - window_s <= each.started_at <= until
    )


def _drop_expired_loans(window: RetryWindow, now: float) -> None:
    if window.lent:
        window.lent = [loan for loan in window.lent if now < loan.until]
    if window.borrowed:
        window.borrowed = [loan for loan in window.borrowed if now < loan.until]


def _tokens_left(budget: RetryBudget, options: Options) -> float:
    return options.retry_burst if budget.tokens is None else budget.tokens


def _window_of(budget: RetryBudget, target: Target) -> RetryWindow:
    window = budget.windows.get(target)
    if window is None:
        window = budget.windows[target] = RetryWindow()
    return window


def _current_bucket(window: RetryWindow, options: Options, now: float) -> RetryBucket:
    """Return the bucket of now, and drop those that no count needs any more."""
    buckets = window.buckets
    if not buckets or now - buckets[-1].started_at >= _BUCKET_S:
        buckets.append(RetryBucket(now))
        while buckets[0].started_at < now - 2 * options.retry_window_s - _BUCKET_S:
            buckets.popleft()
    return buckets[-1]
