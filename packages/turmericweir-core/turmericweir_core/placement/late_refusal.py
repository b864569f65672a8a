"""Decide whether a request that cannot be in time is served late or refused.

A request is in time if it begins within the start target of its class. Engines serve what is more
urgent first, and within a rank what can still be in time first. So a request that cannot be in time
takes no room from one that can: it begins in the room that the others leave. Where that comes
before its deadline it is kept, as a late answer is worth more to its caller than none. Otherwise it
is refused at once, before any server was offered it.

The room is that of all instances: the work that waits for the engines of a kind, as reported by all
(`waiting_reports`), and the demand of the last seconds, which is assumed to last a little longer.
What is more urgent counts as served first, up to the share that is assured to the class. So no
class is refused for want of room that a less urgent one gets.

`Retry-After` is the time at which a new request would be in time again. Callers that are refused
one after the other return one after the other, no faster than room comes for them.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import Target
from turmericweir_core.base.request import Request
from turmericweir_core.base.tiers import scheduling_rank
from turmericweir_core.engines import engine_model, engine_pools
from turmericweir_core.membership import announced_limits
from turmericweir_core.messages.effects import Count, Effect
from turmericweir_core.placement import predicted_admission, predicted_placement
from turmericweir_core.queueing import waiting_reports
from turmericweir_core.state import queue_state
from turmericweir_core.streams.stream_servers import open_servers_for

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_MS: Final = 1000.0
# Late requests of one class that are checked at a tick. Bounds the cost of a tick.
_CHECKED_REQUESTS_MAX: Final = 64


class Room(Struct, frozen=True):
    """The engines for requests of one rank and kind, and the work that all instances have for them.

    Work is in milliseconds of an engine.
    """

    engines: int
    # Wait at the engine that has the least to do.
    shortest_wait_ms: float
    # Waiting work that goes before a new request, and late work of the same rank, which does not.
    ahead_ms: float
    late_ms: float
    # Demand of more urgent requests, and of those of the same rank, per second.
    upper_ms_s: float
    own_ms_s: float
    # Share of the engines' time that the class gets whatever is more urgent.
    assured_share: float
    # How long the demand is assumed to last.
    demand_lasts_s: float


class Fate(enum.Enum):
    """What becomes of a request."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"


class Need(Struct, frozen=True):
    """What a request needs, in seconds."""

    # From its start at an engine to its first event, and from there to its end.
    begin_s: float
    answer_s: float
    # Until its start target, and until its deadline.
    target_left_s: float
    deadline_left_s: float


# --- the decision ----------------------------------------------------------------------------


def in_time_wait_s(room: Room) -> float:
    """Return how long a new request waits for an engine among those that can be in time."""
    return _drain_s(room, _at_engines_ms(room) + room.ahead_ms, room.upper_ms_s)


def begin_wait_s(room: Room) -> float:
    """Return how long a request waits at an engine if it is sent there now."""
    return _drain_s(room, _at_engines_ms(room), room.upper_ms_s)


def late_wait_s(room: Room, late_ahead_ms: float) -> float:
    """Return how long a late request waits for an engine, behind all that can be in time."""
    work_ms = _at_engines_ms(room) + room.ahead_ms + late_ahead_ms
    return _drain_s(room, work_ms, room.upper_ms_s + room.own_ms_s)


def _at_engines_ms(room: Room) -> float:
    return room.shortest_wait_ms * room.engines


def _rate_beside(room: Room, demand_ms_s: float) -> float:
    """Return the work per second that engines have room for beside a demand."""
    total_ms_s = _MS * room.engines
    return max(total_ms_s - demand_ms_s, room.assured_share * total_ms_s, 0.0)


def _drain_s(room: Room, work_ms: float, demand_ms_s: float) -> float:
    """Return the time in which work drains beside a demand while it lasts, and after it."""
    rate_ms_s = _rate_beside(room, demand_ms_s)
    if work_ms <= rate_ms_s * room.demand_lasts_s:
        return work_ms / rate_ms_s if work_ms else 0.0
    left_ms = work_ms - rate_ms_s * room.demand_lasts_s
    return room.demand_lasts_s + left_ms / (_MS * room.engines)


