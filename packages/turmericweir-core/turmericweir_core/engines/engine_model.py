"""Model each engine: its pending prefills, its cache and its speed.

An engine prefills its prompts one after the other, by rank and age, between decode steps. The time
to a request's first token is the rest of the current prefill, the work of the prompts before it,
and the work of the uncached part of its own prompt.

The model holds, for each engine,

- the prompts of this instance that it has not begun to answer, as work in milliseconds;
- the load that other instances reported (`load_updates`), since all send to the same engines;
- the parts of prompts that it was sent, least recently used first, within its memory;
- its pace: the ratio of observed to predicted time of prompts that waited little for others
  (`engine_pace`).

`Options` has the figures of a reference engine; `engine_speed` corrects them for each service, and
the pace for each server. All of it is an estimate: an error costs time, but never fails a request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from msgspec import Struct

from turmericweir_core.base.ids import ServerName, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.base.tiers import scheduling_rank
from turmericweir_core.engines import engine_pace
from turmericweir_core.messages.load_messages import SentPart
from turmericweir_core.state import engine_speed
from turmericweir_core.state.engine_speed import EngineSpeed
from turmericweir_core.state.engine_state import (
    CachedPart,
    EngineInfo,
    EngineLoad,
    PendingPrompt,
    Prefill,
)
from turmericweir_core.state.server_table import Server

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Validity of a peer's load report; reports are renewed every half second.
PEER_LOAD_VALID_S: Final = 1.6
# Share of an engine's memory that the cache may fill beside running requests.
_CACHE_SHARE: Final = 0.9
_MS: Final = 1000.0
# Minimum share of a prompt's work that is assumed to be left, also when its prefill is overdue.
_LEFT_SHARE_MIN: Final = 0.15
# Prefill time of one chunk.
_CHUNK_MS: Final = 50.0
# A part counts as being prefilled for at most this multiple of the predicted time plus a margin,
# since the request may end before its first token.
_PREFILL_TIMEOUT_FACTOR: Final = 2.0
_PREFILL_TIMEOUT_MARGIN_S: Final = 0.3


def engine_info_of(state: State, server: ServerName) -> EngineInfo:
    """Return the model record of a server."""
    record = state.engines.by_server.get(server)
    if record is None:
        record = state.engines.by_server[server] = EngineInfo()
    return record


def speed_of(state: State, target: Target) -> EngineSpeed:
    """Return the speed of the engines that serve a target."""
    speed = state.engines.speeds.get(target)
    if speed is None:
        speed = state.engines.speeds[target] = engine_speed.reference_speed(state.options)
    return speed


# --- what a request costs --------------------------------------------------------------------


def uncached_tokens(record: EngineInfo, req: Request) -> int:
    """Count the tokens of a prompt that an engine would have to prefill."""
    return max(0, req.prompt_tokens - cached_tokens(record, req))


def cached_tokens(record: EngineInfo, req: Request) -> int:
    """Count the tokens of a prompt's beginning that an engine is assumed to hold."""
    tokens = 0
    for part, part_tokens in req.parts:
        if part not in record.cached:
            break
        tokens += part_tokens
    return tokens


def pending_prefill_tokens(record: EngineInfo, now: float, req: Request) -> int:
    """Count the tokens that an engine is prefilling now for another request with the same parts.

    An engine checks its cache when it accepts a request, so a request sent before the prefill ends
    would have the part prefilled again.
    """
    tokens = 0
    for part, size in req.parts:
        if part in record.cached:
            continue
        if record.prefilling_until.get(part, now) <= now:
            break
        tokens += size
    return tokens


class Fetch(Struct, frozen=True):
    """Parts of a prompt that an engine can fetch from another one instead of prefilling them."""

    address: str
    tokens: int


class Holdings(Struct, frozen=True):
    """The engines that hold most of a prompt, where engines can fetch parts from each other."""

    # The two engines that hold most, with their tokens; the requesting engine may be one of them.
    largest_holders: list[tuple[int, Server]]


def holdings_of(state: State, req: Request, server: Server) -> Holdings:
    """Return the engines of a server's service that hold most of a prompt.

    A leaving engine still hands over what it holds.
    """
    if not server.service.fetch_ms_per_token or not req.parts:
        return Holdings([])
    first_part = req.parts[0][0]
    holders: list[tuple[int, Server]] = []
    for name, record in state.engines.by_server.items():
        if first_part not in record.cached:
            continue
        holder = state.servers.by_name.get(name)
        if holder is None or holder.service is not server.service or holder.unreachable_until > 0.0:
            continue
        holders.append((req.prompt_tokens - uncached_tokens(record, req), holder))
    holders.sort(key=lambda each: -each[0])
    largest: dict[str, list[tuple[int, Server]]] = {}
    for holding in holders:
        largest.setdefault(holding[1].entry.software_version, []).append(holding)
    return Holdings([holding for each in largest.values() for holding in each[:2]])


