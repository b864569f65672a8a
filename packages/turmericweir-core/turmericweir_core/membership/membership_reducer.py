"""The reducer of membership: passes events to its parts and sends what is due at a tick.

`membership` holds the state; `membership_gossip` follows this data centre (with `membership_roster`
and `membership_records`), `membership_status` the other data centres, `leaving` the leaving
servers, and `server_list` sends the platform's list to instances that cannot read it. All of them
share the heartbeats.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec.structs import replace

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership import (
    announced_limits,
    brittle_statements,
    leaving,
    membership_discovery,
    membership_gossip,
    membership_records,
    membership_roster,
    membership_status,
    server_list,
)
from turmericweir_core.membership.membership import count_dropped_message, index_member, is_live
from turmericweir_core.messages.effects import Count, Effect, SendDatagram
from turmericweir_core.messages.events import ListedInstance
from turmericweir_core.messages.membership_messages import (
    Heartbeat,
    MarksAsk,
    MarksSend,
    MembersAsk,
    MembersSend,
)
from turmericweir_core.messages.server_messages import ServersAsk, ServersSend
from turmericweir_core.state.membership_state import NEVER, Member
from turmericweir_core.state.state import State

# Membership messages other than heartbeats.
MembershipMessage = MembersAsk | MembersSend | MarksAsk | MarksSend | ServersAsk | ServersSend


# --- time ------------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Send what is due."""
    effects = membership_gossip.detect_pause(state, now)
    members = state.members
    if members.started_at is None:
        members.started_at = now
    members.last_tick_at = now
    if now >= members.next_round_at:
        members.next_round_at = _next_due_at(members.next_round_at, now, state.options.heartbeat_s)
        effects += _run_round(state, now)
    if now >= members.next_candidate_at:
        members.next_candidate_at = membership_discovery.next_contact_at(state, now)
        effects += _add_notices(state, now, membership_discovery.contact_candidate(state, now))
    if now >= members.next_status_at:
        members.next_status_at = _next_due_at(members.next_status_at, now, state.options.relay_s)
        effects += _add_notices(state, now, membership_status.send_statuses(state, now))
        membership_records.drop_expired_members(state, now)
        leaving.drop_expired_notices(state, now)
        announced_limits.drop_old_statements(state, now)
        brittle_statements.drop_old_statements(state, now)
    return effects


def _next_due_at(due_at: float, now: float, period_s: float) -> float:
    """Return the next due time; keeps the mean period, and skips missed rounds."""
    return max(due_at + period_s, now)


def _run_round(state: State, now: float) -> list[Effect]:
    effects = leaving.create_leaving_notices(state, now)
    statuses = membership_status.statuses_to_send(state, now)
    return effects + _add_notices(state, now, membership_gossip.run_round(state, now, statuses))


def _add_notices(state: State, now: float, effects: Sequence[Effect]) -> list[Effect]:
    """Add the leaving notices, limits and hashes of the other parts to heartbeats."""
    notices = leaving.notices_to_send(state, now)
    limits = announced_limits.rows_to_send(state, now) if effects else []
    brittle = brittle_statements.rows_to_send(state, now) if effects else []
    table = state.servers
    completed: list[Effect] = []
    for effect in effects:
        if isinstance(effect, SendDatagram) and isinstance(effect.message, Heartbeat):
            beat = replace(
                effect.message,
                leaving_notices=notices,
                limits=limits,
                brittle=brittle,
                notices_hash=table.leaving_notices.digest,
                servers_hash=table.listed_hash,
                servers_age_s=server_list.list_age_s(state, now),
            )
            effect = SendDatagram(effect.peer, effect.address, beat)
        completed.append(effect)
    return completed


# --- peers -----------------------------------------------------------------------------------


