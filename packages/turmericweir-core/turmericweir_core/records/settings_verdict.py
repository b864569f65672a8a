"""Verdicts on the records of the settings stream, as typed values.

`verdict_json` returns any of them as plain JSON for operators, logs and the history.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any, TypeAlias

from turmericweir_core.records.settings_path import Problem


class VerdictKind(StrEnum):
    """The kind of a verdict."""

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
    # Seconds since the epoch by the clock of the instance that took the change; for display only.
    at: float
    # The offset of its record.
    offset: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was applied."""

    subject: Subject
    # The new version of the path; 0 if the change deleted it.
    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The path had another version than the change expected."""

    subject: Subject
    expected_version: int
    # The current version and value of the path; the value is None if the path was deleted.
    version: int
    value: dict[str, Any] | None
    # The operator who set it; empty if the path does not exist.
    won_by: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The path or value is invalid."""

    subject: Subject
    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class Forbidden:
    """No subtree of the operator contained the path at that offset."""

    subject: Subject


@dataclass(frozen=True, slots=True)
class Repeated:
    """The change already has a verdict and is skipped."""

    subject: Subject
    first_offset: int
    # The earlier verdict.
    first: VerdictKind


@dataclass(frozen=True, slots=True)
class Malformed:
    """The record is not valid in the settings stream; it changes nothing."""

    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotMatched:
    """A snapshot matches the state of this reader."""

    offset: int
    snapshot_offset: int


@dataclass(frozen=True, slots=True)
class SnapshotMismatched:
    """A snapshot is damaged, or differs from the state of this reader; it is ignored."""

    offset: int
    snapshot_offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class SnapshotUnchecked:
    """A snapshot is intact, but this reader no longer has the hash for its offset."""

    offset: int
    snapshot_offset: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """The log did not accept the change; it changed nothing and never will."""

    change_id: str
    path: str
    reason: str


# Verdicts on a change that is read for the first time.
ChangeVerdict: TypeAlias = Accepted | Conflict | Invalid | Forbidden
SnapshotVerdict: TypeAlias = SnapshotMatched | SnapshotMismatched | SnapshotUnchecked
Verdict: TypeAlias = ChangeVerdict | Repeated | Malformed | SnapshotVerdict
# Final results that can be reported to the operator who submitted a change.
Settlement: TypeAlias = ChangeVerdict | Repeated | NotAppended


def verdict_kind(verdict: Verdict | NotAppended) -> VerdictKind:
    """Return the kind of a verdict."""
    return _KIND_BY_TYPE[type(verdict)]


_KIND_BY_TYPE: dict[type[Verdict | NotAppended], VerdictKind] = {
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


def verdict_json(verdict: Verdict | NotAppended) -> dict[str, Any]:
    """Return a verdict as plain JSON."""
    fields = asdict(verdict)
    subject = fields.pop("subject", {})
    return {"verdict": verdict_kind(verdict).value, **subject, **fields}
