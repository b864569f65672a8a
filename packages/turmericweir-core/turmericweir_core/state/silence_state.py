"""Hold how long answers took to begin of late."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName


class SilenceState(Struct):
    """How long answers took to begin of late."""

    # By server, the longest wait, which newer and shorter ones wear down.
    longest_wait: dict[ServerName, float] = field(default_factory=dict)
    # Attempts that were doubted, for the state dump.
    doubted: int = 0
