"""The roster: the members of this data centre in the order in which counters are sent.

It holds the recently seen members, live or not, sorted by key. Two instances compare rosters by
hash. The last few are stored, as delayed datagrams still use them.
"""

from __future__ import annotations

from typing import Final

import xxhash

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership.membership import member_key, self_key, self_member
from turmericweir_core.state.membership_state import Member, Membership
from turmericweir_core.state.state import State

_PAST_ROSTERS_MAX: Final = 8


def refresh_roster(state: State, now: float) -> None:
    """Update the roster to the recently seen members."""
    options = state.options
    keys_and_names = [(self_key(state), state.me.name)]
    for member in state.members.by_name.values():
        if (
            member.data_centre == state.me.data_centre
            and now - member.last_seen_at <= options.roster_s
        ):
            keys_and_names.append(
                (member_key(member.name, member.incarnation, member.leaving), member.name)
            )
    keys_and_names.sort()
    keys = tuple(key for key, _ in keys_and_names)
    if keys == state.members.roster:
        return
    _adopt_roster(state.members, keys, tuple(name for _, name in keys_and_names))
    state.members.rosters_differ_until = now + options.settle_s


def _adopt_roster(
    members: Membership, keys: tuple[int, ...], names: tuple[InstanceName, ...]
) -> None:
    if members.roster:
        members.past_rosters[members.roster_hash] = members.roster
    while len(members.past_rosters) > _PAST_ROSTERS_MAX:
        members.past_rosters.popitem(last=False)
    members.roster = keys
    members.roster_names = names
    members.roster_hash = hash_keys(keys)


def hash_keys(keys: tuple[int, ...]) -> int:
    """Hash sorted keys into 32 bits."""
    return xxhash.xxh32_intdigest(",".join(map(str, keys)).encode())


def roster_by_hash(members: Membership, roster_hash: int) -> tuple[int, ...] | None:
    """Return the keys of the current or an earlier roster with that hash, or None."""
    if roster_hash == members.roster_hash:
        return members.roster
    return members.past_rosters.get(roster_hash)


def roster_members(state: State) -> list[Member]:
    """Return the members of the roster, this instance included, in roster order."""
    return [_member_by_name(state, name) for name in state.members.roster_names]


def _member_by_name(state: State, name: InstanceName) -> Member:
    return self_member(state) if name == state.me.name else state.members.by_name[name]
