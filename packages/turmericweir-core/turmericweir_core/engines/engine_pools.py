"""Split the engines of a service between long prompts and streams with short token gaps.

An engine prefills a long prompt in chunks between its decode steps, so each token of its streams
takes a chunk longer. Streams with a gap target shorter than a few such steps would exceed it beside
a long prompt; requests with a longer target tolerate it. So prefill engines serve the requests that
tolerate long prompts, and decode engines the others. The kind of a request follows from the
settings and its prompt alone.

Requests that do not tolerate long prompts may still delay each other: a prompt whose prefill lasts
a whole event delays streams with a shorter gap target than its own. Such medium prompts have
separate engines among the decode engines where there are enough.

The split follows the demand that all instances report. Each kind has at least one engine, and as
many prefill engines are planned as long prompts keep busy up to a share of their time. The rest is
shared by demand, with a higher weight for decode engines. Where all routes to a service are of one
kind, all engines serve it. Where there are too few engines for both,
the more urgent kind is served first, and decode engines if both are equally urgent. The engines are
ordered by hash, so that all instances split them alike and an added or removed engine changes
little. Needed engines are assigned at once; the rest moves slowly, because cached parts would be
prefilled again elsewhere.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Callable
from math import ceil, exp
from operator import is_
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.config import Service, ServiceClass
from turmericweir_core.base.ids import InstanceName, ServerName, Target
from turmericweir_core.base.request import Request
from turmericweir_core.base.tiers import scheduling_rank
from turmericweir_core.engines import engine_model, urgent_demand
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.load_messages import DemandRow
from turmericweir_core.queueing import urgent_first, waiting_reports
from turmericweir_core.state.pool_state import (
    EngineDemand,
    EngineGroups,
    EngineSplit,
    ReportedDemand,
    TotalDemand,
)
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Time constant of the demand: longer than single requests, short enough to follow a burst.
_DEMAND_WINDOW_S: Final = 3.0
# Planned busy share of an engine; above it long prompts wait for each other.
_PLANNED_BUSY_SHARE: Final = 0.6
# Busy share above which there are too few decode engines, so that they take over prefill engines.
# Higher than the planned share, which prevents the split from changing with each request.
_SHORTAGE_BUSY_SHARE: Final = 0.9
# Initial share of prefill engines, before any demand was observed.
_START_SHARE: Final = 0.6
# Total demand, in milliseconds per second, below which the split stays as it is.
_DEMAND_MIN_MS: Final = 1.0
# Share of the engines' time that more urgent requests need above which they leave no room.
_FULL_SHARE: Final = 1.0
# Weight of the newest answer in the average duration of its class.
_DURATION_WEIGHT: Final = 0.1
# Weight of decode demand in the division of spare engines: it has earlier start targets and varies
# more.
_DECODE_WEIGHT: Final = 2.0
# Interval between moves of the split by one engine, and the number of engines above which the
# interval becomes shorter in proportion.
_MOVE_INTERVAL_S: Final = 10.0
_MOVE_SCALE_ENGINES: Final = 5
# Number of decode engines from which on some are reserved for medium prompts.
_SEPARATE_MEDIUM_MIN: Final = 2
# Validity of a peer's demand report.
_PEER_DEMAND_VALID_S: Final = 3.0
_MS: Final = 1000.0


class PromptKind(enum.Enum):
    """The kinds of prompts, by their effect on other streams of their engine."""

    # The answer tolerates long prompts on its engine.
    LONG = "long"
    # The answer does not, and the prefill delays streams with shorter gap targets.
    MEDIUM = "middle"
    # The answer does not, and the prefill delays no stream with a shorter gap target.
    SHORT = "quick"


def prompt_kind(state: State, req: Request, service: Service) -> PromptKind:
    """Return the kind of a request's prompt."""
    gap_s = req.service_class.token_gap_target_s
    if _is_gap_tolerant(state, gap_s, service):
        return PromptKind.LONG
    split = state.pools.splits.get(req.target)
    shortest_gap_s = None if split is None else split.lowest_gap_target_s
    # A prefill of that many chunks slows every step of an event.
    is_long = req.prompt_tokens > (service.event_tokens - 1) * state.options.chunk_tokens
    if is_long and gap_s is not None and shortest_gap_s is not None and gap_s > shortest_gap_s:
        return PromptKind.MEDIUM
    return PromptKind.SHORT


def tolerates_long_prompts(state: State, service_class: ServiceClass, service: Service) -> bool:
    """Return whether answers of a class stay in time beside long prompts."""
    return _is_gap_tolerant(state, service_class.token_gap_target_s, service)


