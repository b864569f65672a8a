"""Demands to the dispatchers: which credit an instance requests, and when.

While its credit covers its work an instance sends only renewals. Otherwise it sends a demand

- at once, if a more urgent tier waits than in the last demand, if credit was recalled, or if an
  attempt beyond its credit has ended;
- after `credit_demand_gap_s`, if more requests wait, if none wait any more, or if credit is idle
  under contention;
- after `credit_lazy_s`, for any other change under contention.

To limit the messages under contention, an upper request that waits on an instance with lower
attempts causes no demand, since one of those attempts is displaced locally. A growing number of
waiting requests is reported only at powers of two, and only a few dispatchers are asked.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from msgspec.structs import replace

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.tiers import lowest_tier
from turmericweir_core.credits.credit_holder import displaceable_attempts, used_by_tier
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.messages.credit_messages import CreditDemand, TierDemand
from turmericweir_core.queueing.displacement_delay import (
    count_ready_to_displace,
    displacement_wait_s,
)
from turmericweir_core.state import queue_state
from turmericweir_core.state.concurrency import limited_slots
from turmericweir_core.state.credit_state import HeldCredit
from turmericweir_core.state.pool_load import pool_load
from turmericweir_core.state.server_table import Server, preferred_servers

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


# --- which credit to request -----------------------------------------------------------------


def wanted_credit(state: State, now: float, pool: str) -> dict[ServerName, list[TierDemand]]:
    """Return the demand for the waiting requests of a pool, by server and tier."""
    wanted: dict[ServerName, dict[int, TierDemand]] = {}
    # Requests that get the slots of displaceable local attempts.
    served_locally = 0
    # Requests for which local attempts are already being displaced need no displacement elsewhere.
    displacing = pool_load(state.pool_loads, pool).displacing
    queues = queue_state.pool_queues(state.queues, pool)
    for queue in sorted(queues, key=lambda queue: queue.service_class.priority):
        servers = preferred_servers(open_servers(state, now, queue.target), queue.head())
        unserved = len(queue)
        if _has_contended_server(state, servers):
            displaceable = _count_displaceable(state, now, servers, queue.service_class.priority)
            taken_locally = max(0, min(unserved, displaceable - served_locally))
            unserved -= taken_locally
            served_locally += taken_locally
        if unserved:
            asked_servers = _servers_to_ask(state, now, queue, servers, unserved)
            ready_requests = count_ready_to_displace(state.options, now, queue, unserved)
            if queue.service_class.priority >= lowest_tier(state.config):
                # There is no lower tier to displace.
                ready_requests = 0
            displacements = _displacements_by_server(
                state.options, now, queue, max(0, ready_requests - displacing), len(asked_servers)
            )
            _add_demand(wanted, queue, asked_servers, unserved, displacements)
        displacing = max(0, displacing - len(queue))
    return {name: list(tiers.values()) for name, tiers in wanted.items()}


def _has_contended_server(state: State, servers: list[Server]) -> bool:
    """Return whether a model server is known to have more demand than slots."""
    held_credit = state.credits.held_by_server
    return any(
        server.service.kind is ServiceKind.MODEL
        and server.entry.name in held_credit
        and held_credit[server.entry.name].is_contended
        for server in servers
    )


def _count_displaceable(state: State, now: float, servers: list[Server], tier: int) -> int:
    """Return the number of local lower attempts whose end would free a slot for a tier.

    Attempts on servers that are slow or whose credit was recalled free no slot. Prevents an upper
    request from waiting for them without asking any dispatcher.
    """
    return sum(displaceable_attempts(state, now, server, tier) for server in servers)


def _servers_to_ask(
    state: State, now: float, queue: queue_state.ClassQueue, servers: list[Server], requests: int
) -> list[Server]:
    """Return the servers to ask: a few at first, and more the longer the oldest request waits.

    Prevents all dispatchers from reserving a slot for a request that needs one.
    """
    # Servers already asked come first. Prevents new demands with every load report.
    already_asked = state.credits.demanded_servers
    ask_last = _server_to_ask_last(state, now, servers)
    servers.sort(
        key=lambda server: (
            server.entry.name not in already_asked,
            _is_reported_full(state, now, server),
            server is ask_last,
        )
    )
    doublings = int((now - queue.oldest_at()) / state.options.credit_widen_s)
    first_servers = min(requests, state.options.credit_ask)
    # The exponent is bounded because the waiting time is not.
    return servers[: first_servers * 2 ** min(5, doublings)]


def _server_to_ask_last(state: State, now: float, servers: list[Server]) -> Server | None:
    """Return the server to ask after all others: the only one where all credit was recalled.

    Prevents instances that prefer the same server from recalling each other's idle slots while
    other servers have free ones. If credit was lost at several servers, there are more instances
    than slots everywhere, and the order of the subset is used for `credit_stay_s`.
    """
    held_credit = state.credits.held_by_server
    if any(
        server.entry.name in held_credit and held_credit[server.entry.name].is_contended
        for server in servers
    ):
        return None
    servers_without_credit = [server for server in servers if _has_lost_credit(state, server)]
    if len(servers_without_credit) > 1:
        state.credits.in_subset_order_until = now + state.options.credit_stay_s
    return (
        servers_without_credit[0]
        if servers_without_credit and now >= state.credits.in_subset_order_until
        else None
    )


def _has_lost_credit(state: State, server: Server) -> bool:
    credit = state.credits.held_by_server.get(server.entry.name)
    return credit is not None and not sum(credit.slots.values())


def _is_reported_full(state: State, now: float, server: Server) -> bool:
    report = server.report
    if report is None or now - server.report_at > state.options.report_valid_s:
        return False
    return report.running + report.waiting >= report.slots


def _displacements_by_server(
    options: Options,
    now: float,
    queue: queue_state.ClassQueue,
    ready_requests: int,
    server_count: int,
) -> list[int]:
    """Return the number of requests for which each dispatcher is to displace lower attempts.

    Each ready request is reported to one dispatcher to displace one attempt for it. Later it is
    reported to more of them, as the first server may run no lower attempts.
    """
    wait_s = displacement_wait_s(options, queue.service_class.target_s)
    steps = int((now - queue.oldest_at() - wait_s) / options.credit_press_s)
    # The exponent is bounded because the waiting time is not.
    total_reports = ready_requests * options.credit_ask ** max(0, min(3, steps))
    return [
        len(range(index, ready_requests, server_count)) or int(index < total_reports)
        for index in range(server_count)
    ]


def _add_demand(
    wanted: dict[ServerName, dict[int, TierDemand]],
    queue: queue_state.ClassQueue,
    servers: list[Server],
    requests: int,
    displacements: list[int],
) -> None:
    tier = queue.service_class.priority
    for server, added_displacements in zip(servers, displacements, strict=True):
        tiers = wanted.setdefault(server.entry.name, {})
        demand = tiers.get(tier, TierDemand(tier, 0, 0))
        waiting = demand.waiting + ceil(requests / len(servers))
        total_displacements = demand.displacing + added_displacements
        tiers[tier] = TierDemand(
            tier, 0, min(server.slots, waiting), min(server.slots, total_displacements)
        )


# --- when to send a demand -------------------------------------------------------------------


def make_demand(
    state: State,
    now: float,
    server: Server,
    waiting: list[TierDemand],
    dispatcher: InstanceName,
) -> CreditDemand | None:
    """Return the demand to send for a server, or None if none is due."""
    name = server.entry.name
    credit = state.credits.held_by_server.get(name)
    if credit is None:
        if not waiting:
            return None
        credit = state.credits.held_by_server[name] = HeldCredit(dispatcher)
    if credit.dispatcher != dispatcher:
        _change_dispatcher(credit, dispatcher)
    tiers = _demand_tiers(server, waiting)
    if tiers:
        credit.used_at = now
    if not _is_demand_due(credit, state.options, now, tiers):
        return None
    # Answers that the dispatcher waits for are exempt from the budget.
    is_awaited = credit.needs_confirmation or _has_excess_attempt_ended(credit, tiers)
    reserved = _reserved_budget_share(tiers, credit.newest_demand)
    if not _take_from_budget(state, now, reserved) and not is_awaited:
        return None
    credit.seq += 1
    credit.sent_at[credit.seq] = now
    credit.newest_demand = tiers
    credit.demand_sent_at = now
    credit.needs_confirmation = False
    state.credits.demands_sent += 1
    if any(each.waiting for each in tiers):
        state.credits.demanded_servers.add(name)
    else:
        state.credits.demanded_servers.discard(name)
    limit = limited_slots(state.server_limits, name, server.slots)
    return CreditDemand(name, credit.seq, credit.grant_number, limit, list(tiers))


def _reserved_budget_share(
    tiers: tuple[TierDemand, ...], last_demand: tuple[TierDemand, ...]
) -> float:
    """Return the share of the budget that is reserved for more urgent demands than this one.

    Prevents updates during a long shortage from using up the budget of demands that displace lower
    attempts or report a more urgent tier.
    """
    if _has_more_urgent_wait(tiers, last_demand):
        return 0.0
    return 0.25 if _has_more_displacements(tiers, last_demand) else 0.5


def _take_from_budget(state: State, now: float, reserved: float) -> bool:
    """Take one demand from the unreserved budget; return False if it has to wait for a later tick.

    Prevents control traffic from displacing requests when all models are short of slots.
    """
    credits, options = state.credits, state.options
    demands_left = options.credit_demands_burst
    if credits.demands_left is not None:
        refilled = (now - credits.demands_left_at) * options.credit_demands_s
        demands_left = min(demands_left, credits.demands_left + refilled)
    credits.demands_left_at = now
    credits.demands_left = demands_left
    if demands_left < max(1.0, reserved * options.credit_demands_burst):
        credits.demands_put_off += 1
        return False
    credits.demands_left = demands_left - 1.0
    return True


def _change_dispatcher(credit: HeldCredit, dispatcher: InstanceName) -> None:
    # Grant numbers of the old dispatcher are not valid at the new one. The old slots stay usable
    # until they expire. Prevents a pause of all requests; the overlap can cause some overload.
    credit.dispatcher = dispatcher
    credit.grant_number = 0
    credit.sent_at.clear()
    credit.newest_demand = ()
    credit.demand_sent_at = float("-inf")


def _demand_tiers(server: Server, waiting: list[TierDemand]) -> tuple[TierDemand, ...]:
    demands = {each.tier: each for each in waiting}
    for tier, running in used_by_tier(server).items():
        demands[tier] = replace(demands.get(tier, TierDemand(tier, 0, 0)), running=running)
    return tuple(demands[tier] for tier in sorted(demands))


def _is_demand_due(
    credit: HeldCredit, options: Options, now: float, tiers: tuple[TierDemand, ...]
) -> bool:
    if credit.needs_confirmation or _has_excess_attempt_ended(credit, tiers):
        # The dispatcher waits for this message to grant the slot to another instance.
        return True
    since_demand_s = now - credit.demand_sent_at
    is_fallback = now < credit.fallback_until
    if (
        not credit.sent_at
        and not is_fallback
        and _has_more_urgent_wait(tiers, credit.newest_demand)
    ):
        # The last demand was answered and did not contain this tier.
        return True
    if since_demand_s < (options.credit_answer_s if is_fallback else options.credit_demand_gap_s):
        return False
    has_waiting = any(each.waiting for each in tiers)
    if has_waiting and now >= credit.valid_until and not credit.sent_at:
        return True
    if _has_more_demand(tiers, credit.newest_demand) or _has_unneeded_slots(credit, tiers):
        return True
    if (
        credit.is_contended
        and since_demand_s >= options.credit_lazy_s
        and tiers != credit.newest_demand
    ):
        return True
    if any(each.running for each in tiers):
        return since_demand_s >= options.credit_renew_s
    # Idle credit is renewed only if it was used since the last demand.
    return credit.used_at > credit.demand_sent_at and since_demand_s >= options.credit_renew_idle_s


def _has_excess_attempt_ended(credit: HeldCredit, tiers: tuple[TierDemand, ...]) -> bool:
    """Return whether an attempt beyond the credit has ended."""
    running = sum(each.running for each in tiers)
    reported = sum(each.running for each in credit.newest_demand)
    return running < reported > sum(credit.slots.values())


def _has_more_demand(tiers: tuple[TierDemand, ...], last_demand: tuple[TierDemand, ...]) -> bool:
    last_by_tier = {demand.tier: demand for demand in last_demand}
    for demand in tiers:
        last_of_tier = last_by_tier.get(demand.tier)
        # Powers of two. Prevents a message for each request of a long queue.
        if demand.waiting.bit_length() > (last_of_tier.waiting.bit_length() if last_of_tier else 0):
            return True
    return _has_more_displacements(tiers, last_demand)


def _has_more_displacements(
    tiers: tuple[TierDemand, ...], last_demand: tuple[TierDemand, ...]
) -> bool:
    last_displacing = {each.tier: each.displacing for each in last_demand}
    return any(each.displacing > last_displacing.get(each.tier, 0) for each in tiers)


def _has_unneeded_slots(credit: HeldCredit, tiers: tuple[TierDemand, ...]) -> bool:
    """Return whether the dispatcher reserves slots that are no longer needed here."""
    if any(each.waiting for each in tiers):
        return False
    if any(each.waiting for each in credit.newest_demand):
        return True
    running = sum(each.running for each in tiers)
    reported = sum(each.running for each in credit.newest_demand)
    return credit.is_contended and running < reported


def _has_more_urgent_wait(
    tiers: tuple[TierDemand, ...], last_demand: tuple[TierDemand, ...]
) -> bool:
    """Return whether a tier waits that is more urgent than all tiers of the last demand."""
    most_urgent_now = min((each.tier for each in tiers if each.waiting), default=None)
    most_urgent_then = min((each.tier for each in last_demand if each.waiting), default=None)
    if most_urgent_now is None:
        return False
    return most_urgent_then is None or most_urgent_now < most_urgent_then


def may_need_demand(credit: HeldCredit, options: Options, now: float) -> bool:
    """Return whether a demand for a server may be due, as a cheap check before `make_demand`."""
    if (
        credit.needs_confirmation
        or credit.is_contended
        or any(each.waiting for each in credit.newest_demand)
    ):
        return True
    return now - credit.demand_sent_at >= options.credit_renew_s
