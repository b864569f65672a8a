"""Follow the members of this data centre by gossip.

Every round this instance increments its own counter and sends one datagram to one peer, with the
newest counter it knows of every member. Partners are taken in turn from the ring of live names, at
distances 1, 2, 4 and so on: a counter reaches all of n members within log2(n) rounds, rounded up.
See docs/design/membership.md.

Counters are sent without keys while rosters agree (`Heartbeat.counters`), and with keys for some
time after a difference was seen. Records of unknown keys are requested.

A process that was paused reads old datagrams from its sockets when it resumes. Their counters look
like progress of members that may be gone. `detect_pause` detects the pause, and progress is ignored
for a short time after it.
"""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership.membership import (
    count_dropped_message,
    index_member,
    is_live,
    is_retired,
    live_instances,
    member_key,
    pause_since_last_tick_s,
    record_counter,
    region_by_tag,
    region_tag,
    restart,
    self_key,
    self_member,
    unindex_member,
)
from turmericweir_core.membership.membership_roster import (
    refresh_roster,
    roster_by_hash,
    roster_members,
)
from turmericweir_core.messages.effects import Count, Effect, Log, SendDatagram
from turmericweir_core.messages.membership_messages import Heartbeat, MembersAsk, Word
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.state import State

# Number of values of one character of `Heartbeat.counters`. An increase by half of it or more is
# ambiguous.
_COUNTER_MODULUS: Final = 128
_OFFSET_LAG_MAX: Final = 127
# Rounds between two heartbeats with the settings hash; every heartbeat has the offset.
_HASH_EVERY_ROUNDS: Final = 8
# Longest time that a counter takes to reach all members of the data centre.
_SPREAD_S: Final = 2.0


# --- time ------------------------------------------------------------------------------------


def detect_pause(state: State, now: float) -> list[Effect]:
    """Detect whether this process was paused; called before any message is evaluated.

    Prevents datagrams that were received before a pause from making a dead member live again.
    Progress is ignored until the sockets are drained; a live member progresses again within two
    rounds.
    """
    pause_s = pause_since_last_tick_s(state, now)
    if not pause_s:
        return []
    members = state.members
    members.trust_after = now + state.options.trust_delay_s
    if pause_s > _COUNTER_MODULUS // 2 * state.options.heartbeat_s - _SPREAD_S:
        # Counters may have advanced by more than one character can represent.
        for member in members.by_name.values():
            member.seq = None
    return [Log("paused", {"seconds": round(pause_s, 3)}), Count("membership.paused")]


# --- sending ---------------------------------------------------------------------------------


def run_round(state: State, now: float, statuses: list[Word]) -> list[Effect]:
    """Increment this instance's counter and send all known counters to one peer."""
    members = state.members
    members.seq += 1
    members.gossip_round += 1
    refresh_roster(state, now)
    partner = _partner(state, now)
    if partner is None:
        return []
    return [heartbeat_to_member(state, now, partner, statuses)]


def _partner(state: State, now: float) -> Member | None:
    """Return the next partner on the ring of recently seen members of this data centre."""
    oldest_at = now - state.options.partner_s
    ring = live_instances(state, now, state.me.data_centre)
    ring = (
        [member for member in ring if member.last_seen_at >= oldest_at] if len(ring) > 2 else ring
    )
    if len(ring) < 2:
        return None
    own_position = next(
        position for position, member in enumerate(ring) if member.name == state.me.name
    )
    doublings = (len(ring) - 1).bit_length()
    distance = 1 << (state.members.gossip_round % doublings)
    return ring[(own_position + distance) % len(ring)]


def heartbeat_to_member(
    state: State, now: float, recipient: Member, statuses: list[Word], *, is_full: bool = False
) -> SendDatagram:
    """Return a heartbeat addressed to a member."""
    is_remote = recipient.data_centre != state.me.data_centre
    beat = _heartbeat(state, now, statuses, is_full=is_full or is_remote)
    if is_remote:
        # Another data centre evaluates only the status messages, not single counters.
        beat = replace(beat, entries=[])
    return SendDatagram(recipient.name, recipient.peer_address, beat)