def long_predicate(state: State, target: Target) -> Callable[[ServiceClass], bool]:
    """Return the predicate whether a class of a target tolerates long prompts."""
    service = state.config.service_by_target.get(target)

    def is_long(service_class: ServiceClass) -> bool:
        return service is not None and tolerates_long_prompts(state, service_class, service)

    return is_long


def _is_gap_tolerant(state: State, gap_s: float | None, service: Service) -> bool:
    """Return whether a token gap target tolerates a step with a chunk for each token."""
    if gap_s is None:
        return True
    return gap_s * _MS >= service.event_tokens * state.options.chunk_step_ms


def record_demand(state: State, now: float, req: Request, engines: list[Server]) -> None:
    """Record the work of a new request, as on the engine with the least work for it."""
    if not engines or not req.prompt_tokens:
        return
    state.pools.demand_version += 1
    demand = state.pools.local_demand.setdefault(req.target, EngineDemand(decayed_at=now))
    _decay(demand, now)
    records = (engine_model.engine_info_of(state, each.entry.name) for each in engines)
    req.prefill_work_ms = min(engine_model.own_work_ms(state, record, req) for record in records)
    req.slot_work_ms = _slot_ms(state, req, engines[0])
    # Answers hardly progress during a prefill, so both take their share of the engine's time.
    work_ms = req.prefill_work_ms + req.slot_work_ms
    kind, rank = prompt_kind(state, req, engines[0].service), scheduling_rank(req.service_class)
    urgent_demand.record(state, now, req.target, kind.value, rank, work_ms, _DEMAND_WINDOW_S)
    match kind:
        case PromptKind.LONG:
            demand.long_prompt_ms += work_ms
        case PromptKind.MEDIUM:
            demand.medium_prompt_ms += work_ms
        case PromptKind.SHORT:
            demand.short_prompt_ms += work_ms


def _slot_ms(state: State, req: Request, engine: Server) -> float:
    """Return the share of an engine's time that an answer's slot is worth, in milliseconds.

    Prevents short prompts with long answers from counting by their prompts alone and filling the
    slots of too few engines.
    """
    duration_ms = state.pools.generating_ms.get(req.service_class.name)
    if duration_ms is None:
        tokens = req.expected_tokens
        if tokens is None:
            tokens = req.max_tokens or 0
        duration_ms = tokens * state.options.decode_step_ms
    return duration_ms / max(1, engine.slots)


def record_generated(state: State, req: Request, generated_s: float) -> None:
    """Learn how long answers of a class keep their slots.

    Callers' estimates are right in the median, but the mean of answer lengths is well above it.
    """
    average_ms = state.pools.generating_ms
    previous_ms = average_ms.get(req.service_class.name)
    duration_ms = generated_s * _MS
    weight = 1.0 if previous_ms is None else _DURATION_WEIGHT
    average_ms[req.service_class.name] = (previous_ms or 0.0) + weight * (
        duration_ms - (previous_ms or 0.0)
    )


def _decay(demand: EngineDemand, now: float) -> None:
    """Decay the demand to the current time."""
    decay_factor = exp((demand.decayed_at - now) / _DEMAND_WINDOW_S)
    demand.long_prompt_ms *= decay_factor
    demand.short_prompt_ms *= decay_factor
    demand.medium_prompt_ms *= decay_factor
    demand.decayed_at = now


def demand_rows(state: State, now: float) -> list[DemandRow]:
    """Return this instance's demand, in milliseconds of work per second."""
    rows = []
    for target, demand in state.pools.local_demand.items():
        _decay(demand, now)
        row = DemandRow(
            target,
            round(demand.long_prompt_ms / _DEMAND_WINDOW_S),
            round(demand.short_prompt_ms / _DEMAND_WINDOW_S),
            urgent_first.overdue_rows(state, now, target, long_predicate(state, target)),
            round(demand.medium_prompt_ms / _DEMAND_WINDOW_S),
            waiting_reports.own_rows(state, target, long_predicate(state, target)),
        )
        rows.append(row)
    return rows


def record_peer_demand(
    state: State, now: float, sender: InstanceName, rows: list[DemandRow]
) -> None:
    """Record a peer's demand."""
    state.pools.demand_version += 1
    for row in rows:
        peer_demand = state.pools.peer_demand.setdefault(Target(row.target), {})
        peer_demand[sender] = ReportedDemand(
            now, row.long_prompt_ms_s, row.short_prompt_ms_s, row.medium_prompt_ms_s
        )
        urgent_first.record_overdue(state, now, sender, Target(row.target), row.overdue)
        waiting_reports.record(state, now, sender, Target(row.target), row.waiting)


