"""The paths to backend servers that this instance cannot connect to itself; see `server_paths`."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName


class ServerPath(Struct):
    """The path to a server to which new connections from this instance fail."""

    # When the first connection failed, and why.
    lost_at: float
    error: str


class PathState(Struct):
    """The servers to which new connections from this instance fail."""

    by_server: dict[ServerName, ServerPath] = field(default_factory=dict)
