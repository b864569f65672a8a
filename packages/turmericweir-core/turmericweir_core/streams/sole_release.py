"""Conclude that a stream began at the only release of its service, though nobody knows the stream.

That takes two proofs. The history of releases must be known here, or to a peer, up to the time from
which on this instance has followed the entries itself. And the list of servers must have been read
after the caller asked, by this instance or by a peer that knows the history and says when: a
release that is not on it then had no server yet when the stream began. Not having heard of another
release proves nothing, since an instance that is cut off hears of none.

A peer's list is dated by the time at which it was asked, less the age that it states, so a delayed
answer looks older, never newer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from msgspec import Struct

from turmericweir_core.base.release import Release
from turmericweir_core.messages.stream_messages import StreamAsk, StreamUnknown
from turmericweir_core.state.stream_state import StreamKey, StreamLookup
from turmericweir_core.streams import stream_bindings, stream_records

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


class Several(Struct, frozen=True):
    """The service has had several releases, or none is known."""


class NoHistory(Struct, frozen=True):
    """Releases may have come and gone unseen."""


class OldList(Struct, frozen=True):
    """The newest list is older than the request."""


class Sole(Struct, frozen=True):
    """The service has had one release only."""

    release: Release
    # Age of the list that shows it.
    list_age_s: float
    # Whether this instance knows the history, and whether the list is that of a peer.
    has_history: bool
    is_vouched: bool
    # Peers that do not know the stream.
    ignorant_peers: int


Verdict: TypeAlias = Several | NoHistory | OldList | Sole


def conclude(state: State, now: float, lookup: StreamLookup, asked_at: float) -> Verdict:
    """Conclude from what this instance and its peers have seen of a service until a time."""
    releases = stream_bindings.late_releases(state, now).get(lookup.service, set())
    releases = releases | lookup.releases
    if len(releases) != 1 or lookup.service in lookup.divided_services:
        return Several()
    (release,) = releases
    has_history = stream_records.has_history(state, now)
    if not has_history and lookup.vouched_at < min(state.streams.history_from, asked_at):
        return NoHistory()
    proved_at = max(state.registry.proved_at, lookup.vouched_at)
    if proved_at < asked_at:
        return OldList()
    return Sole(
        release,
        now - proved_at,
        has_history,
        is_vouched=lookup.vouched_at > state.registry.proved_at,
        ignorant_peers=len(lookup.ignorant),
    )


def describe(state: State, now: float, key: StreamKey, ask: StreamAsk) -> StreamUnknown:
    """Return what this instance has seen of a service, as an answer to a peer."""
    releases = stream_bindings.late_releases(state, now)
    return StreamUnknown(
        key,
        sorted(name for name, each in releases.items() if len(each) > 1),
        stream_records.has_history(state, now),
        ask.number,
        now - state.registry.proved_at,
        sorted(releases.get(ask.service, set())),
    )


def note_statement(lookup: StreamLookup, message: StreamUnknown) -> None:
    """Record what a peer has seen of the service of a lookup."""
    lookup.divided_services |= set(message.divided_services)
    lookup.releases |= set(map(Release, message.releases))
    sent_at = lookup.questions.get(message.number)
    if message.has_history and sent_at is not None and message.list_age_s >= 0.0:
        lookup.vouched_at = max(lookup.vouched_at, sent_at - message.list_age_s)
