"""Keep to the limits on requests per second that backend servers announce.

A server that is overloaded announces in its answers how many requests per second it accepts from
all instances together, for as long as it says so. An answer without a limit lifts it, unless its
request was sent before the limit was announced.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmericweir_core.messages.effects import Effect, Log
from turmericweir_core.state.announced_limit import AnnouncedLimit
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def on_answer(
    state: State, now: float, server: Server, started_at: float, requests_s: float | None
) -> list[Effect]:
    """Record the limit in an answer to an attempt that was started at a time."""
    limit = _limit_of(state, server)
    if requests_s is None and (limit is None or started_at < limit.announced_at):
        return []
    previous_s = None if limit is None else limit.requests_s
    if limit is None:
        limit = AnnouncedLimit(server.entry.incarnation, requests_s, now)
        state.announced_limits.by_server[server.entry.name] = limit
    limit.requests_s = requests_s
    limit.announced_at = now
    if previous_s == requests_s:
        return []
    fields = {"peer": server.entry.name, "requests_s": requests_s, "before": previous_s}
    return [Log("server_limited", fields)]


def _limit_of(state: State, server: Server) -> AnnouncedLimit | None:
    limit = state.announced_limits.by_server.get(server.entry.name)
    if limit is None or limit.incarnation != server.entry.incarnation:
        return None
    return limit
