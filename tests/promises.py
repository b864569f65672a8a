"""What an answer promises to a caller, read from its status, its fields and its text."""

from __future__ import annotations

import json
from typing import Any, Final

# Statuses which guarantee that nothing was run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Parts of sentences which say that no server has run a request.
_NOT_RUN_PHRASES: Final = (
    "nothing was run",
    "not run",
    "not been run",
    "before a server could begin",
    "safe to send",
)


def promises_not_run(status: int, headers: dict[str, str], body: bytes) -> bool:
    """Return whether an answer says in any way that no server has run the request."""
    if status in NOT_RUN_STATUSES or "retry-after" in headers:
        return True
    if headers.get("turmericweir-outcome") == "not_run":
        return True
    return says_not_run(_fields(body))


def says_not_run(fields: dict[str, Any]) -> bool:
    """Return whether the fields of an account say that no server has run the request."""
    text = str(fields.get("detail", "")).lower()
    return fields.get("outcome") == "not_run" or any(each in text for each in _NOT_RUN_PHRASES)


def _fields(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
