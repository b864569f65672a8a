"""Send the platform's list of backend servers to instances that cannot read it.

Prevents an instance that starts while the platform is down from refusing all requests. Heartbeats
carry a hash of the list and its age; an instance without a list, or with a much older one, requests
it from the sender. Where the list cannot be read, an instance whose last read was only a little
older does so too, as the list may have changed between the two reads.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

import xxhash

from turmericweir_core.base.config import ServerEntry
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.membership.membership import list_period_s
from turmericweir_core.messages.effects import Effect, Log, SendPeer
from turmericweir_core.messages.membership_messages import Heartbeat
from turmericweir_core.messages.server_messages import ServersAsk, ServersSend
from turmericweir_core.state import server_table
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Tolerated difference between the age of a received list and the age announced before.
_AGE_TOLERANCE_S: Final = 1.0
# Number of periods without a read after which the list counts as unreadable.
_MISSED_READS: Final = 2
# Names of servers in one log line.
_LOGGED_NAMES_MAX: Final = 16


def note_list_read(state: State, now: float) -> None:
    """Record that the list was read from the platform just now."""
    state.servers.listed_at = now
    state.servers.listed_hash = hash_entries(state)


def hash_entries(state: State) -> int:
    """Hash the listed entries into 32 bits, without their states, which leaving notices carry."""
    return hash_server_entries(state.servers.listed.values())


def hash_server_entries(entries: Iterable[ServerEntry]) -> int:
    """Hash entries into 32 bits, independent of their order."""
    parts = [
        f"{entry.name}\0{entry.service}\0{entry.data_centre}\0{entry.address}\0{entry.incarnation}"
        f"\0{entry.software_version}"
        for entry in sorted(entries, key=lambda item: item.name)
    ]
    return xxhash.xxh32_intdigest("\n".join(parts).encode())


def hash_full_entries(entries: Iterable[ServerEntry]) -> int:
    """Hash entries with all their fields into 32 bits, independent of their order."""
    parts = [repr(entry) for entry in sorted(entries, key=lambda item: item.name)]
    return xxhash.xxh32_intdigest("\n".join(parts).encode())


def list_age_s(state: State, now: float) -> int:
    """Return the age of the list in whole seconds, or -1 if there is none."""
    listed_at = state.servers.listed_at
    return -1 if listed_at is None else int(now - listed_at)


def compare_list(state: State, now: float, sender: Member, beat: Heartbeat) -> list[Effect]:
    """Request the list from a peer that has a newer and different one."""
    if beat.servers_age_s < 0 or beat.servers_hash == state.servers.listed_hash:
        return []
    if not _is_list_needed(state, now, beat.servers_age_s):
        return []
    if now < state.members.next_servers_request_at:
        return []
    state.members.next_servers_request_at = now + state.options.servers_ask_s
    return [SendPeer(sender.name, sender.peer_address, ServersAsk())]


def _is_list_needed(state: State, now: float, offered_age_s: float) -> bool:
    listed_at = state.servers.listed_at
    if listed_at is not None:
        own_age_s = now - listed_at
        if own_age_s > _MISSED_READS * list_period_s(state):
            # The platform's list cannot be read, so any later list is better. Ages that are sent
            # are whole seconds, rounded down.
            return own_age_s >= offered_age_s + 1
        return own_age_s > offered_age_s + state.options.servers_stale_s
    return _is_list_late(state, now)


def is_list_missing(state: State, now: float) -> bool:
    """Return whether this instance knows no server and should have got the list by now."""
    table = state.servers
    return table.listed_at is None and not table.by_name and _is_list_late(state, now)


def _is_list_late(state: State, now: float) -> bool:
    started_at = state.members.started_at
    return started_at is not None and now - started_at > state.options.servers_wait_s


def answer_list(state: State, now: float, sender: Member) -> list[Effect]:
    """Send the list to a peer that requested it."""
    listed_at = state.servers.listed_at
    if listed_at is None:
        return []
    entries: list[ServerEntry] = list(state.servers.listed.values())
    message = ServersSend(now - listed_at, entries)
    return [SendPeer(sender.name, sender.peer_address, message)]


def take_list(state: State, now: float, sender: Member, message: ServersSend) -> list[Effect]:
    """Replace the list by a peer's if that one is newer."""
    table = state.servers
    read_at = now - max(0.0, message.age_s)
    if table.listed_at is not None and table.listed_at >= read_at + _AGE_TOLERANCE_S:
        return []
    names_before = set(table.listed)
    server_table.apply_server_list(table, state.config, tuple(message.servers))
    table.listed_at = read_at
    table.listed_hash = hash_entries(state)
    return [list_log(state, sender.name, message, names_before)]


def list_log(
    state: State, sender: InstanceName, message: ServersSend, names_before: set[ServerName]
) -> Log:
    """Return the log line of a list that was taken from a peer."""
    names = set(state.servers.listed)
    fields = {
        "peer": sender,
        "servers": len(message.servers),
        "age_s": round(message.age_s),
        "added": sorted(names - names_before)[:_LOGGED_NAMES_MAX],
        "removed": sorted(names_before - names)[:_LOGGED_NAMES_MAX],
    }
    return Log("list_from_peer", fields)
