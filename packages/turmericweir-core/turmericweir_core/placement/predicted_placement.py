"""The predicted policy: send a request to the server where it is predicted to begin first.

For an engine, the time until a request begins is the wait for earlier prompts plus the work of the
uncached part of its own prompt. Among engines where it begins in time, the one with the least
uncached work is preferred; where none is in time, the one where it begins first. Requests with a
common prefix thus go to the engine that holds it while that delays none of them. A prefix that no
engine is known to hold has a home engine by rendezvous hashing, the same for all instances.

A request waits here while its best engine prefills one of its parts for another request, which
prevents a second prefill of the part. No engine is sent more than its memory holds.

For a plain service the least loaded server is taken, preferably in the local data centre.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.request import Request, WaitReason
from turmericweir_core.base.tiers import scheduling_rank
from turmericweir_core.engines import cache_estimate, engine_model, engine_pools
from turmericweir_core.membership import announced_limits
from turmericweir_core.membership.subset import open_servers, rendezvous_weight
from turmericweir_core.placement import cache_tradeoff
from turmericweir_core.placement.cache_tradeoff import Offer
from turmericweir_core.queueing import fair_share, urgent_first
from turmericweir_core.state import queue_state, straggler
from turmericweir_core.state.reliability import excess_failures
from turmericweir_core.state.server_table import Server
from turmericweir_core.streams.stream_servers import open_servers_for

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Added cost of a server in another data centre: the round trip.
_REMOTE_MS: Final = 3.0
_MS: Final = 1000.0
# Weight of the prefill work for a request that begins in time on no engine.
_NOT_IN_TIME_WORK_WEIGHT: Final = 3.0
# Differences in uncached tokens up to this size are ignored.
_NEGLIGIBLE_TOKENS: Final = 512.0
# Added prefill cost of engines in other data centres. Prevents running an answer remotely, where a
# partition would cut it, only to reuse a cached part of a few hundred tokens.
_REMOTE_PREFILL_MS: Final = 12.0
# Added cost of an engine without a free slot, compared to an empty one.
_CONGESTION_MS: Final = 100.0
# Share of its start target after which a request may use engines of other kinds. Prevents spilling
# in a short burst.
_SPILL_WAIT_SHARE: Final = 0.5
# Higher than all ranks.
_LAST_RANK: Final = 1_000_000
# Probability that the home engine holds a part that no instance reported.
_HOME_CACHED_PROBABILITY: Final = 0.5
# Time after which a limited engine takes requests of any kind.
_IDLE_LIMIT_S: Final = 1.0
# Lower bound of a straggler's weight, which keeps it usable if all others are far behind.
_STRAGGLER_WEIGHT_MIN: Final = 0.1


def pick(
    state: State, now: float, req: Request, tier: int, candidates: list[Server]
) -> Server | None:
    """Return the server for a request that is to run at a tier, or None where it has to wait."""
    if not candidates:
        req.wait_reason = WaitReason.NO_SERVER
        return None
    if candidates[0].service.kind is ServiceKind.MODEL:
        return _pick_engine(state, now, req, tier, candidates)
    server = _pick_plain(state, now, candidates)
    if server is None:
        req.wait_reason = WaitReason.NO_ROOM
    return server


# --- engines ---------------------------------------------------------------------------------


class _EngineChoice(Struct, frozen=True):
    """The predicted effect of sending a request to an engine."""

    server: Server
    # Predicted time until the request begins at the engine.
    begin_ms: float
    # Components of `begin_ms`: the wait for other prompts, and the work of its own.
    wait_ms: float
    own_work_ms: float
    # Tokens that the engine would prefill, and fetch from another engine.
    uncached_tokens: float
    fetched_tokens: float
    # It has to wait here: its parts are being prefilled for another request, or the engine is full.
    is_held_back: bool
    # Its parts are being prefilled there for another request.
    is_prefilling: bool
    # What is weighed among engines where it begins in time.
    offer: Offer


def _pick_engine(
    state: State, now: float, req: Request, tier: int, candidates: list[Server]
) -> Server | None:
    urgent_counts = urgent_first.count_more_urgent(
        state, now, req, engine_pools.long_predicate(state, req.target)
    )
    unlimited, limited = announced_limits.split_limited(state, candidates)
    if req.release is not None:
        return _pick_bound_engine(state, now, req, candidates, urgent_counts)
    if _must_wait_for_urgent(state, now, req, unlimited, urgent_counts):
        req.wait_reason = WaitReason.URGENT
        return None
    if not any(_has_place(state, now, req, server) for server in candidates):
        req.wait_reason = WaitReason.NO_ROOM
        return None
    if not unlimited:
        return _server_or_wait(req, _best_engine(state, now, req, limited))
    # Engines with a limit do little of the work, so they are not part of the split into kinds.
    # Prevents the split from changing with each request that their limits allow.
    engines_of_kind = engine_pools.engines_for(state, now, req, unlimited)
    if _must_leave_room(state, now, req, engines_of_kind):
        req.wait_reason = WaitReason.SHARE
        return None
    limited_of_kind = [each for each in limited if _takes_kind(state, now, req, each)]
    choice = _best_engine(state, now, req, [*engines_of_kind, *limited_of_kind])
    if _is_held_back(choice) and limited:
        choice = _best_engine(state, now, req, limited)
    can_spill = not urgent_counts[True] and _can_spill(state, now, req, engines_of_kind)
    if can_spill and _is_held_back(choice):
        other_engines = engine_pools.spill_engines(state, now, req, unlimited)
        choice = _best_engine(state, now, req, other_engines) if other_engines else choice
    return _server_or_wait(req, choice)


def _pick_bound_engine(
    state: State,
    now: float,
    req: Request,
    candidates: list[Server],
    urgent_counts: Counter[bool],
) -> Server | None:
    """Choose among the engines of a release, preferably one of the request's kind.

    The split into kinds is that of all engines; those of one release are not split again.
    """
    unlimited, _ = announced_limits.split_limited(state, open_servers(state, now, req.target))
    if _must_wait_for_urgent(state, now, req, unlimited, urgent_counts):
        req.wait_reason = WaitReason.URGENT
        return None
    names_of_kind = {
        each.entry.name for each in engine_pools.engines_for(state, now, req, unlimited)
    }
    engines_of_kind = [each for each in candidates if each.entry.name in names_of_kind]
    choice = _best_engine(state, now, req, engines_of_kind or candidates)
    if _is_held_back(choice):
        choice = _best_engine(state, now, req, candidates)
    return _server_or_wait(req, choice)


def _must_wait_for_urgent(
    state: State, now: float, req: Request, engines: list[Server], urgent_counts: Counter[bool]
) -> bool:
    """Return whether a request would take room that more urgent ones need."""
    if not engines:
        return bool(urgent_counts)
    if engine_pools.tolerates_long_prompts(state, req.service_class, engines[0].service):
        return bool(urgent_counts) or _is_room_needed(state, now, req, engines)
    # A single engine serves prompts of all kinds.
    is_shared = len(engines) == 1
    competing_count = urgent_counts[False] + (urgent_counts[True] if is_shared else 0)
    if not competing_count:
        return False
    engines_of_kind = engine_pools.engines_for(state, now, req, engines)
    return _free_slots(state, now, req, engines_of_kind) <= competing_count


def _must_leave_room(state: State, now: float, req: Request, engines: list[Server]) -> bool:
    """Return whether customers that were served less need the free slots at other instances."""
    if not state.options.fair_share.is_enabled:
        return False
    needed = fair_share.count_ahead(state, now, req)
    slots = sum(each.slots for each in engines)
    if slots >= state.options.fair_share.headroom_slots_min and fair_share.must_leave_headroom(
        state, now, req, _MS * len(engines)
    ):
        needed += 1
    return needed > 0 and _free_slots(state, now, req, engines) <= needed


def _is_room_needed(state: State, now: float, req: Request, engines: list[Server]) -> bool:
    """Return whether more urgent requests will fill the engines, though none is overdue yet."""
    if urgent_first.is_served_by_share(state, req):
        return False
    return engine_pools.is_filled_by_more_urgent(state, now, req, engines)


def _free_slots(state: State, now: float, req: Request, engines: list[Server]) -> int:
    """Count the free slots of the engines that also have memory for a request."""
    total = 0
    for engine in engines:
        record = engine_model.engine_info_of(state, engine.entry.name)
        if _has_memory(state, now, req, engine):
            total += max(0, engine.slots - engine_model.request_count(record, now))
    return total


def _server_or_wait(req: Request, choice: _EngineChoice | None) -> Server | None:
    """Return the chosen engine, or None and record why the request has to wait."""
    if choice is not None and not choice.is_held_back:
        return choice.server
    is_prefilling = choice is not None and choice.is_prefilling
    req.wait_reason = WaitReason.PREFILLING if is_prefilling else WaitReason.NO_ROOM
    return None


def _is_held_back(choice: _EngineChoice | None) -> bool:
    return choice is None or choice.is_held_back


def _takes_kind(state: State, now: float, req: Request, engine: Server) -> bool:
    """Return whether a limited engine takes a request's kind of prompts.

    Half of these engines, by hash, prefill long prompts. What no request of its kind uses for some
    time goes to any other, so that answers keep showing whether the limit still holds.
    """
    takes_long = rendezvous_weight(req.target, engine.entry.name) % 2 == 0
    is_long = engine_pools.tolerates_long_prompts(state, req.service_class, engine.service)
    return takes_long == is_long or announced_limits.idle_s(state, now, engine) >= _IDLE_LIMIT_S


def _can_spill(state: State, now: float, req: Request, engines_of_kind: list[Server]) -> bool:
    """Return whether a request may go to engines reserved for long prompts.

    Prevents decode requests from expiring where too few decode engines are left; on prefill engines
    their token gaps exceed the target.
    """
    if engine_pools.tolerates_long_prompts(state, req.service_class, engines_of_kind[0].service):
        return False
    return now - req.arrived_at >= _SPILL_WAIT_SHARE * req.service_class.target_s


def _best_engine(
    state: State, now: float, req: Request, candidates: list[Server]
) -> _EngineChoice | None:
    """Return the choice among engines; None if none can take the request or is prefilling for it.

    Avoids the prediction for each engine and each waiting request while all engines are full.
    """
    if not any(_is_prefilling(state, now, req, each) for each in candidates) and not any(
        _can_take(state, now, req, each) for each in candidates
    ):
        return None
    holdings = engine_model.holdings_of(state, req, candidates[0])
    choices = [_evaluate(state, now, req, server, holdings) for server in candidates]
    home = max(candidates, key=lambda server: rendezvous_weight(_hash_key(req), server.entry.name))
    left_ms = (
        req.service_class.target_s * state.options.in_time_share - (now - req.arrived_at)
    ) * _MS
    least_uncached_tokens = min(choice.uncached_tokens for choice in choices)
    spare_ms = state.options.spare_wait_share * req.service_class.target_s * _MS
    weighs_waits = state.options.cache.weighs_waits
    prompts_behind = _mean_pending(state, now, candidates) if weighs_waits else None

    def rank(choice: _EngineChoice) -> tuple[bool, float, float]:
        is_repeated_prefill = choice.uncached_tokens > least_uncached_tokens + _NEGLIGIBLE_TOKENS
        is_in_time = choice.begin_ms <= left_ms
        is_good = is_in_time and (not is_repeated_prefill or choice.wait_ms <= spare_ms)
        return _choice_order(choice, is_good, home, prompts_behind)

    return min(choices, key=rank)


def _is_prefilling(state: State, now: float, req: Request, server: Server) -> bool:
    """Return whether an engine is prefilling parts of a request for another one."""
    record = engine_model.engine_info_of(state, server.entry.name)
    return bool(record.prefilling_until) and (
        engine_model.pending_prefill_tokens(record, now, req) > 0
    )


def _mean_pending(state: State, now: float, engines: list[Server]) -> float:
    """Return the number of prompts that wait for their first token, for each engine."""
    pending = sum(
        len(engine_model.engine_load(engine_model.engine_info_of(state, name), now).pending)
        for name in (engine.entry.name for engine in engines)
    )
    return pending / len(engines)


def _evaluate(
    state: State, now: float, req: Request, server: Server, holdings: engine_model.Holdings
) -> _EngineChoice:
    """Predict the effect of sending a request to an engine."""
    options = state.options
    record = engine_model.engine_info_of(state, server.entry.name)
    saved_tokens = engine_model.pending_prefill_tokens(record, now, req)
    is_prefilling = saved_tokens > 0
    fetched_tokens = 0
    fetch_ms = 0.0
    if not is_prefilling:
        fetch = engine_model.best_fetch(state, now, req, server, holdings)
        if fetch is not None:
            saved_tokens = fetched_tokens = fetch.tokens
            fetch_ms = engine_model.fetch_ms(state, req.target, server, fetch)
    held_ms = engine_model.own_work_ms(state, record, req, saved_tokens)
    lost_ms, probability = held_ms, 1.0
    if options.cache.weighs_waits:
        lost_tokens = saved_tokens - engine_model.cached_tokens(record, req)
        lost_ms = engine_model.own_work_ms(state, record, req, lost_tokens)
        probability = cache_estimate.held_probability(now, req, server, record)
    wait_ms = engine_model.waiting_ms(record, now, scheduling_rank(req.service_class))
    is_remote = server.entry.data_centre != state.me.data_centre
    offer = Offer(
        wait_ms=wait_ms + fetch_ms,
        work_if_held_ms=held_ms,
        work_if_lost_ms=lost_ms,
        held_probability=probability,
        congestion_ms=_congestion_ms(engine_model.request_count(record, now), server.slots),
        distance_ms=_REMOTE_PREFILL_MS * is_remote,
    )
    work_ms = cache_tradeoff.expected_work_ms(offer) if options.cache.weighs_waits else held_ms
    own_ms = work_ms + fetch_ms
    return _EngineChoice(
        server=server,
        begin_ms=_cost_ms(state, now, server, wait_ms + own_ms),
        wait_ms=wait_ms,
        own_work_ms=own_ms,
        uncached_tokens=float(max(0, engine_model.uncached_tokens(record, req) - saved_tokens)),
        fetched_tokens=float(fetched_tokens),
        is_held_back=is_prefilling or not _can_take(state, now, req, server),
        is_prefilling=is_prefilling,
        offer=offer,
    )


def _congestion_ms(requests: int, slots: int) -> float:
    """Return the cost of the requests at an engine for the next one, in milliseconds.

    Prevents a common short prefix from filling one engine while others are nearly empty.
    """
    return _CONGESTION_MS * (requests / max(1, slots)) ** 2


def _choice_order(
    choice: _EngineChoice, is_good: bool, home: Server, prompts_behind: float | None
) -> tuple[bool, float, float]:
    """Return the sort key of an engine: by uncached work if in time, else by begin time too.

    With the number of prompts that wait at an engine, uncached work is weighed against waits.

    Only engines with time to spare prefill a part again. Prevents all engines from prefilling the
    same parts under overload.
    """
    # The home engine may hold a part from before this process started.
    uncached_share = 1.0 - _HOME_CACHED_PROBABILITY if choice.server is home else 1.0
    if is_good and prompts_behind is not None:
        saved_ms = choice.own_work_ms * (1.0 - uncached_share)
        return (False, cache_tradeoff.cost_ms(choice.offer, prompts_behind) - saved_ms, 0.0)
    cost_ms = choice.own_work_ms * uncached_share + choice.offer.congestion_ms
    if is_good:
        return (False, cost_ms + choice.offer.distance_ms, choice.begin_ms)
    return (True, choice.begin_ms + _NOT_IN_TIME_WORK_WEIGHT * cost_ms, 0.0)


def _can_take(state: State, now: float, req: Request, server: Server) -> bool:
    """Return whether an engine can take a request now."""
    if not _has_place(state, now, req, server):
        return False
    record = engine_model.engine_info_of(state, server.entry.name)
    return not engine_model.request_count(record, now) or _has_memory(state, now, req, server)


def _has_place(state: State, now: float, req: Request, server: Server) -> bool:
    """Return whether an engine has a free slot and its prompts wait no longer than allowed.

    Checked for all engines before any is evaluated, which costs several times as much.
    """
    record = engine_model.engine_info_of(state, server.entry.name)
    requests = engine_model.request_count(record, now)
    if not requests:
        # An idle engine takes a request of any size.
        return True
    if requests >= server.slots:
        return False
    wait_ms = engine_model.waiting_ms(record, now, scheduling_rank(req.service_class))
    return wait_ms <= _wait_limit_s(state, now, req, server) * _MS


def _has_memory(state: State, now: float, req: Request, server: Server) -> bool:
    """Return whether an engine's memory holds a request beside those that it has."""
    memory_tokens = server.service.kv_tokens * state.options.engine_memory_share
    if not memory_tokens:
        return True
    record = engine_model.engine_info_of(state, server.entry.name)
    used_tokens = engine_model.tokens_in_use(record, now)
    return used_tokens + engine_model.final_tokens(req) <= memory_tokens