def on_heartbeat(
    state: State, now: float, name: InstanceName, beat: Heartbeat, origin: str = ""
) -> tuple[list[Effect], Heartbeat | None]:
    """Process a heartbeat; return it with its sender's identity, or None if it is dropped."""
    effects = membership_gossip.detect_pause(state, now)
    previous_incarnation = _live_incarnation(state, now, name)
    is_known = _is_known_sender(state, name)
    sender = membership_gossip.take_sender(state, now, name, beat)
    if sender is None:
        contacts = membership_discovery.contact_unidentified(state, now, name, beat, origin)
        return [*effects, Count("membership.noise"), *contacts], None
    if sender.data_centre == state.me.data_centre:
        if beat.members_hash != state.members.roster_hash:
            membership_roster.refresh_roster(state, now)
        effects += membership_gossip.take_counters(state, now, sender, beat)
    effects += membership_status.take_statuses(state, now, sender, beat.status_messages)
    effects += leaving.take_notices(state, now, beat.leaving_notices)
    effects += leaving.compare_notices(state, now, sender, beat)
    effects += announced_limits.take_rows(state, now, sender.name, beat.limits)
    effects += brittle_statements.take_rows(state, now, sender.name, beat.brittle)
    effects += server_list.compare_list(state, now, sender, beat)
    if not is_known or _live_incarnation(state, now, name) not in (previous_incarnation, None):
        effects += _add_notices(
            state, now, membership_discovery.answer_new_member(state, now, sender)
        )
    identified = replace(
        beat,
        data_centre=sender.data_centre,
        address=sender.peer_address,
        incarnation=sender.incarnation,
    )
    return effects, identified


def _live_incarnation(state: State, now: float, name: InstanceName) -> str | None:
    member = state.members.by_name.get(name)
    return member.incarnation if member is not None and is_live(state, now, member) else None


def _is_known_sender(state: State, name: InstanceName) -> bool:
    member = state.members.by_name.get(name)
    return member is not None and bool(member.region)


def on_message(
    state: State, now: float, name: InstanceName, message: MembershipMessage
) -> list[Effect]:
    """Answer a peer's request, or record its answer."""
    sender = state.members.by_name.get(name)
    if sender is None or not sender.region:
        # The region comes from heartbeats; a sender without heartbeats is not a peer.
        count_dropped_message(state.members, "stranger")
        return [Count("membership.noise")]
    match message:
        case MembersAsk(data_centre, keys):
            if keys:
                return membership_records.answer_keys(state, sender, keys)
            return membership_status.answer_roster(state, now, sender, data_centre)
        case MembersSend():
            return _take_members(state, now, message)
        case MarksAsk():
            return leaving.answer_notices(state, now, sender)
        case MarksSend(notices):
            return leaving.take_notices(state, now, notices)
        case ServersAsk():
            return server_list.answer_list(state, now, sender)
        case ServersSend():
            return server_list.take_list(state, now, sender, message)


def _take_members(state: State, now: float, message: MembersSend) -> list[Effect]:
    if message.members_hash:
        return membership_status.take_roster(state, now, message)
    return _add_notices(state, now, membership_discovery.take_records(state, now, message.records))


# --- the platform and the process ------------------------------------------------------------


def on_list(state: State, now: float, instances: tuple[ListedInstance, ...]) -> None:
    """Record the platform's list of instances as candidates to contact."""
    for listed in instances:
        if listed.name != state.me.name and listed.peer_address:
            _take_listed(state, now, listed)


def _take_listed(state: State, now: float, listed: ListedInstance) -> None:
    members = state.members
    member = members.by_name.get(listed.name)
    if member is None:
        member = Member(listed.name, listed.data_centre, listed.peer_address)
        members.by_name[listed.name] = member
    elif member.last_seen_at == NEVER:
        # The list may be older than the address that the member itself sent.
        member.data_centre = listed.data_centre
        member.peer_address = listed.peer_address
    member.reported_at = now
    if listed.leaving and listed.incarnation == member.incarnation:
        member.leaving = True
        index_member(members, member)


def on_seeds(state: State, addresses: tuple[str, ...]) -> None:
    """Record the addresses to contact while no other instance is known."""
    state.members.seeds = addresses


def on_stop(state: State, now: float) -> list[Effect]:
    """Announce to the data centre at once that this instance is leaving."""
    statuses = membership_status.statuses_to_send(state, now)
    effects: list[Effect] = []
    for _ in range(state.options.farewell_rounds):
        effects += membership_gossip.run_round(state, now, statuses)
    return _add_notices(state, now, effects)
