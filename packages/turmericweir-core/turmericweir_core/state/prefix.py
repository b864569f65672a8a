"""Which server holds which prompt prefix in its cache, as far as this instance can tell.

An engine skips the prefill of a prefix that it holds, so a request is best sent where its longest
prefix went before. The source is where this instance sent requests.

The engines' cache events, which come late and with gaps, can be taken as well. No adapter asks for
them, since what they add is not worth their bytes (docs/design/placement.md). An eviction removes
an entry. A gap removes nothing: what stood before it is *unknown* rather than absent, and draws
requests with less weight until it is confirmed. So does a restart of the server.

Memory is bounded by the number of prefixes, least recently used first out.
"""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.events import CacheEvents


class PrefixMap(Struct):
    """The prefixes that servers are believed to hold."""

    # For each prefix the servers, with the time when each was last confirmed.
    holders: OrderedDict[str, dict[ServerName, float]] = field(default_factory=OrderedDict)
    # When events of a server were last lost; what was confirmed before is unknown.
    gap_at: dict[ServerName, float] = field(default_factory=dict)


def note_sent(
    prefixes: PrefixMap, options: Options, now: float, server: ServerName, keys: tuple[str, ...]
) -> None:
    """Remember that a server was sent a prompt with these prefixes."""
    for key in keys:
        _confirm(prefixes, options, now, server, key)


def note_cache_events(
    prefixes: PrefixMap, options: Options, now: float, events: CacheEvents
) -> None:
    """Correct the map by what a server says of its cache."""
    if events.gap:
        # Failure: an eviction among the lost events. Believing the old entries in full would pull
        # requests to a cold cache; dropping them would scatter requests from a warm one. Half the
        # weight loses little either way, and the next request or event settles each entry.
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
    """Hold everything said of a server for unknown, because it restarted."""
    prefixes.gap_at[server] = now


def match_scores(
    prefixes: PrefixMap, options: Options, keys: tuple[str, ...]
) -> dict[ServerName, float]:
    """Score servers by the share of a prompt's prefixes that each holds, 0..1."""
    scores: dict[ServerName, float] = {}
    for depth in range(len(keys), 0, -1):
        holders = prefixes.holders.get(keys[depth - 1])
        if holders is None:
            continue
        for server, confirmed in holders.items():
            known = confirmed > prefixes.gap_at.get(server, -1.0)
            weight = 1.0 if known else options.affinity_unknown_weight
            score = weight * depth / len(keys)
            scores[server] = max(scores.get(server, 0.0), score)
    return scores
