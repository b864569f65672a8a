"""Soak test in which engines start again under their names with other versions, often unlisted.

An engine that does not reach the store keeps the entry of its earlier start for some seconds.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import ClassVar, Final

from tests.platform.soak import FAULTS, Soak
from tests.platform.soak_versions import VersionSoak

VERSIONS: Final = ("v1", "v2")
# Longest time from the end of a process to its next start, and from that to its entry.
DOWN_MAX_S: Final = 0.3
UNLISTED_MAX_S: Final = 3.0


@dataclass(slots=True)
class RestartSoak(VersionSoak):
    """A soak whose faults are mostly engines that start again."""

    engines: ClassVar[int] = 3
    versions: ClassVar[tuple[str, ...]] = ("v1", "v1", "v2")

    # Engines that are down, or whose newest start is not listed.
    restarting: set[str] = field(default_factory=set)

    def faults(self) -> Sequence[Callable[[RestartSoak], None]]:
        """Return the faults of which one is drawn at a time."""
        return RESTART_FAULTS

    def restart_engine(self) -> None:
        """End an engine; it is back soon with another version, and its entry may be late."""
        world = self.world
        engines = [name for name in sorted(world.servers) if world.servers[name].is_streaming]
        name = self.rng.choice(engines)
        busy = self.restarting | set(world.crashed_servers) | self.leaving_servers()
        if name in busy:
            return
        version = self.rng.choice(VERSIONS)
        is_listed = self.rng.random() < 0.4
        self.restarting.add(name)
        world.crash_server(name)
        self._log(f"{name} starts again with {version}, listed at once: {is_listed}")
        self._end_later(0.0, DOWN_MAX_S, lambda: self._start(name, version, is_listed))

    def _start(self, name: str, version: str, is_listed: bool) -> None:
        self.world.restart_unregistered(name, time.time_ns() // 1_000_000, version)
        max_s = 0.0 if is_listed else UNLISTED_MAX_S
        self._end_later(0.0, max_s, lambda: self._list(name))

    def _list(self, name: str) -> None:
        self.restarting.discard(name)
        if name not in self.leaving_servers():
            self.world.register(name)


RESTART_FAULTS: Final[tuple[Callable[[RestartSoak], None], ...]] = (
    *[each for each in FAULTS if each not in (Soak.drain_server, Soak.crash_server)],
    *[RestartSoak.restart_engine] * 10,
    *[RestartSoak.kill_instance] * 2,
)
