"""Number the requests for loans, choose whom to ask, and match the loans that come back.

Both `limit_loans` and `retry_loans` ask in this way. A loan counts from when it was asked for, by
the borrower's clock, so its time on the way shortens it. The lender does without the tokens for
longer than the borrower may use them.
"""

from __future__ import annotations

from typing import TypeVar

from turmericweir_core.state.loan_state import LoanAsks

L = TypeVar("L")


def is_due(asks: LoanAsks, now: float, interval_s: float) -> bool:
    """Return whether loans may be asked for now, at most once in an interval."""
    if now < asks.next_at:
        return False
    asks.next_at = now + interval_s
    return True


def in_turn(asks: LoanAsks, lenders: list[L]) -> list[L]:
    """Return the lenders, the one whose turn it is first."""
    first = asks.next_lender % max(1, len(lenders))
    return lenders[first:] + lenders[:first]


def note_sent(asks: LoanAsks, now: float) -> int:
    """Record that a lender is asked; return the number of the request."""
    asks.newest += 1
    asks.sent_at[asks.newest] = now
    asks.next_lender += 1
    return asks.newest


def take_answered(asks: LoanAsks, now: float, number: int, usable_s: float) -> float | None:
    """Return until when a loan may be used, or None if it has expired or was not asked for."""
    sent_at = asks.sent_at.pop(number, None)
    if sent_at is None or now >= sent_at + usable_s:
        return None
    return sent_at + usable_s


def drop_unanswered(asks: LoanAsks, now: float, usable_s: float) -> None:
    """Forget the requests whose loans would have expired."""
    asks.sent_at = {
        number: sent_at for number, sent_at in asks.sent_at.items() if now - sent_at < usable_s
    }
