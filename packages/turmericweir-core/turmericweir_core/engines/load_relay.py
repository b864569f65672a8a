"""Relay load updates where there are too many instances for each to send to every other.

Each instance sends its updates to its relay instance (`relays`), which gathers them for a short
time. A relay sends the changed sums of its group's load to the other relays, and passes the sums
that it receives and the updates of its group on to the group. So each instance receives a few
datagrams a second whatever the number of instances, and has a few sums for each server instead of
hundreds of rows.

A relay serves every instance that sends to it, so the instances' views need not agree. An instance
that receives nothing from its relay switches to the next one by hash, long before membership drops
the relay.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.engines import engine_model
from turmericweir_core.membership import membership, relays
from turmericweir_core.messages.effects import Effect, Log, SendDatagram
from turmericweir_core.messages.load_messages import (
    BundledNews,
    DemandRow,
    LoadBundle,
    LoadNews,
    LoadRow,
)
from turmericweir_core.queueing import urgent_first, waiting_reports
from turmericweir_core.state.engine_state import EngineInfo, PendingPrompt
from turmericweir_core.state.load_state import RelayPlan
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.outlier_state import sum_rows

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

UpdateBuilder = Callable[["State", float], LoadNews]

# Interval between evaluations of the plan.
_PLAN_INTERVAL_S: Final = 0.25
# Time for which a relay gathers updates. With the senders' interval it bounds the age of updates.
_GATHER_INTERVAL_S: Final = 0.12
# Maximum interval between bundles to the group, and between sums to the other relays: shows that
# the relay is alive, and keeps the reported load valid.
_BUNDLE_INTERVAL_MAX_S: Final = 0.4
# Interval between sums with all rows, as datagrams may be lost; other sums hold only changed rows.
_COMPLETE_SUM_INTERVAL_S: Final = 1.0
# Instances without an update for this long leave the group; all send every half second.
_GROUP_TIMEOUT_S: Final = 1.8
# Time without data after which an instance replaces its relay, and time after which it may use that
# relay again.
_RELAY_TIMEOUT_S: Final = 0.7
_RELAY_RETRY_AFTER_S: Final = 4.0
# Parts and observed paces in one bundle; older ones are left out.
_PARTS_PER_BUNDLE_MAX: Final = 120
_PACES_PER_BUNDLE_MAX: Final = 24
# Prompts of one server in a sum; the others are left out.
_PREFILLS_PER_SERVER_MAX: Final = 32
_MS: Final = 1000.0
# Suffix that marks a relay's name as the origin of its group's sum.
_SUM_SUFFIX: Final = "+"


def plan(state: State, now: float) -> RelayPlan:
    """Return the instances to which this one sends its load."""
    current_plan = state.load_updates.plan
    # With direct updates, a newly discovered peer gets the next update as well.
    is_outdated = current_plan.is_direct and state.engines.has_unsent_load
    if (
        now < current_plan.next_plan_at
        and not is_outdated
        and not _is_relay_unresponsive(state, now)
    ):
        return current_plan
    me = state.me.name
    if relays.is_direct_delivery(state, now):
        region = membership.region_instances(state, now)
        current_plan = RelayPlan(direct_peers=[each for each in region if each.name != me])
    else:
        current_plan = _plan_with_relays(state, now)
    current_plan.next_plan_at = now + _PLAN_INTERVAL_S
    state.load_updates.plan = current_plan
    return current_plan


def _is_relay_unresponsive(state: State, now: float) -> bool:
    update_state = state.load_updates
    return (
        update_state.plan.own_relay is not None
        and now - update_state.relay_seen_at > _RELAY_TIMEOUT_S
    )


def _plan_with_relays(state: State, now: float) -> RelayPlan:
    """Return the plan of an instance that uses a relay, or is one."""
    update_state = state.load_updates
    if _is_relay_unresponsive(state, now) and update_state.plan.own_relay is not None:
        update_state.unresponsive_relay, update_state.avoid_relay_until = (
            update_state.plan.own_relay.name,
            now + _RELAY_RETRY_AFTER_S,
        )
    local_instances = membership.live_instances(state, now, state.me.data_centre)
    local_relays = relays.relays_of(local_instances)
    me = state.me.name
    other_relays = [each for each in relays.region_relays(state, now) if each.name != me]
    if any(each.name == me for each in local_relays):
        return RelayPlan(is_direct=False, other_relays=other_relays)
    usable_relays = [
        each
        for each in local_relays
        if each.name != update_state.unresponsive_relay or now > update_state.avoid_relay_until
    ]
    name = relays.relay_for(usable_relays or local_relays, me)
    relay = None if name is None else membership.find_member(state, name)
    if (
        update_state.plan.own_relay is None
        or relay is None
        or update_state.plan.own_relay.name != relay.name
    ):
        update_state.relay_seen_at = now
    return RelayPlan(is_direct=False, own_relay=relay, other_relays=other_relays)


# --- relaying --------------------------------------------------------------------------------


def gather_update(state: State, now: float, sender: InstanceName, update: LoadNews) -> None:
    """Keep an update of an instance of this relay's group, to pass it on."""
    peer = membership.find_member(state, sender)
    if state.load_updates.plan.is_direct or peer is None:
        return
    relay_state = state.load_updates.relayed_updates
    relay_state.group_members[sender] = (peer.peer_address, now)
    # Bounded, because an instance that others wrongly take for a relay never passes parts on.
    relay_state.parts = [*relay_state.parts, *update.parts][-_PARTS_PER_BUNDLE_MAX:]
    relay_state.paces = [*relay_state.paces, *update.paces][-_PACES_PER_BUNDLE_MAX:]
    _gather(state, now, sender, update)


