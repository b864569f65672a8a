"""Hold what peers told of their late requests."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, Target


class LateRanks(Struct):
    """What the peers told of late requests: when, and of which rank."""

    peers: dict[Target, dict[InstanceName, tuple[float, int]]] = field(default_factory=dict)
