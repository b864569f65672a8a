"""Options of the pace at which each engine prefills prompts."""

from __future__ import annotations

from msgspec import Struct


class PaceOptions(Struct, frozen=True):
    """How instances learn the pace of engines."""

    # Whether instances report to each other what pace they observe. Without it, each learns from
    # its own requests alone.
    is_shared: bool = False
    # Weight of one observation, once an engine's pace is known.
    observation_weight: float = 0.2
    # Ratio of a prompt's time at an engine to the prediction from which it counts before its first
    # token, and the factor by which that must grow to count again.
    overdue_ratio: float = 2.0
    overdue_growth: float = 1.5
