"""The known members of the cluster, and which of them are live.

A member is live while its heartbeat counter is seen to progress, directly or through other members.
Nothing else makes it live: an instance on the platform's list is only a candidate to contact, and
one that is missing from the list stays live while it progresses. It stops being live only when
progress is missing or a newer incarnation replaces it.

Members of this data centre are followed one by one (`membership_gossip`). Another data centre is
followed as a whole, by the status messages of its gateways (`membership_status`): its members are
live while its status is fresh and its newest roster contains them.

This module holds the state and the queries for other reducers; it sends nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.incarnation import is_earlier
from turmericweir_core.state.membership_state import (
    MAX_RETIRED,
    NEVER,
    CentreView,
    Member,
    Membership,
    RemoteCentre,
)

if TYPE_CHECKING:
    from turmericweir_core.state.state import Identity, State


# --- queries of other reducers -----------------------------------------------------------------


def live_instances(state: State, now: float, data_centre: str | None = None) -> list[Member]:
    """Return the live instances, this one included, sorted by name.

    A leaving instance is live until it ends; callers that assign work or duties check `leaving`.
    """
    if data_centre is None:
        live = [member for member in _all_members(state) if is_live(state, now, member)]
    else:
        live = [
            member
            for member in _all_members(state)
            if member.data_centre == data_centre and is_live(state, now, member)
        ]
    return sorted(live, key=lambda member: member.name)


def region_instances(state: State, now: float) -> list[Member]:
    """Return the live instances of this instance's region, itself included, sorted by name."""
    region = state.me.region
    return [member for member in live_instances(state, now) if member.region == region]


def find_member(state: State, name: InstanceName) -> Member | None:
    """Return a member by name, live or not; this instance is one."""
    return self_member(state) if name == state.me.name else state.members.by_name.get(name)


def is_live(state: State, now: float, member: Member) -> bool:
    """Return whether a member is seen to progress."""
    if member.name == state.me.name:
        return True
    if member.data_centre == state.me.data_centre:
        return now - member.last_seen_at <= state.options.suspect_s
    centre = state.members.centres.get(member.data_centre)
    if centre is None or member.name not in centre.roster:
        return False
    return now - centre.last_seen_at <= state.options.centre_suspect_s


def recent_instances(state: State, now: float, keep_s: float) -> list[Member]:
    """Return the instances that were live within a time, this one included, sorted by name.

    An instance that announced that it leaves is left out once it is not live.
    """
    recent = [
        member
        for member in _all_members(state)
        if is_live(state, now, member)
        or (not member.leaving and _was_live(state, now, member, keep_s))
    ]
    return sorted(recent, key=lambda member: member.name)


def _was_live(state: State, now: float, member: Member, keep_s: float) -> bool:
    if member.data_centre == state.me.data_centre:
        return now - member.last_seen_at <= keep_s
    centre = state.members.centres.get(member.data_centre)
    if centre is None or member.name not in centre.roster:
        return False
    return now - centre.last_seen_at <= keep_s


def region_of(state: State, data_centre: str) -> str:
    """Return the region of a data centre; this instance's region if it is unknown."""
    centre = state.members.centres.get(data_centre)
    return (centre.region if centre is not None else "") or state.me.region


def uptime_s(state: State, now: float) -> float:
    """Return the time since the first tick, in seconds."""
    started_at = state.members.started_at
    return 0.0 if started_at is None else now - started_at


def data_centre_views(state: State, now: float) -> list[CentreView]:
    """Return the data centres with the newest status of each, this one included."""
    views = [_remote_view(state, now, each) for each in state.members.centres.values()]
    local_members = live_instances(state, now, state.me.data_centre)
    lowest_offset = min(each.settings_offset for each in local_members)
    me = state.me
    views.append(
        CentreView(me.data_centre, me.region, now, True, len(local_members), lowest_offset)
    )
    return sorted(views, key=lambda view: view.name)


def _remote_view(state: State, now: float, centre: RemoteCentre) -> CentreView:
    status = centre.status_message
    return CentreView(
        name=centre.name,
        region=centre.region,
        last_seen_at=centre.last_seen_at,
        reachable=now - centre.last_seen_at <= state.options.centre_suspect_s,
        live=status.live_members if status else 0,
        settings_offset=status.settings_offset if status else 0,
    )


