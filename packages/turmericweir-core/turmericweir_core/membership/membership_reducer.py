"""The reducer of membership: which part answers which event, and what is due at a tick.

`membership` holds the state; `membership_gossip` follows the own data centre (with
`membership_roster` and `membership_records`), `membership_words` the others, `leaving` the servers
that go, and `server_list` brings the platform's list to instances that cannot read it. All of it
goes in one kind of datagram.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec.structs import replace

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership import (
    leaving,
    membership_gossip,
    membership_meeting,
    membership_records,
    membership_roster,
    membership_words,
    server_list,
)
from turmericweir_core.membership.membership import count_noise, index_keys, is_live
from turmericweir_core.messages.effects import Count, Effect, SendDatagram
from turmericweir_core.messages.events import ListedInstance
from turmericweir_core.messages.peer_messages import (
    Heartbeat,
    MarksAsk,
    MarksSend,
    MembersAsk,
    MembersSend,
    ServersAsk,
    ServersSend,
)
from turmericweir_core.state.membership_state import NEVER, Member
from turmericweir_core.state.state import State

# Messages of this concern other than heartbeats.
MembershipMessage = MembersAsk | MembersSend | MarksAsk | MarksSend | ServersAsk | ServersSend


# --- time ------------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Send what is due."""
    effects = membership_gossip.note_time(state, now)
    members = state.members
    if members.started_at is None:
        members.started_at = now
    members.last_tick_at = now
    if now >= members.round_due:
        members.round_due = _next(members.round_due, now, state.options.heartbeat_s)
        effects += _round(state, now)
    if now >= members.candidate_due:
        members.candidate_due = membership_meeting.next_greeting(state, now)
        effects += _complete(state, now, membership_meeting.greet_candidate(state, now))
    if now >= members.relay_due:
        members.relay_due = _next(members.relay_due, now, state.options.relay_s)
        effects += _complete(state, now, membership_words.speak(state, now))
        membership_records.forget(state, now)
        leaving.expire(state, now)
    return effects


def _next(due: float, now: float, period: float) -> float:
    """Keep the average distance, whatever the ticks' own distance is; drop what was missed."""
    return max(due + period, now)


def _round(state: State, now: float) -> list[Effect]:
    effects = leaving.mark_leavers(state, now)
    words = membership_words.words_to_pass(state, now)
    return effects + _complete(state, now, membership_gossip.run_round(state, now, words))


def _complete(state: State, now: float, effects: Sequence[Effect]) -> list[Effect]:
    """Put into heartbeats what the other parts have to say."""
    marks = leaving.marks_to_pass(state, now)
    table = state.servers
    done: list[Effect] = []
    for effect in effects:
        if isinstance(effect, SendDatagram) and isinstance(effect.message, Heartbeat):
            beat = replace(
                effect.message,
                marks=marks,
                marks_hash=table.marks.digest,
                servers_hash=table.listed_hash,
                servers_age_s=server_list.list_age(state, now),
            )
            effect = SendDatagram(effect.peer, effect.address, beat)
        done.append(effect)
    return done


# --- peers -----------------------------------------------------------------------------------


def on_heartbeat(
    state: State, now: float, name: InstanceName, beat: Heartbeat
) -> tuple[list[Effect], Heartbeat | None]:
    """Take a heartbeat; give it back with its sender spelled out, or None where it is noise."""
    effects = membership_gossip.note_time(state, now)
    before = _live_incarnation(state, now, name)
    met = _has_met(state, name)
    sender = membership_gossip.take_sender(state, now, name, beat)
    if sender is None:
        return [*effects, Count("membership.noise")], None
    if sender.data_centre == state.me.data_centre:
        if beat.members_hash != state.members.roster_hash:
            membership_roster.refresh_roster(state, now)
        effects += membership_gossip.take_counters(state, now, sender, beat)
    effects += membership_words.take_words(state, now, sender, beat.words)
    effects += leaving.take_marks(state, now, beat.marks)
    effects += leaving.compare_digest(state, now, sender, beat)
    effects += server_list.compare_list(state, now, sender, beat)
    if not met or _live_incarnation(state, now, name) not in (before, None):
        effects += _complete(state, now, membership_meeting.welcome(state, now, sender))
    spelled = replace(
        beat,
        data_centre=sender.data_centre,
        address=sender.peer_address,
        incarnation=sender.incarnation,
    )
    return effects, spelled


def _live_incarnation(state: State, now: float, name: InstanceName) -> str | None:
    each = state.members.by_name.get(name)
    return each.incarnation if each is not None and is_live(state, now, each) else None


def _has_met(state: State, name: InstanceName) -> bool:
    each = state.members.by_name.get(name)
    return each is not None and bool(each.region)


def on_message(
    state: State, now: float, name: InstanceName, message: MembershipMessage
) -> list[Effect]:
    """Answer a peer's question, or take its answer."""
    sender = state.members.by_name.get(name)
    if sender is None or not sender.region:
        # Its region is learned from its heartbeats; one that sends none is no peer of ours.
        count_noise(state.members, "stranger")
        return [Count("membership.noise")]
    match message:
        case MembersAsk(data_centre, keys):
            if keys:
                return membership_records.answer_keys(state, sender, keys)
            return membership_words.answer_roster(state, now, sender, data_centre)
        case MembersSend():
            return _on_members(state, now, message)
        case MarksAsk():
            return leaving.answer_marks(state, now, sender)
        case MarksSend(marks):
            return leaving.take_marks(state, now, marks)
        case ServersAsk():
            return server_list.answer_list(state, now, sender)
        case ServersSend():
            return server_list.take_list(state, now, sender, message)


def _on_members(state: State, now: float, message: MembersSend) -> list[Effect]:
    if message.members_hash:
        return membership_words.take_roster(state, now, message)
    return _complete(state, now, membership_meeting.take_records(state, now, message.records))


# --- the platform and the process ------------------------------------------------------------


def on_list(state: State, now: float, instances: tuple[ListedInstance, ...]) -> None:
    """Take the platform's list of instances as candidates to talk to."""
    for listed in instances:
        if listed.name != state.me.name and listed.peer_address:
            _take_listed(state, now, listed)


def _take_listed(state: State, now: float, listed: ListedInstance) -> None:
    members = state.members
    each = members.by_name.get(listed.name)
    if each is None:
        each = Member(listed.name, listed.data_centre, listed.peer_address)
        members.by_name[listed.name] = each
    elif each.heard_at == NEVER:
        # Once it was heard it has told its address itself, and the list may lag behind that.
        each.data_centre = listed.data_centre
        each.peer_address = listed.peer_address
    each.told_at = now
    if listed.leaving and listed.incarnation == each.incarnation:
        each.leaving = True
        index_keys(members, each)


def on_seeds(state: State, addresses: tuple[str, ...]) -> None:
    """Take the addresses to talk to while nothing else is known."""
    state.members.seeds = addresses


def on_stop(state: State, now: float) -> list[Effect]:
    """Tell the data centre at once that this instance leaves."""
    words = membership_words.words_to_pass(state, now)
    effects: list[Effect] = []
    for _ in range(state.options.farewell_rounds):
        effects += membership_gossip.run_round(state, now, words)
    return _complete(state, now, effects)
