"""The entries that backend servers register at the platform's store.

Each server renews its own entry; only the entries show which servers exist. Entries are read as a
whole (at the start, and after records were lost), and then as single changes. Each has the offset
of its record, so a delayed change does not replace a newer one. What instances send each other is
ordered in the same way: a list or an update reflects all records before its end, and one that ends
before what the receiver knows is ignored, whenever it was sent.

While the store is unreachable, entries expire, also those of healthy servers. Servers write them
again soon after the store has recovered. Entries that are missing after an outage are therefore
used for a short time, and are removed if they are still missing then. At any other time a missing
entry is removed at once. An instance that was partitioned cannot tell its own outage from one of
the store, so it keeps missing entries for itself alone: they are in nothing that it sends.

A list that could not be read to its end is partial. It removes no entry, and no instance announces
it as the list of all servers, so that each then reads the store for itself. It is still sent to an
instance that asks, which may know no server at all.

Offsets order the records of one era of the store (`eras`). A list or an update of an earlier era is
ignored, and the first read of a new one replaces no entry by an older one that a copy still holds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.release import release_of
from turmericweir_core.membership import eras, membership, server_list, store_duty
from turmericweir_core.messages.effects import Count, Effect, Log, SendDatagram, SendPeer
from turmericweir_core.messages.events import EntriesUnreadable, RegistryRead
from turmericweir_core.messages.server_messages import (
    RegistryNews,
    RegistryRow,
    ServersAsk,
    ServersSend,
)
from turmericweir_core.placement import attempt_accounting
from turmericweir_core.state import server_table
from turmericweir_core.state.registry_state import RegistryState
from turmericweir_core.streams import stream_bindings
from turmericweir_core.trust import quarantine

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_NEVER: Final = float("-inf")
_MS: Final = 1000.0
# Time without an answered read after which the store counts as unreachable.
_STORE_OUTAGE_S: Final = 3.0
# Time that servers have to write their entries again after the store has recovered.
_RENEWAL_WAIT_S: Final = 2.5
# Largest number of changes in one datagram; receivers detect missing ones by the hash.
_ROWS_MAX: Final = 24
# Interval between two log lines about unreadable entries, and the length of the error in one.
_UNREADABLE_LOG_INTERVAL_S: Final = 1.0
_LOGGED_ERROR_MAX_CHARS: Final = 300
# Interval between two requests for the whole list.
_LIST_REQUEST_INTERVAL_S: Final = 0.3


def on_read(state: State, now: float, event: RegistryRead) -> list[Effect]:
    """Update the servers to the entries that were read."""
    registry = state.registry
    if event.era < registry.era:
        # A late answer of a store that has since come back from a copy.
        return []
    effects = eras.note_era(state, now, event.era)
    had_outage = now - registry.read_at > _STORE_OUTAGE_S
    had_outage |= _begin_era(state, event.era, _covered_to(event))
    is_snapshot = event.is_complete or event.is_partial
    if is_snapshot:
        registry.is_partial = event.is_partial
    if is_snapshot and had_outage:
        stream_bindings.note_gap(state, now)
    store_duty.note_registry_read(state, now)
    # Entries may have changed while the answer was under way or waited for this process.
    requested_at = now if event.requested_at is None else event.requested_at
    registry.own_read_at = max(registry.own_read_at, requested_at)
    if event.is_caught_up:
        registry.read_at = max(registry.read_at, requested_at)
        if eras.is_proof(state, event.era, requested_at):
            registry.proved_at = max(registry.proved_at, requested_at)
    listed = dict(state.servers.listed)
    rows: list[RegistryRow] = []
    for entry, offset in event.entries:
        if _accepts(registry, listed, entry, offset):
            # Most records are renewals without changes.
            if listed.get(entry.name) != entry:
                rows.append(RegistryRow(offset, entry.name, entry))
            effects += _take_entry(listed, entry)
            registry.missing_until.pop(entry.name, None)
    for name, offset in event.removed:
        if name not in listed and name not in registry.offsets:
            # Any writer may remove, or spoil, any number of keys.
            continue
        if _accepts_removal(registry, name, offset) and _remove(registry, listed, name):
            rows.append(RegistryRow(offset, name))
            effects.append(_log("server_removed", name, offset=offset))
    covered_to = _covered_to(event)
    if event.is_complete:
        present_names = {entry.name for entry, _ in event.entries}
        effects += _take_absent(state, now, listed, present_names, covered_to, had_outage)
    registry.read_to = max(registry.read_to, covered_to)
    effects += _apply_entries(state, now, listed)
    return effects + _send_changes(state, now, rows)


def _begin_era(state: State, era: int, era_start: int) -> bool:
    """Forget the offsets of earlier eras at the first read of a new one; return whether it is."""
    registry = state.registry
    if era <= registry.era:
        return False
    is_change = registry.era > 0
    registry.era, registry.era_start = era, era_start
    if is_change:
        registry.unrenewed |= {*registry.offsets, *state.servers.listed}
        registry.offsets.clear()
        registry.read_to = 0
    return is_change


def _covered_to(event: RegistryRead) -> int:
    """Return the offset up to which a read covers all records."""
    offsets = [offset for _, offset in (*event.entries, *event.removed)]
    return max(event.end, max(offsets, default=-1) + 1)


def _recorded_entries(state: State) -> dict[ServerName, ServerEntry]:
    """Return the listed entries that have a record in the store."""
    missing = state.registry.missing_until
    return {name: each for name, each in state.servers.listed.items() if name not in missing}


def _send_changes(state: State, now: float, rows: list[RegistryRow]) -> list[Effect]:
    """Send changes to the instances that do not read the store."""
    if state.registry.is_partial or not store_duty.is_store_reader(state, now):
        return []
    servers_hash = server_list.hash_full_entries(_recorded_entries(state).values())
    # Receivers that lack an entry detect it by the hash and request the whole list.
    age_ms = round((now - state.registry.read_at) * _MS)
    update = RegistryNews(
        servers_hash,
        rows[:_ROWS_MAX],
        end=state.registry.read_to,
        age_ms=age_ms,
        era=state.registry.era,
    )
    peers = store_duty.read_receivers(state, now)
    return [SendDatagram(peer.name, peer.peer_address, update) for peer in peers]


def _relay_update(
    state: State, now: float, sender: InstanceName, update: RegistryNews
) -> list[Effect]:
    """Relay a reader's update to the relay group; updates that were relayed before are not."""
    if update.reader:
        return []
    relayed = replace(update, reader=sender)
    peers = [peer for peer in store_duty.relay_receivers(state, now) if peer.name != sender]
    return [SendDatagram(peer.name, peer.peer_address, relayed) for peer in peers]