def decide(room: Room, need: Need, late_ahead_ms: float | None = None) -> Fate:
    """Decide what becomes of a request; one that is already late knows the late work before it."""
    if late_ahead_ms is None:
        if in_time_wait_s(room) + need.begin_s <= need.target_left_s:
            return Fate.IN_TIME
        late_ahead_ms = room.late_ms
    begin_s = late_wait_s(room, late_ahead_ms) + need.begin_s
    return Fate.LATE if begin_s + need.answer_s <= need.deadline_left_s else Fate.REFUSED


def room_comes_in_s(room: Room, need: Need) -> float:
    """Return the time after which a new request would be in time."""
    excess_s = in_time_wait_s(room) + need.begin_s - need.target_left_s
    return max(0.0, excess_s)


# --- inputs ----------------------------------------------------------------------------------


def room_for(state: State, now: float, req: Request) -> Room | None:
    """Return the room for requests of a request's rank and kind, or None if it is not known."""
    if not state.options.late.is_enabled or req.kind is not ServiceKind.MODEL:
        return None
    if req.release is not None:
        return None
    engines, _ = announced_limits.split_limited(state, open_servers_for(state, now, req))
    if not engines:
        return None
    is_long = engine_pools.long_predicate(state, req.target)(req.service_class)
    of_kind = engine_pools.engines_by_tolerance(state, now, req.target, engines, is_long=is_long)
    rank = scheduling_rank(req.service_class)
    ahead_ms, late_ms = _waiting_ms(state, now, req.target, rank, is_long=is_long)
    upper_ms_s = engine_pools.demand_up_to_ms_s(state, now, req.target, rank - 1, is_long=is_long)
    all_ms_s = engine_pools.demand_up_to_ms_s(state, now, req.target, rank, is_long=is_long)
    return Room(
        engines=len(of_kind),
        shortest_wait_ms=predicted_placement.shortest_wait_ms(state, now, of_kind, rank),
        ahead_ms=ahead_ms,
        late_ms=late_ms,
        upper_ms_s=upper_ms_s,
        own_ms_s=all_ms_s - upper_ms_s,
        assured_share=req.service_class.assured_share,
        demand_lasts_s=state.options.late.demand_lasts_s,
    )


def _waiting_ms(
    state: State, now: float, target: Target, rank: int, *, is_long: bool
) -> tuple[float, float]:
    """Return the work that goes before a new request of a rank, and the late work of that rank."""
    rows = waiting_reports.own_rows(state, target, engine_pools.long_predicate(state, target))
    rows += waiting_reports.reported_rows(state, now, target)
    of_kind = [row for row in rows if row.is_long == is_long]
    upper_ms = sum(row.in_time_ms + row.late_ms for row in of_kind if row.rank < rank)
    own_rows = [row for row in of_kind if row.rank == rank]
    return upper_ms + sum(row.in_time_ms for row in own_rows), sum(row.late_ms for row in own_rows)


def need_of(state: State, now: float, req: Request) -> Need:
    """Return what a request needs."""
    return Need(
        begin_s=begin_s(state, req),
        answer_s=predicted_admission.predicted_generation_s(state, now, req),
        target_left_s=req.arrived_at + req.service_class.target_s - now,
        deadline_left_s=req.deadline - now,
    )


def begin_s(state: State, req: Request) -> float:
    """Return the time from a request's start at an engine to its first event, in seconds."""
    return (req.prefill_work_ms + engine_model.speed_of(state, req.target).first_ms) / _MS


# --- order -----------------------------------------------------------------------------------


def mark_late(state: State, now: float, pool: str) -> None:
    """Move requests that would begin too late at any engine behind those that can be in time."""
    if not state.options.late.is_enabled:
        return
    for queue in list(queue_state.pool_queues(state.queues, pool)):
        first = next(iter(queue.on_time.values()), None)
        room = None if first is None else room_for(state, now, first)
        while room is not None and first is not None and first.first_token_at is None:
            need = need_of(state, now, first)
            if begin_wait_s(room) + need.begin_s <= need.target_left_s:
                break
            queue_state.mark_overdue(state.queues, first)
            first = next(iter(queue.on_time.values()), None)


