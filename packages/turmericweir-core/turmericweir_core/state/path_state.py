"""What this instance knows of its paths to backend servers; see `server_paths`."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName

_NEVER: Final = float("-inf")


class ServerPath(Struct):
    """The path to a server that this instance cannot connect to, or presumably cannot."""

    # When the first connection failed, or when the path was first suspected.
    lost_at: float
    # Why the connection failed; empty while the path is only suspected.
    error: str = ""
    # Peers that reach the server, with the time at which each last said so.
    via: dict[InstanceName, float] = field(default_factory=dict)
    # Peers by way of which a connection failed, which are not used before these times.
    avoided: dict[InstanceName, float] = field(default_factory=dict)
    # When peers were last asked for it, and when this instance next tries to connect to it.
    asked_at: float = _NEVER
    next_probe_at: float = _NEVER


class PeerView(Struct):
    """What a peer said of the paths from it."""

    asked_at: float = _NEVER
    answered_at: float = _NEVER
    # Connections that it carries for other instances.
    carried: int = 0
    # Not asked before this time, because it does not answer or reaches none of the servers.
    avoided_until: float = _NEVER


class PathState(Struct):
    """The paths to servers."""

    # Servers without a path from this instance.
    by_server: dict[ServerName, ServerPath] = field(default_factory=dict)
    # When a new connection from this instance to each server was last opened.
    connected_at: dict[ServerName, float] = field(default_factory=dict)
    # When a server was last probed because a peer asked for it.
    probed_at: dict[ServerName, float] = field(default_factory=dict)
    # Peers that wait for the result of such a probe, and since when.
    askers: dict[ServerName, dict[InstanceName, float]] = field(default_factory=dict)
    peers: dict[InstanceName, PeerView] = field(default_factory=dict)
    next_ask_at: float = _NEVER
    # When data of any server last arrived, or a connection was opened, without a peer in between.
    heard_at: float = _NEVER
    # Connections that this instance carries to servers for its peers.
    carried: int = 0
