"""The budget that bounds retries to a fraction of first attempts.

Without it, a slow cluster gets more load the slower it becomes: every timeout adds an attempt. With
it, retries add at most `retry_share` to the load, however many requests fail at once.
"""

from __future__ import annotations

from dataclasses import dataclass

from turmericweir_core.options import Options


@dataclass(slots=True)
class RetryBudget:
    """A token bucket that first attempts fill and retries empty."""

    # Retries that may be made now; None until the first use sets it to the burst.
    tokens: float | None = None
    # Retries that were refused for want of budget, for the state dump.
    refused: int = 0


def _tokens(budget: RetryBudget, options: Options) -> float:
    return options.retry_burst if budget.tokens is None else budget.tokens


def earn_retry(budget: RetryBudget, options: Options) -> None:
    """Count a first attempt, which pays for a fraction of a retry."""
    earned = _tokens(budget, options) + options.retry_share
    budget.tokens = min(options.retry_burst, earned)


def spend_retry(budget: RetryBudget, options: Options) -> bool:
    """Take one retry from the budget; False means that there is none to take."""
    tokens = _tokens(budget, options)
    if tokens < 1.0:
        budget.refused += 1
        return False
    budget.tokens = tokens - 1.0
    return True


def may_retry(budget: RetryBudget, options: Options) -> bool:
    """Tell whether a retry could be taken now, without taking it."""
    return _tokens(budget, options) >= 1.0
