"""Keep the settings synchronised with the log and the peers.

Records from the platform's log or from a peer are applied in the order of their offsets. Expired
records are replaced by a snapshot from the log or from a peer. The state only moves to larger
offsets.

`settings_changes` appends operators' changes, and `settings_snapshots` writes snapshots. All
functions here change the given `SettingsSync` in place and return effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from returns.pipeline import is_successful

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import Count, Effect, Log, SendPeer
from turmericweir_core.messages.events import LogExpired, LogFailed, LogRead, LogRecord
from turmericweir_core.messages.membership_messages import Heartbeat
from turmericweir_core.messages.settings_messages import SettingsAsk, SettingsSend
from turmericweir_core.records.settings_record import SnapshotRecord, read_record, record_json
from turmericweir_core.records.settings_verdict import (
    Accepted,
    Conflict,
    Forbidden,
    Invalid,
    Malformed,
    Repeated,
    SnapshotMatched,
    SnapshotMismatched,
    SnapshotUnchecked,
    Verdict,
    verdict_json,
    verdict_kind,
)
from turmericweir_core.settings.settings_changes import retry_changes, settle, settle_from_snapshot
from turmericweir_core.settings.settings_snapshots import write_snapshot
from turmericweir_core.state.settings_state import (
    apply,
    config_of,
    load_snapshot,
    state_digest,
    take_snapshot,
)
from turmericweir_core.state.settings_sync import (
    PeerSettings,
    SettingsSync,
    settings_read_offset,
    store_record,
)

# --- the log ---------------------------------------------------------------------------------


def on_log_read(sync: SettingsSync, options: Options, now: float, event: LogRead) -> list[Effect]:
    """Apply the records of a read of the platform's log."""
    effects = _record_log_reachable(sync, now)
    sync.has_read_log = True
    sync.known_end = max(sync.known_end, event.end_offset)
    effects += _check_log_end(sync, options, now, event.end_offset)
    effects += _apply_records(sync, options, now, event.records)
    return effects + _put_in_force(sync, options, now)


def on_log_expired(sync: SettingsSync, now: float, event: LogExpired) -> list[Effect]:
    """Continue reading at the oldest record of the log, to find a snapshot there."""
    effects = _record_log_reachable(sync, now)
    sync.known_end = max(sync.known_end, event.end_offset)
    if settings_read_offset(sync) >= event.oldest_offset:
        # A peer has sent newer records since this read started.
        return effects
    sync.resume_at = event.oldest_offset
    sync.later_records.clear()
    fields = {
        "offset": sync.settings.offset,
        "oldest": event.oldest_offset,
        "end": event.end_offset,
    }
    return [*effects, Log("settings_expired", fields), Count("settings.expired")]


def on_log_failed(sync: SettingsSync, now: float, event: LogFailed) -> list[Effect]:
    """Record that the log is unreadable, so that peers are asked without delay."""
    if sync.log_failed_since is not None:
        return []
    sync.log_failed_since = now
    fields = {"step": "read", "peer": "platform", "error": event.error}
    return [Log("settings_log_unreachable", fields), Count("settings.log_unreachable")]


def _record_log_reachable(sync: SettingsSync, now: float) -> list[Effect]:
    if sync.log_failed_since is None:
        return []
    after_s = now - sync.log_failed_since
    sync.log_failed_since = None
    return [Log("settings_log_reachable", {"after_s": round(after_s, 3)})]