def gather_sum(
    state: State, now: float, sender: InstanceName, origin: InstanceName, update: LoadNews
) -> None:
    """Keep the sum that another relay sent, for this relay's group."""
    if origin == sender + _SUM_SUFFIX and state.load_updates.relayed_updates.group_members:
        _gather(state, now, origin, update)


def _gather(state: State, now: float, origin: InstanceName, update: LoadNews) -> None:
    gathered = state.load_updates.relayed_updates.newest_updates
    previous = gathered.get(origin)
    if previous is not None:
        update = _merge(previous[1], update)
    gathered[origin] = (now, update)


def _merge(older: LoadNews, newer: LoadNews) -> LoadNews:
    """Merge two updates of one origin."""
    parts = [*older.parts, *newer.parts][-_PARTS_PER_BUNDLE_MAX:]
    paces = [*older.paces, *newer.paces][-_PACES_PER_BUNDLE_MAX:]
    if newer.is_complete:
        return replace(newer, parts=parts, paces=paces)
    rows = {each.server: each for each in (*older.rows, *newer.rows)}
    return replace(
        newer,
        rows=list(rows.values()),
        parts=parts,
        is_complete=older.is_complete,
        paces=paces,
    )


def send_gathered(state: State, now: float, build: UpdateBuilder) -> list[Effect]:
    """Send the sum of the group to the other relays, and all gathered updates to the group."""
    relay_state = state.load_updates.relayed_updates
    if now < relay_state.next_send_at:
        return []
    relay_state.next_send_at = state.load_updates.next_send_at = now + _GATHER_INTERVAL_S
    effects = _drop_unresponsive(state, now)
    own_update = build(state, now)
    sum_update = _sum_group(state, now, own_update)
    summed = sum_update.update
    has_changes = bool(summed.rows or summed.parts or summed.paces)
    is_bundle_due = now >= relay_state.next_bundle_at
    if has_changes or (now >= relay_state.next_sum_at and relay_state.rows):
        relay_state.next_sum_at = now + _BUNDLE_INTERVAL_MAX_S
        effects += _send_bundle(sum_update, state.load_updates.plan.other_relays)
    if not (has_changes or relay_state.newest_updates or is_bundle_due):
        return effects
    relay_state.next_bundle_at = now + _BUNDLE_INTERVAL_MAX_S
    bundled = [
        BundledNews(origin, update, round((now - received_at) * _MS))
        for origin, (received_at, update) in relay_state.newest_updates.items()
    ]
    relay_state.newest_updates.clear()
    bundled.append(BundledNews(state.me.name, own_update, 0))
    bundle = LoadBundle(bundled)
    bundles = [
        SendDatagram(name, address, bundle)
        for name, (address, _) in relay_state.group_members.items()
    ]
    return [*effects, *bundles]


def _drop_unresponsive(state: State, now: float) -> list[Effect]:
    """Drop the instances of the group that sent no recent update."""
    group = state.load_updates.relayed_updates.group_members
    removed = [
        name for name, (_, received_at) in group.items() if now - received_at > _GROUP_TIMEOUT_S
    ]
    for name in removed:
        del group[name]
    return [Log("told_no_more", {"peer": name}) for name in removed]


