"""Follow other data centres by the words of their relays.

A few members of each data centre speak for it: those that come first by rendezvous hashing over
its live members. Which they are is soft. With two views of it there is a relay more or fewer for a
while, which costs some bytes or a word; words are never in conflict, as each is of one relay and
one moment, and the newest stands.

A relay sends its word to one relay of each other data centre; from there it goes around with the
gossip, in the datagrams that are sent anyway. A word names its members by a hash only; who hears of
a hash that is new asks the bearer for the records.

Words also pass through third data centres. What is known of a data centre then stays right when
only the way between two of them is cut.
"""

from __future__ import annotations

from typing import Final

import xxhash

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership.membership import is_live, live_instances, member_key, own_key
from turmericweir_core.membership.membership_gossip import send_heartbeat
from turmericweir_core.membership.membership_records import record_of, take_record
from turmericweir_core.membership.membership_roster import hash_keys
from turmericweir_core.messages.effects import Effect, SendPeer
from turmericweir_core.messages.peer_messages import MemberRecord, MembersAsk, MembersSend, Word
from turmericweir_core.state.membership_state import Member, RemoteCentre
from turmericweir_core.state.state import State

# So long after its start an instance passes on all words that it knows, and asks for members more
# often: all may have started at once, and who knows few instances bears a wrong share of all.
_YOUNG_S: Final = 10.0
_YOUNG_ASK_S: Final = 0.4
# Relays of one data centre whose counters are remembered.
_SEQS_KEEP: Final = 16


# --- sending ---------------------------------------------------------------------------------


def words_to_pass(state: State, now: float, to: str = "") -> list[Word]:
    """Pick the words that go with the next datagram, taking the data centres in turn."""
    fresh = [
        centre.word
        for _, centre in sorted(state.members.centres.items())
        if centre.word and now - centre.heard_at <= state.options.centre_suspect_s
        if centre.name != to
    ]
    room = len(fresh) if _is_young(state, now) else state.options.words_max
    return fresh if len(fresh) <= room else state.rng.sample(fresh, room)


def _is_young(state: State, now: float) -> bool:
    started_at = state.members.started_at
    return started_at is None or now - started_at < _YOUNG_S


def speak(state: State, now: float) -> list[Effect]:
    """Send the word on the own data centre to the others, if this instance is a relay."""
    own = live_instances(state, now, state.me.data_centre)
    if state.me.name not in relays(state, own):
        return []
    word = _own_word(state, own)
    partners = (_partner(state, now, name) for name in _other_centres(state))
    return [
        send_heartbeat(state, now, to, [word, *words_to_pass(state, now, to.data_centre)])
        for to in partners
        if to is not None
    ]


def relays(state: State, members: list[Member]) -> set[InstanceName]:
    """Pick the relays of a data centre among its members."""
    ranked = sorted(members, key=lambda each: _rank(each.name))
    return {each.name for each in ranked[: state.options.relays]}


def _rank(name: InstanceName) -> int:
    return xxhash.xxh32_intdigest(f"relay\0{name}".encode())


def _own_word(state: State, own: list[Member]) -> Word:
    return Word(
        data_centre=state.me.data_centre,
        relay=own_key(state),
        seq=state.members.seq,
        members_hash=hash_members(own),
        live=len(own),
        settings_offset=min(each.settings_offset for each in own),
    )


def hash_members(members: list[Member]) -> int:
    """Hash who the members are."""
    keys = [member_key(each.name, each.incarnation, each.leaving) for each in members]
    return hash_keys(tuple(sorted(keys)))


def _other_centres(state: State) -> list[str]:
    named = {each.data_centre for each in state.members.by_name.values()}
    return sorted(named - {state.me.data_centre})


def _partner(state: State, now: float, data_centre: str) -> Member | None:
    """Pick one of another data centre's relays, or anyone there while none is known to live."""
    there = [each for each in state.members.by_name.values() if each.data_centre == data_centre]
    live = [each for each in there if is_live(state, now, each)]
    chosen = relays(state, live)
    candidates = [each for each in live if each.name in chosen] or there
    candidates.sort(key=lambda each: each.name)
    return state.rng.choice(candidates) if candidates else None


# --- receiving -------------------------------------------------------------------------------


def take_words(state: State, now: float, sender: Member, words: list[Word]) -> list[Effect]:
    """Note words on other data centres, and ask for members that they bring news of."""
    effects: list[Effect] = []
    for word in words:
        if word.data_centre != state.me.data_centre:
            effects += _take_word(state, now, sender, word)
    return effects


