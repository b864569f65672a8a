"""What an instance knows of the era of the platform's store."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

_NEVER: Final = float("-inf")


class EraState(Struct):
    """The newest era, and whether its content is complete again."""

    # The newest era that an answer of the store has stated; 0 while none has.
    current: int = 0
    # When the first answer of this era was received here.
    seen_at: float = _NEVER
    # The newest era whose content is known to be complete.
    settled: int = 0
    # The newest era that this instance knows to be marked in the store, and when to mark again.
    marked: int = 0
    next_mark_at: float = _NEVER
    # The newest era that began long enough ago that no lease of an earlier one is held.
    quiet: int = 0
