"""What this instance knows of streams that callers may take up; see the package `streams`."""

from __future__ import annotations

from typing import Final, NewType

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, RequestId, ServerName
from turmericweir_core.base.release import Release

# Identifies a stream: a hash of the customer and the caller's id.
StreamKey = NewType("StreamKey", int)

_NEVER: Final = float("-inf")


class StreamBinding(Struct):
    """The release that a stream is bound to."""

    release: Release
    # The callers of the stream have given up by then.
    expires_at: float
    # The instance that said so; this one if it passed on the first event.
    source: InstanceName


class StreamLookup(Struct):
    """A question to peers for the release of a stream that a caller takes up."""

    started_at: float
    # The requests that wait for the answer.
    request_ids: list[RequestId]
    # The service of the stream; empty if its target has none.
    service: str = ""
    # The peers that were asked, and those of them that do not know the stream.
    asked: set[InstanceName] = field(default_factory=set)
    ignorant: set[InstanceName] = field(default_factory=set)
    waves: int = 0
    # Services of which a peer has seen several releases.
    divided_services: set[str] = field(default_factory=set)
    # Releases of the service that peers have seen.
    releases: set[Release] = field(default_factory=set)
    # Up to this time a peer that knows the history of releases has read the list of servers.
    vouched_at: float = _NEVER
    # When each question was sent, by its number.
    questions: dict[int, float] = field(default_factory=dict)
    # Whether the caller names the stream, so that peers may know it.
    is_named: bool = True
    # When a newer list of servers was first wanted, and when to ask for it again.
    list_wanted_at: float | None = None
    next_list_ask_at: float = _NEVER


class Holder(Struct, frozen=True):
    """A live instance that may hold copies of bindings."""

    name: InstanceName
    address: str
    data_centre: str
    incarnation: str


class HolderRing(Struct, frozen=True):
    """The holders of one data centre on a ring of hashes, in the order of their positions."""

    positions: tuple[int, ...]
    holders: tuple[Holder, ...]


class StreamState(Struct):
    """Bindings of streams, those of this instance and copies for others."""

    by_key: dict[StreamKey, StreamBinding] = field(default_factory=dict)
    lookups: dict[StreamKey, StreamLookup] = field(default_factory=dict)
    # The other live instances of the region, by data centre.
    rings: dict[str, HolderRing] = field(default_factory=dict)
    holders: frozenset[Holder] = frozenset()
    next_ring_update_at: float = _NEVER
    next_expiry_at: float = _NEVER
    # Releases that no server has any more, by service, and since when.
    gone_releases: dict[str, dict[Release, float]] = field(default_factory=dict)
    # When the entry of each server was last suspected because the server broke an attempt off.
    suspected_at: dict[ServerName, float] = field(default_factory=dict)
    # The start in the entry of each server that has said that it is another one.
    replaced_starts: dict[ServerName, str] = field(default_factory=dict)
    # Bindings that were dropped because there were too many.
    dropped: int = 0
    # Since when all releases of servers were seen here, or read from the store.
    history_from: float = float("inf")
    # When the newest read that returned the history was sent.
    history_read_at: float = _NEVER
    # When the newest read of the own records that succeeded was sent; they are read again not
    # before `next_read_at`.
    records_read_at: float = _NEVER
    next_read_at: float = _NEVER
    # The releases that the store holds, in which era they were written, and when to write again.
    stored_releases: dict[str, list[int]] | None = None
    stored_era: int = 0
    next_releases_at: float = _NEVER
    # The instance that writes the bindings of this one down; None if this one or nobody does.
    writer: Holder | None = None
    is_writer: bool = False
    next_update_at: float = _NEVER
    # Bindings that this writer has to write down, when, and under which number.
    unstored: set[StreamKey] = field(default_factory=set)
    next_batch_at: float = _NEVER
    next_slot: int = 0
