"""Orders to servers: send them under a lease, and repeat them until reports show their effect.

An order is sent only while the lease is held, and carries its fencing number and its expiry. A
server that has received a newer number refuses the order, and the lease is dropped. A server that
does not check the number would follow a delayed order of the previous holder; after a takeover the
first order to it therefore waits until the longest such order has ended, and for a report received
after that.

The weight store is asked for one load at a time, the most urgent one first, and after a refusal
only once the delay that it returned has passed.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final, TypeAlias

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import parse_model_label
from turmericweir_core.leases import lease_flow
from turmericweir_core.messages.effects import Count, Effect, Log, RequestLoadPermit, SendOrder
from turmericweir_core.messages.events import OrderDone, ServerReport, WeightsAnswered
from turmericweir_core.records.lease_record import LeaseScope
from turmericweir_core.state.lease_state import HeldLease
from turmericweir_core.state.model_state import (
    DirectReport,
    Order,
    OrderAttempts,
    OrderKind,
    SentOrder,
)
from turmericweir_core.state.server_table import can_take_work
from turmericweir_core.state.state import State

OrderKey: TypeAlias = tuple[ServerName, OrderKind, str]
# An answer is awaited for this many times `order_timeout_s`.
_ANSWER_TIMEOUTS: Final = 3
# Age after which a pending order is dropped.
_PENDING_RETENTION_S: Final = 900.0


# --- interface for other modules ----------------------------------------------------------------


def has_open_orders(state: State, scope: LeaseScope) -> bool:
    """Return whether an order of a scope is unanswered."""
    return any(
        sent_order.order.scope == scope for sent_order in state.models.orders_in_flight.values()
    )


def pending_orders(state: State, server: ServerName) -> Iterator[tuple[OrderKey, OrderAttempts]]:
    """Yield the orders to a server whose effect is not reported yet."""
    for key, attempts in state.models.order_attempts.items():
        if key[0] == server:
            yield key, attempts


def note_report(state: State, now: float, report: ServerReport) -> None:
    """Record a server's report, and remove the orders whose effect it shows."""
    server = state.servers.by_name.get(report.server)
    if server is None:
        return
    if LeaseScope(server.entry.service, server.entry.data_centre) not in state.models.plans:
        state.models.direct_reports.pop(report.server, None)
        return
    state.models.direct_reports[report.server] = DirectReport(report, now)
    loaded = {parse_model_label(text) for text in report.models}
    loading = {parse_model_label(text) for text in report.loading}
    for key, _ in list(pending_orders(state, report.server)):
        label = parse_model_label(key[2])
        if key[1] is OrderKind.LOAD:
            is_effective = label in loaded or label in loading
        else:
            is_effective = label not in loaded and label not in loading
        if is_effective:
            del state.models.order_attempts[key]


# --- sending ------------------------------------------------------------------------------------


def send_orders(state: State, now: float, orders: list[Order]) -> list[Effect]:
    """Send the unload orders that may be sent now, and queue the loads for the weight store."""
    effects: list[Effect] = []
    state.models.pending_loads = []
    for order in orders:
        if not _is_order_due(state, now, order):
            continue
        if order.kind is OrderKind.LOAD:
            state.models.pending_loads.append(order)
        elif not _has_open_order(state, order.server):
            effects += _send_order(state, now, order)
    state.models.pending_loads.sort(
        key=lambda load: (not load.is_urgent, load.holder_count, load.server)
    )
    return effects + _ask_weights(state, now)


def _is_order_due(state: State, now: float, order: Order) -> bool:
    attempts = state.models.order_attempts.get(order.key)
    if attempts is not None:
        # A repetition is not another change, so only its own delay applies.
        return now >= attempts.next_at
    if order.is_urgent or order.is_follow_up:
        return True
    changed_at = state.models.changed_at.get(order.server)
    return changed_at is None or now - changed_at >= state.options.model_server_gap_s


def _has_open_order(state: State, server: ServerName) -> bool:
    return any(
        sent_order.order.server == server for sent_order in state.models.orders_in_flight.values()
    )


def _lease_for(state: State, now: float, order: Order) -> HeldLease | None:
    """Return the lease under which an order may be sent now."""
    lease = lease_flow.current_lease(state, now, order.scope)
    server = state.servers.by_name.get(order.server)
    if lease is None or server is None or not can_take_work(server, now):
        return None
    # Prevents a delayed order of the previous holder from undoing this one on a server that does
    # not check fencing numbers. An order of a process that was paused between check and send may
    # come even later; a later round repairs its effect.
    ready_at = lease.held_since
    if lease.is_taken_over and not server.service.checks_fence:
        ready_at += state.options.order_longest_s
    last_report = state.models.direct_reports.get(order.server)
    return lease if last_report is not None and last_report.received_at >= ready_at <= now else None


