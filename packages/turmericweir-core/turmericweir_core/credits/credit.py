"""The credit policy: one dispatcher per server leases the server's slots to the instances.

Rendezvous hashing over the live instances of the server's data centre picks the dispatcher.
Instances send it their demand by tier and it grants them slots (`credit_dispatcher`). Requests do
not pass through it: an instance with credit sends them directly to the server (`credit_demand`,
`credit_holder`). An *upper* tier, request or attempt is more urgent than a *lower* one.

- Without contention the granted credit covers the work, and only renewals are sent.
- Under contention the dispatcher serves the most urgent tier first and recalls credit from the
  least urgent, which costs a round trip between instances.
- While views of the live set differ, a server can have two dispatchers and receive more requests
  than it has slots. This causes delay but no errors: no guarantee to callers depends on credit.
- If the dispatcher does not answer, an instance uses its local counts with a low limit.

Normally only the dispatcher probes the server's load; its grants pass the report on to the holders.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from msgspec.structs import replace

from turmericweir_core.base.config import PlacementPolicy
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.credits import credit_demand, credit_dispatcher, credit_holder
from turmericweir_core.credits.dispatcher_selection import (
    dispatcher_of,
    is_dispatcher,
    update_live_instances,
)
from turmericweir_core.membership import membership
from turmericweir_core.messages.credit_messages import CreditDemand, CreditGrant, TierDemand
from turmericweir_core.messages.effects import Count, Effect, SendPeer
from turmericweir_core.state import queue_state
from turmericweir_core.state.credit_state import CreditState
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


# --- demands and grants ----------------------------------------------------------------------


def request_credit(state: State, now: float, pool: str) -> list[Effect]:
    """Request credit for the waiting requests of a pool, and withdraw demand that has ended."""
    if state.config.policy is not PlacementPolicy.CREDITS:
        return []
    if not state.credits.demanded_servers and not queue_state.has_waiting(state.queues, pool):
        return []
    wanted = credit_demand.wanted_credit(state, now, pool)
    return _send_due_demands(state, now, {*wanted, *_demanded_servers_of(state, pool)}, wanted)


def _demanded_servers_of(state: State, pool: str) -> Iterable[ServerName]:
    for name in state.credits.demanded_servers:
        server = state.servers.by_name.get(name)
        if server is not None and server.service.name == pool:
            yield name


def _send_due_demands(
    state: State,
    now: float,
    server_names: Iterable[ServerName],
    wanted: dict[ServerName, list[TierDemand]],
) -> list[Effect]:
    effects: list[Effect] = []
    # Sorted to make runs reproducible from their events.
    for name in sorted(server_names):
        server = state.servers.by_name.get(name)
        if server is None:
            state.credits.demanded_servers.discard(name)
            continue
        effects += _send_demand_if_due(state, now, server, wanted.get(name, []))
    return effects


def _send_demand_if_due(
    state: State, now: float, server: Server, waiting: list[TierDemand]
) -> list[Effect]:
    dispatcher = dispatcher_of(state, now, server)
    if dispatcher is None:
        return []
    demand = credit_demand.make_demand(state, now, server, waiting, dispatcher)
    return [] if demand is None else _send(state, now, dispatcher, demand)


def report_freed_slot(state: State, now: float, server: Server) -> list[Effect]:
    """Report the end of an attempt to the dispatcher if the server is contended."""
    credit = state.credits.held_by_server.get(server.entry.name)
    if state.config.policy is not PlacementPolicy.CREDITS or credit is None:
        return []
    credit.used_at = now
    if not credit.is_contended:
        return []
    if queue_state.has_waiting(state.queues, server.service.name):
        # The dispatch that follows may start another attempt here, and sends the demand after it.
        state.credits.demanded_servers.add(server.entry.name)
        return []
    return _send_demand_if_due(state, now, server, [])


def on_credit_message(
    state: State, now: float, sender: InstanceName, message: CreditDemand | CreditGrant
) -> list[Effect]:
    """Handle a demand as the dispatcher, or a grant as a holder."""
    if isinstance(message, CreditGrant):
        return _on_grant(state, now, sender, message)
    effects: list[Effect] = []
    for outgoing in credit_dispatcher.on_demand(state, now, sender, message):
        effects += _send(state, now, outgoing.instance, outgoing.grant)
    return effects


def _on_grant(state: State, now: float, sender: InstanceName, grant: CreditGrant) -> list[Effect]:
    if not credit_holder.apply_grant(state, now, sender, grant):
        return [Count("credit.grant_ignored")]
    server = state.servers.by_name.get(ServerName(grant.server))
    credit = state.credits.held_by_server[ServerName(grant.server)]
    if server is None or not credit.needs_confirmation:
        return []
    waiting = [replace(each, running=0) for each in credit.newest_demand if each.waiting]
    return _send_demand_if_due(state, now, server, waiting)


def _send(
    state: State, now: float, receiver: InstanceName, message: CreditDemand | CreditGrant
) -> list[Effect]:
    if receiver == state.me.name:
        return on_credit_message(state, now, receiver, message)
    member = membership.find_member(state, receiver)
    if member is None:
        return []
    return [SendPeer(receiver, member.peer_address, message)]


# --- timers and failures ---------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Renew credit, run deferred settlements, and detect dispatchers that do not answer."""
    if state.config.policy is not PlacementPolicy.CREDITS:
        if state.credits.held_by_server or state.credits.granted_by_server:
            state.credits = CreditState()
        return []
    if now >= state.credits.next_live_update_at:
        update_live_instances(state, now)
    effects: list[Effect] = [
        Count("credit.no_answer") for _ in credit_holder.check_answers(state, now)
    ]
    for outgoing in credit_dispatcher.on_tick(state, now):
        effects += _send(state, now, outgoing.instance, outgoing.grant)
    servers_to_check = [
        name
        for name, credit in state.credits.held_by_server.items()
        if credit_demand.may_need_demand(credit, state.options, now)
    ]
    wanted: dict[ServerName, list[TierDemand]] = {}
    if servers_to_check:
        for pool in state.queues.pools:
            wanted.update(credit_demand.wanted_credit(state, now, pool))
    return effects + _send_due_demands(state, now, servers_to_check, wanted)


def on_peer_unreachable(state: State, now: float, peer: InstanceName) -> None:
    """Use local counts for the servers whose dispatcher cannot be reached."""
    for credit in state.credits.held_by_server.values():
        if credit.dispatcher == peer:
            credit_holder.fall_back(credit, state.options, now)


def must_probe(state: State, now: float, server: Server) -> bool:
    """Return whether this instance itself has to probe a server for its load.

    An instance that uses local counts probes as well. Prevents it from ignoring the load that other
    instances cause while no dispatcher is reachable.
    """
    if is_dispatcher(state, now, server):
        return True
    if server.entry.name not in state.subsets.used_servers:
        return False
    # A server that was unreachable from this instance is probed before it is used again.
    was_unreachable = server.unreachable_until > 0.0
    return was_unreachable or credit_holder.uses_local_counts(state, now, server)
