"""Learn from servers' answers that they are brittle, and spread it with the heartbeats.

A brittle server falls over if it has to turn away more than some requests in a second for want of
room. All servers of its service are treated as brittle then, since those that have not answered yet
would say the same. An answer without the statement lifts it, unless its request was sent before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.effects import Effect, Log
from turmericweir_core.messages.membership_messages import BrittleRow
from turmericweir_core.state.brittle_state import BrittleStatement
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# How long a statement holds that no answer has renewed.
_VALID_S: Final = 20.0
_ROWS_MAX: Final = 6
_MS: Final = 1000.0


def on_answer(
    state: State, now: float, server: Server, started_at: float, refusals_s: float | None
) -> list[Effect]:
    """Record what an answer to an attempt that was started at a time says."""
    statement = _statement_of(state, server)
    if refusals_s is None and (statement is None or started_at < statement.stated_at):
        return []
    return _record(state, now, server, refusals_s, now, by=state.me.name)


def _record(
    state: State,
    now: float,
    server: Server,
    refusals_s: float | None,
    stated_at: float,
    by: InstanceName,
) -> list[Effect]:
    statement = _statement_of(state, server)
    if statement is not None and statement.refusals_s == refusals_s:
        statement.stated_at = max(statement.stated_at, stated_at)
        return []
    previous_s = None if statement is None else statement.refusals_s
    state.brittle.by_server[server.entry.name] = BrittleStatement(
        server.entry.incarnation, refusals_s, stated_at, now
    )
    state.brittle.services_at = float("-inf")
    if refusals_s is None:
        state.brittle.rooms.pop(server.entry.name, None)
    fields = {
        "peer": server.entry.name,
        "refusals_s": refusals_s,
        "before": previous_s,
        "by": by,
    }
    return [Log("server_brittle", fields)]


def _statement_of(state: State, server: Server) -> BrittleStatement | None:
    statement = state.brittle.by_server.get(server.entry.name)
    if statement is None or statement.incarnation != server.entry.incarnation:
        return None
    return statement


def borne_refusals_s(state: State, now: float, service: str) -> float | None:
    """Return the refusals a second that a server of a service bears; None if it is not brittle."""
    brittle = state.brittle
    if not brittle.by_server:
        return None
    if brittle.services_at != now:
        brittle.services_at, brittle.services = now, {}
        for name, statement in brittle.by_server.items():
            server = state.servers.by_name.get(name)
            if server is None or _statement_of(state, server) is None:
                continue
            if statement.refusals_s is None or now - statement.stated_at > _VALID_S:
                continue
            least = brittle.services.get(server.entry.service, statement.refusals_s)
            brittle.services[server.entry.service] = min(least, statement.refusals_s)
    return brittle.services.get(service)


# --- spreading -------------------------------------------------------------------------------


def rows_to_send(state: State, now: float) -> list[BrittleRow]:
    """Return statements for the next heartbeat, in turn."""
    brittle = state.brittle
    if not brittle.by_server:
        return []
    names = list(brittle.by_server)
    first = brittle.next_row % len(names)
    turn = (names[first:] + names[:first])[:_ROWS_MAX]
    brittle.next_row = first + len(turn)
    return [_row(now, name, brittle.by_server[name]) for name in turn]


def _row(now: float, name: ServerName, statement: BrittleStatement) -> BrittleRow:
    age_ms = max(0, round((now - statement.stated_at) * _MS))
    return BrittleRow(name, statement.incarnation, statement.refusals_s, age_ms)


def take_rows(
    state: State, now: float, sender: InstanceName, rows: list[BrittleRow]
) -> list[Effect]:
    """Record the statements that a peer received later than this instance."""
    effects: list[Effect] = []
    for row in rows:
        server = state.servers.by_name.get(ServerName(row.server))
        if server is None or server.entry.incarnation != row.incarnation:
            continue
        stated_at = now - max(0, row.age_ms) / _MS
        statement = _statement_of(state, server)
        if statement is None and row.refusals_s is None:
            continue
        if statement is None or stated_at > statement.stated_at:
            effects += _record(state, now, server, row.refusals_s, stated_at, by=sender)
    return effects


def drop_old_statements(state: State, now: float) -> None:
    """Drop the statements that have not been renewed, and what was learnt of their servers."""
    brittle = state.brittle
    for name, statement in list(brittle.by_server.items()):
        if now - statement.stated_at > _VALID_S:
            brittle.forget(name)
    for name in [each for each in brittle.turns if each not in state.servers.by_name]:
        brittle.forget(name)
