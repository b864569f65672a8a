"""Which requests count as begun by a server, by how their attempts end."""

from __future__ import annotations

from tests.core.store_world import StoreWorld, only, start_of
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import EndBroken
from turmericweir_core.state.usage_meter import UsageMeter

WINDOW_S = 1000.0
PROMPT_TOKENS = 4_000


def metered_world() -> StoreWorld:
    """Return an instance that counts requests, in one window for all of a test."""
    world = StoreWorld()
    world.state.meter = UsageMeter(WINDOW_S, wall_zero_s=0.0)
    return world


def counted(world: StoreWorld) -> int:
    """Return the number of counted requests."""
    meter = world.state.meter
    assert meter is not None
    return sum(sum(counts.values()) for counts in meter.windows.values())


def test_stream_whose_first_event_was_lost_counts() -> None:
    """Guards against usage that is too low while servers run requests and lose the answers."""
    world = metered_world()
    start = start_of(world.arrive("1", prompt_tokens=PROMPT_TOKENS))
    world.sent(start)
    world.now += 2.0
    world.end(start, EndBroken("connection reset", server_alive=True))
    assert counted(world) == 1


def test_stream_that_is_repeated_after_a_lost_answer_counts_once() -> None:
    """Guards against usage that is too high if a request runs again after a lost answer."""
    world = metered_world()
    start = start_of(world.arrive("1", prompt_tokens=PROMPT_TOKENS, repeatable=True, sends_max=3))
    world.sent(start)
    world.now += 2.0
    effects = world.end(start, EndBroken("connection reset", server_alive=True))
    effects += world.wait(0.2)
    (repeated,) = only(effects, StartAttempt)
    world.sent(repeated)
    world.begin(repeated)
    assert counted(world) == 1


def test_stream_that_its_server_cannot_have_begun_does_not_count() -> None:
    """Guards against counting requests whose connections servers close for want of room."""
    world = metered_world()
    start = start_of(world.arrive("1", prompt_tokens=PROMPT_TOKENS))
    world.sent(start)
    world.now += 0.001
    world.end(start, EndBroken("connection reset", server_alive=True))
    assert counted(world) == 0


def test_stream_on_a_server_that_crashed_before_its_first_event_does_not_count() -> None:
    """Guards against counting what waited at a server that crashed."""
    world = metered_world()
    start = start_of(world.arrive("1", prompt_tokens=PROMPT_TOKENS))
    world.sent(start)
    world.now += 2.0
    world.end(start, EndBroken("connection reset", server_alive=False))
    assert counted(world) == 0
