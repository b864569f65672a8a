"""Refuse requests that cannot be answered in time, by the model of the engines.

The predicted wait is the work of the local requests of the same or more urgent ranks, multiplied by
the number of instances and spread over the engines of the request's kind, plus the shortest wait at
any of these. Only engines of its kind count, since the others may be idle without serving it.

The answer must end in time as well. Decoding is several times slower while an engine also prefills,
so a long answer could be cut at its deadline after it used a prefill and a slot. Where the caller
estimated the length, such a request is refused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.request import Request
from turmericweir_core.base.tiers import scheduling_rank
from turmericweir_core.engines import engine_model, engine_pools
from turmericweir_core.membership import announced_limits
from turmericweir_core.membership.subset import pause_left_s
from turmericweir_core.placement import predicted_placement
from turmericweir_core.state import queue_state, straggler
from turmericweir_core.state.server_table import Server
from turmericweir_core.streams.stream_servers import open_servers_for

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_MS: Final = 1000.0
# Share of the remaining time that the predicted wait may take.
_WAIT_SHARE_MAX: Final = 0.8


def wait_s(
    state: State,
    now: float,
    req: Request,
    pool: str,
    *,
    without: queue_state.ClassQueue | None = None,
) -> float:
    """Return how long a new request is predicted to wait for its first token, in seconds.

    The requests of one queue may be left out.
    """
    open_now = open_servers_for(state, now, req)
    if not open_now:
        return pause_left_s(state, now, req.target) or 0.0
    servers, limited = announced_limits.split_limited(state, open_now)
    if not servers:
        return _limited_wait_s(state, now, req, pool, limited)
    if servers[0].service.kind is not ServiceKind.MODEL:
        return 0.0
    service = servers[0].service
    engines = _engines_of_kind(state, now, req, servers)
    is_long = engine_pools.tolerates_long_prompts(state, req.service_class, service)
    local_work_ms = sum(
        _queued_ms(state, engines, queue)
        for queue in queue_state.pool_queues(state.queues, pool)
        if queue is not without
        and scheduling_rank(queue.service_class) <= scheduling_rank(req.service_class)
        and engine_pools.tolerates_long_prompts(state, queue.service_class, service) == is_long
    )
    work_ahead_ms = local_work_ms * max(1, state.subsets.instances) / len(engines)
    return (work_ahead_ms + predicted_placement.shortest_wait_ms(state, now, engines)) / _MS


def wait_before_class_s(state: State, now: float, req: Request, pool: str) -> float:
    """Return how long a request is predicted to wait for all work but that of its own class."""
    own_queue = next(
        (
            queue
            for queue in queue_state.target_classes(state.queues, req.target)
            if queue.service_class.name == req.service_class.name
        ),
        None,
    )
    return wait_s(state, now, req, pool, without=own_queue)


def _engines_of_kind(state: State, now: float, req: Request, servers: list[Server]) -> list[Server]:
    """Return the engines for a request's kind; those of one release are not split into kinds."""
    if req.release is not None:
        return servers
    return engine_pools.engines_for(state, now, req, servers)


def _is_limited_everywhere(state: State, now: float, req: Request) -> bool:
    servers, limited = announced_limits.split_limited(state, open_servers_for(state, now, req))
    return not servers and bool(limited)


def _limited_wait_s(
    state: State, now: float, req: Request, pool: str, servers: list[Server]
) -> float:
    """Return how long a new request waits until limited servers accept it, in seconds."""
    requests_ahead = sum(
        len(queue)
        for queue in queue_state.pool_queues(state.queues, pool)
        if scheduling_rank(queue.service_class) <= scheduling_rank(req.service_class)
    )
    return announced_limits.wait_s(state, now, servers, requests_ahead)


def _queued_ms(state: State, servers: list[Server], queue: queue_state.ClassQueue) -> float:
    record = engine_model.engine_info_of(state, servers[0].entry.name)
    return sum(
        engine_model.own_work_ms(state, record, waiting_request)
        for waiting_request in queue.waiting()
    )


def can_answer_in_time(state: State, now: float, req: Request, predicted_wait_s: float) -> bool:
    """Return whether a request with this predicted wait can still be answered."""
    if _is_limited_everywhere(state, now, req) and predicted_wait_s > req.service_class.target_s:
        # Overdue requests are served last, so it would wait to its deadline. Another instance may
        # have requests left for these servers.
        return False
    remaining_s = req.deadline - now
    return (
        predicted_wait_s <= _WAIT_SHARE_MAX * remaining_s
        and predicted_wait_s + predicted_generation_s(state, now, req) <= remaining_s
    )


def predicted_generation_s(state: State, now: float, req: Request) -> float:
    """Return the predicted duration of an answer from its first event, in seconds, or 0.0.

    Based on the caller's estimate of its length and the observed token gap at the engines that
    would run it. Applies only to the least urgent class in use: estimates may be wrong, and a more
    urgent request must not be refused in favour of less urgent ones.
    """
    servers = open_servers_for(state, now, req)
    if req.expected_tokens is None or not servers or not _is_least_urgent(state, req):
        return 0.0
    unlimited, limited = announced_limits.split_limited(state, servers)
    engines = _engines_of_kind(state, now, req, unlimited or limited)
    gap_s = straggler.recent_gap_s(state.stragglers, now, (server.entry.name for server in engines))
    if gap_s is None:
        return 0.0
    tokens = req.expected_tokens
    if req.max_tokens:
        tokens = min(tokens, req.max_tokens)
    return tokens / servers[0].service.event_tokens * gap_s


def _is_least_urgent(state: State, req: Request) -> bool:
    queues = queue_state.target_classes(state.queues, req.target)
    return all(
        scheduling_rank(queue.service_class) <= scheduling_rank(req.service_class)
        for queue in queues
    )


def retry_after(state: State, now: float, req: Request, predicted_wait_s: float) -> float:
    """Return the time after which such a request could be answered in time."""
    options = state.options
    if state.subsets.instances > 1 and pause_left_s(state, now, req.target) is not None:
        # The servers asked only this instance to pause.
        return options.retry_after_min_s
    if predicted_wait_s == float("inf"):
        # Only other instances may send to the limited servers.
        servers = open_servers_for(state, now, req)
        pause_s = announced_limits.retry_after_s(state, servers)
        return min(options.retry_after_max_s, max(options.retry_after_min_s, pause_s))
    deadline_overrun_s = (
        predicted_wait_s + predicted_generation_s(state, now, req) - (req.deadline - now)
    )
    excess_s = max(predicted_wait_s - req.service_class.target_s, deadline_overrun_s)
    return min(options.retry_after_max_s, max(options.retry_after_min_s, excess_s))


def explain(state: State, now: float, req: Request, predicted_wait_s: float) -> dict[str, object]:
    """Return the inputs of a refusal for its log line."""
    has_share = predicted_wait_s < float("inf")
    return {
        "service_class": req.service_class.name,
        "wait_ms": round(predicted_wait_s * _MS) if has_share else None,
        "answer_ms": round(predicted_generation_s(state, now, req) * _MS),
        "expected_tokens": req.expected_tokens,
        "left_ms": round((req.deadline - now) * _MS),
        "settings_version": state.settings_offset(),
    }