def _wait_limit_s(state: State, now: float, req: Request, server: Server) -> float:
    """Return how long a request may wait at an engine before it begins there, in seconds.

    For a decode request the limit grows with the time it has waited here. Prevents long prompts,
    which may wait longer, from taking every place at a busy engine until decode requests expire.
    """
    limit_s = state.options.engine_wait_share * req.service_class.target_s
    if _must_begin_at_once(state, req):
        return state.options.spare_wait_share * req.service_class.target_s
    if engine_pools.tolerates_long_prompts(state, req.service_class, server.service):
        return limit_s
    return limit_s + now - req.arrived_at


def _must_begin_at_once(state: State, req: Request) -> bool:
    """Return whether a request is late, so that those in time that come later must not wait for it.

    Only of the least urgent class. Prevents late requests of the others from being held back from
    engines that take less urgent ones.
    """
    if not state.options.late.is_enabled or not queue_state.is_overdue(state.queues, req):
        return False
    rank = scheduling_rank(req.service_class)
    queues = queue_state.target_classes(state.queues, req.target)
    return all(scheduling_rank(each.service_class) <= rank for each in queues)


def _cost_ms(state: State, now: float, server: Server, begin_ms: float) -> float:
    """Return the time until a request begins at an engine plus the cost of its failures, in ms."""
    name = server.entry.name
    cost_ms = begin_ms / max(_STRAGGLER_WEIGHT_MIN, straggler.server_weight(state.stragglers, name))
    cost_ms += state.options.failure_ms * excess_failures(state.reliability, now, name)
    if server.entry.data_centre != state.me.data_centre:
        cost_ms += _REMOTE_MS
    return cost_ms


