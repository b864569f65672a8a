"""One instance on a platform whose store has settings and servers, driven by events."""

from __future__ import annotations

from random import Random
from typing import TypeVar

from turmericweir_core.base.config import (
    Config,
    PlacementPolicy,
    ServerEntry,
    Service,
    ServiceClass,
    ServiceKind,
)
from turmericweir_core.base.ids import InstanceName, RequestId, ServerName, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.base.routes import Route, WeightedTarget
from turmericweir_core.messages.effects import Effect, FinishRequest, SendDatagram, StartAttempt
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    DocumentRead,
    Event,
    PeerReceived,
    RegistryRead,
    RequestArrived,
    Tick,
)
from turmericweir_core.messages.peer_messages import PeerMessage
from turmericweir_core.reducers.reducer_store import reduce
from turmericweir_core.state.document_state import DocumentState
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.retry_state import SharersView
from turmericweir_core.state.state import Identity, State

E = TypeVar("E", bound=Effect)

QUICK = ServiceClass("quick", priority=1, target_s=0.4, token_gap_target_s=0.2)
FIT = ServiceClass("fit", priority=1, target_s=0.6, token_gap_target_s=0.3)
BULK = ServiceClass("bulk", priority=1, target_s=2.0, token_gap_target_s=0.8)
COUNTER = ServiceClass("counter", priority=1, target_s=0.1)
MODEL = Target("lm")
PLAIN = Target("shop")


def model_route(service_class: ServiceClass, timeout_s: float) -> Route:
    """Return a route of streams of one class."""
    return Route(
        name="chat",
        host="front.example",
        path_prefix="/chat/",
        targets=(WeightedTarget(MODEL, 1),),
        streamed=True,
        repeatable=True,
        sends_max=1,
        timeout_s=timeout_s,
        target_s=service_class.target_s,
        gap_target_s=service_class.token_gap_target_s,
        priority=service_class.priority,
    )


def options(**changed: float) -> Options:
    """Return the options of a process on such a platform, with changes."""
    base: dict[str, float] = {
        "deadline_grace_s": 0.0,
        "retry_share": 0.2,
        "retry_burst": 56.0,
        "retry_window_s": 10.0,
        "key_proof_s": 4.4,
        "stop_grace_s": 2.5,
        "stop_limit_s": 7.5,
        "first_silence_s": 0.3,
        "crash_doubt_s": 0.0,
        "harmless_s": 0.25,
        "trial_s": 0.25,
        "subset_size": 64,
    }
    # The names of options with values of their types.
    return Options(probe_servers=False, retry_pay_all=True, **{**base, **changed})  # type: ignore[arg-type]


