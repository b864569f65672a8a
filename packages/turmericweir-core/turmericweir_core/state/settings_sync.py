"""What an instance holds to keep its settings in step with the log and with its peers.

`settings_state` says what the records mean; this part remembers how far the log was read, which
changes the operators wait for, and the raw records that a peer may ask for. The events that change
it are handled in `settings_reducer`; where the peers stand is told by `settings_peers`.
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
    """Where a live peer stands, at the least."""

    name: InstanceName
    address: str
    offset: int


@dataclass(slots=True)
class PendingChange:
    """A change that an operator waits for."""

    record: ChangeRecord
    submitted_at: float
    # When the newest append of it was asked for, or was found to have failed.
    tried_at: float
    # An append is under way.
    in_flight: bool = True
    # Some append of it may have taken effect, so that only the log can tell what became of it.
    maybe_in_log: bool = False
    # Where it stands in the log, once an append was acknowledged.
    offset: int | None = None


@dataclass(slots=True)
class SettingsSync:
    """The settings part of an instance's state."""

    settings: SettingsState = field(default_factory=SettingsState)
    # What the decisions read; replaced as a whole when the settings move on.
    config: Config = field(default_factory=Config)
    # Whether the settings have been whole once, so that traffic may be served by them.
    ready: bool = False
    # Raw records, consecutive, the newest just before the state's offset.
    kept: deque[LogRecord] = field(default_factory=deque)
    # Where the log begins, if it no longer has the record that comes next here.
    resume_at: int = 0
    # Records from there on, held until a snapshot bridges the gap.
    ahead: deque[LogRecord] = field(default_factory=deque)
    pending: dict[str, PendingChange] = field(default_factory=dict)
    started_at: float | None = None
    # The largest end of the log that was seen.
    known_end: int = 0
    # Whether the log was read, and since when it could not be.
    log_read: bool = False
    log_failed_since: float | None = None
    # Since when the log's end lies before this instance's offset, and whether that was reported.
    log_shorter_since: float | None = None
    log_shorter_reported: bool = False
    # When the peers were last looked at, and the newest one, if it is newer than this instance.
    peers_checked_at: float | None = None
    newer_peer: PeerSettings | None = None
    # Since when a peer is ahead, and when one was last asked.
    behind_since: float | None = None
    asked_at: float | None = None
    # The offset at which each peer's hash was last found to differ, so that it is reported once.
    diverged: dict[InstanceName, int] = field(default_factory=dict)
    # Offset and time of the newest snapshot in the log, and when one was last tried.
    snapshot_offset: int = 0
    snapshot_seen_at: float | None = None
    snapshot_due_since: float | None = None
    snapshot_tried_at: float | None = None

    def offset_in_force(self) -> int:
        """Give the offset of the settings in force, as heartbeats carry it; 0 before there are any.

        A starting instance that is halfway through the log keeps quiet about it: a peer that starts
        in an outage would take its settings for the newest there are, and serve by replaced ones.
        """
        return self.settings.offset if self.ready else 0

    def digest_in_force(self) -> str:
        """Give the hash of the settings in force, as heartbeats carry it."""
        return state_digest(self.settings) if self.ready else EMPTY_DIGEST


def settings_read_offset(sync: SettingsSync) -> int:
    """Say from which offset the log is to be read next."""
    if sync.ahead:
        return sync.ahead[-1].offset + 1
    return max(sync.settings.offset, sync.resume_at)


def keep_record(sync: SettingsSync, options: Options, record: LogRecord) -> None:
    """Keep a raw record for peers, letting go of the oldest where there are too many."""
    sync.kept.append(record)
    while len(sync.kept) > options.settings_keep:
        sync.kept.popleft()
