"""Find the release of a stream that a caller takes up: here, or at the peers that hold copies.

An instance that does not know the stream asks the peers that follow its key on the rings of all
data centres, first two of each, then more, since views of the membership differ. One answer is
enough. If none knows the stream, `sole_release` tells whether it can have begun at one release
only. An instance that has just started may not have read the bindings that are in the store, and
one whose list of servers is older than the request may not know all releases; the request waits for
both while it has time. Otherwise it is refused. A caller that names no stream is an older one, and
its request goes on by the releases alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias, assert_never

from msgspec import Struct

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.request import Request, RequestPhase
from turmericweir_core.membership import membership, store_duty
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.record_messages import RecordsRead
from turmericweir_core.messages.stream_messages import StreamAsk, StreamsBound, StreamUnknown
from turmericweir_core.state.stream_state import StreamBinding, StreamKey, StreamLookup
from turmericweir_core.streams import (
    sole_release,
    stream_bindings,
    stream_copies,
    stream_records,
)
from turmericweir_core.streams.sole_release import NoHistory, OldList, Several, Sole

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Peers of each data centre that are asked, wave by wave.
_ASKED_BY_WAVE: Final = (2, 4, 8)
# Time for an answer, and for one while this instance may not have found its peers yet.
_LOOKUP_S: Final = 0.45
_LOOKUP_AT_START_S: Final = 1.2
_START_S: Final = 5.0
# Time for reading the own records in the store.
_RECORDS_WAIT_S: Final = 1.5
# Time before its deadline from which on a request that waits is refused.
_SERVE_S: Final = 1.0
# Upper bound of the delay after which a caller comes again for a stream of unknown release.
_RETRY_AFTER_MAX_S: Final = 5.0
# Time for reading the list of servers again, the interval between two attempts, and the peers of
# each data centre that are asked for it.
_LIST_WAIT_S: Final = 1.5
_LIST_ASK_INTERVAL_S: Final = 0.2
_ASKED_FOR_LIST: Final = 2
# Size of the number of a question.
_NUMBER_BITS: Final = 62


class Found(Struct, frozen=True):
    """The release of the stream is known."""

    binding: StreamBinding
    # What it was concluded from; None if the stream itself is known.
    conclusion: Sole | None = None


class Unknown(Struct, frozen=True):
    """Nobody knows the release of the stream, and the service may have had several."""

    # When more may be known; None if nothing more is expected.
    retry_after_s: float | None = None
    # Whether a newer list of servers may show that there was one release only.
    awaits_list: bool = False


class Pending(Struct, frozen=True):
    """Peers were asked."""

    effects: list[Effect]


Result: TypeAlias = Found | Unknown | Pending


def look_up(state: State, now: float, req: Request) -> Result:
    """Look up the stream that a request takes up."""
    is_named = bool(req.stream_id)
    key = stream_bindings.key_of(req.customer, req.stream_id or f"\0{req.request_id}")
    binding = stream_bindings.find_binding(state, now, key)
    if binding is not None:
        return Found(binding)
    lookup = state.streams.lookups.get(key)
    if lookup is not None:
        lookup.request_ids.append(req.request_id)
        return Pending([])
    service = state.config.service_by_target.get(req.target)
    service_name = "" if service is None else service.name
    lookup = StreamLookup(now, [req.request_id], service_name, is_named=is_named)
    state.streams.lookups[key] = lookup
    if _needs_list_only(state, now, lookup):
        return Pending(_ask_for_list(state, now, key, lookup))
    return Pending(_ask(state, now, key, lookup))


def _needs_list_only(state: State, now: float, lookup: StreamLookup) -> bool:
    """Return whether no peer and no record can tell more than a new list of servers."""
    return not lookup.is_named and stream_records.has_history(state, now)


def _ask(state: State, now: float, key: StreamKey, lookup: StreamLookup) -> list[Effect]:
    """Ask the next peers."""
    count = _ASKED_BY_WAVE[min(lookup.waves, len(_ASKED_BY_WAVE) - 1)]
    lookup.waves += 1
    holders = [
        holder
        for holder in stream_copies.lookup_holders(state.streams.rings, key, count)
        # The datagram or its answer may have been lost.
        if holder.name not in lookup.ignorant
    ]
    lookup.asked |= {holder.name for holder in holders}
    ask = _next_question(state, now, key, lookup)
    return [SendDatagram(holder.name, holder.address, ask) for holder in holders]


def _next_question(
    state: State, now: float, key: StreamKey, lookup: StreamLookup, *, wants_list: bool = False
) -> StreamAsk:
    # Drawn, so that an answer to an earlier process of this name has no number of this one.
    number = 1 + state.rng.getrandbits(_NUMBER_BITS)
    lookup.questions[number] = now
    return StreamAsk(key, number, lookup.service, wants_list)


def _ask_for_list(state: State, now: float, key: StreamKey, lookup: StreamLookup) -> list[Effect]:
    """Read the list of servers again; if that does not succeed at once, have peers do it."""
    if now < lookup.next_list_ask_at:
        return []
    lookup.next_list_ask_at = now + _LIST_ASK_INTERVAL_S
    store_duty.want_registry_read(state, now)
    if lookup.list_wanted_at is None:
        lookup.list_wanted_at = now
        return []
    ask = _next_question(state, now, key, lookup, wants_list=True)
    holders = stream_copies.lookup_holders(state.streams.rings, key, _ASKED_FOR_LIST)
    return [SendDatagram(holder.name, holder.address, ask) for holder in holders]


# --- answers ---------------------------------------------------------------------------------


def on_ask(state: State, now: float, sender: InstanceName, ask: StreamAsk) -> list[Effect]:
    """Answer what is known here of a stream, and otherwise of the services' releases."""
    peer = membership.find_member(state, sender)
    if peer is None:
        return []
    key = StreamKey(ask.key)
    binding = stream_bindings.find_binding(state, now, key)
    answer: StreamsBound | StreamUnknown
    if binding is not None:
        answer = StreamsBound([stream_copies.row_of(now, key, binding)])
    else:
        answer = sole_release.describe(state, now, key, ask)
        if ask.wants_list:
            store_duty.want_registry_read(state, now)
    return [SendDatagram(sender, peer.peer_address, answer)]


