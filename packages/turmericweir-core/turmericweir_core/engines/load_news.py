"""Instances tell each other what they have on each server, and what they sent where.

All instances send to the same servers, and a server's own word on its load is late and, on some
platforms, paid for. So whoever sends a request, or sees one begin, tells all others of the region
in one small datagram. Each datagram holds everything that its sender has anywhere, so a lost one is
made up for by the next. Between two of them lies a gap that grows with the number of instances: at
eight instances news are 20 ms old at the most, and at 80 the datagrams that one instance gets stay
at some 400 a second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import Policy
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.engines import engine_model, engine_pools
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.peer_messages import LoadNews, LoadRow
from turmericweir_core.state.engine_state import EngineBook, PeerLoad, Pending

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# The gap between two datagrams to the same peers: at the least, and for each peer.
_GAP_MIN_S: Final = 0.02
_GAP_PEER_S: Final = 0.0025
# What has not changed is told again after so long, as an earlier datagram may be lost.
_RENEW_S: Final = 0.5
# Parts in one datagram; with more, the oldest are left out, and found out by reading them again.
_PARTS_MAX: Final = 24
_MS: Final = 1000.0
# Work, rank and age.
_FIELDS: Final = 3


def due_news(state: State, now: float) -> list[Effect]:
    """Tell the others, if there is anything to tell and the gap is over."""
    if state.config.policy is not Policy.PREDICTED:
        return []
    engines = state.engines
    renew = now >= state.news.renew_due and state.news.told_load
    if not (engines.changed or renew) or now < state.news.send_due:
        return []
    me = state.me.name
    peers = [each for each in membership.region_instances(state, now) if each.name != me]
    state.news.send_due = now + max(_GAP_MIN_S, _GAP_PEER_S * len(peers))
    state.news.renew_due = now + _RENEW_S
    engines.changed = False
    news = _build(state, now)
    # Having nothing is told once more, in case the datagram that says so is lost.
    state.news.told_load = bool(news.rows) or (state.news.told_load and not renew)
    return [SendDatagram(each.name, each.peer_address, news) for each in peers]


def _build(state: State, now: float) -> LoadNews:
    state.news.seq += 1
    unsaid = state.engines.unsaid[-_PARTS_MAX:]
    state.engines.unsaid.clear()
    rows = [
        _row(name, book, now)
        for name, book in state.engines.by_server.items()
        if book.prefills or book.running
    ]
    return LoadNews(
        state.me.incarnation,
        state.news.seq,
        rows,
        unsaid,
        engine_pools.demand_rows(state, now),
    )


def _row(name: ServerName, book: EngineBook, now: float) -> LoadRow:
    works = [
        [round(each.work_ms), each.rank, round((now - each.sent_at) * _MS)]
        for each in book.prefills.values()
    ]
    tokens = sum(each.tokens for each in book.prefills.values()) + sum(book.running.values())
    return LoadRow(name, works, len(book.running), tokens)


def on_news(state: State, now: float, sender: InstanceName, news: LoadNews) -> None:
    """Take what another instance has; older news of the same life are dropped."""
    heard = state.news.heard.get(sender)
    if heard is not None and heard[0] == news.incarnation and news.seq <= heard[1]:
        return
    state.news.heard[sender] = (news.incarnation, news.seq)
    engine_pools.take_rows(state, now, sender, news.demand)
    rows = {ServerName(each.server): each for each in news.rows}
    for name, book in state.engines.by_server.items():
        if name not in rows:
            book.peers.pop(sender, None)
    for name, row in rows.items():
        if name in state.servers.by_name:
            _take_row(engine_model.book_of(state, name), now, sender, row)
    for part in news.parts:
        server = state.servers.by_name.get(ServerName(part.server))
        if server is None:
            continue
        book = engine_model.book_of(state, server.entry.name)
        if part.read:
            engine_model.note_cached(book, server, part.part, part.tokens)
        elif part.part not in book.cached:
            engine_model.note_reading(book, part.part, now + part.for_ms / _MS)


def _take_row(book: EngineBook, now: float, sender: InstanceName, row: LoadRow) -> None:
    before = book.peers.get(sender)
    fewer = before is not None and len(row.works) < len(before.pending)
    if fewer or not engine_model.pending_at(book, now):
        book.reading_since = now
    pending = [
        Pending(float(work), rank, now - age / _MS) for work, rank, age in _threes(row.works)
    ]
    book.peers[sender] = PeerLoad(now, pending, row.running, row.tokens)


def _threes(works: list[list[int]]) -> list[tuple[int, int, int]]:
    return [(each[0], each[1], each[2]) for each in works if len(each) >= _FIELDS]
