"""What an instance asks the dispatchers for, and when.

While its credit fits its work it sends nothing but a renewal now and then. A demand goes out:

- at once, when a tier waits that is more urgent than any it spoke of before; when it has seen a
  call-back; when an attempt ended that was beyond its credit;
- a few tens of milliseconds after the one before, when more waits, or when nothing waits any more
  and, in a shortage, credit lies idle;
- half a second after the one before, for any other change in a shortage.

Messages are the scarce thing in a shortage, not slots. So an upper request that waits on an
instance which runs lower work asks nobody: that work makes way without a message, if none of it
ends soon enough by itself. How much waits is told in steps of two, and few servers are asked.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from msgspec.structs import replace

from turmericweir_core.base.config import Kind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.base.tiers import lowest_tier
from turmericweir_core.credits.credit_holder import lower_that_makes_way, used_by_tier
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.messages.peer_messages import CreditDemand, TierDemand
from turmericweir_core.queueing.patience import count_ripe, displacement_wait
from turmericweir_core.state import queue_state
from turmericweir_core.state.concurrency import limited_slots
from turmericweir_core.state.credit_state import HeldCredit
from turmericweir_core.state.pool_load import pool_load
from turmericweir_core.state.server_table import Server, preferred

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


# --- what to ask whom ------------------------------------------------------------------------


def wanted_credit(state: State, now: float, pool: str) -> dict[ServerName, list[TierDemand]]:
    """Spread what waits in a pool over servers to ask, by server and tier."""
    wanted: dict[ServerName, dict[int, TierDemand]] = {}
    # Requests for which own lower work makes way, if none of it ends soon enough by itself.
    served = 0
    # For those that own lower work makes way for already, nobody else's need be stopped.
    covered = pool_load(state.pool_loads, pool).displacing
    queues = queue_state.pool_queues(state.queues, pool)
    for queue in sorted(queues, key=lambda queue: queue.service_class.priority):
        servers = preferred(open_servers(state, now, queue.target), queue.head())
        asking = len(queue)
        if _is_short(state, servers):
            own = _lower_that_makes_way(state, now, servers, queue.service_class.priority)
            taken = max(0, min(asking, own - served))
            asking -= taken
            served += taken
        if asking:
            asked = _servers_to_ask(state, now, queue, servers, asking)
            ripe = count_ripe(state.options, now, queue, asking)
            if queue.service_class.priority >= lowest_tier(state.config):
                # Nothing is below that could stop for it.
                ripe = 0
            presses = _presses(state.options, now, queue, max(0, ripe - covered), len(asked))
            _spread(wanted, queue, asked, asking, presses)
        covered = max(0, covered - len(queue))
    return {name: list(tiers.values()) for name, tiers in wanted.items()}


def _is_short(state: State, servers: list[Server]) -> bool:
    """Tell whether model servers are known to have more demand than slots."""
    held = state.credits.held
    return any(
        server.service.kind is Kind.MODEL
        and server.entry.name in held
        and held[server.entry.name].contended
        for server in servers
    )


def _lower_that_makes_way(state: State, now: float, servers: list[Server], tier: int) -> int:
    """Count own lower attempts that would leave their places to a tier.

    Failure: all that runs below counts, also on servers whose credit was called back or that are
    too slow, where an end makes no room. The upper request then asks nobody, and waits until lower
    answers end by themselves while they run everywhere.
    """
    return sum(lower_that_makes_way(state, now, server, tier) for server in servers)


def _servers_to_ask(
    state: State, now: float, queue: queue_state.ClassQueue, servers: list[Server], asking: int
) -> list[Server]:
    """Pick few servers to ask at first, and more the longer the head waits.

    Asking all of them for one request would have each dispatcher hold a slot that all but one of
    them hold for nothing, and would cost messages to ask and to take it back.
    """
    # Those that were asked stay so; to ask others with every report would be endless traffic.
    asked = state.credits.asking
    passed = _passed_over(state, now, servers)
    servers.sort(
        key=lambda server: (
            server.entry.name not in asked,
            _looks_full(state, now, server),
            server is passed,
        )
    )
    doublings = int((now - queue.oldest_at()) / state.options.credit_widen_s)
    first = min(asking, state.options.credit_ask)
    # Bounded, as the power grows without end.
    return servers[: first * 2 ** min(5, doublings)]


def _passed_over(state: State, now: float, servers: list[Server]) -> Server | None:
    """Find the one server that left this instance no credit, so that others are asked before it.

    Failure: more instances have a server first in their subsets than it has slots, while others
    have slots to spare. Each that asks there again has an idle slot called back from another, which
    does the same with its next request: six messages for each, all of them at one dispatcher. Asked
    elsewhere first, instances spread until the credit of each is left to it. Where that is lost as
    well, there are more instances than slots everywhere: to go round would only cost shortages, so
    the order of the subset holds for a while, as it does in a shortage.
    """
    held = state.credits.held
    if any(server.entry.name in held and held[server.entry.name].contended for server in servers):
        return None
    lost = [server for server in servers if _has_lost_credit(state, server)]
    if len(lost) > 1:
        state.credits.stays_until = now + state.options.credit_stay_s
    return lost[0] if lost and now >= state.credits.stays_until else None


def _has_lost_credit(state: State, server: Server) -> bool:
    credit = state.credits.held.get(server.entry.name)
    return credit is not None and not sum(credit.slots.values())


def _looks_full(state: State, now: float, server: Server) -> bool:
    report = server.report
    if report is None or now - server.report_at > state.options.report_valid_s:
        return False
    return report.running + report.waiting >= report.slots


def _presses(
    options: Options, now: float, queue: queue_state.ClassQueue, ripe: int, servers: int
) -> list[int]:
    """Give for how many ripe requests each server's dispatcher is pressed to stop lower work.

    Each presses one, so that lower work stops once for it. Failure: that server runs upper work
    alone, so nothing stops there, and the request waits on while lower work runs elsewhere. So once
    the first has had the time to act, others are pressed as well.
    """
    wait = displacement_wait(options, queue.service_class.target_s)
    turns = int((now - queue.oldest_at() - wait) / options.credit_press_s)
    # Bounded, as the power grows without end.
    reach = ripe * options.credit_ask ** max(0, min(3, turns))
    return [len(range(place, ripe, servers)) or int(place < reach) for place in range(servers)]


def _spread(
    wanted: dict[ServerName, dict[int, TierDemand]],
    queue: queue_state.ClassQueue,
    servers: list[Server],
    asking: int,
    presses: list[int],
) -> None:
    tier = queue.service_class.priority
    for server, pressed in zip(servers, presses, strict=True):
        tiers = wanted.setdefault(server.entry.name, {})
        before = tiers.get(tier, TierDemand(tier, 0, 0))
        waiting = before.waiting + ceil(asking / len(servers))
        press = before.pressed + pressed
        tiers[tier] = TierDemand(tier, 0, min(server.slots, waiting), min(server.slots, press))


# --- when ------------------------------------------------------------------------------------


def make_demand(
    state: State,
    now: float,
    server: Server,
    waiting: list[TierDemand],
    dispatcher: InstanceName,
) -> CreditDemand | None:
    """Make the demand for a server where one is due now."""
    name = server.entry.name
    credit = state.credits.held.get(name)
    if credit is None:
        if not waiting:
            return None
        credit = state.credits.held[name] = HeldCredit(dispatcher)
    if credit.dispatcher != dispatcher:
        _change_dispatcher(credit, dispatcher)
    tiers = _demand_tiers(server, waiting)
    if tiers:
        credit.used_at = now
    if not _demand_is_due(credit, state.options, now, tiers):
        return None
    # What a dispatcher waits for is sent in any case; there is no more of it than it asked for.
    asked_for = credit.confirm or _ran_beyond(credit, tiers)
    kept = _kept_share(tiers, credit.asked)
    if not _take_from_budget(state, now, kept) and not asked_for:
        return None
    credit.seq += 1
    credit.sent_at[credit.seq] = now
    credit.asked = tiers
    credit.asked_at = now
    credit.confirm = False
    state.credits.demands_sent += 1
    if any(each.waiting for each in tiers):
        state.credits.asking.add(name)
    else:
        state.credits.asking.discard(name)
    limit = limited_slots(state.server_limits, name, server.slots)
    return CreditDemand(name, credit.seq, credit.grant_number, limit, list(tiers))


def _kept_share(tiers: tuple[TierDemand, ...], asked: tuple[TierDemand, ...]) -> float:
    """Give the share of the budget that is kept for what is more urgent than this demand.

    Failure: a shortage lasts, news of it use up the budget, and an upper request that has waited
    out its patience cannot say so while lower work runs. So the last half is for requests that
    press for lower work to stop, and for tiers that nobody was told of yet, which come before.
    """
    if _more_urgent(tiers, asked):
        return 0.0
    return 0.25 if _presses_more(tiers, asked) else 0.5


def _take_from_budget(state: State, now: float, kept: float) -> bool:
    """Take one demand from the budget, but for a share of it; False means that it has to wait.

    Failure: every model is short of slots at once, and the control traffic of all instances crowds
    out what they are for. What is beyond the budget waits for the next tick.
    """
    credits, options = state.credits, state.options
    left = options.credit_demands_burst
    if credits.demands_left is not None:
        refilled = (now - credits.demands_at) * options.credit_demands_s
        left = min(left, credits.demands_left + refilled)
    credits.demands_at = now
    credits.demands_left = left
    if left < max(1.0, kept * options.credit_demands_burst):
        credits.demands_put_off += 1
        return False
    credits.demands_left = left - 1.0
    return True


def _change_dispatcher(credit: HeldCredit, dispatcher: InstanceName) -> None:
    # Numbers of the old one's grants mean nothing to the new one. Its slots stay usable until
    # they lapse: the overlap may cost some overload, a gap would stop all work.
    credit.dispatcher = dispatcher
    credit.grant_number = 0
    credit.sent_at.clear()
    credit.asked = ()
    credit.asked_at = float("-inf")


def _demand_tiers(server: Server, waiting: list[TierDemand]) -> tuple[TierDemand, ...]:
    demands = {each.tier: each for each in waiting}
    for tier, running in used_by_tier(server).items():
        demands[tier] = replace(demands.get(tier, TierDemand(tier, 0, 0)), running=running)
    return tuple(demands[tier] for tier in sorted(demands))


def _demand_is_due(
    credit: HeldCredit, options: Options, now: float, tiers: tuple[TierDemand, ...]
) -> bool:
    if credit.confirm or _ran_beyond(credit, tiers):
        # The dispatcher waits for this to give the slot to another.
        return True
    since = now - credit.asked_at
    falls_back = now < credit.fallback_until
    if not credit.sent_at and not falls_back and _more_urgent(tiers, credit.asked):
        # The last demand was answered, and did not speak of this.
        return True
    if since < (options.credit_answer_s if falls_back else options.credit_demand_gap_s):
        return False
    waits = any(each.waiting for each in tiers)
    if waits and now >= credit.valid_until and not credit.sent_at:
        return True
    if _needs_more(tiers, credit.asked) or _has_idle(credit, tiers):
        return True
    if credit.contended and since >= options.credit_lazy_s and tiers != credit.asked:
        return True
    if any(each.running for each in tiers):
        return since >= options.credit_renew_s
    # Idle credit is kept for the next request only if it was used since it was asked for last, and
    # it does no harm that it lapses if this one message is lost.
    return credit.used_at > credit.asked_at and since >= options.credit_renew_idle_s


def _ran_beyond(credit: HeldCredit, tiers: tuple[TierDemand, ...]) -> bool:
    """Tell whether an attempt ended that was beyond the credit."""
    running = sum(each.running for each in tiers)
    reported = sum(each.running for each in credit.asked)
    return running < reported > sum(credit.slots.values())


def _needs_more(tiers: tuple[TierDemand, ...], asked: tuple[TierDemand, ...]) -> bool:
    told = {each.tier: each for each in asked}
    for each in tiers:
        before = told.get(each.tier)
        # In steps of two, so that a long queue is not reported anew for each request.
        if each.waiting.bit_length() > (before.waiting.bit_length() if before else 0):
            return True
    return _presses_more(tiers, asked)


def _presses_more(tiers: tuple[TierDemand, ...], asked: tuple[TierDemand, ...]) -> bool:
    pressed = {each.tier: each.pressed for each in asked}
    return any(each.pressed > pressed.get(each.tier, 0) for each in tiers)


def _has_idle(credit: HeldCredit, tiers: tuple[TierDemand, ...]) -> bool:
    """Tell whether the dispatcher holds slots for what does not wait here any more."""
    if any(each.waiting for each in tiers):
        return False
    if any(each.waiting for each in credit.asked):
        return True
    running = sum(each.running for each in tiers)
    reported = sum(each.running for each in credit.asked)
    return credit.contended and running < reported


def _more_urgent(tiers: tuple[TierDemand, ...], asked: tuple[TierDemand, ...]) -> bool:
    """Tell whether a tier waits that is more urgent than any that waited at the last demand."""
    now_waits = min((each.tier for each in tiers if each.waiting), default=None)
    then_waited = min((each.tier for each in asked if each.waiting), default=None)
    if now_waits is None:
        return False
    return then_waited is None or now_waits < then_waited


def may_be_due(credit: HeldCredit, options: Options, now: float) -> bool:
    """Tell whether a look at a server's demand is worth while; cheap, as it is done often."""
    if credit.confirm or credit.contended or any(each.waiting for each in credit.asked):
        return True
    return now - credit.asked_at >= options.credit_renew_s
