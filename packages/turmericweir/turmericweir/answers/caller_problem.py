"""Answers to a caller that was not served: problem details, as in RFC 9457.

The outcome decides the status; the reason refines it where nothing was run.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from math import ceil
from typing import Final

import orjson

from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.reasons import MESSAGES, Reason

OUTCOME_HEADER: Final = b"turmericweir-outcome"
REQUEST_ID_HEADER: Final = b"turmericweir-request-id"
PROBLEM_TYPE: Final = b"application/problem+json"
_TYPE_PREFIX: Final = "urn:turmericweir:reason:"

# Of requests that were not run; the others of them answer 503.
_STATUS: Final[dict[Reason, int]] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORISED: 401,
    Reason.UNKNOWN_CLASS: 403,
    Reason.UNKNOWN_TARGET: 404,
    Reason.TOO_SLOW: 408,
    Reason.TOO_LARGE: 413,
    # As the draft of the Idempotency-Key header has it.
    Reason.KEY_REUSED: 422,
    Reason.CUSTOMER_LIMIT: 429,
    Reason.TEAM_LIMIT: 429,
    Reason.DEADLINE: 504,
}
# Of requests that failed or whose fate is unknown.
_STATUS_AFTER_START: Final = 502
_STATUS_OVERLOADED: Final = 503
# Named to callers whose refusal is temporary where the account names no time itself.
RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem answer, ready to be sent."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def problem_of_account(account: Account) -> Problem:
    """Build the answer to a request that ended without its server's whole answer."""
    if account.outcome is Outcome.NOT_RUN:
        status = _STATUS.get(account.reason, _STATUS_OVERLOADED)
    else:
        status = _STATUS_AFTER_START
    return make_problem(
        account.request_id,
        account.outcome,
        account.reason,
        status=status,
        detail=account.detail,
        retry_after_s=account.retry_after_s,
    )


def refusal(
    request_id: str, reason: Reason, *, detail: str = "", status: int | None = None
) -> Problem:
    """Build the answer to a request that was refused at the border, before the reducer saw it."""
    return make_problem(
        request_id,
        Outcome.NOT_RUN,
        reason,
        status=status or _STATUS.get(reason, _STATUS_OVERLOADED),
        detail=detail or MESSAGES[reason],
        retry_after_s=None,
    )


def make_problem(
    request_id: str,
    outcome: Outcome,
    reason: Reason,
    *,
    status: int,
    detail: str,
    retry_after_s: float | None,
) -> Problem:
    """Build a problem answer."""
    value = {
        "type": _TYPE_PREFIX + reason.value,
        "title": HTTPStatus(status).phrase,
        "status": status,
        "detail": detail,
        "outcome": outcome.value,
        "reason": reason.value,
        "request_id": request_id,
    }
    body = orjson.dumps(value)
    headers = [
        (b"content-type", PROBLEM_TYPE),
        (b"content-length", b"%d" % len(body)),
        *account_headers(request_id, outcome),
    ]
    if outcome is Outcome.NOT_RUN and status in _TEMPORARY:
        headers.append((b"retry-after", b"%d" % max(1, ceil(retry_after_s or RETRY_AFTER_S))))
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    return Problem(status, headers, body)


_TEMPORARY: Final = frozenset({429, 503, 504})


def account_headers(request_id: str, outcome: Outcome) -> list[tuple[bytes, bytes]]:
    """Build the headers that every answer carries."""
    return [
        (REQUEST_ID_HEADER, request_id.encode("ascii")),
        (OUTCOME_HEADER, outcome.value.encode("ascii")),
    ]
