"""Settings as one whole document, in versions that only increase.

The platform's store has the newest document. An instance reads it there, or receives it from a
peer. An older version never replaces a newer one during the life of a process.

A new version may revoke a customer's key, which must take effect within a bound on every instance,
also during a partition. This module therefore tracks a *proof*: the send time of the newest
answered read, by this instance or by a peer. The local version was the newest one at that time. A
read without an answer proves nothing, and neither does one that may lack what the store has
acknowledged (`eras`). The age of a peer's proof is counted from the time of the
request for it, so a delayed answer never makes the proof look newer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.request import Request
from turmericweir_core.membership import eras, membership, store_duty
from turmericweir_core.messages.effects import (
    Count,
    DecodeDocument,
    Effect,
    Log,
    SendDatagram,
    SendPeer,
)
from turmericweir_core.messages.events import DocumentConfirmed, DocumentRead, DocumentUnreadable
from turmericweir_core.messages.settings_messages import DocumentAsk, DocumentProof, DocumentSend
from turmericweir_core.state import server_table
from turmericweir_core.state.document_state import DocumentState
from turmericweir_core.store import document_packing

if TYPE_CHECKING:
    from turmericweir_core.state.membership_state import Member
    from turmericweir_core.state.state import State

_NEVER: Final = float("-inf")
# Peers announce each proof. A proof older than the read interval by this much is requested without
# an announcement, as that may have been lost.
_UNANNOUNCED_S: Final = 0.4
# Age of the proof from which on any peer is asked: neither the store nor its readers are reachable.
_ASK_ANY_PEER_S: Final = 3.0
# A peer that announced servers is asked for this much longer than the read interval.
_ANNOUNCER_EXTRA_S: Final = 0.6
# One request in this many goes to the picked readers or relays, the others to the last announcer.
_OTHER_PEER_EVERY: Final = 3
# Delay before peers are asked for the first document; the store usually answers sooner.
_FIRST_REQUEST_DELAY_S: Final = 0.5
# Interval between two requests, each to another peer.
_REQUEST_INTERVAL_S: Final = 0.3
# Request number of a proof that is sent as an announcement, not as an answer.
_NO_REQUEST: Final = 0
# How long an instance waits for a document that a peer is sending, and how long the peer does not
# send it again. Prevents repeated copies of a large document from filling slow links. The peer's
# time is shorter, so that it sends the document when it is asked again.
_AWAIT_S: Final = 1.0
_RESEND_AFTER_S: Final = 0.8
# Requests that await an answer; older ones are dropped.
_PENDING_REQUESTS_MAX: Final = 16


def proof_age_s(state: State, now: float) -> float:
    """Return the age in seconds of the proof that the local settings are the newest."""
    return 0.0 if state.document is None else now - state.document.proof_at


def can_reject_by_settings(state: State, now: float) -> bool:
    """Return whether the settings are fresh enough to reject a caller because of them.

    Prevents a partitioned instance from rejecting requests for a new route or key, which callers
    would not retry.
    """
    return proof_age_s(state, now) <= state.options.store.deny_proof_max_age_s


def can_serve_key(state: State, now: float, req: Request) -> bool:
    """Return whether the proof is fresh enough to send a request with a key.

    Prevents a partitioned instance from serving a revoked key. The maximum age is below the one
    promised to operators, which leaves time for the request to reach its server.
    """
    return not req.keyed or proof_age_s(state, now) <= state.options.key_proof_s


# --- the store -------------------------------------------------------------------------------


def on_read(state: State, now: float, event: DocumentRead) -> list[Effect]:
    """Apply a newer document; ignore an older one."""
    document = _document(state)
    effects = eras.note_era(state, now, event.era)
    is_newer = event.version > document.version
    if is_newer:
        effects.append(_apply_document(state, document, event))
    elif event.version < document.version:
        fields = {"version": event.version, "in_force": document.version, "era": event.era}
        effects.append(Log("settings_older", fields))
    if event.requested_at is not None:
        effects += _on_answered(state, now, event.requested_at, event.version, event.era)
    elif is_newer:
        effects += _announce_proof(state, store_duty.relay_receivers(state, now))
    return effects


def _apply_document(state: State, document: DocumentState, event: DocumentRead) -> Log:
    log = Log(
        "settings_in_force",
        {
            "version": event.version,
            "before": document.version,
            "from": event.peer or "store",
            "routes": len(event.config.routes.by_host_and_prefix),
            "customers": len(event.config.customers),
        },
    )
    document.version = event.version
    document.raw = event.raw
    document.packed = b""
    document.sent_at.clear()
    document.awaited_until = _NEVER
    state.config = event.config
    state.has_settings = True
    server_table.rebuild_table(state.servers, state.config)
    return log


def on_confirmed(state: State, now: float, event: DocumentConfirmed) -> list[Effect]:
    """Record a read that was answered without a newer version."""
    effects = eras.note_era(state, now, event.era)
    return effects + _on_answered(state, now, event.requested_at, event.version, event.era)


def _on_answered(
    state: State, now: float, requested_at: float, version: int, era: int
) -> list[Effect]:
    """Record an answered read; it is a proof unless the store lacks acknowledged versions."""
    document = _document(state)
    document.read_at = max(document.read_at, requested_at)
    if version < document.version or not eras.is_proof(state, era, requested_at):
        return []
    effects = eras.note_settled(state, now, era)
    return effects + _record_proof(state, now, requested_at)


def _record_proof(state: State, now: float, requested_at: float) -> list[Effect]:
    document = _document(state)
    is_first = document.local_proof_at == _NEVER
    document.local_proof_at = max(document.local_proof_at, requested_at)
    document.proof_at = max(document.proof_at, requested_at)
    # All instances read at the start, so the first proof is not announced.
    return [] if is_first else _announce_proof(state, store_duty.read_receivers(state, now))


def _announce_proof(state: State, peers: list[Member]) -> list[Effect]:
    """Announce a new proof or a newer version to peers.

    The datagram may be delayed and proves nothing by itself; the peers request the proof.
    """
    announcement = DocumentProof(_document(state).version, _NO_REQUEST, 0.0)
    return [SendDatagram(peer.name, peer.peer_address, announcement) for peer in peers]


def on_unreadable(event: DocumentUnreadable) -> list[Effect]:
    """Keep the current settings if a newer document cannot be decoded.

    The read is no proof of the current settings, as the document may revoke a key.
    """
    fields = {"step": "decode document", "peer": event.source, "error": event.error}
    return [Count("settings.unreadable"), Log("settings_unreadable", fields)]


# --- peers -----------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Ask a peer if the proof is stale or a peer has a newer version."""
    document = _document(state)
    if document.started_at is None:
        document.started_at = now
    if now < document.next_query_at or now < document.awaited_until:
        return []
    peer = _peer_to_ask(state, now)
    if peer is None:
        return []
    document.next_query_at = now + _REQUEST_INTERVAL_S
    return _request_proof(state, now, peer)


