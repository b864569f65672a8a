"""Pass the platform's list of backend servers on to instances that cannot read it.

An instance that starts while the platform is down knows no server: to callers it would be an
instance that refuses everything for as long as the outage lasts. Heartbeats carry a hash of the
list and its age; who has none, or a much older one, asks the sender for it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

import xxhash

from turmericweir_core.base.config import ServerEntry
from turmericweir_core.messages.effects import Effect, Log, SendPeer
from turmericweir_core.messages.peer_messages import Heartbeat, ServersAsk, ServersSend
from turmericweir_core.state import server_table
from turmericweir_core.state.membership_state import Member

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# A list that a peer sends may be so much older than word of it that came before.
_LAG_S: Final = 1.0


def note_list_read(state: State, now: float) -> None:
    """Note that the list was read from the platform just now."""
    state.servers.listed_at = now
    state.servers.listed_hash = hash_entries(state)


def hash_entries(state: State) -> int:
    """Hash the listed entries into 32 bits, without their states, which marks carry."""
    return hash_of(state.servers.listed.values())


def hash_of(entries: Iterable[ServerEntry]) -> int:
    """Hash entries into 32 bits, whatever their order."""
    parts = [
        f"{it.name}\0{it.service}\0{it.data_centre}\0{it.address}\0{it.incarnation}"
        for it in sorted(entries, key=lambda each: each.name)
    ]
    return xxhash.xxh32_intdigest("\n".join(parts).encode())


def exact_hash(entries: Iterable[ServerEntry]) -> int:
    """Hash entries with all that they say, for those who have no marks to go by."""
    parts = [repr(it) for it in sorted(entries, key=lambda each: each.name)]
    return xxhash.xxh32_intdigest("\n".join(parts).encode())


def list_age(state: State, now: float) -> int:
    """Give the age of the list, whole seconds, or -1 where there is none."""
    listed_at = state.servers.listed_at
    return -1 if listed_at is None else int(now - listed_at)


def compare_list(state: State, now: float, sender: Member, beat: Heartbeat) -> list[Effect]:
    """Ask a peer for the list where it has a newer one that differs."""
    if beat.servers_age_s < 0 or beat.servers_hash == state.servers.listed_hash:
        return []
    if not _wants_list(state, now, beat.servers_age_s):
        return []
    if now < state.members.servers_ask_due:
        return []
    state.members.servers_ask_due = now + state.options.servers_ask_s
    return [SendPeer(sender.name, sender.peer_address, ServersAsk())]


def _wants_list(state: State, now: float, offered_age: float) -> bool:
    listed_at = state.servers.listed_at
    if listed_at is not None:
        return now - listed_at > offered_age + state.options.servers_stale_s
    started_at = state.members.started_at
    return started_at is not None and now - started_at > state.options.servers_wait_s


def answer_list(state: State, now: float, sender: Member) -> list[Effect]:
    """Send the list to a peer that asked."""
    listed_at = state.servers.listed_at
    if listed_at is None:
        return []
    entries: list[ServerEntry] = list(state.servers.listed.values())
    message = ServersSend(now - listed_at, entries)
    return [SendPeer(sender.name, sender.peer_address, message)]


def take_list(state: State, now: float, sender: Member, message: ServersSend) -> list[Effect]:
    """Take a peer's list if it is newer than the own one."""
    table = state.servers
    read_at = now - max(0.0, message.age_s)
    known = exact_hash(table.listed.values())
    same = state.document is not None and known == exact_hash(message.servers)
    if same or (table.listed_at is not None and table.listed_at >= read_at + _LAG_S):
        return []
    if state.document is not None:
        # The registry is exact: what is missing from it is gone.
        table.listed = {each.name: each for each in message.servers}
        server_table.rebuild(table, state.config)
    else:
        server_table.list_servers(table, state.config, tuple(message.servers))
    table.listed_at = read_at
    table.listed_hash = hash_entries(state)
    fields = {"peer": sender.name, "servers": len(message.servers), "age_s": round(message.age_s)}
    return [Log("list_from_peer", fields)]
