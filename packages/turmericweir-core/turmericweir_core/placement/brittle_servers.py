"""Send brittle servers no more requests than they have room for.

A brittle server may let fewer requests wait than before, so only a part of its slots is used, and
nothing waits there. The slots are divided among the instances, and what is left over by rendezvous
hashing. Plain calls are over before others hear of them, so each instance has an equal part of a
plain server. Streams last longer, so a part of an engine's slots follows how many requests each
instance has there, as far as the others have heard of them. While some instance is out of reach
no part is larger than an equal one.

A refusal shows that there is less room than assumed. The part that is used shrinks by a fifth, and
grows again slowly. The server gets nothing from this instance for a while: long enough that all
instances together cause fewer refusals a second than it bears.
"""

from __future__ import annotations

from math import floor
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import announced_limits
from turmericweir_core.membership.brittle_statements import borne_refusals_s
from turmericweir_core.membership.subset import rendezvous_weight, target_subset
from turmericweir_core.messages.effects import Effect, Log
from turmericweir_core.state.brittle_state import LearntRoom, RequestSample, SharerTurn
from turmericweir_core.state.server_table import Server, any_target, note_pause

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Part of the slots that is used while nothing was refused. The rest covers requests of other
# instances that are not known here yet, and connections that take a slot for a moment.
_USED_SHARE: Final = 0.85
_LEAST_SHARE: Final = 0.2
_REFUSED_FACTOR: Final = 0.8
# Growth of the part after a refusal, per second.
_GROWTH_S: Final = 0.05
# Part of an engine's slots that is divided by use, and the requests that an idle instance is taken
# to have.
_BY_USE_SHARE: Final = 0.7
_IDLE_REQUESTS: Final = 0.2
# Time in which the other instances hear of a request that was sent to an engine.
_NEWS_S: Final = 0.3
_PAUSE_MIN_S: Final = 0.5
_PAUSE_MAX_S: Final = 8.0


def servers_with_room(state: State, now: float, servers: list[Server]) -> list[Server]:
    """Return the servers without those that are brittle and may have no room."""
    if not state.brittle.by_server:
        return servers
    return [server for server in servers if has_room(state, now, server)]


def has_room(state: State, now: float, server: Server) -> bool:
    """Return whether a server may be sent a request, as far as its brittleness goes."""
    if borne_refusals_s(state, now, server.service.name) is None:
        return True
    slots = max(1, floor(_used_share(state, now, server) * server.slots))
    if server.service.kind is ServiceKind.MODEL:
        return _has_engine_room(state, now, server, slots)
    own_slots = _own_slots(state, now, server, slots)
    if not own_slots:
        return not server.in_flight and _may_use_other_slots(state, now, server, slots)
    return len(server.in_flight) < own_slots


def _has_engine_room(state: State, now: float, server: Server, slots: int) -> bool:
    turn = _turn(state, now, server)
    missing = max(0, turn.sharers - state.subsets.instances)
    requests = _request_count(state, server)
    # Those that are out of reach go on using their equal parts.
    if requests >= slots * (1.0 - missing / max(1, turn.sharers)):
        return False
    share = _use_share(state, now, server, requests)
    if missing:
        share = min(share, 1.0 / turn.sharers)
    own_slots = _rounded(turn, slots * share)
    if not own_slots:
        return not server.in_flight and _may_use_other_slots(state, now, server, slots)
    return len(server.in_flight) < own_slots


def _use_share(state: State, now: float, server: Server, requests: int) -> float:
    """Return the share of an engine's slots that this instance may use by what it has there.

    The sum over all instances is one as long as they have heard the same of each other.
    """
    sharers = _sharer_count(state, _turn(state, now, server))
    own_requests = _heard_requests(state, now, server)
    all_requests = own_requests + max(0, requests - len(server.in_flight))
    used_share = (own_requests + _IDLE_REQUESTS) / (all_requests + sharers * _IDLE_REQUESTS)
    return (1.0 - _BY_USE_SHARE) / sharers + _BY_USE_SHARE * used_share


