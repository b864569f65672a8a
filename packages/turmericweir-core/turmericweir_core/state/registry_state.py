"""State of the registry of servers: how far it was read, and the instance that reads it."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName

_NEVER: Final = float("-inf")


class RegistryState(Struct):
    """Progress in reading the registry, and the choice of its readers."""

    # The newest known offset of each key, including removed keys.
    offsets: dict[ServerName, int] = field(default_factory=dict)
    # The listed entries reflect all records before this offset.
    read_to: int = 0
    # Entries may be missing, as the newest list could not be read to its end.
    is_partial: bool = False
    # The era of the store to which the offsets belong; 0 while none is known.
    era: int = 0
    # All records from this offset on were written in the era, not taken over from a copy.
    era_start: int = 0
    # Servers known from earlier eras whose entries were not written in this one yet.
    unrenewed: set[ServerName] = field(default_factory=set)
    # When the newest read that succeeded was requested, by this instance or by its reader: the
    # entries reflect all that the store had acknowledged before.
    read_at: float = _NEVER
    # The same for the reads of this instance alone, of which no delay of a message hides the age.
    proved_at: float = _NEVER
    # When something here last needed a newer read, and when this instance last requested one, which
    # may have proved nothing.
    wanted_at: float = _NEVER
    own_read_at: float = _NEVER
    # No reader sent an update in time, so this instance is the fallback reader until one does.
    is_fallback_reader: bool = False
    # Whether this instance is chosen as a reader, and when the choice is evaluated again.
    is_chosen_reader: bool = False
    next_choice_at: float = _NEVER
    # The instance that last sent a registry update, and when: it can currently read the store.
    updated_by: InstanceName | None = None
    updated_at: float = _NEVER
    # Number of entries that could not be decoded, the error of the newest that is not logged yet,
    # and when one was last logged.
    unreadable_count: int = 0
    unreadable_error: str = ""
    unreadable_logged_at: float = _NEVER
    # Entries without a record since an outage that are still listed, and until when. Other
    # instances are not told of them.
    missing_until: dict[ServerName, float] = field(default_factory=dict)
