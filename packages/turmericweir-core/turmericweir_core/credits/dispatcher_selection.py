"""The dispatcher of each server: rendezvous hashing over its data centre's live instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


def dispatcher_of(state: State, now: float, server: Server) -> InstanceName | None:
    """Return the dispatcher of a server, or None if its data centre has no live instance."""
    credits = state.credits
    name = server.entry.name
    if name not in credits.dispatchers:
        if not credits.live_by_data_centre:
            update_live_instances(state, now)
        live = credits.live_by_data_centre.get(server.entry.data_centre, ())
        credits.dispatchers[name] = max(
            live, key=lambda each: rendezvous_weight(name, each), default=None
        )
    return credits.dispatchers[name]


def is_dispatcher(state: State, now: float, server: Server) -> bool:
    """Return whether this instance is the dispatcher of a server."""
    return dispatcher_of(state, now, server) == state.me.name


def update_live_instances(state: State, now: float) -> None:
    """Update the live instances; clear the cached dispatchers if they have changed."""
    state.credits.next_live_update_at = now + state.options.credit_live_s
    members = membership.live_instances(state, now)
    state.credits.live_instances = frozenset(member.name for member in members)
    live: dict[str, list[InstanceName]] = {}
    for member in members:
        # A leaving instance hands its servers over before it stops.
        if not member.leaving:
            live.setdefault(member.data_centre, []).append(member.name)
    live_by_data_centre = {data_centre: tuple(names) for data_centre, names in live.items()}
    if live_by_data_centre != state.credits.live_by_data_centre:
        state.credits.live_by_data_centre = live_by_data_centre
        state.credits.dispatchers.clear()
