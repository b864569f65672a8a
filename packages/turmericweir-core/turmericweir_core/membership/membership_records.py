"""Records of members: send them to peers, accept them from peers, and drop old members.

A record holds a member's address and incarnation. It does not make the member live: only progress
does.
"""

from __future__ import annotations

from typing import Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.incarnation import is_earlier
from turmericweir_core.membership.membership import (
    index_member,
    is_live,
    is_retired,
    list_period_s,
    restart,
    unindex_member,
)
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.membership_messages import MemberRecord, MembersSend
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.state import State

# Maximum number of previous incarnations in a record.
_EARLIER_INCARNATIONS_MAX: Final = 2


def record_of(member: Member) -> MemberRecord:
    """Return the record that describes a member to a peer."""
    return MemberRecord(
        name=member.name,
        data_centre=member.data_centre,
        region=member.region,
        address=member.peer_address,
        incarnation=member.incarnation,
        leaving=member.leaving,
        earlier_incarnations=list(member.retired_incarnations[-_EARLIER_INCARNATIONS_MAX:]),
        machine_capacity=member.machine_capacity,
    )


def answer_keys(state: State, sender: Member, keys: list[int]) -> list[Effect]:
    """Send the known records of the keys that a peer requested."""
    members = state.members
    names = {members.name_by_key[key] for key in keys if key in members.name_by_key}
    records = [record_of(members.by_name[name]) for name in sorted(names)]
    limit = state.options.records_max
    return [
        SendDatagram(
            sender.name,
            sender.peer_address,
            MembersSend(state.me.data_centre, 0, records[first : first + limit]),
        )
        for first in range(0, len(records), limit)
    ]


def take_record(
    state: State, now: float, record: MemberRecord, *, replace: bool = False
) -> Member | None:
    """Record what a peer sent about a member; return None if it is not used.

    A live incarnation is replaced only by one that is known to have followed it; with `replace` in
    any case.
    """
    members = state.members
    if record.name == state.me.name or not record.address:
        return None
    name = InstanceName(record.name)
    member = members.by_name.get(name)
    if member is None:
        member = Member(name, record.data_centre, record.address, incarnation=record.incarnation)
        members.by_name[name] = member
    elif member.incarnation != record.incarnation:
        if not (replace or _is_later_incarnation(state, now, member, record)):
            return None
        unindex_member(members, member)
        restart(member, record.incarnation)
    member.data_centre = record.data_centre
    member.peer_address = record.address
    member.region = record.region
    member.machine_capacity = record.machine_capacity
    member.reported_at = now
    # The leaving flag of an incarnation is never cleared.
    member.leaving = member.leaving or record.leaving
    index_member(members, member)
    return member


def _is_later_incarnation(state: State, now: float, member: Member, record: MemberRecord) -> bool:
    """Return whether a record names a later incarnation than the recorded one.

    Prevents a delayed datagram of the previous incarnation from excluding a restarted instance: a
    retired incarnation is accepted again if the record names the current one as its predecessor and
    the current one is not live.
    """
    is_successor = member.incarnation in record.earlier_incarnations or bool(
        is_earlier(member.incarnation, record.incarnation)
    )
    is_member_live = is_live(state, now, member)
    if is_retired(member, record.incarnation):
        return is_successor and not is_member_live
    return is_successor or not is_member_live


def drop_expired_members(state: State, now: float) -> None:
    """Drop members that have been unresponsive for long and that no source names any more."""
    members = state.members
    for member in list(members.by_name.values()):
        unresponsive_s = now - max(member.last_seen_at, member.reported_at)
        if unresponsive_s > _forget_after_s(state, now, member) and not is_live(state, now, member):
            unindex_member(members, member)
            del members.by_name[member.name]
            members.notices_differ_since.pop(member.name, None)


def _forget_after_s(state: State, now: float, member: Member) -> float:
    listed_at = state.servers.listed_at
    # Two reads of a long list may lie further apart than the option.
    limit_s = max(state.options.forget_s, 2 * list_period_s(state))
    is_outage = listed_at is None or now - listed_at > limit_s
    return state.options.forget_outage_s if is_outage and not member.leaving else limit_s
