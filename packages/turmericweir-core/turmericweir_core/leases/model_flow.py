"""The rounds of the instance that places the models of a scope: look, compare, order what is due.

Every instance that is the one for a scope keeps a plan for it, with or without a lease. Only when
the servers' reports differ from the plan does it want the lease, and it gives the lease back when
there has been nothing to order for a while. `model_placement` makes the plan, `order_steps` the
difference, `order_flow` sends orders.
"""

from __future__ import annotations

from collections.abc import Sequence

from turmericweir_core.base.config import ModelWant
from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import ModelLabel, parse_label
from turmericweir_core.leases import lease_flow, order_flow
from turmericweir_core.leases.model_demand import (
    is_missing,
    managed_services,
    placer,
    server_counts,
    usage_of,
)
from turmericweir_core.leases.model_placement import (
    Bounds,
    CountInput,
    Holding,
    choose_count,
    choose_servers,
    mean_slots,
    note_demand,
    share,
)
from turmericweir_core.leases.order_steps import WantedModel, steps
from turmericweir_core.messages.effects import Effect, Log, ProbeServer
from turmericweir_core.records.lease_record import Scope
from turmericweir_core.state.model_state import ModelTarget, Order, OrderKind, ScopePlan
from turmericweir_core.state.server_table import Server
from turmericweir_core.state.state import State


def on_tick(state: State, now: float) -> list[Effect]:
    """Make a round where one is due, then see to the orders."""
    models = state.models
    effects: list[Effect] = []
    if now >= models.round_due:
        models.round_due = now + state.options.model_round_s
        effects += _round(state, now)
    return effects + order_flow.on_tick(state, now)


def _round(state: State, now: float) -> list[Effect]:
    managed = managed_services(state.config)
    own = {scope for scope in _scopes(state, managed) if _is_placer(state, now, scope)}
    effects: list[Effect] = []
    for scope in list(state.models.plans):
        if scope not in own:
            _leave_scope(state, scope)
    orders: list[Order] = []
    for scope in sorted(own):
        plan = state.models.plans.setdefault(scope, ScopePlan(now))
        servers = _servers(state, scope)
        effects += _probes(state, now, plan, servers)
        if now - plan.since < state.options.model_settle_s or _is_unseen(state, now, plan, servers):
            continue
        due, log = _plan_scope(state, now, scope, plan, managed[scope.service])
        effects += log
        orders += due
        _ask_lease(state, now, scope, plan, bool(due))
    return effects + order_flow.give(state, now, orders)


def _probes(state: State, now: float, plan: ScopePlan, servers: list[Server]) -> list[ProbeServer]:
    """Ask for reports: orders are judged by them, and nobody else may ask these servers."""
    options = state.options
    changing = now - plan.busy_at < options.model_idle_s or _is_unseen(state, now, plan, servers)
    if not changing and now - plan.probed_at < options.model_probe_s:
        return []
    plan.probed_at = now
    return [ProbeServer(each.entry.name, each.entry.address) for each in servers]


def _scopes(state: State, managed: dict[str, list[str]]) -> list[Scope]:
    return [
        Scope(service, state.me.data_centre)
        for service in managed
        if state.me.data_centre in server_counts(state, service)
    ]


def _is_placer(state: State, now: float, scope: Scope) -> bool:
    if state.stopping_since is not None or not state.has_settings:
        return False
    one = placer(state, now, scope)
    return one is not None and one.name == state.me.name


def _leave_scope(state: State, scope: Scope) -> None:
    if order_flow.is_out(state, scope):
        # The lease is kept until its orders have ended, so that a successor may begin at once.
        return
    del state.models.plans[scope]
    state.models.reported.pop(scope, None)
    lease_flow.unwant(state, scope)


def _ask_lease(state: State, now: float, scope: Scope, plan: ScopePlan, due: bool) -> None:
    if due or order_flow.is_out(state, scope):
        plan.busy_at = now
        lease_flow.want(state, now, scope)
    elif now - plan.busy_at >= state.options.model_idle_s:
        lease_flow.unwant(state, scope)


# --- what there is ---------------------------------------------------------------------------


def _servers(state: State, scope: Scope) -> list[Server]:
    found = [
        server
        for server in state.servers.by_name.values()
        if server.entry.service == scope.service
        and server.entry.data_centre == scope.data_centre
        and not (server.leaving or server.drained)
    ]
    return sorted(found, key=lambda server: server.entry.name)


