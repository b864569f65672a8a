"""The dispatcher of the credit policy: one ledger for each server that this instance dispatches.

Each demand is answered at once. If enough slots are free, the sender is granted its demand and a
few spare slots. If idle slots of other holders suffice, they are recalled from the holders with the
oldest demands. Otherwise the server's slots are divided again among all holders
(`credit_settlement`, `credit_allocation`), with an assured share for starved tiers
(`credit_assured`). The credit of an unresponsive holder expires.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil
from statistics import median_low
from typing import TYPE_CHECKING

from msgspec import Struct

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.tiers import lowest_tier, most_urgent_configured_tier
from turmericweir_core.credits.credit_allocation import Capacity
from turmericweir_core.credits.credit_assured import update_assured_tiers
from turmericweir_core.credits.credit_ledger import (
    demand_by_tier,
    demand_once_started,
    exceeds_capacity,
    free_lower_slots,
    free_slots,
    grant_covers,
    lower_demand,
    missing_slots,
    set_granted,
)
from turmericweir_core.credits.credit_settlement import (
    assign_displacements,
    divide,
    needed_displacements,
    raise_grants,
    recall_credit,
    recall_idle_slots,
    update_use,
    update_use_of,
)
from turmericweir_core.membership.subset import instances_per_server
from turmericweir_core.messages.credit_messages import (
    CreditDemand,
    CreditGrant,
    ServerLoad,
    TierGrant,
)
from turmericweir_core.state.concurrency import limited_slots
from turmericweir_core.state.credit_state import CreditHolding, CreditLedger
from turmericweir_core.state.server_table import Server, any_target, can_take_work

if TYPE_CHECKING:
    from turmericweir_core.base.options import Options
    from turmericweir_core.state.state import State


class Outgoing(Struct, frozen=True):
    """A grant and its receiver."""

    instance: InstanceName
    grant: CreditGrant


# --- demands ---------------------------------------------------------------------------------


def on_demand(
    state: State, now: float, sender: InstanceName, demand: CreditDemand
) -> list[Outgoing]:
    """Answer a demand, and send new grants to the other holders that it affects."""
    server = state.servers.by_name.get(ServerName(demand.server))
    if server is None or _is_unreachable(server, now):
        # Without an answer the sender uses its local counts.
        return []
    ledger = state.credits.granted_by_server.setdefault(server.entry.name, CreditLedger())
    holding = _record_demand(state.options, now, ledger, sender, demand)
    if holding is None:
        return []
    capacity = _capacity(state, now, server, ledger)
    if _grant_from_free_slots(state.options, now, ledger, holding, capacity):
        return [_outgoing(state, now, server, ledger, sender, holding)]
    ledger.is_settlement_pending = True
    recalled_from = _recall_idle_credit(state.options, now, ledger, holding, capacity)
    if recalled_from:
        # The answers to the recall trigger the settlement.
        return [
            _outgoing(state, now, server, ledger, name, ledger.holdings[name])
            for name in (*recalled_from, sender)
        ]
    grants = settle_if_due(state, now, server, ledger)
    if any(each.instance == sender for each in grants):
        return grants
    return [*grants, _outgoing(state, now, server, ledger, sender, holding)]


def _is_unreachable(server: Server, now: float) -> bool:
    """Return whether this instance cannot reach a server.

    A dispatcher that cannot reach its server sends no answers, so each instance uses its local
    counts. Other instances may still reach the server.
    """
    return now < server.unreachable_until


def _record_demand(
    options: Options, now: float, ledger: CreditLedger, sender: InstanceName, demand: CreditDemand
) -> CreditHolding | None:
    """Record a demand and return its holding, or None if a newer demand was received before."""
    holding = ledger.holdings.get(sender)
    is_first_demand = demand.seq == 1
    if holding is not None and demand.seq <= holding.seq and not is_first_demand:
        return None
    if holding is None or is_first_demand or demand.grant_number < holding.confirmed:
        # Continues the sender's grant numbers. Prevents it from ignoring the answer as stale.
        grant_number = demand.grant_number + 1
        holding = ledger.holdings[sender] = CreditHolding(
            demand.seq, now, number=grant_number, used_at=now
        )
    update_use_of(options, now, holding)
    holding.seq = demand.seq
    holding.received_at = now
    holding.demand = {each.tier: each for each in demand.tiers}
    holding.confirmed = demand.grant_number
    holding.limit = demand.limit
    if holding.confirmed >= holding.number:
        holding.unconfirmed = 0
    return holding


def _grant_from_free_slots(
    options: Options, now: float, ledger: CreditLedger, holding: CreditHolding, capacity: Capacity
) -> bool:
    """Grant an instance its demand from free slots; return False if there are too few."""
    if (
        ledger.is_settlement_pending
        or ledger.short_since is not None
        or now < ledger.contended_until
    ):
        return False
    wants = demand_by_tier(holding)
    additional = sum(wants.values()) - holding.total()
    free = free_slots(ledger, capacity)
    # Slots that the instance already holds count toward its demand.
    lower_free = free_lower_slots(ledger, capacity) + holding.committed_below(capacity.most_urgent)
    lower_free -= lower_demand(holding, capacity)
    if free < max(0, additional) or lower_free < 0:
        return False
    spare = -additional
    if additional > 0:
        # Leaves spare slots for the other instances. Prevents recalls when they need some.
        sharing_instances = max(len(ledger.holdings), capacity.sharing)
        spare = min(options.credit_spare, (free - additional) // sharing_instances)
    granted = dict(wants)
    granted[capacity.lowest] = granted.get(capacity.lowest, 0) + max(0, min(spare, lower_free))
    set_granted(holding, capacity, {tier: slots for tier, slots in granted.items() if slots}, {})
    return True


def _recall_idle_credit(
    options: Options, now: float, ledger: CreditLedger, holding: CreditHolding, capacity: Capacity
) -> list[InstanceName]:
    """Recall idle slots of other holders for an instance that is short; return those holders.

    Prevents idle credit of many instances from counting as contention, in which all holders report
    every change.
    """
    if now < ledger.contended_until:
        if exceeds_capacity(ledger, capacity):
            ledger.contended_until = now + options.credit_contended_s
        return []
    if ledger.short_since is not None or not missing_slots(holding, capacity):
        return []
    ledger.short_since = now
    # An instance that is still short at that time is in a real shortage.
    ledger.next_check_at = min(ledger.next_check_at, now + options.credit_short_s)
    return recall_idle_slots(options, now, ledger, capacity)


# --- capacity --------------------------------------------------------------------------------


def _capacity(state: State, now: float, server: Server, ledger: CreditLedger) -> Capacity:
    options = state.options
    limits = [each.limit for each in ledger.holdings.values() if each.limit > 0]
    # The holders measure the server's latency; this instance may send no requests to it.
    limit = median_low(limits) if limits else server.slots
    limit = min(limit, limited_slots(state.server_limits, server.entry.name, server.slots))
    slots = limit + options.slack_slots if can_take_work(server, now) else 0
    lower = slots
    if server.service.kind is ServiceKind.PLAIN:
        # A running plain call cannot be preempted, so slots are reserved for the most urgent tier.
        lower = max(0, slots - ceil(options.reserve_share * limit))
    return Capacity(
        slots=slots,
        lower_slots=lower,
        spare=options.credit_spare,
        most_urgent=most_urgent_configured_tier(state.config),
        lowest=lowest_tier(state.config),
        is_tier_bound=server.service.kind is ServiceKind.PLAIN,
        sharing=instances_per_server(state, any_target(server)),
    )


# --- settlement ------------------------------------------------------------------------------


def settle_if_due(state: State, now: float, server: Server, ledger: CreditLedger) -> list[Outgoing]:
    """Divide a server's slots again, unless the last settlement was too recent."""
    is_contended = now < ledger.contended_until
    gap_s = state.options.credit_settle_s * len(ledger.holdings)
    # Without contention a few settlements may follow at once. Prevents a slot that an answer to a
    # recall freed from staying idle until the next tick. The number is limited, as each settlement
    # can cause several answers and each answer another settlement.
    may_follow_at_once = not is_contended and ledger.settlements < state.options.credit_settle_burst
    if not ledger.is_settlement_pending or (
        not may_follow_at_once and now - ledger.settled_at < gap_s
    ):
        return []
    _drop_lapsed_holdings(state, now, ledger)
    capacity = _capacity(state, now, server, ledger)
    update_use(state.options, now, ledger)
    update_assured_tiers(state, now, ledger, capacity)
    ledger.settled_at = now
    ledger.settlements += 1
    ledger.is_settlement_pending = False
    shares = divide(state.options, ledger, capacity)
    changed_instances = recall_credit(ledger, capacity, shares)
    changed_instances |= raise_grants(ledger, capacity, shares)
    changed_instances |= assign_displacements(ledger, needed_displacements(ledger, capacity))
    if not any(missing_slots(each, capacity) for each in ledger.holdings.values()):
        ledger.short_since = None
    return [
        _outgoing(state, now, server, ledger, name, holding)
        for name, holding in ledger.holdings.items()
        if name in changed_instances or holding.is_contended != is_contended
    ]


