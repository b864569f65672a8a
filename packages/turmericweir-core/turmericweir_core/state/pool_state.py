"""State of the engines of each service: the demand and the split into prefill and decode."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName, Target
from turmericweir_core.state.server_table import Server


class EngineDemand(Struct):
    """Recently arrived work, decayed, milliseconds, by length of the prompt."""

    decayed_at: float = 0.0
    long_prompt_ms: float = 0.0
    short_prompt_ms: float = 0.0
    medium_prompt_ms: float = 0.0


class RankDemand(Struct):
    """Recently arrived work of one kind of prompts, decayed, milliseconds, by rank."""

    decayed_at: float
    by_rank: dict[int, float] = field(default_factory=dict)


class ReportedDemand(Struct, frozen=True):
    """The demand reported by a peer, milliseconds of work per second."""

    received_at: float
    long_prompt_ms: float
    short_prompt_ms: float
    medium_prompt_ms: float


class EngineSplit(Struct):
    """Number of prefill engines of a service, and since when another number would be better."""

    prefill_engine_count: int = 0
    mismatch_since: float | None = None
    # Whether short-prompt requests go first. Cached with the version of the settings because every
    # placement uses it and there may be hundreds of routes.
    is_decode_first: bool = True
    # The lowest target of any route of the service for the time between tokens, seconds, if any.
    lowest_gap_target_s: float | None = None
    # Whether all routes of the service tolerate long prompts; None if only some of them do.
    only_long: bool | None = None
    cached_settings: int | None = None
    # Number of engines reserved for short-prompt requests, and when it last changed; 0 until there
    # are medium prompts.
    short_engine_count: int = 0
    short_changed_at: float = 0.0


class TotalDemand(Struct, frozen=True):
    """The demand of all instances at one time."""

    demand: ReportedDemand
    # `PoolState.demand_version` when this was computed.
    version: int


class EngineGroups(Struct, frozen=True):
    """The engines of a service by kind at one time."""

    # What the split was computed for.
    engines: list[Server]
    total: TotalDemand
    settings_offset: int
    prefill: list[Server]
    medium: list[Server]
    decode: list[Server]


class PoolState(Struct):
    """The demand and split of each service."""

    local_demand: dict[Target, EngineDemand] = field(default_factory=dict)
    # The same demand by rank, for each kind of prompts.
    rank_demand: dict[tuple[Target, str], RankDemand] = field(default_factory=dict)
    # The newest demand reported by each peer.
    peer_demand: dict[Target, dict[InstanceName, ReportedDemand]] = field(default_factory=dict)
    # Number of changes of the demand, except its decay.
    demand_version: int = 0
    # The newest total and split of each service, cached because all requests that wait at one time
    # need them.
    totals: dict[Target, TotalDemand] = field(default_factory=dict)
    groups: dict[Target, EngineGroups] = field(default_factory=dict)
    # Cached order of the engines of a service: the engines it was computed for, and the order.
    orders: dict[Target, tuple[tuple[ServerName, ...], tuple[ServerName, ...]]] = field(
        default_factory=dict
    )
    splits: dict[Target, EngineSplit] = field(default_factory=dict)
    # Average time from the first event of an answer to its end, by class, milliseconds.
    generating_ms: dict[str, float] = field(default_factory=dict)
