"""State of the retry budget."""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field

from turmericweir_core.base.ids import Target


class RetryBucket(Struct):
    """Number of first attempts and retries in one short interval."""

    started_at: float
    first_attempts: int = 0
    retries: int = 0


class RetryBudget(Struct):
    """The available retries, and their recent use."""

    # Retries available now; None until the first use sets it to the burst size.
    tokens: float | None = None
    # Number of retries refused because the budget was exhausted, for the state dump.
    refused: int = 0
    # Newest last, by target.
    windows: dict[Target, deque[RetryBucket]] = field(default_factory=dict)
    # The highest recent number of instances, and when it was observed.
    peak_instances: int = 1
    peak_at: float = float("-inf")
    started_at: float | None = None
    next_check_at: float = float("-inf")