def on_registry_update(
    state: State, now: float, sender: InstanceName, update: RegistryNews
) -> list[Effect]:
    """Apply a reader's update, or request the whole list if the hash does not match."""
    state.registry.updated_by, state.registry.updated_at = sender, now
    store_duty.note_reader(state, now, InstanceName(update.reader or sender))
    effects = _relay_update(state, now, sender, update)
    # An earlier release states no era.
    era = update.era or state.registry.era
    if era < state.registry.era or (
        era == state.registry.era and update.end < state.registry.read_to
    ):
        # The reader knows less than this instance.
        return effects
    if era > state.registry.era:
        return effects + _request_list(state, now, sender)
    listed = dict(state.servers.listed)
    for row in update.rows:
        name = ServerName(row.name)
        if row.entry is not None:
            if _accepts(state.registry, listed, row.entry, row.offset):
                state.registry.missing_until.pop(name, None)
                effects += _take_entry(listed, row.entry)
        elif _accepts_removal(state.registry, name, row.offset) and _remove(
            state.registry, listed, name
        ):
            effects.append(_log("server_removed", name, offset=row.offset, by=sender))
    effects += _apply_entries(state, now, listed)
    if server_list.hash_full_entries(_recorded_entries(state).values()) == update.servers_hash:
        read_at = now - max(0, update.age_ms) / _MS
        state.registry.read_at = max(state.registry.read_at, read_at)
        state.registry.read_to = update.end
        state.registry.is_partial = False
        return effects
    return effects + _request_list(state, now, sender)


def _request_list(state: State, now: float, sender: InstanceName) -> list[Effect]:
    peer = membership.find_member(state, sender)
    if peer is None or now < state.members.next_servers_request_at:
        return []
    state.members.next_servers_request_at = now + _LIST_REQUEST_INTERVAL_S
    return [SendPeer(sender, peer.peer_address, ServersAsk())]