def engines_for(state: State, now: float, req: Request, engines: list[Server]) -> list[Server]:
    """Return the engines for a request, of those that serve its target."""
    if len(engines) < 2:
        return engines
    pools = _split_engines(state, now, req.target, engines)
    match prompt_kind(state, req, engines[0].service):
        case PromptKind.LONG:
            # The routes may have changed since the request arrived.
            return pools.prefill or engines
        case PromptKind.MEDIUM:
            return pools.medium or pools.decode or engines
        case PromptKind.SHORT:
            return pools.decode or engines


def engines_by_tolerance(
    state: State, now: float, target: Target, engines: list[Server], *, is_long: bool
) -> list[Server]:
    """Return the engines for all requests that tolerate long prompts, or for all others."""
    if len(engines) < 2:
        return engines
    pools = _split_engines(state, now, target, engines)
    return (pools.prefill if is_long else [*pools.medium, *pools.decode]) or engines


def spill_engines(state: State, now: float, req: Request, engines: list[Server]) -> list[Server]:
    """Return the engines of other kinds, for a request without room on the engines of its kind.

    A medium prompt spills only to prefill engines, where it delays no short-prompt stream.
    """
    pools = _split_engines(state, now, req.target, engines)
    own_names = {each.entry.name for each in engines_for(state, now, req, engines)}
    if prompt_kind(state, req, engines[0].service) is PromptKind.MEDIUM:
        engines = pools.prefill
    return [each for each in engines if each.entry.name not in own_names]


def _split_engines(state: State, now: float, target: Target, engines: list[Server]) -> EngineGroups:
    total = _total(state, now, target)
    groups = state.pools.groups.get(target)
    if (
        groups is None
        or groups.total is not total
        or groups.settings_offset != state.config.offset
        or not _are_same(groups.engines, engines)
    ):
        groups = state.pools.groups[target] = _make_groups(state, now, target, engines, total)
    return groups


def _are_same(engines: list[Server], others: list[Server]) -> bool:
    return len(engines) == len(others) and all(map(is_, engines, others))


def _make_groups(
    state: State, now: float, target: Target, engines: list[Server], total: TotalDemand
) -> EngineGroups:
    ordered = _order_engines(state, target, engines)
    prefill_count = _prefill_engine_count(state, now, target, len(engines))
    decode_engines = ordered[prefill_count:]
    medium_count = len(decode_engines) - _short_engine_count(
        state, now, target, len(decode_engines)
    )
    return EngineGroups(
        engines=list(engines),
        total=total,
        settings_offset=state.config.offset,
        prefill=ordered[:prefill_count],
        medium=decode_engines[:medium_count],
        decode=decode_engines[medium_count:],
    )


def _order_engines(state: State, target: Target, engines: list[Server]) -> list[Server]:
    """Return the engines in hash order, alternating between data centres.

    Prevents all decode engines from being in one data centre, where a partition would cut the
    answers of all others.
    """
    engine_by_name = {each.entry.name: each for each in engines}
    names = tuple(engine_by_name)
    cached_order = state.pools.orders.get(target)
    if cached_order is None or cached_order[0] != names:
        cached_order = state.pools.orders[target] = (names, _hash_order(target, engines))
    return [engine_by_name[name] for name in cached_order[1]]


def _hash_order(target: Target, engines: list[Server]) -> tuple[ServerName, ...]:
    count_by_centre: defaultdict[str, int] = defaultdict(int)
    order: list[tuple[int, int, ServerName]] = []
    for position, engine in enumerate(
        sorted(engines, key=lambda each: rendezvous_weight(target, each.entry.name))
    ):
        centre = engine.entry.data_centre
        order.append((count_by_centre[centre], position, engine.entry.name))
        count_by_centre[centre] += 1
    return tuple(name for _, _, name in sorted(order))


def prefill_engine_count(state: State, target: Target) -> int:
    """Return the number of prefill engines, for logs."""
    split = state.pools.splits.get(target)
    return 0 if split is None else split.prefill_engine_count


