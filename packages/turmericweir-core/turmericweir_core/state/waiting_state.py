"""What waits for engines at the other instances, and when refused callers return."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.messages.load_messages import WaitingRow


class WaitingReport(Struct, frozen=True):
    """The waiting requests of a peer."""

    received_at: float
    rows: list[WaitingRow]


class WaitingState(Struct):
    """What each peer last reported, and the time up to which returns are spread."""

    peers: dict[Target, dict[InstanceName, WaitingReport]] = field(default_factory=dict)
    # By target, and rank and kind as in `WaitingRow`.
    returns_until: dict[tuple[Target, int, bool], float] = field(default_factory=dict)
