"""Many instances before servers that state limits in their answers, driven by the reducer alone.

Requests arrive at random at each instance. A server answers each request after a fixed time, and
records who sent it and when it arrived.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import count

from tests.core.store_network import StoreNetwork
from turmericweir_core.base.config import ServiceClass, ServiceKind
from turmericweir_core.base.ids import RequestId, Target
from turmericweir_core.base.request import Request
from turmericweir_core.base.store_times import derive_store_times
from turmericweir_core.messages.effects import Effect, FinishRequest, StartAttempt
from turmericweir_core.messages.events import (
    AnswerReceived,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    EndComplete,
    RequestArrived,
)

NETWORK_S = 0.002
ANSWER_S = 0.25
MODEL = Target("lm")
CLASS = ServiceClass("answer", priority=1, target_s=2.0, token_gap_target_s=0.8)
# The users' bound: in any window of this length, a server gets at most so many times its limit, and
# so many requests more, from the time on at which the limit has been named for so long.
WINDOW_S = 4.0
FACTOR = 1.5
SURPLUS = 5
STABLE_S = 3.0


@dataclass(slots=True)
class Arrival:
    """A request as it reached a server."""

    at: float
    instance: str
    request_id: str


@dataclass(slots=True)
class FleetServer:
    """A server that names its limit in its answers, and whether it is leaving."""

    name: str
    limit_s: float | None = None
    is_leaving: bool = False
    # When the limit was first named, since it last was none.
    first_named_at: float | None = None
    arrivals: list[Arrival] = field(default_factory=list)

    def answer_limit(self, now: float) -> float | None:
        """Return the limit in an answer now."""
        if self.limit_s is None:
            self.first_named_at = None
        elif self.first_named_at is None:
            self.first_named_at = now
        return self.limit_s

    def busiest_window(self, since: float) -> int:
        """Return the largest number of arrivals in any window that begins after a time."""
        return busiest_window([each.at for each in self.arrivals if each.at >= since])


class ServerFleet(StoreNetwork):
    """Instances, their servers and the requests between them."""

    def __init__(self, servers: int = 4, *, seed: int = 1) -> None:
        super().__init__(derive_store_times(2.0, 2.0), seed)
        names = list(self.store.entries)[:servers]
        self.store.entries = {name: self.store.entries[name] for name in names}
        self.servers = {name: FleetServer(name) for name in names}
        self.accounts: list[FinishRequest] = []
        self._request_numbers = count()

    def start(self, instances: int, data_centres: int = 2) -> list[str]:
        """Start instances; return their names once all know each other and the servers."""
        names = self.start_all(instances, data_centres)
        self.run_until(
            lambda: self.versions() == {1}
            and all(len(self.nodes[name].state.servers.by_name) for name in names)
            and self.agree(names, names),
            within=30.0,
        )
        return names

    def send(self, names: list[str], rate_s: float, seconds: float) -> None:
        """Let requests arrive at the named instances, at a rate for all together, and run."""
        at = self.now
        while True:
            at += self.rng.expovariate(rate_s)
            if at >= self.now + seconds:
                break
            name = self.rng.choice(names)
            self._push(at, name, RequestArrived(self._request(at)))
        self.run(seconds)

    def _request(self, at: float) -> Request:
        number = next(self._request_numbers)
        return Request(
            request_id=RequestId(f"r{number}"),
            kind=ServiceKind.MODEL,
            target=MODEL,
            customer="c",
            team="",
            service_class=CLASS,
            arrived_at=at,
            deadline=at + 12.0,
            repeatable=True,
            prompt_tokens=400,
            max_tokens=40,
            parts=((f"p{number}", 400),),
            end_by=at + 12.0,
        )

    def _perform(self, name: str, effects: list[Effect]) -> None:
        super()._perform(name, effects)
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self._run_attempt(name, effect)
            elif isinstance(effect, FinishRequest):
                self.accounts.append(effect)

    def _run_attempt(self, name: str, start: StartAttempt) -> None:
        server = self.servers[start.server]
        arrived_at = self.now + NETWORK_S
        server.arrivals.append(Arrival(arrived_at, name, start.request_id))
        ids = (start.request_id, start.attempt_id)
        self._push(self.now, name, AttemptSent(*ids))
        limit_s = server.answer_limit(arrived_at)
        self._push(arrived_at + NETWORK_S, name, AnswerReceived(*ids, limit_s, server.is_leaving))
        self._push(arrived_at + NETWORK_S, name, AttemptProgress(*ids, 1))
        self._push(arrived_at + ANSWER_S, name, AttemptEnded(*ids, EndComplete(200)))


def allowed(limit_s: float) -> float:
    """Return the number of requests that a server with a limit may get in a window."""
    return FACTOR * limit_s * WINDOW_S + SURPLUS


def busiest_window(times: list[float]) -> int:
    """Return the largest number of times in any window."""
    return max((sum(1 for each in times if at <= each < at + WINDOW_S) for at in times), default=0)
