"""The policy *predicted*: where a request would begin first, by the model of each server.

For an engine the choice weighs the wait for the prompts before it, the work of its own prompt there
(less what the engine holds of it), and that work once more, as everything behind it waits for it
too. So requests that share a part of their prompts meet at the engine that holds it, until the wait
there is longer than reading the part again elsewhere. Between engines that are else equal a hash of
the first part decides, the same at all instances.

A request is bound late. What an engine was sent cannot be passed any more by a more urgent request
of another instance, so less urgent ones wait here while the wait there is long; the most urgent
tier goes at once, as engines admit it first. No engine is sent more than its memory holds.

For a plain service the least loaded server is taken, one of the own data centre first while it has
room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core import engine_model, straggler
from turmericweir_core.config import Kind
from turmericweir_core.reliability import excess_failures
from turmericweir_core.request import Request
from turmericweir_core.server_table import Server
from turmericweir_core.subset import rendezvous_weight
from turmericweir_core.tiers import most_urgent

if TYPE_CHECKING:
    from turmericweir_core.state import State

# What a server of another data centre costs more: the way there and back, milliseconds.
_REMOTE_MS: Final = 3.0
_WEIGHT_RANGE: Final = float(1 << 64)
# A straggler that is stopped is given work only where all others are far behind it.
_STRAGGLER_WEIGHT_MIN: Final = 0.1


def pick(
    state: State, now: float, req: Request, tier: int, candidates: list[Server]
) -> Server | None:
    """Pick the server for a request that is to run at a tier, or None where it has to wait."""
    if not candidates:
        return None
    if candidates[0].service.kind is Kind.MODEL:
        return _pick_engine(state, now, req, tier, candidates)
    return _pick_plain(state, now, candidates)


# --- engines ---------------------------------------------------------------------------------


def _pick_engine(
    state: State, now: float, req: Request, tier: int, candidates: list[Server]
) -> Server | None:
    open_to = [server for server in candidates if _has_room(state, now, req, tier, server)]
    if not open_to:
        return None
    return min(open_to, key=lambda server: cost_ms(state, now, req, server))


def _has_room(state: State, now: float, req: Request, tier: int, server: Server) -> bool:
    book = engine_model.book_of(state, server.entry.name)
    requests = engine_model.requests_at(book, now)
    if not requests:
        # Whatever its size: an engine that has nothing else to do is as good as it gets.
        return True
    if requests >= server.slots:
        return False
    room = server.service.kv_tokens * state.options.engine_memory_share
    if room and engine_model.tokens_at(book, now) + engine_model.size_of(req) > room:
        return False
    if tier == most_urgent(state.config):
        return True
    return engine_model.waiting_ms(book, now) <= state.options.engine_wait_ms


def cost_ms(state: State, now: float, req: Request, server: Server) -> float:
    """Give what it costs to send a request to an engine, milliseconds."""
    options = state.options
    name = server.entry.name
    book = engine_model.book_of(state, name)
    own = engine_model.own_work_ms(options, book, req)
    cost = engine_model.waiting_ms(book, now) + own * (1.0 + options.work_weight)
    cost /= max(_STRAGGLER_WEIGHT_MIN, straggler.server_weight(state.stragglers, name))
    cost += options.failure_ms * excess_failures(state.reliability, now, name)
    if server.entry.data_centre != state.me.data_centre:
        cost += _REMOTE_MS
    return cost + options.hash_bias_ms * _hash_share(req, server)


def _hash_share(req: Request, server: Server) -> float:
    key = req.parts[0][0] if req.parts else req.request_id
    return 1.0 - rendezvous_weight(key, server.entry.name) / _WEIGHT_RANGE


def shortest_wait_ms(state: State, now: float, candidates: list[Server]) -> float:
    """Give the shortest wait at any engine, milliseconds; 0.0 where there is none."""
    books = (engine_model.book_of(state, server.entry.name) for server in candidates)
    return min((engine_model.waiting_ms(book, now) for book in books), default=0.0)


# --- plain services --------------------------------------------------------------------------


def _pick_plain(state: State, now: float, candidates: list[Server]) -> Server | None:
    best: Server | None = None
    best_cost = 0.0
    for server in candidates:
        name = server.entry.name
        requests = engine_model.requests_at(engine_model.book_of(state, name), now)
        if requests >= state.options.plain_fill * server.slots:
            continue
        load = requests / server.slots
        cost = load + 3.0 * excess_failures(state.reliability, now, name)
        if server.entry.data_centre != state.me.data_centre:
            cost += state.options.plain_near_share
        # Random ties keep instances that know the same from choosing alike.
        cost += state.rng.random() * 1e-3
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best
