"""State of loans between instances: parts of a whole that one lends to another for a time."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

_NEVER: Final = float("-inf")


class Loan(Struct, frozen=True):
    """Tokens that one instance lends to another."""

    tokens: float
    until: float


class LoanAsks(Struct):
    """The requests for loans that this instance has sent."""

    # Number of the newest, and when recent ones were sent.
    newest: int = 0
    sent_at: dict[int, float] = field(default_factory=dict)
    # When the next may be sent, and the position of its recipient among the lenders.
    next_at: float = _NEVER
    next_lender: int = 0
