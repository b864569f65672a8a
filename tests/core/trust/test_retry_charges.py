"""Tests that every attempt after the first is charged to the retry budget, whatever led to it."""

from __future__ import annotations

from typing import get_args

import pytest

from tests.core.store_world import StoreWorld, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import Target
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import CancelReason, RetryCause
from turmericweir_core.messages.effects import Effect, FinishRequest, Log, StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    CallerLeft,
    EndBroken,
    EndCancelled,
    EndComplete,
    EndMisplaced,
    EndRefused,
    EndServerError,
    EndUnsendable,
    EndUnsent,
)
from turmericweir_core.placement import dispatch
from turmericweir_core.trust import retry

# The causes of retries by the end of a sent attempt; None where no retry follows.
ENDS: list[tuple[AttemptEnd, RetryCause | None]] = [
    (EndComplete(200), None),
    (EndRefused(503, False), RetryCause.REFUSED),
    (EndRefused(421, True), RetryCause.LEAVING),
    (EndUnsent("reported after the first byte"), RetryCause.SERVER_GONE),
    (EndMisplaced("reported after the first byte"), RetryCause.SERVER_GONE),
    (EndUnsendable("header x"), None),
    (EndBroken("reset", server_alive=True), RetryCause.BROKEN),
    (EndBroken("reset", server_alive=False), RetryCause.SERVER_GONE),
    (EndServerError(500), RetryCause.SERVER_ERROR),
    (EndCancelled(0), RetryCause.CANCELLED),
]
# The same by the reason for which this instance cancelled a sent attempt.
CANCELS: dict[CancelReason, RetryCause | None] = {
    CancelReason.CALLER_LEFT: None,
    CancelReason.DEADLINE: None,
    CancelReason.UNRESPONSIVE: RetryCause.UNRESPONSIVE,
    CancelReason.SERVER_DEAD: RetryCause.SERVER_DEAD,
    CancelReason.MOVED: RetryCause.MOVED,
    CancelReason.DISPLACED: RetryCause.DISPLACED,
    CancelReason.QUARANTINED: None,
}


def arrive(world: StoreWorld, *, sent: bool = True) -> StartAttempt:
    """Return the first attempt of a request that may be repeated."""
    start = start_of(world.arrive("1", repeatable=True, sends_max=4))
    if sent:
        world.sent(start)
    return start


def check_charged(world: StoreWorld, effects: list[Effect], cause: RetryCause | None) -> None:
    """Check that one retry is reserved by now and charged once it is sent, or none."""
    effects = effects + world.wait(2.0)
    starts = only(effects, StartAttempt)
    if cause is None:
        assert not starts
        assert charged(world) == 0.0
        return
    left = retry.retries_left(world.state, world.now, world_target(world))
    logs = only(world.sent(starts[0]), Log)
    assert [log.fields["cause"] for log in logs if log.event == "retry_sent"] == [cause]
    assert charged(world) == pytest.approx(1.0)
    after = retry.retries_left(world.state, world.now, world_target(world))
    assert after == pytest.approx(left), "reserved and then charged"


def world_target(world: StoreWorld) -> Target:
    """Return the only target with a window."""
    (target,) = world.state.retries.windows
    return target


def charged(world: StoreWorld) -> float:
    """Return the retries that are charged to the burst or to what first attempts earned."""
    window = world.state.retries.windows[world_target(world)]
    earned = sum(
        retry.earned_by_one(world.state.options) * b.first_attempts for b in window.buckets
    )
    left = sum(bucket.earned_left for bucket in window.buckets)
    return earned - left + sum(bucket.from_burst for bucket in window.buckets)


@pytest.mark.parametrize(("end", "cause"), ENDS, ids=lambda each: str(each))
def test_end_of_a_sent_attempt_charges_the_next(end: AttemptEnd, cause: RetryCause | None) -> None:
    """Guards against an end after which a request is sent again for nothing."""
    world = StoreWorld(engines=3)
    start = arrive(world)
    check_charged(world, world.end(start, end), cause)