def _peer_to_ask(state: State, now: float) -> Member | None:
    """Return a peer to ask: one with a newer version, a reader of the store, or any peer."""
    document = _document(state)
    if document.version == 0 and document.started_at is not None:
        peers = (
            _live_peers(state, now) if now - document.started_at > _FIRST_REQUEST_DELAY_S else []
        )
        return state.rng.choice(peers) if peers else None
    if any(member.settings_offset > document.version for member in state.members.by_name.values()):
        newer_peers = [
            member
            for member in _live_peers(state, now)
            if member.settings_offset > document.version
        ]
        if newer_peers:
            return state.rng.choice(newer_peers)
    if now - document.proof_at > _ASK_ANY_PEER_S:
        peers = _live_peers(state, now)
        return state.rng.choice(peers) if peers else None
    if now - document.proof_at <= state.options.store.settings_read_s + _UNANNOUNCED_S:
        return None
    announcer = _last_announcer(state, now)
    if announcer is not None and document.query_number % _OTHER_PEER_EVERY:
        # Other peers are asked from time to time, as the announcer may have failed.
        return announcer
    others = store_duty.settings_sources(state, now)
    return state.rng.choice(others) if others else None


def _live_peers(state: State, now: float) -> list[Member]:
    return [
        member for member in membership.live_instances(state, now) if member.name != state.me.name
    ]


