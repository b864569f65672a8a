"""Find the release of a stream that a caller takes up: here, or at the peers that hold copies.

An instance that does not know the stream asks the peers that follow its key on the rings of all
data centres, first two of each, then more, since views of the membership differ. One answer is
enough. If none knows the stream, it can have begun only at a release that the service has had
lately; so it goes on if this instance and all peers that answered have seen only one, and one of
them knows the history of releases (`stream_records`). An instance that has just started may not
know it yet, nor have read the bindings that are in the store; the request waits for that while it
has time. Otherwise it is refused. A caller that names no stream is an older one, and is treated in
the same way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias

from msgspec import Struct

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.request import Request, RequestPhase
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.record_messages import RecordsRead
from turmericweir_core.messages.stream_messages import StreamAsk, StreamsBound, StreamUnknown
from turmericweir_core.state.stream_state import StreamBinding, StreamKey, StreamLookup
from turmericweir_core.streams import stream_bindings, stream_copies, stream_records

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
# Age up to which the list of servers shows all releases in service.
_LIST_FRESH_S: Final = 3.0


class Conclusion(Struct, frozen=True):
    """What shows that a service has had one release only."""

    # Age of the list of servers.
    list_age_s: float
    # Whether this instance, or a peer that answered, knows the history of releases.
    has_history: bool
    is_vouched: bool = False
    # Peers that do not know the stream.
    ignorant_peers: int = 0


class Found(Struct, frozen=True):
    """The release of the stream is known."""

    binding: StreamBinding
    # What it was concluded from; None if the stream itself is known.
    conclusion: Conclusion | None = None


class Unknown(Struct, frozen=True):
    """Nobody knows the release of the stream, and the service may have had several."""

    # When more may be known; None if nothing more is expected.
    retry_after_s: float | None = None


class Pending(Struct, frozen=True):
    """Peers were asked."""

    effects: list[Effect]


Result: TypeAlias = Found | Unknown | Pending


def look_up(state: State, now: float, req: Request) -> Result:
    """Look up the stream that a request takes up."""
    if not req.stream_id and stream_records.has_history(state, now):
        return _by_service(state, now, req, None)
    # Nobody knows a stream without a name, but peers may know that there was one release only.
    key = stream_bindings.key_of(req.customer, req.stream_id or f"\0{req.request_id}")
    binding = stream_bindings.find_binding(state, now, key)
    if binding is not None:
        return Found(binding)
    lookup = state.streams.lookups.get(key)
    if lookup is not None:
        lookup.request_ids.append(req.request_id)
        return Pending([])
    lookup = state.streams.lookups[key] = StreamLookup(now, [req.request_id])
    return Pending(_ask(state, key, lookup))


def _by_service(
    state: State, now: float, req: Request, lookup: StreamLookup | None
) -> Found | Unknown:
    service = state.config.service_by_target.get(req.target)
    release = None if service is None else stream_bindings.sole_release(state, now, service.name)
    if release is None:
        return Unknown()
    conclusion = Conclusion(
        now - state.registry.read_at,
        stream_records.has_history(state, now),
        is_vouched=lookup is not None and lookup.is_vouched,
        ignorant_peers=0 if lookup is None else len(lookup.ignorant),
    )
    return Found(StreamBinding(release, now, state.me.name), conclusion)


def _ask(state: State, key: StreamKey, lookup: StreamLookup) -> list[Effect]:
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
    ask = StreamAsk(key)
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
        has_history = stream_records.has_history(state, now)
        answer = StreamUnknown(key, _divided_services(state, now), has_history)
    return [SendDatagram(sender, peer.peer_address, answer)]


def _divided_services(state: State, now: float) -> list[str]:
    """Return the services that have had servers of several releases lately."""
    releases = stream_bindings.late_releases(state, now)
    return sorted(name for name, each in releases.items() if len(each) > 1)


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
    """Record that a peer does not know a stream."""
    lookup = state.streams.lookups.get(StreamKey(message.key))
    if lookup is not None:
        lookup.ignorant.add(sender)
        lookup.divided_services |= set(message.divided_services)
        lookup.is_vouched |= message.has_history


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
    is_starting = membership.uptime_s(state, now) < _START_S
    for key, lookup in list(state.streams.lookups.items()):
        have_all_answered = bool(lookup.asked) and lookup.asked <= lookup.ignorant
        time_s = _LOOKUP_AT_START_S if is_starting else _LOOKUP_S
        if now - lookup.started_at >= time_s or (
            have_all_answered and lookup.waves >= len(_ASKED_BY_WAVE)
        ):
            resolved += _conclude(state, now, key, lookup)
            if key in state.streams.lookups:
                effects += stream_records.request_read(state, now)
        else:
            effects += _ask(state, key, lookup)
    return resolved, effects


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
        result = _by_peers(state, now, req, lookup)
        if isinstance(result, Unknown) and now < _wait_until(state, req, lookup, result):
            continue
        lookup.request_ids.remove(req.request_id)
        resolved.append(Resolved(req, result))
    if not _waiting(state, lookup):
        del state.streams.lookups[key]
    return resolved


def _wait_until(state: State, req: Request, lookup: StreamLookup, result: Unknown) -> float:
    """Return until when a request waits for what is not known yet."""
    if state.streams.records_read_at < lookup.started_at:
        # The store may hold the binding.
        return min(_last_wait(req), lookup.started_at + _RECORDS_WAIT_S)
    if result.retry_after_s is None:
        return float("-inf")
    known_at = stream_records.known_at(state)
    if not stream_records.is_era_settled(state) or known_at <= _last_wait(req):
        return _last_wait(req)
    return float("-inf")


def _last_wait(req: Request) -> float:
    """Return the time from which on a request could not be served any more."""
    return req.deadline - _SERVE_S


def _by_peers(state: State, now: float, req: Request, lookup: StreamLookup) -> Found | Unknown:
    """Conclude from the releases that this instance and its peers have seen."""
    service = state.config.service_by_target.get(req.target)
    if service is None or service.name in lookup.divided_services:
        return Unknown()
    if len(stream_bindings.late_releases(state, now).get(service.name, ())) > 1:
        return Unknown()
    if not lookup.is_vouched and not stream_records.has_history(state, now):
        retry_after_s = stream_records.known_at(state) - now
        return Unknown(min(max(0.0, retry_after_s), _RETRY_AFTER_MAX_S))
    if not lookup.ignorant and now - state.registry.read_at > _LIST_FRESH_S:
        # Cut off from its peers and from the store, it may not know of a later version.
        return Unknown()
    return _by_service(state, now, req, lookup)
