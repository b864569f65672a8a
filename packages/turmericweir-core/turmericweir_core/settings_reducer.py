"""Keep the settings in step with the log and the peers, and carry operators' changes into the log.

Records come from the platform's log or from a peer and are applied in offset order, whichever
brings them first. What the log no longer keeps is bridged by a snapshot, found in the log or had
from a peer; the state only ever moves to a larger offset.

A submitted change is appended, and settled when its own record is read back: the verdict comes from
the fold, so it is the same one that every other instance comes to. While no verdict has come the
append is made again under the same change id, which the fold counts once. A change that certainly
never reached the log is given up after a while; one that may have is pursued until the log tells.

All functions take the `SettingsSync`, change it in place and return effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Final
from uuid import UUID

from returns.pipeline import is_successful

from turmericweir_core.effects import (
    AppendRecords,
    Count,
    Effect,
    Log,
    ReadLog,
    SendPeer,
    SettleChange,
)
from turmericweir_core.events import (
    AppendDone,
    AppendFailed,
    ChangeSubmitted,
    LogExpired,
    LogFailed,
    LogRead,
    LogRecord,
)
from turmericweir_core.ids import InstanceName
from turmericweir_core.options import Options
from turmericweir_core.peer_messages import Heartbeat, SettingsAsk, SettingsSend
from turmericweir_core.settings_record import (
    STREAM,
    ChangeRecord,
    SnapshotRecord,
    log_form,
    read_record,
)
from turmericweir_core.settings_state import (
    Seen,
    apply,
    config_of,
    load_snapshot,
    settings_version,
    state_digest,
    take_snapshot,
)
from turmericweir_core.settings_sync import (
    PeerSettings,
    PendingChange,
    SettingsSync,
    keep_record,
    settings_read_offset,
)
from turmericweir_core.settings_verdict import (
    Accepted,
    Conflict,
    Forbidden,
    Invalid,
    Malformed,
    NotAppended,
    Repeated,
    Settlement,
    SnapshotMatched,
    SnapshotMismatched,
    SnapshotUnchecked,
    Subject,
    Verdict,
    describe,
    kind_of,
)

# Operators of the process file are named with this prefix, which no path below `/operators` can
# have: nobody can be given their authority by a setting.
BOOTSTRAP_PREFIX: Final = "bootstrap/"
_SNAPSHOT_TOKEN: Final = "snapshot"
_UUID_VERSION_WITH_TIME: Final = 7


# --- the log ---------------------------------------------------------------------------------


def on_log_read(sync: SettingsSync, options: Options, now: float, event: LogRead) -> list[Effect]:
    """Take records that the platform's log gave."""
    effects = _note_log_works(sync, now)
    sync.log_read = True
    sync.known_end = max(sync.known_end, event.end)
    effects += _watch_end(sync, options, now, event.end)
    effects += _take(sync, options, now, event.records)
    return effects + _publish(sync, options, now)


def on_log_expired(sync: SettingsSync, now: float, event: LogExpired) -> list[Effect]:
    """Go on reading where the log begins, to find a snapshot there."""
    effects = _note_log_works(sync, now)
    sync.known_end = max(sync.known_end, event.end)
    if settings_read_offset(sync) >= event.oldest:
        # The read set out before a peer had brought this instance further.
        return effects
    sync.resume_at = event.oldest
    sync.ahead.clear()
    fields = {"offset": sync.settings.offset, "oldest": event.oldest, "end": event.end}
    return [*effects, Log("settings_expired", fields), Count("settings.expired")]


def on_log_failed(sync: SettingsSync, now: float, event: LogFailed) -> list[Effect]:
    """Note that the log cannot be read; from now on the peers are asked without delay."""
    if sync.log_failed_since is not None:
        return []
    sync.log_failed_since = now
    fields = {"step": "read", "peer": "platform", "error": event.error}
    return [Log("settings_log_unreachable", fields), Count("settings.log_unreachable")]


def _note_log_works(sync: SettingsSync, now: float) -> list[Effect]:
    if sync.log_failed_since is None:
        return []
    seconds = now - sync.log_failed_since
    sync.log_failed_since = None
    return [Log("settings_log_reachable", {"after_s": round(seconds, 3)})]


