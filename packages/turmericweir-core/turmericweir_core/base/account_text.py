"""The sentences that tell a caller how its request ended.

What a text says of the run of a request follows from the outcome alone, and why it ended from the
reason alone. `requests/lifecycle` writes it into every account, and the adapters into refusals that
do not reach the reducer.
"""

from __future__ import annotations

from typing import Final

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.reasons import MESSAGES, Reason

_RUN_STATE: Final[dict[Outcome, str]] = {
    Outcome.COMPLETED: "",
    Outcome.NOT_RUN: "This request was not run.",
    Outcome.FAILED: "This request may have begun; nothing more of it will run.",
    Outcome.UNKNOWN: "This request may have run; check its effect before sending it again.",
}


def describe_end(outcome: Outcome, reason: Reason, cause: str = "") -> str:
    """Return the text for an outcome; `cause` replaces the sentence of the reason."""
    if outcome is Outcome.COMPLETED:
        return ""
    return f"{cause or MESSAGES[reason]} {_RUN_STATE[outcome]}".lstrip()