def answer_list(state: State, now: float, sender: InstanceName) -> list[Effect]:
    """Send all recorded entries to a peer that requested them."""
    registry = state.registry
    peer = membership.find_member(state, sender)
    if registry.read_at == _NEVER or peer is None:
        return []
    entries = list(_recorded_entries(state).values())
    offsets = [registry.offsets.get(entry.name, 0) for entry in entries]
    message = ServersSend(
        now - registry.read_at,
        entries,
        offsets,
        registry.read_to,
        era=registry.era,
        era_start=registry.era_start,
        is_partial=registry.is_partial,
    )
    return [SendPeer(sender, peer.peer_address, message)]


def on_list(state: State, now: float, sender: InstanceName, message: ServersSend) -> list[Effect]:
    """Take a peer's list unless this instance knows of later records."""
    registry = state.registry
    # An earlier release states no era.
    era = message.era or registry.era
    is_usable = len(message.offsets) == len(message.servers) and era >= registry.era
    if not is_usable or (era == registry.era and message.end < registry.read_to):
        return []
    effects = eras.note_era(state, now, era)
    had_outage = now - registry.read_at > _STORE_OUTAGE_S
    had_outage |= _begin_era(state, era, message.era_start)
    if had_outage:
        stream_bindings.note_gap(state, now)
    names_before = set(state.servers.listed)
    listed = dict(state.servers.listed)
    for entry, offset in zip(message.servers, message.offsets, strict=True):
        if _accepts(registry, listed, entry, offset):
            registry.missing_until.pop(entry.name, None)
            effects += _take_entry(listed, entry)
    if message.is_partial:
        registry.is_partial |= registry.read_at == _NEVER
    else:
        present_names = {entry.name for entry in message.servers}
        effects += _take_absent(state, now, listed, present_names, message.end, had_outage)
        registry.read_to = message.end
        registry.is_partial = False
    registry.read_at = max(registry.read_at, now - max(0.0, message.age_s))
    effects += _apply_entries(state, now, listed)
    if set(listed) == names_before and not effects:
        return []
    return [*effects, server_list.list_log(state, sender, message, names_before)]


def _take_absent(
    state: State,
    now: float,
    listed: dict[ServerName, ServerEntry],
    present_names: set[ServerName],
    covered_to: int,
    had_outage: bool,
) -> list[Effect]:
    """Remove the entries that a complete list lacks, unless they are newer than the list."""
    registry = state.registry
    effects: list[Effect] = []
    for name in [name for name in listed if name not in present_names]:
        if registry.offsets.get(name, -1) >= covered_to:
            continue
        # The record of the removal is not known, but it was written before the end of the list.
        registry.offsets[name] = covered_to - 1
        effects += _check_missing(state, now, name, listed, had_outage)
    return effects


def _accepts(
    registry: RegistryState, listed: dict[ServerName, ServerEntry], entry: ServerEntry, offset: int
) -> bool:
    """Return whether a record is news of its server; record its offset.

    A copy of the store may hold an older record than was read in an earlier era. It is news only if
    it was written in this era, or if it could not have been written before the known one.
    """
    if not _note_offset(registry, entry.name, offset):
        return False
    if entry.name not in registry.unrenewed:
        return True
    if offset >= registry.era_start:
        registry.unrenewed.discard(entry.name)
        return True
    known = listed.get(entry.name)
    if known is None:
        # The server is gone, unless it writes its entry again.
        return False
    return known == entry or _is_later(known, entry)


def _accepts_removal(registry: RegistryState, name: ServerName, offset: int) -> bool:
    """Return whether a record that removes an entry is news of its server; record its offset."""
    is_copied = name in registry.unrenewed and offset < registry.era_start
    return _note_offset(registry, name, offset) and not is_copied


def _is_later(known: ServerEntry, entry: ServerEntry) -> bool:
    """Return whether an entry was written after the known one, by what it says of its server."""
    if known.incarnation == entry.incarnation:
        return entry.leaving and not known.leaving
    if known.incarnation.isdecimal() and entry.incarnation.isdecimal():
        return int(entry.incarnation) > int(known.incarnation)
    return False


def _remove(
    registry: RegistryState, listed: dict[ServerName, ServerEntry], name: ServerName
) -> bool:
    """Remove an entry; return whether it was listed."""
    registry.missing_until.pop(name, None)
    return listed.pop(name, None) is not None


def _note_offset(registry: RegistryState, name: ServerName, offset: int) -> bool:
    """Record the offset of a server's newest record; return False if this one is older."""
    if offset < registry.offsets.get(name, -1):
        return False
    registry.offsets[name] = offset
    return True


