"""What a caller may send before a request is whole, and for how long it may be slow or idle."""

from __future__ import annotations

from typing import Protocol


class HttpLimits(Protocol):
    """The limits of one port; they may change while connections are open."""

    @property
    def header_bytes(self) -> int:
        """Request line and headers together, bytes."""

    @property
    def header_s(self) -> float:
        """Time from the first byte of a request to the end of its headers, seconds."""

    @property
    def keep_alive_s(self) -> float:
        """How long an idle connection of a caller is kept, seconds."""
