"""State that keeps an instance's settings in sync with the log and with its peers.

`settings_state` defines the meaning of the records. This module has the progress in reading the
log, the pending changes of operators, and the raw records that a peer may request.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from turmericweir_core.base.config import Config
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.events import LogRecord
from turmericweir_core.records.settings_record import ChangeRecord
from turmericweir_core.state.settings_state import SettingsState, state_digest

EMPTY_DIGEST: Final = state_digest(SettingsState())


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """A live peer and its settings offset; the actual offset may be higher."""

    name: InstanceName
    address: str
    offset: int


@dataclass(slots=True)
class PendingChange:
    """A submitted change whose operator waits for the verdict."""

    record: ChangeRecord
    submitted_at: float
    # When its newest append was started or failed.
    tried_at: float
    # An append is in flight.
    in_flight: bool = True
    # An append may have taken effect, so only the log can show the result.
    may_be_in_log: bool = False
    # Its offset in the log, once an append was acknowledged.
    offset: int | None = None


@dataclass(slots=True)
class SettingsSync:
    """The settings part of an instance's state."""

    settings: SettingsState = field(default_factory=SettingsState)
    # The `Config` built from the settings; replaced as a whole when they change.
    config: Config = field(default_factory=Config)
    # Whether the settings have been complete once, so that they can be used to serve traffic.
    has_been_complete: bool = False
    # Consecutive raw records up to the state's offset.
    recent_records: deque[LogRecord] = field(default_factory=deque)
    # Start of the log, if the log no longer has the next record needed here.
    resume_at: int = 0
    # Records from `resume_at` on, stored until a snapshot fills the gap before them.
    later_records: deque[LogRecord] = field(default_factory=deque)
    pending: dict[str, PendingChange] = field(default_factory=dict)
    started_at: float | None = None
    # The highest end offset of the log observed so far.
    known_end: int = 0
    # Whether the log has been read, and since when reads fail.
    has_read_log: bool = False
    log_failed_since: float | None = None
    # Since when the log ends before this instance's offset, and whether that was reported.
    log_shorter_since: float | None = None
    log_shorter_reported: bool = False
    # When the peers were last checked, and the most advanced one if it is ahead of this instance.
    peers_checked_at: float | None = None
    newer_peer: PeerSettings | None = None
    # Since when a peer is ahead, and when settings were last requested from a peer.
    behind_since: float | None = None
    requested_at: float | None = None
    # The offset at which each peer's hash last differed, so that it is reported only once.
    diverged_offsets: dict[InstanceName, int] = field(default_factory=dict)
    # Offset and time of the newest snapshot in the log, and when one was last tried.
    snapshot_offset: int = 0
    snapshot_seen_at: float | None = None
    snapshot_due_since: float | None = None
    snapshot_tried_at: float | None = None

    def offset_in_force(self) -> int:
        """Return the offset of the settings in force, as sent in heartbeats; 0 if there are none.

        An instance that is still reading the log returns 0. Prevents a peer that starts during an
        outage from using outdated settings as the newest ones.
        """
        return self.settings.offset if self.has_been_complete else 0

    def digest_in_force(self) -> str:
        """Return the hash of the settings in force, as sent in heartbeats."""
        return state_digest(self.settings) if self.has_been_complete else EMPTY_DIGEST


def settings_read_offset(sync: SettingsSync) -> int:
    """Return the offset from which the log is read next."""
    if sync.later_records:
        return sync.later_records[-1].offset + 1
    return max(sync.settings.offset, sync.resume_at)


def store_record(sync: SettingsSync, options: Options, record: LogRecord) -> None:
    """Store a raw record for peers, evicting the oldest if there are too many."""
    sync.recent_records.append(record)
    while len(sync.recent_records) > options.settings_keep:
        sync.recent_records.popleft()
