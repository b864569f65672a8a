"""Which prompt prefixes are in the caches of which servers, as far as this instance knows.

An engine skips the prefill of a cached prefix, so the best server for a request is the one that was
last sent its longest prefix. The map is built from the requests that this instance sent.

Cache events of engines, which are delayed and may have gaps, are supported as well, but no adapter
requests them (docs/design/placement.md). An eviction removes an entry. After a gap, or after a
restart of the server, older entries are *unknown* rather than absent: they attract requests with
less weight until they are confirmed.

The number of prefixes is bounded; the least recently used ones are evicted.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.events import CacheEvents


class PrefixMap(Struct):
    """The prefixes that are assumed to be in the caches of servers."""

    # For each prefix the servers that have it, with the time when each was last confirmed.
    holders: OrderedDict[str, dict[ServerName, float]] = field(default_factory=OrderedDict)
    # When events of a server were last lost; entries confirmed before are unknown.
    gap_at: dict[ServerName, float] = field(default_factory=dict)


def note_sent(
    prefixes: PrefixMap, options: Options, now: float, server: ServerName, keys: tuple[str, ...]
) -> None:
    """Record that a server was sent a prompt with these prefixes."""
    for key in keys:
        _confirm(prefixes, options, now, server, key)


def note_cache_events(
    prefixes: PrefixMap, options: Options, now: float, events: CacheEvents
) -> None:
    """Update the map from the cache events of a server."""
    if events.has_gap:
        # The lost events may contain evictions. Full weight would attract requests to a cold cache,
        # and dropping the entries would scatter requests from a warm one.
        prefixes.gap_at[events.server] = now
    for event in events.events:
        if event.stored:
            _confirm(prefixes, options, now, events.server, event.prefix)
        else:
            _evict(prefixes, events.server, event.prefix)


def _confirm(
    prefixes: PrefixMap, options: Options, now: float, server: ServerName, key: str
) -> None:
    holders = prefixes.holders.get(key)
    if holders is None:
        holders = prefixes.holders[key] = {}
    holders[server] = now
    prefixes.holders.move_to_end(key)
    while len(prefixes.holders) > options.prefix_keep:
        prefixes.holders.popitem(last=False)


def _evict(prefixes: PrefixMap, server: ServerName, key: str) -> None:
    holders = prefixes.holders.get(key)
    if holders is None:
        return
    holders.pop(server, None)
    if not holders:
        del prefixes.holders[key]


def forget_server(prefixes: PrefixMap, now: float, server: ServerName) -> None:
    """Mark all entries of a server as unknown because it restarted."""
    prefixes.gap_at[server] = now


def match_scores(
    prefixes: PrefixMap, options: Options, keys: tuple[str, ...]
) -> dict[ServerName, float]:
    """Return the share of a prompt's prefixes that each server has, 0..1."""
    scores: dict[ServerName, float] = {}
    for depth in range(len(keys), 0, -1):
        holders = prefixes.holders.get(keys[depth - 1])
        if holders is None:
            continue
        for server, confirmed_at in holders.items():
            is_certain = confirmed_at > prefixes.gap_at.get(server, -1.0)
            weight = 1.0 if is_certain else options.affinity_unknown_weight
            score = weight * depth / len(keys)
            scores[server] = max(scores.get(server, 0.0), score)
    return scores