def _watch_end(sync: SettingsSync, options: Options, now: float, end: int) -> list[Effect]:
    """Report a log that was cut short: new changes would never get beyond this instance's offset.

    One such answer proves nothing, as a read may have set out before a peer brought newer records.
    """
    if end >= sync.settings.offset:
        sync.log_shorter_since = None
        sync.log_shorter_reported = False
        return []
    if sync.log_shorter_since is None:
        sync.log_shorter_since = now
    if sync.log_shorter_reported or now - sync.log_shorter_since < options.settings_shorter_s:
        return []
    sync.log_shorter_reported = True
    fields = {"end": end, "offset": sync.settings.offset}
    return [Log("settings_log_shorter", fields), Count("settings.log_shorter")]


def _take(
    sync: SettingsSync, options: Options, now: float, records: Iterable[LogRecord]
) -> list[Effect]:
    """Apply the records that come next; hold those beyond a gap."""
    effects: list[Effect] = []
    beyond: list[LogRecord] = []
    for record in records:
        if record.offset == sync.settings.offset:
            verdict = apply(sync.settings, record)
            keep_record(sync, options, record)
            effects += _report(sync, now, verdict) + _settle(sync, verdict)
        elif record.offset > sync.settings.offset:
            beyond.append(record)
    if beyond:
        effects += _take_beyond(sync, options, now, beyond)
    return effects


def _take_beyond(
    sync: SettingsSync, options: Options, now: float, records: list[LogRecord]
) -> list[Effect]:
    """Hold records beyond a gap, and cross it as soon as a snapshot among them allows it."""
    if sync.ahead:
        records = [it for it in records if it.offset > sync.ahead[-1].offset]
    if sync.ahead and records and sync.ahead[-1].offset + 1 != records[0].offset:
        sync.ahead.clear()
    sync.ahead.extend(records)
    while len(sync.ahead) > options.settings_ahead_max:
        sync.ahead.popleft()
    effects: list[Effect] = []
    for record in records:
        effects += _try_snapshot(sync, record)
        if sync.settings.offset >= sync.ahead[0].offset:
            held = list(sync.ahead)
            sync.ahead.clear()
            return effects + _take(sync, options, now, held)
    return effects


def _try_snapshot(sync: SettingsSync, record: LogRecord) -> list[Effect]:
    """Load a snapshot found beyond a gap, if the records after its own offset are all held."""
    result = read_record(record.value)
    if not is_successful(result):
        return []
    snapshot = result.unwrap()
    if not isinstance(snapshot, SnapshotRecord) or snapshot.offset < sync.ahead[0].offset:
        return []
    return _load(sync, snapshot, "log")


def _load(sync: SettingsSync, snapshot: SnapshotRecord, source: str) -> list[Effect]:
    """Move on to a snapshot; one that is damaged or not newer changes nothing."""
    before = sync.settings.offset
    result = load_snapshot(sync.settings, snapshot)
    fields = {"source": source, "snapshot_offset": snapshot.offset, "offset": before}
    if not is_successful(result):
        refused = Log("settings_snapshot_refused", {**fields, "reason": result.failure()})
        return [refused, Count("settings.snapshot_refused")]
    sync.kept.clear()
    loaded = Log("settings_snapshot_loaded", fields)
    return [loaded, Count("settings.snapshot_loaded"), *_settle_seen(sync)]


# --- verdicts --------------------------------------------------------------------------------


def _report(sync: SettingsSync, now: float, verdict: Verdict) -> list[Effect]:
    """Count and log what became of a record, and note snapshots."""
    kind = kind_of(verdict)
    match verdict:
        case SnapshotMatched() | SnapshotUnchecked():
            sync.snapshot_offset = verdict.snapshot_offset
            # The age of one that a starting instance reads is not known.
            sync.snapshot_seen_at = now if sync.ready else None
            sync.snapshot_due_since = None
            return []
        case Malformed() | SnapshotMismatched():
            return [Log(f"settings_{kind}", describe(verdict)), Count(f"settings.{kind}")]
        case Accepted() | Conflict() | Invalid() | Forbidden() | Repeated():
            # A starting instance reads the whole log again: that is no news.
            if not sync.ready:
                return []
            subject = verdict.subject
            fields = {
                "path": subject.path,
                "operator": subject.operator,
                "change_id": subject.change_id,
                "offset": subject.offset,
            }
            return [Log(f"settings_{kind}", fields), Count(f"settings.{kind}")]


def _settle(sync: SettingsSync, verdict: Verdict) -> list[Effect]:
    if isinstance(verdict, Malformed | SnapshotMatched | SnapshotMismatched | SnapshotUnchecked):
        return []
    return _answer(sync, verdict.subject.change_id, verdict)


def _answer(sync: SettingsSync, change_id: str, verdict: Settlement) -> list[Effect]:
    if sync.pending.pop(change_id, None) is None:
        return []
    return [SettleChange(change_id, verdict)]


