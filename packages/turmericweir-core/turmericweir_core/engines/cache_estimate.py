"""Estimate whether an engine still holds the beginning of a prompt when the request begins there.

Running requests and cached parts share an engine's memory, and the least recently used parts are
evicted first. All instances add to it, so what an engine holds is known from the parts that entered
its cache since the part was last used (its depth) and from the tokens of all requests there.
Running requests use some of the newer parts themselves, to an unknown extent. So the part is held
if memory covers both, lost if it does not cover the larger of them, and in between it is as likely
as the share of the unknown that memory covers.

`placement.cache_tradeoff` weighs what the estimate saves against the wait.
"""

from __future__ import annotations

from turmericweir_core.base.request import Request
from turmericweir_core.engines import engine_model
from turmericweir_core.state.engine_state import EngineInfo
from turmericweir_core.state.server_table import Server


def held_probability(now: float, req: Request, server: Server, record: EngineInfo) -> float:
    """Return the probability that an engine keeps what it holds of a prompt until it begins."""
    depth_tokens = _depth_tokens(record, req)
    if depth_tokens is None:
        return 1.0
    in_use_tokens = engine_model.tokens_in_use(record, now) + _new_tokens(record, req)
    return probability(depth_tokens, in_use_tokens, server.service.kv_tokens)


def probability(depth_tokens: int, in_use_tokens: int, memory_tokens: int) -> float:
    """Return the probability that a part at a depth of an engine's cache is not evicted."""
    if not memory_tokens or depth_tokens + in_use_tokens <= memory_tokens:
        return 1.0
    uncovered_tokens = memory_tokens - max(depth_tokens, in_use_tokens)
    if uncovered_tokens <= 0:
        return 0.0
    return uncovered_tokens / min(depth_tokens, in_use_tokens)


def _depth_tokens(record: EngineInfo, req: Request) -> int | None:
    """Return the depth of the least recently used part of a prompt's held beginning."""
    depth_tokens: int | None = None
    for part, _ in req.parts:
        cached = record.cached.get(part)
        if cached is None:
            break
        depth_tokens = max(
            depth_tokens or 0, record.inserted_tokens - cached.used_at_tokens + cached.tokens
        )
    return depth_tokens


def _new_tokens(record: EngineInfo, req: Request) -> int:
    """Count the tokens that a request adds to an engine's memory before its first token."""
    return engine_model.uncached_tokens(record, req)