def list_period_s(state: State) -> float:
    """Return the time between two reads of the platform's list, in seconds.

    The period grows with the list, which bounds the cost for each instance.
    """
    entry_count = len(state.servers.listed) + len(state.members.by_name)
    return state.options.list_s * max(1.0, entry_count / state.options.list_entries)


def pause_since_last_tick_s(state: State, now: float) -> float:
    """Return how long this process was paused since the last tick, or 0.0 if it was not.

    Call this before acting on anything that may have expired during the pause.
    """
    last_tick_at = state.members.last_tick_at
    gap_s = 0.0 if last_tick_at is None else now - last_tick_at
    return gap_s if gap_s > state.options.pause_s else 0.0


def self_member(state: State) -> Member:
    """Describe this instance as a member."""
    me = state.me
    return Member(
        name=me.name,
        data_centre=me.data_centre,
        peer_address=me.peer_address,
        region=me.region,
        incarnation=me.incarnation,
        seq=state.members.seq,
        last_seen_at=float("inf"),
        leaving=state.stopping_since is not None,
        settings_offset=state.settings_offset(),
        machine_capacity=me.machine_capacity,
    )


def _all_members(state: State) -> list[Member]:
    return [*state.members.by_name.values(), self_member(state)]


# --- helpers of the membership modules ---------------------------------------------------------


def member_key(name: str, incarnation: str, leaving: bool) -> int:
    """Hash what identifies a member's record into 32 bits.

    The leaving flag is included: a roster with a leaving member differs from the one before. Two
    members with the same key are treated as one until either restarts.
    """
    return xxhash.xxh32_intdigest(f"{name}\0{incarnation}\0{int(leaving)}".encode())


def self_key(state: State, *, leaving: bool | None = None) -> int:
    """Hash this instance's record, with its current leaving flag or the given one."""
    if leaving is None:
        leaving = state.stopping_since is not None
    return member_key(state.me.name, state.me.incarnation, leaving)


def region_tag(cluster: str, region: str) -> int:
    """Hash the names of a cluster and a region; datagrams with another tag are dropped."""
    return xxhash.xxh32_intdigest(f"{cluster}\0{region}".encode())


def region_by_tag(me: Identity, tag: int) -> str | None:
    """Return the region that a tag stands for, or None if it is unknown."""
    for region in (me.region, *me.other_regions):
        if region_tag(me.cluster, region) == tag:
            return region
    return None


def is_retired(member: Member, incarnation: str) -> bool:
    """Return whether a newer incarnation has replaced the given one.

    Where both tell their start, the order of the starts decides. Prevents an earlier process that
    still sends from taking the place of the later one.
    """
    earlier = is_earlier(incarnation, member.incarnation)
    return incarnation in member.retired_incarnations if earlier is None else earlier


def record_counter(state: State, now: float, member: Member, seq: int) -> bool:
    """Record a member's heartbeat counter; return whether it shows progress."""
    if member.seq is not None and seq <= member.seq:
        return False
    is_first = member.seq is None
    member.seq = seq
    # The first counter received from others is only a baseline. Prevents a peer's last counter of a
    # dead member from making that member live again.
    if is_first or now < state.members.trust_after:
        return False
    member.last_seen_at = now
    return True


def restart(member: Member, incarnation: str) -> None:
    """Reset a member's state for another incarnation."""
    if member.incarnation:
        member.retired_incarnations = (*member.retired_incarnations, member.incarnation)[
            -MAX_RETIRED:
        ]
    if member.leaving:
        member.left_incarnations = (*member.left_incarnations, member.incarnation)[-MAX_RETIRED:]
    member.incarnation = incarnation
    member.seq = None
    member.last_seen_at = NEVER
    # A delayed message may restore an older incarnation, which is still leaving.
    member.leaving = incarnation in member.left_incarnations
    member.settings_offset = 0


def index_member(members: Membership, member: Member) -> None:
    """Index a member by both of its keys, with and without the leaving flag."""
    for leaving in (False, True):
        members.name_by_key[member_key(member.name, member.incarnation, leaving)] = member.name


def unindex_member(members: Membership, member: Member) -> None:
    """Remove both keys of a member's incarnation from the index."""
    for leaving in (False, True):
        members.name_by_key.pop(member_key(member.name, member.incarnation, leaving), None)


def count_dropped_message(members: Membership, reason: str) -> None:
    """Count a dropped message by reason."""
    members.noise[reason] = members.noise.get(reason, 0) + 1
