"""The project's own records in the platform's store, and the effects that write them."""

from __future__ import annotations

from msgspec import Struct

from turmericweir_core.messages.stream_messages import StreamRow


class MarkEra(Struct, frozen=True):
    """Mark an era in the store as settled; the result is an event."""

    era: int


class ReadRecords(Struct, frozen=True):
    """Read the own records; the result is an event."""


class PutReleases(Struct, frozen=True):
    """Store the releases that services have had lately; the result is an event."""

    releases: dict[str, list[int]]


class PutStreams(Struct, frozen=True):
    """Store the releases of streams under a number, in place of what stood there."""

    slot: int
    rows: list[StreamRow]


class RecordsRead(Struct, frozen=True):
    """The own records were read."""

    requested_at: float
    # The era of the store that answered; 0 if it states none.
    era: int
    # The newest era that was marked as settled; None if none ever was.
    marked_era: int | None
    # The releases that each service had lately; None if they were never stored.
    releases: dict[str, list[int]] | None
    rows: list[StreamRow]
    # The number under which this instance stores streams next.
    next_slot: int
    # Nothing was ever written: the system starts for the first time.
    is_first_start: bool = False


class EraMarked(Struct, frozen=True):
    """An era was marked in the store as settled."""

    era: int


class ReleasesPut(Struct, frozen=True):
    """The releases of services were stored."""

    releases: dict[str, list[int]]


class StreamsNotPut(Struct, frozen=True):
    """Storing the releases of streams failed or may have failed."""

    rows: list[StreamRow]
