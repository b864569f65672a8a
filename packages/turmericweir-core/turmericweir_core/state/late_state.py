"""Hold what peers told of their late requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericweir_core.base.ids import InstanceName, Target


@dataclass(slots=True)
class LateRanks:
    """What the peers told of late requests: when, and of which rank."""

    peers: dict[Target, dict[InstanceName, tuple[float, int]]] = field(default_factory=dict)