def _hash_key(req: Request) -> str:
    return req.parts[0][0] if req.parts else req.request_id


def explain(state: State, now: float, req: Request, server: Server) -> dict[str, object]:
    """Return the inputs of a placement for its log line."""
    name = server.entry.name
    record = engine_model.engine_info_of(state, name)
    update_ages_s = [now - each.last_receipt.received_at for each in record.peers.values()]
    fields: dict[str, object] = {
        "requests_there": engine_model.request_count(record, now),
        "peers_told": len(update_ages_s),
        "oldest_news_ms": round(max(update_ages_s, default=0.0) * _MS),
        "excess_failures": round(excess_failures(state.reliability, now, name), 3),
        "waited_ms": round((now - req.arrived_at) * _MS),
        "waited_for": req.wait_reason,
        "left_ms": round((req.deadline - now) * _MS),
        "settings_version": state.settings_offset(),
    }
    if server.service.kind is ServiceKind.MODEL:
        read_tokens = engine_model.uncached_tokens(record, req)
        fields["read_tokens"] = read_tokens
        others_read = (
            engine_model.uncached_tokens(engine_model.engine_info_of(state, each.entry.name), req)
            for each in open_servers_for(state, now, req)
        )
        # An isolated run is placed by another instance, which may know of open servers.
        fields["least_read"] = min(others_read, default=read_tokens)
        fields["rank"] = scheduling_rank(req.service_class)
        fields["prompt_tokens"] = req.prompt_tokens
        fields["wait_ms"] = round(
            engine_model.waiting_ms(record, now, scheduling_rank(req.service_class))
        )
        fields["reading_engines"] = engine_pools.prefill_engine_count(state, req.target)
        fields["reading"] = engine_pools.prompt_kind(state, req, server.service).value
        holdings = engine_model.holdings_of(state, req, server)
        choice = _evaluate(state, now, req, server, holdings)
        fields["begin_ms"] = round(choice.begin_ms)
        fields["fetch_tokens"] = round(choice.fetched_tokens)
        fields["held_probability"] = round(choice.offer.held_probability, 2)
        fields["work_ms"] = round(choice.own_work_ms)
        fields["work_if_lost_ms"] = round(choice.offer.work_if_lost_ms)
        fields["pace"] = round(record.pace, 2)
        fields["tokens_there"] = engine_model.tokens_in_use(record, now)
    return fields


def shortest_wait_ms(
    state: State, now: float, candidates: list[Server], rank: int = _LAST_RANK
) -> float:
    """Return the shortest wait at any engine in milliseconds; 0.0 where there is none."""
    records = (engine_model.engine_info_of(state, server.entry.name) for server in candidates)
    return min((engine_model.waiting_ms(record, now, rank) for record in records), default=0.0)


# --- plain services --------------------------------------------------------------------------


def _pick_plain(state: State, now: float, candidates: list[Server]) -> Server | None:
    best: Server | None = None
    best_cost = 0.0
    for server in candidates:
        name = server.entry.name
        requests = engine_model.request_count(engine_model.engine_info_of(state, name), now)
        if requests >= state.options.plain_fill * server.slots:
            continue
        load = requests / server.slots
        cost = load + 3.0 * excess_failures(state.reliability, now, name)
        if server.entry.data_centre != state.me.data_centre:
            cost += state.options.plain_near_share
        # Random ties keep instances with the same state from choosing the same server.
        cost += state.rng.random() * 1e-3
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best
