"""Write the settings into the log as a snapshot, before the records that make them up expire.

One instance does it, without an election: the lowest name first, and each next one a while later,
so that one that cannot reach the log does not keep the others from writing.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import AppendRecords, Count, Effect
from turmericweir_core.records.settings_record import STREAM, log_form
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
