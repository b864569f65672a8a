"""Servers that are probed because attempts on them are unresponsive; see `dead_server`."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName


class Suspicion(Struct):
    """Probes of a server on which attempts are unresponsive."""

    # Not probed again before this time.
    next_probe_at: float
    failures: int = 0


class DeadState(Struct):
    """The servers that are being probed."""

    # By server, and by the peer by way of which it is connected to; empty for direct connections.
    by_path: dict[tuple[ServerName, InstanceName], Suspicion] = field(default_factory=dict)
