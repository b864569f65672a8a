"""Play customers that compete for the engines of several instances, on one clock.

Engines run a bounded number of requests at once and queue the others, each answer holds its slot
for a time, and messages between instances arrive at once unless an instance is cut off. The load
records for each request of a customer how it ended and when its answer began.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Final

from msgspec.structs import replace

from tests.core.store_world import QUICK, StoreWorld, model_route
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import Config, Customer, ServerEntry
from turmericweir_core.base.routes import build_route_table
from turmericweir_core.messages.effects import (
    CancelAttempt,
    Effect,
    FinishRequest,
    SendDatagram,
    SendPeer,
    StartAttempt,
)
from turmericweir_core.messages.events import EndCancelled, EndComplete, PeerReceived, Tick
from turmericweir_core.state.membership_state import Member

CHAT: Final = replace(QUICK, name="chat", target_s=0.6, token_gap_target_s=0.3)
SMALL: Final = tuple(f"small-{number}" for number in range(9))
LARGE: Final = "large"
SLOTS: Final = 4
HELD_S: Final = 1.0
PROMPT_TOKENS: Final = 300
# Time from a request's start at an engine to its first event.
FIRST_EVENT_S: Final = 0.02
LIMIT_S: Final = 6.0
STEP_S: Final = 0.01
TICK_S: Final = 0.1
_START_S: Final = 100.0
_ROUTE: Final = model_route(CHAT, timeout_s=LIMIT_S)


class CustomerWorld(StoreWorld):
    """An instance whose settings name customers, with engines of few slots."""

    def __init__(self, engines: int, *, name: str, now: float) -> None:
        super().__init__(engines=engines, plain=0, name=name)
        self.now = now
        self.give_document(2)

    def entry(self, name: str, service: str, **fields: object) -> ServerEntry:
        """Return a server's entry."""
        entry = super().entry(name, service, **fields)
        return replace(entry, slots=SLOTS)

    def config(self) -> Config:
        """Return the settings."""
        config = super().config()
        services = {name: replace(each, slots=SLOTS) for name, each in config.services.items()}
        return replace(
            config,
            services=services,
            service_by_target={target: services[target] for target in config.service_by_target},
            customers={name: Customer(name) for name in (LARGE, *SMALL)},
            routes=build_route_table([_ROUTE]),
        )


@dataclass(slots=True)
class Sender:
    """A customer that sends at a steady rate, to instances in turn."""

    customer: str
    rate_s: float
    instances: tuple[str, ...]
    # How often it sends a refused request again at once.
    retries: int = 0
    next_at: float = _START_S
    turn: int = 0


@dataclass(slots=True)
class Call:
    """A request of a customer."""

    customer: str
    sent_at: float
    instance: str
    sender: Sender
    # How often it is still sent again if it is refused.
    retries: int
    begun_at: float | None = None
    ended_at: float | None = None
    outcome: Outcome | None = None
    reason: str = ""
    retry_after_s: float | None = None


@dataclass(slots=True)
class _Engine:
    """The attempts of an engine, each with the instance that sent it."""

    running: dict[str, tuple[StoreWorld, StartAttempt]] = field(default_factory=dict)
    waiting: dict[str, tuple[StoreWorld, StartAttempt]] = field(default_factory=dict)


