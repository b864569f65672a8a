"""Write snapshots of the settings to the log before the underlying records expire.

There is no election: the instance with the lowest name writes first. Each further instance waits
`snapshot_step_s` longer, in case the instances before it cannot reach the log.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import AppendRecords, Count, Effect
from turmericweir_core.records.settings_record import SETTINGS_STREAM, record_json
from turmericweir_core.state.settings_state import take_snapshot
from turmericweir_core.state.settings_sync import PeerSettings, SettingsSync

_SNAPSHOT_TOKEN: Final = "snapshot"


def write_snapshot(
    sync: SettingsSync,
    options: Options,
    now: float,
    me: InstanceName,
    peers: Sequence[PeerSettings],
) -> list[Effect]:
    """Append a snapshot if one is due and this instance has waited for those before it.

    Two snapshots do no harm, as each reader compares both with its own state.
    """
    if (
        not sync.has_been_complete
        or not sync.settings.offset
        or not _is_snapshot_due(sync, options, now)
    ):
        sync.snapshot_due_since = None
        return []
    if sync.snapshot_due_since is None:
        sync.snapshot_due_since = now
    rank = sum(1 for peer in peers if peer.name < me)
    tried_at = sync.snapshot_tried_at
    if now - sync.snapshot_due_since < rank * options.snapshot_step_s:
        return []
    if tried_at is not None and now - tried_at < options.snapshot_retry_s:
        return []
    if sync.log_failed_since is not None:
        return []
    sync.snapshot_tried_at = now
    record = record_json(take_snapshot(sync.settings))
    return [
        AppendRecords(SETTINGS_STREAM, _SNAPSHOT_TOKEN, (record,)),
        Count("settings.snapshot_written"),
    ]


def _is_snapshot_due(sync: SettingsSync, options: Options, now: float) -> bool:
    if sync.settings.offset - sync.snapshot_offset >= options.snapshot_every:
        return True
    if sync.snapshot_seen_at is not None:
        return now - sync.snapshot_seen_at >= options.snapshot_every_s
    return sync.started_at is not None and now - sync.started_at >= options.snapshot_first_s