def _settle_seen(sync: SettingsSync) -> list[Effect]:
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


def _publish(sync: SettingsSync, options: Options, now: float) -> list[Effect]:
    """Put the settings in force, once they have been whole."""
    if not sync.ready and not _is_whole(sync, options, now):
        return []
    effects: list[Effect] = []
    if not sync.ready:
        sync.ready = True
        effects.append(Log("settings_ready", {"offset": sync.settings.offset}))
    if sync.config.offset != sync.settings.offset:
        sync.config = config_of(sync.settings)
    return effects


def _is_whole(sync: SettingsSync, options: Options, now: float) -> bool:
    """Tell whether a starting instance may serve by what it has.

    Halfway through the log it would serve by settings that were replaced long ago: to callers, an
    accepted change would seem to have been taken back.
    """
    offset = sync.settings.offset
    if offset < sync.known_end or not (sync.log_read or offset):
        return False
    waited = sync.started_at is not None and now - sync.started_at > options.settings_wait_s
    return waited or sync.newer_peer is None or sync.newer_peer.offset <= offset


# --- peers -----------------------------------------------------------------------------------


def on_heartbeat(sync: SettingsSync, sender: InstanceName, beat: Heartbeat) -> list[Effect]:
    """Report a peer whose hash differs at an offset of this instance: one of the two is damaged."""
    own = sync.settings.digests.get(beat.settings_offset)
    if beat.settings_offset == sync.settings.offset:
        own = state_digest(sync.settings)
    if not beat.settings_hash or own is None or own == beat.settings_hash:
        return []
    if sync.diverged.get(sender) == beat.settings_offset:
        return []
    sync.diverged[sender] = beat.settings_offset
    fields = {
        "peer": sender,
        "offset": beat.settings_offset,
        "own_hash": own,
        "peer_hash": beat.settings_hash,
    }
    return [Log("settings_diverged", fields), Count("settings.diverged")]


def _follow_peers(
    sync: SettingsSync, options: Options, now: float, peers: Sequence[PeerSettings]
) -> list[Effect]:
    """Ask the peer with the newest settings while this instance is behind it."""
    sync.peers_checked_at = now
    newest = max(peers, key=lambda peer: (peer.offset, peer.name), default=None)
    if newest is None or newest.offset <= sync.settings.offset:
        sync.newer_peer = sync.behind_since = None
        return []
    sync.newer_peer = newest
    if sync.behind_since is None:
        sync.behind_since = now
    waited = now - sync.behind_since >= options.settings_ask_after_s
    log_is_no_help = sync.log_failed_since is not None or not sync.log_read or _has_gap(sync)
    asked = sync.asked_at is not None and now - sync.asked_at < options.settings_ask_s
    if asked or not (waited or log_is_no_help):
        return []
    sync.asked_at = now
    ask = SendPeer(newest.name, newest.address, SettingsAsk(sync.settings.offset))
    return [ask, Count("settings.ask")]


def _has_gap(sync: SettingsSync) -> bool:
    return settings_read_offset(sync) > sync.settings.offset


def on_settings_ask(
    sync: SettingsSync,
    options: Options,
    sender: InstanceName,
    address: str,
    message: SettingsAsk,
) -> list[Effect]:
    """Send a peer the records that it lacks, or the whole state where they are gone."""
    # While it is not whole itself, an instance would pass on settings that were replaced long ago.
    if not sync.ready or message.offset >= sync.settings.offset:
        return []
    return [SendPeer(sender, address, _answer_ask(sync, options, message.offset))]


def _answer_ask(sync: SettingsSync, options: Options, offset: int) -> SettingsSend:
    if sync.kept and offset >= sync.kept[0].offset:
        start = offset - sync.kept[0].offset
        stop = min(len(sync.kept), start + options.settings_send_max)
        return SettingsSend(offset, [sync.kept[at].value for at in range(start, stop)])
    return SettingsSend(sync.settings.offset, [], log_form(take_snapshot(sync.settings)))


def on_settings_send(
    sync: SettingsSync, options: Options, now: float, message: SettingsSend
) -> list[Effect]:
    """Take records, or a whole state, from a peer."""
    before = sync.settings.offset
    effects: list[Effect] = []
    if message.snapshot is not None:
        effects += _load_sent(sync, message)
    records = [LogRecord(message.first + at, it) for at, it in enumerate(message.records)]
    # Records beyond a gap are of no use here: the peer is asked for those before them.
    if records and records[0].offset <= sync.settings.offset:
        effects += _take(sync, options, now, records)
    if sync.settings.offset == before:
        return effects
    effects += _take_held(sync, options, now)
    effects.append(Count("settings.from_peer"))
    # The next part is asked for as soon as the peers are looked at again.
    sync.asked_at = sync.peers_checked_at = None
    return effects + _publish(sync, options, now)


