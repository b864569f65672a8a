"""The newest settings document and the proof that it is current."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName

_NEVER: Final = float("-inf")


class DocumentState(Struct):
    """The newest document and the time of its freshness proof."""

    # 0 if there is no document yet.
    version: int = 0
    # The document as written by the operator, for peers that cannot read the store.
    raw: bytes = b""
    # Its packed form; empty until a peer asks for it.
    packed: bytes = b""
    # When this version was sent to each peer.
    sent_at: dict[InstanceName, float] = field(default_factory=dict)
    # Until when a newer version that a peer is sending is awaited.
    awaited_until: float = _NEVER
    # When the newest answered read was sent, by this instance or by a peer.
    proof_at: float = _NEVER
    # The same, for reads of this instance only.
    local_proof_at: float = _NEVER
    # When the newest answered read of this instance was sent, also if it proved nothing.
    read_at: float = _NEVER
    started_at: float | None = None
    next_query_at: float = _NEVER
    # Number of the newest query to a peer, and when each query was sent.
    query_number: int = 0
    queries_sent_at: dict[int, float] = field(default_factory=dict)
