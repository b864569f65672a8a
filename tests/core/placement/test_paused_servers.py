"""Test requests while servers want none from this instance."""

from __future__ import annotations

from tests.core.store_world import PLAIN, StoreWorld, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.messages.effects import FinishRequest, StartAttempt
from turmericweir_core.messages.events import (
    AnswerReceived,
    EndComplete,
    EndRefused,
    RegistryRead,
)


def refuse(world: StoreWorld, start: StartAttempt, pause_s: float) -> list[object]:
    """Let a server refuse an attempt and ask for a pause; return the effects."""
    world.sent(start)
    world.give(AnswerReceived(start.request_id, start.attempt_id, pause_s=pause_s))
    return list(world.end(start, EndRefused(503, leaving=False)))


def test_refused_request_waits_for_the_end_of_the_pause() -> None:
    """Guards against a retry during the pause when no other server is left."""
    world = StoreWorld(engines=1)
    refuse(world, start_of(world.arrive("1")), 3.0)
    assert not only(world.wait(2.9), StartAttempt)
    assert start_of(world.wait(0.2)).request_id == "1"


def test_longer_of_two_pauses_holds() -> None:
    """Guards against a second refusal that ends the pause of the first one early."""
    world = StoreWorld(engines=1)
    first = start_of(world.arrive("1"))
    second = start_of(world.arrive("2"))
    refuse(world, first, 3.0)
    refuse(world, second, 0.5)
    assert not only(world.wait(2.9), StartAttempt)
    assert len(only(world.wait(0.2), StartAttempt)) == 2


def test_answer_of_an_earlier_request_does_not_end_the_pause() -> None:
    """Guards against taking a late success for the end of a pause."""
    world = StoreWorld(engines=1)
    first = start_of(world.arrive("1"))
    refuse(world, start_of(world.arrive("2")), 3.0)
    world.give(AnswerReceived(first.request_id, first.attempt_id))
    world.end(first, EndComplete(200))
    assert not only(world.wait(2.9), StartAttempt)


def test_other_servers_take_the_requests() -> None:
    """Guards against requests that wait for a paused server while another one is idle."""
    world = StoreWorld(engines=2)
    first = start_of(world.arrive("1"))
    world.sent(first)
    world.give(AnswerReceived(first.request_id, first.attempt_id, pause_s=3.0))
    retry = start_of(world.end(first, EndRefused(503, leaving=False)))
    assert retry.server != first.server
    assert start_of(world.arrive("2")).server == retry.server


def test_new_incarnation_is_not_paused() -> None:
    """Guards against holding the pause of a server against its successor of the same name."""
    world = StoreWorld(engines=1)
    refuse(world, start_of(world.arrive("1")), 30.0)
    successor = world.entry("lm-1", "lm", incarnation="2")
    resumed = start_of(world.give(RegistryRead(((successor, 3),), is_complete=True)))
    assert resumed.server == "lm-1"


def test_request_that_cannot_wait_for_the_pause_is_refused_at_once() -> None:
    """Guards against holding a caller to its deadline when all servers are paused beyond it."""
    world = StoreWorld(plain=1)
    refuse(world, start_of(world.arrive("1", target=PLAIN)), 3.0)
    (first,) = only(world.wait(0.1), FinishRequest)
    (second,) = only(world.arrive("2", target=PLAIN), FinishRequest)
    for finish in (first, second):
        assert finish.account.outcome is Outcome.NOT_RUN
    # No other instance is known, so the caller has to wait for the end of the pause.
    assert 1.0 < (second.account.retry_after_s or 0.0) <= 3.0


def test_refused_caller_goes_to_another_instance_at_once() -> None:
    """Guards against a delay though the servers asked only this instance to pause."""
    world = StoreWorld(plain=1, retry_after_min_s=0.1)
    world.know("a-2")
    refuse(world, start_of(world.arrive("1", target=PLAIN)), 3.0)
    world.wait(0.6)
    (finish,) = only(world.arrive("2", target=PLAIN), FinishRequest)
    assert finish.account.retry_after_s == 0.1
