"""What becomes of each record of the settings stream, as typed values.

`describe` gives any of them as plain JSON: operators, logs and the history see the same words.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any, TypeAlias

from turmericweir_core.records.settings_path import Problem


class VerdictKind(StrEnum):
    """How a record was judged."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    FORBIDDEN = "forbidden"
    REPEATED = "repeated"
    MALFORMED = "malformed"
    SNAPSHOT_MATCHED = "snapshot_matched"
    SNAPSHOT_MISMATCHED = "snapshot_mismatched"
    SNAPSHOT_UNCHECKED = "snapshot_unchecked"
    NOT_APPENDED = "not_appended"


@dataclass(frozen=True, slots=True)
class Subject:
    """The change that a verdict is about."""

    change_id: str
    path: str
    operator: str
    # Seconds since the epoch by the clock of whoever made the change; shown, never compared.
    at: float
    # The offset of its record.
    offset: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the state."""

    subject: Subject
    # The path's version from now on; 0 when the change deleted it.
    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The path had another version than the change expected."""

    subject: Subject
    expected_version: int
    # What stands there: the value that won, or None where the path was deleted.
    version: int
    value: dict[str, Any] | None
    # Who set it; empty where the path is absent.
    won_by: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The path or value is refused."""

    subject: Subject
    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class Forbidden:
    """The operator held no subtree with the path at that offset."""

    subject: Subject


@dataclass(frozen=True, slots=True)
class Repeated:
    """The change was judged before, and is skipped."""

    subject: Subject
    first_offset: int
    # How it was judged then.
    first: VerdictKind


@dataclass(frozen=True, slots=True)
class Malformed:
    """The record is not one of the settings stream; it changes nothing."""

    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotMatched:
    """A snapshot says what this reader holds too."""

    offset: int
    snapshot_offset: int


@dataclass(frozen=True, slots=True)
class SnapshotMismatched:
    """A snapshot is damaged, or says other than this reader holds; it is ignored."""

    offset: int
    snapshot_offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotUnchecked:
    """A snapshot is sound in itself, of an offset whose hash this reader has not kept."""

    offset: int
    snapshot_offset: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """The log did not take the change; it changed nothing and never will."""

    change_id: str
    path: str
    reason: str


# Verdicts that the fold gives on a change that it sees for the first time.
ChangeVerdict: TypeAlias = Accepted | Conflict | Invalid | Forbidden
SnapshotVerdict: TypeAlias = SnapshotMatched | SnapshotMismatched | SnapshotUnchecked
Verdict: TypeAlias = ChangeVerdict | Repeated | Malformed | SnapshotVerdict
# What an operator who waits for a change can be told.
Settlement: TypeAlias = ChangeVerdict | Repeated | NotAppended


def kind_of(verdict: Verdict | NotAppended) -> VerdictKind:
    """Name the kind of a verdict."""
    return _KINDS[type(verdict)]


_KINDS: dict[type[Verdict | NotAppended], VerdictKind] = {
    Accepted: VerdictKind.ACCEPTED,
    Conflict: VerdictKind.CONFLICT,
    Invalid: VerdictKind.INVALID,
    Forbidden: VerdictKind.FORBIDDEN,
    Repeated: VerdictKind.REPEATED,
    Malformed: VerdictKind.MALFORMED,
    SnapshotMatched: VerdictKind.SNAPSHOT_MATCHED,
    SnapshotMismatched: VerdictKind.SNAPSHOT_MISMATCHED,
    SnapshotUnchecked: VerdictKind.SNAPSHOT_UNCHECKED,
    NotAppended: VerdictKind.NOT_APPENDED,
}


def describe(verdict: Verdict | NotAppended) -> dict[str, Any]:
    """Give a verdict as plain JSON."""
    fields = asdict(verdict)
    subject = fields.pop("subject", {})
    return {"verdict": kind_of(verdict).value, **subject, **fields}