class Resolved(Struct, frozen=True):
    """A request whose lookup has ended."""

    req: Request
    result: Found | Unknown


def on_bound(
    state: State, now: float, sender: InstanceName, message: StreamsBound
) -> list[Resolved]:
    """Record bindings that a peer sent, and end the lookups that waited for them."""
    stream_bindings.on_suspected(state, now, message.suspected_servers)
    resolved: list[Resolved] = []
    for row in message.rows:
        key = StreamKey(row.key)
        stream_bindings.record(state, now, key, stream_copies.binding_of(now, sender, row))
        binding = stream_bindings.find_binding(state, now, key)
        if binding is not None and key in state.streams.lookups:
            resolved += _end(state, key, Found(binding))
    return resolved


def on_unknown(state: State, sender: InstanceName, message: StreamUnknown) -> None:
    """Record that a peer does not know a stream, and what it has seen of the service."""
    lookup = state.streams.lookups.get(StreamKey(message.key))
    if lookup is None or (message.number and message.number not in lookup.questions):
        # The answer to an earlier lookup, since when the peer may have learnt of the stream.
        return
    lookup.ignorant.add(sender)
    sole_release.note_statement(lookup, message)


def on_records_read(state: State, now: float, event: RecordsRead) -> list[Resolved]:
    """Take over what the store holds, and end the lookups that waited for it."""
    stream_records.on_records_read(state, now, event)
    resolved: list[Resolved] = []
    for key in list(state.streams.lookups):
        binding = stream_bindings.find_binding(state, now, key)
        if binding is not None:
            resolved += _end(state, key, Found(binding))
    return resolved