def _take_held(sync: SettingsSync, options: Options, now: float) -> list[Effect]:
    """Go on with records held beyond a gap, once a peer has bridged it."""
    if not sync.ahead or sync.ahead[0].offset > sync.settings.offset:
        return []
    held = list(sync.ahead)
    sync.ahead.clear()
    return _take(sync, options, now, held)


def _load_sent(sync: SettingsSync, message: SettingsSend) -> list[Effect]:
    result = read_record(message.snapshot)
    snapshot = result.unwrap() if is_successful(result) else None
    if isinstance(snapshot, SnapshotRecord):
        return _load(sync, snapshot, "peer")
    refused = Log("settings_snapshot_refused", {"source": "peer", "reason": "it is malformed"})
    return [refused, Count("settings.snapshot_refused")]


# --- operators' changes ----------------------------------------------------------------------


def on_change_submitted(
    sync: SettingsSync, options: Options, now: float, event: ChangeSubmitted
) -> list[Effect]:
    """Append a change, unless its id was judged before or is under way."""
    if event.change_id in sync.pending:
        return []
    change = _change_of(sync, event)
    if isinstance(change, str):
        return [SettleChange(event.change_id, NotAppended(event.change_id, event.path, change))]
    seen = sync.settings.seen.get(event.change_id)
    if seen is not None:
        return [SettleChange(event.change_id, _repeated(change, seen))]
    if len(sync.pending) >= options.change_pending_max:
        reason = "too many changes wait for the log; send it again later"
        return [SettleChange(event.change_id, NotAppended(event.change_id, event.path, reason))]
    sync.pending[event.change_id] = PendingChange(change, submitted_at=now, tried_at=now)
    return [_append(change)]


def _change_of(sync: SettingsSync, event: ChangeSubmitted) -> ChangeRecord | str:
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
    result = read_record(raw)
    if not is_successful(result):
        return result.failure()
    record = result.unwrap()
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
    return [ReadLog(STREAM, sync.settings.offset)] if sync.settings.offset <= event.first else []


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


def _pursue_changes(sync: SettingsSync, options: Options, now: float) -> list[Effect]:
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


# --- snapshots -------------------------------------------------------------------------------


def _write_snapshot(
    sync: SettingsSync,
    options: Options,
    now: float,
    me: InstanceName,
    peers: Sequence[PeerSettings],
) -> list[Effect]:
    """Append a snapshot when one is due and it is this instance's turn.

    Two writers are harmless: readers check either against their own state.
    """
    if not sync.ready or not sync.settings.offset or not _snapshot_is_due(sync, options, now):
        sync.snapshot_due_since = None
        return []
    if sync.snapshot_due_since is None:
        sync.snapshot_due_since = now
    turn = sum(1 for peer in peers if peer.name < me)
    tried = sync.snapshot_tried_at
    if now - sync.snapshot_due_since < turn * options.snapshot_step_s:
        return []
    if tried is not None and now - tried < options.snapshot_retry_s:
        return []
    if sync.log_failed_since is not None:
        return []
    sync.snapshot_tried_at = now
    record = log_form(take_snapshot(sync.settings))
    return [AppendRecords(STREAM, _SNAPSHOT_TOKEN, (record,)), Count("settings.snapshot_written")]


def _snapshot_is_due(sync: SettingsSync, options: Options, now: float) -> bool:
    if sync.settings.offset - sync.snapshot_offset >= options.snapshot_every:
        return True
    if sync.snapshot_seen_at is not None:
        return now - sync.snapshot_seen_at >= options.snapshot_every_s
    return sync.started_at is not None and now - sync.started_at >= options.snapshot_first_s


# --- time ------------------------------------------------------------------------------------


def on_tick(
    sync: SettingsSync,
    options: Options,
    now: float,
    me: InstanceName,
    list_peers: Callable[[], Sequence[PeerSettings]],
) -> list[Effect]:
    """Do what is due; the peers are listed only when it is time to look at them."""
    if sync.started_at is None:
        sync.started_at = now
    effects = _pursue_changes(sync, options, now)
    checked = sync.peers_checked_at
    if checked is None or now - checked >= options.settings_check_s:
        peers = list_peers()
        effects += _follow_peers(sync, options, now, peers)
        effects += _write_snapshot(sync, options, now, me, peers)
    return effects + _publish(sync, options, now)