def _prefill_engine_count(state: State, now: float, target: Target, engine_count: int) -> int:
    split = state.pools.splits.get(target)
    if split is None:
        split = state.pools.splits[target] = EngineSplit(ceil(_START_SHARE * engine_count))
    if split.cached_settings != state.config.offset:
        split.cached_settings = state.config.offset
        split.is_decode_first = _is_decode_first(state, target)
        split.lowest_gap_target_s = _shortest_gap_s(state, target)
        split.only_long = _only_kind(state, target)
    if split.only_long is not None:
        return engine_count if split.only_long else 0
    plan = _plan(state, now, target, engine_count, split)
    split.prefill_engine_count = max(
        plan.needed_count, min(split.prefill_engine_count, plan.available_count)
    )
    if split.prefill_engine_count == plan.fair_count:
        split.mismatch_since = None
    elif split.mismatch_since is None:
        split.mismatch_since = now
    elif now - split.mismatch_since >= _move_interval_s(engine_count):
        split.prefill_engine_count += 1 if plan.fair_count > split.prefill_engine_count else -1
        split.mismatch_since = now
    return min(split.prefill_engine_count, engine_count - 1)


def _move_interval_s(engine_count: int) -> float:
    """Return the interval between moves of a border between kinds by one engine, in seconds."""
    return _MOVE_INTERVAL_S * min(1.0, _MOVE_SCALE_ENGINES / engine_count)


def _short_engine_count(state: State, now: float, target: Target, decode_count: int) -> int:
    """Return how many of the decode engines serve short prompts only.

    They are counted from the end of the order, and the number changes slowly. Prevents running
    streams from getting medium prompts beside them whenever the number of prefill engines changes.
    """
    split = state.pools.splits[target]
    demand = _total_demand(state, now, target)
    if decode_count < _SEPARATE_MEDIUM_MIN or not demand.medium_prompt_ms:
        return decode_count
    medium_need = min(
        decode_count - 1, _engines_needed(demand.medium_prompt_ms, _PLANNED_BUSY_SHARE)
    )
    short_need = min(decode_count - 1, _engines_needed(demand.short_prompt_ms, _PLANNED_BUSY_SHARE))
    proportional_count = round(decode_count * short_need / (medium_need + short_need))
    target_count = max(1, min(proportional_count, decode_count - 1))
    if not split.short_engine_count:
        split.short_engine_count, split.short_changed_at = target_count, now
    elif (
        split.short_engine_count != target_count
        and now - split.short_changed_at >= _move_interval_s(decode_count)
    ):
        split.short_engine_count += 1 if target_count > split.short_engine_count else -1
        split.short_changed_at = now
    split.short_engine_count = max(split.short_engine_count, short_need)
    short_min = short_need if short_need + medium_need <= decode_count else 1
    return max(short_min, min(split.short_engine_count, decode_count - medium_need))


class _Plan(Struct, frozen=True):
    """Numbers of prefill engines."""

    # Needed for long prompts, at most the available ones.
    needed_count: int
    # Left over by the decode engines that are needed.
    available_count: int
    # Share of the engines for long prompts in proportion to demand.
    fair_count: int


def _plan(state: State, now: float, target: Target, engine_count: int, split: EngineSplit) -> _Plan:
    """Return the needed, the available and the fair number of prefill engines."""
    demand = _total_demand(state, now, target)
    prefill_max = engine_count - 1
    long_need = min(prefill_max, _engines_needed(demand.long_prompt_ms, _PLANNED_BUSY_SHARE))
    available_count = prefill_max
    if split.is_decode_first:
        available_count = max(
            1,
            engine_count
            - _engines_needed(
                demand.short_prompt_ms + demand.medium_prompt_ms, _SHORTAGE_BUSY_SHARE
            ),
        )
    needed_count = min(long_need, available_count)
    if demand.long_prompt_ms + demand.short_prompt_ms + demand.medium_prompt_ms < _DEMAND_MIN_MS:
        # Too little demand to derive a fair share.
        return _Plan(
            needed_count,
            available_count,
            max(needed_count, min(available_count, split.prefill_engine_count)),
        )
    decode_need = _engines_needed(
        demand.short_prompt_ms + demand.medium_prompt_ms, _PLANNED_BUSY_SHARE
    )
    fair_count = round(engine_count * long_need / (long_need + _DECODE_WEIGHT * decode_need))
    return _Plan(needed_count, available_count, max(needed_count, min(available_count, fair_count)))


def _engines_needed(work_ms: float, share: float) -> int:
    """Return the number of engines for an amount of work, each busy up to a share of its time."""
    return max(1, ceil(work_ms / (_MS * share)))


