"""The roster: the members of the own data centre in the one order that counters are sent in.

It holds who was heard of lately, live or not, sorted by key. Its hash tells two instances whether
they have the same one. The last few are kept, as peers that lag a little still use them.
"""

from __future__ import annotations

from typing import Final

import xxhash

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership.membership import member_key, own_key, self_member
from turmericweir_core.state.membership_state import Member, Membership
from turmericweir_core.state.state import State

_PAST_ROSTERS: Final = 8


def refresh_roster(state: State, now: float) -> None:
    """Bring the roster in line with who has been heard of lately."""
    options = state.options
    keyed = [(own_key(state), state.me.name)]
    for each in state.members.by_name.values():
        if each.data_centre == state.me.data_centre and now - each.heard_at <= options.roster_s:
            keyed.append((member_key(each.name, each.incarnation, each.leaving), each.name))
    keyed.sort()
    keys = tuple(key for key, _ in keyed)
    if keys == state.members.roster:
        return
    _adopt_roster(state.members, keys, tuple(name for _, name in keyed))
    state.members.unsettled_until = now + options.settle_s


def _adopt_roster(
    members: Membership, keys: tuple[int, ...], names: tuple[InstanceName, ...]
) -> None:
    if members.roster:
        members.past_rosters[members.roster_hash] = members.roster
    while len(members.past_rosters) > _PAST_ROSTERS:
        members.past_rosters.popitem(last=False)
    members.roster = keys
    members.roster_names = names
    members.roster_hash = hash_keys(keys)


def hash_keys(keys: tuple[int, ...]) -> int:
    """Hash sorted keys into 32 bits."""
    return xxhash.xxh32_intdigest(",".join(map(str, keys)).encode())


def roster_by_hash(members: Membership, roster_hash: int) -> tuple[int, ...] | None:
    """Find the keys of the roster with that hash, if it is or was the own one."""
    if roster_hash == members.roster_hash:
        return members.roster
    return members.past_rosters.get(roster_hash)


def roster_members(state: State) -> list[Member]:
    """List the members of the roster, this instance among them, in its order."""
    return [_named(state, name) for name in state.members.roster_names]


def _named(state: State, name: InstanceName) -> Member:
    return self_member(state) if name == state.me.name else state.members.by_name[name]
