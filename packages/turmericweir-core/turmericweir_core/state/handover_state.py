"""State of a starting instance's request to peers for the contents of engine caches."""

from __future__ import annotations

from msgspec import Struct


class HandoverState(Struct):
    """Whether this instance still has to request the contents of caches from a peer."""

    started_at: float | None = None
    next_query_at: float = 0.0
    has_received_caches: bool = False