def _last_announcer(state: State, now: float) -> Member | None:
    """Return the peer that most recently announced servers: it can reach the store.

    Prevents each instance from reading for itself while the picked readers cannot reach the store.
    """
    registry = state.registry
    if (
        registry.updated_by is None
        or now - registry.updated_at > state.options.store.servers_read_s + _ANNOUNCER_EXTRA_S
    ):
        return None
    return membership.find_member(state, registry.updated_by)


def _request_proof(state: State, now: float, peer: Member) -> list[Effect]:
    document = _document(state)
    document.query_number += 1
    document.queries_sent_at[document.query_number] = now
    document.queries_sent_at.pop(document.query_number - _PENDING_REQUESTS_MAX, None)
    request = DocumentAsk(document.version, document.query_number, can_unpack=True)
    return [SendDatagram(peer.name, peer.peer_address, request)]


def on_ask(state: State, now: float, sender: InstanceName, request: DocumentAsk) -> list[Effect]:
    """Send the version and proof to a peer; send the document too if the peer's is older."""
    document = _document(state)
    peer = membership.find_member(state, sender)
    if peer is None or document.version == 0:
        return []
    effects: list[Effect] = []
    if document.version > request.version and not _is_in_transfer(document, now, sender):
        document.sent_at[sender] = now
        message = _document_message(document, can_unpack=request.can_unpack)
        effects.append(SendPeer(sender, peer.peer_address, message))
    age_s = now - document.proof_at
    if age_s <= state.options.key_proof_s:
        proof = DocumentProof(document.version, request.request_number, age_s, state.eras.settled)
        effects.append(SendDatagram(sender, peer.peer_address, proof))
    return effects


def _is_in_transfer(document: DocumentState, now: float, peer: InstanceName) -> bool:
    """Return whether this version was sent to a peer so recently that it may not have arrived."""
    return now - document.sent_at.get(peer, _NEVER) < _RESEND_AFTER_S


def _document_message(document: DocumentState, *, can_unpack: bool) -> DocumentSend:
    if not can_unpack:
        return DocumentSend(document.version, document.raw)
    if not document.packed:
        document.packed = document_packing.pack(document.raw)
    return DocumentSend(document.version, document.packed, is_packed=True)


def on_send(state: State, sender: InstanceName, message: DocumentSend) -> list[Effect]:
    """Decode a peer's newer document; the result is processed like one that was read."""
    if message.version <= _document(state).version:
        return []
    raw = message.raw
    if message.is_packed:
        try:
            raw = document_packing.unpack(message.raw)
        except ValueError as exc:
            return on_unreadable(DocumentUnreadable(sender, str(exc)))
    return [DecodeDocument(raw, sender)]


def on_proof(
    state: State, now: float, sender: InstanceName, message: DocumentProof
) -> list[Effect]:
    """Record a peer's proof of the local version, or request the proof that the peer announced."""
    document = _document(state)
    if message.request_number == _NO_REQUEST:
        peer = membership.find_member(state, sender)
        is_awaited = message.version > document.version and now < document.awaited_until
        return _request_proof(state, now, peer) if peer is not None and not is_awaited else []
    requested_at = document.queries_sent_at.pop(message.request_number, None)
    if requested_at is None or message.version > document.version:
        # The peer sends the newer document as well; a later request returns a proof for it.
        if message.version > document.version:
            document.awaited_until = now + _AWAIT_S
        return []
    effects = eras.note_settled(state, now, message.era)
    proof_at = requested_at - max(0.0, message.age_s)
    if proof_at <= document.proof_at:
        return effects
    document.proof_at = proof_at
    return effects + _announce_proof(state, store_duty.relay_receivers(state, now))


def _document(state: State) -> DocumentState:
    if state.document is None:
        state.document = DocumentState()
    return state.document
