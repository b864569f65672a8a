"""Test what a cached beginning of a prompt is worth against the wait, without a network."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from tests.core.store_world import BULK, StoreWorld, start_of
from turmericweir_core.base.cache_options import CacheOptions
from turmericweir_core.base.ids import ServerName
from turmericweir_core.engines import cache_estimate, engine_model
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import EndComplete, RegistryRead
from turmericweir_core.messages.load_messages import LoadNews, LoadRow
from turmericweir_core.placement import cache_tradeoff
from turmericweir_core.placement.cache_tradeoff import Offer

SHARED_PART = ("sheet", 13_300)
MEMORY_TOKENS = 500_000


def offer(
    wait_ms: float = 0.0, held_ms: float = 0.0, lost_ms: float = 0.0, probability: float = 1.0
) -> Offer:
    return Offer(wait_ms, held_ms, lost_ms, probability, congestion_ms=0.0, distance_ms=0.0)


@pytest.mark.parametrize(
    ("depth_tokens", "in_use_tokens", "expected"),
    [
        (100_000, 300_000, 1.0),
        (200_000, 300_000, 1.0),
        (250_000, 300_000, 0.8),
        (200_000, 480_000, 0.1),
        (480_000, 200_000, 0.1),
        (10_000, 500_000, 0.0),
        (510_000, 0, 0.0),
    ],
)
def test_probability_that_a_part_is_held(
    depth_tokens: int, in_use_tokens: int, expected: float
) -> None:
    actual = cache_estimate.probability(depth_tokens, in_use_tokens, MEMORY_TOKENS)
    assert actual == pytest.approx(expected)


def test_part_is_held_where_memory_is_unknown() -> None:
    assert cache_estimate.probability(10**9, 10**9, 0) == 1.0


@pytest.mark.parametrize(
    ("holder", "other", "prompts_behind", "holder_is_better"),
    [
        # Nothing waits: whichever begins first.
        (offer(wait_ms=100, held_ms=50, lost_ms=300), offer(held_ms=300, lost_ms=300), 0.0, True),
        (offer(wait_ms=300, held_ms=50, lost_ms=300), offer(held_ms=300, lost_ms=300), 0.0, False),
        # Prompts wait behind it: what is saved counts for each of them too.
        (offer(wait_ms=300, held_ms=50, lost_ms=300), offer(held_ms=300, lost_ms=300), 1.0, True),
        # The beginning will probably be evicted before its turn comes.
        (
            offer(wait_ms=100, held_ms=50, lost_ms=300, probability=0.2),
            offer(held_ms=300, lost_ms=300),
            0.0,
            False,
        ),
    ],
)
def test_saved_work_is_weighed_against_the_wait(
    holder: Offer, other: Offer, prompts_behind: float, holder_is_better: bool
) -> None:
    holder_cost_ms = cache_tradeoff.cost_ms(holder, prompts_behind)
    other_cost_ms = cache_tradeoff.cost_ms(other, prompts_behind)
    assert (holder_cost_ms < other_cost_ms) is holder_is_better


def weighing_world(engines: int = 5) -> StoreWorld:
    """Return an instance that weighs waits."""
    world = StoreWorld(engines=engines)
    world.state.options = replace(world.state.options, cache=CacheOptions(weighs_waits=True))
    return world


def hold_shared_part(world: StoreWorld) -> StartAttempt:
    """Have an engine hold the shared part, and return the attempt that did it."""
    start = start_of(
        world.arrive("first", prompt_tokens=17_000, parts=(SHARED_PART, ("own-1", 3_700)))
    )
    world.sent(start)
    world.now += 0.4
    world.begin(start)
    world.end(start, EndComplete(200))
    return start


def fill_memory(world: StoreWorld, server: ServerName, share: float) -> None:
    """Report requests of another instance that use a share of an engine's memory."""
    memory_tokens = world.state.servers.by_name[server].service.kv_tokens
    row = LoadRow(server, [], running=1, tokens=round(share * memory_tokens))
    world.peer("a-2", LoadNews("y", 1, [row]))


@pytest.mark.parametrize(("share", "is_held"), [(0.1, True), (0.999, False)])
def test_requests_of_other_instances_evict_a_part(share: float, is_held: bool) -> None:
    """Guards against relying on a part that other instances' requests have driven out."""
    world = weighing_world()
    holder = ServerName(hold_shared_part(world).server)
    fill_memory(world, holder, share)
    req = world.request(
        "second",
        service_class=BULK,
        prompt_tokens=17_000,
        parts=(SHARED_PART, ("own-2", 3_700)),
    )
    server = world.state.servers.by_name[holder]
    record = engine_model.engine_info_of(world.state, holder)
    probability = cache_estimate.held_probability(world.now, req, server, record)
    assert (probability > 0.5) is is_held


def fetch_shared_part(world: StoreWorld, number: int) -> StartAttempt:
    """Send a request for the shared part while its holder leaves, so that others fetch it."""
    return start_of(
        world.arrive(
            f"fetch-{number}",
            prompt_tokens=17_000,
            parts=(SHARED_PART, (f"own-{number}", 3_700)),
        )
    )


def test_slow_fetches_are_learnt() -> None:
    """Guards against fetches that take longer than prefilling the part again."""
    world = weighing_world(engines=40)
    holder = world.state.servers.by_name[ServerName(hold_shared_part(world).server)].entry
    world.give(RegistryRead(((world.entry(holder.name, "lm", leaving=True), 50),)))
    fetched = 0
    for number in range(12):
        start = fetch_shared_part(world, number)
        world.state.engines.by_server[ServerName(holder.name)].cached.move_to_end(SHARED_PART[0])
        if not start.fetch_from_address:
            break
        fetched += 1
        world.sent(start)
        world.now += 3.0
        world.begin(start)
        world.end(start, EndComplete(200))
        engine_model.reset_engine(world.state, ServerName(start.server))
    assert 0 < fetched < 12


def test_fast_fetches_go_on() -> None:
    """Guards against giving up fetches that are as fast as the link allows."""
    world = weighing_world(engines=40)
    holder = world.state.servers.by_name[ServerName(hold_shared_part(world).server)].entry
    world.give(RegistryRead(((world.entry(holder.name, "lm", leaving=True), 50),)))
    for number in range(12):
        start = fetch_shared_part(world, number)
        assert start.fetch_from_address == holder.address
        world.sent(start)
        world.now += 0.25
        world.begin(start)
        world.end(start, EndComplete(200))
        engine_model.reset_engine(world.state, ServerName(start.server))


def test_least_work_decides_where_waits_are_not_weighed() -> None:
    """Guards against a change for deployments whose settings do not ask for it."""
    for weighs_waits in (False, True):
        world = weighing_world() if weighs_waits else StoreWorld(engines=5)
        holder = hold_shared_part(world).server
        blocking = start_of(
            world.arrive("big", prompt_tokens=14_000, parts=(SHARED_PART, ("own-b", 700)))
        )
        world.sent(blocking)
        row = LoadRow(holder, [[600, 0, 0]], running=0, tokens=20_000)
        world.peer("a-2", LoadNews("y", 1, [row]))
        start = start_of(
            world.arrive("second", prompt_tokens=15_000, parts=(SHARED_PART, ("own-2", 1_700)))
        )
        assert (start.server == holder) is not weighs_waits
