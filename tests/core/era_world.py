"""One instance that has read settings and servers of a store in its first era."""

from __future__ import annotations

from tests.core.store_world import PLAIN, StoreWorld, only
from turmericweir_core.base.config import ServerEntry
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnded,
    AttemptSent,
    DocumentConfirmed,
    DocumentRead,
    EndComplete,
    RegistryRead,
)
from turmericweir_core.messages.record_messages import RecordsRead
from turmericweir_core.store import document


def records_read(now: float, era: int, marked: int | None) -> RecordsRead:
    """Return the read of the own records with only the mark of an era."""
    return RecordsRead(now, era, marked, None, [], 0)


class EraWorld(StoreWorld):
    """An instance that has read settings and servers in the first era."""

    def __init__(self) -> None:
        super().__init__(plain=2)
        self.give(records_read(self.now, 1, None))
        self.give(DocumentRead(7, self.config(), b"raw", self.now, era=1))
        self.read(*self.entries, era=1, first=10)

    def read(
        self, *entries: ServerEntry, era: int, first: int, end: int = 0, changes: bool = False
    ) -> list[object]:
        """Read entries as a snapshot, or as changes, with offsets from one on."""
        numbered = tuple((entry, first + at) for at, entry in enumerate(entries))
        end = end or first + len(entries)
        event = RegistryRead(numbered, (), not changes, end, self.now, era)
        return list(self.give(event))

    def confirm(self, version: int, era: int) -> None:
        """Read the settings without anything new."""
        self.give(DocumentConfirmed(self.now, version, era))

    @property
    def proof_age_s(self) -> float:
        """The age of the proof that the settings are the newest."""
        return document.proof_age_s(self.state, self.now)

    def plain(self, name: str, **changes: object) -> ServerEntry:
        """Return an entry of a plain server."""
        return self.entry(name, "shop", **changes)

    def servers_used(self, count: int = 12) -> set[str]:
        """Return the plain servers to which requests go."""
        used: set[str] = set()
        for number in range(count):
            (start,) = only(self.arrive(f"{self.now}-{number}", target=PLAIN), StartAttempt)
            self.give(AttemptSent(start.request_id, start.attempt_id))
            self.give(AttemptEnded(start.request_id, start.attempt_id, EndComplete(200)))
            used.add(start.server)
        return used
