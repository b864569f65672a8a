"""Hold the newest settings document and what proves that it still is the newest."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

_NEVER: Final = float("-inf")


class DocumentState(Struct):
    """The newest document, and what proves that it still is."""

    # 0 before there is any.
    version: int = 0
    # As the operator wrote it, for peers that cannot read the store.
    raw: bytes = b""
    # When the request of the newest answered read was sent; a peer's counts as well.
    proof_at: float = _NEVER
    # The same for the reads of this instance alone.
    own_proof_at: float = _NEVER
    started_at: float | None = None
    ask_due: float = _NEVER
    # Number of the newest asking of a peer, and when each was sent.
    asked: int = 0
    asked_at: dict[int, float] = field(default_factory=dict)