# --- refusals --------------------------------------------------------------------------------


class LateRequest(Struct, frozen=True):
    """A request that is refused because no engine can answer it by its deadline."""

    request: Request
    retry_after_s: float
    # For the log.
    details: dict[str, object]


def refusal_of_new(state: State, now: float, req: Request) -> LateRequest | None:
    """Return the refusal of a new request, or None if it is served."""
    room = room_for(state, now, req)
    if room is None:
        return None
    need = need_of(state, now, req)
    if decide(room, need) is not Fate.REFUSED:
        return None
    return _refuse(state, now, req, room, need)


def refusals_of_waiting(state: State, now: float, pool: str) -> list[LateRequest]:
    """Return the refusals of late requests that wait and will expire."""
    if not state.options.late.is_enabled:
        return []
    refused: list[LateRequest] = []
    for queue in queue_state.pool_queues(state.queues, pool):
        refused += _refusals_of_class(state, now, queue)
    return refused


def _refusals_of_class(
    state: State, now: float, queue: queue_state.ClassQueue
) -> list[LateRequest]:
    refused: list[LateRequest] = []
    room: Room | None = None
    ahead_ms = own_ms = 0.0
    for number, req in enumerate(queue.overdue_requests.values()):
        if number >= _CHECKED_REQUESTS_MAX:
            break
        if room is None:
            room = room_for(state, now, req)
            if room is None:
                return []
            own_ms = queue.overdue_work_ms
        need = need_of(state, now, req)
        # Late requests elsewhere are assumed to take their turns among those here.
        late_ahead_ms = ahead_ms * max(1.0, room.late_ms / max(1.0, own_ms))
        can_refuse = not req.may_have_run and req.first_token_at is None
        if can_refuse and decide(room, need, late_ahead_ms) is Fate.REFUSED:
            refused.append(_refuse(state, now, req, room, need))
        else:
            ahead_ms += req.work_ms
    return refused


def _refuse(state: State, now: float, req: Request, room: Room, need: Need) -> LateRequest:
    pause_s = _return_in_s(state, now, req, room, need)
    return LateRequest(req, pause_s, explain(req, room, need))


def _return_in_s(state: State, now: float, req: Request, room: Room, need: Need) -> float:
    """Return when the caller returns: when room comes, and after those refused before it."""
    options = state.options
    is_long = engine_pools.long_predicate(state, req.target)(req.service_class)
    key = (req.target, scheduling_rank(req.service_class), is_long)
    share_min_ms_s = options.late.return_share_min * _MS * room.engines
    rate_ms_s = max(_rate_beside(room, room.upper_ms_s + room.own_ms_s), share_min_ms_s)
    own_rate_ms_s = rate_ms_s / max(1, state.subsets.instances)
    until = state.waiting.returns_until
    returns_at = max(now + room_comes_in_s(room, need), until.get(key, now))
    latest_s = options.late.return_by_share * need.deadline_left_s
    pause_s = returns_at - now
    if pause_s > latest_s:
        # Later returns would not be served, so these are spread over the time that is left.
        pause_s = latest_s * state.rng.uniform(0.5, 1.0)
    else:
        until[key] = returns_at + req.work_ms / own_rate_ms_s
    return min(options.retry_after_max_s, max(options.retry_after_min_s, pause_s))


def count(req: Request) -> Effect:
    """Return the count of a refusal."""
    return Count(f"late.refused.{req.service_class.name}")


def explain(req: Request, room: Room, need: Need) -> dict[str, object]:
    """Return the inputs of a refusal for its log line."""
    return {
        "service_class": req.service_class.name,
        "reason": "late",
        "engines": room.engines,
        "wait_ms": round(in_time_wait_s(room) * _MS),
        "late_wait_ms": round(late_wait_s(room, room.late_ms) * _MS),
        "ahead_ms": round(room.ahead_ms),
        "late_ms": round(room.late_ms),
        "upper_ms_s": round(room.upper_ms_s),
        "own_ms_s": round(room.own_ms_s),
        "target_left_ms": round(need.target_left_s * _MS),
        "left_ms": round(need.deadline_left_s * _MS),
    }
