"""The side of the credit policy that spends: demands out, grants in, slots free for a request.

While an instance holds credit that fits its work it sends nothing but a renewal now and then. It
sends a demand at once when something waits that its credit does not cover, when it has confirmed a
call-back, and, while the dispatcher reports contention, whenever its needs change.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from math import ceil
from typing import TYPE_CHECKING

from turmericweir_core import queue_state
from turmericweir_core.concurrency import limited_slots
from turmericweir_core.credit_lead import dispatcher_of
from turmericweir_core.credit_state import HeldCredit
from turmericweir_core.events import ServerReport
from turmericweir_core.ids import InstanceName, ServerName
from turmericweir_core.options import Options
from turmericweir_core.peer_messages import CreditDemand, CreditGrant, ServerLoad, TierDemand
from turmericweir_core.pool_load import pool_load
from turmericweir_core.server_table import Server, note_report
from turmericweir_core.subset import open_servers

if TYPE_CHECKING:
    from turmericweir_core.state import State


# --- spending --------------------------------------------------------------------------------


def used_by_tier(server: Server) -> dict[int, int]:
    """Count this instance's attempts on a server by tier."""
    used: dict[int, int] = {}
    for tier in server.in_flight.values():
        used[tier] = used.get(tier, 0) + 1
    return used


def goes_by_counts(state: State, now: float, server: Server) -> bool:
    """Tell whether a server has no dispatcher that answers, so that own counts must do.

    Failure: the dispatcher died, is cut off, or never was. Waiting for its grant would leave
    callers without an answer before a server that works. Going by own counts with a cautious limit
    costs some overload at worst, as the server refuses or queues what is too much.
    """
    name = server.entry.name
    if dispatcher_of(state, now, server) is None:
        return True
    credit = state.credits.held.get(name)
    return credit is not None and now < credit.fallback_until


def has_credit(state: State, now: float, name: ServerName) -> bool:
    """Tell whether a grant for a server is in force."""
    credit = state.credits.held.get(name)
    return credit is not None and now < credit.valid_until


def credit_headroom(state: State, now: float, server: Server, tier: int) -> int:
    """Count the requests of a tier that the credit for a server still covers.

    A tier may use the slots of all less urgent ones, but none that were granted for a more urgent
    one, and no slot that another tier was assured.
    """
    credit = state.credits.held.get(server.entry.name)
    if credit is None or now >= credit.valid_until:
        return -1
    used = used_by_tier(server)
    room: int | None = None
    total = 0
    # From the least urgent tier up: at each tier so far, what it and those below have left.
    for each in sorted({*credit.slots, *used, tier}, reverse=True):
        slots = credit.slots.get(each, 0)
        busy = used.get(each, 0)
        if each != tier:
            kept = credit.assured.get(each, 0)
            slots -= kept
            busy = max(0, busy - kept)
        total += slots - busy
        if each <= tier:
            room = total if room is None else min(room, total)
    return room or 0


def is_assured(state: State, server: Server, tier: int) -> bool:
    """Tell whether a tier runs no more on a server than its dispatcher assured to it."""
    credit = state.credits.held.get(server.entry.name)
    kept = credit.assured.get(tier, 0) if credit else 0
    return 0 < kept >= used_by_tier(server).get(tier, 0)


def excess(state: State, server: Server) -> int:
    """Count the attempts on a server that are to make way, as its credit was called back."""
    credit = state.credits.held.get(server.entry.name)
    if credit is None:
        return 0
    return min(credit.displace, len(server.in_flight) - sum(credit.slots.values()))


# --- demands ---------------------------------------------------------------------------------


def wanted_credit(state: State, now: float, pool: str) -> dict[ServerName, list[TierDemand]]:
    """Spread what waits in a pool over servers to ask, by server and tier."""
    wanted: dict[ServerName, dict[int, TierDemand]] = {}
    # For those that own lower work is making way for, nobody else's need be stopped.
    covered = pool_load(state.pool_loads, pool).displacing
    queues = queue_state.pool_queues(state.queues, pool)
    for queue in sorted(queues, key=lambda queue: queue.service_class.priority):
        pressed = max(0, len(queue.waiting) - covered)
        covered = max(0, covered - len(queue.waiting))
        _spread(wanted, queue, _servers_to_ask(state, now, queue), pressed)
    return {name: list(tiers.values()) for name, tiers in wanted.items()}


def _spread(
    wanted: dict[ServerName, dict[int, TierDemand]],
    queue: queue_state.ClassQueue,
    servers: list[Server],
    pressed: int,
) -> None:
    tier = queue.service_class.priority
    for index, server in enumerate(servers):
        tiers = wanted.setdefault(server.entry.name, {})
        before = tiers.get(tier, TierDemand(tier, 0, 0))
        waiting = before.waiting + ceil(len(queue.waiting) / len(servers))
        press = before.pressed + len(range(index, pressed, len(servers)))
        tiers[tier] = TierDemand(tier, 0, min(server.slots, waiting), min(server.slots, press))


