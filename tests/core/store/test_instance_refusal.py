"""Refusals that depend only on the instance, and their retry delays."""

from __future__ import annotations

from tests.core.store_world import PLAIN, StoreWorld, account_of, only
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.reasons import Reason
from turmericweir_core.messages.effects import FinishRequest, StartAttempt
from turmericweir_core.messages.events import StopRequested


def test_stopping_instance_serves_requests_that_end_in_time() -> None:
    """A stopping instance serves requests that certainly end in time and refuses the others.

    Prevents callers on idle connections from being refused without need, and long answers from
    being cut off.
    """
    world = StoreWorld()
    world.give(StopRequested())
    # A request in flight keeps the process from ending.
    world.arrive("running", deadline=world.now + 7.0, prompt_tokens=100)
    world.wait(3.0)
    assert only(world.arrive("short", target=PLAIN), StartAttempt)
    refused = account_of(world.arrive("long", deadline=world.now + 12.0, prompt_tokens=100))
    assert refused.account.reason is Reason.STOPPING
    assert refused.account.retry_after_s == 0.0
    world.wait(3.5)
    assert account_of(world.arrive("late", target=PLAIN)).account.reason is Reason.STOPPING


def test_retry_delay_without_proof_depends_on_reachable_peers() -> None:
    """A caller retries at once only if another instance may have a proof.

    With reachable peers in the data centre none of them has one, so the delay is longer.
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


def test_new_process_returns_a_short_retry_delay() -> None:
    """A new process without settings returns a short retry delay."""
    world = StoreWorld()
    world.state.has_settings = False
    (refused,) = only(world.arrive("1", target=PLAIN), FinishRequest)
    assert refused.account.reason is Reason.NO_SETTINGS
    assert refused.account.retry_after_s is not None
    assert refused.account.retry_after_s < 0.5


def test_requests_are_refused_where_the_list_of_servers_does_not_come() -> None:
    """Guards against holding callers until their deadline where no server is known."""
    world = StoreWorld(engines=0, plain=0)
    world.state.servers.listed_at = None
    world.state.members.started_at = world.now
    # The list may come at any moment after a start.
    assert not only(world.arrive("early", target=PLAIN, deadline=world.now + 6.0), FinishRequest)
    (ended,) = only(world.wait(world.state.options.servers_wait_s + 0.1), FinishRequest)
    refused = account_of(world.arrive("late", target=PLAIN, deadline=world.now + 6.0))
    for account in (ended.account, refused.account):
        assert (account.outcome, account.reason) == (Outcome.NOT_RUN, Reason.NO_SERVER)
        assert account.retry_after_s is not None
        assert account.retry_after_s < 0.5


def test_requests_wait_for_a_server_where_the_list_is_known() -> None:
    """A list without servers is one: a server may be registered at any moment."""
    world = StoreWorld(engines=0, plain=0)
    effects = world.arrive("1", target=PLAIN, deadline=world.now + 6.0) + world.wait(3.0)
    assert not only(effects, FinishRequest)
