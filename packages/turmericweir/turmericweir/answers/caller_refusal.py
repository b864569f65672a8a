"""The refusal of a request before it reaches the reducer."""

from __future__ import annotations

from uuid6 import uuid7

from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.reasons import Reason


class RefusedError(Exception):
    """Raised for a request that is refused before it reaches the reducer."""

    def __init__(self, reason: Reason, detail: str = "", *, status: int | None = None) -> None:
        super().__init__(detail or reason.value)
        self.reason = reason
        self.detail = detail
        # Overrides the status for the reason.
        self.status = status


def new_request_id() -> RequestId:
    """Return a new request id; ids sort by time."""
    return RequestId(str(uuid7()))
