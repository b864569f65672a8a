"""Test on which connections a request is sent again, and what is logged of it."""

from __future__ import annotations

import pytest
from msgspec import structs

from tests.core.store_world import FIT, StoreWorld, account_of, model_route, only, start_of
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.routes import build_route_table
from turmericweir_core.messages.effects import FinishRequest, Log, StartAttempt
from turmericweir_core.messages.events import (
    AttemptSent,
    DocumentRead,
    EndBroken,
    EndRefused,
    RegistryRead,
)


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


def test_second_send_names_the_connection_and_the_start_that_refused() -> None:
    """Guards against refusals that cannot be told from those of an earlier start or connection."""
    world = StoreWorld(1, 0)
    first = start_of(world.arrive("r", repeatable=False))
    ids = (first.request_id, first.attempt_id)
    world.give(AttemptSent(*ids, connection="127.0.0.1:7", connection_age_s=1.5))
    effects = world.end(first, EndRefused(503, leaving=False))
    starts = only(effects, StartAttempt)
    second = starts[0] if starts else start_of(world.wait(1.0))
    (log,) = [each for each in only(world.sent(second), Log) if each.event == "sent_again"]
    assert log.fields["refused_connection"] == "127.0.0.1:7"
    assert log.fields["refused_connection_age_ms"] == 1500
    entry = world.state.servers.by_name[ServerName(first.server)].entry
    assert log.fields["refused_incarnation"] == entry.incarnation


def test_request_that_waits_for_a_second_run_ends_when_its_route_forbids_it() -> None:
    """Guards against a retry that was decided by earlier settings."""
    world = StoreWorld(1, 0)
    allowed = model_route(FIT, 12.0)
    start = start_of(
        world.arrive("r", repeatable=True, sends_max=3, host=allowed.host, path="/chat/")
    )
    world.sent(start)
    world.begin(start)
    assert not only(world.end(start, EndBroken("reset", server_alive=False)), FinishRequest)
    assert world.state.requests
    cfg = structs.replace(
        world.config(), routes=build_route_table([structs.replace(allowed, repeatable=False)])
    )
    effects = world.give(DocumentRead(9, cfg, b"raw", world.now))
    assert account_of(effects).account.outcome is Outcome.UNKNOWN
    assert not world.state.requests
