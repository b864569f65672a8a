"""The holder of the credit policy: the use of granted credit, and the handling of grants.

`credit_demand` requests the credit.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import floor
from typing import TYPE_CHECKING

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.credits.credit_ledger import demand_once_started, grant_covers
from turmericweir_core.credits.dispatcher_selection import dispatcher_of
from turmericweir_core.messages.credit_messages import CreditGrant, ServerLoad
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.state.concurrency import limited_slots
from turmericweir_core.state.credit_state import HeldCredit
from turmericweir_core.state.server_table import Server, note_report
from turmericweir_core.state.straggler import server_weight

if TYPE_CHECKING:
    from turmericweir_core.state.state import State


# --- use of credit ---------------------------------------------------------------------------


def used_by_tier(server: Server) -> dict[int, int]:
    """Return the number of this instance's attempts on a server by tier."""
    used: dict[int, int] = {}
    for tier in server.in_flight.values():
        used[tier] = used.get(tier, 0) + 1
    return used


def uses_local_counts(state: State, now: float, server: Server) -> bool:
    """Return whether local counts are used for a server because no dispatcher answers.

    Prevents callers from waiting for a grant while the server works. The server may be overloaded
    meanwhile; it rejects or queues the excess.
    """
    name = server.entry.name
    if dispatcher_of(state, now, server) is None:
        return True
    credit = state.credits.held_by_server.get(name)
    return credit is not None and now < credit.fallback_until


def has_credit(state: State, now: float, name: ServerName) -> bool:
    """Return whether a grant for a server is valid."""
    credit = state.credits.held_by_server.get(name)
    return credit is not None and now < credit.valid_until


def covered_room(state: State, now: float, server: Server, tier: int) -> int:
    """Return how many requests of a tier the credit allows to be sent to a server."""
    room = max(
        credit_headroom(state, now, server, tier), replacement_room(state, now, server, tier)
    )
    weight = server_weight(state.stragglers, server.entry.name)
    if weight == 1.0:
        return room
    # A slow server receives less than the credit covers.
    slots = limited_slots(state.server_limits, server.entry.name, server.slots)
    return min(room, max(1, floor(slots * weight)) - len(server.in_flight))


def credit_headroom(state: State, now: float, server: Server, tier: int) -> int:
    """Return how many requests of a tier the credit for a server still covers.

    On a model server any tier may use any slot, since attempts can be preempted. On a plain server
    a tier may use the slots of less urgent tiers only. Assured slots are used by their tier alone.
    """
    credit = state.credits.held_by_server.get(server.entry.name)
    if credit is None or now >= credit.valid_until:
        return -1
    used = used_by_tier(server)
    tiers = sorted({*credit.slots, *used, tier}, reverse=True)
    left_by_tier = [_slots_left(credit, used, each, tier) for each in tiers]
    if server.service.kind is ServiceKind.MODEL:
        return sum(left_by_tier)
    # Sums the slots left from the least urgent tier up; the smallest sum limits the room.
    room = sum(
        each for slot_tier, each in zip(tiers, left_by_tier, strict=True) if slot_tier >= tier
    )
    total = room
    for slot_tier, each in zip(tiers, left_by_tier, strict=True):
        if slot_tier < tier:
            total += each
            room = min(room, total)
    return room


def replacement_room(state: State, now: float, server: Server, tier: int) -> int:
    """Return how many requests of a tier may replace local lower attempts that have ended.

    After a recall more attempts may run than the credit covers. The dispatcher counts all reported
    attempts as in use, so an upper request may replace one as long as their total does not grow.
    Prevents the upper request from waiting until all attempts beyond the credit have ended.
    """
    credit = state.credits.held_by_server.get(server.entry.name)
    if credit is None or now >= credit.valid_until or server.service.kind is not ServiceKind.MODEL:
        return -1
    reported = sum(each.running for each in credit.newest_demand)
    # Attempts displaced for other instances are not replaced.
    limit = reported if credit.attempts_to_keep is None else min(reported, credit.attempts_to_keep)
    reported_lower = sum(each.running for each in credit.newest_demand if each.tier > tier)
    running_lower = sum(1 for each in server.in_flight.values() if each > tier)
    return min(limit - len(server.in_flight), reported_lower - running_lower)


def _slots_left(credit: HeldCredit, used: dict[int, int], slot_tier: int, tier: int) -> int:
    """Return how many slots of one tier are left for a request of the same or another tier."""
    slots = credit.slots.get(slot_tier, 0)
    used_slots = used.get(slot_tier, 0)
    if slot_tier == tier:
        return slots - used_slots
    assured = credit.assured.get(slot_tier, 0)
    return slots - assured - max(0, used_slots - assured)


