"""Load of the instances on servers, and what engines' caches hold."""

from __future__ import annotations

from msgspec import Struct

from turmericweir_core.messages.outlier_messages import OutlierRow
from turmericweir_core.messages.pace_messages import PaceRow


class LoadRow(Struct, frozen=True, array_like=True):
    """Load that the sender has on one server."""

    server: str
    # For each prompt without a first token: prefill time, rank, and time since it was sent;
    # milliseconds.
    prefills: list[list[int]]
    # Requests whose answer has begun.
    running: int
    # Tokens of these requests.
    tokens: int


class SentPart(Struct, frozen=True, array_like=True):
    """A prompt part that was sent to a server or already prefilled there."""

    server: str
    part: str
    tokens: int
    is_prefilled: bool
    # Time for which the prefill of the part is assumed to last.
    prefill_ms: int


class OverdueRow(Struct, frozen=True, array_like=True):
    """Requests of one rank and kind that wait too long, or were refused for want of room."""

    rank: int
    # Whether they tolerate long prompts on the same engine, and so share the engines of these.
    is_long: bool
    count: int


class WaitingRow(Struct, frozen=True, array_like=True):
    """Work of the waiting requests of one rank and kind, milliseconds of an engine."""

    rank: int
    # As in `OverdueRow`.
    is_long: bool
    # Of requests that can still be in time, and of those that cannot.
    in_time_ms: int
    late_ms: int


class DemandRow(Struct, frozen=True, array_like=True):
    """Work that the sender sends to a service, milliseconds per second."""

    target: str
    # Work of requests that tolerate long prompts on the same engine, and of those that do not.
    long_prompt_ms_s: int
    short_prompt_ms_s: int
    overdue: list[OverdueRow] = []
    # Work of medium prompts: they tolerate no long prompts beside them, and delay shorter ones.
    medium_prompt_ms_s: int = 0
    # Empty unless late requests go behind those that can be in time.
    waiting: list[WaitingRow] = []


class LoadNews(Struct, frozen=True, array_like=True):
    """Load update: the sender's load on all servers, and the prompt parts it sent recently."""

    incarnation: str
    # Increases with each update of an incarnation.
    seq: int
    rows: list[LoadRow] = []
    parts: list[SentPart] = []
    demand: list[DemandRow] = []
    # True: the sender has no load on servers without a row. False: their load is unchanged.
    is_complete: bool = True
    # Servers that fail requests of the sender.
    outliers: list[OutlierRow] = []
    # Prefill times that the sender observed since its last update.
    paces: list[PaceRow] = []


class BundledNews(Struct, frozen=True, array_like=True):
    """A forwarded load update, with its origin and its delay at the relay."""

    origin: str
    update: LoadNews
    delay_ms: int


class LoadBundle(Struct, frozen=True, array_like=True):
    """Load updates that a relay has collected from its group and from other relays."""

    updates: list[BundledNews]


class CachesAsk(Struct, frozen=True, array_like=True):
    """Requests the known contents of the engines' caches; sent after a start."""


class CachesServer(Struct, frozen=True, array_like=True):
    """Prompt parts that an engine presumably holds, the newest last, and the tokens of each."""

    server: str
    parts: list[str]
    tokens: list[int]


class CachesSend(Struct, frozen=True, array_like=True):
    """The sender's knowledge of the engines' caches."""

    servers: list[CachesServer]
    # Its estimates of the engines' pace.
    paces: list[PaceRow] = []