def _servers_to_ask(state: State, now: float, queue: queue_state.ClassQueue) -> list[Server]:
    """Pick two servers for each waiting request at first, and more the longer the head waits.

    Asking all of them for one request would have each dispatcher hold a slot that all but one of
    them hold for nothing.
    """
    servers = open_servers(state, now, queue.target)
    servers.sort(key=lambda server: _looks_full(state, now, server))
    # Bounded, as the number of servers is small and the power grows without end.
    doublings = min(5, int((now - queue.head().arrived) / state.options.credit_widen_s))
    return servers[: 2 * len(queue.waiting) * 2**doublings]


def _looks_full(state: State, now: float, server: Server) -> bool:
    report = server.report
    if report is None or now - server.report_at > state.options.report_valid_s:
        return False
    return report.running + report.waiting >= report.slots


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
    due = _demand_is_due(credit, state.options, now, tiers)
    credit.freed = False
    if not due:
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
    if credit.confirm:
        return True
    running = sum(each.running for each in tiers)
    reported = sum(each.running for each in credit.asked)
    if running < reported > sum(credit.slots.values()):
        # Over its credit until now: the dispatcher waits for this to give the slot to another.
        return True
    needs = _needs(tiers)
    told = _needs(credit.asked)
    if credit.freed and needs != told:
        # Its slot may be of use to somebody else, and stands idle until the dispatcher knows.
        return True
    if not credit.sent_at and now >= credit.fallback_until and _more_urgent(tiers, credit.asked):
        # The last demand was answered, and did not speak of this.
        return True
    falls_back = now < credit.fallback_until
    gap = options.credit_answer_s if falls_back else options.credit_demand_gap_s
    if now - credit.asked_at < gap:
        return False
    waits = any(each.waiting for each in tiers)
    gone = not waits and any(each.waiting for each in credit.asked)
    if needs != told and (waits or gone or credit.contended):
        return True
    if waits and now >= credit.valid_until and not credit.sent_at:
        return True
    idle = now - credit.used_at > options.credit_idle_s
    return not idle and now - credit.asked_at >= options.credit_renew_s


def _needs(tiers: tuple[TierDemand, ...]) -> dict[int, tuple[int, int]]:
    """Give what a change of matters to the dispatcher."""
    return {each.tier: (each.running + each.waiting, each.pressed) for each in tiers}


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


def check_answers(state: State, now: float) -> Iterator[ServerName]:
    """Fall back on own counts where a dispatcher does not answer; yield the servers."""
    options = state.options
    for name, credit in list(state.credits.held.items()):
        if credit.sent_at and now - min(credit.sent_at.values()) > options.credit_answer_s:
            fall_back(credit, options, now)
            yield name
        elif now - credit.used_at > options.credit_ttl_s and now >= credit.valid_until:
            del state.credits.held[name]


def fall_back(credit: HeldCredit, options: Options, now: float) -> None:
    """Go by own counts for a while, then ask again."""
    credit.fallback_until = now + options.credit_fallback_s
    credit.sent_at.clear()
    credit.asked = ()


# --- grants ----------------------------------------------------------------------------------


def take_grant(state: State, now: float, sender: InstanceName, grant: CreditGrant) -> bool:
    """Take a grant; tell whether it was in order."""
    name = ServerName(grant.server)
    credit = state.credits.held.get(name)
    if credit is None or credit.dispatcher != sender or grant.number < credit.grant_number:
        # Late, or from a dispatcher that was asked before: what it says is no longer so.
        return False
    sent_at = _sent_at(credit, grant.demand_seq)
    if sent_at is None:
        return False
    before = sum(credit.slots.values())
    if grant.number > credit.grant_number:
        credit.slots = {each.tier: each.slots for each in grant.tiers}
        credit.assured = {each.tier: each.assured for each in grant.tiers if each.assured}
        credit.confirm = credit.confirm or sum(credit.slots.values()) < before
    credit.grant_number = grant.number
    credit.contended = grant.contended
    credit.displace = grant.displace
    credit.displace_above = grant.displace_above
    # Failure: a grant that was long on its way, or an instance paused after it took one. The
    # dispatcher counts from when it heard the demand, which was later than the sending; so credit
    # has ended here before the dispatcher gives it to another.
    credit.valid_until = sent_at + grant.ttl_s
    credit.fallback_until = float("-inf")
    state.credits.grants_taken += 1
    _take_load(state, now, name, grant.load)
    if credit.displace and name in state.servers.by_name:
        state.credits.recalled.add(name)
    return True


def _sent_at(credit: HeldCredit, seq: int) -> float | None:
    """Find when a demand was sent, and forget those before it."""
    if credit.answered_seq == seq:
        return credit.answered_at
    sent_at = credit.sent_at.get(seq)
    if sent_at is None:
        return None
    credit.answered_seq = seq
    credit.answered_at = sent_at
    credit.sent_at = {each: at for each, at in credit.sent_at.items() if each > seq}
    return sent_at


def _take_load(state: State, now: float, name: ServerName, load: ServerLoad | None) -> None:
    server = state.servers.by_name.get(name)
    if load is None or server is None:
        return
    unreachable_until = server.unreachable_until
    report = ServerReport(
        server=name,
        incarnation=load.incarnation,
        seq=load.seq,
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        kv_used=load.kv_used,
        kv_total=load.kv_total,
        models=tuple(load.models),
        leaving=load.leaving,
        fence=load.fence,
    )
    note_report(state.servers, state.options, now, report)
    # That its dispatcher reaches the server does not say that this instance does.
    server.unreachable_until = unreachable_until
