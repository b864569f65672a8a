"""The side of the credit policy that gives: one ledger for each server that this instance leads.

Each demand is answered at once. Where enough is free the sender gets what it asked for, with a few
spare slots, and nobody else hears of it. Otherwise the server's slots are divided anew among all
holders (`credit_allocation`): first credit is called back, the least urgent first, and it is given
to others only when its holder has confirmed that it saw the call-back and runs no more than what it
was left. So the grants of one dispatcher never add up to more than there is, whichever of its
messages are lost or late; a holder that falls silent loses its credit when that lapses.

Crowded-out tiers save up slot seconds at their assured share. Failure without it: the most urgent
tier takes every slot for as long as its demand lasts, and a lower class that has no traffic of an
upper one on its own instance waits for ever. With it, such a tier gets a slot of its own, which no
other tier may use, once it has saved enough for one, and keeps it until what runs there has ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from math import ceil, exp
from statistics import median_low
from typing import TYPE_CHECKING

from turmericweir_core.concurrency import limited_slots
from turmericweir_core.config import Kind
from turmericweir_core.credit_allocation import Capacity, Share, Want, allocate
from turmericweir_core.credit_state import NEVER, Holding, Ledger
from turmericweir_core.ids import InstanceName, ServerName
from turmericweir_core.peer_messages import CreditDemand, CreditGrant, ServerLoad, TierGrant
from turmericweir_core.server_table import Server, is_open
from turmericweir_core.tiers import lowest_tier, most_urgent, tier_shares

if TYPE_CHECKING:
    from turmericweir_core.options import Options
    from turmericweir_core.state import State


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A grant and whom it is for."""

    instance: InstanceName
    grant: CreditGrant


# --- demands ---------------------------------------------------------------------------------


def on_demand(
    state: State, now: float, sender: InstanceName, demand: CreditDemand
) -> list[Outgoing]:
    """Answer a demand, and tell the others where it changes what they have."""
    server = state.servers.by_name.get(ServerName(demand.server))
    if server is None or _is_cut_off(server, now):
        # The sender gets no answer and goes by its own counts meanwhile.
        return []
    ledger = state.credits.given.setdefault(server.entry.name, Ledger())
    holding = _note_demand(ledger, now, sender, demand)
    if holding is None:
        return []
    capacity = _capacity(state, now, server, ledger)
    if _grant_from_free(state.options, now, ledger, holding, capacity):
        return [_outgoing(state, now, server, ledger, sender, holding)]
    ledger.unsettled = True
    ledger.contended_until = now + state.options.credit_contended_s
    changed = settle_if_due(state, now, server, ledger)
    if any(each.instance == sender for each in changed):
        return changed
    return [*changed, _outgoing(state, now, server, ledger, sender, holding)]


def _is_cut_off(server: Server, now: float) -> bool:
    """Tell whether this instance cannot reach a server itself.

    Failure: the path from the dispatcher to the server is cut, and those from the others are not.
    Granting nothing would idle a server that works, granting as before would fill one that may be
    dead; so it grants nothing and answers nothing, and each instance finds out for itself.
    """
    return now < server.unreachable_until


def _note_demand(
    ledger: Ledger, now: float, sender: InstanceName, demand: CreditDemand
) -> Holding | None:
    """Take in what a demand says; None where it is older than one seen before."""
    holding = ledger.holdings.get(sender)
    restarted = demand.seq == 1
    if holding is not None and demand.seq <= holding.seq and not restarted:
        return None
    if holding is None or restarted or demand.grant_number < holding.confirmed:
        # Numbers go on from what the sender knows, so that it takes the answer for newer.
        holding = ledger.holdings[sender] = Holding(demand.seq, now, number=demand.grant_number + 1)
    holding.seq = demand.seq
    holding.heard_at = now
    holding.demand = {each.tier: each for each in demand.tiers}
    holding.confirmed = demand.grant_number
    holding.limit = demand.limit
    if holding.confirmed >= holding.number:
        holding.unconfirmed = 0
    return holding


