"""Soak test in which instances also lose their paths to servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import ClassVar, Final

from tests.platform.cut_world import CUTS, CutWorld
from tests.platform.platform_world import PlatformWorld
from tests.platform.soak import FAULTS, Soak


@dataclass(slots=True)
class CutSoak(Soak):
    """A soak whose faults include cuts between instances and servers."""

    world_class: ClassVar[type[PlatformWorld]] = CutWorld

    # Instances whose paths to servers are cut.
    cut_instances: set[str] = field(default_factory=set)

    def faults(self) -> Sequence[Callable[[CutSoak], None]]:
        """Return the faults of which one is drawn at a time."""
        return CUT_FAULTS

    def cut_paths(self) -> None:
        """Cut the paths from some instances, or from all, to some servers or to all."""
        if self.cut_instances:
            return
        world = self.world
        assert isinstance(world, CutWorld)
        names = sorted(world.running)
        self.cut_instances = set(self.rng.sample(names, self.rng.randint(1, len(names))))
        servers = sorted(world.servers)
        if self.rng.random() < 0.3:
            servers = self.rng.sample(servers, self.rng.randint(1, len(servers)))
        how = self.rng.choice(CUTS)
        for name in self.cut_instances:
            world.cut(name, how, *servers)
        self._log(f"{sorted(self.cut_instances)} cut off from {servers}: {how}")
        self._end_later(1.0, 6.0, self._restore_paths)

    def _restore_paths(self) -> None:
        world = self.world
        assert isinstance(world, CutWorld)
        for name in self.cut_instances:
            world.heal(name)
        self._log(f"{sorted(self.cut_instances)} reach all servers again")
        self.cut_instances = set()


CUT_FAULTS: Final[tuple[Callable[[CutSoak], None], ...]] = (
    *FAULTS,
    CutSoak.cut_paths,
    CutSoak.cut_paths,
    CutSoak.cut_paths,
)