def _is_decode_first(state: State, target: Target) -> bool:
    """Return whether decode engines are assigned first where there are too few for both kinds.

    Prevents a burst of less urgent long prompts from leaving one engine to the most urgent answers.
    """
    service = state.config.service_by_target.get(target)
    most_urgent_priority: dict[bool, int] = {}
    for route in state.config.routes.by_host_and_prefix.values():
        if service is None or target not in (each.target for each in route.targets):
            continue
        is_short = not _is_gap_tolerant(state, route.gap_target_s, service)
        most_urgent_priority[is_short] = min(
            route.priority, most_urgent_priority.get(is_short, route.priority)
        )
    return most_urgent_priority.get(True, 0) <= most_urgent_priority.get(False, 0)


def _only_kind(state: State, target: Target) -> bool | None:
    """Return whether all routes to a target tolerate long prompts, or None if they differ.

    Prevents engines from being kept for a kind of request that no route has.
    """
    service = state.config.service_by_target.get(target)
    kinds = {
        _is_gap_tolerant(state, route.gap_target_s, service)
        for route in state.config.routes.by_host_and_prefix.values()
        if service is not None and target in (each.target for each in route.targets)
    }
    return kinds.pop() if len(kinds) == 1 else None


def _shortest_gap_s(state: State, target: Target) -> float | None:
    """Return the shortest token gap target of the routes to a target, in seconds, or None."""
    gaps = [
        route.gap_target_s
        for route in state.config.routes.by_host_and_prefix.values()
        if route.gap_target_s is not None and target in (each.target for each in route.targets)
    ]
    return min(gaps, default=None)


def is_filled_by_more_urgent(state: State, now: float, req: Request, engines: list[Server]) -> bool:
    """Return whether more urgent requests keep all engines of a target busy.

    Their answers can fill all slots within seconds, before any of them is late.
    """
    demand = _total_demand(state, now, req.target)
    demand_ms_s = {
        PromptKind.LONG.value: demand.long_prompt_ms,
        PromptKind.MEDIUM.value: demand.medium_prompt_ms,
        PromptKind.SHORT.value: demand.short_prompt_ms,
    }
    rank = scheduling_rank(req.service_class)
    urgent_ms_s = urgent_demand.more_urgent_ms_s(state, req.target, rank, demand_ms_s)
    return urgent_ms_s >= _FULL_SHARE * _MS * len(engines)


def demand_up_to_ms_s(
    state: State, now: float, target: Target, rank: int, *, is_long: bool
) -> float:
    """Return the demand of requests of a kind that are as urgent as a rank, or more urgent."""
    demand = _total_demand(state, now, target)
    demand_ms_s = {PromptKind.LONG.value: demand.long_prompt_ms}
    if not is_long:
        demand_ms_s = {
            PromptKind.MEDIUM.value: demand.medium_prompt_ms,
            PromptKind.SHORT.value: demand.short_prompt_ms,
        }
    return urgent_demand.more_urgent_ms_s(state, target, rank + 1, demand_ms_s)


def demand_ms_per_s(state: State, now: float, service: str) -> float:
    """Return the demand for a service's engines, in milliseconds of work per second."""
    total_ms_per_s = 0.0
    for target, target_service in state.config.service_by_target.items():
        if target_service.name == service:
            demand = _total_demand(state, now, target)
            total_ms_per_s += (
                demand.long_prompt_ms + demand.short_prompt_ms + demand.medium_prompt_ms
            )
    return total_ms_per_s


def _total_demand(state: State, now: float, target: Target) -> ReportedDemand:
    """Return the demand of all instances, in milliseconds of work per second."""
    return _total(state, now, target).demand


def _total(state: State, now: float, target: Target) -> TotalDemand:
    version = state.pools.demand_version
    total = state.pools.totals.get(target)
    if total is None or total.demand.received_at != now or total.version != version:
        demand = _sum_demand(state, now, target)
        total = state.pools.totals[target] = TotalDemand(demand, version)
    return total


def _sum_demand(state: State, now: float, target: Target) -> ReportedDemand:
    long_ms = short_ms = medium_ms = 0.0
    own_demand = state.pools.local_demand.get(target)
    if own_demand is not None:
        _decay(own_demand, now)
        long_ms, short_ms = (
            own_demand.long_prompt_ms / _DEMAND_WINDOW_S,
            own_demand.short_prompt_ms / _DEMAND_WINDOW_S,
        )
        medium_ms = own_demand.medium_prompt_ms / _DEMAND_WINDOW_S
    for peer_demand in state.pools.peer_demand.get(target, {}).values():
        if now - peer_demand.received_at <= _PEER_DEMAND_VALID_S:
            long_ms += peer_demand.long_prompt_ms
            short_ms += peer_demand.short_prompt_ms
            medium_ms += peer_demand.medium_prompt_ms
    return ReportedDemand(now, long_ms, short_ms, medium_ms)
