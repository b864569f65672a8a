"""The servers that are tried because attempts on them are silent; see `dead_server`."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName


class Suspicion(Struct):
    """Tries of a server on which attempts are silent."""

    # Not tried again before.
    try_due: float
    failures: int = 0


class DeadState(Struct):
    """The servers that are being tried."""

    by_server: dict[ServerName, Suspicion] = field(default_factory=dict)
