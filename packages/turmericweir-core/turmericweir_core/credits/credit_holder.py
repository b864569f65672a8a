"""The side of the credit policy that spends: what the credit held covers, and grants that come in.

What is asked for, and when, is in `credit_demand`.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import floor
from typing import TYPE_CHECKING

from turmericweir_core.base.config import Kind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.credits.credit_lead import dispatcher_of
from turmericweir_core.credits.credit_ledger import begun, covers
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.messages.peer_messages import CreditGrant, ServerLoad
from turmericweir_core.state.concurrency import limited_slots
from turmericweir_core.state.credit_state import HeldCredit
from turmericweir_core.state.server_table import Server, note_report
from turmericweir_core.state.straggler import server_weight

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


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


def covered_room(state: State, now: float, server: Server, tier: int) -> int:
    """Count the requests of a tier that may be sent to a server by the credit held there."""
    room = max(credit_headroom(state, now, server, tier), replacing_room(state, now, server, tier))
    weight = server_weight(state.stragglers, server.entry.name)
    if weight == 1.0:
        return room
    # A slow server is given less than the credit covers; what is left goes to others.
    slots = limited_slots(state.server_limits, server.entry.name, server.slots)
    return min(room, max(1, floor(slots * weight)) - len(server.in_flight))


def credit_headroom(state: State, now: float, server: Server, tier: int) -> int:
    """Count the requests of a tier that the credit for a server still covers.

    A slot of a model server is for any tier, whatever it was granted for, since a lower answer can
    be stopped again. A running plain call cannot: there a tier may use the slots of all less urgent
    ones, but none that were granted for a more urgent one. No tier uses what another was assured.
    """
    credit = state.credits.held.get(server.entry.name)
    if credit is None or now >= credit.valid_until:
        return -1
    used = used_by_tier(server)
    tiers = sorted({*credit.slots, *used, tier}, reverse=True)
    left = [_left(credit, used, each, tier) for each in tiers]
    if server.service.kind is Kind.MODEL:
        return sum(left)
    # From the least urgent tier up: at each tier so far, what it and those below have left.
    room = sum(each for number, each in zip(tiers, left, strict=True) if number >= tier)
    total = room
    for number, each in zip(tiers, left, strict=True):
        if number < tier:
            total += each
            room = min(room, total)
    return room


def replacing_room(state: State, now: float, server: Server, tier: int) -> int:
    """Count the requests of a tier that may take the place of lower work which ran here.

    Failure: credit is called back from an instance that runs lower work, so that as much lower work
    of another instance may run. An upper request that comes here then finds less credit than what
    runs; to stop one lower answer would not make room by the credit alone, and it waits until all
    that is too much has ended. The dispatcher takes what an instance said to run as in use until
    it says otherwise. So upper work may take a lower answer's place as long as the sum does not
    grow: the server is given no more than before.
    """
    credit = state.credits.held.get(server.entry.name)
    if credit is None or now >= credit.valid_until or server.service.kind is not Kind.MODEL:
        return -1
    said = sum(each.running for each in credit.asked)
    # What is to stop here for upper work of other instances leaves its place to that.
    most = said if credit.keep is None else min(said, credit.keep)
    said_lower = sum(each.running for each in credit.asked if each.tier > tier)
    lower = sum(1 for each in server.in_flight.values() if each > tier)
    return min(most - len(server.in_flight), said_lower - lower)


def _left(credit: HeldCredit, used: dict[int, int], each: int, tier: int) -> int:
    """Count the slots of one tier that are left for a request of another, or of the same."""
    slots = credit.slots.get(each, 0)
    busy = used.get(each, 0)
    if each == tier:
        return slots - busy
    kept = credit.assured.get(each, 0)
    return slots - kept - max(0, busy - kept)


def is_assured(state: State, server: Server, tier: int) -> bool:
    """Tell whether a tier runs no more on a server than its dispatcher assured to it."""
    credit = state.credits.held.get(server.entry.name)
    kept = credit.assured.get(tier, 0) if credit else 0
    return 0 < kept >= used_by_tier(server).get(tier, 0)


def excess(state: State, server: Server) -> int:
    """Count the attempts on a server that are to make way, as its credit was called back."""
    credit = state.credits.held.get(server.entry.name)
    if credit is None or credit.keep is None:
        return 0
    return len(server.in_flight) - max(credit.keep, sum(credit.slots.values()))


def lower_that_makes_way(state: State, now: float, server: Server, tier: int) -> int:
    """Count the lower attempts on a server of which each leaves its place to a tier by ending."""
    if server.service.kind is not Kind.MODEL or covered_room(state, now, server, tier) != 0:
        return 0
    return sum(
        running
        for each, running in used_by_tier(server).items()
        if each > tier and not is_assured(state, server, each)
    )


# --- answers that do not come ----------------------------------------------------------------


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
    if grant.demand_seq == credit.seq and not grant.contended and covers(grant.tiers, credit.asked):
        _note_begun(state, credit, name)
    credit.keep = grant.keep
    credit.displace_above = grant.displace_above
    # Failure: a grant that was long on its way, or an instance paused after it took one. The
    # dispatcher counts from when it heard the demand, which was later than the sending; so credit
    # has ended here before the dispatcher gives it to another.
    credit.valid_until = sent_at + grant.ttl_s
    credit.fallback_until = float("-inf")
    state.credits.grants_taken += 1
    _take_load(state, now, name, grant.load)
    if credit.keep is not None and name in state.servers.by_name:
        state.credits.recalled.add(name)
    return True


def _note_begun(state: State, credit: HeldCredit, name: ServerName) -> None:
    """Take what waited for one that runs, as its dispatcher does without being told.

    Failure without it: each request that is asked for costs a second demand and its answer, only to
    say that it waits no more.
    """
    credit.asked = begun(credit.asked)
    state.credits.asking.discard(name)


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
