"""All reasons why a request ends, and the message for each.

The codes are stable, as callers and dashboards match on them. The messages may change. They give
the cause only: whether the request ran depends on its outcome (`account_text`).
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class Reason(StrEnum):
    """Why a request ended."""

    OK = "ok"
    # Refused before anything ran.
    BAD_REQUEST = "bad_request"
    UNAUTHORISED = "unauthorised"
    UNKNOWN_TARGET = "unknown_target"
    UNKNOWN_CLASS = "unknown_class"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    CUSTOMER_LIMIT = "customer_limit"
    TEAM_LIMIT = "team_limit"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    NO_SERVER = "no_server"
    # The stream that the caller takes up is unknown, or no server can go on with it.
    STREAM_UNKNOWN = "stream_unknown"
    VERSION_GONE = "version_gone"
    NO_SETTINGS = "no_settings"
    KEY_UNPROVEN = "key_unproven"
    SETTINGS_IN_DOUBT = "settings_in_doubt"
    STOPPING = "stopping"
    # This instance holds as much for callers and servers as its memory allows.
    MEMORY_SHORT = "memory_short"
    DISPLACED = "displaced"
    # A value in it, of the settings or of an earlier answer, cannot be sent to any server.
    UNSENDABLE = "unsendable"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    # The idempotency key was used before with another request.
    KEY_REUSED = "key_reused"
    # Ended after a server started, or may have started.
    SERVER_LOST = "server_lost"
    SERVER_ERROR = "server_error"
    RETRIES_EXHAUSTED = "retries_exhausted"
    QUARANTINED = "quarantined"
    CALLER_LEFT = "caller_left"
    EVIDENCE_LOST = "evidence_lost"
    ALREADY_CLAIMED = "already_claimed"
    ALREADY_COMPLETED = "already_completed"


MESSAGES: Final[dict[Reason, str]] = {
    Reason.OK: "",
    Reason.BAD_REQUEST: "The request could not be understood.",
    Reason.UNAUTHORISED: "The bearer token is missing or not known.",
    Reason.UNKNOWN_TARGET: "No model or service of that name is configured.",
    Reason.UNKNOWN_CLASS: "The customer has no service class for this request.",
    Reason.TOO_LARGE: "The request is larger than this router accepts.",
    Reason.TOO_SLOW: "The request body did not arrive in time.",
    Reason.CUSTOMER_LIMIT: "The customer's limit is reached.",
    Reason.TEAM_LIMIT: "The team's limit is reached.",
    Reason.OVERLOAD: "There is no capacity to answer in time.",
    Reason.DEADLINE: "The deadline passed before the answer.",
    Reason.NO_SERVER: "No server for this target can be reached.",
    Reason.STREAM_UNKNOWN: (
        "It is not known which software version began this stream; begin it anew."
    ),
    Reason.VERSION_GONE: (
        "No server runs the software version that began this stream; begin it anew."
    ),
    Reason.NO_SETTINGS: "This instance has no settings yet.",
    Reason.KEY_UNPROVEN: "This instance cannot tell at present whether the key is still good.",
    Reason.SETTINGS_IN_DOUBT: "This instance cannot tell at present whether its settings are new.",
    Reason.STOPPING: "This instance is stopping and takes no new requests.",
    Reason.MEMORY_SHORT: "This instance holds too much for other callers to take this request.",
    Reason.DISPLACED: "Work of a more urgent class took the place of this request.",
    Reason.UNSENDABLE: "This request, or what goes with it, cannot be written for a server.",
    Reason.CLAIM_UNAVAILABLE: (
        "The idempotency key could not be claimed; send the request again with the same key only, "
        "as an earlier one may have run."
    ),
    Reason.KEY_REUSED: "The idempotency key was used before with another request.",
    Reason.SERVER_LOST: "The server was lost after the request had been sent to it.",
    Reason.SERVER_ERROR: "The server failed while it ran the request.",
    Reason.RETRIES_EXHAUSTED: "The answer broke off and the retry budget is spent.",
    Reason.QUARANTINED: "This request was in flight at repeated server crashes and is refused.",
    Reason.CALLER_LEFT: "The caller closed the connection.",
    Reason.EVIDENCE_LOST: "What became of the call is not known.",
    Reason.ALREADY_CLAIMED: "A call with this idempotency key may have run; see the first one.",
    Reason.ALREADY_COMPLETED: (
        "A call with this idempotency key was completed; its answer is no longer kept."
    ),
}
