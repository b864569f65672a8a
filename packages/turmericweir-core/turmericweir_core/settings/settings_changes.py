"""Carry operators' changes into the log, and tell what became of them.

A submitted change is appended, and settled when its own record is read back: the verdict comes from
the fold, so it is the same one that every other instance comes to. While no verdict has come the
append is made again under the same change id, which the fold counts once. A change that certainly
never reached the log is given up after a while; one that may have is pursued until the log tells.
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
    SettleChange,
)
from turmericweir_core.messages.events import AppendDone, AppendFailed, ChangeSubmitted
from turmericweir_core.records.settings_record import (
    STREAM,
    ChangeRecord,
    SettingsRecord,
    log_form,
    read_record,
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
from turmericweir_core.state.settings_state import Seen, settings_version
from turmericweir_core.state.settings_sync import PendingChange, SettingsSync, settings_read_offset

# Operators of the process file are named with this prefix, which no path below `/operators` can
# have: nobody can be given their authority by a setting.
BOOTSTRAP_PREFIX: Final = "bootstrap/"
_UUID_VERSION_WITH_TIME: Final = 7


# --- submitting ------------------------------------------------------------------------------


def on_change_submitted(
    sync: SettingsSync, options: Options, now: float, event: ChangeSubmitted
) -> list[Effect]:
    """Append a change, unless its id was judged before or is under way."""
    if event.change_id in sync.pending:
        return []
    result = _change_of(sync, event)
    if not is_successful(result):
        return [_refuse(event, result.failure())]
    change = result.unwrap()
    seen = sync.settings.seen.get(event.change_id)
    if seen is not None:
        return [SettleChange(event.change_id, _repeated(change, seen))]
    if len(sync.pending) >= options.change_pending_max:
        return [_refuse(event, "too many changes wait for the log; send it again later")]
    sync.pending[event.change_id] = PendingChange(change, submitted_at=now, tried_at=now)
    return [_append(change)]


def _refuse(event: ChangeSubmitted, reason: str) -> Effect:
    return SettleChange(event.change_id, NotAppended(event.change_id, event.path, reason))


def _change_of(sync: SettingsSync, event: ChangeSubmitted) -> Result[ChangeRecord, str]:
    """Build the record of a change, or say why it cannot be one.

    A change without an expected version gets the one that this instance knows. Every record is
    conditional: one that was appended twice could otherwise undo a change made in between.
    """
    expected = event.expected_version
    if expected is None:
        expected = settings_version(sync.settings, event.path)
    bootstrap = event.operator.startswith(BOOTSTRAP_PREFIX)
    raw = {
        "type": "change",
        "change_id": event.change_id,
        "path": event.path,
        "expected_version": expected,
        "value": event.value,
        "operator": event.operator,
        "authority": "bootstrap" if bootstrap else "operator",
        "at": _time_of(event.change_id),
    }
    return read_record(raw).map(_as_change)


def _as_change(record: SettingsRecord) -> ChangeRecord:
    assert isinstance(record, ChangeRecord)
    return record


def _time_of(change_id: str) -> float:
    """Read the time, seconds since the epoch, out of a UUIDv7; 0 for any other id.

    The reducer has no wall clock, and `at` is only shown.
    """
    try:
        uuid = UUID(change_id)
    except ValueError:
        return 0.0
    return (uuid.int >> 80) / 1000.0 if uuid.version == _UUID_VERSION_WITH_TIME else 0.0


def _append(change: ChangeRecord) -> Effect:
    return AppendRecords(STREAM, change.change_id, (log_form(change),))


def on_append_done(sync: SettingsSync, event: AppendDone) -> list[Effect]:
    """Note where a change stands, and read on to it at once."""
    pending = sync.pending.get(event.token)
    if pending is None:
        return []
    pending.in_flight = False
    pending.maybe_in_log = True
    pending.offset = event.first
    offset = settings_read_offset(sync)
    return [ReadLog(STREAM, offset)] if offset <= event.first else []


def on_append_failed(sync: SettingsSync, now: float, event: AppendFailed) -> list[Effect]:
    """Note that an append failed or lost its acknowledgement; it is made again on a later tick."""
    pending = sync.pending.get(event.token)
    if pending is None:
        return []
    pending.in_flight = False
    pending.maybe_in_log = pending.maybe_in_log or event.maybe
    pending.tried_at = now
    fields = {
        "step": "append",
        "peer": "platform",
        "change_id": event.token,
        "error": event.error,
        "maybe": event.maybe,
    }
    return [Log("settings_append_failed", fields), Count("settings.append_failed")]


def pursue_changes(sync: SettingsSync, options: Options, now: float) -> list[Effect]:
    """Append again, or give up, the changes that have waited for it."""
    effects: list[Effect] = []
    for pending in list(sync.pending.values()):
        effects += _pursue(sync, options, now, pending)
    return effects


def _pursue(
    sync: SettingsSync, options: Options, now: float, pending: PendingChange
) -> list[Effect]:
    """Append a change again, or give it up.

    An acknowledgement may be lost while the record stands in the log, so no answer is no proof.
    Appending the same id again settles it: if the first append took effect, the fold skips the
    second, and either way reading on brings the one verdict.
    """
    if pending.in_flight or now - pending.tried_at < options.change_retry_s:
        return []
    change = pending.record
    if not pending.maybe_in_log and now - pending.submitted_at >= options.change_give_up_s:
        reason = "the platform's log did not take it"
        return _answer(sync, change.change_id, NotAppended(change.change_id, change.path, reason))
    # It stands in the log at a known offset, which is yet to be read.
    if pending.offset is not None and sync.settings.offset <= pending.offset:
        return []
    pending.in_flight = True
    pending.tried_at = now
    return [_append(change), Count("settings.append_again")]


# --- settling --------------------------------------------------------------------------------


def settle(sync: SettingsSync, verdict: Verdict) -> list[Effect]:
    """Tell the operator who waits for a change, if any, what became of it."""
    if isinstance(verdict, Malformed | SnapshotMatched | SnapshotMismatched | SnapshotUnchecked):
        return []
    return _answer(sync, verdict.subject.change_id, verdict)


def _answer(sync: SettingsSync, change_id: str, verdict: Settlement) -> list[Effect]:
    if sync.pending.pop(change_id, None) is None:
        return []
    return [SettleChange(change_id, verdict)]


def settle_seen(sync: SettingsSync) -> list[Effect]:
    """Settle the changes whose records a snapshot has covered, by what it says of their ids."""
    effects: list[Effect] = []
    for change_id, pending in list(sync.pending.items()):
        seen = sync.settings.seen.get(change_id)
        if seen is not None:
            effects += _answer(sync, change_id, _repeated(pending.record, seen))
    return effects


def _repeated(change: ChangeRecord, seen: Seen) -> Repeated:
    subject = Subject(change.change_id, change.path, change.operator, change.at, seen.offset)
    return Repeated(subject, seen.offset, seen.kind)
