"""Exchange load updates: what each instance has on each server, and the parts it sent.

All instances send to the same servers, and a server's report of its load is delayed and, on some
platforms, costs money. So an instance announces to the others of the region each request that it
sends or whose answer begins. Each update holds all load of its sender, so the next one makes up for
a lost one.

With few instances each sends to every other, at an interval that grows with their number. With
many, each sends to its relay instance, and `load_relay` passes the updates on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import PlacementPolicy
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.engines import engine_model, engine_pools, load_relay, shared_pace
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.load_messages import LoadBundle, LoadNews, LoadRow
from turmericweir_core.state.engine_state import EngineInfo, PeerLoad, PendingPrompt, ReceiptTime
from turmericweir_core.state.load_state import UpdateSource
from turmericweir_core.state.outlier_state import own_rows, record_rows

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Interval between datagrams to the same peers: its minimum, and its length for each peer.
_INTERVAL_MIN_S: Final = 0.02
_INTERVAL_PER_PEER_S: Final = 0.0025
# Interval between datagrams to a relay, which gathers them before it passes them on.
_RELAY_INTERVAL_S: Final = 0.05
# Interval after which unchanged load is sent again, since datagrams may be lost.
_RENEWAL_INTERVAL_S: Final = 0.5
# Parts in one datagram; older ones are left out and found by prefilling them again.
_PARTS_PER_UPDATE_MAX: Final = 24
# Smaller parts are prefilled quickly and not worth announcing.
_PART_TOKENS_MIN: Final = 256
# Time after the last update at which an instance's load is dropped.
_FORGET_AFTER_S: Final = 5.0
_MS: Final = 1000.0
# Fields of a prompt in a row: work, rank and age.
_PREFILL_FIELDS: Final = 3


def send_due_update(state: State, now: float) -> list[Effect]:
    """Send a load update to the other instances if one is due."""
    update_state = state.load_updates
    if now < update_state.next_send_at or state.config.policy is not PlacementPolicy.PREDICTED:
        return []
    plan = load_relay.plan(state, now)
    if plan.own_relay is not None:
        return _send_to_relay(state, now)
    if not plan.is_direct:
        return load_relay.send_gathered(state, now, _build_update)
    is_renewal_due = now >= update_state.next_renewal_at and update_state.needs_renewal
    if not (state.engines.has_unsent_load or is_renewal_due):
        return []
    update_state.next_send_at = now + max(
        _INTERVAL_MIN_S, _INTERVAL_PER_PEER_S * len(plan.direct_peers)
    )
    update = _build_update(state, now)
    # An empty update is sent once more, in case the first one is lost.
    waits = any(row.waiting for row in update.demand)
    update_state.needs_renewal = bool(update.rows or waits) or (
        update_state.needs_renewal and not is_renewal_due
    )
    return [SendDatagram(each.name, each.peer_address, update) for each in plan.direct_peers]


def _send_to_relay(state: State, now: float) -> list[Effect]:
    """Send an update to the relay; empty ones too, since it passes updates only to its senders."""
    update_state = state.load_updates
    relay = update_state.plan.own_relay
    if relay is None or not (state.engines.has_unsent_load or now >= update_state.next_renewal_at):
        return []
    update_state.next_send_at = now + _RELAY_INTERVAL_S
    return [SendDatagram(relay.name, relay.peer_address, _build_update(state, now))]


def _build_update(state: State, now: float) -> LoadNews:
    """Return an update with all load of this instance and the parts not announced yet."""
    update_state = state.load_updates
    update_state.seq += 1
    update_state.next_renewal_at = now + _RENEWAL_INTERVAL_S
    state.engines.has_unsent_load = False
    parts = [each for each in state.engines.unsent_parts if each.tokens >= _PART_TOKENS_MIN]
    state.engines.unsent_parts.clear()
    rows = [
        load_row(name, record, now)
        for name, record in state.engines.by_server.items()
        if record.prefills or record.running
    ]
    demand = engine_pools.demand_rows(state, now)
    outliers = own_rows(state.outliers, state.options.outlier, state.servers, now)
    return LoadNews(
        state.me.incarnation,
        update_state.seq,
        rows,
        parts[-_PARTS_PER_UPDATE_MAX:],
        demand,
        outliers=outliers,
        paces=shared_pace.take_rows(state),
    )


def load_row(name: ServerName, record: EngineInfo, now: float) -> LoadRow:
    """Return the row of a load update for a server."""
    prefill_rows = [
        [round(each.work_ms), each.rank, round((now - each.sent_at) * _MS)]
        for each in record.prefills.values()
    ]
    tokens = sum(each.tokens for each in record.prefills.values()) + sum(record.running.values())
    return LoadRow(name, prefill_rows, len(record.running), tokens)


# --- receiving -------------------------------------------------------------------------------


def on_load_update(state: State, now: float, sender: InstanceName, update: LoadNews) -> None:
    """Record another instance's load, and relay it if this instance is its relay."""
    if record_update(state, now, sender, update):
        load_relay.gather_update(state, now, sender, update)