class CustomerLoad:
    """Customers, instances and engines."""

    def __init__(self, *, instances: int = 1, engines: int = 2) -> None:
        self.now = _START_S
        self.worlds: dict[str, CustomerWorld] = {}
        self.calls: dict[str, Call] = {}
        self.senders: list[Sender] = []
        # Instances that no message reaches or leaves.
        self.cut: set[str] = set()
        self.engines = {f"lm-{number}": _Engine() for number in range(1, engines + 1)}
        # Sum over time of the running requests.
        self.slot_s = 0.0
        # Called with each message between instances.
        self.on_message: Callable[[str, SendDatagram | SendPeer], None] = lambda name, effect: None
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = count()
        self._rng = Random(1)
        self._tick_at = _START_S
        for number in range(1, instances + 1):
            self.start(f"a-{number}")

    # --- instances -------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Start an instance without any state."""
        self.worlds[name] = CustomerWorld(len(self.engines), name=name, now=self.now)

    def kill(self, name: str) -> None:
        """End an instance; its callers get no answer."""
        world = self.worlds.pop(name)
        for engine in self.engines.values():
            for attempts in (engine.running, engine.waiting):
                for attempt_id in [key for key, each in attempts.items() if each[0] is world]:
                    del attempts[attempt_id]
        for call in self.calls.values():
            if call.instance == name and call.outcome is None:
                call.outcome = Outcome.UNKNOWN

    def _meet(self) -> None:
        """Let all instances that are not cut off hear of each other."""
        for name, world in self.worlds.items():
            for other, peer in self.worlds.items():
                if name == other or {name, other} & self.cut:
                    continue
                members = world.state.members.by_name
                member = members.setdefault(
                    peer.state.me.name,
                    Member(peer.state.me.name, "dc-a", peer.state.me.peer_address, region="home"),
                )
                member.last_seen_at = self.now

    # --- time ------------------------------------------------------------------------------

    def play(self, seconds: float) -> None:
        """Let customers send for a time."""
        end_at = self.now + seconds
        while self.now < end_at - 1e-9:
            self.now += STEP_S
            for world in self.worlds.values():
                world.now = self.now
            self.slot_s += STEP_S * sum(len(each.running) for each in self.engines.values())
            while self._timers and self._timers[0][0] <= self.now:
                heappop(self._timers)[2]()
            for sender in self.senders:
                while sender.next_at <= self.now:
                    sender.next_at = max(sender.next_at, self.now) + self._rng.expovariate(
                        sender.rate_s
                    )
                    self._send(sender, sender.retries)
            if self.now >= self._tick_at:
                self._tick_at += TICK_S
                self._meet()
                for name, world in list(self.worlds.items()):
                    self._take(name, world.give(Tick()))

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        heappush(self._timers, (self.now + seconds, next(self._ids), action))

    # --- customers -------------------------------------------------------------------------

    def _send(self, sender: Sender, retries: int) -> None:
        names = [name for name in sender.instances if name in self.worlds]
        name = names[sender.turn % len(names)]
        sender.turn += 1
        request_id = f"{sender.customer}-{next(self._ids)}"
        self.calls[request_id] = Call(sender.customer, self.now, name, sender, retries)
        effects = self.worlds[name].arrive(
            request_id,
            customer=sender.customer,
            service_class=CHAT,
            prompt_tokens=PROMPT_TOKENS,
            deadline=self.now + LIMIT_S,
            end_by=None,
        )
        self._take(name, effects)

    def send(self, customer: str, instance: str) -> Call:
        """Let a customer send one request."""
        sender = Sender(customer, 0.0, (instance,))
        self._send(sender, 0)
        return next(reversed(self.calls.values()))

    # --- effects ---------------------------------------------------------------------------

    def _take(self, name: str, effects: list[Effect]) -> None:
        world = self.worlds.get(name)
        if world is None:
            return
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._take(name, world.sent(effect))
                    self._queue(world, effect)
                case CancelAttempt():
                    self._cancel(world, effect)
                case FinishRequest(account):
                    self._finish(account)
                case SendDatagram() | SendPeer():
                    self._deliver(name, effect)
                case _:
                    pass

    def _deliver(self, sender: str, effect: SendDatagram | SendPeer) -> None:
        self.on_message(sender, effect)
        if effect.peer in self.worlds and not {sender, effect.peer} & self.cut:
            event = PeerReceived(self.worlds[sender].state.me.name, effect.message)
            self._later(0.0, lambda: self._give(effect.peer, event))

    def _give(self, name: str, event: PeerReceived) -> None:
        if name in self.worlds:
            self._take(name, self.worlds[name].give(event))

    def _finish(self, account: Account) -> None:
        call = self.calls[account.request_id]
        call.outcome = account.outcome
        call.reason = account.reason
        call.ended_at = self.now
        call.retry_after_s = account.retry_after_s
        if account.outcome is Outcome.NOT_RUN and call.retries:
            self._later(0.05, lambda: self._send(call.sender, call.retries - 1))

    # --- engines ---------------------------------------------------------------------------

    def _queue(self, world: StoreWorld, start: StartAttempt) -> None:
        engine = self.engines[start.server]
        engine.waiting[start.attempt_id] = (world, start)
        self._fill(engine)

    def _fill(self, engine: _Engine) -> None:
        while engine.waiting and len(engine.running) < SLOTS:
            attempt_id = next(iter(engine.waiting))
            engine.running[attempt_id] = engine.waiting.pop(attempt_id)
            self._later(FIRST_EVENT_S, partial(self._begin, engine, attempt_id))
            self._later(HELD_S, partial(self._end, engine, attempt_id))

    def _begin(self, engine: _Engine, attempt_id: str) -> None:
        if attempt_id in engine.running:
            world, start = engine.running[attempt_id]
            self.calls[start.request_id].begun_at = self.now
            self._take(world.state.me.name, world.begin(start))

    def _end(self, engine: _Engine, attempt_id: str) -> None:
        if attempt_id in engine.running:
            world, start = engine.running.pop(attempt_id)
            self._take(world.state.me.name, world.end(start, EndComplete(200)))
            self._fill(engine)

    def _cancel(self, world: StoreWorld, effect: CancelAttempt) -> None:
        for engine in self.engines.values():
            for attempts in (engine.running, engine.waiting):
                if effect.attempt_id in attempts:
                    _, start = attempts.pop(effect.attempt_id)
                    self._take(world.state.me.name, world.end(start, EndCancelled(0)))
                    self._fill(engine)

    # --- observations ----------------------------------------------------------------------

    def calls_of(self, customers: Iterable[str], since: float, until: float) -> list[Call]:
        """Return the requests of customers that were sent in a time."""
        names = set(customers)
        return [
            call
            for call in self.calls.values()
            if call.customer in names and since <= call.sent_at < until
        ]


def served_share(calls: list[Call]) -> float:
    """Return the share of requests whose answers began."""
    return sum(call.begun_at is not None for call in calls) / len(calls)


def first_event_s(calls: list[Call], share: float) -> float:
    """Return a quantile of the time to the first event."""
    waits = sorted(call.begun_at - call.sent_at for call in calls if call.begun_at is not None)
    return waits[min(len(waits) - 1, int(share * len(waits)))]
