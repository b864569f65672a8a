"""Follow other data centres by the status messages of their gateways.

The gateways of a data centre are a few of its live members, picked by hash (`Options.relays` is
their number). Instances may disagree on them for a while, which costs a few more or fewer messages.
Status messages do not conflict: each has its gateway's heartbeat counter, and a later one replaces
an earlier one.

A gateway sends its status message to one gateway of each other data centre; from there it spreads
by gossip, in datagrams that are sent anyway. It identifies the members only by a hash; an instance
that receives an unknown hash requests the records from the sender.

Status messages are also passed on by third data centres, so two data centres that cannot reach each
other still follow each other.
"""

from __future__ import annotations

from typing import Final

import xxhash

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership.membership import is_live, live_instances, member_key, self_key
from turmericweir_core.membership.membership_gossip import heartbeat_to_member
from turmericweir_core.membership.membership_records import record_of, take_record
from turmericweir_core.membership.membership_roster import hash_keys
from turmericweir_core.messages.effects import Effect, SendPeer
from turmericweir_core.messages.membership_messages import (
    MemberRecord,
    MembersAsk,
    MembersSend,
    Word,
)
from turmericweir_core.state.membership_state import Member, RemoteCentre
from turmericweir_core.state.state import State

# Time after the start in which an instance passes on all status messages and requests members more
# often.
_START_PHASE_S: Final = 10.0
_START_REQUEST_INTERVAL_S: Final = 0.4
# Maximum number of gateways of one data centre whose counters are stored.
_GATEWAY_COUNTERS_MAX: Final = 16


# --- sending ---------------------------------------------------------------------------------


def statuses_to_send(state: State, now: float, excluded_centre: str = "") -> list[Word]:
    """Return status messages for the next datagram: all, or a random sample if there are many.

    A data centre is not sent its own status, hence `excluded_centre`.
    """
    fresh = [
        centre.status_message
        for _, centre in sorted(state.members.centres.items())
        if centre.status_message and now - centre.last_seen_at <= state.options.centre_suspect_s
        if centre.name != excluded_centre
    ]
    limit = len(fresh) if _is_starting(state, now) else state.options.words_max
    return fresh if len(fresh) <= limit else state.rng.sample(fresh, limit)


def _is_starting(state: State, now: float) -> bool:
    started_at = state.members.started_at
    return started_at is None or now - started_at < _START_PHASE_S


def send_statuses(state: State, now: float) -> list[Effect]:
    """Send this data centre's status to the others, if this instance is a gateway."""
    local_members = live_instances(state, now, state.me.data_centre)
    if state.me.name not in names_of_gateways(state, local_members):
        return []
    status = _local_status(state, local_members)
    partners = (_partner(state, now, name) for name in _other_centres(state))
    return [
        heartbeat_to_member(
            state,
            now,
            recipient,
            [status, *statuses_to_send(state, now, recipient.data_centre)],
        )
        for recipient in partners
        if recipient is not None
    ]


def names_of_gateways(state: State, members: list[Member]) -> set[InstanceName]:
    """Return the names of a data centre's gateways among its members."""
    ranked = sorted(members, key=lambda member: _gateway_hash(member.name))
    return {member.name for member in ranked[: state.options.relays]}


def _gateway_hash(name: InstanceName) -> int:
    return xxhash.xxh32_intdigest(f"relay\0{name}".encode())


def _local_status(state: State, local_members: list[Member]) -> Word:
    return Word(
        data_centre=state.me.data_centre,
        gateway_key=self_key(state),
        seq=state.members.seq,
        members_hash=hash_members(local_members),
        live_members=len(local_members),
        settings_offset=min(member.settings_offset for member in local_members),
    )


def hash_members(members: list[Member]) -> int:
    """Hash the identities of members into 32 bits."""
    keys = [member_key(member.name, member.incarnation, member.leaving) for member in members]
    return hash_keys(tuple(sorted(keys)))


def _other_centres(state: State) -> list[str]:
    all_centres = {member.data_centre for member in state.members.by_name.values()}
    return sorted(all_centres - {state.me.data_centre})


def _partner(state: State, now: float, data_centre: str) -> Member | None:
    """Return a gateway of another data centre, or any member there if none is known to be live."""
    centre_members = [
        member for member in state.members.by_name.values() if member.data_centre == data_centre
    ]
    live_members = [member for member in centre_members if is_live(state, now, member)]
    gateway_names = names_of_gateways(state, live_members)
    candidates = [
        member for member in live_members if member.name in gateway_names
    ] or centre_members
    candidates.sort(key=lambda member: member.name)
    return state.rng.choice(candidates) if candidates else None


# --- receiving -------------------------------------------------------------------------------


def take_statuses(state: State, now: float, sender: Member, statuses: list[Word]) -> list[Effect]:
    """Record the status of other data centres, and request unknown members."""
    effects: list[Effect] = []
    for status in statuses:
        if status.data_centre != state.me.data_centre:
            effects += _take_status(state, now, sender, status)
    return effects