def _send_bundle(update: BundledNews, receivers: list[Member]) -> list[Effect]:
    bundle = LoadBundle([update])
    return [SendDatagram(each.name, each.peer_address, bundle) for each in receivers]


def _sum_group(state: State, now: float, own_update: LoadNews) -> BundledNews:
    """Return the sum of the group's load: changed rows only, except for regular complete sums."""
    relay_state = state.load_updates.relayed_updates
    is_complete = now >= relay_state.next_complete_sum_at
    rows: list[LoadRow] = []
    current_rows: dict[ServerName, LoadRow] = {}
    for name, record in state.engines.by_server.items():
        row = _sum_row(state, now, name, record)
        previous = relay_state.rows.get(name)
        if row is None:
            if previous is not None:
                rows.append(LoadRow(name, [], 0, 0))
            continue
        current_rows[name] = row
        if is_complete or previous is None or _has_changed(previous, row):
            rows.append(row)
    relay_state.rows = current_rows
    if is_complete:
        relay_state.next_complete_sum_at = now + _COMPLETE_SUM_INTERVAL_S
    relay_state.seq += 1
    parts = [*relay_state.parts, *own_update.parts][-_PARTS_PER_BUNDLE_MAX:]
    relay_state.parts.clear()
    paces = [*relay_state.paces, *own_update.paces][-_PACES_PER_BUNDLE_MAX:]
    relay_state.paces.clear()
    demand = _sum_demand(state, now, own_update.demand)
    outliers = sum_rows(
        state.outliers, state.options.outlier, own_update.outliers, now, relay_state.group_members
    )
    update = LoadNews(
        state.me.incarnation, relay_state.seq, rows, parts, demand, is_complete, outliers, paces
    )
    return BundledNews(state.me.name + _SUM_SUFFIX, update, 0)


def _sum_row(state: State, now: float, name: ServerName, record: EngineInfo) -> LoadRow | None:
    """Return the sum of the group's load on a server, or None without any."""
    group = state.load_updates.relayed_updates.group_members
    pending = [
        PendingPrompt(each.work_ms, each.rank, each.sent_at) for each in record.prefills.values()
    ]
    running = len(record.running)
    tokens = sum(each.tokens for each in record.prefills.values()) + sum(record.running.values())
    for origin, peer in record.peers.items():
        if (
            origin in group
            and now - peer.last_receipt.received_at <= engine_model.PEER_LOAD_VALID_S
        ):
            pending += peer.pending
            running += peer.running
            tokens += peer.tokens
    if not pending and not running:
        return None
    prefill_rows = [
        [round(each.work_ms), each.rank, round((now - each.sent_at) * _MS)]
        for each in pending[:_PREFILLS_PER_SERVER_MAX]
    ]
    return LoadRow(name, prefill_rows, running, tokens)


def _has_changed(previous: LoadRow, row: LoadRow) -> bool:
    """Return whether a server's row has changed; the age of prompts does not count."""
    has_same_prefills = [each[:2] for each in previous.prefills] == [
        each[:2] for each in row.prefills
    ]
    return (previous.running, previous.tokens) != (row.running, row.tokens) or not has_same_prefills


def _sum_demand(state: State, now: float, own: list[DemandRow]) -> list[DemandRow]:
    """Return the sum of the group's demand."""
    group = state.load_updates.relayed_updates.group_members
    rows_by_target = {each.target: each for each in own}
    for target, peers in state.pools.peer_demand.items():
        group_demand = [row for origin, row in peers.items() if origin in group]
        if not group_demand:
            continue
        own_row = rows_by_target.get(target, DemandRow(target, 0, 0))
        overdue = [*own_row.overdue, *urgent_first.reported_rows(state, now, target, group)]
        rows_by_target[target] = DemandRow(
            target,
            own_row.long_prompt_ms_s + round(sum(each.long_prompt_ms for each in group_demand)),
            own_row.short_prompt_ms_s + round(sum(each.short_prompt_ms for each in group_demand)),
            urgent_first.sum_rows(overdue),
            own_row.medium_prompt_ms_s + round(sum(each.medium_prompt_ms for each in group_demand)),
            waiting_reports.sum_rows(
                [*own_row.waiting, *waiting_reports.reported_rows(state, now, target, group)]
            ),
        )
    return list(rows_by_target.values())
