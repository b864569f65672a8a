"""Which servers of a scope should have which models: pure functions over what is known of them.

The count of a model moves by one at a time, after long averages, between two thresholds that lie
far apart, and not soon again: loading a model takes a server minutes and costs the weight store a
grant, and a model that goes to and fro serves nobody. Which servers have it is settled by who has
it already; only then by how much a server has to hold and by rendezvous hashing. A new instance
that takes over therefore comes to the same answer from the servers' own reports.

TODO: models that share a server share its slots, and no server is known to be full before it
refuses a load; this matters once several models in demand are wanted on the same servers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import exp

from msgspec import Struct

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.model_label import ModelLabel
from turmericweir_core.base.options import Options
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.state.model_state import ModelTarget, Usage


class Holding(Struct, frozen=True):
    """What a server of the scope has."""

    server: ServerName
    slots: int
    loaded: tuple[ModelLabel, ...]
    loading: tuple[ModelLabel, ...] = ()
    # Models that it was told to load again and again without having them.
    failing: frozenset[str] = frozenset()

    def has(self, model: str) -> bool:
        """Tell whether it can serve any version of a model."""
        return any(label.model == model and not label.adapter for label in self.loaded)

    def gets(self, model: str) -> bool:
        """Tell whether it has a model or is loading it."""
        return any(label.model == model and not label.adapter for label in self.labels)

    @property
    def labels(self) -> tuple[ModelLabel, ...]:
        """Everything that is in its memory or on the way there."""
        return self.loaded + self.loading


class Bounds(Struct, frozen=True):
    """How many servers of a scope may have a model."""

    least: int
    most: int


def share(total: int, servers: Mapping[str, int], data_centre: str) -> int:
    """Give a data centre's share of a number of servers, by how many of them it has.

    One after the other goes to where the quotient of servers over twice the seats plus one is
    largest: the shares add up, and a larger total never makes any of them smaller.
    """
    given = dict.fromkeys(servers, 0)
    for _ in range(min(total, sum(servers.values()))):
        open_ = [name for name in servers if given[name] < servers[name]]
        best = max(open_, key=lambda name: (servers[name] / (2 * given[name] + 1), name))
        given[best] += 1
    return given.get(data_centre, 0)


def note_demand(target: ModelTarget, options: Options, now: float, usage: Usage) -> None:
    """Average what is in use and what waits."""
    sample = usage.busy + usage.waiting
    if sample > 0 or target.demand is None:
        target.used_at = now
    if target.demand is None:
        target.demand = sample
    else:
        keep = exp((target.demand_at - now) / options.model_demand_window_s)
        target.demand = keep * target.demand + (1 - keep) * sample
    target.demand_at = now


class CountInput(Struct, frozen=True):
    """What a count is chosen by."""

    bounds: Bounds
    # Servers that could have it.
    servers: int
    # Slots of one of them.
    slots: float
    # Demand has been watched for long enough.
    warm: bool
    # Requests wait for the model and no server anywhere has it.
    stranded: bool


def choose_count(target: ModelTarget, options: Options, now: float, given: CountInput) -> None:
    """Change how many servers should have a model, if it is time and there is reason to."""
    least, most = given.bounds.least, max(given.bounds.least, given.bounds.most)
    if given.stranded and most > 0:
        # A model that was wanted nowhere has no server whose load could show demand.
        least = max(least, 1)
        if target.count < 1:
            target.changed_at = now
    clamped = min(max(target.count, least), most, given.servers)
    if clamped != target.count:
        target.count = clamped
        return
    if not given.warm or now - target.changed_at < options.model_change_s:
        return
    step = _demanded_step(target, options, now, given.slots)
    changed = min(max(target.count + step, least), most, given.servers)
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
        # Failure: a model that is asked for a few times an hour is unloaded after each request,
        # and every one of them waits for a load. The last server goes by disuse, not by demand.
        return -1 if now - target.used_at >= options.model_last_s else 0
    if demand < (target.count - 1) * slots * options.model_shrink_share:
        return -1
    return 0


def choose_servers(
    scope: str,
    model: str,
    target: ModelTarget,
    holdings: Sequence[Holding],
    taken: Mapping[ServerName, int],
) -> frozenset[ServerName]:
    """Pick the servers that should have a model; `taken` counts what each has to hold besides."""

    def rank(each: Holding) -> tuple[bool, bool, bool, int, int]:
        weight = rendezvous_weight(f"{scope}\0{model}", each.server)
        holds = each.has(model) or (each.gets(model) and model not in each.failing)
        chosen = each.server in target.chosen
        failing = model in each.failing
        return (not holds, failing, not chosen, 0 if holds else taken.get(each.server, 0), -weight)

    # Those that have it come first, so that nothing moves that need not.
    best = sorted(holdings, key=rank)[: target.count]
    return frozenset(each.server for each in best)


def mean_slots(holdings: Iterable[Holding]) -> float:
    """Give the mean number of slots of a server."""
    slots = [each.slots for each in holdings]
    return sum(slots) / len(slots) if slots else 1.0
