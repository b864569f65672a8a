"""Messages between entry instances; the daemon carries them as msgpack.

Each is a frozen data class; `PEER_MESSAGES` lists them all for the codec. Fields hold only what
msgpack can carry: numbers, strings, booleans, and lists, dicts and nested data classes of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final, TypeAlias


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """I am here, and this is what I know; the rest is asked for when it differs."""

    data_centre: str
    address: str
    incarnation: str
    # Rises with every heartbeat of an incarnation; an older one that comes late is ignored.
    seq: int
    leaving: bool
    settings_offset: int
    settings_hash: str
    # Hash over the members and servers that the sender knows.
    members_hash: str


@dataclass(frozen=True, slots=True)
class SettingsAsk:
    """Send me the settings records from this offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class SettingsSend:
    """Settings records from an offset, or a whole state where the records are gone."""

    first: int
    records: list[Any] = field(default_factory=list)
    # A snapshot record as in the log, or None.
    snapshot: dict[str, Any] | None = None


PeerMessage: TypeAlias = Heartbeat | SettingsAsk | SettingsSend

PEER_MESSAGES: Final[tuple[type[PeerMessage], ...]] = (Heartbeat, SettingsAsk, SettingsSend)
