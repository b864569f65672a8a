"""What a caller is told at the end of a request.

Every request ends in exactly one `Outcome`. `NOT_RUN` is a promise that no server began the
request, so a caller may send it again without fear of running it twice.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from turmericweir_core.base.reasons import Reason


class Outcome(StrEnum):
    """How a request ended."""

    # The whole answer was delivered, with the server's own status.
    COMPLETED = "completed"
    # No server began it; it is safe to send again.
    NOT_RUN = "not_run"
    # It began and did not complete; nothing more of it will run.
    FAILED = "failed"
    # It may have run: a non-idempotent call whose evidence was lost.
    UNKNOWN = "unknown"


class Account(Struct, frozen=True):
    """The final account of one request, kept for a while for later questions."""

    request_id: str
    outcome: Outcome
    reason: Reason
    # One sentence for the caller; empty for a completed request.
    detail: str
    # Seconds after which another try is worth while, or None where it would not help.
    retry_after_s: float | None = None
    # The status that the server answered with, or None when no server answered.
    status: int | None = None
    # Tokens of the answer that were delivered.
    tokens: int = 0
    # How many attempts were sent to servers.
    attempts: int = 0
    # The server of the last attempt, or an empty string.
    server: str = ""
    service_class: str = ""
    customer: str = ""
    # Seconds from arrival to the end.
    elapsed_s: float = 0.0
