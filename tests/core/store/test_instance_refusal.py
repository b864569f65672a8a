"""What an instance refuses for its own sake, and when its callers come back."""

from __future__ import annotations

from tests.core.store_world import PLAIN, StoreWorld, account_of, only
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import FinishRequest, StartAttempt
from turmericweir_core.messages.events import StopRequested


def test_a_stopping_instance_serves_what_certainly_ends_in_time() -> None:
    """An instance is told to stop; the balancer has looked away, but one connection was idle.

    Its caller sends a call that ends within a second, and 4.5 s are left: it is served, and told to
    close the connection. A long answer might be cut; its caller is sent to another instance at
    once. Near the end the short call is sent on as well.
    """
    world = StoreWorld()
    world.give(StopRequested())
    # Something is in flight all the time, so that the process does not end.
    world.arrive("running", deadline=world.now + 7.0, prompt_tokens=100)
    world.wait(3.0)
    assert only(world.arrive("short", target=PLAIN), StartAttempt)
    refused = account_of(world.arrive("long", deadline=world.now + 12.0, prompt_tokens=100))
    assert refused.account.reason is Reason.STOPPING
    assert refused.account.retry_after_s == 0.0
    world.wait(3.5)
    assert account_of(world.arrive("late", target=PLAIN)).account.reason is Reason.STOPPING


def test_a_caller_of_an_instance_without_proof_comes_back_where_it_can_be_served() -> None:
    """An instance has lost the store, and with it the proof that keys are still good.

    Alone it may be cut off from all others, and another instance can serve the caller at once. With
    others of its data centre in reach, which would have told of a proof, all are cut off, and the
    caller is told to come back later.
    """
    alone = StoreWorld()
    alone.wait(5.0)
    refused = account_of(alone.arrive("1", target=PLAIN, keyed=True)).account
    assert (refused.outcome, refused.reason) == (Outcome.NOT_RUN, Reason.KEY_UNPROVEN)
    assert refused.retry_after_s == 0.0
    together = StoreWorld()
    together.wait(5.0)
    together.know("a-2")
    refused = account_of(together.arrive("1", target=PLAIN, keyed=True)).account
    assert refused.reason is Reason.KEY_UNPROVEN
    assert refused.retry_after_s is not None
    assert refused.retry_after_s >= 1.0


def test_a_process_that_has_just_started_is_asked_again_soon() -> None:
    world = StoreWorld()
    world.state.has_settings = False
    (refused,) = only(world.arrive("1", target=PLAIN), FinishRequest)
    assert refused.account.reason is Reason.NO_SETTINGS
    assert refused.account.retry_after_s is not None
    assert refused.account.retry_after_s < 0.5