def _drop_lapsed_holdings(state: State, now: float, ledger: CreditLedger) -> None:
    for name, holding in list(ledger.holdings.items()):
        # Counts from the receipt of the last demand, so the holder's credit expires before this.
        has_lapsed = now - holding.received_at > state.options.credit_ttl_s
        if has_lapsed or name not in state.credits.live_instances:
            del ledger.holdings[name]


# --- ticks and grants ------------------------------------------------------------------------


def on_tick(state: State, now: float) -> Iterator[Outgoing]:
    """Run deferred settlements and periodic checks; yield the grants to send."""
    for name, ledger in list(state.credits.granted_by_server.items()):
        server = state.servers.by_name.get(name)
        if server is None or not ledger.holdings:
            # The holders fall back on local counts and send demands to a new dispatcher.
            del state.credits.granted_by_server[name]
            continue
        if _is_unreachable(server, now):
            continue
        ledger.settlements = 0
        # Prevents the check from counting a slot that is already free as a shortage.
        yield from settle_if_due(state, now, server, ledger)
        if now >= ledger.next_check_at or now < ledger.contended_until:
            ledger.next_check_at = now + state.options.credit_look_s
            _check_for_shortage(state, now, server, ledger)
            yield from settle_if_due(state, now, server, ledger)


def _check_for_shortage(state: State, now: float, server: Server, ledger: CreditLedger) -> None:
    options = state.options
    holdings = ledger.holdings.values()
    capacity = _capacity(state, now, server, ledger)
    if any(missing_slots(each, capacity) for each in holdings):
        ledger.short_since = now if ledger.short_since is None else ledger.short_since
    else:
        ledger.short_since = None
    is_short = free_slots(ledger, capacity) < 0 or _is_lasting_shortage(
        options, now, ledger, capacity
    )
    if is_short:
        ledger.contended_until = now + options.credit_contended_s
    was_contended = any(each.is_contended for each in holdings)
    has_lapsed = any(now - each.received_at > options.credit_ttl_s for each in holdings)
    if is_short or was_contended or has_lapsed or ledger.assured_tiers:
        ledger.is_settlement_pending = True


