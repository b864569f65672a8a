"""The side of the credit policy that gives: one ledger for each server that this instance leads.

Each demand is answered at once. Where enough is free the sender gets what it asked for, with a few
spare slots, and nobody else hears of it. Where idle slots of others would do, as many are called
back from those not heard from for longest. Otherwise the server's slots are divided anew among all
holders (`credit_settlement`, `credit_allocation`), with an assured share for the tiers that get
none (`credit_assured`). A holder that falls silent loses its credit when that lapses.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil
from statistics import median_low
from typing import TYPE_CHECKING

from msgspec import Struct

from turmericweir_core.base.config import Kind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.tiers import lowest_tier, most_urgent
from turmericweir_core.credits.credit_allocation import Capacity
from turmericweir_core.credits.credit_assured import save_up
from turmericweir_core.credits.credit_ledger import (
    begun,
    covers,
    free_below,
    free_slots,
    lower_wants,
    set_granted,
    short_of,
    wants_of,
    wants_too_much,
)
from turmericweir_core.credits.credit_settlement import (
    call_back,
    call_back_unheard,
    divide,
    note_use,
    note_use_of,
    pressed_tiers,
    raise_grants,
    spread_displacement,
)
from turmericweir_core.membership.subset import sharing_instances
from turmericweir_core.messages.peer_messages import (
    CreditDemand,
    CreditGrant,
    ServerLoad,
    TierGrant,
)
from turmericweir_core.state.concurrency import limited_slots
from turmericweir_core.state.credit_state import Holding, Ledger
from turmericweir_core.state.server_table import Server, any_target, is_open

if TYPE_CHECKING:
    from turmericweir_core.base.options import Options
    from turmericweir_core.state.state import State


class Outgoing(Struct, frozen=True):
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
    holding = _note_demand(state.options, now, ledger, sender, demand)
    if holding is None:
        return []
    capacity = _capacity(state, now, server, ledger)
    if _grant_from_free(state.options, now, ledger, holding, capacity):
        return [_outgoing(state, now, server, ledger, sender, holding)]
    ledger.unsettled = True
    called_back = _ask_unheard(state.options, now, ledger, holding, capacity)
    if called_back:
        # What they say to it settles it.
        return [
            _outgoing(state, now, server, ledger, name, ledger.holdings[name])
            for name in (*called_back, sender)
        ]
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
    options: Options, now: float, ledger: Ledger, sender: InstanceName, demand: CreditDemand
) -> Holding | None:
    """Take in what a demand says; None where it is older than one seen before."""
    holding = ledger.holdings.get(sender)
    restarted = demand.seq == 1
    if holding is not None and demand.seq <= holding.seq and not restarted:
        return None
    if holding is None or restarted or demand.grant_number < holding.confirmed:
        # Numbers go on from what the sender knows, so that it takes the answer for newer.
        number = demand.grant_number + 1
        holding = ledger.holdings[sender] = Holding(demand.seq, now, number=number, used_at=now)
    note_use_of(options, now, holding)
    holding.seq = demand.seq
    holding.heard_at = now
    holding.demand = {each.tier: each for each in demand.tiers}
    holding.confirmed = demand.grant_number
    holding.limit = demand.limit
    if holding.confirmed >= holding.number:
        holding.unconfirmed = 0
    return holding


def _grant_from_free(
    options: Options, now: float, ledger: Ledger, holding: Holding, capacity: Capacity
) -> bool:
    """Give an instance what it asks for out of what is free; False where that is too little."""
    if ledger.unsettled or ledger.short_since is not None or now < ledger.contended_until:
        return False
    wants = wants_of(holding)
    more = sum(wants.values()) - holding.total()
    free = free_slots(ledger, capacity)
    # What this instance holds itself is not in the way of what it asks for.
    lower_free = free_below(ledger, capacity) + holding.committed_below(capacity.most_urgent)
    lower_free -= lower_wants(holding, capacity)
    if free < max(0, more) or lower_free < 0:
        return False
    spare = -more
    if more > 0:
        # Spare slots go out only with a message that is sent anyway.
        # Others that may come are left their part, or each of them would have to call it back.
        others = max(len(ledger.holdings), capacity.sharing)
        spare = min(options.credit_spare, (free - more) // others)
    granted = dict(wants)
    granted[capacity.lowest] = granted.get(capacity.lowest, 0) + max(0, min(spare, lower_free))
    set_granted(holding, capacity, {tier: slots for tier, slots in granted.items() if slots}, {})
    return True


def _ask_unheard(
    options: Options, now: float, ledger: Ledger, holding: Holding, capacity: Capacity
) -> list[InstanceName]:
    """See whether somebody is short of slots only because others hold idle ones.

    Failure without it: with more instances than slots, each of which sends a request now and then,
    idle slots are taken for a shortage. All holders then report every change for a while, and for
    all of those messages no more than one slot changes hands.
    """
    if now < ledger.contended_until:
        if wants_too_much(ledger, capacity):
            ledger.contended_until = now + options.credit_contended_s
        return []
    if ledger.short_since is not None or not short_of(holding, capacity):
        return []
    ledger.short_since = now
    # Who is still short then is so in earnest.
    ledger.look_due = min(ledger.look_due, now + options.credit_short_s)
    return call_back_unheard(options, now, ledger, capacity)


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
        sharing=sharing_instances(state, any_target(server)),
    )


# --- settlement ------------------------------------------------------------------------------


def settle_if_due(state: State, now: float, server: Server, ledger: Ledger) -> list[Outgoing]:
    """Divide a server's slots anew, unless that was done a moment ago."""
    contended = now < ledger.contended_until
    gap = state.options.credit_settle_s * len(ledger.holdings)
    # Without a shortage there are few, and the answer to a call-back may come before the gap is
    # over: the slot that it brings must not stand idle until the next tick. Failure if that went on
    # for ever: each settlement calls back from several holders, each of their answers makes
    # another, and within milliseconds there are thousands of messages.
    in_a_row = not contended and ledger.settlements < state.options.credit_settle_burst
    if not ledger.unsettled or (not in_a_row and now - ledger.settled_at < gap):
        return []
    _drop_lapsed(state, now, ledger)
    capacity = _capacity(state, now, server, ledger)
    note_use(state.options, now, ledger)
    save_up(state, now, ledger, capacity)
    ledger.settled_at = now
    ledger.settlements += 1
    ledger.unsettled = False
    shares = divide(state.options, ledger, capacity)
    changed = call_back(ledger, capacity, shares)
    changed |= raise_grants(ledger, capacity, shares)
    changed |= spread_displacement(ledger, pressed_tiers(ledger, capacity))
    if not any(short_of(each, capacity) for each in ledger.holdings.values()):
        ledger.short_since = None
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
        ledger.settlements = 0
        # What was put off comes first: a slot that is to be had now is no shortage.
        yield from settle_if_due(state, now, server, ledger)
        if now >= ledger.look_due or now < ledger.contended_until:
            ledger.look_due = now + state.options.credit_look_s
            _look_again(state, now, server, ledger)
            yield from settle_if_due(state, now, server, ledger)