def _is_unseen(state: State, now: float, plan: ScopePlan, servers: list[Server]) -> bool:
    """Tell whether a server may hold something that is not known yet.

    Failure: an instance that has just started loads a model a second time because the server that
    has it has not reported yet. A server that never reports is not waited for for ever.
    """
    if now - plan.since >= state.options.model_gone_s:
        return False
    return any(
        each.entry.name not in state.models.seen and each.unreachable_until == 0.0
        for each in servers
    )


def _holding(state: State, now: float, server: Server) -> Holding | None:
    """Describe a server by its own report and by the orders that it may have followed since."""
    seen = state.models.seen.get(server.entry.name)
    if seen is None or now - seen.at >= state.options.model_gone_s:
        return None
    report = seen.report
    loaded = {parse_label(text) for text in report.models}
    loading = {parse_label(text) for text in report.loading}
    failing: set[str] = set()
    for key, tries in order_flow.tries_of(state, server.entry.name):
        label = parse_label(key[2])
        pending = now < tries.next_at
        if key[1] is OrderKind.LOAD:
            loading |= {label} if pending and label not in loaded else set()
            if tries.count >= state.options.order_tries:
                failing.add(label.model)
        elif pending:
            loaded.discard(label)
            loading.discard(label)
    return Holding(
        server.entry.name, server.slots, _sorted(loaded), _sorted(loading), frozenset(failing)
    )


def _sorted(labels: set[ModelLabel]) -> tuple[ModelLabel, ...]:
    return tuple(sorted(labels))


# --- what there should be --------------------------------------------------------------------


def _plan_scope(
    state: State, now: float, scope: Scope, plan: ScopePlan, wanted: list[str]
) -> tuple[list[Order], list[Effect]]:
    found = (_holding(state, now, each) for each in _servers(state, scope))
    holdings = [each for each in found if each is not None]
    for model in list(plan.targets):
        if model not in wanted:
            del plan.targets[model]
    taken = {each.server: len(each.labels) for each in holdings}
    orders: list[Order] = []
    effects: list[Effect] = []
    for model in wanted:
        target, log = _plan_model(state, now, scope, plan, model, holdings, taken)
        effects += log
        orders += steps(scope, target, holdings)
    return orders, effects


def _plan_model(
    state: State,
    now: float,
    scope: Scope,
    plan: ScopePlan,
    model: str,
    holdings: Sequence[Holding],
    taken: dict[ServerName, int],
) -> tuple[WantedModel, list[Effect]]:
    want = state.config.wants[model]
    target = plan.targets.get(model)
    if target is None:
        have = sum(1 for each in holdings if each.gets(model))
        target = plan.targets[model] = ModelTarget(have, changed_at=now)
    usage = usage_of(state, now, scope, model)
    note_demand(target, state.options, now, usage)
    missing = is_missing(state, now, model)
    bounds = _bounds(state, scope, want)
    before = target.count
    given = CountInput(
        bounds=bounds,
        servers=len(holdings),
        slots=mean_slots(holdings),
        warm=now - plan.since >= state.options.model_warm_s,
        stranded=missing and usage.waiting > 0,
    )
    choose_count(target, state.options, now, given)
    target.chosen = choose_servers(str(scope), model, target, holdings, taken)
    for name in target.chosen:
        taken[name] = taken.get(name, 0) + 1
    # Nothing that somebody uses may lose its last server, whatever the bounds say.
    used = usage.waiting > 0 or usage.busy > 0
    least = max(min(bounds.least, len(holdings)), 1 if used else 0)
    wanted = WantedModel(model, want.version, target.chosen, least, missing)
    return wanted, _log_count(scope, model, before, target)


def _log_count(scope: Scope, model: str, before: int, target: ModelTarget) -> list[Effect]:
    if target.count == before:
        return []
    fields = {
        "scope": str(scope),
        "model": model,
        "before": before,
        "servers": target.count,
        "demand": round(target.demand or 0.0, 2),
    }
    return [Log("model_count", fields)]


def _bounds(state: State, scope: Scope, want: ModelWant) -> Bounds:
    counts = server_counts(state, scope.service)
    return Bounds(
        share(want.min_servers, counts, scope.data_centre),
        share(want.max_servers, counts, scope.data_centre),
    )
