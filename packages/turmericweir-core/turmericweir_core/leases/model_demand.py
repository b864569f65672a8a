"""Collect the demand for each model at the instances that place the models.

Every instance samples its running and waiting requests for the models with configured replicas, and
sends the averages at a fixed interval to the instance that places the models of a service in its
data centre. This costs each instance one small datagram for each service; the next one makes up for
a lost one. Load reports of the servers are not sufficient: they have no counts by model and no
waiting requests.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from turmericweir_core.base.config import Config, ServiceKind
from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.base.model_label import label_model_name
from turmericweir_core.base.request import RequestPhase
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.duty_messages import ModelDemand, ModelUse
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.records.lease_record import LeaseScope
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.model_state import ModelUsage, ReportedModelUsage
from turmericweir_core.state.server_table import Server, can_take_work
from turmericweir_core.state.state import State

# Reporting periods after which an instance's report no longer counts.
_VALID_PERIODS: Final = 2.5


# --- placers and scopes -----------------------------------------------------------------------


def placer(state: State, now: float, scope: LeaseScope) -> Member | None:
    """Return the instance that places the models of a scope.

    It is picked by rendezvous hashing over the live instances of the data centre. If two instances
    disagree on the live ones, the lease decides.
    """
    live = [
        member
        for member in membership.live_instances(state, now, scope.data_centre)
        if not member.leaving
    ]
    if not live:
        return None
    return max(live, key=lambda member: (rendezvous_weight(str(scope), member.name), member.name))


def managed_services(config: Config) -> dict[str, list[str]]:
    """Return the models with configured replicas, by the service that may serve them."""
    models_by_service: dict[str, list[str]] = {}
    for model in sorted(config.model_replicas):
        service = config.service_by_target.get(Target(model))
        if service is not None and service.kind is ServiceKind.MODEL:
            models_by_service.setdefault(service.name, []).append(model)
    return models_by_service


def server_counts(state: State, service: str) -> dict[str, int]:
    """Return the number of servers of a service by data centre, without leaving ones."""
    counts: dict[str, int] = {}
    for server in state.servers.by_name.values():
        if server.entry.service == service and not (server.leaving or server.drained):
            counts[server.entry.data_centre] = counts.get(server.entry.data_centre, 0) + 1
    return counts


def _receiving_scope(state: State, service: str) -> LeaseScope | None:
    """Return the scope whose placer receives this instance's use of a service's models."""
    counts = server_counts(state, service)
    if state.me.data_centre in counts:
        return LeaseScope(service, state.me.data_centre)
    if not counts:
        return None
    return LeaseScope(service, max(counts, key=lambda name: (counts[name], name)))


# --- sending ----------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Sample the use of models, and send it when it is due."""
    models = state.models
    if not state.config.model_replicas:
        return []
    if now >= models.next_sample_at:
        models.next_sample_at = now + state.options.model_sample_s
        _sample_use(state)
    if now < models.next_demand_at and not _has_urgent_demand(state, now):
        return []
    models.next_demand_at = now + state.options.model_demand_s
    models.next_alarm_at = now + state.options.model_alarm_s
    effects = _send_use(state, now)
    models.sampled.clear()
    models.samples = 0
    return effects


def _sample_use(state: State) -> None:
    models = state.models
    models.samples += 1
    for req in state.requests.values():
        if req.target not in state.config.model_replicas or req.phase is RequestPhase.DONE:
            continue
        is_waiting = req.phase is RequestPhase.WAITING
        previous = models.sampled.get(req.target, ModelUsage())
        models.sampled[req.target] = ModelUsage(
            previous.busy + (0.0 if is_waiting else 1.0),
            previous.waiting + (1 if is_waiting else 0),
        )


def _has_urgent_demand(state: State, now: float) -> bool:
    """Return whether requests wait for a model without a server and an early report is due."""
    if now < state.models.next_alarm_at:
        return False
    return any(
        usage.waiting and is_model_missing(state, now, model)
        for model, usage in state.models.sampled.items()
    )


def is_model_missing(state: State, now: float, model: str) -> bool:
    """Return whether no open server has a model."""
    return not any(
        can_take_work(server, now) and _can_have_model(server, model)
        for server in state.servers.by_name.values()
    )


def _can_have_model(server: Server, model: str) -> bool:
    if model not in server.service.models:
        return False
    if server.report is None:
        return True
    # Here a report without models means that the server has none. Placement then relies on the
    # settings.
    return any(model in (label, label_model_name(label)) for label in server.report.models)


def _send_use(state: State, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for service, models in managed_services(state.config).items():
        scope = _receiving_scope(state, service)
        receiver = placer(state, now, scope) if scope is not None else None
        if scope is None or receiver is None:
            continue
        uses = list(_mean_uses(state, models))
        if receiver.name == state.me.name:
            _record_use(state, now, scope, receiver.name, uses)
        elif uses:
            message = ModelDemand(scope.service, scope.data_centre, uses)
            effects.append(SendDatagram(receiver.name, receiver.peer_address, message))
    return effects


def _mean_uses(state: State, models: list[str]) -> Iterator[ModelUse]:
    samples = max(1, state.models.samples)
    for model in models:
        usage = state.models.sampled.get(model)
        if usage is not None:
            # Rounded up, so that a single waiting request counts.
            yield ModelUse(model, usage.busy / samples, -(-usage.waiting // samples))


# --- receiving --------------------------------------------------------------------------------


def on_message(state: State, now: float, sender: InstanceName, message: ModelDemand) -> None:
    """Record the use that another instance sent."""
    if (
        membership.find_member(state, sender) is None
        or message.service not in state.config.services
    ):
        return
    scope = LeaseScope(message.service, message.data_centre)
    _record_use(state, now, scope, sender, message.uses)


def _record_use(
    state: State, now: float, scope: LeaseScope, sender: InstanceName, uses: list[ModelUse]
) -> None:
    by_model = {use.model: ModelUsage(max(0.0, use.running), max(0, use.waiting)) for use in uses}
    state.models.reported.setdefault(scope, {})[sender] = ReportedModelUsage(now, by_model)


def total_usage(state: State, now: float, scope: LeaseScope, model: str) -> ModelUsage:
    """Return the total use of a model on all instances, without outdated reports."""
    reports = state.models.reported.get(scope, {})
    oldest_at = now - _VALID_PERIODS * state.options.model_demand_s
    busy, waiting = 0.0, 0
    for name, reported in list(reports.items()):
        if reported.received_at < oldest_at:
            del reports[name]
            continue
        usage = reported.by_model.get(model, ModelUsage())
        busy += usage.busy
        waiting += usage.waiting
    return ModelUsage(busy, waiting)
