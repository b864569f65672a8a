"""Options of the choice between engines that hold the beginning of a prompt and others."""

from __future__ import annotations

from msgspec import Struct


class CacheOptions(Struct, frozen=True):
    """How cached beginnings of prompts are weighed."""

    # Whether the work that a cached beginning saves is weighed against the wait for its engine, and
    # fetches by the time that they were observed to take. Without it, the least work among the
    # engines where a request begins in time decides, and fetches count with their nominal time.
    weighs_waits: bool = False