def _take_status(state: State, now: float, sender: Member, status: Word) -> list[Effect]:
    centres = state.members.centres
    centre = centres.get(status.data_centre)
    if centre is None:
        centre = centres[status.data_centre] = RemoteCentre(status.data_centre)
    if status.seq <= centre.seqs.get(status.gateway_key, -1):
        return []
    _record_seq(centre, status)
    if now < state.members.trust_after:
        # The message may have waited in a socket of this process during a pause.
        return []
    centre.status_message = status
    centre.last_seen_at = now
    _apply_status(state, now, centre)
    return _request_roster(state, now, sender, centre)


def _record_seq(centre: RemoteCentre, status: Word) -> None:
    # Moved to the end, so that the counter of the most recent gateway is dropped last.
    centre.seqs.pop(status.gateway_key, None)
    centre.seqs[status.gateway_key] = status.seq
    while len(centre.seqs) > _GATEWAY_COUNTERS_MAX:
        del centre.seqs[next(iter(centre.seqs))]


def _apply_status(state: State, now: float, centre: RemoteCentre) -> None:
    """Apply the status of a data centre to all its members."""
    assert centre.status_message is not None
    for name in centre.roster:
        member = state.members.by_name.get(name)
        if member is not None:
            member.last_seen_at = now
            member.settings_offset = max(
                member.settings_offset, centre.status_message.settings_offset
            )


def _request_roster(state: State, now: float, sender: Member, centre: RemoteCentre) -> list[Effect]:
    assert centre.status_message is not None
    if centre.status_message.members_hash == centre.roster_hash:
        return []
    wait_s = _START_REQUEST_INTERVAL_S if _is_starting(state, now) else state.options.roster_ask_s
    if now - centre.roster_requested_at < wait_s:
        return []
    centre.roster_requested_at = now
    return [SendPeer(sender.name, sender.peer_address, MembersAsk(centre.name))]


def answer_roster(state: State, now: float, sender: Member, data_centre: str) -> list[Effect]:
    """Send the live members of a data centre that a peer requested."""
    if data_centre == state.me.data_centre:
        members = live_instances(state, now, data_centre)
        return [_roster_message(sender, data_centre, hash_members(members), members)]
    centre = state.members.centres.get(data_centre)
    if centre is None or not centre.roster:
        return []
    known_members = [
        state.members.by_name[name] for name in centre.roster if name in state.members.by_name
    ]
    known_members.sort(key=lambda member: member.name)
    return [_roster_message(sender, data_centre, centre.roster_hash, known_members)]


def _roster_message(
    sender: Member, data_centre: str, roster_hash: int, members: list[Member]
) -> SendPeer:
    records = [record_of(member) for member in members]
    message = MembersSend(data_centre, roster_hash, records)
    return SendPeer(sender.name, sender.peer_address, message)


def take_roster(state: State, now: float, message: MembersSend) -> list[Effect]:
    """Record the live members of another data centre."""
    if message.data_centre == state.me.data_centre:
        return []
    centre = state.members.centres.get(message.data_centre)
    if centre is None or centre.status_message is None:
        return []
    is_newest = message.members_hash == centre.status_message.members_hash
    if not is_newest and len(message.records) <= len(centre.roster):
        # The sender's roster is older than the recorded status; a later message requests it again.
        # While a data centre starts, the longer roster is preferred.
        return []
    accepted = [
        _take_remote_record(state, now, record, message.data_centre) for record in message.records
    ]
    centre.roster = frozenset(member.name for member in accepted if member is not None)
    centre.roster_hash = message.members_hash
    if message.records:
        centre.region = message.records[0].region
    _apply_status(state, now, centre)
    return _send_missing_members(state, now, centre)


def _send_missing_members(state: State, now: float, centre: RemoteCentre) -> list[Effect]:
    """Send one member of another data centre the records of members that its roster lacks.

    Prevents instances whose seeds all lie in other data centres from never discovering each other.
    """
    live = [state.members.by_name[name] for name in centre.roster if name in state.members.by_name]
    missing = [
        member
        for member in state.members.by_name.values()
        if member.data_centre == centre.name
        and member.name not in centre.roster
        and not member.leaving
        if now - member.last_seen_at <= state.options.centre_suspect_s
    ]
    if not live or not missing:
        return []
    recipient = state.rng.choice(sorted(live, key=lambda member: member.name))
    missing.sort(key=lambda member: member.name)
    records = [record_of(member) for member in missing[: state.options.records_max]]
    return [SendPeer(recipient.name, recipient.peer_address, MembersSend(centre.name, 0, records))]


def _take_remote_record(
    state: State, now: float, record: MemberRecord, data_centre: str
) -> Member | None:
    if record.data_centre != data_centre:
        return None
    # The roster of the data centre itself overrides any earlier record.
    return take_record(state, now, record, replace=True)
