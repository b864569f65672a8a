"""State of the subsets: the servers of each target that this instance uses."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName, Target
from turmericweir_core.state.server_table import Server


class TargetSubset(Struct, frozen=True):
    """The servers of one target that are used, at one version of the server table."""

    version: int
    servers: tuple[Server, ...]
    # Number of all servers that serve the target.
    total: int


class SubsetState(Struct):
    """The subsets of all targets requested so far."""

    by_target: dict[Target, TargetSubset] = field(default_factory=dict)
    # Servers in the subset of any requested target, as of the last evaluation.
    used_servers: frozenset[ServerName] = frozenset()
    next_used_update_at: float = 0.0
    # Data centres that are known to be in another region.
    foreign_centres: frozenset[str] = frozenset()
    # Live instances of the region, as of the last tick.
    instances: int = 1