def on_tick(state: State, now: float) -> tuple[list[Resolved], list[Effect]]:
    """Ask further peers, or end the lookups to which nobody knows an answer."""
    resolved: list[Resolved] = []
    effects: list[Effect] = []
    for key, lookup in list(state.streams.lookups.items()):
        if not _have_peers_answered(state, now, lookup):
            effects += _ask(state, now, key, lookup)
            continue
        resolved += _conclude(state, now, key, lookup)
        if key not in state.streams.lookups:
            continue
        effects += _ask_for_list(state, now, key, lookup)
        if not _needs_list_only(state, now, lookup):
            effects += stream_records.request_read(state, now)
    return resolved, effects


def _have_peers_answered(state: State, now: float, lookup: StreamLookup) -> bool:
    """Return whether all peers that were asked have answered, or had time to."""
    if _needs_list_only(state, now, lookup):
        return True
    is_starting = membership.uptime_s(state, now) < _START_S
    time_s = _LOOKUP_AT_START_S if is_starting else _LOOKUP_S
    have_all_answered = bool(lookup.asked) and lookup.asked <= lookup.ignorant
    return now - lookup.started_at >= time_s or (
        have_all_answered and lookup.waves >= len(_ASKED_BY_WAVE)
    )


def _end(state: State, key: StreamKey, found: Found) -> list[Resolved]:
    lookup = state.streams.lookups.pop(key)
    return [Resolved(req, found) for req in _waiting(state, lookup)]


def _waiting(state: State, lookup: StreamLookup) -> list[Request]:
    requests = [state.requests.get(each) for each in lookup.request_ids]
    return [each for each in requests if each is not None and each.phase is RequestPhase.LOOKING_UP]


def _conclude(state: State, now: float, key: StreamKey, lookup: StreamLookup) -> list[Resolved]:
    """End the lookup of each request that gains nothing by waiting longer."""
    resolved: list[Resolved] = []
    for req in _waiting(state, lookup):
        result = _by_releases(state, now, req, lookup)
        if isinstance(result, Unknown) and now < _wait_until(state, now, req, lookup, result):
            continue
        lookup.request_ids.remove(req.request_id)
        resolved.append(Resolved(req, result))
    if not _waiting(state, lookup):
        del state.streams.lookups[key]
    return resolved


def _wait_until(
    state: State, now: float, req: Request, lookup: StreamLookup, result: Unknown
) -> float:
    """Return until when a request waits for what is not known yet."""
    has_read_records = state.streams.records_read_at >= lookup.started_at
    if not has_read_records and not _needs_list_only(state, now, lookup):
        # The store may hold the binding.
        return min(_last_wait(req), lookup.started_at + _RECORDS_WAIT_S)
    if result.awaits_list:
        return min(_last_wait(req), (lookup.list_wanted_at or now) + _LIST_WAIT_S)
    if result.retry_after_s is None:
        return float("-inf")
    known_at = stream_records.known_at(state)
    if not stream_records.is_era_settled(state) or known_at <= _last_wait(req):
        return _last_wait(req)
    return float("-inf")


def _last_wait(req: Request) -> float:
    """Return the time from which on a request could not be served any more."""
    return req.deadline - _SERVE_S


def _by_releases(state: State, now: float, req: Request, lookup: StreamLookup) -> Found | Unknown:
    """Conclude from the releases that this instance and its peers have seen."""
    match sole_release.conclude(state, now, lookup, req.arrived_at):
        case Several():
            return Unknown()
        case NoHistory():
            retry_after_s = stream_records.known_at(state) - now
            return Unknown(min(max(0.0, retry_after_s), _RETRY_AFTER_MAX_S))
        case OldList():
            return Unknown(awaits_list=True)
        case Sole() as sole:
            return Found(StreamBinding(sole.release, now, state.me.name), sole)
        case unreachable:
            assert_never(unreachable)
