"""The options of an engine stand-in, fixed at its start, and its behaviours, changed by tests."""

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
    # The process drops all connections and state and returns as a new incarnation.
    RESTART = "restart"


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """The options of an engine, from its command line."""

    name: str
    # Labels of the models that are loaded at the start.
    models: tuple[str, ...]
    batch: BatchConfig = field(default_factory=BatchConfig)
    # Whether orders with a stale fencing number are refused.
    check_fence: bool = True
    # How long loading a model takes.
    load_s: float = 1.0
    # Delay of load reports.
    report_lag_s: float = 0.0
    # Delay of cache events.
    cache_lag_s: float = 0.0
    # One cache event is lost in each group of this size; 0 for no losses.
    cache_gap_every: int = 0
    crash_mode: CrashMode = CrashMode.RESTART
    # How long the address refuses connections after a crash in mode RESTART.
    down_s: float = 1.0
    # Seeds the choice of requests that fail by `error_rate`.
    seed: int = 0


class EngineBehaviour(BehaviourTable):
    """The behaviours that a test can change while the engine runs; a crash does not reset them."""

    # Multiplies the duration of every step.
    slow_factor: float = Field(default=1.0, gt=0)
    # New requests are refused and the report shows it; running requests are completed.
    leaving: bool = False
    # Requests are accepted but not answered; no step is made.
    frozen: bool = False
    # New requests are refused before they start.
    refuse_start: bool = False
    # Share of the requests that get a bare 500, which does not show whether work was done.
    error_rate: float = Field(default=0.0, ge=0, le=1)
    # An answer stalls after this many tokens while its connection stays open.
    stall_after_tokens: int | None = Field(default=None, ge=0)
    # The connection of an answer is closed after this many tokens.
    cut_after_tokens: int | None = Field(default=None, ge=0)
    # Only the next answer is cut; `cut_after_tokens` is then unset.
    cut_once: bool = False
    # The load report is not updated.
    report_frozen: bool = False