def _request_count(state: State, server: Server) -> int:
    """Count the requests of all instances at a server, by their last reports, old ones included.

    Prevents the others from taking the room of an instance whose reports do not arrive.
    """
    record = engine_model.engine_info_of(state, server.entry.name)
    own_requests = len(record.prefills) + len(record.running)
    return own_requests + sum(len(each.pending) + each.running for each in record.peers.values())


def _may_use_other_slots(state: State, now: float, server: Server, slots: int) -> bool:
    """Return whether an instance that has no slots at any server may use one of others."""
    is_little_used = 2 * _request_count(state, server) < slots
    return is_little_used and _is_without_slots(state, now, server)


def _heard_requests(state: State, now: float, server: Server) -> int:
    """Return how many of this instance's requests at a server all others have heard of."""
    count = len(server.in_flight)
    sample = state.brittle.samples.get(server.entry.name)
    if sample is None or now - sample.taken_at >= 2 * _NEWS_S:
        sample = state.brittle.samples[server.entry.name] = RequestSample(now, count, count)
    elif now - sample.taken_at >= _NEWS_S:
        sample = RequestSample(now, count, sample.count)
        state.brittle.samples[server.entry.name] = sample
    return min(count, sample.previous_count)


def _used_share(state: State, now: float, server: Server) -> float:
    room = state.brittle.rooms.get(server.entry.name)
    if room is None:
        return _USED_SHARE
    return min(_USED_SHARE, room.share + _GROWTH_S * (now - room.computed_at))


def _own_slots(state: State, now: float, server: Server, slots: int) -> int:
    """Return how many of some slots this instance may use if all use the same number."""
    turn = _turn(state, now, server)
    return _rounded(turn, slots / _sharer_count(state, turn))


def _rounded(turn: SharerTurn, slots: float) -> int:
    """Round a number of slots, up at the instances of the first places."""
    whole_slots = floor(slots)
    return whole_slots + (turn.place < round((slots - whole_slots) * turn.sharers))


def _sharer_count(state: State, turn: SharerTurn) -> int:
    return max(1, turn.sharers, state.announced_limits.sharers_min)


def _turn(state: State, now: float, server: Server) -> SharerTurn:
    sharers = announced_limits.sharers_of(state, now, server)
    version = state.announced_limits.sharers_version
    turn = state.brittle.turns.get(server.entry.name)
    if turn is None or turn.sharers_version != version:
        own_weight = rendezvous_weight(server.entry.name, state.me.name)
        weights = (rendezvous_weight(server.entry.name, each) for each in sharers)
        place = sum(1 for weight in weights if weight > own_weight)
        turn = SharerTurn(version, len(sharers), place)
        state.brittle.turns[server.entry.name] = turn
    return turn


def _is_without_slots(state: State, now: float, server: Server) -> bool:
    """Return whether this instance has no slot at any server of a service that it uses."""
    for other in target_subset(state, any_target(server)).servers:
        slots = max(1, floor(_used_share(state, now, other) * other.slots))
        if _own_slots(state, now, other, slots):
            return False
    return True


def note_refused(state: State, now: float, server: Server) -> list[Effect]:
    """Use less of a brittle server that refused a request, and none of it for a while."""
    refusals_s = borne_refusals_s(state, now, server.service.name)
    if refusals_s is None:
        return []
    share = max(_LEAST_SHARE, _REFUSED_FACTOR * _used_share(state, now, server))
    state.brittle.rooms[server.entry.name] = LearntRoom(share, now)
    instances = len(announced_limits.sharers_of(state, now, server))
    pause_s = min(_PAUSE_MAX_S, max(_PAUSE_MIN_S, instances / max(1.0, refusals_s)))
    # Spreads the instances over the time after it.
    pause_s *= 1.0 + 0.5 * state.rng.random()
    note_pause(state.servers, now, server, pause_s)
    fields = {"peer": server.entry.name, "share": round(share, 2), "pause_s": round(pause_s, 2)}
    return [Log("brittle_refused", fields)]