def _check_missing(
    state: State,
    now: float,
    name: ServerName,
    listed: dict[ServerName, ServerEntry],
    had_outage: bool,
) -> list[Effect]:
    missing = state.registry.missing_until
    if had_outage and name not in missing:
        missing[name] = now + _RENEWAL_WAIT_S
    if now < missing.get(name, _NEVER):
        return []
    missing.pop(name, None)
    del listed[name]
    return [_log("server_removed", name, offset=-1)]


def _take_entry(listed: dict[ServerName, ServerEntry], entry: ServerEntry) -> list[Effect]:
    previous = listed.get(entry.name)
    listed[entry.name] = entry
    if previous is not None and _logged_fields(previous) == _logged_fields(entry):
        return []
    return [_log("server_listed", entry.name, **_logged_fields(entry))]


def _logged_fields(entry: ServerEntry) -> dict[str, object]:
    return {
        "leaving": entry.leaving,
        "address": entry.address,
        "incarnation": entry.incarnation,
        "version": entry.software_version,
    }


def on_tick(state: State, now: float) -> list[Effect]:
    """Remove entries that are still missing some time after the store has recovered."""
    effects = _log_unreadable(state, now)
    missing = state.registry.missing_until
    expired = [name for name, missing_until in missing.items() if now >= missing_until]
    if not expired or now - state.registry.read_at > _STORE_OUTAGE_S:
        # Missing entries are kept while the store is unreachable again.
        return effects
    listed = dict(state.servers.listed)
    for name in expired:
        del missing[name]
        if listed.pop(name, None) is not None:
            effects.append(_log("server_removed", name, offset=-1))
    effects += _apply_entries(state, now, listed)
    return effects


def on_unreadable(state: State, now: float, event: EntriesUnreadable) -> list[Effect]:
    """Count entries that cannot be decoded and log one at a time; others stay in force."""
    registry = state.registry
    registry.unreadable_count += event.count
    registry.unreadable_error = event.error[:_LOGGED_ERROR_MAX_CHARS]
    return [Count("registry.unreadable", event.count), *_log_unreadable(state, now)]


def _log_unreadable(state: State, now: float) -> list[Effect]:
    """Log the newest unreadable entry, unless the last line is too recent."""
    registry = state.registry
    is_recent = now < registry.unreadable_logged_at + _UNREADABLE_LOG_INTERVAL_S
    if not registry.unreadable_error or is_recent:
        return []
    fields = {
        "step": "decode entry",
        "error": registry.unreadable_error,
        "count": registry.unreadable_count,
    }
    registry.unreadable_error = ""
    registry.unreadable_logged_at = now
    return [Log("entry_unreadable", fields)]


def _apply_entries(state: State, now: float, listed: dict[ServerName, ServerEntry]) -> list[Effect]:
    table = state.servers
    table.listed_at = now
    if listed == table.listed:
        return []
    previous_entries, table.listed = table.listed, listed
    table.is_self_registered = True
    server_table.rebuild_table(table, state.config)
    effects: list[Effect] = []
    for name in _restarted_servers(previous_entries, listed):
        quarantine.note_restarted(state, now, name)
    for name, entry in listed.items():
        if name in previous_entries and previous_entries[name].incarnation != entry.incarnation:
            attempt_accounting.reset_server_state(state, now, name)
            effects += stream_bindings.on_server_restarted(state, now, name)
    gone_entries = [
        (entry.service, release_of(entry))
        for name, entry in previous_entries.items()
        if name not in listed or release_of(listed[name]) != release_of(entry)
    ]
    stream_bindings.note_releases(state, now, gone_entries)
    table.listed_hash = server_list.hash_entries(state)
    return effects


def _restarted_servers(
    previous: dict[ServerName, ServerEntry], listed: dict[ServerName, ServerEntry]
) -> list[ServerName]:
    """Return the servers that have started again, under their names or under new ones."""
    restarted = [
        name
        for name, entry in listed.items()
        if name in previous and previous[name].incarnation != entry.incarnation
    ]
    new_addresses = {entry.address for name, entry in listed.items() if name not in previous}
    replaced = [name for name, entry in previous.items() if entry.address in new_addresses]
    return [*restarted, *replaced]


def _log(event: str, name: ServerName, **fields: object) -> Log:
    return Log(event, {"peer": name, **fields})
