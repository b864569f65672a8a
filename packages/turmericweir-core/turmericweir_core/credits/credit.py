"""The credit policy: slots of each server, leased to instances by one soft dispatcher.

Each server has a dispatcher among the live instances of its data centre, picked by rendezvous
hashing, so that all instances name the same one without a message as soon as they agree on who is
live. Instances that use the server send it their demand by tier, and it leases them slots
(`credit_dispatcher`). Requests never pass through it: an instance that holds credit sends a request
straight to the server (`credit_demand`, `credit_holder`).

- No contention: credit held covers the work, spare slots were granted in advance, and no message is
  sent but renewals.
- Contention: the dispatcher serves the most urgent tier first and calls credit back from the least
  urgent, which costs a round trip between instances.
- Two dispatchers for a while, as views of the live set differ: each leases what it believes is
  free, and the server is given more than its slots. That costs delay, never correctness, since no
  promise to a caller rests on credit.
- No dispatcher, or none that answers: an instance goes by its own counts, with a cautious limit.

Only the dispatcher probes the server's load; holders of credit get the report with their grants.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from msgspec.structs import replace

from turmericweir_core.base.config import Policy
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.credits import credit_demand, credit_dispatcher, credit_holder
from turmericweir_core.credits.credit_lead import dispatcher_of, leads, note_live
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Count, Effect, SendPeer
from turmericweir_core.messages.peer_messages import CreditDemand, CreditGrant, TierDemand
from turmericweir_core.state import queue_state
from turmericweir_core.state.credit_state import CreditState
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


# --- demands and grants ----------------------------------------------------------------------


def ask(state: State, now: float, pool: str) -> list[Effect]:
    """Ask for credit for what waits in a pool, and take back what was asked for in vain."""
    if state.config.policy is not Policy.CREDITS:
        return []
    if not state.credits.asking and not queue_state.anything_waits(state.queues, pool):
        return []
    wanted = credit_demand.wanted_credit(state, now, pool)
    return _demand(state, now, {*wanted, *_asking_in(state, pool)}, wanted)


def _asking_in(state: State, pool: str) -> Iterable[ServerName]:
    for name in state.credits.asking:
        server = state.servers.by_name.get(name)
        if server is not None and server.service.name == pool:
            yield name


def _demand(
    state: State,
    now: float,
    names: Iterable[ServerName],
    wanted: dict[ServerName, list[TierDemand]],
) -> list[Effect]:
    effects: list[Effect] = []
    # Sorted, so that a run can be repeated from its events.
    for name in sorted(names):
        server = state.servers.by_name.get(name)
        if server is None:
            state.credits.asking.discard(name)
            continue
        effects += _demand_one(state, now, server, wanted.get(name, []))
    return effects


def _demand_one(
    state: State, now: float, server: Server, waiting: list[TierDemand]
) -> list[Effect]:
    dispatcher = dispatcher_of(state, now, server)
    if dispatcher is None:
        return []
    demand = credit_demand.make_demand(state, now, server, waiting, dispatcher)
    return [] if demand is None else _send(state, now, dispatcher, demand)


def note_freed(state: State, now: float, server: Server) -> list[Effect]:
    """Tell the dispatcher that an attempt ended, where it waits to hear of it."""
    credit = state.credits.held.get(server.entry.name)
    if state.config.policy is not Policy.CREDITS or credit is None:
        return []
    credit.used_at = now
    if not credit.contended:
        return []
    if queue_state.anything_waits(state.queues, server.service.name):
        # Left to the dispatch that follows, which may put something else in its place.
        state.credits.asking.add(server.entry.name)
        return []
    return _demand_one(state, now, server, [])


def on_peer(
    state: State, now: float, sender: InstanceName, message: CreditDemand | CreditGrant
) -> list[Effect]:
    """Take a demand as the dispatcher, or a grant as a holder."""
    if isinstance(message, CreditGrant):
        return _on_grant(state, now, sender, message)
    effects: list[Effect] = []
    for each in credit_dispatcher.on_demand(state, now, sender, message):
        effects += _send(state, now, each.instance, each.grant)
    return effects


def _on_grant(state: State, now: float, sender: InstanceName, grant: CreditGrant) -> list[Effect]:
    if not credit_holder.take_grant(state, now, sender, grant):
        return [Count("credit.grant_ignored")]
    server = state.servers.by_name.get(ServerName(grant.server))
    credit = state.credits.held[ServerName(grant.server)]
    if server is None or not credit.confirm:
        return []
    waiting = [replace(each, running=0) for each in credit.asked if each.waiting]
    return _demand_one(state, now, server, waiting)


def _send(
    state: State, now: float, to: InstanceName, message: CreditDemand | CreditGrant
) -> list[Effect]:
    if to == state.me.name:
        return on_peer(state, now, to, message)
    member = membership.member(state, to)
    if member is None:
        return []
    return [SendPeer(to, member.peer_address, message)]


# --- time and failures -----------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Renew credit, settle what was put off, and notice who does not answer."""
    if state.config.policy is not Policy.CREDITS:
        if state.credits.held or state.credits.given:
            state.credits = CreditState()
        return []
    if now >= state.credits.live_due:
        note_live(state, now)
    effects: list[Effect] = [
        Count("credit.no_answer") for _ in credit_holder.check_answers(state, now)
    ]
    for each in credit_dispatcher.on_tick(state, now):
        effects += _send(state, now, each.instance, each.grant)
    due = [
        name
        for name, credit in state.credits.held.items()
        if credit_demand.may_be_due(credit, state.options, now)
    ]
    wanted: dict[ServerName, list[TierDemand]] = {}
    if due:
        for pool in state.queues.pools:
            wanted.update(credit_demand.wanted_credit(state, now, pool))
    return effects + _demand(state, now, due, wanted)


def on_peer_unreachable(state: State, now: float, peer: InstanceName) -> None:
    """Go by own counts where the dispatcher cannot be reached."""
    for credit in state.credits.held.values():
        if credit.dispatcher == peer:
            credit_holder.fall_back(credit, state.options, now)


def must_probe(state: State, now: float, server: Server) -> bool:
    """Tell whether this instance itself has to ask a server for its load.

    Failure without the fall-back: with no dispatcher in reach nobody asks, and an instance that
    goes by its own counts would not see what others run there.
    """
    if leads(state, now, server):
        return True
    if server.entry.name not in state.subsets.used:
        return False
    # One that could not be reached from here is tried from here before it is used again.
    cut_off = server.unreachable_until > 0.0
    return cut_off or credit_holder.goes_by_counts(state, now, server)
