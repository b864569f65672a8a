"""The final result of a request, as reported to the caller.

Every request ends in exactly one `Outcome`. `NOT_RUN` guarantees that no server started the
request, which makes it safe to send again.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from turmericweir_core.base.reasons import Reason


class Outcome(StrEnum):
    """How a request ended."""

    # The whole answer was delivered, with the status code of the server.
    COMPLETED = "completed"
    # No server started the request; it is safe to send it again.
    NOT_RUN = "not_run"
    # The request was started and did not complete; it will not run any further.
    FAILED = "failed"
    # The request may have run: a non-idempotent call whose result was lost.
    UNKNOWN = "unknown"


class Account(Struct, frozen=True):
    """The final account of one request, stored for a limited time for later queries."""

    request_id: str
    outcome: Outcome
    reason: Reason
    # One sentence for the caller; empty for a completed request.
    detail: str
    # Time after which a retry makes sense; None if a retry would not help.
    retry_after_s: float | None = None
    # Status code of the server's answer; None if no server answered.
    status: int | None = None
    # Tokens of the answer that were delivered to the caller.
    tokens: int = 0
    # Number of attempts that were sent to servers.
    attempts: int = 0
    # The server of the last attempt; empty if there was none.
    server: str = ""
    service_class: str = ""
    customer: str = ""
    # Time from the arrival of the request to its end.
    elapsed_s: float = 0.0
