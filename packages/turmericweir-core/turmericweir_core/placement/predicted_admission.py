"""Refuse what cannot be answered in time, by the model of the engines.

The wait of a new request is what waits here before it, of its own and more urgent ranks, spread
over the engines of its kind, and the shortest wait at any of them. All instances are taken to have
as much waiting as this one. Beyond its time it is refused at once, and told when the rest will be
through. Failure where all engines are counted: one of six reads long prompts in a rush of quick
answers, and each that is let in for a sixth of its wait leaves unserved after eight seconds.

An answer has to end in time as well. Beside prompts that are read without a break an engine makes
a token in 50 ms rather than 8, and a long answer is cut at its deadline, after it has taken a
prompt's reading and a slot for all that time. Where its caller estimated the length, it is refused
before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.config import Kind
from turmericweir_core.base.request import Request
from turmericweir_core.base.tiers import rank_of
from turmericweir_core.engines import engine_model, engine_pools
from turmericweir_core.membership.subset import open_servers
from turmericweir_core.placement import predicted_placement
from turmericweir_core.state import queue_state, straggler
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

_MS: Final = 1000.0
# Share of the time that is left which the predicted wait may take: what is admitted beyond it
# mostly ends unanswered, after its caller has waited.
_WAIT_SHARE: Final = 0.8


def wait_s(state: State, now: float, req: Request, pool: str) -> float:
    """Predict how long a new request waits for its first token, seconds."""
    servers = open_servers(state, now, req.target)
    if not servers or servers[0].service.kind is not Kind.MODEL:
        return 0.0
    service = servers[0].service
    engines = engine_pools.choose(state, now, req, servers)
    is_long = engine_pools.bears_chunks(state, req.service_class, service)
    work = sum(
        _queued_ms(state, engines, queue)
        for queue in queue_state.pool_queues(state.queues, pool)
        if rank_of(queue.service_class) <= rank_of(req.service_class)
        and engine_pools.bears_chunks(state, queue.service_class, service) == is_long
    )
    ahead = work * max(1, state.subsets.instances) / len(engines)
    return (ahead + predicted_placement.shortest_wait_ms(state, now, engines)) / _MS


def _queued_ms(state: State, servers: list[Server], queue: queue_state.ClassQueue) -> float:
    book = engine_model.book_of(state, servers[0].entry.name)
    return sum(engine_model.own_work_ms(state, book, each) for each in queue.waiting())


def may_wait(state: State, now: float, req: Request, wait: float) -> bool:
    """Tell whether a request with such a wait can still be answered."""
    left = req.deadline - now
    return wait <= _WAIT_SHARE * left and wait + generation_s(state, now, req) <= left


def generation_s(state: State, now: float, req: Request) -> float:
    """Predict how long an answer takes from its first event on, seconds; 0.0 where nothing tells.

    By its caller's estimate of its length, and the time between events that this instance sees at
    the engines that would run it. Only of the least urgent kind that these serve: nothing tells how
    far an estimate is off, and to turn a more urgent caller away by one while less urgent answers
    begin would serve nobody better.
    """
    servers = open_servers(state, now, req.target)
    if req.expected_tokens is None or not servers or not _is_least_urgent(state, req):
        return 0.0
    engines = engine_pools.choose(state, now, req, servers)
    gap_s = straggler.gap_seen(state.stragglers, now, (each.entry.name for each in engines))
    if gap_s is None:
        return 0.0
    tokens = req.expected_tokens
    if req.max_tokens:
        tokens = min(tokens, req.max_tokens)
    return tokens / servers[0].service.event_tokens * gap_s


def _is_least_urgent(state: State, req: Request) -> bool:
    others = queue_state.target_classes(state.queues, req.target)
    return all(rank_of(each.service_class) <= rank_of(req.service_class) for each in others)


def retry_after(state: State, now: float, req: Request, wait: float) -> float:
    """Give the time after which a request like this would be answered in time."""
    options = state.options
    overrun = wait + generation_s(state, now, req) - (req.deadline - now)
    surplus = max(wait - req.service_class.target_s, overrun)
    return min(options.retry_after_max_s, max(options.retry_after_min_s, surplus))


def explain(state: State, now: float, req: Request, wait: float) -> dict[str, object]:
    """Give what a refusal rested on, for its log line."""
    return {
        "service_class": req.service_class.name,
        "wait_ms": round(wait * _MS),
        "answer_ms": round(generation_s(state, now, req) * _MS),
        "expected_tokens": req.expected_tokens,
        "left_ms": round((req.deadline - now) * _MS),
        "settings_version": state.settings_offset(),
    }
