"""The KV memory of one engine: a budget of tokens for three kinds of content.

- *Active* sequences use tokens for their prompt and their generated text. They are not evicted; the
  batch preempts one when memory is short.
- *Idle* entries belong to preempted, disconnected or imported requests, by request id.
- *Cached* prefixes shorten the prefill of later prompts.

Cached prefixes are evicted first, least recently used first, then idle entries, oldest first. A
prefix that is cached and also used by a sequence is counted twice; a real engine shares it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

from turmericweir_standins.engine_answer import Prefix

CacheChangeKind = Literal["stored", "evicted"]


@dataclass(frozen=True, slots=True)
class CacheChange:
    """One prefix that entered or left the cache."""

    kind: CacheChangeKind
    prefix_id: str


@dataclass(frozen=True, slots=True)
class IdleKv:
    """The KV of a request that does not run at present."""

    # The prompt that it was computed for; it can't be used for another one.
    prompt_id: str
    tokens: int
    # When it is dropped; infinity for a waiting request.
    expires_at: float = math.inf


class KvMemory:
    """Account for the KV tokens of one engine."""

    total: int
    # Tokens of active sequences.
    active: int
    # Idle entries by request id, oldest first.
    _idle: OrderedDict[str, IdleKv]
    _idle_tokens: int
    # Tokens by prefix id, least recently used first.
    _cached: OrderedDict[str, int]
    _cached_tokens: int
    # Changes of the cache since the last `drain_changes`.
    _changes: list[CacheChange]

    def __init__(self, total: int) -> None:
        self.total = total
        self.active = 0
        self._idle = OrderedDict()
        self._idle_tokens = 0
        self._cached = OrderedDict()
        self._cached_tokens = 0
        self._changes = []

    @property
    def used(self) -> int:
        """All tokens in use."""
        return self.active + self._idle_tokens + self._cached_tokens

    def can_hold(self, tokens: int) -> bool:
        """Return whether this many more active tokens fit after evictions."""
        return self.active + tokens <= self.total

    def acquire(self, tokens: int) -> bool:
        """Allocate tokens for an active sequence, with evictions; False if they do not fit."""
        if not self.can_hold(tokens):
            return False
        if self.used + tokens > self.total:
            self._evict_cached(tokens)
            self._evict_idle(tokens)
        self.active += tokens
        return True

    def release(self, tokens: int) -> None:
        """Free tokens of an active sequence."""
        self.active -= tokens

    def park(self, request_id: str, kv: IdleKv) -> None:
        """Turn an active sequence's tokens into an idle entry."""
        self.release(kv.tokens)
        self.drop_idle(request_id)
        self._add_idle(request_id, kv)

    def import_idle(self, request_id: str, kv: IdleKv) -> bool:
        """Add an idle entry of another engine; False if it does not fit."""
        if not self.can_hold(kv.tokens):
            return False
        self.drop_idle(request_id)
        self._evict_cached(kv.tokens)
        if self.used + kv.tokens > self.total:
            return False
        self._add_idle(request_id, kv)
        return True

    def idle(self, request_id: str) -> IdleKv | None:
        """Return an idle entry."""
        return self._idle.get(request_id)

    def drop_idle(self, request_id: str) -> IdleKv | None:
        """Remove an idle entry and return it."""
        kv = self._idle.pop(request_id, None)
        if kv is not None:
            self._idle_tokens -= kv.tokens
        return kv

    def expire(self, now: float) -> None:
        """Drop the expired idle entries."""
        expired = [request_id for request_id, kv in self._idle.items() if kv.expires_at <= now]
        for request_id in expired:
            self.drop_idle(request_id)

    def cached_tokens(self, prefixes: Sequence[Prefix]) -> int:
        """Return the number of leading tokens of a prompt in the cache; mark them as used."""
        cached_prefixes: list[Prefix] = []
        for prefix in prefixes:
            if prefix.prefix_id not in self._cached:
                break
            cached_prefixes.append(prefix)
        # The shortest prefix is marked last. Prevents its eviction before the longer ones, which
        # can't be used without it.
        for prefix in reversed(cached_prefixes):
            self._cached.move_to_end(prefix.prefix_id)
        return sum(prefix.tokens for prefix in cached_prefixes)

    def store_prefixes(self, prefixes: Sequence[Prefix]) -> None:
        """Cache a prompt's prefixes as far as they fit without evicting idle entries."""
        for prefix in prefixes:
            if prefix.prefix_id in self._cached:
                continue
            if self.active + self._idle_tokens + prefix.tokens > self.total:
                break
            self._evict_cached(prefix.tokens)
            self._cached[prefix.prefix_id] = prefix.tokens
            self._cached_tokens += prefix.tokens
            self._changes.append(CacheChange("stored", prefix.prefix_id))
        self.cached_tokens(prefixes)

    def drain_changes(self) -> list[CacheChange]:
        """Return the changes of the cache since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _add_idle(self, request_id: str, kv: IdleKv) -> None:
        self._idle[request_id] = kv
        self._idle_tokens += kv.tokens

    def _evict_cached(self, tokens: int) -> None:
        while self._cached and self.used + tokens > self.total:
            prefix_id, tokens_held = self._cached.popitem(last=False)
            self._cached_tokens -= tokens_held
            self._changes.append(CacheChange("evicted", prefix_id))

    def _evict_idle(self, tokens: int) -> None:
        while self._idle and self.used + tokens > self.total:
            _, kv = self._idle.popitem(last=False)
            self._idle_tokens -= kv.tokens
