"""Play a load of several classes that compete for engines, with callers that return once.

As in `customer_load`, but engines prefill one prompt after the other, by rank and age, and a
refused caller returns after `Retry-After`, of which it waits at most a third of the time it has
left. What a caller gets counts from when it first sent.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Final

from msgspec.structs import replace

from tests.core.customer_load import Call, CustomerLoad, CustomerWorld, Sender
from tests.core.store_world import BULK, StoreWorld
from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import ServerEntry, ServiceClass
from turmericweir_core.base.late_options import LateOptions
from turmericweir_core.base.options import Options
from turmericweir_core.engines.engine_model import prefill_ms
from turmericweir_core.messages.effects import StartAttempt
from turmericweir_core.messages.events import RegistryRead

SLOTS: Final = 16
FIRST_EVENT_S: Final = 0.03
_RETURN_SHARE_MAX: Final = 1 / 3
_CUSTOMER: Final = "c"


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one class."""

    service_class: ServiceClass
    prompt_tokens: int
    limit_s: float
    # Time from the first event of an answer to its end.
    answer_s: float = 0.5


def kind(name: str, rank: int, target_s: float, prompt_tokens: int, limit_s: float) -> Kind:
    """Return a kind of request whose class has a rank of its own."""
    service_class = replace(BULK, name=name, priority=rank, rank=rank, target_s=target_s)
    return Kind(service_class, prompt_tokens, limit_s)


CHAT: Final = kind("chat", 0, 1.5, 1_460, 8.0)
SUMMARY: Final = kind("summary", 1, 1.5, 9_000, 5.0)
REPORT: Final = kind("report", 2, 2.5, 17_000, 8.0)


class LateWorld(CustomerWorld):
    """An instance that may let late requests give way."""

    def __init__(self, engines: int, *, name: str, now: float, late: LateOptions) -> None:
        super().__init__(engines, name=name, now=now)
        self.state.options = replace(self.state.options, late=late, retry_after_min_s=0.1)

    def entry(self, name: str, service: str, **fields: object) -> ServerEntry:
        """Return a server's entry."""
        return replace(super().entry(name, service, **fields), slots=SLOTS)


@dataclass(slots=True)
class KindSender(Sender):
    """Callers of one kind."""

    kind: Kind = CHAT


@dataclass(slots=True)
class Caller:
    """A caller and its calls: the first, and its return after a refusal."""

    kind: Kind
    sent_at: float
    calls: list[Call] = field(default_factory=list)

    @property
    def begun_after_s(self) -> float | None:
        """The time until its answer began, or None if it got none."""
        begun = [each.begun_at for each in self.calls if each.begun_at is not None]
        return begun[0] - self.sent_at if begun else None

    @property
    def is_in_time(self) -> bool:
        """Whether its answer began within the target."""
        after_s = self.begun_after_s
        return after_s is not None and after_s <= self.kind.service_class.target_s


class LateLoad(CustomerLoad):
    """Callers of several classes, instances and engines."""

    def __init__(
        self, *, instances: int = 3, engines: int = 4, late: LateOptions, seed: int = 1
    ) -> None:
        self.late = late
        self.callers: list[Caller] = []
        self._engine_count = engines
        self._caller_of: dict[str, Caller] = {}
        self._prefilling: dict[str, str] = {}
        super().__init__(instances=instances, engines=engines)
        self._rng = Random(seed)

    def start(self, name: str) -> None:
        """Start an instance without any state."""
        self.worlds[name] = LateWorld(self._engine_count, name=name, now=self.now, late=self.late)

    def lose_engines(self, names: list[str]) -> None:
        """Let engines take no new requests."""
        for world_name, world in self.worlds.items():
            for name in names:
                entry = world.entry(name, "lm", leaving=True)
                self._take(world_name, world.give(RegistryRead(((entry, 2),))))

    # --- callers ---------------------------------------------------------------------------

    def _send(self, sender: Sender, retries: int) -> None:
        assert isinstance(sender, KindSender)
        caller = Caller(sender.kind, self.now)
        self.callers.append(caller)
        self._call(caller, sender)

    def _call(self, caller: Caller, sender: Sender) -> None:
        names = [name for name in sender.instances if name in self.worlds]
        name = names[sender.turn % len(names)]
        sender.turn += 1
        request_id = f"{caller.kind.service_class.name}-{next(self._ids)}"
        call = Call(_CUSTOMER, self.now, name, sender, 1 - len(caller.calls))
        caller.calls.append(call)
        self.calls[request_id] = call
        self._caller_of[request_id] = caller
        effects = self.worlds[name].arrive(
            request_id,
            customer=_CUSTOMER,
            service_class=caller.kind.service_class,
            prompt_tokens=caller.kind.prompt_tokens,
            deadline=caller.sent_at + caller.kind.limit_s,
            repeatable=True,
            sends_max=2,
            end_by=None,
        )
        self._take(name, effects)

    def _finish(self, account: Account) -> None:
        call = self.calls[account.request_id]
        call.outcome, call.reason, call.ended_at = account.outcome, account.reason, self.now
        call.retry_after_s = account.retry_after_s
        if account.outcome is Outcome.NOT_RUN and call.retries:
            caller = self._caller_of[account.request_id]
            left_s = caller.sent_at + caller.kind.limit_s - self.now
            pause_s = min(account.retry_after_s or 0.0, _RETURN_SHARE_MAX * left_s)
            if pause_s >= 0.0:
                self._later(pause_s, partial(self._call, caller, call.sender))

    # --- engines ---------------------------------------------------------------------------

    def _queue(self, world: StoreWorld, start: StartAttempt) -> None:
        engine = self.engines[start.server]
        engine.waiting[start.attempt_id] = (world, start)
        self._prefill_next(start.server)

    def _prefill_next(self, name: str) -> None:
        engine = self.engines[name]
        if self._prefilling.get(name) in engine.running or len(engine.running) >= SLOTS:
            return
        if not engine.waiting:
            return
        attempt_id = min(engine.waiting, key=lambda each: engine.waiting[each][1].priority)
        attempt = engine.running[attempt_id] = engine.waiting.pop(attempt_id)
        self._prefilling[name] = attempt_id
        tokens = self._caller_of[attempt[1].request_id].kind.prompt_tokens
        prefill_s = prefill_ms(Options(), tokens, tokens) / 1000
        self._later(prefill_s, partial(self._end_prefill, name, attempt_id))

    def _end_prefill(self, name: str, attempt_id: str) -> None:
        engine = self.engines[name]
        if self._prefilling.get(name) != attempt_id:
            return
        del self._prefilling[name]
        if attempt_id in engine.running:
            _, start = engine.running[attempt_id]
            answer_s = self._caller_of[start.request_id].kind.answer_s
            self._later(FIRST_EVENT_S, partial(self._begin, engine, attempt_id))
            self._later(FIRST_EVENT_S + answer_s, partial(self._end, engine, attempt_id))
        self._prefill_next(name)

    def _fill(self, engine: object) -> None:
        for name, each in self.engines.items():
            if each is engine:
                self._prefill_next(name)

    # --- observations ----------------------------------------------------------------------

    def sent_between(self, kind_: Kind, since: float, until: float) -> list[Caller]:
        """Return the callers of a kind that first sent in a time."""
        return [
            each for each in self.callers if each.kind is kind_ and since <= each.sent_at < until
        ]
