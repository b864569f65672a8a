"""The rounds of the instance that places the models of a scope: evaluate, compare, send orders.

The placer of a scope keeps a plan for it, with or without a lease. It wants the lease only while
the servers' reports differ from the plan, and releases it after some time without orders.
`model_placement` makes the plan, `order_steps` computes the difference, `order_flow` sends the
orders.
"""

from __future__ import annotations

from collections.abc import Sequence

from turmericweir_core.base.config import ModelReplicas
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import ModelLabel, parse_model_label
from turmericweir_core.leases import lease_flow, order_flow
from turmericweir_core.leases.model_demand import (
    is_model_missing,
    managed_services,
    placer,
    server_counts,
    total_usage,
)
from turmericweir_core.leases.model_placement import (
    Bounds,
    CountInput,
    Holding,
    choose_count,
    choose_servers,
    data_centre_share,
    mean_slots,
    note_demand,
)
from turmericweir_core.leases.order_steps import WantedModel, orders_for_model
from turmericweir_core.messages.effects import Effect, Log, ProbeServer
from turmericweir_core.records.lease_record import LeaseScope
from turmericweir_core.state.model_state import ModelTarget, Order, OrderKind, ScopePlan
from turmericweir_core.state.server_table import Server
from turmericweir_core.state.state import State


def on_tick(state: State, now: float) -> list[Effect]:
    """Run a round when it is due, then process the orders."""
    models = state.models
    effects: list[Effect] = []
    if now >= models.next_round_at:
        models.next_round_at = now + state.options.model_round_s
        effects += _run_round(state, now)
    return effects + order_flow.on_tick(state, now)


def _run_round(state: State, now: float) -> list[Effect]:
    managed = managed_services(state.config)
    own_scopes = {scope for scope in _scopes(state, managed) if _is_placer(state, now, scope)}
    effects: list[Effect] = []
    for scope in list(state.models.plans):
        if scope not in own_scopes:
            _leave_scope(state, scope)
    orders: list[Order] = []
    for scope in sorted(own_scopes):
        plan = state.models.plans.setdefault(scope, ScopePlan(now))
        servers = _servers(state, scope)
        effects += _request_reports(state, now, plan, servers)
        if now - plan.responsible_since < state.options.model_settle_s or _is_report_missing(
            state, now, plan, servers
        ):
            continue
        due_orders, log_effects = _plan_scope(state, now, scope, plan, managed[scope.service])
        effects += log_effects
        orders += due_orders
        _update_lease(state, now, scope, plan, bool(due_orders))
    return effects + order_flow.send_orders(state, now, orders)


def _request_reports(
    state: State, now: float, plan: ScopePlan, servers: list[Server]
) -> list[ProbeServer]:
    """Request the reports that verify orders; no other instance may probe these servers."""
    options = state.options
    is_changing = now - plan.busy_at < options.model_idle_s or _is_report_missing(
        state, now, plan, servers
    )
    if not is_changing and now - plan.probed_at < options.model_probe_s:
        return []
    plan.probed_at = now
    return [ProbeServer(server.entry.name, server.entry.address) for server in servers]


def _scopes(state: State, managed: dict[str, list[str]]) -> list[LeaseScope]:
    return [
        LeaseScope(service, state.me.data_centre)
        for service in managed
        if state.me.data_centre in server_counts(state, service)
    ]


def _is_placer(state: State, now: float, scope: LeaseScope) -> bool:
    if state.stopping_since is not None or not state.has_settings:
        return False
    chosen = placer(state, now, scope)
    return chosen is not None and chosen.name == state.me.name


def _leave_scope(state: State, scope: LeaseScope) -> None:
    if order_flow.has_open_orders(state, scope):
        # The lease is kept until its orders have ended, so that a successor can start at once.
        return
    del state.models.plans[scope]
    state.models.reported.pop(scope, None)
    lease_flow.release_lease(state, scope)


def _update_lease(
    state: State, now: float, scope: LeaseScope, plan: ScopePlan, has_orders: bool
) -> None:
    if has_orders or order_flow.has_open_orders(state, scope):
        plan.busy_at = now
        lease_flow.request_lease(state, now, scope)
    elif now - plan.busy_at >= state.options.model_idle_s:
        lease_flow.release_lease(state, scope)


# --- present state ----------------------------------------------------------------------------


def _servers(state: State, scope: LeaseScope) -> list[Server]:
    servers = [
        server
        for server in state.servers.by_name.values()
        if server.entry.service == scope.service
        and server.entry.data_centre == scope.data_centre
        and not (server.leaving or server.drained)
    ]
    return sorted(servers, key=lambda server: server.entry.name)