def _check_log_end(sync: SettingsSync, options: Options, now: float, end: int) -> list[Effect]:
    """Report a truncated log, in which new records would get offsets that were already read.

    A single answer is not enough, as a peer may have sent newer records since the read started.
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


def _apply_records(
    sync: SettingsSync, options: Options, now: float, records: Iterable[LogRecord]
) -> list[Effect]:
    """Apply the next records, and hold those beyond a gap."""
    effects: list[Effect] = []
    later_records: list[LogRecord] = []
    for record in records:
        if record.offset == sync.settings.offset:
            verdict = apply(sync.settings, record)
            store_record(sync, options, record)
            effects += _report_verdict(sync, now, verdict) + settle(sync, verdict)
        elif record.offset > sync.settings.offset:
            later_records.append(record)
    if later_records:
        effects += _hold_beyond_gap(sync, options, now, later_records)
    return effects


def _hold_beyond_gap(
    sync: SettingsSync, options: Options, now: float, records: list[LogRecord]
) -> list[Effect]:
    """Hold records beyond a gap, and apply them if a snapshot among them covers the gap."""
    if sync.later_records:
        records = [each for each in records if each.offset > sync.later_records[-1].offset]
    if sync.later_records and records and sync.later_records[-1].offset + 1 != records[0].offset:
        sync.later_records.clear()
    sync.later_records.extend(records)
    while len(sync.later_records) > options.settings_ahead_max:
        sync.later_records.popleft()
    effects: list[Effect] = []
    for record in records:
        effects += _load_if_covered(sync, record)
        if sync.settings.offset >= sync.later_records[0].offset:
            held_records = list(sync.later_records)
            sync.later_records.clear()
            return effects + _apply_records(sync, options, now, held_records)
    return effects


def _load_if_covered(sync: SettingsSync, record: LogRecord) -> list[Effect]:
    """Load a snapshot beyond a gap if all records after its offset are held."""
    result = read_record(record.value)
    if not is_successful(result):
        return []
    snapshot = result.unwrap()
    if not isinstance(snapshot, SnapshotRecord) or snapshot.offset < sync.later_records[0].offset:
        return []
    return _load_snapshot(sync, snapshot, "log")


def _load_snapshot(sync: SettingsSync, snapshot: SnapshotRecord, source: str) -> list[Effect]:
    """Load a snapshot, unless it is damaged or not newer."""
    offset_before = sync.settings.offset
    result = load_snapshot(sync.settings, snapshot)
    fields = {"source": source, "snapshot_offset": snapshot.offset, "offset": offset_before}
    if not is_successful(result):
        refusal = Log("settings_snapshot_refused", {**fields, "reason": result.failure()})
        return [refusal, Count("settings.snapshot_refused")]
    sync.recent_records.clear()
    loaded = Log("settings_snapshot_loaded", fields)
    return [loaded, Count("settings.snapshot_loaded"), *settle_from_snapshot(sync)]


# --- verdicts --------------------------------------------------------------------------------


def _report_verdict(sync: SettingsSync, now: float, verdict: Verdict) -> list[Effect]:
    """Count and log the verdict on a record, and record the offset of snapshots."""
    kind = verdict_kind(verdict)
    match verdict:
        case SnapshotMatched() | SnapshotUnchecked():
            sync.snapshot_offset = verdict.snapshot_offset
            # The age of a snapshot is unknown while the instance starts.
            sync.snapshot_seen_at = now if sync.has_been_complete else None
            sync.snapshot_due_since = None
            return []
        case Malformed() | SnapshotMismatched():
            return [Log(f"settings_{kind}", verdict_json(verdict)), Count(f"settings.{kind}")]
        case Accepted() | Conflict() | Invalid() | Forbidden() | Repeated():
            # Prevents a starting instance from reporting the whole log again.
            if not sync.has_been_complete:
                return []
            subject = verdict.subject
            fields = {
                "path": subject.path,
                "operator": subject.operator,
                "change_id": subject.change_id,
                "offset": subject.offset,
            }
            return [Log(f"settings_{kind}", fields), Count(f"settings.{kind}")]


def _put_in_force(sync: SettingsSync, options: Options, now: float) -> list[Effect]:
    """Put the settings in force once they are complete."""
    if not sync.has_been_complete and not _is_complete(sync, options, now):
        return []
    effects: list[Effect] = []
    if not sync.has_been_complete:
        sync.has_been_complete = True
        effects.append(Log("settings_ready", {"offset": sync.settings.offset}))
    if sync.config.offset != sync.settings.offset:
        sync.config = config_of(sync.settings)
    return effects


def _is_complete(sync: SettingsSync, options: Options, now: float) -> bool:
    """Return whether a starting instance has all known settings.

    Prevents it from using outdated settings while it reads the log.
    """
    offset = sync.settings.offset
    if offset < sync.known_end or not (sync.has_read_log or offset):
        return False
    has_waited = sync.started_at is not None and now - sync.started_at > options.settings_wait_s
    return has_waited or sync.newer_peer is None or sync.newer_peer.offset <= offset


# --- peers -----------------------------------------------------------------------------------


def on_heartbeat(sync: SettingsSync, sender: InstanceName, heartbeat: Heartbeat) -> list[Effect]:
    """Report a peer whose hash differs at the same offset: one of the two copies is damaged."""
    local_digest = sync.settings.digests.get(heartbeat.settings_offset)
    if heartbeat.settings_offset == sync.settings.offset:
        local_digest = state_digest(sync.settings)
    if (
        not heartbeat.settings_hash
        or local_digest is None
        or local_digest == heartbeat.settings_hash
    ):
        return []
    if sync.diverged_offsets.get(sender) == heartbeat.settings_offset:
        return []
    sync.diverged_offsets[sender] = heartbeat.settings_offset
    fields = {
        "peer": sender,
        "offset": heartbeat.settings_offset,
        "own_hash": local_digest,
        "peer_hash": heartbeat.settings_hash,
    }
    return [Log("settings_diverged", fields), Count("settings.diverged")]


def _ask_newest_peer(
    sync: SettingsSync, options: Options, now: float, peers: Sequence[PeerSettings]
) -> list[Effect]:
    """Ask the peer with the newest settings if this instance is behind it."""
    sync.peers_checked_at = now
    newest = max(peers, key=lambda peer: (peer.offset, peer.name), default=None)
    if newest is None or newest.offset <= sync.settings.offset:
        sync.newer_peer = sync.behind_since = None
        return []
    sync.newer_peer = newest
    if sync.behind_since is None:
        sync.behind_since = now
    has_waited = now - sync.behind_since >= options.settings_ask_after_s
    is_log_unusable = sync.log_failed_since is not None or not sync.has_read_log or _has_gap(sync)
    is_request_pending = (
        sync.requested_at is not None and now - sync.requested_at < options.settings_ask_s
    )
    if is_request_pending or not (has_waited or is_log_unusable):
        return []
    sync.requested_at = now
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
    """Send a peer the records that it lacks, or a snapshot if they are no longer stored."""
    # Prevents a starting instance from sending outdated settings.
    if not sync.has_been_complete or message.offset >= sync.settings.offset:
        return []
    return [SendPeer(sender, address, _build_answer(sync, options, message.offset))]


def _build_answer(sync: SettingsSync, options: Options, offset: int) -> SettingsSend:
    if sync.recent_records and offset >= sync.recent_records[0].offset:
        start = offset - sync.recent_records[0].offset
        stop = min(len(sync.recent_records), start + options.settings_send_max)
        return SettingsSend(
            offset, [sync.recent_records[index].value for index in range(start, stop)]
        )
    return SettingsSend(sync.settings.offset, [], record_json(take_snapshot(sync.settings)))


def on_settings_send(
    sync: SettingsSync, options: Options, now: float, message: SettingsSend
) -> list[Effect]:
    """Apply records or a snapshot from a peer."""
    offset_before = sync.settings.offset
    effects: list[Effect] = []
    if message.snapshot is not None:
        effects += _load_peer_snapshot(sync, message)
    records = [
        LogRecord(message.first + index, value) for index, value in enumerate(message.records)
    ]
    # Records beyond a gap are ignored, as the peer is asked again for those before them.
    if records and records[0].offset <= sync.settings.offset:
        effects += _apply_records(sync, options, now, records)
    if sync.settings.offset == offset_before:
        return effects
    effects += _apply_held(sync, options, now)
    effects.append(Count("settings.from_peer"))
    # Makes the next tick ask for further records.
    sync.requested_at = sync.peers_checked_at = None
    return effects + _put_in_force(sync, options, now)


def _apply_held(sync: SettingsSync, options: Options, now: float) -> list[Effect]:
    """Apply the held records once a peer has sent those before them."""
    if not sync.later_records or sync.later_records[0].offset > sync.settings.offset:
        return []
    records = list(sync.later_records)
    sync.later_records.clear()
    return _apply_records(sync, options, now, records)


def _load_peer_snapshot(sync: SettingsSync, message: SettingsSend) -> list[Effect]:
    result = read_record(message.snapshot)
    snapshot = result.unwrap() if is_successful(result) else None
    if isinstance(snapshot, SnapshotRecord):
        return _load_snapshot(sync, snapshot, "peer")
    refusal = Log("settings_snapshot_refused", {"source": "peer", "reason": "it is malformed"})
    return [refusal, Count("settings.snapshot_refused")]


# --- timers ----------------------------------------------------------------------------------


def on_tick(
    sync: SettingsSync,
    options: Options,
    now: float,
    me: InstanceName,
    list_peers: Callable[[], Sequence[PeerSettings]],
) -> list[Effect]:
    """Run the periodic work; `list_peers` is called only when a check of the peers is due."""
    if sync.started_at is None:
        sync.started_at = now
    effects = retry_changes(sync, options, now)
    peers_checked_at = sync.peers_checked_at
    if peers_checked_at is None or now - peers_checked_at >= options.settings_check_s:
        peers = list_peers()
        effects += _ask_newest_peer(sync, options, now, peers)
        effects += write_snapshot(sync, options, now, me, peers)
    return effects + _put_in_force(sync, options, now)