def heartbeat_to_address(
    state: State, now: float, address: str, statuses: list[Word]
) -> SendDatagram:
    """Return a heartbeat to an instance of which only the address is known."""
    return SendDatagram(
        InstanceName(address), address, _heartbeat(state, now, statuses, is_full=True)
    )


def _heartbeat(state: State, now: float, statuses: list[Word], *, is_full: bool) -> Heartbeat:
    members = state.members
    me = self_member(state)
    is_identified = is_full or now < members.rosters_differ_until
    newest_offset = max(member.settings_offset for member in (me, *roster_members(state)))
    has_hash = is_identified or members.gossip_round % _HASH_EVERY_ROUNDS == 0
    return Heartbeat(
        data_centre=me.data_centre if is_identified else "",
        address=me.peer_address if is_identified else "",
        incarnation=me.incarnation if is_identified else "",
        seq=members.seq,
        leaving=me.leaving,
        settings_offset=me.settings_offset,
        settings_hash=state.settings_digest() if has_hash else "",
        members_hash=members.roster_hash,
        cluster_hash=region_tag(state.me.cluster, state.me.region),
        sender_key=self_key(state),
        newest_offset=newest_offset,
        counters="" if is_identified else _counters(state),
        offset_lags="" if is_identified else _offset_lags(state, newest_offset),
        entries=_entries(state, newest_offset) if is_identified else [],
        status_messages=statuses,
        machine_capacity=me.machine_capacity if is_identified else 0,
    )


def _counters(state: State) -> str:
    return "".join(chr((member.seq or 0) % _COUNTER_MODULUS) for member in roster_members(state))


def _offset_lags(state: State, newest_offset: int) -> str:
    lags = [
        min(_OFFSET_LAG_MAX, newest_offset - member.settings_offset)
        for member in roster_members(state)
    ]
    return "".join(map(chr, lags)) if any(lags) else ""


def _entries(state: State, newest_offset: int) -> list[int]:
    """Return the counters with their keys, or the next part of them if there are too many."""
    roster = list(zip(state.members.roster, roster_members(state), strict=True))
    limit = state.options.counters_max
    if len(roster) > limit:
        first = state.members.gossip_round * limit % len(roster)
        roster = (roster + roster)[first : first + limit]
    entries: list[int] = []
    for key, member in roster:
        if member.seq is not None:
            entries += (
                key,
                member.seq,
                min(_OFFSET_LAG_MAX, newest_offset - member.settings_offset),
            )
    return entries


# --- receiving -------------------------------------------------------------------------------


def take_sender(state: State, now: float, name: InstanceName, beat: Heartbeat) -> Member | None:
    """Record the sender of a heartbeat; return None if the heartbeat cannot be used."""
    members = state.members
    region = region_by_tag(state.me, beat.cluster_hash)
    if region is None:
        count_dropped_message(members, "tag")
        return None
    if name == state.me.name:
        # This instance's own seed, or another process with the same name.
        count_dropped_message(members, "own_name")
        return None
    member = (
        _identified_sender(state, now, name, beat)
        if beat.address
        else _indexed_sender(state, name, beat)
    )
    if member is None:
        return None
    member.region = region
    _record_sender_counter(state, now, member, beat)
    return member


def _indexed_sender(state: State, name: InstanceName, beat: Heartbeat) -> Member | None:
    member = state.members.by_name.get(name)
    if member is None or not _is_key_of(member, beat.sender_key):
        # The sender sends its full identity as soon as it sees that rosters differ.
        count_dropped_message(state.members, "unknown_sender")
        return None
    return member


def _is_key_of(member: Member, key: int) -> bool:
    keys = (member_key(member.name, member.incarnation, leaving) for leaving in (False, True))
    return key in keys


