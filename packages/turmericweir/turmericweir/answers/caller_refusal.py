"""The refusal of a request at the border, before the reducer has seen it."""

from __future__ import annotations

from uuid6 import uuid7

from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.reasons import Reason


class RefusedError(Exception):
    """The request is refused at the border."""

    def __init__(self, reason: Reason, detail: str = "", *, status: int | None = None) -> None:
        super().__init__(detail or reason.value)
        self.reason = reason
        self.detail = detail
        # Overrides the status that the reason has.
        self.status = status


def new_request_id() -> RequestId:
    """Make a request id, which sorts by time."""
    return RequestId(str(uuid7()))
