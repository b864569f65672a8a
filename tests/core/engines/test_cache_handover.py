"""What an instance that has just started is told of the engines' caches."""

from __future__ import annotations

from tests.core.store_world import StoreWorld, only, start_of
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import SendPeer
from turmericweir_core.messages.events import EndComplete
from turmericweir_core.messages.peer_messages import CachesAsk, CachesSend

SHARED = ("sheet", 13_300)


def asks(world: StoreWorld) -> list[SendPeer]:
    """List the asks for caches."""
    return [each for each in only(world.effects, SendPeer) if each.message == CachesAsk()]


def test_a_restarted_instance_sends_prompts_where_their_parts_are_held() -> None:
    """An instance is stopped and started while its peer serves on.

    The sheet was read once, on an engine that is not the first choice by hash. The restarted one
    asks its peer, is told, and its caller's prompt goes to that engine: nothing is read twice.
    """
    peer = StoreWorld(engines=5)
    first = start_of(peer.arrive("1", prompt_tokens=17_000, parts=(SHARED, ("own-1", 3_700))))
    peer.begin(first)
    peer.end(first, EndComplete(200))
    for engine in range(1, 6):
        held = ServerName(f"lm-{engine}")
        book = peer.state.engines.by_server[first.server]
        peer.state.engines.by_server = {held: book}
        restarted = StoreWorld(engines=5, name="a-2")
        restarted.know("a-1")
        restarted.wait(0.05)
        (ask,) = asks(restarted)
        assert ask.peer == "a-1"
        peer.know("a-2")
        (sent,) = only(peer.peer("a-2", ask.message), SendPeer)
        assert isinstance(sent.message, CachesSend)
        restarted.peer("a-1", sent.message)
        effects = restarted.arrive("2", prompt_tokens=17_000, parts=(SHARED, ("own-2", 3_700)))
        # An engine for quick answers keeps apart, and has the part handed on.
        start = start_of(effects)
        fetched = peer.state.servers.by_name[held].entry.address
        assert start.server == held or start.fetch_from == fetched
        peer.state.engines.by_server = {first.server: book}


def test_instances_that_start_together_ask_on_until_one_knows() -> None:
    world = StoreWorld(name="a-2")
    world.know("a-1")
    assert not only(world.peer("a-1", CachesAsk()), SendPeer)
    world.wait(0.05)
    assert len(asks(world)) == 1
    # Nobody answers; it asks again for a few seconds, and then no more.
    world.wait(2.0)
    assert len(asks(world)) >= 3
    world.know("a-1")
    world.wait(4.0)
    count = len(asks(world))
    world.know("a-1")
    world.wait(3.0)
    assert len(asks(world)) == count
