"""Keep the settings in step with the log and the peers.

Records come from the platform's log or from a peer and are applied in offset order, whichever
brings them first. What the log no longer keeps is bridged by a snapshot, found in the log or had
from a peer; the state only ever moves to a larger offset.

Operators' changes are carried into the log by `settings_changes`, snapshots are written by
`settings_snapshots`.

All functions take the `SettingsSync`, change it in place and return effects.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from returns.pipeline import is_successful

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import Count, Effect, Log, SendPeer
from turmericweir_core.messages.events import LogExpired, LogFailed, LogRead, LogRecord
from turmericweir_core.messages.peer_messages import Heartbeat, SettingsAsk, SettingsSend
from turmericweir_core.records.settings_record import SnapshotRecord, log_form, read_record
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
    describe,
    kind_of,
)
from turmericweir_core.settings.settings_changes import pursue_changes, settle, settle_seen
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
    keep_record,
    settings_read_offset,
)

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
            effects += _report(sync, now, verdict) + settle(sync, verdict)
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
    return [loaded, Count("settings.snapshot_loaded"), *settle_seen(sync)]


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
    effects = pursue_changes(sync, options, now)
    checked = sync.peers_checked_at
    if checked is None or now - checked >= options.settings_check_s:
        peers = list_peers()
        effects += _follow_peers(sync, options, now, peers)
        effects += write_snapshot(sync, options, now, me, peers)
    return effects + _publish(sync, options, now)
