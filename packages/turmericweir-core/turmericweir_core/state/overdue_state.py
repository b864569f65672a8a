"""Overdue requests, as reported by peers, and recent refusals of this instance."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.messages.load_messages import OverdueRow


class OverdueReport(Struct, frozen=True):
    """The overdue requests that a peer reported."""

    received_at: float
    rows: list[OverdueRow]


class OverdueTotal(Struct, frozen=True):
    """The overdue requests of all instances at one time."""

    computed_at: float
    rows: list[OverdueRow]


class OverdueState(Struct):
    """What each peer last reported, and when this instance last refused a request."""

    peers: dict[Target, dict[InstanceName, OverdueReport]] = field(default_factory=dict)
    # Times of the last refusals for want of room, by rank and kind as in `OverdueRow`.
    refused_at: dict[Target, dict[tuple[int, bool], float]] = field(default_factory=dict)
    # Cached because every placement uses it.
    totals: dict[Target, OverdueTotal] = field(default_factory=dict)
