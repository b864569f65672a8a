"""Many instances before servers of which some fail requests, without I/O.

Requests arrive at random; most share the beginning of their prompt with others. A server that fails
a request does so at once, and a sound one answers after a fixed time. Tests check what callers get.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from tests.core.server_fleet import ANSWER_S, NETWORK_S, ServerFleet
from tests.core.store_world import StoreWorld
from turmericweir_core.base.account import Outcome
from turmericweir_core.base.config import (
    Config,
    PlacementPolicy,
    ServerEntry,
    Service,
    ServiceClass,
    ServiceKind,
)
from turmericweir_core.base.ids import RequestId, ServerName, Target
from turmericweir_core.base.outlier_options import OutlierOptions
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import Effect, Log, StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    DocumentRead,
    EndBroken,
    EndComplete,
    EndRefused,
    EndServerError,
)


def ejecting_world(engines: int = 2, plain: int = 2) -> StoreWorld:
    """Return an instance that ejects servers."""
    world = StoreWorld(engines=engines, plain=plain)
    world.state.options = replace(world.state.options, outlier=OutlierOptions(is_enabled=True))
    return world


MODEL = Target("lm")
PLAIN = Target("shop")
# Tolerates long prompts on its engine, and does not: engines are split between the two.
LONG = ServiceClass("long", priority=1, target_s=2.0, token_gap_target_s=0.8)
SHORT = ServiceClass("short", priority=1, target_s=0.6, token_gap_target_s=0.15)
CALL = ServiceClass("call", priority=1, target_s=0.1)
SERVICES = {
    "lm": Service("lm", ServiceKind.MODEL, slots=12, kv_tokens=480_000, event_tokens=3),
    "shop": Service("shop", ServiceKind.PLAIN, slots=6),
}
PREFIXES = 6

# How a server ends a request that it fails, by whether the request may be repeated.
Failure = Callable[[bool], AttemptEnd]


def no_answer(is_repeatable: bool) -> AttemptEnd:
    """Return the end of an attempt whose answer was bytes that are none."""
    return EndBroken("bytes that are no answer", server_alive=True, is_malformed=True)


def reset(is_repeatable: bool) -> AttemptEnd:
    """Return the end of an attempt whose connection was reset."""
    return EndBroken("connection reset", server_alive=True)


def error_status(is_repeatable: bool) -> AttemptEnd:
    """Return the end of an attempt with an error status, which is passed on if not repeatable."""
    return EndServerError(500) if is_repeatable else EndComplete(500)


def refused(is_repeatable: bool) -> AttemptEnd:
    """Return the end of an attempt that the server did not begin."""
    return EndRefused(503, leaving=False)


FAILURES: dict[str, Failure] = {
    "no_answer": no_answer,
    "reset": reset,
    "error_status": error_status,
}


@dataclass(slots=True)
class Load:
    """Requests of one kind that arrive at a rate."""

    rate_s: float
    service_class: ServiceClass = LONG
    target: Target = MODEL
    repeatable: bool = False
    customer: str = "c"
    # Its requests fail at whatever server they reach.
    is_faulty: bool = False
    # Its prompts begin with this part; empty for one of some.
    prefix: str = ""


@dataclass(slots=True)
class FailingServer:
    """How a server fails requests."""

    share: float = 1.0
    failure: Failure = no_answer
    after_s: float = 0.003


@dataclass(slots=True)
class Sent:
    """An attempt that a server got."""

    at: float
    instance: str
    server: str
    request_id: str
    has_failed: bool


class OutlierFleet(ServerFleet):
    """Instances, servers of which some fail requests, and callers."""

    def __init__(self, servers: int = 4, *, instances: int = 1, seed: int = 1) -> None:
        super().__init__(servers, seed=seed)
        for number in range(1, 5):
            name = ServerName(f"shop-{number}")
            entry = ServerEntry(name, "shop", "dc0", f"127.0.0.1:{100 + number}", slots=6)
            self.store.entries[name] = (entry, 1)
        self.failing: dict[str, FailingServer] = {}
        self.sent: list[Sent] = []
        self.logs: list[tuple[float, str, Log]] = []
        self.loads: dict[str, Load] = {}
        self.finished_at: dict[str, float] = {}
        self.options = replace(self.options, outlier=OutlierOptions(is_enabled=True))
        self.names = self.start(instances, data_centres=1)

    def _give_document(self, name: str, version: int, asked_at: float | None, peer: str) -> None:
        config = Config(
            classes={each.name: each for each in (LONG, SHORT, CALL)},
            services=SERVICES,
            service_by_target={Target(each): service for each, service in SERVICES.items()},
            policy=PlacementPolicy.PREDICTED,
            offset=version,
        )
        self.give(name, DocumentRead(version, config, str(version).encode(), asked_at, peer))

    def play(self, loads: list[Load], seconds: float) -> None:
        """Let requests arrive, and run until the last of them can have ended."""
        self.schedule(loads, seconds)
        self.run(seconds + 3.0)

    def schedule(self, loads: list[Load], seconds: float) -> None:
        """Schedule the arrival of requests."""
        for load in loads:
            self.load = load
            self.arrive(self.names, load.rate_s, seconds)

    def _request(self, at: float) -> Request:
        load = self.load
        request_id = f"q{len(self.loads)}"
        self.loads[request_id] = load
        self._sent_at[request_id] = at
        is_model = load.target == MODEL
        prefix = load.prefix or f"prefix-{self.rng.randrange(PREFIXES)}"
        own_tokens = 3_000 if load.service_class is LONG else 400
        parts = ((prefix, 6_000), (f"own-{request_id}", own_tokens))
        return Request(
            request_id=RequestId(request_id),
            kind=ServiceKind.MODEL if is_model else ServiceKind.PLAIN,
            target=load.target,
            customer=load.customer,
            team="",
            service_class=load.service_class,
            arrived_at=at,
            deadline=at + (8.0 if is_model else 1.5),
            repeatable=load.repeatable,
            sends_max=None if load.repeatable else 1,
            prompt_tokens=6_000 + own_tokens if is_model else 0,
            max_tokens=40 if is_model else None,
            parts=parts if is_model else (),
            fingerprint=request_id,
            end_by=at + 8.0,
        )

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        self.logs += [(self.now, name, each) for each in effects if isinstance(each, Log)]

    def _run_attempt(self, name: str, start: StartAttempt) -> None:
        load = self.loads[start.request_id]
        ids = (start.request_id, start.attempt_id)
        failing = self.failing.get(start.server)
        if load.is_faulty:
            failing = FailingServer(failure=error_status)
        has_failed = failing is not None and self.rng.random() < failing.share
        self.sent.append(Sent(self.now, name, start.server, start.request_id, has_failed))
        self._push(self.now, name, AttemptSent(*ids))
        if failing is not None and has_failed:
            end = failing.failure(load.repeatable)
            self._push(self.now + failing.after_s, name, AttemptEnded(*ids, end))
            return
        self._push(self.now + 2 * NETWORK_S, name, AttemptProgress(*ids, 1))
        self._push(self.now + ANSWER_S, name, AttemptEnded(*ids, EndComplete(200)))

    # --- results ---

    def served(self, since: float = 0.0, customer: str = "") -> float:
        """Return the share of requests that callers sent since a time and that were answered."""
        results = [
            each.account.outcome is Outcome.COMPLETED and each.account.status == 200
            for each in self.accounts
            if self._sent_at[each.account.request_id] >= since
            and customer in ("", self.loads[each.account.request_id].customer)
        ]
        return sum(results) / len(results)

    def share_sent_to(self, *servers: str, since: float = 0.0) -> float:
        """Return the share of attempts that servers got since a time."""
        sent = [each.server in servers for each in self.sent if each.at >= since]
        return sum(sent) / max(1, len(sent))

    def failures(self) -> Counter[str]:
        """Count the failed attempts of each server."""
        return Counter(each.server for each in self.sent if each.has_failed)

    def logged(self, event: str) -> list[tuple[float, str, Log]]:
        """Return the log lines of an event, with their times and instances."""
        return [each for each in self.logs if each[2].event == event]