def on_load_bundle(state: State, now: float, sender: InstanceName, bundle: LoadBundle) -> None:
    """Record the updates that a relay passed on."""
    plan = state.load_updates.plan
    if plan.own_relay is not None and plan.own_relay.name == sender:
        state.load_updates.relay_seen_at = now
    for bundled in bundle.updates:
        origin = InstanceName(bundled.origin)
        if origin != state.me.name and record_update(
            state, now, origin, bundled.update, bundled.delay_ms
        ):
            load_relay.gather_sum(state, now, sender, origin, bundled.update)


def record_update(
    state: State, now: float, origin: InstanceName, update: LoadNews, delay_ms: float = 0.0
) -> bool:
    """Record an update, and return whether it is newer than the last one of its incarnation."""
    origin_state = state.load_updates.sources.get(origin)
    if origin_state is None or origin_state.incarnation != update.incarnation:
        _forget_origin(state, origin)
        origin_state = state.load_updates.sources[origin] = UpdateSource(
            update.incarnation, -1, ReceiptTime(now)
        )
    if update.seq <= origin_state.seq:
        return False
    origin_state.seq = update.seq
    origin_state.last_receipt.received_at = now
    engine_pools.record_peer_demand(state, now, origin, update.demand)
    record_rows(state.outliers, state.servers, now, origin, update.outliers)
    _record_rows(state, now - delay_ms / _MS, origin, origin_state, update)
    _record_parts(state, now, update)
    shared_pace.record_rows(state, update.paces)
    return True


def _record_rows(
    state: State, sent_at: float, origin: InstanceName, origin_state: UpdateSource, update: LoadNews
) -> None:
    reported_servers: set[ServerName] = set()
    for row in update.rows:
        name = ServerName(row.server)
        if not row.prefills and not row.running:
            _drop_load(state, origin, origin_state, name)
        elif name in state.servers.by_name:
            reported_servers.add(name)
            _record_row(
                engine_model.engine_info_of(state, name),
                sent_at,
                origin,
                origin_state.last_receipt,
                row,
            )
    if update.is_complete:
        for name in origin_state.servers - reported_servers:
            _drop_load(state, origin, origin_state, name)
    origin_state.servers |= reported_servers


def _drop_load(
    state: State, origin: InstanceName, origin_state: UpdateSource, name: ServerName
) -> None:
    origin_state.servers.discard(name)
    record = state.engines.by_server.get(name)
    if record is not None:
        record.load_version += 1
        record.peers.pop(origin, None)


def _record_row(
    record: EngineInfo, sent_at: float, origin: InstanceName, receipt: ReceiptTime, row: LoadRow
) -> None:
    previous = record.peers.get(origin)
    has_fewer_prompts = previous is not None and len(row.prefills) < len(previous.pending)
    if has_fewer_prompts or not engine_model.has_pending(record, sent_at):
        record.prefilling_since = sent_at
    pending = [
        PendingPrompt(float(work_ms), rank, sent_at - age_ms / _MS)
        for work_ms, rank, age_ms in _valid_prefills(row.prefills)
    ]
    record.load_version += 1
    record.peers[origin] = PeerLoad(receipt, pending, row.running, row.tokens)


def _valid_prefills(prefill_rows: list[list[int]]) -> list[tuple[int, int, int]]:
    return [(each[0], each[1], each[2]) for each in prefill_rows if len(each) >= _PREFILL_FIELDS]


def _record_parts(state: State, now: float, update: LoadNews) -> None:
    for part in update.parts:
        server = state.servers.by_name.get(ServerName(part.server))
        if server is None:
            continue
        record = engine_model.engine_info_of(state, server.entry.name)
        if part.is_prefilled:
            engine_model.record_cached(record, server, part.part, part.tokens)
        elif part.part not in record.cached:
            engine_model.record_prefilling(record, part.part, now + part.prefill_ms / _MS)


def _forget_origin(state: State, origin: InstanceName) -> None:
    origin_state = state.load_updates.sources.pop(origin, None)
    if origin_state is not None:
        for name in list(origin_state.servers):
            _drop_load(state, origin, origin_state, name)


def forget_stale_origins(state: State, now: float) -> None:
    """Forget the load of instances without a recent update."""
    stale_origins = [
        origin
        for origin, origin_state in state.load_updates.sources.items()
        if now - origin_state.last_receipt.received_at > _FORGET_AFTER_S
    ]
    for origin in stale_origins:
        _forget_origin(state, origin)
