"""Less urgent requests wait while more urgent ones are late."""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from tests.core.store_world import BULK, QUICK, StoreWorld, only, start_of
from turmericweir_core.messages.effects import Effect, FinishRequest, StartAttempt
from turmericweir_core.messages.peer_messages import DemandRow, LoadNews

URGENT: Final = replace(QUICK, rank=0)
LESS: Final = replace(BULK, rank=1)
SLOTS: Final = 64


def tell(world: StoreWorld, number: int, rank: int | None) -> list[Effect]:
    """Have a peer tell of its late requests."""
    return world.peer("b-1", LoadNews("x", number, [], [], [DemandRow("lm", 0, 0, rank)]))


def test_a_long_prompt_waits_while_an_urgent_caller_is_late_at_a_peer() -> None:
    # One engine is left. Callers of quick answers wait for it at another instance and are late.
    # Here only a long prompt waits; sent now, it would have the engine before them. It goes as soon
    # as the peer says that none is late, or says nothing any more.
    world = StoreWorld(engines=1)
    tell(world, 1, 0)
    assert not only(world.arrive("long", service_class=LESS, prompt_tokens=9_000), StartAttempt)
    assert only(world.arrive("quick", service_class=URGENT, prompt_tokens=900), StartAttempt)
    effects = tell(world, 2, None) + world.wait(0.2)
    assert start_of(effects).request_id == "long"
    tell(world, 3, 0)
    assert not only(world.arrive("next", service_class=LESS, prompt_tokens=900), StartAttempt)
    assert [each.request_id for each in only(world.wait(2.0), StartAttempt)] == ["next"]


def test_the_lowest_class_has_its_assured_turns_while_urgent_callers_are_late() -> None:
    # Urgent callers are late at a peer for as long as a rush lasts. Here sixty quick answers are
    # sent meanwhile, of which the class of the long prompt earns its share: then it has its turn.
    world = StoreWorld(engines=1)
    tell(world, 1, 0)
    assert not only(world.arrive("long", service_class=LESS, prompt_tokens=9_000), StartAttempt)
    started: list[str] = []
    for number in range(60):
        tell(world, 2 + number, 0)
        effects = world.arrive(f"q{number}", service_class=URGENT, prompt_tokens=20)
        started += [each.request_id for each in only(effects, StartAttempt)]
    assert "long" in started


def test_an_instance_tells_that_urgent_requests_are_late() -> None:
    world = StoreWorld(engines=1)
    world.know("b-1")
    for number in range(SLOTS + 1):
        world.arrive(f"q{number}", service_class=URGENT, prompt_tokens=20)
    world.know("b-1")
    sent = [each.message for each in world.wait(1.0) if hasattr(each, "message")]
    ranks = [row.late_rank for each in sent if isinstance(each, LoadNews) for row in each.demand]
    assert ranks[0] is None
    assert ranks[-1] == 0


def test_a_backlog_of_less_urgent_prompts_refuses_no_urgent_caller() -> None:
    # All customers are of one priority. Long prompts wait for minutes; a quick answer passes them
    # all, so its wait is not theirs, and its caller is let in.
    world = StoreWorld(engines=1)
    for number in range(300):
        world.arrive(
            f"b{number}",
            service_class=LESS,
            prompt_tokens=17_000,
            deadline=world.now + 600.0,
            max_tokens=0,
        )
    effects = world.arrive(
        "quick", service_class=URGENT, prompt_tokens=900, deadline=world.now + 15.0
    )
    assert not only(effects, FinishRequest)
