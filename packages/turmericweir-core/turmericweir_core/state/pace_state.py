"""Observed paces of engines that other instances do not know yet."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName


class Observed(Struct):
    """Prefill times at one engine, relative to those of the reference engine."""

    incarnation: str
    count: int = 0
    total: float = 0.0


class PaceState(Struct):
    """State of `engine_pace` and `shared_pace`."""

    # What the next load updates carry, the oldest first.
    unsent: dict[ServerName, Observed] = field(default_factory=dict)
    # A pace has changed since those of engines without observations were set.
    has_new: bool = False
