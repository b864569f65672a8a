"""Append operators' changes to the log, and report their verdicts.

A submitted change is settled when its record is read back from the log, so all instances reach the
same verdict. Until then the append is repeated with the same change id, of which only the first
record counts. A change that certainly did not reach the log is given up after `change_give_up_s`;
one that may have reached it is appended until it is read back.
"""

from __future__ import annotations

from typing import Final
from uuid import UUID

from returns.pipeline import is_successful
from returns.result import Result

from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import (
    AppendRecords,
    Count,
    Effect,
    Log,
    ReadLog,
    ReportVerdict,
)
from turmericweir_core.messages.events import AppendDone, AppendFailed, ChangeSubmitted
from turmericweir_core.records.settings_record import (
    SETTINGS_STREAM,
    ChangeRecord,
    SettingsRecord,
    read_record,
    record_json,
)
from turmericweir_core.records.settings_verdict import (
    Malformed,
    NotAppended,
    Repeated,
    Settlement,
    SnapshotMatched,
    SnapshotMismatched,
    SnapshotUnchecked,
    Subject,
    Verdict,
)
from turmericweir_core.state.settings_state import SeenChange, settings_version
from turmericweir_core.state.settings_sync import PendingChange, SettingsSync, settings_read_offset

# Prefix of the operators in the process file. No name below `/operators` can have it. Prevents
# the settings from granting the authority of these operators.
BOOTSTRAP_PREFIX: Final = "bootstrap/"
_UUID_VERSION_WITH_TIME: Final = 7


# --- submission ------------------------------------------------------------------------------


def on_change_submitted(
    sync: SettingsSync, options: Options, now: float, event: ChangeSubmitted
) -> list[Effect]:
    """Append a change, unless its id already has a verdict or is pending."""
    if event.change_id in sync.pending:
        return []
    result = _build_record(sync, event)
    if not is_successful(result):
        return [_rejection(event, result.failure())]
    change = result.unwrap()
    seen_change = sync.settings.judged_changes.get(event.change_id)
    if seen_change is not None:
        return [ReportVerdict(event.change_id, _repeated_verdict(change, seen_change))]
    if len(sync.pending) >= options.change_pending_max:
        return [_rejection(event, "too many changes wait for the log; send it again later")]
    sync.pending[event.change_id] = PendingChange(change, submitted_at=now, tried_at=now)
    return [_append(change)]


def _rejection(event: ChangeSubmitted, reason: str) -> Effect:
    return ReportVerdict(event.change_id, NotAppended(event.change_id, event.path, reason))


def _build_record(sync: SettingsSync, event: ChangeSubmitted) -> Result[ChangeRecord, str]:
    """Return the record of a change, or the reason why it is malformed.

    A change without an expected version gets the current one. Prevents a record that is appended
    twice from undoing a change in between.
    """
    expected = event.expected_version
    if expected is None:
        expected = settings_version(sync.settings, event.path)
    is_bootstrap = event.operator.startswith(BOOTSTRAP_PREFIX)
    record = {
        "type": "change",
        "change_id": event.change_id,
        "path": event.path,
        "expected_version": expected,
        "value": event.value,
        "operator": event.operator,
        "authority": "bootstrap" if is_bootstrap else "operator",
        "at": _uuid_time_s(event.change_id),
    }
    return read_record(record).map(_as_change)


def _as_change(record: SettingsRecord) -> ChangeRecord:
    assert isinstance(record, ChangeRecord)
    return record


def _uuid_time_s(change_id: str) -> float:
    """Return the time of a UUIDv7 in seconds since the epoch, or 0 for any other id.

    The reducer has no wall clock, and `at` is only displayed.
    """
    try:
        uuid = UUID(change_id)
    except ValueError:
        return 0.0
    return (uuid.int >> 80) / 1000.0 if uuid.version == _UUID_VERSION_WITH_TIME else 0.0


def _append(change: ChangeRecord) -> Effect:
    return AppendRecords(SETTINGS_STREAM, change.change_id, (record_json(change),))


def on_append_done(sync: SettingsSync, event: AppendDone) -> list[Effect]:
    """Record the offset of a change, and read the log up to it at once."""
    pending = sync.pending.get(event.token)
    if pending is None:
        return []
    pending.in_flight = False
    pending.may_be_in_log = True
    pending.offset = event.first_offset
    offset = settings_read_offset(sync)
    return [ReadLog(SETTINGS_STREAM, offset)] if offset <= event.first_offset else []


def on_append_failed(sync: SettingsSync, now: float, event: AppendFailed) -> list[Effect]:
    """Record a failed or unacknowledged append, which a later tick repeats."""
    pending = sync.pending.get(event.token)
    if pending is None:
        return []
    pending.in_flight = False
    pending.may_be_in_log = pending.may_be_in_log or event.may_have_applied
    pending.tried_at = now
    fields = {
        "step": "append",
        "peer": "platform",
        "change_id": event.token,
        "error": event.error,
        "maybe": event.may_have_applied,
    }
    return [Log("settings_append_failed", fields), Count("settings.append_failed")]


def retry_changes(sync: SettingsSync, options: Options, now: float) -> list[Effect]:
    """Append the pending changes again, or give them up, if due."""
    effects: list[Effect] = []
    for pending in list(sync.pending.values()):
        effects += _retry_change(sync, options, now, pending)
    return effects


def _retry_change(
    sync: SettingsSync, options: Options, now: float, pending: PendingChange
) -> list[Effect]:
    """Append a pending change again, or give it up, if due.

    If an unacknowledged append did reach the log, the second record with the same id has no effect.
    """
    if pending.in_flight or now - pending.tried_at < options.change_retry_s:
        return []
    change = pending.record
    if not pending.may_be_in_log and now - pending.submitted_at >= options.change_give_up_s:
        reason = "the platform's log did not take it"
        return _settle_pending(
            sync, change.change_id, NotAppended(change.change_id, change.path, reason)
        )
    if pending.offset is not None and sync.settings.offset <= pending.offset:
        # The record is in the log at a known offset that has not been read yet.
        return []
    pending.in_flight = True
    pending.tried_at = now
    return [_append(change), Count("settings.append_again")]


# --- settlement ------------------------------------------------------------------------------


def settle(sync: SettingsSync, verdict: Verdict) -> list[Effect]:
    """Report a verdict to the operator who waits for it, if any."""
    if isinstance(verdict, Malformed | SnapshotMatched | SnapshotMismatched | SnapshotUnchecked):
        return []
    return _settle_pending(sync, verdict.subject.change_id, verdict)


def _settle_pending(sync: SettingsSync, change_id: str, verdict: Settlement) -> list[Effect]:
    if sync.pending.pop(change_id, None) is None:
        return []
    return [ReportVerdict(change_id, verdict)]


def settle_from_snapshot(sync: SettingsSync) -> list[Effect]:
    """Settle the pending changes whose ids a loaded snapshot contains."""
    effects: list[Effect] = []
    for change_id, pending in list(sync.pending.items()):
        seen_change = sync.settings.judged_changes.get(change_id)
        if seen_change is not None:
            effects += _settle_pending(
                sync, change_id, _repeated_verdict(pending.record, seen_change)
            )
    return effects


def _repeated_verdict(change: ChangeRecord, seen_change: SeenChange) -> Repeated:
    subject = Subject(change.change_id, change.path, change.operator, change.at, seen_change.offset)
    return Repeated(subject, seen_change.offset, seen_change.kind)
