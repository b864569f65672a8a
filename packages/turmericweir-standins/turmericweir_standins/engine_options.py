"""All that can be set on an engine stand-in: its options for a life, its behaviours at any time."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from pydantic import Field

from turmericweir_standins.behaviour import BehaviourTable
from turmericweir_standins.engine_batch import BatchConfig


class CrashMode(Enum):
    """What a crash does to the engine."""

    # The process ends at once.
    EXIT = "exit"
    # The process stays, drops all connections and comes back empty as a new incarnation.
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """The options of an engine, from its command line."""

    name: str
    # Labels of the models that are loaded from the start.
    models: tuple[str, ...]
    batch: BatchConfig = field(default_factory=BatchConfig)
    # Whether orders with an old fencing number are refused.
    check_fence: bool = True
    # How long loading a model takes.
    load_s: float = 1.0
    # How old a load report is when it is shown.
    report_lag_s: float = 0.0
    # How old a cache event is when it is shown.
    cache_lag_s: float = 0.0
    # Every how many cache events one is lost; 0 for none.
    cache_gap_every: int = 0
    crash_mode: CrashMode = CrashMode.RESTART
    # How long the address refuses connections after a crash in mode RESTART.
    down_s: float = 1.0
    # Seeds the choice of requests that fail by `error_rate`.
    seed: int = 0


class EngineBehaviour(BehaviourTable):
    """The behaviours that a test can change while the engine runs; a crash does not reset them."""

    # Every step takes this many times as long.
    slow_factor: float = Field(default=1.0, gt=0)
    # New requests are refused and the report says so; what runs is finished.
    leaving: bool = False
    # Requests are accepted and nothing is answered; no step is made.
    frozen: bool = False
    # New requests are refused before they start.
    refuse_start: bool = False
    # Part of the requests that get a bare 500, which proves nothing about the work done.
    error_rate: float = Field(default=0.0, ge=0, le=1)
    # An answer goes silent after this many tokens while its connection stays open.
    stall_after_tokens: int | None = Field(default=None, ge=0)
    # The connection of an answer is closed after this many tokens.
    cut_after_tokens: int | None = Field(default=None, ge=0)
    # Only the next answer is cut; then `cut_after_tokens` is unset.
    cut_once: bool = False
    # The load report stays as it is.
    report_frozen: bool = False
