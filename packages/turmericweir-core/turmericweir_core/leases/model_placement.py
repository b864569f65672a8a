"""Choose the models of the servers of a scope, with pure functions.

The number of servers of a model changes by one at a time, by long averages, between two thresholds
that lie far apart, and with a minimum interval: loading a model takes minutes and a permit of the
weight store. The servers are chosen by what they have already, then by the number of their models
and by rendezvous hashing. A new placer therefore reaches the same result from the servers' reports.

TODO: models on the same server share its slots, and a full server is detected only when it refuses
a load; this matters once several models in demand are wanted on the same servers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import exp

from msgspec import Struct

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import ModelLabel
from turmericweir_core.base.options import Options
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.model_state import ModelTarget, ModelUsage


class Holding(Struct, frozen=True):
    """The models of one server of the scope."""

    server: ServerName
    slots: int
    loaded: tuple[ModelLabel, ...]
    loading: tuple[ModelLabel, ...] = ()
    # Models that repeated orders failed to load.
    failing: frozenset[str] = frozenset()

    def has_model(self, model: str) -> bool:
        """Return whether the server can serve any version of a model."""
        return any(label.model == model and not label.adapter for label in self.loaded)

    def has_or_loads(self, model: str) -> bool:
        """Return whether the server has a model or is loading it."""
        return any(label.model == model and not label.adapter for label in self.labels)

    @property
    def labels(self) -> tuple[ModelLabel, ...]:
        """All loaded and loading models."""
        return self.loaded + self.loading


class Bounds(Struct, frozen=True):
    """The least and the most servers of a scope that may have a model."""

    least: int
    most: int


def data_centre_share(total: int, servers: Mapping[str, int], data_centre: str) -> int:
    """Return a data centre's share of a number of servers, in proportion to its servers.

    Seats are assigned one at a time by the highest quotient (Sainte-Laguë). The shares add up, and
    no share shrinks when the total grows.
    """
    seats = dict.fromkeys(servers, 0)
    for _ in range(min(total, sum(servers.values()))):
        candidates = [name for name in servers if seats[name] < servers[name]]
        winner = max(candidates, key=lambda name: (servers[name] / (2 * seats[name] + 1), name))
        seats[winner] += 1
    return seats.get(data_centre, 0)


def note_demand(target: ModelTarget, options: Options, now: float, usage: ModelUsage) -> None:
    """Update the average of running and waiting requests."""
    sample = usage.busy + usage.waiting
    if sample > 0 or target.demand is None:
        target.used_at = now
    if target.demand is None:
        target.demand = sample
    else:
        retained = exp((target.demand_at - now) / options.model_demand_window_s)
        target.demand = retained * target.demand + (1 - retained) * sample
    target.demand_at = now


class CountInput(Struct, frozen=True):
    """The input for choosing a count."""

    bounds: Bounds
    # Servers that could have the model.
    servers: int
    # Mean slots of a server.
    slots: float
    # Demand has been observed for long enough.
    is_demand_known: bool
    # Requests wait for the model and no server has it.
    has_stranded_requests: bool


def choose_count(
    target: ModelTarget, options: Options, now: float, count_input: CountInput
) -> None:
    """Change the number of servers that should have a model, if a change is due."""
    least, most = count_input.bounds.least, max(count_input.bounds.least, count_input.bounds.most)
    if count_input.has_stranded_requests and most > 0:
        # Without a server the model has no load that could show its demand.
        least = max(least, 1)
        if target.count < 1:
            target.changed_at = now
    clamped = min(max(target.count, least), most, count_input.servers)
    if clamped != target.count:
        target.count = clamped
        return
    if not count_input.is_demand_known or now - target.changed_at < options.model_change_s:
        return
    step = _demanded_step(target, options, now, count_input.slots)
    changed = min(max(target.count + step, least), most, count_input.servers)
    if changed != target.count:
        target.count = changed
        target.changed_at = now


def _demanded_step(target: ModelTarget, options: Options, now: float, slots: float) -> int:
    demand = target.demand or 0.0
    if target.count == 0:
        return 1 if demand > options.model_first_slots else 0
    if demand > target.count * slots * options.model_grow_share:
        return 1
    if target.count == 1:
        # The last server is released only after a time without use. Prevents rare requests from
        # waiting for a load each time.
        return -1 if now - target.used_at >= options.model_last_s else 0
    if demand < (target.count - 1) * slots * options.model_shrink_share:
        return -1
    return 0


def choose_servers(
    scope: str,
    model: str,
    target: ModelTarget,
    holdings: Sequence[Holding],
    label_counts: Mapping[ServerName, int],
) -> frozenset[ServerName]:
    """Return the servers that should have a model; `label_counts` counts their other models."""

    def rank(holding: Holding) -> tuple[bool, bool, bool, int, int]:
        weight = rendezvous_weight(f"{scope}\0{model}", holding.server)
        has_model = holding.has_model(model) or (
            holding.has_or_loads(model) and model not in holding.failing
        )
        is_chosen = holding.server in target.chosen_servers
        is_failing = model in holding.failing
        return (
            not has_model,
            is_failing,
            not is_chosen,
            0 if has_model else label_counts.get(holding.server, 0),
            -weight,
        )

    # Servers that have the model come first, which avoids needless moves.
    best = sorted(holdings, key=rank)[: target.count]
    return frozenset(holding.server for holding in best)


def mean_slots(holdings: Iterable[Holding]) -> float:
    """Return the mean number of slots of a server."""
    slots = [holding.slots for holding in holdings]
    return sum(slots) / len(slots) if slots else 1.0
