"""The one reducer: every event of an instance goes through `reduce`.

It changes the state in place and returns what the daemon is to do. It does no I/O, reads no clock
and draws no randomness but from the seeded generator in the state, so a run can be repeated from
its events. Each event goes to the small reducers of the concerns that it touches.
"""

from __future__ import annotations

from random import Random
from typing import assert_never

from turmericweir_core import lifecycle, server_table
from turmericweir_core.account_store import expire_accounts
from turmericweir_core.effects import Effect, Exit, Log, ProbeServer
from turmericweir_core.events import (
    AppendDone,
    AppendFailed,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    CacheEvents,
    CallerLeft,
    ChangeSubmitted,
    DrainRequested,
    Event,
    ListRead,
    LogExpired,
    LogFailed,
    LogRead,
    OrderDone,
    PeerReceived,
    PeerUnreachable,
    RequestArrived,
    ServerReport,
    ServerUnreachable,
    StopRequested,
    Tick,
    WeightsAnswered,
)
from turmericweir_core.options import Options
from turmericweir_core.state import Identity, State


def new_state(identity: Identity, options: Options, seed: int) -> State:
    """Make the state of an instance that has just started."""
    return State(me=identity, options=options, rng=Random(seed))


def reduce(state: State, now: float, event: Event) -> list[Effect]:
    """Apply one event at a time of the runtime's clock, seconds; return what to do."""
    match event:
        case AttemptProgress():
            return lifecycle.on_progress(state, now, event)
        case AttemptSent():
            return lifecycle.on_sent(state, now, event)
        case AttemptEnded():
            return lifecycle.on_ended(state, now, event)
        case RequestArrived():
            return lifecycle.on_arrived(state, now, event)
        case CallerLeft():
            return lifecycle.on_caller_left(state, now, event)
        case Tick():
            return _on_tick(state, now)
        case ServerReport():
            server_table.note_report(state.servers, state.options, now, event)
            return _dispatch_all(state, now)
        case ServerUnreachable(server, _):
            server_table.note_unreachable(state.servers, state.options, now, server)
            return []
        case ListRead(servers, _):
            server_table.list_servers(state.servers, state.config, servers)
            return _dispatch_all(state, now)
        case StopRequested():
            return _on_stop(state, now)
        case DrainRequested(server, operator):
            return _on_drain(state, server, operator)
        case (
            CacheEvents()
            | LogRead()
            | LogExpired()
            | LogFailed()
            | AppendDone()
            | AppendFailed()
            | OrderDone()
            | WeightsAnswered()
            | PeerReceived()
            | PeerUnreachable()
            | ChangeSubmitted()
        ):
            return []
        case unreachable:
            assert_never(unreachable)


def _on_tick(state: State, now: float) -> list[Effect]:
    effects: list[Effect] = lifecycle.on_tick(state, now)
    expire_accounts(state.accounts, state.options, now)
    for server in server_table.due_probes(state.servers, state.options, now):
        effects.append(ProbeServer(server.entry.name, server.entry.address))
    if _may_exit(state, now):
        effects.append(Exit())
    return effects


def _may_exit(state: State, now: float) -> bool:
    stopping = state.stopping_since
    if stopping is None or state.requests:
        return False
    return now - stopping > state.options.stop_grace_s


def _on_stop(state: State, now: float) -> list[Effect]:
    if state.stopping_since is None:
        state.stopping_since = now
    return [Log("stopping", {"in_flight": len(state.requests)})]


def _on_drain(state: State, server: str, operator: str) -> list[Effect]:
    for known in state.servers.by_name.values():
        if known.entry.name == server:
            known.drained = True
    return [Log("drain", {"server": server, "operator": operator})]


def _dispatch_all(state: State, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for target in list(state.queues.targets):
        effects += lifecycle.dispatch(state, now, target)
    return effects
