"""Meet the other instances: greet seeds, welcome whoever is new, and bring those who came together.

An instance that starts knows the addresses of a few seeds at the most, which may lie in other data
centres, be stale or be down, and all instances may start at once. Whoever hears of one that is new
answers it, and tells it of some members of its own data centre, which it greets in turn. So each
is tied to several others within a few exchanges; from there on gossip makes them all known.
"""

from __future__ import annotations

from typing import Final

from turmericweir_core.membership import membership_gossip, membership_records, membership_words
from turmericweir_core.membership.membership import is_live, live_instances
from turmericweir_core.messages.effects import Log, SendDatagram
from turmericweir_core.messages.peer_messages import MemberRecord, MembersSend
from turmericweir_core.state.membership_state import NEVER, Member
from turmericweir_core.state.state import State

# After a start seeds are greeted so much more often, for so long: who knows nobody serves by own
# beliefs alone, and reads the store for itself.
_START_GREET_S: Final = 0.2
_START_S: Final = 3.0
# Members that one message makes an instance greet, and how many it need not know any more for
# that: gossip with so many finds the others.
_GREET_MAX: Final = 3
_ENOUGH: Final = 8
# Between two greetings of the same member that does not answer.
_GREET_AGAIN_S: Final = 1.0


def next_greeting(state: State, now: float) -> float:
    """Give the time to greet the next candidate at."""
    members = state.members
    is_young = members.started_at is None or now - members.started_at < _START_S
    period = _START_GREET_S if is_young else state.options.candidate_s
    return max(members.candidate_due + period, now)


def greet_candidate(state: State, now: float) -> list[SendDatagram]:
    """Talk to one that is known by name or address only, or has gone silent.

    This is how instances find each other at first, and again after a partition: each side has
    left the other out by then, so nobody would be sent to.
    """
    members = state.members
    # Words find silent instances of other data centres; see `membership_words.speak`.
    silent = [
        each
        for each in members.by_name.values()
        if each.data_centre == state.me.data_centre and not is_live(state, now, each)
    ]
    known = {each.peer_address for each in members.by_name.values() if each.heard_at > NEVER}
    unknown = [it for it in members.seeds if it not in known and it != state.me.peer_address]
    if silent and (not unknown or state.rng.random() < 0.5):
        return [_greet(state, now, state.rng.choice(sorted(silent, key=lambda each: each.name)))]
    if unknown:
        words = membership_words.words_to_pass(state, now)
        address = state.rng.choice(unknown)
        return [membership_gossip.greet(state, now, address, words)]
    return []


def _greet(state: State, now: float, to: Member) -> SendDatagram:
    to.greeted_at = now
    words = membership_words.words_to_pass(state, now)
    return membership_gossip.send_heartbeat(state, now, to, words, full=True)


def welcome(state: State, now: float, sender: Member) -> list[Log | SendDatagram]:
    """Answer one that has just come, or come back: it may know nobody else."""
    log = Log("member_heard", {"peer": sender.name, "data_centre": sender.data_centre})
    effects: list[Log | SendDatagram] = [log, _greet(state, now, sender)]
    neighbours = [
        each
        for each in state.members.by_name.values()
        if each.data_centre == sender.data_centre
        and each.name != sender.name
        and not each.leaving
        and now - each.heard_at <= state.options.suspect_s
    ]
    if neighbours:
        told = state.rng.sample(neighbours, min(len(neighbours), state.options.records_max))
        records = [membership_records.record_of(each) for each in told]
        message = MembersSend(sender.data_centre, 0, records)
        effects.append(SendDatagram(sender.name, sender.peer_address, message))
    return effects


def take_records(state: State, now: float, records: list[MemberRecord]) -> list[SendDatagram]:
    """Note who else is in the own data centre, and greet some where few are known to live."""
    found: list[Member] = []
    for record in records:
        if record.data_centre == state.me.data_centre:
            each = membership_records.take_record(state, now, record)
            if each is not None and not is_live(state, now, each):
                found.append(each)
    if len(live_instances(state, now, state.me.data_centre)) >= _ENOUGH:
        return []
    fresh = [each for each in found if now - each.greeted_at > _GREET_AGAIN_S]
    return [_greet(state, now, each) for each in fresh[:_GREET_MAX]]