def best_fetch(
    state: State, now: float, req: Request, server: Server, holdings: Holdings | None = None
) -> Fetch | None:
    """Return the best fetch of parts that an engine lacks, or None if it is not worth it."""
    if holdings is None:
        holdings = holdings_of(state, req, server)
    for held_tokens, holder in holdings.largest_holders:
        if holder is server or holder.entry.software_version != server.entry.software_version:
            # What two versions keep in their caches may not fit together.
            continue
        own_tokens = req.prompt_tokens - uncached_tokens(
            engine_info_of(state, server.entry.name), req
        )
        missing_tokens = held_tokens - own_tokens
        if missing_tokens <= state.options.fetch_min_tokens:
            return None
        fetch = Fetch(holder.entry.address, missing_tokens)
        is_weighed = state.options.cache.weighs_waits
        if is_weighed and not _is_worth_its_time(state, now, req, server, fetch):
            return None
        return fetch
    return None


def _is_worth_its_time(
    state: State, now: float, req: Request, server: Server, fetch: Fetch
) -> bool:
    """Return whether a fetch takes less time than the prefill that it saves.

    The saved prefill delays the prompts that wait at the engine as well; a fetch does not.
    """
    record = engine_info_of(state, server.entry.name)
    saved_ms = own_work_ms(state, record, req) - own_work_ms(state, record, req, fetch.tokens)
    delayed_prompts = 1 + len(engine_load(record, now).pending)
    return fetch_ms(state, req.target, server, fetch) < saved_ms * delayed_prompts


def nominal_fetch_ms(server: Server, fetch: Fetch) -> float:
    """Return the time to transfer parts over an idle link, in milliseconds."""
    return fetch.tokens * server.service.fetch_ms_per_token


def fetch_ms(state: State, target: Target, server: Server, fetch: Fetch) -> float:
    """Return the time in which an engine fetches parts, in milliseconds."""
    if not state.options.cache.weighs_waits:
        return state.options.fetch_setup_ms + nominal_fetch_ms(server, fetch)
    speed = fetch_speed_of(state, target)
    return speed.first_ms + speed.factor * nominal_fetch_ms(server, fetch)


def fetch_speed_of(state: State, target: Target) -> EngineSpeed:
    """Return the speed of fetches between the engines that serve a target."""
    speed = state.engines.fetch_speeds.get(target)
    if speed is None:
        speed = engine_speed.nominal_fetch_speed(state.options)
        state.engines.fetch_speeds[target] = speed
    return speed


def prefill_ms(options: Options, tokens: int, context: int) -> float:
    """Return the time to prefill the last `tokens` of a prompt of `context` tokens, in ms."""
    pairs = tokens * (context - tokens / 2.0)
    return tokens * options.prefill_ms_per_token + pairs * options.prefill_ms_per_pair


def own_work_ms(state: State, record: EngineInfo, req: Request, saved_tokens: int = 0) -> float:
    """Return the time for which an engine would prefill a request's prompt, in milliseconds.

    Saved tokens are prefilled for another request, or fetched from another engine, by then.
    """
    factor = speed_of(state, req.target).factor * record.pace
    return _reference_engine_ms(state.options, record, req, saved_tokens) * factor


def _reference_engine_ms(
    options: Options, record: EngineInfo, req: Request, saved_tokens: int
) -> float:
    tokens = max(0, uncached_tokens(record, req) - saved_tokens)
    return prefill_ms(options, tokens, req.prompt_tokens)


def engine_load(record: EngineInfo, now: float) -> EngineLoad:
    """Return the load of all instances on a server."""
    own_counts = (len(record.prefills), len(record.running))
    load = record.load
    if (
        load is None
        or load.computed_at != now
        or load.load_version != record.load_version
        or load.local_counts != own_counts
    ):
        load = record.load = _sum_load(record, now, own_counts)
    return load


