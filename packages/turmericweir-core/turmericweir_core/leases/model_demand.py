"""What each model is used, told to the instances that place the models.

Every instance samples what it runs and what waits with it for the models that operators have set
wants for, and tells the averages, twice a minute, to the one instance that places the models
of a service in its data centre. That costs each instance one small datagram for each service; a
lost one is made up for by the next. Servers' own load reports would not do: they say how many
requests run, not for which model, and nothing of requests that no server has been found for.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from turmericweir_core.base.config import Config, Kind
from turmericweir_core.base.ids import InstanceName, Target
from turmericweir_core.base.model_label import bare_name
from turmericweir_core.base.request import Phase
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.peer_messages import ModelDemand, ModelUse
from turmericweir_core.records.lease_record import Scope
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.model_state import Reported, Usage
from turmericweir_core.state.server_table import Server, is_open
from turmericweir_core.state.state import State

# Tellings that may be lost in a row before an instance's use counts as none.
_VALID_PERIODS: Final = 2.5


# --- who places what -------------------------------------------------------------------------


def placer(state: State, now: float, scope: Scope) -> Member | None:
    """Pick the instance that is to place the models of a scope.

    By rendezvous hashing over the live instances of the data centre: two that disagree on who is
    live may both think that they are the one, and then the lease decides.
    """
    live = [
        each
        for each in membership.live_instances(state, now, scope.data_centre)
        if not each.leaving
    ]
    if not live:
        return None
    return max(live, key=lambda each: (rendezvous_weight(str(scope), each.name), each.name))


def managed_services(config: Config) -> dict[str, list[str]]:
    """List the wanted models by the service that may serve them."""
    found: dict[str, list[str]] = {}
    for model in sorted(config.wants):
        service = config.service_by_target.get(Target(model))
        if service is not None and service.kind is Kind.MODEL:
            found.setdefault(service.name, []).append(model)
    return found


def server_counts(state: State, service: str) -> dict[str, int]:
    """Count the servers of a service by data centre, without those that leave."""
    counts: dict[str, int] = {}
    for server in state.servers.by_name.values():
        if server.entry.service == service and not (server.leaving or server.drained):
            counts[server.entry.data_centre] = counts.get(server.entry.data_centre, 0) + 1
    return counts


def _told_scope(state: State, service: str) -> Scope | None:
    """Name the scope that is told of this instance's use of a service's models."""
    counts = server_counts(state, service)
    if state.me.data_centre in counts:
        return Scope(service, state.me.data_centre)
    if not counts:
        return None
    return Scope(service, max(counts, key=lambda name: (counts[name], name)))


# --- telling ---------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Sample the use of models, and tell it when it is time."""
    models = state.models
    if not state.config.wants:
        return []
    if now >= models.sample_due:
        models.sample_due = now + state.options.model_sample_s
        _sample(state)
    if now < models.demand_due and not _is_alarming(state, now):
        return []
    models.demand_due = now + state.options.model_demand_s
    models.alarm_due = now + state.options.model_alarm_s
    effects = _tell(state, now)
    models.sampled.clear()
    models.samples = 0
    return effects


def _sample(state: State) -> None:
    models = state.models
    models.samples += 1
    for req in state.requests.values():
        if req.target not in state.config.wants or req.phase is Phase.DONE:
            continue
        waits = req.phase is Phase.WAITING
        before = models.sampled.get(req.target, Usage())
        models.sampled[req.target] = Usage(
            before.busy + (0.0 if waits else 1.0), before.waiting + (1 if waits else 0)
        )


def _is_alarming(state: State, now: float) -> bool:
    """Tell whether something waits for a model that no server has, and it is time to say so."""
    if now < state.models.alarm_due:
        return False
    return any(
        usage.waiting and is_missing(state, now, model)
        for model, usage in state.models.sampled.items()
    )


def is_missing(state: State, now: float, model: str) -> bool:
    """Tell whether no server that is open has a model."""
    return not any(
        is_open(server, now) and _may_have(server, model)
        for server in state.servers.by_name.values()
    )


def _may_have(server: Server, model: str) -> bool:
    if model not in server.service.models:
        return False
    if server.report is None:
        return True
    # Otherwise than for placement, a report that names no model says that there is none.
    return any(model in (each, bare_name(each)) for each in server.report.models)


def _tell(state: State, now: float) -> list[Effect]:
    effects: list[Effect] = []
    for service, wanted in managed_services(state.config).items():
        scope = _told_scope(state, service)
        to = placer(state, now, scope) if scope is not None else None
        if scope is None or to is None:
            continue
        uses = list(_uses(state, wanted))
        if to.name == state.me.name:
            _note(state, now, scope, to.name, uses)
        elif uses:
            message = ModelDemand(scope.service, scope.data_centre, uses)
            effects.append(SendDatagram(to.name, to.peer_address, message))
    return effects


def _uses(state: State, wanted: list[str]) -> Iterator[ModelUse]:
    samples = max(1, state.models.samples)
    for model in wanted:
        usage = state.models.sampled.get(model)
        if usage is not None:
            # Rounded up: one that waits must not be averaged away.
            yield ModelUse(model, usage.busy / samples, -(-usage.waiting // samples))


# --- hearing ---------------------------------------------------------------------------------


def on_message(state: State, now: float, sender: InstanceName, message: ModelDemand) -> None:
    """Take what another instance told."""
    if membership.member(state, sender) is None or message.service not in state.config.services:
        return
    scope = Scope(message.service, message.data_centre)
    _note(state, now, scope, sender, message.uses)


def _note(
    state: State, now: float, scope: Scope, sender: InstanceName, uses: list[ModelUse]
) -> None:
    by_model = {use.model: Usage(max(0.0, use.busy), max(0, use.waiting)) for use in uses}
    state.models.reported.setdefault(scope, {})[sender] = Reported(now, by_model)


def usage_of(state: State, now: float, scope: Scope, model: str) -> Usage:
    """Add up what all instances told of a model, leaving out what is too old."""
    told = state.models.reported.get(scope, {})
    oldest = now - _VALID_PERIODS * state.options.model_demand_s
    busy, waiting = 0.0, 0
    for name, reported in list(told.items()):
        if reported.at < oldest:
            del told[name]
            continue
        usage = reported.by_model.get(model, Usage())
        busy += usage.busy
        waiting += usage.waiting
    return Usage(busy, waiting)
