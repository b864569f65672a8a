"""Orders to servers: given under a lease, loads with leave of the weight store, until they show.

Each order goes out only while the lease is held at that moment, carries its fencing number and the
time at which the lease ends. A server that has seen a newer number refuses, and the lease is
dropped. A server that ignores the number would obey an order of the holder before that was already
on its way; so after a takeover the first order to it waits until the longest such order has ended,
and goes by what the server reports after that.

The weight store is asked for one load at a time, for the one that is needed most, and not before
the time that it named.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final, TypeAlias

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import parse_label
from turmericweir_core.leases import lease_flow
from turmericweir_core.messages.effects import AskWeights, Count, Effect, Log, SendOrder
from turmericweir_core.messages.events import OrderDone, ServerReport, WeightsAnswered
from turmericweir_core.records.lease_record import Scope
from turmericweir_core.state.lease_state import Held
from turmericweir_core.state.model_state import Order, OrderKind, OutOrder, Seen, Tries
from turmericweir_core.state.server_table import is_open
from turmericweir_core.state.state import State

OrderKey: TypeAlias = tuple[ServerName, OrderKind, str]
# Answers that take this many time limits are not waited for.
_ANSWER_LIMITS: Final = 3
# A try that is so much older than its next time is about something long past.
_TRIES_KEEP_S: Final = 900.0


# --- what others ask -------------------------------------------------------------------------


def is_out(state: State, scope: Scope) -> bool:
    """Tell whether an order of a scope has not been answered."""
    return any(each.order.scope == scope for each in state.models.out.values())


def tries_of(state: State, server: ServerName) -> Iterator[tuple[OrderKey, Tries]]:
    """Yield the orders to a server whose effect no report has shown."""
    for key, tries in state.models.tries.items():
        if key[0] == server:
            yield key, tries


def note_report(state: State, now: float, report: ServerReport) -> None:
    """Keep a server's own report, and strike out the orders that it shows as followed."""
    server = state.servers.by_name.get(report.server)
    if server is None:
        return
    if Scope(server.entry.service, server.entry.data_centre) not in state.models.plans:
        state.models.seen.pop(report.server, None)
        return
    state.models.seen[report.server] = Seen(report, now)
    loaded = {parse_label(text) for text in report.models}
    loading = {parse_label(text) for text in report.loading}
    for key, _ in list(tries_of(state, report.server)):
        label = parse_label(key[2])
        if key[1] is OrderKind.LOAD:
            shown = label in loaded or label in loading
        else:
            shown = label not in loaded and label not in loading
        if shown:
            del state.models.tries[key]


# --- giving ----------------------------------------------------------------------------------


def give(state: State, now: float, orders: list[Order]) -> list[Effect]:
    """Send what may be sent of the orders that are due, and line up the loads."""
    effects: list[Effect] = []
    state.models.loads = []
    for order in orders:
        if not _may_change(state, now, order):
            continue
        if order.kind is OrderKind.LOAD:
            state.models.loads.append(order)
        elif not _is_told(state, order.server):
            effects += _send(state, now, order)
    state.models.loads.sort(key=lambda each: (not each.urgent, each.holders, each.server))
    return effects + _ask_weights(state, now)


def _may_change(state: State, now: float, order: Order) -> bool:
    tries = state.models.tries.get(order.key)
    if tries is not None:
        # Given before: it is a repetition, not another change.
        return now >= tries.next_at
    if order.urgent or order.follows:
        return True
    changed_at = state.models.changed_at.get(order.server)
    return changed_at is None or now - changed_at >= state.options.model_server_gap_s


def _is_told(state: State, server: ServerName) -> bool:
    return any(each.order.server == server for each in state.models.out.values())


def _lease_for(state: State, now: float, order: Order) -> Held | None:
    """Give the lease under which an order may go out now."""
    lease = lease_flow.held(state, now, order.scope)
    server = state.servers.by_name.get(order.server)
    if lease is None or server is None or not is_open(server, now):
        return None
    # Failure: an order of the holder before, already on its way, undoes this one on a server that
    # ignores the number; callers lose the model until the next round. The wait outlasts any such
    # order, but for those of a process that was stopped between the check and the send: these are
    # seen and repaired by later rounds.
    ready_at = lease.since
    if lease.taken_over and not server.service.checks_fence:
        ready_at += state.options.order_longest_s
    seen = state.models.seen.get(order.server)
    return lease if seen is not None and seen.at >= ready_at <= now else None


