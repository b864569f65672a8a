"""Discover the other instances: contact seeds, answer new instances and send them peers.

An instance that starts knows the addresses of a few seeds at most. These may lie in other data
centres, be stale or be down, and all instances may start at once. An instance that receives a
heartbeat from a new one answers it and sends it the records of some members of the new one's data
centre, which the new one contacts in turn. Gossip spreads everything else.
"""

from __future__ import annotations

from typing import Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership import (
    membership,
    membership_gossip,
    membership_records,
    membership_status,
)
from turmericweir_core.membership.membership import is_live, live_instances
from turmericweir_core.messages.effects import Effect, Log, SendDatagram
from turmericweir_core.messages.membership_messages import Heartbeat, MemberRecord, MembersSend
from turmericweir_core.state.membership_state import NEVER, Member
from turmericweir_core.state.state import State

# Interval between contacts with seeds right after the start, and how long it applies. Short, as an
# instance without peers reads the store for itself.
_START_CONTACT_INTERVAL_S: Final = 0.2
_START_PHASE_S: Final = 3.0
# Maximum number of members contacted because of one message; none are contacted once this many
# members are live.
_CONTACTS_MAX: Final = 3
_ENOUGH_LIVE_MEMBERS: Final = 8
# Interval between two contacts with peers that send no identity.
_UNIDENTIFIED_INTERVAL_S: Final = 0.1
# Interval between two contacts with a member that does not answer.
_CONTACT_RETRY_S: Final = 1.0


def next_contact_at(state: State, now: float) -> float:
    """Return the time of the next contact with a candidate."""
    members = state.members
    is_starting = members.started_at is None or now - members.started_at < _START_PHASE_S
    period_s = _START_CONTACT_INTERVAL_S if is_starting else state.options.candidate_s
    return max(members.next_candidate_at + period_s, now)


def contact_candidate(state: State, now: float) -> list[SendDatagram]:
    """Contact an instance that is known only by name or address, or that is unresponsive.

    Connects instances at the start and again after a partition, when neither side sends to the
    other.
    """
    members = state.members
    # `membership_status.send_statuses` contacts unresponsive instances of other data centres.
    unresponsive = [
        member
        for member in members.by_name.values()
        if member.data_centre == state.me.data_centre and not is_live(state, now, member)
    ]
    known_addresses = {
        member.peer_address for member in members.by_name.values() if member.last_seen_at > NEVER
    }
    unknown_addresses = [
        address
        for address in members.seeds
        if address not in known_addresses and address != state.me.peer_address
    ]
    if unresponsive and (not unknown_addresses or state.rng.random() < 0.5):
        return [
            _contact(
                state, now, state.rng.choice(sorted(unresponsive, key=lambda member: member.name))
            )
        ]
    if unknown_addresses:
        statuses = membership_status.statuses_to_send(state, now)
        chosen_address = state.rng.choice(unknown_addresses)
        return [membership_gossip.heartbeat_to_address(state, now, chosen_address, statuses)]
    return []


def _contact(state: State, now: float, candidate: Member) -> SendDatagram:
    """Return a full heartbeat to a member that is not known to be live."""
    candidate.contacted_at = now
    statuses = membership_status.statuses_to_send(state, now)
    return membership_gossip.heartbeat_to_member(state, now, candidate, statuses, is_full=True)


def contact_unidentified(
    state: State, now: float, name: InstanceName, beat: Heartbeat, origin: str
) -> list[Effect]:
    """Contact a peer that sends no identity, since it takes this process for an earlier one.

    Prevents a process that starts without a reachable seed from hearing no peer until all of them
    have found out that the earlier one has ended.
    """
    members = state.members
    if not origin or beat.address or now < members.next_unidentified_at:
        return []
    if name == state.me.name or membership.region_by_tag(state.me, beat.cluster_hash) is None:
        return []
    members.next_unidentified_at = now + _UNIDENTIFIED_INTERVAL_S
    statuses = membership_status.statuses_to_send(state, now)
    return [membership_gossip.heartbeat_to_address(state, now, origin, statuses)]


def answer_new_member(state: State, now: float, sender: Member) -> list[Log | SendDatagram]:
    """Answer a new or returned instance, and send it some members of its data centre."""
    log = Log("member_heard", {"peer": sender.name, "data_centre": sender.data_centre})
    effects: list[Log | SendDatagram] = [log, _contact(state, now, sender)]
    neighbours = [
        member
        for member in state.members.by_name.values()
        if member.data_centre == sender.data_centre
        and member.name != sender.name
        and not member.leaving
        and now - member.last_seen_at <= state.options.suspect_s
    ]
    if neighbours:
        chosen = state.rng.sample(neighbours, min(len(neighbours), state.options.records_max))
        records = [membership_records.record_of(member) for member in chosen]
        message = MembersSend(sender.data_centre, 0, records)
        effects.append(SendDatagram(sender.name, sender.peer_address, message))
    return effects


def take_records(state: State, now: float, records: list[MemberRecord]) -> list[SendDatagram]:
    """Record members of this data centre, and contact some while few are known to be live."""
    not_live: list[Member] = []
    for record in records:
        if record.data_centre == state.me.data_centre:
            member = membership_records.take_record(state, now, record)
            if member is not None and not is_live(state, now, member):
                not_live.append(member)
    if len(live_instances(state, now, state.me.data_centre)) >= _ENOUGH_LIVE_MEMBERS:
        return []
    candidates = [member for member in not_live if now - member.contacted_at > _CONTACT_RETRY_S]
    return [_contact(state, now, member) for member in candidates[:_CONTACTS_MAX]]
