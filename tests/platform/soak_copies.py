"""Soak test in which the store also comes back from copies, and all instances are killed at once.

Entries that cannot be read appear among those of servers. Engines run several versions, so the
streams of callers show what instances forget.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final, Self

from tests.foreign_bytes import named_forms
from tests.platform.soak import FAULTS, Soak, Span
from tests.platform.soak_versions import VERSION_FAULTS, VersionSoak
from tests.platform.standin_store import OPERATOR, SERVERS

_FORMS: Final = tuple(named_forms({"service": "shop", "address": "127.0.0.1:9"}).values())
Copy = dict[str, list[tuple[str, bytes]]]


@dataclass(slots=True)
class CopySoak(VersionSoak):
    """A soak whose faults include drills of the store and the loss of all instances."""

    # What the store will come back from; None between two drills.
    copy: Copy | None = None
    odd_entries: int = 0
    drills: list[Span] = field(default_factory=list)

    def faults(self) -> Sequence[Callable[[Self], None]]:
        """Return the faults of which one is drawn at a time."""
        return COPY_FAULTS

    def drill(self) -> None:
        """Take a copy of the store, from which it comes back some seconds later."""
        if self.copy is not None:
            return
        self.copy = self.world.store.copy_topics()
        span = Span("drill", time.monotonic())
        self.drills.append(span)
        # What it loses of the entries of servers is not known to all.
        self.unchecked.append(span)
        self._end_later(0.5, 4.0, lambda: self._come_back(span))

    def _come_back(self, span: Span) -> None:
        copy, self.copy = self.copy, None
        assert copy is not None
        newest = {topic: dict(self.world.store.topics[topic].records) for topic in copy}
        self.world.at_once(lambda: self.world.store.come_back_from(copy))
        self._log(f"store back in era {self.world.store.era}")
        ends = {topic: len(self.world.store.topics[topic].records) for topic in newest}

        def write_again(topic: str) -> None:
            written = dict(self.world.store.topics[topic].records[ends[topic] :])
            for key, value in newest[topic].items():
                # Later records stay the newest.
                if key not in written:
                    self.world.store.write(topic, key, value or None)

        self._end_later(0.0, 1.0, lambda: write_again(OPERATOR))
        self._end_later(0.3, 1.5, lambda: write_again(SERVERS))
        self._end_later(3.0, 3.0, lambda: self._end_drill(span))

    def _end_drill(self, span: Span) -> None:
        span.end = time.monotonic()

    def write_odd_entry(self) -> None:
        """Write an entry that cannot be read."""
        self.odd_entries += 1
        self.world.store.write(SERVERS, f"odd-{self.odd_entries % 5}", self.rng.choice(_FORMS))

    def kill_all(self) -> None:
        """Kill all processes at once, and restart them one after the other."""
        names = [name for name in sorted(self.world.running) if name not in self.unavailable]
        for name in names:
            self.unavailable.add(name)
            self.killed.append(Span(name, time.monotonic()))
            self.world.running[name].process.kill()
        self._log(f"{names} killed at once")
        for name in names:
            self._end_later(0.1, 1.5, lambda name=name: self._restart_instance(name))  # type: ignore[misc]

    def violations(self) -> list[str]:
        """Return descriptions of all violated guarantees."""
        violations = VersionSoak.violations(self)
        for name, instance in self.world.running.items():
            versions = [each["version"] for each in instance.logged("settings_in_force")]
            if versions != sorted(versions):
                violations.append(f"{name} took settings back: {json.dumps(versions)}")
        return violations


COPY_FAULTS: Final[tuple[Callable[[CopySoak], None], ...]] = (
    *FAULTS,
    *VERSION_FAULTS[len(FAULTS) :],
    Soak.change_settings,
    CopySoak.drill,
    CopySoak.drill,
    CopySoak.drill,
    CopySoak.kill_all,
    CopySoak.kill_all,
    CopySoak.write_odd_entry,
    CopySoak.write_odd_entry,
)