class StoreWorld:
    """One instance and its effects."""

    def __init__(
        self, engines: int = 2, plain: int = 2, *, name: str = "a-1", **changed: float
    ) -> None:
        identity = Identity(InstanceName(name), "dc-a", "home", "127.0.0.1:1", incarnation="x")
        self.state = State(
            identity,
            options(**changed),
            Random(1),
            settings=None,  # type: ignore[arg-type]
            document=DocumentState(),
        )
        self.now = 100.0
        # Started long enough ago to know all others and to have a part of the burst of retries.
        self.state.members.started_at = 0.0
        self.state.retries.sharers = [SharersView(0, 0.0, (identity.name,))]
        self.effects: list[Effect] = []
        self.give_document(1)
        self.entries = [
            *(self.entry(f"lm-{number}", "lm") for number in range(1, engines + 1)),
            *(self.entry(f"shop-{number}", "shop") for number in range(1, plain + 1)),
        ]
        self.give(RegistryRead(tuple((entry, 1) for entry in self.entries), is_complete=True))

    def entry(self, name: str, service: str, **fields: object) -> ServerEntry:
        """Return a server's entry."""
        slots = 64 if service == "lm" else 6
        number = len(name) + sum(map(ord, name))
        address = f"127.0.0.1:{number}"
        all_fields = {"incarnation": "", "leaving": False, "address": address, **fields}
        return ServerEntry(
            ServerName(name), service, "dc-a", slots=slots, **all_fields  # type: ignore[arg-type]
        )

    def config(self) -> Config:
        """Return the settings."""
        services = {
            "lm": Service(
                "lm",
                ServiceKind.MODEL,
                slots=64,
                kv_tokens=584_240,
                event_tokens=3,
                fetch_ms_per_token=0.0048,
            ),
            "shop": Service("shop", ServiceKind.PLAIN, slots=6),
        }
        return Config(
            classes={each.name: each for each in (QUICK, FIT, BULK, COUNTER)},
            services=services,
            service_by_target={Target(name): each for name, each in services.items()},
            policy=PlacementPolicy.PREDICTED,
        )

    def give(self, event: Event) -> list[Effect]:
        """Reduce an event; record and return its effects."""
        effects = reduce(self.state, self.now, event)
        self.effects += effects
        return effects

    def give_document(self, version: int, asked_at: float | None = None) -> list[Effect]:
        """Deliver a version of the settings read from the store."""
        read_at = self.now if asked_at is None else asked_at
        return self.give(DocumentRead(version, self.config(), b"raw", read_at))

    def know(self, name: str) -> InstanceName:
        """Add a live peer of the same data centre."""
        member_name = InstanceName(name)
        member = Member(
            member_name, "dc-a", f"127.0.0.1:{sum(map(ord, name))}", region="home", seq=1
        )
        member.last_seen_at = self.now
        self.state.members.by_name[member_name] = member
        return member_name

    def peer(self, name: str, message: PeerMessage) -> list[Effect]:
        """Deliver a peer's message."""
        return self.give(PeerReceived(InstanceName(name), message))

    def wait(self, seconds: float, step: float = 0.05) -> list[Effect]:
        """Advance the time with ticks; return the effects."""
        effects: list[Effect] = []
        end_at = self.now + seconds
        while self.now < end_at - 1e-9:
            self.now = min(end_at, self.now + step)
            effects += self.give(Tick())
        return effects

    def arrive(self, name: str, **fields: object) -> list[Effect]:
        """Deliver a request."""
        return self.give(RequestArrived(self.request(name, **fields)))

    def request(self, name: str, **fields: object) -> Request:
        """Return a request, a model request by default."""
        target = fields.pop("target", MODEL)
        kind = ServiceKind.MODEL if target == MODEL else ServiceKind.PLAIN
        all_fields: dict[str, object] = {
            "service_class": BULK if kind is ServiceKind.MODEL else COUNTER,
            "deadline": self.now + (12.0 if kind is ServiceKind.MODEL else 1.0),
            "repeatable": False,
            "sends_max": 1,
            "prompt_tokens": 0,
            "max_tokens": 120,
            "customer": "c",
        }
        all_fields |= fields
        all_fields.setdefault("end_by", all_fields["deadline"])
        return Request(
            request_id=RequestId(name),
            kind=kind,
            target=target,  # type: ignore[arg-type]
            team="",
            arrived_at=self.now,
            **all_fields,  # type: ignore[arg-type]
        )

    def sent(self, start: StartAttempt) -> list[Effect]:
        """Report that the first byte of an attempt was sent."""
        return self.give(AttemptSent(start.request_id, start.attempt_id))

    def begin(self, start: StartAttempt, events: int = 1) -> list[Effect]:
        """Report the first events of an attempt."""
        return self.give(AttemptProgress(start.request_id, start.attempt_id, events))

    def end(self, start: StartAttempt, end: AttemptEnd) -> list[Effect]:
        """Report the end of an attempt."""
        return self.give(AttemptEnded(start.request_id, start.attempt_id, end))


def only(effects: list[Effect], kind: type[E]) -> list[E]:
    """Return the effects of one type."""
    return [effect for effect in effects if isinstance(effect, kind)]


def start_of(effects: list[Effect]) -> StartAttempt:
    """Return the only started attempt."""
    (start,) = only(effects, StartAttempt)
    return start


def account_of(effects: list[Effect]) -> FinishRequest:
    """Return the only finished request."""
    (finish,) = only(effects, FinishRequest)
    return finish


def datagrams(effects: list[Effect]) -> list[SendDatagram]:
    """Return the sent datagrams."""
    return only(effects, SendDatagram)