def is_assured(state: State, server: Server, tier: int) -> bool:
    """Return whether all attempts of a tier on a server are within its assured slots."""
    credit = state.credits.held_by_server.get(server.entry.name)
    assured = credit.assured.get(tier, 0) if credit else 0
    return 0 < assured >= used_by_tier(server).get(tier, 0)


def excess_attempts(state: State, server: Server) -> int:
    """Return the number of attempts to stop on a server because its credit was recalled."""
    credit = state.credits.held_by_server.get(server.entry.name)
    if credit is None or credit.attempts_to_keep is None:
        return 0
    return len(server.in_flight) - max(credit.attempts_to_keep, sum(credit.slots.values()))


def displaceable_attempts(state: State, now: float, server: Server, tier: int) -> int:
    """Return the number of lower attempts on a server whose end would free a slot for a tier."""
    if server.service.kind is not ServiceKind.MODEL or covered_room(state, now, server, tier) != 0:
        return 0
    return sum(
        running
        for running_tier, running in used_by_tier(server).items()
        if running_tier > tier and not is_assured(state, server, running_tier)
    )


# --- missing answers -------------------------------------------------------------------------


def check_answers(state: State, now: float) -> Iterator[ServerName]:
    """Fall back on local counts where a dispatcher does not answer; yield the servers."""
    options = state.options
    for name, credit in list(state.credits.held_by_server.items()):
        if credit.sent_at and now - min(credit.sent_at.values()) > options.credit_answer_s:
            fall_back(credit, options, now)
            yield name
        elif now - credit.used_at > options.credit_ttl_s and now >= credit.valid_until:
            del state.credits.held_by_server[name]


def fall_back(credit: HeldCredit, options: Options, now: float) -> None:
    """Use local counts for `credit_fallback_s`, then send demands again."""
    credit.fallback_until = now + options.credit_fallback_s
    credit.sent_at.clear()
    credit.newest_demand = ()


# --- grants ----------------------------------------------------------------------------------


def apply_grant(state: State, now: float, sender: InstanceName, grant: CreditGrant) -> bool:
    """Apply a grant; return False if it is stale or not from the current dispatcher."""
    name = ServerName(grant.server)
    credit = state.credits.held_by_server.get(name)
    if credit is None or credit.dispatcher != sender or grant.grant_number < credit.grant_number:
        return False
    sent_at = _take_sending_time(credit, grant.demand_seq)
    if sent_at is None:
        return False
    slots_before = sum(credit.slots.values())
    if grant.grant_number > credit.grant_number:
        credit.slots = {each.tier: each.slots for each in grant.tiers}
        credit.assured = {each.tier: each.assured for each in grant.tiers if each.assured}
        credit.needs_confirmation = (
            credit.needs_confirmation or sum(credit.slots.values()) < slots_before
        )
    credit.grant_number = grant.grant_number
    credit.is_contended = grant.is_contended
    if (
        grant.demand_seq == credit.seq
        and not grant.is_contended
        and grant_covers(grant.tiers, credit.newest_demand)
    ):
        _record_started(state, credit, name)
    credit.attempts_to_keep = grant.attempts_to_keep
    credit.displace_above = grant.displace_above
    # Counts from the sending of the demand, and the dispatcher from its receipt. Prevents the use
    # of a delayed grant whose slots were already granted to another instance.
    credit.valid_until = sent_at + grant.ttl_s
    credit.fallback_until = float("-inf")
    state.credits.grants_taken += 1
    _apply_load(state, now, name, grant.load)
    if credit.attempts_to_keep is not None and name in state.servers.by_name:
        state.credits.recalled_servers.add(name)
    return True


def _record_started(state: State, credit: HeldCredit, name: ServerName) -> None:
    """Record the waiting requests of the last demand as running, as the dispatcher does.

    Prevents a second demand for each request that only reports that it no longer waits.
    """
    credit.newest_demand = demand_once_started(credit.newest_demand)
    state.credits.demanded_servers.discard(name)


def _take_sending_time(credit: HeldCredit, seq: int) -> float | None:
    """Return when a demand was sent, and drop the earlier ones."""
    if credit.answered_seq == seq:
        return credit.answered_at
    sent_at = credit.sent_at.get(seq)
    if sent_at is None:
        return None
    credit.answered_seq = seq
    credit.answered_at = sent_at
    credit.sent_at = {number: sent for number, sent in credit.sent_at.items() if number > seq}
    return sent_at


def _apply_load(state: State, now: float, name: ServerName, load: ServerLoad | None) -> None:
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
    # The server may be reachable for the dispatcher but not for this instance.
    server.unreachable_until = unreachable_until
