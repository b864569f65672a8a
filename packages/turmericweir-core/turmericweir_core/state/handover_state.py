"""Hold whether a started instance still wants to be told what the caches of engines hold."""

from __future__ import annotations

from msgspec import Struct


class HandoverState(Struct):
    """Whether this instance still wants to be told."""

    started_at: float | None = None
    ask_due: float = 0.0
    told: bool = False
