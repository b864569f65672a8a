"""Test the handover of cache data to an instance that has just started."""

from __future__ import annotations

from tests.core.store_world import StoreWorld, only, start_of
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import SendPeer
from turmericweir_core.messages.events import EndComplete
from turmericweir_core.messages.load_messages import CachesAsk, CachesSend

SHARED_PART = ("sheet", 13_300)


def cache_requests(world: StoreWorld) -> list[SendPeer]:
    """Return the requests for cache data that were sent."""
    return [each for each in only(world.effects, SendPeer) if each.message == CachesAsk()]


def test_restarted_instance_uses_engine_that_holds_the_part() -> None:
    """Guards against prefilling a part again after a restart though a peer knows which engine holds
    it.
    """
    peer = StoreWorld(engines=5)
    first = start_of(peer.arrive("1", prompt_tokens=17_000, parts=(SHARED_PART, ("own-1", 3_700))))
    peer.begin(first)
    peer.end(first, EndComplete(200))
    for engine in range(1, 6):
        holder = ServerName(f"lm-{engine}")
        record = peer.state.engines.by_server[first.server]
        peer.state.engines.by_server = {holder: record}
        restarted = StoreWorld(engines=5, name="a-2")
        restarted.know("a-1")
        restarted.wait(0.05)
        (ask,) = cache_requests(restarted)
        assert ask.peer == "a-1"
        peer.know("a-2")
        (sent,) = only(peer.peer("a-2", ask.message), SendPeer)
        assert isinstance(sent.message, CachesSend)
        restarted.peer("a-1", sent.message)
        effects = restarted.arrive("2", prompt_tokens=17_000, parts=(SHARED_PART, ("own-2", 3_700)))
        # A decode engine takes no long prompt; its successor fetches the part.
        start = start_of(effects)
        fetched = peer.state.servers.by_name[holder].entry.address
        assert start.server == holder or start.fetch_from_address == fetched
        peer.state.engines.by_server = {first.server: record}


def test_new_instance_asks_again_for_a_limited_time() -> None:
    """Guards against giving up after one request, and against asking without end."""
    world = StoreWorld(name="a-2")
    world.know("a-1")
    assert not only(world.peer("a-1", CachesAsk()), SendPeer)
    world.wait(0.05)
    assert len(cache_requests(world)) == 1
    # Without an answer it asks again for a few seconds, and then stops.
    world.wait(2.0)
    assert len(cache_requests(world)) >= 3
    world.know("a-1")
    world.wait(4.0)
    count = len(cache_requests(world))
    world.know("a-1")
    world.wait(3.0)
    assert len(cache_requests(world)) == count
