"""Pass news of load on where there are too many instances for each to tell each.

Each instance tells its teller (`telling`), which gathers what comes within a moment. It sends the
sum of what all that tell it have on each server to the other tellers, as far as it has changed, and
passes both these sums and the news of its own to those that tell it. So everyone gets a few
datagrams a second whatever the number of instances, and each server has a few sums in place of
hundreds of rows.

A teller serves whoever tells it, so views of who tells whom need not agree. An instance that hears
nothing from its teller turns to the next one by hash, long before the teller counts as gone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import membership, telling
from turmericweir_core.messages.effects import Effect, Log, SendDatagram
from turmericweir_core.messages.peer_messages import (
    BundledNews,
    DemandRow,
    LoadBundle,
    LoadNews,
    LoadRow,
)
from turmericweir_core.queueing import urgent_first
from turmericweir_core.state.engine_state import EngineBook, Pending
from turmericweir_core.state.load_state import TellingPlan
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

Build = Callable[["State", float], LoadNews]

# Between two looks at who tells whom.
_PLAN_S: Final = 0.25
# A teller gathers news for so long: this and the gap of those that tell it are the age of news.
_GATHER_S: Final = 0.12
# A teller is heard at least so often: those that tell it know that it lives, and what it told the
# others goes on counting.
_BUNDLE_S: Final = 0.4
# All rows are told again after so long, as a datagram may be lost; between, only what has changed.
_WHOLE_S: Final = 1.0
# Whoever has told nothing for so long is told nothing any more; all tell every half second.
_TOLD_S: Final = 1.8
# A teller that is silent for so long is left for the next one, and asked again after so long.
_SILENT_S: Final = 0.7
_SILENT_AGAIN_S: Final = 4.0
# Parts that are passed on at a time; the oldest are left out.
_PARTS_MAX: Final = 120
# Prompts of one server in a sum.
_WORKS_MAX: Final = 32
_MS: Final = 1000.0
# Marks the name of a teller as that of all that tell it.
_SUM: Final = "+"


def plan(state: State, now: float) -> TellingPlan:
    """Give whom this instance tells its load."""
    found = state.news.plan
    # Where each tells each, a peer that was met just now is told as well.
    stale = found.is_direct and state.engines.changed
    if now < found.due and not stale and not _teller_is_silent(state, now):
        return found
    me = state.me.name
    if telling.is_direct(state, now):
        region = membership.region_instances(state, now)
        found = TellingPlan(direct=[each for each in region if each.name != me])
    else:
        found = _plan_tellers(state, now)
    found.due = now + _PLAN_S
    state.news.plan = found
    return found


def _teller_is_silent(state: State, now: float) -> bool:
    news = state.news
    return news.plan.teller is not None and now - news.teller_heard_at > _SILENT_S


def _plan_tellers(state: State, now: float) -> TellingPlan:
    news = state.news
    if _teller_is_silent(state, now) and news.plan.teller is not None:
        news.silent_teller, news.silent_until = news.plan.teller.name, now + _SILENT_AGAIN_S
    here = membership.live_instances(state, now, state.me.data_centre)
    tellers = telling.tellers(here)
    me = state.me.name
    others = [each for each in telling.all_tellers(state, now) if each.name != me]
    if any(each.name == me for each in tellers):
        return TellingPlan(is_direct=False, tellers=others)
    heard = [each for each in tellers if each.name != news.silent_teller or now > news.silent_until]
    name = telling.teller_of(heard or tellers, me)
    teller = None if name is None else membership.member(state, name)
    if news.plan.teller is None or teller is None or news.plan.teller.name != teller.name:
        news.teller_heard_at = now
    return TellingPlan(is_direct=False, teller=teller, tellers=others)


# --- a teller --------------------------------------------------------------------------------


def note_news(state: State, now: float, sender: InstanceName, news: LoadNews) -> None:
    """Keep the news of an instance that tells this one, to pass them on."""
    peer = membership.member(state, sender)
    if state.news.plan.is_direct or peer is None:
        return
    passed = state.news.passed_on
    passed.told_by[sender] = (peer.peer_address, now)
    # Bounded, as one that is taken for a teller and is none passes nothing on.
    passed.parts = [*passed.parts, *news.parts][-_PARTS_MAX:]
    _keep(state, now, sender, news)


def note_passed(
    state: State, now: float, sender: InstanceName, origin: InstanceName, news: LoadNews
) -> None:
    """Keep the sum that another teller sent, for those that tell this one."""
    if origin == sender + _SUM and state.news.passed_on.told_by:
        _keep(state, now, origin, news)


def _keep(state: State, now: float, origin: InstanceName, news: LoadNews) -> None:
    waiting = state.news.passed_on.news
    before = waiting.get(origin)
    if before is not None:
        news = _merged(before[1], news)
    waiting[origin] = (now, news)


def _merged(older: LoadNews, newer: LoadNews) -> LoadNews:
    """Put two news of one origin together."""
    parts = [*older.parts, *newer.parts][-_PARTS_MAX:]
    if newer.whole:
        return replace(newer, parts=parts)
    rows = {each.server: each for each in (*older.rows, *newer.rows)}
    return replace(newer, rows=list(rows.values()), parts=parts, whole=older.whole)


def pass_on(state: State, now: float, build: Build) -> list[Effect]:
    """Send what was gathered: sums to the other tellers, and all to those that tell this one."""
    passed = state.news.passed_on
    if now < passed.send_due:
        return []
    passed.send_due = state.news.send_due = now + _GATHER_S
    effects = _drop_silent(state, now)
    own = build(state, now)
    summed = _sum(state, now, own)
    has_news = bool(summed.news.rows or summed.news.parts)
    is_due = now >= passed.bundle_due
    if has_news or (is_due and passed.rows):
        effects += _send(summed, state.news.plan.tellers)
    if not (has_news or passed.news or is_due):
        return effects
    passed.bundle_due = now + _BUNDLE_S
    bundled = [
        BundledNews(origin, news, round((now - came_at) * _MS))
        for origin, (came_at, news) in passed.news.items()
    ]
    passed.news.clear()
    bundled.append(BundledNews(state.me.name, own, 0))
    bundle = LoadBundle(bundled)
    told = [SendDatagram(name, address, bundle) for name, (address, _) in passed.told_by.items()]
    return [*effects, *told]


def _drop_silent(state: State, now: float) -> list[Effect]:
    told_by = state.news.passed_on.told_by
    gone = [name for name, (_, at) in told_by.items() if now - at > _TOLD_S]
    for name in gone:
        del told_by[name]
    return [Log("told_no_more", {"peer": name}) for name in gone]


def _send(news: BundledNews, to: list[Member]) -> list[Effect]:
    bundle = LoadBundle([news])
    return [SendDatagram(each.name, each.peer_address, bundle) for each in to]


def _sum(state: State, now: float, own: LoadNews) -> BundledNews:
    """Sum up what this instance and those that tell it have; rows that have not changed are out."""
    passed = state.news.passed_on
    whole = now >= passed.whole_due
    rows: list[LoadRow] = []
    held: dict[ServerName, LoadRow] = {}
    for name, book in state.engines.by_server.items():
        row = _row(state, now, name, book)
        before = passed.rows.get(name)
        if row is None:
            if before is not None:
                rows.append(LoadRow(name, [], 0, 0))
            continue
        held[name] = row
        if whole or before is None or _differs(before, row):
            rows.append(row)
    passed.rows = held
    if whole:
        passed.whole_due = now + _WHOLE_S
    passed.seq += 1
    parts = [*passed.parts, *own.parts][-_PARTS_MAX:]
    passed.parts.clear()
    demand = _sum_demand(state, now, own.demand)
    news = LoadNews(state.me.incarnation, passed.seq, rows, parts, demand, whole)
    return BundledNews(state.me.name + _SUM, news, 0)


def _row(state: State, now: float, name: ServerName, book: EngineBook) -> LoadRow | None:
    told_by = state.news.passed_on.told_by
    pending = [Pending(each.work_ms, each.rank, each.sent_at) for each in book.prefills.values()]
    running = len(book.running)
    tokens = sum(each.tokens for each in book.prefills.values()) + sum(book.running.values())
    for origin, peer in book.peers.items():
        if origin in told_by and now - peer.heard.at <= engine_model.PEER_VALID_S:
            pending += peer.pending
            running += peer.running
            tokens += peer.tokens
    if not pending and not running:
        return None
    works = [
        [round(each.work_ms), each.rank, round((now - each.sent_at) * _MS)]
        for each in pending[:_WORKS_MAX]
    ]
    return LoadRow(name, works, running, tokens)


def _differs(before: LoadRow, row: LoadRow) -> bool:
    """Tell whether a server's row says something new; prompts only grow older."""
    same_works = [each[:2] for each in before.works] == [each[:2] for each in row.works]
    return (before.running, before.tokens) != (row.running, row.tokens) or not same_works


def _sum_demand(state: State, now: float, own: list[DemandRow]) -> list[DemandRow]:
    told_by = state.news.passed_on.told_by
    summed = {each.target: each for each in own}
    for target, peers in state.pools.peers.items():
        told = [row for origin, row in peers.items() if origin in told_by]
        if not told:
            continue
        mine = summed.get(target, DemandRow(target, 0, 0))
        ranks = [mine.late_rank, *urgent_first.told_ranks(state, now, target, told_by)]
        summed[target] = DemandRow(
            target,
            mine.long_ms_s + round(sum(each.long_ms for each in told)),
            mine.quick_ms_s + round(sum(each.quick_ms for each in told)),
            min((each for each in ranks if each is not None), default=None),
            mine.middle_ms_s + round(sum(each.middle_ms for each in told)),
        )
    return list(summed.values())