def _is_report_missing(state: State, now: float, plan: ScopePlan, servers: list[Server]) -> bool:
    """Return whether a server may have models that it has not reported yet.

    Prevents a new placer from loading a model again on another server. The wait for reports is
    limited.
    """
    if now - plan.responsible_since >= state.options.model_gone_s:
        return False
    return any(
        server.entry.name not in state.models.direct_reports and server.unreachable_until == 0.0
        for server in servers
    )


def _holding(state: State, now: float, server: Server) -> Holding | None:
    """Return a server's models by its report and by later orders that it may have carried out."""
    last_report = state.models.direct_reports.get(server.entry.name)
    if last_report is None or now - last_report.received_at >= state.options.model_gone_s:
        return None
    report = last_report.report
    loaded = {parse_model_label(text) for text in report.models}
    loading = {parse_model_label(text) for text in report.loading}
    failing: set[str] = set()
    for key, attempts in order_flow.pending_orders(state, server.entry.name):
        label = parse_model_label(key[2])
        is_pending = now < attempts.next_at
        if key[1] is OrderKind.LOAD:
            loading |= {label} if is_pending and label not in loaded else set()
            if attempts.count >= state.options.order_tries:
                failing.add(label.model)
        elif is_pending:
            loaded.discard(label)
            loading.discard(label)
    return Holding(
        server.entry.name,
        server.slots,
        _sorted_labels(loaded),
        _sorted_labels(loading),
        frozenset(failing),
    )


def _sorted_labels(labels: set[ModelLabel]) -> tuple[ModelLabel, ...]:
    return tuple(sorted(labels))


# --- planned state ----------------------------------------------------------------------------


def _plan_scope(
    state: State, now: float, scope: LeaseScope, plan: ScopePlan, models: list[str]
) -> tuple[list[Order], list[Effect]]:
    reported = (_holding(state, now, each) for each in _servers(state, scope))
    holdings = [each for each in reported if each is not None]
    for model in list(plan.targets):
        if model not in models:
            del plan.targets[model]
    label_counts = {each.server: len(each.labels) for each in holdings}
    orders: list[Order] = []
    effects: list[Effect] = []
    for model in models:
        target, log_effects = _plan_model(state, now, scope, plan, model, holdings, label_counts)
        effects += log_effects
        orders += orders_for_model(scope, target, holdings)
    return orders, effects


def _plan_model(
    state: State,
    now: float,
    scope: LeaseScope,
    plan: ScopePlan,
    model: str,
    holdings: Sequence[Holding],
    label_counts: dict[ServerName, int],
) -> tuple[WantedModel, list[Effect]]:
    replicas = state.config.model_replicas[model]
    target = plan.targets.get(model)
    if target is None:
        holder_count = sum(1 for holding in holdings if holding.has_or_loads(model))
        target = plan.targets[model] = ModelTarget(holder_count, changed_at=now)
    usage = total_usage(state, now, scope, model)
    note_demand(target, state.options, now, usage)
    is_missing = is_model_missing(state, now, model)
    bounds = _bounds(state, scope, replicas)
    previous_count = target.count
    count_input = CountInput(
        bounds=bounds,
        servers=len(holdings),
        slots=mean_slots(holdings),
        is_demand_known=now - plan.responsible_since >= state.options.model_warm_s,
        has_stranded_requests=is_missing and usage.waiting > 0,
    )
    choose_count(target, state.options, now, count_input)
    target.chosen_servers = choose_servers(str(scope), model, target, holdings, label_counts)
    for name in target.chosen_servers:
        label_counts[name] = label_counts.get(name, 0) + 1
    # A model in use keeps its last server even if the bounds allow none.
    is_used = usage.waiting > 0 or usage.busy > 0
    least = max(min(bounds.least, len(holdings)), 1 if is_used else 0)
    wanted = WantedModel(model, replicas.version, target.chosen_servers, least, is_missing)
    return wanted, _log_count(scope, model, previous_count, target)


def _log_count(
    scope: LeaseScope, model: str, previous_count: int, target: ModelTarget
) -> list[Effect]:
    if target.count == previous_count:
        return []
    fields = {
        "scope": str(scope),
        "model": model,
        "before": previous_count,
        "servers": target.count,
        "demand": round(target.demand or 0.0, 2),
    }
    return [Log("model_count", fields)]


def _bounds(state: State, scope: LeaseScope, replicas: ModelReplicas) -> Bounds:
    counts = server_counts(state, scope.service)
    return Bounds(
        data_centre_share(replicas.min_servers, counts, scope.data_centre),
        data_centre_share(replicas.max_servers, counts, scope.data_centre),
    )
