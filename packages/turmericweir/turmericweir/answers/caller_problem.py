"""Problem answers as in RFC 9457, for requests that were refused or failed.

The status depends on the outcome and, for requests that were not run, on the reason.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from math import ceil
from typing import Final

import orjson

from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.account_text import describe_end
from turmericweir_core.base.reasons import Reason

OUTCOME_HEADER: Final = b"turmericweir-outcome"
REQUEST_ID_HEADER: Final = b"turmericweir-request-id"
PROBLEM_TYPE: Final = b"application/problem+json"
_TYPE_PREFIX: Final = "urn:turmericweir:reason:"

# The status of requests that were not run; 503 for all other reasons.
_STATUS_BY_REASON: Final[dict[Reason, int]] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORISED: 401,
    Reason.UNKNOWN_CLASS: 403,
    Reason.UNKNOWN_TARGET: 404,
    Reason.TOO_SLOW: 408,
    Reason.TOO_LARGE: 413,
    # As in the draft of the Idempotency-Key header.
    Reason.KEY_REUSED: 422,
    Reason.CUSTOMER_LIMIT: 429,
    Reason.TEAM_LIMIT: 429,
    Reason.DEADLINE: 504,
}
# The status of requests that failed or whose outcome is unknown.
_STATUS_AFTER_START: Final = 502
_STATUS_OVERLOADED: Final = 503
# The `retry-after` of temporary refusals for which the account has no time.
DEFAULT_RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Problem:
    """A complete problem answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def make_account_problem(account: Account) -> Problem:
    """Return the answer to a request that ended without a complete answer of its server."""
    if account.outcome is Outcome.NOT_RUN:
        status = _STATUS_BY_REASON.get(account.reason, _STATUS_OVERLOADED)
    else:
        status = _STATUS_AFTER_START
    return make_problem(
        account.request_id,
        account.outcome,
        account.reason,
        status=status,
        retry_after_s=account.retry_after_s,
    )


def make_refusal(
    request_id: str,
    reason: Reason,
    *,
    detail: str = "",
    status: int | None = None,
    retry_after_s: float | None = None,
) -> Problem:
    """Return the answer to a request that was refused before it reached the reducer."""
    return make_problem(
        request_id,
        Outcome.NOT_RUN,
        reason,
        status=status or _STATUS_BY_REASON.get(reason, _STATUS_OVERLOADED),
        cause=detail,
        retry_after_s=retry_after_s,
    )


def make_failed_account(request_id: str) -> Account:
    """Return the account of a request that an internal error ended, so nobody knows if it ran."""
    outcome, reason = Outcome.UNKNOWN, Reason.EVIDENCE_LOST
    return Account(request_id, outcome, reason, describe_end(outcome, reason))


def make_problem(
    request_id: str,
    outcome: Outcome,
    reason: Reason,
    *,
    status: int,
    retry_after_s: float | None,
    cause: str = "",
) -> Problem:
    """Return a problem answer; `cause` replaces the sentence of the reason."""
    value = {
        "type": _TYPE_PREFIX + reason.value,
        "title": HTTPStatus(status).phrase,
        "status": status,
        "detail": describe_end(outcome, reason, cause),
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
    if outcome is Outcome.NOT_RUN and status in _TEMPORARY_STATUSES:
        headers.append(
            (b"retry-after", b"%d" % max(1, ceil(retry_after_s or DEFAULT_RETRY_AFTER_S)))
        )
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    return Problem(status, headers, body)


_TEMPORARY_STATUSES: Final = frozenset({429, 503, 504})


def account_headers(request_id: str, outcome: Outcome) -> list[tuple[bytes, bytes]]:
    """Return the headers of every answer: the request id and the outcome."""
    return [
        (REQUEST_ID_HEADER, request_id.encode("ascii")),
        (OUTCOME_HEADER, outcome.value.encode("ascii")),
    ]
