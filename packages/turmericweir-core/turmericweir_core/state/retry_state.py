"""Hold what may be spent on retries, and what was."""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field

from turmericweir_core.base.ids import Target


class RetryBucket(Struct):
    """What was sent in one short time."""

    since: float
    firsts: int = 0
    retries: int = 0


class RetryBudget(Struct):
    """What may be spent on retries, and what was."""

    # Retries that may be made now; None until the first use sets it to the burst.
    tokens: float | None = None
    # Retries that were refused for want of budget, for the state dump.
    refused: int = 0
    # Newest last, by target.
    windows: dict[Target, deque[RetryBucket]] = field(default_factory=dict)
    # The largest number of instances seen, and when it was.
    peak: int = 1
    peak_at: float = float("-inf")
    started_at: float | None = None
    look_due: float = float("-inf")