def _is_lasting_shortage(
    options: Options, now: float, ledger: CreditLedger, capacity: Capacity
) -> bool:
    if ledger.short_since is None:
        return False
    if now < ledger.contended_until:
        # All holders have reported their use by now. Prevents short delays of recalled slots from
        # prolonging the contention forever.
        return exceeds_capacity(ledger, capacity)
    return now - ledger.short_since >= options.credit_short_s


def _outgoing(
    state: State,
    now: float,
    server: Server,
    ledger: CreditLedger,
    name: InstanceName,
    holding: CreditHolding,
) -> Outgoing:
    holding.is_contended = now < ledger.contended_until
    tiers = [
        TierGrant(tier, slots, holding.assured.get(tier, 0))
        for tier, slots in sorted(holding.granted.items())
    ]
    if not holding.is_contended and grant_covers(tiers, holding.demand.values()):
        # The holder does the same on receipt, which saves a demand.
        holding.demand = {each.tier: each for each in demand_once_started(holding.demand.values())}
    grant = CreditGrant(
        server=server.entry.name,
        demand_seq=holding.seq,
        grant_number=holding.number,
        ttl_s=state.options.credit_ttl_s,
        is_contended=holding.is_contended,
        # Repeated with every grant, as the first one may be lost.
        attempts_to_keep=holding.attempts_to_keep,
        displace_above=holding.displace_above,
        tiers=tiers,
        load=_load_update(state, now, server, holding),
    )
    return Outgoing(name, grant)


def _load_update(
    state: State, now: float, server: Server, holding: CreditHolding
) -> ServerLoad | None:
    report = server.report
    if report is None or report.seq == holding.load_seq:
        return None
    is_leaving_unreported = report.leaving and not holding.load_leaving
    if now - holding.load_at < state.options.credit_load_s and not is_leaving_unreported:
        return None
    holding.load_seq = report.seq
    holding.load_at = now
    holding.load_leaving = report.leaving
    return ServerLoad(
        incarnation=report.incarnation,
        seq=report.seq,
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        kv_used=report.kv_used,
        kv_total=report.kv_total,
        models=list(report.models),
        leaving=report.leaving,
        fence=report.fence,
    )