def _sum_load(record: EngineInfo, now: float, own_counts: tuple[int, int]) -> EngineLoad:
    pending = [
        PendingPrompt(each.work_ms, each.rank, each.sent_at) for each in record.prefills.values()
    ]
    requests = sum(own_counts)
    tokens = sum(each.tokens for each in record.prefills.values()) + sum(record.running.values())
    for peer in record.peers.values():
        if now - peer.last_receipt.received_at <= PEER_LOAD_VALID_S:
            pending += peer.pending
            requests += len(peer.pending) + peer.running
            tokens += peer.tokens
    current_prompts, left_ms = _current_prefills(record, pending, now) if pending else ([], 0.0)
    return EngineLoad(
        now, record.load_version, own_counts, pending, current_prompts, left_ms, requests, tokens
    )


def has_pending(record: EngineInfo, now: float) -> bool:
    """Return whether an engine has prompts that it has not begun to answer."""
    return bool(record.prefills) or any(
        peer.pending and now - peer.last_receipt.received_at <= PEER_LOAD_VALID_S
        for peer in record.peers.values()
    )


def waiting_ms(record: EngineInfo, now: float, rank: int) -> float:
    """Return the prefill time before a new prompt of a rank, in milliseconds.

    A new prompt waits for the rest of the current prefill, whatever its rank, and for all prompts
    of its own and lower ranks.
    """
    load = engine_load(record, now)
    if not load.pending:
        return 0.0
    work_before_ms = sum(
        each.work_ms for each in load.pending if each.rank <= rank and each not in load.in_prefill
    )
    return load.prefill_left_ms + work_before_ms


def _current_prefills(
    record: EngineInfo, pending: list[PendingPrompt], now: float
) -> tuple[list[PendingPrompt], float]:
    """Return the prompts that an engine is prefilling, and the time left for them.

    The current one is the first by rank and age among those present when the engine took its next
    prompt. A chunk can hold the end of one prompt and the start of the next, so near its end the
    next one counts as well.
    """
    present = [each for each in pending if each.sent_at <= record.prefilling_since] or pending
    ordered = sorted(present, key=lambda each: (each.rank, each.sent_at))
    current = ordered[0]
    started_at = max(record.prefilling_since, current.sent_at)
    # An overdue prefill is assumed to go on for some time.
    left_ms = max(current.work_ms - (now - started_at) * _MS, _LEFT_SHARE_MIN * current.work_ms)
    if left_ms > _CHUNK_MS or len(ordered) == 1:
        return [current], left_ms
    return ordered[:2], left_ms + ordered[1].work_ms


def request_count(record: EngineInfo, now: float) -> int:
    """Return the number of requests of all instances on a server."""
    return engine_load(record, now).requests


def tokens_in_use(record: EngineInfo, now: float) -> int:
    """Return the tokens of all instances' requests in an engine's memory."""
    return engine_load(record, now).tokens


def final_tokens(req: Request) -> int:
    """Return the tokens that a request takes in an engine's memory by its end."""
    return req.prompt_tokens + (req.max_tokens or 0)


# --- events ----------------------------------------------------------------------------------


def record_started(
    state: State, now: float, req: Request, attempt: Attempt, server: Server
) -> None:
    """Record a request that is being sent to a server."""
    record = engine_info_of(state, attempt.server)
    state.engines.has_unsent_load = True
    record.load_version += 1
    if not req.prompt_tokens:
        record.running[attempt.attempt_id] = 0
        return
    fetch = best_fetch(state, now, req, server)
    saved_tokens = 0 if fetch is None else fetch.tokens
    prefill_only_ms = own_work_ms(state, record, req, saved_tokens)
    own_ms = prefill_only_ms
    if fetch is not None:
        own_ms += fetch_ms(state, req.target, server, fetch)
    rank = scheduling_rank(req.service_class)
    wait_ms = waiting_ms(record, now, rank)
    if not wait_ms:
        record.prefilling_since = now
    first_ms = speed_of(state, req.target).first_ms
    predicted_first_token_ms = wait_ms + own_ms + first_ms
    has_only_own_work = not wait_ms and fetch is None
    reference_ms = (
        _reference_engine_ms(state.options, record, req, saved_tokens)
        if has_only_own_work
        else None
    )
    record.prefills[attempt.attempt_id] = Prefill(
        own_ms,
        rank,
        final_tokens(req),
        predicted_first_token_ms,
        now,
        reference_ms,
        nominal_fetch_ms(server, fetch) if fetch is not None and not wait_ms else None,
        prefill_only_ms + first_ms,
        record.pace,
    )
    prefill_until = (
        now + _PREFILL_TIMEOUT_FACTOR * predicted_first_token_ms / _MS + _PREFILL_TIMEOUT_MARGIN_S
    )
    for part, tokens in req.parts:
        if part in record.cached:
            _record_used(record, part)
            continue
        record_prefilling(record, part, prefill_until)
        sent_part = SentPart(
            attempt.server,
            part,
            tokens,
            is_prefilled=False,
            prefill_ms=round((prefill_until - now) * _MS),
        )
        state.engines.unsent_parts.append(sent_part)


