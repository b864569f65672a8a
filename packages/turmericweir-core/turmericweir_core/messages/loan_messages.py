"""Loans between instances: of announced limits, and of the retry budget."""

from __future__ import annotations

from msgspec import Struct


class LimitLoanAsk(Struct, frozen=True, array_like=True):
    """Asks another instance for some of its requests to servers that have announced limits."""

    number: int
    servers: list[str]
    tokens: int


class LoanRow(Struct, frozen=True, array_like=True):
    """Requests to one incarnation of a server that the sender of the loan does without."""

    server: str
    incarnation: str
    tokens: int


class LimitLoan(Struct, frozen=True, array_like=True):
    """Lends requests to the instance that asked under this number."""

    number: int
    rows: list[LoanRow]


class RetryLoanAsk(Struct, frozen=True, array_like=True):
    """Asks another instance for some of its part of the retry budget of a target."""

    number: int
    target: str
    retries: float


class RetryLoan(Struct, frozen=True, array_like=True):
    """Lends retries of a target to the instance that asked under this number."""

    number: int
    target: str
    retries: float
