"""The limits on a request's headers and on idle connections of one port."""

from __future__ import annotations

from typing import Protocol


class HttpLimits(Protocol):
    """The limits of one port; they may change while connections are open."""

    @property
    def header_bytes(self) -> int:
        """The maximum size of the request line and the headers, in bytes."""

    @property
    def header_s(self) -> float:
        """The maximum time from a request's first byte to the end of its headers, in seconds."""

    @property
    def keep_alive_s(self) -> float:
        """The time for which an idle connection is kept, in seconds."""
