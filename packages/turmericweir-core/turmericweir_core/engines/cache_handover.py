"""Send a new instance what another one has recorded about the caches and the pace of engines.

`load_updates` reports parts only when they are sent or prefilled, so a new instance lacks earlier
ones and would have them prefilled again on other engines. It asks one live peer at a time until one
answers. Cache data is an estimate: a wrong entry costs time, but never fails a request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.engines import engine_model, shared_pace
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Effect, Log, SendPeer
from turmericweir_core.messages.load_messages import CachesAsk, CachesSend, CachesServer

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Interval between requests for the data; a newly opened stream may lose one.
_ASK_INTERVAL_S: Final = 0.5
# Time after the start at which requests end; by then most missing parts were prefilled again.
_GIVE_UP_AFTER_S: Final = 5.0
# Newest parts sent for each engine; a few dozen large ones fill its memory.
_PARTS_PER_ENGINE_MAX: Final = 200


def on_tick(state: State, now: float) -> list[Effect]:
    """Ask a random peer while none has answered."""
    handover = state.handover
    if handover.started_at is None:
        handover.started_at = now
    if (
        handover.has_received_caches
        or now < handover.next_query_at
        or now - handover.started_at > _GIVE_UP_AFTER_S
    ):
        return []
    me = state.me.name
    peers = [each for each in membership.region_instances(state, now) if each.name != me]
    if not peers:
        return []
    handover.next_query_at = now + _ASK_INTERVAL_S
    peer = state.rng.choice(peers)
    return [SendPeer(peer.name, peer.peer_address, CachesAsk())]


def on_caches_request(state: State, now: float, sender: InstanceName) -> list[Effect]:
    """Send this instance's cache data to a peer that asks, if there is any."""
    peer = membership.find_member(state, sender)
    rows = _cache_rows(state)
    paces = shared_pace.estimate_rows(state)
    if peer is None or not (rows or paces):
        # The peer asks another instance next; this one may be new as well.
        return []
    return [SendPeer(peer.name, peer.peer_address, CachesSend(rows, paces))]


def _cache_rows(state: State) -> list[CachesServer]:
    """Return the newest cached parts of each engine."""
    rows: list[CachesServer] = []
    for name, record in state.engines.by_server.items():
        if not record.cached or name not in state.servers.by_name:
            continue
        newest = list(record.cached)[-_PARTS_PER_ENGINE_MAX:]
        rows.append(CachesServer(name, newest, [record.cached[part].tokens for part in newest]))
    return rows


def on_caches_received(state: State, sender: InstanceName, message: CachesSend) -> list[Effect]:
    """Record a peer's cache data; parts that this instance observed count as newer."""
    if state.handover.has_received_caches:
        return []
    state.handover.has_received_caches = True
    shared_pace.record_estimates(state, message.paces)
    part_count = 0
    for row in message.servers:
        server = state.servers.by_name.get(ServerName(row.server))
        if server is None:
            continue
        record = engine_model.engine_info_of(state, server.entry.name)
        observed_parts = [(part, each.tokens) for part, each in record.cached.items()]
        for part, tokens in [*zip(row.parts, row.tokens, strict=False), *observed_parts]:
            engine_model.record_cached(record, server, part, tokens)
            part_count += 1
    return [Log("caches_told", {"peer": sender, "parts": part_count})]
