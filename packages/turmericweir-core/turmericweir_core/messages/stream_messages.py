"""The releases that streams are bound to."""

from __future__ import annotations

from msgspec import Struct


class StreamRow(Struct, frozen=True, array_like=True):
    """The release that a stream is bound to."""

    # Hash of the customer and the caller's id of the stream.
    key: int
    # 0 if several servers may have written it.
    release: int
    # Time for which callers may take it up, in seconds.
    keep_s: int


class StreamsBound(Struct, frozen=True, array_like=True):
    """The releases of streams, for the receiver to keep, or as an answer to it."""

    rows: list[StreamRow]
    # Servers that have just broken a stream off, and may have started again with other software.
    suspected_servers: list[str] = []


class StreamAsk(Struct, frozen=True, array_like=True):
    """Asks for the release of a stream that a caller takes up."""

    key: int
    # Names the question in its answer; 0 from an earlier release.
    number: int = 0
    # The service of the stream.
    service: str = ""
    # The sender cannot read the list of servers, so the receiver should.
    wants_list: bool = False


class StreamUnknown(Struct, frozen=True, array_like=True):
    """The sender does not know the stream."""

    key: int
    # Services that have had servers of several releases lately.
    divided_services: list[str]
    # Whether the sender knows all releases at which the stream may have begun.
    has_history: bool = False
    # The question; an answer without a number tells nothing of the list's age.
    number: int = 0
    # Age of the list of servers that the sender has read itself, in seconds.
    list_age_s: float = float("inf")
    # The releases of the service that the sender has seen lately.
    releases: list[int] = []