def _send(state: State, now: float, order: Order) -> list[Effect]:
    lease = _lease_for(state, now, order)
    if lease is None:
        return []
    models = state.models
    models.number += 1
    token = f"{state.me.incarnation}-{models.number}"
    models.out[token] = OutOrder(order, lease.fence, now)
    _note_try(state, now, order)
    models.changed_at[order.server] = now
    fields = {
        "scope": str(order.scope),
        "server": order.server,
        "kind": order.kind.value,
        "label": str(order.label),
        "fence": lease.fence,
    }
    return [_effect(state, order, lease, token), Count("order.sent"), Log("order", fields)]


def _effect(state: State, order: Order, lease: Held, token: str) -> SendOrder:
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


def _note_try(state: State, now: float, order: Order) -> None:
    tries = state.models.tries.setdefault(order.key, Tries())
    # The opposite order is no longer what counts.
    opposite = OrderKind.UNLOAD if order.kind is OrderKind.LOAD else OrderKind.LOAD
    state.models.tries.pop((order.server, opposite, str(order.label)), None)
    options = state.options
    pause = min(options.order_retry_max_s, options.order_retry_s * 2.0 ** min(tries.count, 10))
    tries.count += 1
    tries.sent_at = now
    tries.next_at = now + pause


# --- answers ---------------------------------------------------------------------------------


def on_order_done(state: State, now: float, event: OrderDone) -> list[Effect]:
    """Take how an order ended; whether it had its effect is for the server's report to show."""
    out = state.models.out.pop(event.token, None)
    if out is None:
        return []
    if event.ok:
        return [Count("order.done")]
    fields = {
        "server": event.server,
        "label": str(out.order.label),
        "fence": out.fence,
        "error": event.error,
    }
    effects: list[Effect] = [Count("order.failed"), Log("order_failed", fields)]
    if event.stale_fence and _is_under(state, out):
        effects += lease_flow.drop(state, now, out.order.scope)
    return effects


def _is_under(state: State, out: OutOrder) -> bool:
    """Tell whether the lease is still the one that the order was given under."""
    lease = state.leases.held.get(out.order.scope)
    return lease is not None and lease.fence == out.fence


def on_tick(state: State, now: float) -> list[Effect]:
    """Forget what will not be answered any more, and ask for weights when the store allows it."""
    models = state.models
    limit = _ANSWER_LIMITS * state.options.order_timeout_s
    for token, out in list(models.out.items()):
        if now - out.sent_at >= limit:
            del models.out[token]
    for key, tries in list(models.tries.items()):
        if now - tries.next_at >= _TRIES_KEEP_S:
            del models.tries[key]
    if models.asking is not None and now - models.asked_at >= limit:
        models.asking = None
    return _ask_weights(state, now)


# --- the weight store ------------------------------------------------------------------------


def _ask_weights(state: State, now: float) -> list[Effect]:
    models = state.models
    if models.asking is not None or now < models.weights_due:
        return []
    for order in models.loads:
        if not _is_told(state, order.server) and _lease_for(state, now, order) is not None:
            models.asking = order
            models.asked_at = now
            return [AskWeights(order.label.model, order.label.version), Count("weights.asked")]
    return []


def on_weights(state: State, now: float, event: WeightsAnswered) -> list[Effect]:
    """Give the order to load, or wait for as long as the store says."""
    models = state.models
    order = models.asking
    if order is None or (order.label.model, order.label.version) != (event.model, event.version):
        return []
    models.asking = None
    if not event.granted:
        models.weights_due = now + event.retry_after_s
        return [Count("weights.refused")]
    models.loads = [each for each in models.loads if each.key != order.key]
    sent = [] if _is_told(state, order.server) else _send(state, now, order)
    if not sent:
        # The lease lapsed or the server went while the store was asked.
        return [Count("weights.unused")]
    return sent + _ask_weights(state, now)
