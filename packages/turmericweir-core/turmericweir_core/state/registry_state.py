"""Hold how far the registry of servers was read, and by whom it was told."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName

_NEVER: Final = float("-inf")


class RegistryState(Struct):
    """How far the registry was read."""

    # The newest offset seen of each key, also of those that were removed.
    offsets: dict[ServerName, int] = field(default_factory=dict)
    # When a read was last answered.
    read_at: float = _NEVER
    # No reader told in time, so this instance reads for all until one does.
    stands_in: bool = False
    # Whether this instance is picked to read, and when that is looked at again.
    is_picked: bool = False
    pick_due: float = _NEVER
    # Who told of the servers last, and when: whoever can read the store at present.
    told_by: InstanceName | None = None
    told_at: float = _NEVER
    # Entries that were missing when the store came back, and until when they are used on.
    missing: dict[ServerName, float] = field(default_factory=dict)
