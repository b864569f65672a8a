"""State of the retry budget."""

from __future__ import annotations

from collections import deque
from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.state.loan_state import Loan, LoanAsks

_NEVER: Final = float("-inf")


class RetryBucket(Struct):
    """Number of first attempts, retries and refused retries in one short interval."""

    started_at: float
    first_attempts: int = 0
    # What is left of the retries that the first attempts earned.
    earned_left: float = 0.0
    # Retries charged to the burst, without what was borrowed, which counts at the lender.
    from_burst: float = 0.0
    # All retries that were sent or refused.
    wanted: int = 0


class RetryWindow(Struct):
    """The recent first attempts and retries of one target."""

    # Newest last.
    buckets: deque[RetryBucket] = field(default_factory=deque)
    # Retries that were decided and are not sent yet.
    reserved: int = 0
    # Parts of the burst of other instances that this one may use, and own ones that others may use.
    borrowed: list[Loan] = field(default_factory=list)
    lent: list[Loan] = field(default_factory=list)
    # Part of a retry above which one is granted, and when that is drawn again.
    drawn: float = 0.0
    draw_again_at: float = _NEVER
    # This instance's part of the burst, by the number of the view of the sharers.
    part_by_view: dict[int, int] = field(default_factory=dict)


class SharersView(Struct, frozen=True):
    """The instances among which the burst was divided from a time on, as this one knew them."""

    number: int
    since: float
    # Sorted by name; empty while this instance has no part of the burst.
    names: tuple[InstanceName, ...]


class RetryBudget(Struct):
    """The available retries, and their recent use."""

    # Retries available now; None until the first use sets it to the burst size.
    tokens: float | None = None
    # Number of retries refused because the budget was exhausted, for the state dump.
    refused: int = 0
    windows: dict[Target, RetryWindow] = field(default_factory=dict)
    # The views that count now, newest last. An instance uses the smallest of its parts.
    sharers: list[SharersView] = field(default_factory=list)
    # The instances of the last view that was not empty.
    known_sharers: frozenset[InstanceName] = frozenset()
    next_check_at: float = _NEVER
    asks: LoanAsks = field(default_factory=LoanAsks)
