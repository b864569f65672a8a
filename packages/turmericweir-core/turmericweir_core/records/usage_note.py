"""The note of the duty holder in its lease record: the usage windows whose counts are final."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

from turmericweir_core.records.record_field import require_int


class UsageNote(Struct, frozen=True):
    """Usage windows whose counts are final."""

    # The newest settled window; None if there is none.
    newest: int | None = None
    # Requests by customer for windows that the platform may not have accepted yet.
    counts: dict[int, dict[str, int]] = field(default_factory=dict)


def encode_usage_note(note: UsageNote) -> dict[str, Any]:
    """Return a note as the JSON object that is stored."""
    return {
        "newest": note.newest,
        "counts": {str(window): customers for window, customers in note.counts.items()},
    }


# Any: the value is arbitrary JSON from the store.
def decode_usage_note(value: Any) -> UsageNote:
    """Return the validated note; an empty one if it is malformed or missing."""
    try:
        newest = None if value["newest"] is None else require_int(value["newest"])
        counts = {int(window): _parse_counts(row) for window, row in value["counts"].items()}
    except (AttributeError, KeyError, TypeError, ValueError):
        return UsageNote()
    return UsageNote(newest, counts)


def _parse_counts(value: Any) -> dict[str, int]:
    return {customer: require_int(count) for customer, count in value.items()}
