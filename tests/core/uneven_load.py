"""Play prompts of several instances at engines of different speed, on one clock.

An engine prefills one prompt after the other, in the order in which they arrive, and has as many
slots as it needs. Datagrams between instances arrive at once unless they are lost.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Final

from msgspec.structs import replace

from tests.core.store_world import MODEL, QUICK, StoreWorld, model_route, options
from turmericweir_core.base.config import Config
from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId
from turmericweir_core.base.pace_options import PaceOptions
from turmericweir_core.base.routes import build_route_table
from turmericweir_core.engines import engine_model
from turmericweir_core.messages.effects import Effect, SendDatagram, StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    EndComplete,
    PeerReceived,
    Tick,
)

DECODE_S: Final = 0.3
_TICK_S: Final = 0.05
_START_S: Final = 100.0
_ROUTE: Final = model_route(QUICK, timeout_s=12.0)


class OneKindWorld(StoreWorld):
    """An instance whose only route has requests of one kind."""

    def config(self) -> Config:
        """Return the settings."""
        return replace(super().config(), routes=build_route_table([_ROUTE]))


@dataclass
class UnevenLoad:
    """Some instances, and engines with their prefill times over the reference engine's."""

    factors: dict[str, float]
    is_shared: bool
    instances: int = 4
    prompt_tokens: int = 4_000
    is_lost: Callable[[], bool] = lambda: False
    now: float = _START_S
    worlds: dict[str, StoreWorld] = field(default_factory=dict)
    # For each engine, when the prompts sent to it so far are prefilled, and their work in seconds.
    free_at: dict[str, float] = field(default_factory=dict)
    work_s: dict[str, float] = field(default_factory=dict)
    # Delays from arrival to first token, and the engine of each.
    delays: list[tuple[float, str, float]] = field(default_factory=list)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _order: count[int] = field(default_factory=count)
    _ids: count[int] = field(default_factory=count)

    def __post_init__(self) -> None:
        self.free_at = dict.fromkeys(self.factors, self.now)
        self.work_s = dict.fromkeys(self.factors, 0.0)
        for number in range(self.instances):
            self.add_instance(f"a-{number + 1}")

    def add_instance(self, name: str) -> StoreWorld:
        """Add an instance that the others know."""
        world = OneKindWorld(engines=len(self.factors), plain=0, name=name)
        world.now = self.now
        world.state.options = replace(options(), pace=PaceOptions(is_shared=self.is_shared))
        for other_name, other in self.worlds.items():
            world.know(other_name)
            other.know(name)
        self.worlds[name] = world
        self._at(self.now + _TICK_S, lambda: self._tick(name))
        return world

    def pace(self, instance: str, engine: str) -> float:
        """Return an instance's estimate of an engine's prefill time over the reference engine's."""
        state = self.worlds[instance].state
        record = engine_model.engine_info_of(
            state, next(n for n in state.servers.by_name if n == engine)
        )
        return record.pace * engine_model.speed_of(state, MODEL).factor

    def send(self, rate_s: float, duration_s: float, seed: int = 1) -> None:
        """Send prompts at random times to instances at random."""
        rng = Random(seed)
        at = self.now
        while (at := at + rng.expovariate(rate_s)) < self.now + duration_s:
            name = rng.choice(list(self.worlds))
            self._at(at, lambda name=name: self._arrive(name))  # type: ignore[misc]

    def run(self, duration_s: float) -> None:
        """Advance the time."""
        end_at = self.now + duration_s
        while self._events and self._events[0][0] <= end_at:
            self.now, _, call = heappop(self._events)
            for world in self.worlds.values():
                world.now = self.now
            call()
        self.now = end_at

    def _at(self, at: float, call: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), call))

    def _tick(self, name: str) -> None:
        for other in self.worlds:
            if other != name:
                self.worlds[name].know(other)
        self._carry_out(name, self.worlds[name].give(Tick()))
        self._at(self.now + _TICK_S, lambda: self._tick(name))

    def _arrive(self, name: str) -> None:
        number = next(self._ids)
        parts = ((f"own-{number}", self.prompt_tokens),)
        effects = self.worlds[name].arrive(
            f"r{number}", service_class=QUICK, prompt_tokens=self.prompt_tokens, parts=parts
        )
        self._carry_out(name, effects)

    def _carry_out(self, name: str, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._start(name, effect)
                case SendDatagram(peer, _, message) if peer in self.worlds and not self.is_lost():
                    received = PeerReceived(InstanceName(name), message)
                    self._carry_out(peer, self.worlds[peer].give(received))
                case _:
                    pass

    def _start(self, name: str, start: StartAttempt) -> None:
        world, engine = self.worlds[name], start.server
        work_ms = engine_model.prefill_ms(
            world.state.options, self.prompt_tokens, self.prompt_tokens
        )
        work_s = work_ms * self.factors[engine] / 1000.0
        self.work_s[engine] += work_s
        self.free_at[engine] = max(self.now, self.free_at[engine]) + work_s
        first_ms = world.state.options.first_token_ms
        sent_at = self.now
        self._at(
            self.free_at[engine] + first_ms / 1000.0,
            lambda: self._begin(name, start.request_id, start.attempt_id, engine, sent_at),
        )
        self._carry_out(name, world.give(AttemptSent(start.request_id, start.attempt_id)))

    def _begin(
        self, name: str, request: RequestId, attempt: AttemptId, engine: str, sent_at: float
    ) -> None:
        self.delays.append((self.now, engine, self.now - sent_at))
        self._carry_out(name, self.worlds[name].give(AttemptProgress(request, attempt, 1)))
        end = AttemptEnded(request, attempt, EndComplete(200))
        self._at(self.now + DECODE_S, lambda: self._carry_out(name, self.worlds[name].give(end)))
