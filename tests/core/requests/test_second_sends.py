"""Test on which connections a request is sent again, and what is logged of it."""

from __future__ import annotations

import pytest

from tests.core.store_world import StoreWorld, only, start_of
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import Log, StartAttempt
from turmericweir_core.messages.events import EndRefused, RegistryRead


def refused(
    world: StoreWorld, start: StartAttempt, *, leaving: bool = False
) -> StartAttempt | None:
    """Let a server refuse an attempt; return the next one, if any."""
    world.sent(start)
    effects = world.end(start, EndRefused(421 if leaving else 503, leaving=leaving))
    starts = only(effects, StartAttempt)
    return starts[0] if starts else None


@pytest.mark.parametrize("repeatable", [True, False])
def test_second_send_to_a_server_opens_a_connection(repeatable: bool) -> None:
    """Guards against a copy of the first answer that is taken for the second one."""
    world = StoreWorld(1, 0)
    first = start_of(world.arrive("r", repeatable=repeatable))
    assert not first.needs_new_connection
    second = refused(world, first) or start_of(world.wait(1.0))
    assert second.server == first.server
    assert second.needs_new_connection


def test_send_to_another_server_keeps_its_connection() -> None:
    """Guards against connections that are opened without need."""
    world = StoreWorld(2, 0)
    first = start_of(world.arrive("r", repeatable=False))
    second = refused(world, first) or start_of(world.wait(1.0))
    assert second.server != first.server
    assert not second.needs_new_connection


def test_send_to_a_server_at_an_address_that_had_the_request_opens_a_connection() -> None:
    """Guards against connections that are told apart by the name of their server."""
    world = StoreWorld(1, 0)
    first = start_of(world.arrive("r", repeatable=False))
    assert refused(world, first, leaving=True) is None
    entry = world.entry("lm-new", "lm", address=first.address)
    effects = world.give(RegistryRead(((entry, 9),), ((ServerName(first.server), 8),)))
    second = start_of([*effects, *world.wait(1.0)])
    assert second.server == "lm-new"
    assert second.needs_new_connection


def test_second_send_of_what_must_not_run_twice_says_why_it_is_safe() -> None:
    """Guards against second sends that leave no trace."""
    world = StoreWorld(1, 0)
    first = start_of(world.arrive("r", repeatable=False))
    second = refused(world, first) or start_of(world.wait(1.0))
    (log,) = [each for each in only(world.sent(second), Log) if each.event == "sent_again"]
    assert log.fields["evidence"] == "named"
    assert log.fields["refused_by"] == first.server
    assert log.fields["same_server"]
    assert not log.fields["kept_connection"]
