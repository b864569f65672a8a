"""The KV memory of one engine: a budget of tokens that three kinds of holders share.

- *Active* sequences hold their prompt and what they have generated. They are never evicted here;
  the batch preempts one when memory is short.
- *Idle* entries are what a preempted, disconnected or imported request left behind, by request id.
- *Cached* prefixes speed up later prompts.

Room is made by evicting cached prefixes first, least recently used first, and then idle entries,
oldest first. A prefix that is cached and also held by a sequence is counted twice; a real engine
shares it.
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
    """The KV of a request that does not run at the moment."""

    # Which prompt it was computed for; it is useless for any other.
    prompt_id: str
    tokens: int
    # When it is dropped; infinity for a request that still waits.
    expires: float = math.inf


class KvMemory:
    """Account for the KV tokens of one engine."""

    total: int
    # Tokens that active sequences hold.
    active: int
    # What idle requests left, oldest first.
    _idle: OrderedDict[str, IdleKv]
    _idle_tokens: int
    # Tokens by prefix id, least recently used first.
    _cached: OrderedDict[str, int]
    _cached_tokens: int
    # What changed in the cache since it was last drained.
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
        """Tokens held by anyone."""
        return self.active + self._idle_tokens + self._cached_tokens

    def can_hold(self, tokens: int) -> bool:
        """Tell whether room for this many more active tokens can be made by evicting."""
        return self.active + tokens <= self.total

    def acquire(self, tokens: int) -> bool:
        """Take tokens for an active sequence, evicting what is needed; False if short."""
        if not self.can_hold(tokens):
            return False
        if self.used + tokens > self.total:
            self._evict_cached(tokens)
            self._evict_idle(tokens)
        self.active += tokens
        return True

    def release(self, tokens: int) -> None:
        """Give back an active sequence's tokens."""
        self.active -= tokens

    def park(self, request_id: str, kv: IdleKv) -> None:
        """Turn an active sequence's tokens into an idle entry."""
        self.release(kv.tokens)
        self.drop_idle(request_id)
        self._add_idle(request_id, kv)

    def import_idle(self, request_id: str, kv: IdleKv) -> bool:
        """Add an idle entry from elsewhere; False if there is no room for it."""
        if not self.can_hold(kv.tokens):
            return False
        self.drop_idle(request_id)
        self._evict_cached(kv.tokens)
        if self.used + kv.tokens > self.total:
            return False
        self._add_idle(request_id, kv)
        return True

    def idle(self, request_id: str) -> IdleKv | None:
        """Look up an idle entry."""
        return self._idle.get(request_id)

    def drop_idle(self, request_id: str) -> IdleKv | None:
        """Take an idle entry out and return it."""
        kv = self._idle.pop(request_id, None)
        if kv is not None:
            self._idle_tokens -= kv.tokens
        return kv

    def expire(self, now: float) -> None:
        """Drop the idle entries whose time is over."""
        expired = [request_id for request_id, kv in self._idle.items() if kv.expires <= now]
        for request_id in expired:
            self.drop_idle(request_id)

    def cached_tokens(self, prefixes: Sequence[Prefix]) -> int:
        """Return how many leading tokens of a prompt the cache holds, and mark them as used."""
        found: list[Prefix] = []
        for prefix in prefixes:
            if prefix.prefix_id not in self._cached:
                break
            found.append(prefix)
        # The shortest run is touched last: evicting it first would make the longer ones useless.
        for prefix in reversed(found):
            self._cached.move_to_end(prefix.prefix_id)
        return sum(prefix.tokens for prefix in found)

    def store_prefixes(self, prefixes: Sequence[Prefix]) -> None:
        """Cache a prompt's prefixes as far as memory allows without touching idle entries."""
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
        """Return the cache's changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _add_idle(self, request_id: str, kv: IdleKv) -> None:
        self._idle[request_id] = kv
        self._idle_tokens += kv.tokens

    def _evict_cached(self, tokens: int) -> None:
        while self._cached and self.used + tokens > self.total:
            prefix_id, held = self._cached.popitem(last=False)
            self._cached_tokens -= held
            self._changes.append(CacheChange("evicted", prefix_id))

    def _evict_idle(self, tokens: int) -> None:
        while self._idle and self.used + tokens > self.total:
            _, kv = self._idle.popitem(last=False)
            self._idle_tokens -= kv.tokens