def _identified_sender(
    state: State, now: float, name: InstanceName, beat: Heartbeat
) -> Member | None:
    members = state.members
    member = members.by_name.get(name)
    if member is None:
        member = Member(name, beat.data_centre, beat.address, incarnation=beat.incarnation)
        members.by_name[name] = member
    elif member.incarnation != beat.incarnation:
        if is_retired(member, beat.incarnation) and is_live(state, now, member):
            # A delayed datagram of the previous incarnation.
            count_dropped_message(members, "retired")
            return None
        unindex_member(members, member)
        restart(member, beat.incarnation)
    member.data_centre = beat.data_centre
    member.peer_address = beat.address
    member.machine_capacity = beat.machine_capacity
    index_member(members, member)
    return member


def _record_sender_counter(state: State, now: float, member: Member, beat: Heartbeat) -> None:
    member.leaving = member.leaving or beat.leaving
    # A counter from the member itself needs no baseline, unlike one from other members.
    if member.seq is None:
        member.seq = -1
    if not record_counter(state, now, member, beat.seq) and beat.seq < (member.seq or 0):
        return
    member.settings_offset = max(member.settings_offset, beat.settings_offset)


def take_counters(state: State, now: float, sender: Member, beat: Heartbeat) -> list[Effect]:
    """Record the counters of all members that a peer of this data centre sent."""
    members = state.members
    if beat.members_hash != members.roster_hash:
        # The next receivers may have other rosters too, so counters are sent with keys for a while.
        members.rosters_differ_until = now + state.options.settle_s
    if beat.entries:
        return _record_entries(state, now, sender, beat)
    roster = roster_by_hash(members, beat.members_hash)
    if roster is None or len(roster) != len(beat.counters):
        return [Count("membership.unreadable")] if beat.counters else []
    for position, key in enumerate(roster):
        lag = ord(beat.offset_lags[position]) if position < len(beat.offset_lags) else 0
        _record_counter_character(
            state, now, key, ord(beat.counters[position]), beat.newest_offset - lag
        )
    return []


def _record_counter_character(
    state: State, now: float, key: int, low_bits: int, offset: int
) -> None:
    name = state.members.name_by_key.get(key)
    member = state.members.by_name[name] if name is not None else None
    if member is None or member.seq is None:
        # The upper bits are unknown. This happens only after a long pause; peers have dropped this
        # instance from their rosters by then and send counters with keys.
        return
    step = (low_bits - member.seq) % _COUNTER_MODULUS
    if 0 < step < _COUNTER_MODULUS // 2:
        record_counter(state, now, member, member.seq + step)
        member.settings_offset = max(member.settings_offset, offset)


def _record_entries(state: State, now: float, sender: Member, beat: Heartbeat) -> list[Effect]:
    unknown_keys: list[int] = []
    own_keys = (self_key(state, leaving=False), self_key(state, leaving=True))
    triples = zip(beat.entries[0::3], beat.entries[1::3], beat.entries[2::3], strict=False)
    for key, seq, lag in triples:
        name = state.members.name_by_key.get(key)
        if name is not None:
            _record_entry(state, now, name, key, seq, beat.newest_offset - lag)
        elif key not in own_keys:
            unknown_keys.append(key)
    return _request_records(state, now, sender, unknown_keys)


def _record_entry(
    state: State, now: float, name: InstanceName, key: int, seq: int, offset: int
) -> None:
    member = state.members.by_name[name]
    if key == member_key(member.name, member.incarnation, True):
        member.leaving = True
    if member.seq is not None and seq > member.seq:
        member.settings_offset = max(member.settings_offset, offset)
    record_counter(state, now, member, seq)


def _request_records(
    state: State, now: float, sender: Member, unknown_keys: list[int]
) -> list[Effect]:
    if not unknown_keys or now < state.members.next_key_request_at:
        return []
    state.members.next_key_request_at = now + state.options.members_ask_s
    request = MembersAsk(state.me.data_centre, unknown_keys)
    return [SendDatagram(sender.name, sender.peer_address, request)]