def _take_word(state: State, now: float, sender: Member, word: Word) -> list[Effect]:
    centres = state.members.centres
    centre = centres.get(word.data_centre)
    if centre is None:
        centre = centres[word.data_centre] = RemoteCentre(word.data_centre)
    if word.seq <= centre.seqs.get(word.relay, -1):
        return []
    _note_seq(centre, word)
    if now < state.members.trust_after:
        # It may have lain in a socket of this process while that was paused.
        return []
    centre.word = word
    centre.heard_at = now
    _spread_offset(state, now, centre)
    return _ask_roster(state, now, sender, centre)


def _note_seq(centre: RemoteCentre, word: Word) -> None:
    # The newest is put last, so that the relay that spoke last is forgotten last.
    centre.seqs.pop(word.relay, None)
    centre.seqs[word.relay] = word.seq
    while len(centre.seqs) > _SEQS_KEEP:
        del centre.seqs[next(iter(centre.seqs))]


def _spread_offset(state: State, now: float, centre: RemoteCentre) -> None:
    """Let the members of a data centre have what its word says of them all."""
    assert centre.word is not None
    for name in centre.roster:
        each = state.members.by_name.get(name)
        if each is not None:
            each.heard_at = now
            each.settings_offset = max(each.settings_offset, centre.word.settings_offset)


def _ask_roster(state: State, now: float, sender: Member, centre: RemoteCentre) -> list[Effect]:
    assert centre.word is not None
    if centre.word.members_hash == centre.roster_hash:
        return []
    wait_s = _YOUNG_ASK_S if _is_young(state, now) else state.options.roster_ask_s
    if now - centre.asked_at < wait_s:
        return []
    centre.asked_at = now
    return [SendPeer(sender.name, sender.peer_address, MembersAsk(centre.name))]


def answer_roster(state: State, now: float, sender: Member, data_centre: str) -> list[Effect]:
    """Send the live members of a data centre that a peer asked for."""
    if data_centre == state.me.data_centre:
        members = live_instances(state, now, data_centre)
        return [_roster(sender, data_centre, hash_members(members), members)]
    centre = state.members.centres.get(data_centre)
    if centre is None or not centre.roster:
        return []
    found = [state.members.by_name[it] for it in centre.roster if it in state.members.by_name]
    found.sort(key=lambda each: each.name)
    return [_roster(sender, data_centre, centre.roster_hash, found)]


def _roster(sender: Member, data_centre: str, roster_hash: int, members: list[Member]) -> SendPeer:
    records = [record_of(each) for each in members]
    message = MembersSend(data_centre, roster_hash, records)
    return SendPeer(sender.name, sender.peer_address, message)


def take_roster(state: State, now: float, message: MembersSend) -> list[Effect]:
    """Note the live members of another data centre."""
    if message.data_centre == state.me.data_centre:
        return []
    centre = state.members.centres.get(message.data_centre)
    if centre is None or centre.word is None:
        return []
    is_newest = message.members_hash == centre.word.members_hash
    if not is_newest and len(message.records) <= len(centre.roster):
        # The bearer is older than the word that is held; the next word asks again. While a data
        # centre starts its members change faster than words go round, and more of them is better.
        return []
    taken = [_take_remote(state, now, record, message.data_centre) for record in message.records]
    centre.roster = frozenset(each.name for each in taken if each is not None)
    centre.roster_hash = message.members_hash
    if message.records:
        centre.region = message.records[0].region
    _spread_offset(state, now, centre)
    return _introduce(state, now, centre)


def _introduce(state: State, now: float, centre: RemoteCentre) -> list[Effect]:
    """Tell a member of another data centre of those there that its roster lacks.

    Failure: instances whose seeds are all in other data centres never meet within their own. Each
    speaks for it as its only member, and the sums of what all know lack most of it for good. They
    all speak to the seeds, so whoever hears of one soon after another brings them together.
    """
    live = [state.members.by_name[name] for name in centre.roster if name in state.members.by_name]
    lacking = [
        each
        for each in state.members.by_name.values()
        if each.data_centre == centre.name and each.name not in centre.roster and not each.leaving
        if now - each.heard_at <= state.options.centre_suspect_s
    ]
    if not live or not lacking:
        return []
    to = state.rng.choice(sorted(live, key=lambda each: each.name))
    lacking.sort(key=lambda each: each.name)
    records = [record_of(each) for each in lacking[: state.options.records_max]]
    return [SendPeer(to.name, to.peer_address, MembersSend(centre.name, 0, records))]


def _take_remote(state: State, now: float, record: MemberRecord, data_centre: str) -> Member | None:
    if record.data_centre != data_centre:
        return None
    # A data centre's own word on who lives there decides, whatever was heard before.
    return take_record(state, now, record, replace=True)