def test_all_ends_are_listed() -> None:
    """Guards against a new end that nobody decided about."""
    assert {type(end) for end, _ in ENDS} == set(get_args(AttemptEnd))


def test_all_reasons_to_cancel_are_listed() -> None:
    """Guards against a new reason that nobody decided about."""
    assert set(CANCELS) == set(CancelReason)


@pytest.mark.parametrize(("reason", "cause"), CANCELS.items())
def test_cancelled_attempt_charges_the_next(reason: CancelReason, cause: RetryCause | None) -> None:
    """Guards against an attempt that this instance ends and starts again for nothing."""
    world = StoreWorld(engines=3)
    start = arrive(world)
    req = world.state.requests[start.request_id]
    if reason is CancelReason.CALLER_LEFT:
        world.give(CallerLeft(start.request_id))
    else:
        dispatch.cancel(req, reason)
    check_charged(world, world.end(start, EndCancelled(0)), cause)


def test_attempt_that_is_sent_while_it_is_cancelled_charges_the_next() -> None:
    """Guards against a free retry of an attempt that counted as unsent when it was suspected."""
    world = StoreWorld(engines=3)
    start = arrive(world, sent=False)
    dispatch.cancel(world.state.requests[start.request_id], CancelReason.UNRESPONSIVE)
    world.sent(start)
    check_charged(world, world.end(start, EndCancelled(0)), RetryCause.UNRESPONSIVE)


def test_attempt_of_which_nothing_was_sent_is_free() -> None:
    """Guards against a budget spent on requests that no server received."""
    world = StoreWorld(engines=3)
    start = arrive(world, sent=False)
    (again,) = only(world.end(start, EndUnsent("refused")) + world.wait(1.0), StartAttempt)
    assert not only(world.sent(again), Log)
    assert charged(world) == 0.0


def test_retry_that_is_not_sent_is_given_back() -> None:
    """Guards against a reservation that outlives its request."""
    world = StoreWorld(engines=2)
    start = arrive(world)
    before = retry.retries_left(world.state, world.now, world_target(world))
    again = start_of(world.end(start, EndServerError(500)) + world.wait(1.0))
    assert world.state.retries.windows[world_target(world)].reserved == 1
    world.give(CallerLeft(start.request_id))
    assert only(world.end(again, EndCancelled(0)), FinishRequest)
    assert retry.retries_left(world.state, world.now, world_target(world)) == before


def test_retry_that_cannot_be_sent_is_given_back() -> None:
    """Guards against a budget spent, and servers suspected, for a value that no server gets."""
    world = StoreWorld(engines=3)
    start = arrive(world)
    before = retry.retries_left(world.state, world.now, world_target(world))
    again = start_of(world.end(start, EndServerError(500)) + world.wait(1.0))
    effects = world.end(again, EndUnsendable("header x"))
    (finish,) = only(effects, FinishRequest)
    assert (finish.account.outcome, finish.account.reason) == (Outcome.FAILED, Reason.UNSENDABLE)
    assert retry.retries_left(world.state, world.now, world_target(world)) == before
    events = [log.event for log in only(effects, Log)]
    assert not {"path_lost", "paths_suspected", "server_ejected"} & set(events)


def test_last_retries_are_left_to_urgent_requests() -> None:
    """Guards against urgent requests that find the budget used up by others."""
    world = StoreWorld(engines=1)
    urgent = world.state.config.classes["quick"]
    lower = type(urgent)("later", priority=urgent.priority + 1, target_s=2.0)
    granted = {lower.name: 0, urgent.name: 0}
    for service_class in (lower, urgent):
        for number in range(80):
            req = world.request(f"{service_class.name}-{number}", service_class=service_class)
            granted[service_class.name] += retry.take(
                world.state, world.now, req, RetryCause.SERVER_ERROR
            )
    assert granted[lower.name] >= 40
    assert granted[urgent.name] >= 2
