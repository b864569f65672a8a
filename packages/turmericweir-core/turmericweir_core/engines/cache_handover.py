"""Give an instance that has just started what the others know of the engines' caches.

`load_news` tells of parts as they are sent and read, so an instance that starts hears of none that
was read before. Failure without this: instances are stopped and started in turn, each sends its
first hundred long prompts to engines that do not hold their parts though others do, and has parts
of thousands of tokens read once more; for as long they delay the answers beside them.

It asks one live peer at a time until one answers that has been here for longer than itself. What it
is told is a guess like all that is known of caches: a wrong one costs time, never an answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Effect, Log, SendPeer
from turmericweir_core.messages.peer_messages import CachesAsk, CachesSend, CachesServer

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Between two asks. Peers answer at once; a stream that has just been opened may be lost.
_ASK_S: Final = 0.5
# After so long what was missed has been found out by reading it.
_GIVE_UP_S: Final = 5.0
# Parts that are told of one engine, the newest: some tens of large ones fill its memory.
_PARTS_MAX: Final = 200


def on_tick(state: State, now: float) -> list[Effect]:
    """Ask a peer, while nobody has told."""
    handover = state.handover
    if handover.started_at is None:
        handover.started_at = now
    if handover.told or now < handover.ask_due or now - handover.started_at > _GIVE_UP_S:
        return []
    me = state.me.name
    peers = [each for each in membership.region_instances(state, now) if each.name != me]
    if not peers:
        return []
    handover.ask_due = now + _ASK_S
    peer = state.rng.choice(peers)
    return [SendPeer(peer.name, peer.peer_address, CachesAsk())]


def on_ask(state: State, now: float, sender: InstanceName) -> list[Effect]:
    """Tell what is known of the engines' caches, where anything is."""
    peer = membership.member(state, sender)
    rows = _known(state)
    if peer is None or not rows:
        # It asks another one: this instance may have started together with it.
        return []
    return [SendPeer(peer.name, peer.peer_address, CachesSend(rows))]


def _known(state: State) -> list[CachesServer]:
    rows: list[CachesServer] = []
    for name, book in state.engines.by_server.items():
        if not book.cached or name not in state.servers.by_name:
            continue
        newest = list(book.cached)[-_PARTS_MAX:]
        rows.append(CachesServer(name, newest, [book.cached[part] for part in newest]))
    return rows


def on_told(state: State, sender: InstanceName, message: CachesSend) -> list[Effect]:
    """Take what a peer knows; what was seen here since the start is newer."""
    if state.handover.told:
        return []
    state.handover.told = True
    count = 0
    for row in message.servers:
        server = state.servers.by_name.get(ServerName(row.server))
        if server is None:
            continue
        book = engine_model.book_of(state, server.entry.name)
        seen = list(book.cached.items())
        for part, tokens in [*zip(row.parts, row.tokens, strict=False), *seen]:
            engine_model.note_cached(book, server, part, tokens)
            count += 1
    return [Log("caches_told", {"peer": sender, "parts": count})]
