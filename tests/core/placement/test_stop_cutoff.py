"""What a stopping instance still passes on to servers."""

from __future__ import annotations

import pytest

from tests.core.store_world import PLAIN, StoreWorld, account_of, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import FinishRequest, StartAttempt
from turmericweir_core.messages.events import EndComplete, StopRequested
from turmericweir_core.state.answer_times import AnswerTimes, longest_s, note_answer


def world_with_answers(seconds: float, count: int = 8) -> StoreWorld:
    """Return a world in which plain requests have taken a time."""
    world = StoreWorld(plain=1)
    for number in range(count):
        start = start_of(world.arrive(f"known-{number}", target=PLAIN, deadline=world.now + 20.0))
        world.sent(start)
        world.now += seconds
        world.give_document(1)
        world.end(start, EndComplete(200))
    return world


@pytest.mark.parametrize(("seconds", "is_served"), [(0.1, True), (2.0, True), (8.0, False)])
def test_early_in_a_stop_requests_of_usual_length_decide(seconds: float, is_served: bool) -> None:
    # Guards against answers that begin in a stop and are cut off, and against needless refusals.
    world = world_with_answers(seconds)
    world.give(StopRequested())
    effects = world.arrive("1", target=PLAIN, deadline=world.now + 20.0)
    assert bool(only(effects, StartAttempt)) is is_served
    if not is_served:
        account = account_of(effects).account
        assert (account.outcome, account.reason) == (Outcome.NOT_RUN, Reason.STOPPING)
        assert account.retry_after_s == 0.0


def test_request_that_ends_in_time_by_its_deadline_is_served() -> None:
    world = world_with_answers(8.0)
    world.give(StopRequested())
    assert only(world.arrive("1", target=PLAIN, deadline=world.now + 3.0), StartAttempt)


def test_waiting_request_is_refused_once_it_cannot_be_answered() -> None:
    # Guards against requests passed on so late in a stop that they are cut off without an answer.
    world = world_with_answers(2.0)
    number = 0
    while only(
        world.arrive(f"full-{number}", target=PLAIN, deadline=world.now + 20.0), StartAttempt
    ):
        number += 1
    waiting = f"full-{number}"
    world.give(StopRequested())
    finished = [each.account for each in only(world.wait(2.0), FinishRequest)]
    assert waiting not in {each.request_id for each in finished}
    finished = [each.account for each in only(world.wait(4.5), FinishRequest)]
    (account,) = [each for each in finished if each.request_id == waiting]
    assert (account.outcome, account.reason) == (Outcome.NOT_RUN, Reason.STOPPING)


def test_estimate_lies_above_most_answers_and_follows_changes() -> None:
    times = AnswerTimes()
    assert longest_s(times, "a") is None
    for _ in range(50):
        note_answer(times, "a", 1.0)
    steady_s = longest_s(times, "a")
    assert steady_s == pytest.approx(1.0, abs=0.01)
    note_answer(times, "a", 3.0)
    assert (longest_s(times, "a") or 0.0) > 3.0
