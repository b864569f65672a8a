"""Hold how long answers took to begin of late."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericweir_core.base.ids import ServerName


@dataclass(slots=True)
class SilenceState:
    """How long answers took to begin of late."""

    # By server, the longest wait, which newer and shorter ones wear down.
    longest_wait: dict[ServerName, float] = field(default_factory=dict)
    # Attempts that were doubted, for the state dump.
    doubted: int = 0
