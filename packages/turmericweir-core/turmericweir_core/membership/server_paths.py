"""The paths of this instance to the backend servers.

A connection that cannot be opened shows that the path from this instance to the server is down; it
does not show whether the server is.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import Effect, Log
from turmericweir_core.state.path_state import ServerPath
from turmericweir_core.state.server_table import note_answered, note_unreachable

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_MS: Final = 1000.0


def note_failed(state: State, now: float, name: ServerName, error: str) -> list[Effect]:
    """Record that a new connection to a server failed, and exclude the server for a while."""
    note_unreachable(state.servers, state.options, now, name)
    if name in state.paths.by_server or name not in state.servers.by_name:
        return []
    state.paths.by_server[name] = ServerPath(now, error)
    fields = {
        "peer": name,
        "error": error,
        "lost": len(state.paths.by_server),
        "servers": len(state.servers.by_name),
    }
    return [Log("path_lost", fields)]


def note_reached(state: State, now: float, name: ServerName) -> list[Effect]:
    """Record that a new connection to a server was opened; the server is used again."""
    note_answered(state.servers, name)
    path = state.paths.by_server.pop(name, None)
    if path is None:
        return []
    fields = {
        "peer": name,
        "after_ms": round((now - path.lost_at) * _MS),
        "lost": len(state.paths.by_server),
    }
    return [Log("path_restored", fields)]


def forget_removed(state: State) -> None:
    """Forget the paths to servers that left the server table."""
    for name in [each for each in state.paths.by_server if each not in state.servers.by_name]:
        del state.paths.by_server[name]