def record_prefilling(record: EngineInfo, part: str, expected_until: float) -> None:
    """Record that an engine is expected to prefill a part until a time."""
    record.prefilling_until[part] = max(
        expected_until, record.prefilling_until.get(part, expected_until)
    )


def record_cached(record: EngineInfo, server: Server, part: str, tokens: int) -> None:
    """Record that an engine holds a part, and evict its least recently used parts."""
    record.prefilling_until.pop(part, None)
    previous = record.cached.pop(part, None)
    added_tokens = tokens if previous is None else tokens - previous.tokens
    record.inserted_tokens += max(0, added_tokens)
    record.cached[part] = CachedPart(tokens, record.inserted_tokens)
    record.cached_tokens += added_tokens
    cache_limit = server.service.kv_tokens * _CACHE_SHARE
    running_tokens = sum(record.running.values())
    while (
        cache_limit
        and len(record.cached) > 1
        and record.cached_tokens + running_tokens > cache_limit
    ):
        _, evicted = record.cached.popitem(last=False)
        record.cached_tokens -= evicted.tokens


def _record_used(record: EngineInfo, part: str) -> None:
    """Record that a request uses a part that an engine holds."""
    record.cached[part] = CachedPart(record.cached[part].tokens, record.inserted_tokens)
    record.cached.move_to_end(part)


def predicted_ms(state: State, attempt: Attempt) -> float | None:
    """Return the predicted time to the first token, or None where there is no prediction."""
    record = state.engines.by_server.get(attempt.server)
    prefill = None if record is None else record.prefills.get(attempt.attempt_id)
    return None if prefill is None else prefill.predicted_ms


def record_first_token(state: State, now: float, req: Request, attempt: Attempt) -> None:
    """Learn from a request's first token: its whole prompt is cached now."""
    record = engine_info_of(state, attempt.server)
    prefill = record.prefills.pop(attempt.attempt_id, None)
    if prefill is None:
        return
    state.engines.has_unsent_load = True
    record.load_version += 1
    record.running[attempt.attempt_id] = prefill.tokens
    record.prefilling_since = now
    server = state.servers.by_name.get(attempt.server)
    if server is not None:
        for part, tokens in req.parts:
            if part not in record.cached:
                sent_part = SentPart(attempt.server, part, tokens, is_prefilled=True, prefill_ms=0)
                state.engines.unsent_parts.append(sent_part)
            record_cached(record, server, part, tokens)
    took_ms = (now - prefill.sent_at) * _MS
    speed = speed_of(state, req.target)
    is_shared = state.options.pace.is_shared
    # Shared paces are relative to the reference engine. Until they are known, the time to the first
    # event is not seen in what a prompt took.
    if prefill.reference_ms is not None and engine_pace.is_known(state, record):
        work_ms = prefill.reference_ms * record.pace
        engine_speed.update_speed(speed, work_ms, took_ms, fits_factor=not is_shared)
    if prefill.nominal_fetch_ms is not None:
        fetch_took_ms = max(0.0, took_ms - prefill.rest_ms)
        engine_speed.update_speed(
            fetch_speed_of(state, req.target), prefill.nominal_fetch_ms, fetch_took_ms
        )
    if server is not None and engine_pace.shows_pace(prefill):
        if is_shared:
            predicted_ms = max(1.0, prefill.predicted_ms - speed.first_ms)
            observed_pace = (took_ms - speed.first_ms) / predicted_ms * prefill.pace
        else:
            observed_pace = took_ms / prefill.predicted_ms * record.pace
        engine_pace.observe(state, server, record, observed_pace)


def record_ended(state: State, attempt: Attempt) -> None:
    """Remove a request from its server's load."""
    record = state.engines.by_server.get(attempt.server)
    if record is None:
        return
    record.load_version += 1
    prefill = record.prefills.pop(attempt.attempt_id, None)
    if record.running.pop(attempt.attempt_id, None) is not None or prefill is not None:
        state.engines.has_unsent_load = True


def reset_engine(state: State, server: ServerName) -> None:
    """Reset the model of a server that restarted or was removed; its cache is empty."""
    record = state.engines.by_server.get(server)
    if record is None:
        return
    record.cached.clear()
    record.prefilling_until.clear()
    record.cached_tokens = 0
    record.pace = 1.0
    record.pace_count = 0
    record.load_version += 1
    record.peers.clear()