def _send_order(state: State, now: float, order: Order) -> list[Effect]:
    lease = _lease_for(state, now, order)
    if lease is None:
        return []
    models = state.models
    models.number += 1
    token = f"{state.me.incarnation}-{models.number}"
    models.orders_in_flight[token] = SentOrder(order, lease.fence, now)
    lease_flow.note_order_sent(state, now, order.scope, token)
    _record_attempt(state, now, order)
    models.changed_at[order.server] = now
    fields = {
        "scope": str(order.scope),
        "server": order.server,
        "kind": order.kind.value,
        "label": str(order.label),
        "fence": lease.fence,
    }
    return [_order_effect(state, order, lease, token), Count("order.sent"), Log("order", fields)]


def _order_effect(state: State, order: Order, lease: HeldLease, token: str) -> SendOrder:
    label = order.label
    return SendOrder(
        server=order.server,
        address=state.servers.by_name[order.server].entry.address,
        token=token,
        kind=order.kind.value,
        model=label.model,
        version=label.version,
        adapter=label.adapter,
        fence=lease.fence,
        not_after=lease.expires_at,
        timeout_s=state.options.order_timeout_s,
    )


def _record_attempt(state: State, now: float, order: Order) -> None:
    attempts = state.models.order_attempts.setdefault(order.key, OrderAttempts())
    # The opposite order no longer applies.
    opposite = OrderKind.UNLOAD if order.kind is OrderKind.LOAD else OrderKind.LOAD
    state.models.order_attempts.pop((order.server, opposite, str(order.label)), None)
    options = state.options
    pause_s = min(options.order_retry_max_s, options.order_retry_s * 2.0 ** min(attempts.count, 10))
    attempts.count += 1
    attempts.sent_at = now
    attempts.next_at = now + pause_s


# --- answers ---------------------------------------------------------------------------------


def on_order_done(state: State, now: float, event: OrderDone) -> list[Effect]:
    """Record the outcome of an order; its effect is verified by the server's report."""
    sent_order = state.models.orders_in_flight.pop(event.token, None)
    if sent_order is None:
        return []
    if event.is_accepted or event.stale_fence:
        lease_flow.note_order_settled(state, sent_order.order.scope, event.token)
    if event.is_accepted:
        return [Count("order.done")]
    fields = {
        "server": event.server,
        "label": str(sent_order.order.label),
        "fence": sent_order.fence,
        "error": event.error,
    }
    effects: list[Effect] = [Count("order.failed"), Log("order_failed", fields)]
    if event.stale_fence and _is_lease_current(state, sent_order):
        effects += lease_flow.drop_lease(state, now, sent_order.order.scope)
    return effects


def _is_lease_current(state: State, sent_order: SentOrder) -> bool:
    """Return whether the lease is still the one under which the order was sent."""
    lease = state.leases.held_leases.get(sent_order.order.scope)
    return lease is not None and lease.fence == sent_order.fence


def on_tick(state: State, now: float) -> list[Effect]:
    """Drop orders that are no longer awaited, and ask the weight store when it allows."""
    models = state.models
    timeout_s = _ANSWER_TIMEOUTS * state.options.order_timeout_s
    for token, sent_order in list(models.orders_in_flight.items()):
        if now - sent_order.sent_at >= timeout_s:
            del models.orders_in_flight[token]
    for key, attempts in list(models.order_attempts.items()):
        if now - attempts.next_at >= _PENDING_RETENTION_S:
            del models.order_attempts[key]
    if models.queried_load is not None and now - models.queried_at >= timeout_s:
        models.queried_load = None
    return _ask_weights(state, now)


# --- the weight store ------------------------------------------------------------------------


def _ask_weights(state: State, now: float) -> list[Effect]:
    models = state.models
    if models.queried_load is not None or now < models.next_weights_query_at:
        return []
    for order in models.pending_loads:
        if not _has_open_order(state, order.server) and _lease_for(state, now, order) is not None:
            models.queried_load = order
            models.queried_at = now
            return [
                RequestLoadPermit(order.label.model, order.label.version),
                Count("weights.asked"),
            ]
    return []


def on_weights(state: State, now: float, event: WeightsAnswered) -> list[Effect]:
    """Send the load that was granted, or wait for as long as the store demands."""
    models = state.models
    order = models.queried_load
    if order is None or (order.label.model, order.label.version) != (event.model, event.version):
        return []
    models.queried_load = None
    if not event.granted:
        models.next_weights_query_at = now + event.retry_after_s
        return [Count("weights.refused")]
    models.pending_loads = [load for load in models.pending_loads if load.key != order.key]
    sent = [] if _has_open_order(state, order.server) else _send_order(state, now, order)
    if not sent:
        # The lease expired or the server left while the store was asked.
        return [Count("weights.unused")]
    return sent + _ask_weights(state, now)
