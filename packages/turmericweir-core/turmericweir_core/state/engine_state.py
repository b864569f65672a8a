"""State of the load and the cache of each engine."""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct, field

from turmericweir_core.base.ids import AttemptId, InstanceName, ServerName, Target
from turmericweir_core.messages.load_messages import SentPart
from turmericweir_core.state.engine_speed import EngineSpeed


class PendingPrompt(Struct, frozen=True):
    """A prompt that waits for its prefill at an engine or is being prefilled."""

    work_ms: float
    # Engines prefill prompts of lower ranks first.
    rank: int
    sent_at: float


class Prefill(Struct):
    """A prompt of this instance that an engine has not begun to answer."""

    work_ms: float
    rank: int
    tokens: int
    # Predicted time to the first token, and when the prompt was sent.
    predicted_ms: float
    sent_at: float
    # Prefill time on the reference engine. None if this engine had other prompts to prefill, or
    # fetched a part of the prompt from another engine.
    reference_ms: float | None
    # The nominal time of a fetch of parts, and the rest of the prediction. None if nothing was
    # fetched, or if the engine had other prompts to prefill.
    nominal_fetch_ms: float | None = None
    rest_ms: float = 0.0
    # The engine's pace in the prediction, and the overdue ratio that was counted last.
    pace: float = 1.0
    counted_ratio: float = 0.0


class CachedPart(Struct, frozen=True):
    """A prompt part that is assumed to be in an engine's cache."""

    tokens: int
    # `EngineInfo.inserted_tokens` when a request last used it.
    used_at_tokens: int


class ReceiptTime(Struct):
    """When an instance last sent a message; everything that it reported was valid at that time."""

    received_at: float


class PeerLoad(Struct):
    """Load of one other instance, or of all instances behind one relay, on a server."""

    last_receipt: ReceiptTime
    pending: list[PendingPrompt] = field(default_factory=list)
    running: int = 0
    tokens: int = 0


class EngineLoad(Struct, frozen=True):
    """Total load of all instances on a server at one time."""

    computed_at: float
    # `EngineInfo.load_version` when this was computed.
    load_version: int
    # Number of this instance's prompts without a first token, and of its running requests.
    local_counts: tuple[int, int]
    # Prompts that the server has not begun to answer.
    pending: list[PendingPrompt]
    # Those of them in prefill, and the remaining prefill time, milliseconds.
    in_prefill: list[PendingPrompt]
    prefill_left_ms: float
    requests: int
    # Tokens that the requests occupy in the server's memory.
    tokens: int


class EngineInfo(Struct):
    """State of one server; for servers of plain services only the running requests are recorded."""

    # Prompts of this instance without a first token, and the tokens of its running requests.
    prefills: dict[AttemptId, Prefill] = field(default_factory=dict)
    running: dict[AttemptId, int] = field(default_factory=dict)
    peers: dict[InstanceName, PeerLoad] = field(default_factory=dict)
    # Prompt parts assumed to be in its cache; the newest last.
    cached: OrderedDict[str, CachedPart] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    # Tokens of all parts that entered its cache since it was first used.
    inserted_tokens: int = 0
    # Prompt parts that it was sent but has not begun to answer, with the time until which this is
    # assumed. They are not in its cache yet.
    prefilling_until: dict[str, float] = field(default_factory=dict)
    pace: float = 1.0
    # Observations of the pace, of other instances too; counted only where they are shared.
    pace_count: int = 0
    # When the engine began the prefill of the prompts that wait for it now.
    prefilling_since: float = 0.0
    # Number of changes of the load, except in the length of this instance's running answers.
    load_version: int = 0
    # The newest total, cached because many waiting requests need it at the same time.
    load: EngineLoad | None = None


class EngineTable(Struct):
    """State of the load and caches of all servers."""

    by_server: dict[ServerName, EngineInfo] = field(default_factory=dict)
    # Prefill speed of the engines, by service.
    speeds: dict[Target, EngineSpeed] = field(default_factory=dict)
    # Observed over nominal time of fetches of parts between engines, by service.
    fetch_speeds: dict[Target, EngineSpeed] = field(default_factory=dict)
    # Something changed that has to be sent to other instances.
    has_unsent_load: bool = False
    # Prompt parts sent or prefilled that have not been announced to other instances yet.
    unsent_parts: list[SentPart] = field(default_factory=list)
