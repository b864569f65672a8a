"""State of the engines of each service: the demand and the split into prefill and decode."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName, Target


class Demand(Struct):
    """Recently arrived work, decayed, milliseconds, by length of the prompt."""

    at: float = 0.0
    long_ms: float = 0.0
    quick_ms: float = 0.0
    middle_ms: float = 0.0


class ToldDemand(Struct, frozen=True):
    """The demand reported by a peer, milliseconds of work per second."""

    at: float
    long_ms: float
    quick_ms: float
    middle_ms: float


class Split(Struct):
    """Number of prefill engines of a service, and since when another number would be better."""

    reading: int = 0
    moves_since: float | None = None
    # Whether short-prompt requests go first. Cached with the version of the settings because every
    # placement uses it and there may be hundreds of routes.
    quick_first: bool = True
    # The lowest target of any route of the service for the time between tokens, seconds, if any.
    shortest_gap_s: float | None = None
    settings: int | None = None
    # Number of engines reserved for short-prompt requests, and when it last changed; 0 until there
    # are medium prompts.
    quick: int = 0
    quick_moved_at: float = 0.0


class PoolState(Struct):
    """The demand and split of each service."""

    own: dict[Target, Demand] = field(default_factory=dict)
    # The newest demand reported by each peer.
    peers: dict[Target, dict[InstanceName, ToldDemand]] = field(default_factory=dict)
    # Cached order of the engines of a service: the engines it was computed for, and the order.
    orders: dict[Target, tuple[tuple[ServerName, ...], tuple[ServerName, ...]]] = field(
        default_factory=dict
    )
    splits: dict[Target, Split] = field(default_factory=dict)
    # Average time from the first event of an answer to its end, by class, milliseconds.
    generating_ms: dict[str, float] = field(default_factory=dict)
