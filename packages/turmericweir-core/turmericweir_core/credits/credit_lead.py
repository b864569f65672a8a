"""Who leads a server's credit: rendezvous hashing over the live instances of its data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def dispatcher_of(state: State, now: float, server: Server) -> InstanceName | None:
    """Name the dispatcher of a server, or give None where its data centre has no live instance."""
    credits = state.credits
    name = server.entry.name
    if name not in credits.dispatchers:
        if not credits.live:
            note_live(state, now)
        live = credits.live.get(server.entry.data_centre, ())
        credits.dispatchers[name] = max(
            live, key=lambda each: rendezvous_weight(name, each), default=None
        )
    return credits.dispatchers[name]


def leads(state: State, now: float, server: Server) -> bool:
    """Tell whether this instance is the dispatcher of a server."""
    return dispatcher_of(state, now, server) == state.me.name


def note_live(state: State, now: float) -> None:
    """Follow who is live; the dispatchers are picked anew where that has changed."""
    state.credits.live_due = now + state.options.credit_live_s
    members = membership.live_instances(state, now)
    state.credits.alive = frozenset(each.name for each in members)
    live: dict[str, list[InstanceName]] = {}
    for each in members:
        # One that leaves hands its servers on before it stops, rather than by falling silent.
        if not each.leaving:
            live.setdefault(each.data_centre, []).append(each.name)
    found = {data_centre: tuple(names) for data_centre, names in live.items()}
    if found != state.credits.live:
        state.credits.live = found
        state.credits.dispatchers.clear()
