"""Soak test in which instances are cut off while servers of other versions come and go.

Each start of a server has a name of its own, so an instance that reads no entries goes on at none
that it does not know.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import ClassVar, Final

from tests.platform.partition_world import PartitionWorld
from tests.platform.platform_world import PlatformWorld, until
from tests.platform.soak import FAULTS, Soak
from tests.platform.soak_versions import VersionSoak
from tests.platform.standin_store import SERVERS

EVENT_INTERVAL_S: Final = 0.4
VERSIONS: Final = ("v1", "v2", "v3")
ENGINES_MIN: Final = 2
ENGINES_MAX: Final = 5


@dataclass(slots=True)
class PartitionSoak(VersionSoak):
    """A soak whose faults include instances that lose the store, their peers, or both."""

    world_class: ClassVar[type[PlatformWorld]] = PartitionWorld
    engines: ClassVar[int] = 2
    versions: ClassVar[tuple[str, ...]] = ("v1",)
    # An instance that is cut off serves requests with keys for as long.
    revoke_s: ClassVar[float] = 60.0

    # Engines that have left for good.
    removed: set[str] = field(default_factory=set)
    # Instances that were cut off last, which take streams up.
    unkilled: set[str] = field(default_factory=set)

    def faults(self) -> Sequence[Callable[[PartitionSoak], None]]:
        """Return the faults of which one is drawn at a time."""
        return PARTITION_FAULTS

    def __post_init__(self) -> None:
        """Make streams last longer than a partition is noticed in."""
        for server in self.world.servers.values():
            server.event_interval_s = EVENT_INTERVAL_S

    def inject_faults(self, seconds: float) -> None:
        """Begin the first rollout while instances are cut off, and go on at random."""
        self.begin_rollout()
        VersionSoak.inject_faults(self, seconds)

    def begin_rollout(self) -> None:
        """Let engines of another version join, and instances that know of them end."""
        self.cut_off(of_both=True)
        for _ in range(2):
            self.add_engine("v2")
        until(self._has_new_version_begun, "streams have begun at the new version")
        time.sleep(self.rng.uniform(0.0, 1.0))
        self.kill_instance()

    def _has_new_version_begun(self) -> bool:
        servers = list(self.world.servers.values())
        begun = [each for each in servers if each.version == "v2" and each.received]
        return len(begun) > 1

    def more_callers(self) -> list[Callable[[], None]]:
        """Return further callers, so that streams begin at all engines within a partition."""
        return VersionSoak.more_callers(self) * 3

    def cut_off(self, *, of_both: bool = False) -> None:
        """Cut one or two instances off from the store, their peers or both for some seconds."""
        world = self.world
        assert isinstance(world, PartitionWorld)
        names = self.rng.sample(sorted(world.running), 2 if of_both else self.rng.choice((1, 1, 2)))
        cuts = ((True, True), (True, False), (False, True))
        from_store, from_peers = cuts[0] if of_both else self.rng.choice(cuts)
        world.cut_off(*names, from_store=from_store, from_peers=from_peers)
        self.unkilled = set(names)
        self._log(f"{names} are cut off from store {from_store}, from peers {from_peers}")
        min_s = 3.0 if of_both else 0.3
        self._end_later(min_s, min_s + 4.0, world.heal)

    def _pick_instance(self) -> str | None:
        names = self.unavailable | self.unkilled
        running = [name for name in sorted(self.world.running) if name not in names]
        return self.rng.choice(running) if running else None

    def add_engine(self, version: str = "") -> None:
        """Start an engine of a version, by default of any."""
        engines = self._engines()
        if len(engines) >= ENGINES_MAX:
            return
        name = f"lm-{len(self.world.servers) + 1}"
        version = version or self.rng.choice(VERSIONS)
        server = self.world.add_server(name, "lm", version)
        server.event_interval_s = EVENT_INTERVAL_S
        self._log(f"{name} joins with {version}")

    def remove_engine(self) -> None:
        """Remove an engine for good, with or without its entry."""
        engines = self._engines()
        if len(engines) <= ENGINES_MIN:
            return
        name = self.rng.choice(engines)
        self.removed.add(name)
        self._log(f"{name} leaves for good")
        self.world.store.write(SERVERS, name, None)
        self._end_later(0.0, 3.0, lambda: self.world.crash_server(name))

    def _engines(self) -> list[str]:
        busy = self.removed | self.leaving_servers() | set(self.world.crashed_servers)
        servers = self.world.servers
        return [each for each in sorted(servers) if servers[each].is_streaming and each not in busy]


_OTHER_FAULTS: Final = tuple(
    each for each in FAULTS if each not in (Soak.drain_server, Soak.crash_server)
)
PARTITION_FAULTS: Final[tuple[Callable[[PartitionSoak], None], ...]] = (
    *_OTHER_FAULTS,
    *[PartitionSoak.kill_instance] * 2,
    *[PartitionSoak.cut_off] * 4,
    *[PartitionSoak.add_engine] * 3,
    *[PartitionSoak.remove_engine] * 2,
)
