"""What servers have registered of themselves at the platform's store.

Each server renews its own entry there; it is the only word of its coming and going. The entries
come as a whole (at the start, and after records were lost), and then as single changes. Each has
the offset of its record, so a change that comes late undoes nothing that is newer.

While the store is away entries lapse unseen, also those of servers that are well. They are written
again soon after its return. So what is missing then is used on for a moment, and is gone only if it
is still missing after that. Whatever is missing at any other time is gone at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.membership import membership, server_list, store_duty
from turmericweir_core.messages.effects import Count, Effect, Log, SendDatagram, SendPeer
from turmericweir_core.messages.events import EntryUnreadable, RegistryRead
from turmericweir_core.messages.peer_messages import RegistryNews, RegistryRow, ServersAsk
from turmericweir_core.placement import attempt_books
from turmericweir_core.state import server_table
from turmericweir_core.state.registry_state import RegistryState

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_NEVER: Final = float("-inf")
# The store was away if no read was answered for so long; reads lie closer together.
_AWAY_S: Final = 3.0
# Servers write their entries again within two seconds of the store's return.
_RETURN_S: Final = 2.5
# Changes in one datagram at the most; whoever lacks the others sees so by the hash.
_ROWS_MAX: Final = 24
# Between two askings for the whole list.
_ASK_S: Final = 0.3


def on_read(state: State, now: float, event: RegistryRead) -> list[Effect]:
    """Bring the servers in line with what was read."""
    registry = state.registry
    was_away = now - registry.read_at > _AWAY_S
    store_duty.note_read(state, now)
    registry.read_at = now
    listed = dict(state.servers.listed)
    effects: list[Effect] = []
    rows: list[RegistryRow] = []
    for entry, offset in event.entries:
        if _is_newer(registry, entry.name, offset):
            # Most records only say that the server lives.
            if listed.get(entry.name) != entry:
                rows.append(RegistryRow(offset, entry.name, entry))
            effects += _take_entry(listed, entry)
        registry.missing.pop(entry.name, None)
    for name, offset in event.removed:
        if _is_newer(registry, name, offset) and listed.pop(name, None) is not None:
            rows.append(RegistryRow(offset, name))
            effects.append(_log("server_removed", name, offset=offset))
    if event.whole:
        present = {entry.name for entry, _ in event.entries}
        for name in [each for each in listed if each not in present]:
            effects += _note_missing(state, now, name, listed, was_away)
    _adopt(state, now, listed)
    return effects + _tell(state, now, rows)


def _tell(state: State, now: float, rows: list[RegistryRow]) -> list[Effect]:
    """Tell those who do not read the store themselves."""
    if not store_duty.is_reader(state, now):
        return []
    exact = server_list.exact_hash(state.servers.listed.values())
    # Whoever lacks a part of it sees so by the hash, and asks for the whole list.
    news = RegistryNews(exact, rows[:_ROWS_MAX])
    peers = store_duty.audience(state, now)
    return [SendDatagram(each.name, each.peer_address, news) for each in peers]


def _pass_on(state: State, now: float, sender: InstanceName, news: RegistryNews) -> list[Effect]:
    """Tell what a reader told to those who hear of it from here; once, never what was passed on."""
    if news.reader:
        return []
    passed = replace(news, reader=sender)
    peers = [each for each in store_duty.told_by_me(state, now) if each.name != sender]
    return [SendDatagram(each.name, each.peer_address, passed) for each in peers]


def on_news(state: State, now: float, sender: InstanceName, news: RegistryNews) -> list[Effect]:
    """Take what a reader tells, or ask it for the whole list where that does not fit."""
    state.registry.told_by, state.registry.told_at = sender, now
    store_duty.note_told(state, now, InstanceName(news.reader or sender))
    effects = _pass_on(state, now, sender, news)
    listed = dict(state.servers.listed)
    for row in news.rows:
        name = ServerName(row.name)
        if not _is_newer(state.registry, name, row.offset):
            continue
        if row.entry is not None:
            effects += _take_entry(listed, row.entry)
        elif listed.pop(name, None) is not None:
            effects.append(_log("server_removed", name, offset=row.offset, by=sender))
    _adopt(state, now, listed)
    if server_list.exact_hash(listed.values()) == news.servers_hash:
        state.registry.read_at = now
        state.registry.missing.clear()
        return effects
    peer = membership.member(state, sender)
    if peer is None or now < state.members.servers_ask_due:
        return effects
    state.members.servers_ask_due = now + _ASK_S
    return [*effects, SendPeer(sender, peer.peer_address, ServersAsk())]


def _is_newer(registry: RegistryState, name: ServerName, offset: int) -> bool:
    if offset < registry.offsets.get(name, -1):
        return False
    registry.offsets[name] = offset
    return True


def _note_missing(
    state: State,
    now: float,
    name: ServerName,
    listed: dict[ServerName, ServerEntry],
    was_away: bool,
) -> list[Effect]:
    missing = state.registry.missing
    if was_away and name not in missing:
        missing[name] = now + _RETURN_S
    if now < missing.get(name, _NEVER):
        return []
    missing.pop(name, None)
    del listed[name]
    return [_log("server_removed", name, offset=-1)]


def _take_entry(listed: dict[ServerName, ServerEntry], entry: ServerEntry) -> list[Effect]:
    known = listed.get(entry.name)
    listed[entry.name] = entry
    if known is not None and _told(known) == _told(entry):
        return []
    return [_log("server_listed", entry.name, **_told(entry))]


def _told(entry: ServerEntry) -> dict[str, object]:
    return {
        "leaving": entry.leaving,
        "address": entry.address,
        "incarnation": entry.incarnation,
    }


def on_tick(state: State, now: float) -> list[Effect]:
    """Let go of what is still missing some time after the store's return."""
    missing = state.registry.missing
    due = [name for name, until in missing.items() if now >= until]
    if not due or now - state.registry.read_at > _AWAY_S:
        # While the store is away again nothing can be said of what is missing.
        return []
    listed = dict(state.servers.listed)
    effects: list[Effect] = []
    for name in due:
        del missing[name]
        if listed.pop(name, None) is not None:
            effects.append(_log("server_removed", name, offset=-1))
    _adopt(state, now, listed)
    return effects


def on_unreadable(event: EntryUnreadable) -> list[Effect]:
    """Name no server by an entry that cannot be used; the others hold."""
    fields = {"step": "decode entry", "peer": event.key, "error": event.error}
    return [Count("registry.unreadable"), Log("entry_unreadable", fields)]


def _adopt(state: State, now: float, listed: dict[ServerName, ServerEntry]) -> None:
    table = state.servers
    table.listed_at = now
    if listed == table.listed:
        return
    before, table.listed = table.listed, listed
    table.own_word = True
    server_table.rebuild(table, state.config)
    for name, entry in listed.items():
        if name in before and before[name].incarnation != entry.incarnation:
            attempt_books.judge_afresh(state, now, name)
    table.listed_hash = server_list.hash_entries(state)


def _log(event: str, name: ServerName, **fields: object) -> Log:
    return Log(event, {"peer": name, **fields})