def _wants(holding: Holding) -> dict[int, int]:
    return {tier: each.running + each.waiting for tier, each in holding.demand.items()}


def _grant_from_free(
    options: Options, now: float, ledger: Ledger, holding: Holding, capacity: Capacity
) -> bool:
    """Give an instance what it asks for out of what is free; False where that is too little."""
    if ledger.unsettled or now < ledger.contended_until:
        return False
    wants = _wants(holding)
    more = sum(wants.values()) - holding.total()
    free = _free(ledger, capacity)
    # What this instance holds itself is not in the way of what it asks for.
    lower_free = _lower_free(ledger, capacity) + holding.committed_below(capacity.most_urgent)
    lower_free -= _lower_wants(holding, capacity)
    if free < max(0, more) or lower_free < 0:
        return False
    spare = -more
    if more > 0:
        # Spare slots go out only with a message that is sent anyway.
        spare = min(options.credit_spare, (free - more) // len(ledger.holdings))
    granted = dict(wants)
    granted[capacity.lowest] = granted.get(capacity.lowest, 0) + max(0, min(spare, lower_free))
    _set_granted(holding, capacity, {tier: slots for tier, slots in granted.items() if slots}, {})
    return True


def _lower_free(ledger: Ledger, capacity: Capacity) -> int:
    """Count the free slots that tiers below the most urgent one may have."""
    used = sum(each.committed_below(capacity.most_urgent) for each in ledger.holdings.values())
    return capacity.lower_slots - used


def _short(holding: Holding, capacity: Capacity) -> int:
    """Count the slots that an instance is short of, by its wants and what it was granted.

    Where slots are granted by tier, those of a more urgent tier do not count for a lower one.
    """
    wants = _wants(holding)
    if not capacity.by_tier:
        return max(0, sum(wants.values()) - holding.total())
    short = 0
    missing = 0
    for tier in sorted({*wants, *holding.granted}, reverse=True):
        missing += wants.get(tier, 0) - holding.granted.get(tier, 0)
        short = max(short, missing)
    return short


def _lower_wants(holding: Holding, capacity: Capacity) -> int:
    wants = _wants(holding)
    return sum(slots for tier, slots in wants.items() if tier != capacity.most_urgent)


def _free(ledger: Ledger, capacity: Capacity) -> int:
    return capacity.slots - sum(each.committed() for each in ledger.holdings.values())


def _set_granted(
    holding: Holding, capacity: Capacity, slots: dict[int, int], assured: dict[int, int]
) -> bool:
    """Change what an instance is granted; tell whether that was a change."""
    same = slots == holding.granted
    if not capacity.by_tier:
        same = sum(slots.values()) == holding.total()
    if same and assured == holding.assured:
        holding.granted = slots
        return False
    before = holding.total()
    holding.granted = slots
    holding.assured = assured
    holding.number += 1
    if holding.total() < before:
        holding.unconfirmed = max(holding.unconfirmed, before)
    return True


# --- capacity --------------------------------------------------------------------------------


def _capacity(state: State, now: float, server: Server, ledger: Ledger) -> Capacity:
    options = state.options
    limits = [each.limit for each in ledger.holdings.values() if each.limit > 0]
    # The holders see the server's latency, this instance may have no traffic there itself.
    limit = median_low(limits) if limits else server.slots
    limit = min(limit, limited_slots(state.server_limits, server.entry.name, server.slots))
    slots = limit + options.slack_slots if is_open(server, now) else 0
    lower = slots
    if server.service.kind is Kind.PLAIN:
        # A running plain call cannot be preempted, so some slots are kept for the urgent.
        lower = max(0, slots - ceil(options.reserve_share * limit))
    return Capacity(
        slots=slots,
        lower_slots=lower,
        spare=options.credit_spare,
        most_urgent=most_urgent(state.config),
        lowest=lowest_tier(state.config),
        by_tier=server.service.kind is Kind.PLAIN,
    )


# --- settlement ------------------------------------------------------------------------------


def settle_if_due(state: State, now: float, server: Server, ledger: Ledger) -> list[Outgoing]:
    """Divide a server's slots anew, unless that was done a moment ago."""
    gap = state.options.credit_settle_s * len(ledger.holdings)
    if not ledger.unsettled or now - ledger.settled_at < gap:
        return []
    _drop_lapsed(state, now, ledger)
    capacity = _capacity(state, now, server, ledger)
    _note_use(state.options, now, ledger)
    _save_up(state, now, ledger, capacity)
    ledger.settled_at = now
    ledger.unsettled = False
    shares = _divide(state.options, ledger, capacity)
    changed = _call_back(ledger, capacity, shares)
    changed |= _raise(ledger, capacity, shares)
    changed |= _spread_displacement(ledger, _pressed(ledger, capacity))
    contended = now < ledger.contended_until
    return [
        _outgoing(state, now, server, ledger, name, holding)
        for name, holding in ledger.holdings.items()
        if name in changed or holding.contended != contended
    ]


def _drop_lapsed(state: State, now: float, ledger: Ledger) -> None:
    for name, holding in list(ledger.holdings.items()):
        # Counted from the receipt of its last demand, so later than the instance itself counts.
        lapsed = now - holding.heard_at > state.options.credit_ttl_s
        if lapsed or name not in state.credits.alive:
            del ledger.holdings[name]


def _divide(options: Options, ledger: Ledger, capacity: Capacity) -> dict[InstanceName, Share]:
    order = sorted(ledger.holdings, key=lambda name: _rank(options, ledger.holdings[name]))
    wants = [
        Want(name, each.tier, each.running, each.waiting)
        for name in order
        for each in ledger.holdings[name].demand.values()
        if each.running + each.waiting
    ]
    return allocate(capacity, order, wants, sorted(ledger.assured, reverse=True))


def _rank(options: Options, holding: Holding) -> tuple[int, bool, float]:
    """Order instances that are equal otherwise: who used least first, and no change for little."""
    turns = int(holding.used_s / options.credit_turn_s)
    return (turns, not holding.total(), holding.used_s)


def _note_use(options: Options, now: float, ledger: Ledger) -> None:
    """Follow how much each instance used, so that slots go round among equals.

    Failure without it: one instance that always has work keeps the slot that it has, and another
    with the same class waits behind it for as long as that lasts.
    """
    elapsed = min(options.credit_use_window_s, now - ledger.settled_at)
    kept = exp(-elapsed / options.credit_use_window_s)
    for holding in ledger.holdings.values():
        holding.used_s = holding.used_s * kept + holding.running() * elapsed


def _pressed(ledger: Ledger, capacity: Capacity) -> dict[int, int]:
    """Count by tier those that are named here alone and that no grant covers yet."""
    pressed: dict[int, int] = {}
    for holding in ledger.holdings.values():
        short = _short(holding, capacity)
        for tier in sorted(holding.demand):
            count = min(short, holding.demand[tier].pressed)
            if count:
                pressed[tier] = pressed.get(tier, 0) + count
                short -= count
    return pressed


def _spread_displacement(ledger: Ledger, pressed: dict[int, int]) -> set[InstanceName]:
    """Say who stops how many attempts, the least urgent first; give those for whom it changed."""
    changed: set[InstanceName] = set()
    above = min(pressed, default=0)
    told = 0
    for name in sorted(ledger.holdings, key=lambda name: -_lowest_running(ledger.holdings[name])):
        holding = ledger.holdings[name]
        lowest = _lowest_running(holding)
        wanted = sum(count for tier, count in pressed.items() if tier < lowest)
        displace = max(0, min(holding.running() - holding.total(), wanted - told))
        told += displace
        if displace != holding.displace:
            holding.displace = displace
            changed.add(name)
        holding.displace_above = above
    return changed


def _lowest_running(holding: Holding) -> int:
    return max((each.tier for each in holding.demand.values() if each.running), default=-1)


def _call_back(
    ledger: Ledger, capacity: Capacity, shares: dict[InstanceName, Share]
) -> set[InstanceName]:
    """Lower the grants of those who have more than their share, where others need it."""
    holdings = ledger.holdings.values()
    need = sum(_short(each, capacity) for each in holdings)
    lower_need = sum(
        max(0, _lower_wants(each, capacity) - each.committed_below(capacity.most_urgent))
        for each in holdings
    )
    fits = need <= _free(ledger, capacity) and lower_need <= _lower_free(ledger, capacity)
    fits = fits and not ledger.assured
    return {
        name
        for name, share in shares.items()
        if share.total() <= ledger.holdings[name].total()
        and not (fits and _short(ledger.holdings[name], capacity) == 0)
        and _set_granted(ledger.holdings[name], capacity, share.slots, share.assured)
    }


@dataclass(slots=True)
class _Free:
    """What a settlement has left to give."""

    # Slots that nobody may be using, with or without a grant.
    slots: int
    # Slots that nobody was granted: fewer are in use than that while some run without a grant.
    grants: int
    # Of the former, what tiers below the most urgent one may have.
    below: int


def _raise(
    ledger: Ledger, capacity: Capacity, shares: dict[InstanceName, Share]
) -> set[InstanceName]:
    """Raise the grants of those who have less than their share by what is free by now."""
    usable = sum(each.usable() for each in ledger.holdings.values())
    free = _Free(_free(ledger, capacity), capacity.slots - usable, _lower_free(ledger, capacity))
    return {
        name
        for name in sorted(shares, key=lambda each: _urgency(ledger, shares, each))
        if _raise_one(ledger.holdings[name], shares[name], free, capacity)
    }


def _raise_one(holding: Holding, share: Share, free: _Free, capacity: Capacity) -> bool:
    """Raise one grant as far as may be, and take it off what is free."""
    if share.total() <= holding.total():
        return False
    urgent = capacity.most_urgent
    # What it runs already costs nothing to be granted, so long as grants are left at all.
    committed, usable = holding.committed(), holding.usable()
    total = min(committed + max(0, free.slots), usable + max(0, free.grants))
    below = holding.committed_below(urgent)
    slots = _first_slots(share, total, below + max(0, free.below), urgent)
    if sum(slots.values()) <= holding.total():
        return False
    changed = _set_granted(holding, capacity, slots, share.assured)
    free.slots -= holding.committed() - committed
    free.grants -= holding.usable() - usable
    free.below -= holding.committed_below(urgent) - below
    return changed


def _urgency(
    ledger: Ledger, shares: dict[InstanceName, Share], name: InstanceName
) -> tuple[int, float]:
    holding = ledger.holdings[name]
    short = [
        -1 if tier in shares[name].assured else tier
        for tier, slots in shares[name].slots.items()
        if slots > holding.granted.get(tier, 0)
    ]
    return (min(short, default=1 << 30), holding.used_s)


def _first_slots(share: Share, total: int, below: int, urgent: int) -> dict[int, int]:
    """Cut a share to a total, and to another one below the most urgent tier.

    The assured slots come first, then the most urgent tiers.
    """
    slots = {tier: min(count, total) for tier, count in share.assured.items()}
    left = total - sum(slots.values())
    left_below = below - sum(slots.values())
    for tier in sorted(share.slots):
        more = min(left, share.slots[tier] - slots.get(tier, 0))
        if tier != urgent:
            more = min(more, left_below)
            left_below -= max(0, more)
        if more > 0:
            slots[tier] = slots.get(tier, 0) + more
            left -= more
    return slots


# --- assured shares --------------------------------------------------------------------------


def _save_up(state: State, now: float, ledger: Ledger, capacity: Capacity) -> None:
    """Let crowded-out tiers earn slot seconds, and those that have a slot pay for it."""
    options = state.options
    elapsed = min(1.0, now - ledger.settled_at) if ledger.settled_at != NEVER else 0.0
    shares = tier_shares(state.config)
    for tier in _tiers(ledger):
        saved = ledger.saved.get(tier, 0.0)
        waiting, running = _tier_totals(ledger, tier)
        if tier in ledger.assured:
            saved -= elapsed
        elif waiting and not running:
            saved += elapsed * capacity.slots * shares.get(tier, 0.0)
        ledger.saved[tier] = min(saved, 2.0 * options.credit_assured_s)
        _set_assured(options, ledger, tier, bool(waiting), bool(running))


def _set_assured(options: Options, ledger: Ledger, tier: int, waiting: bool, running: bool) -> None:
    saved = ledger.saved[tier]
    if tier not in ledger.assured:
        if saved >= options.credit_assured_s:
            ledger.assured.add(tier)
        return
    # What runs on the slot may end there; its tier is in debt then and saves up anew.
    ends = saved <= -options.credit_assured_debt_s or (saved <= 0.0 and not running)
    if ends or not (waiting or running):
        ledger.assured.discard(tier)


def _tiers(ledger: Ledger) -> Iterable[int]:
    tiers = {tier for each in ledger.holdings.values() for tier in each.demand}
    return tiers | ledger.assured


def _tier_totals(ledger: Ledger, tier: int) -> tuple[int, int]:
    demands = [each.demand[tier] for each in ledger.holdings.values() if tier in each.demand]
    return sum(each.waiting for each in demands), sum(each.running for each in demands)


# --- ticks and grants ------------------------------------------------------------------------


def on_tick(state: State, now: float) -> Iterator[Outgoing]:
    """Settle what was put off, and what time has changed."""
    for name, ledger in list(state.credits.given.items()):
        server = state.servers.by_name.get(name)
        if server is None or not ledger.holdings:
            # Holders fall back on their own counts; a dispatcher that follows asks them anew.
            del state.credits.given[name]
            continue
        if _is_cut_off(server, now):
            continue
        if now >= ledger.look_due or now < ledger.contended_until:
            ledger.look_due = now + state.options.credit_look_s
            _look_again(state, now, server, ledger)
        yield from settle_if_due(state, now, server, ledger)


def _look_again(state: State, now: float, server: Server, ledger: Ledger) -> None:
    options = state.options
    holdings = ledger.holdings.values()
    capacity = _capacity(state, now, server, ledger)
    short = _free(ledger, capacity) < 0 or any(_short(each, capacity) for each in holdings)
    if short:
        ledger.contended_until = now + options.credit_contended_s
    told = any(each.contended for each in holdings)
    lapsed = any(now - each.heard_at > options.credit_ttl_s for each in holdings)
    if short or told or lapsed or ledger.assured:
        ledger.unsettled = True


def _outgoing(
    state: State,
    now: float,
    server: Server,
    ledger: Ledger,
    name: InstanceName,
    holding: Holding,
) -> Outgoing:
    holding.contended = now < ledger.contended_until
    grant = CreditGrant(
        server=server.entry.name,
        demand_seq=holding.seq,
        number=holding.number,
        ttl_s=state.options.credit_ttl_s,
        contended=holding.contended,
        # Repeated with every grant until it is no longer so: the first one may be lost.
        displace=holding.displace,
        displace_above=holding.displace_above,
        tiers=[
            TierGrant(tier, slots, holding.assured.get(tier, 0))
            for tier, slots in sorted(holding.granted.items())
        ],
        load=_load_news(state, now, server, holding),
    )
    return Outgoing(name, grant)


def _load_news(state: State, now: float, server: Server, holding: Holding) -> ServerLoad | None:
    report = server.report
    if report is None or report.seq == holding.load_seq:
        return None
    leaves = report.leaving and not holding.load_leaving
    if now - holding.load_at < state.options.credit_load_s and not leaves:
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