def _look_again(state: State, now: float, server: Server, ledger: Ledger) -> None:
    options = state.options
    holdings = ledger.holdings.values()
    capacity = _capacity(state, now, server, ledger)
    if any(short_of(each, capacity) for each in holdings):
        ledger.short_since = now if ledger.short_since is None else ledger.short_since
    else:
        ledger.short_since = None
    short = free_slots(ledger, capacity) < 0 or _is_short(options, now, ledger, capacity)
    if short:
        ledger.contended_until = now + options.credit_contended_s
    told = any(each.contended for each in holdings)
    lapsed = any(now - each.heard_at > options.credit_ttl_s for each in holdings)
    if short or told or lapsed or ledger.assured:
        ledger.unsettled = True


def _is_short(options: Options, now: float, ledger: Ledger, capacity: Capacity) -> bool:
    if ledger.short_since is None:
        return False
    if now < ledger.contended_until:
        # By now all have said what they use. Failure without this: somebody is short for a moment
        # now and then, while a slot is called back, and the shortage never ends.
        return wants_too_much(ledger, capacity)
    return now - ledger.short_since >= options.credit_short_s


def _outgoing(
    state: State,
    now: float,
    server: Server,
    ledger: Ledger,
    name: InstanceName,
    holding: Holding,
) -> Outgoing:
    holding.contended = now < ledger.contended_until
    tiers = [
        TierGrant(tier, slots, holding.assured.get(tier, 0))
        for tier, slots in sorted(holding.granted.items())
    ]
    if not holding.contended and covers(tiers, holding.demand.values()):
        # As the holder does when it has the grant; so it need not say that its wait is over.
        holding.demand = {each.tier: each for each in begun(holding.demand.values())}
    grant = CreditGrant(
        server=server.entry.name,
        demand_seq=holding.seq,
        number=holding.number,
        ttl_s=state.options.credit_ttl_s,
        contended=holding.contended,
        # Repeated with every grant until it is no longer so: the first one may be lost.
        keep=holding.keep,
        displace_above=holding.displace_above,
        tiers=tiers,
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
