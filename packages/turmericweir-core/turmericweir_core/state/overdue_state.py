"""Overdue requests, as reported by peers."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, Target


class OverdueRanks(Struct):
    """When each peer last reported an overdue request, and its rank."""

    peers: dict[Target, dict[InstanceName, tuple[float, int]]] = field(default_factory=dict)
