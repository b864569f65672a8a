"""Simulate instances and servers in one process with one clock, for tests under load.

Messages between instances arrive at once unless a link is cut, an attempt runs until the test ends
it, and a cancelled attempt ends at once unless the test holds it. The world records the attempts
that servers were sent and the accounts that callers got, for the tests to check.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.config import (
    Config,
    PlacementPolicy,
    ServerEntry,
    Service,
    ServiceClass,
    ServiceKind,
)
from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import CancelReason, Request
from turmericweir_core.messages.effects import (
    CancelAttempt,
    Effect,
    FinishRequest,
    ProbeServer,
    SendPeer,
    StartAttempt,
)
from turmericweir_core.messages.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    EndCancelled,
    EndComplete,
    Event,
    PeerReceived,
    RequestArrived,
    ServerReport,
    Tick,
)
from turmericweir_core.reducers.reducer import new_state, reduce
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.server_table import rebuild_table
from turmericweir_core.state.state import Identity, State

MODEL = Target("tailor-lm")
PLAIN = Target("counter-api")
COUNTER = ServiceClass("counter", 0, target_s=0.5, deadline_s=30.0)
FITTING = ServiceClass("fitting", 1, target_s=2.0, deadline_s=30.0)
QUOTE = ServiceClass("quote", 2, target_s=20.0, deadline_s=60.0, assured_share=0.05)
CLASSES = {each.name: each for each in (COUNTER, FITTING, QUOTE)}
DATA_CENTRE = "klein-a"


@dataclass(slots=True)
class Running:
    """An attempt that a server runs."""

    instance: InstanceName
    request_id: RequestId
    attempt_id: AttemptId
    server: ServerName
    service_class: str
    # As sent to the server; lower is more urgent.
    priority: int
    resume_from: int


@dataclass(slots=True)
class Outcomes:
    """The accounts that the callers of one class got."""

    accounts: list[Account] = field(default_factory=list)

    def count(self, outcome: Outcome) -> int:
        """Count the accounts with an outcome."""
        return sum(1 for each in self.accounts if each.outcome is outcome)


class LoadWorld:
    """Some instances, their servers and a clock."""

    def __init__(
        self,
        *,
        instances: int = 1,
        servers: int = 2,
        slots: int = 2,
        policy: PlacementPolicy = PlacementPolicy.COUNTS,
        kind: ServiceKind = ServiceKind.MODEL,
        options: Options | None = None,
        classes: dict[str, ServiceClass] | None = None,
        report_s: float | None = 0.1,
    ) -> None:
        self.now = 100.0
        self.kind = kind
        self.target = MODEL if kind is ServiceKind.MODEL else PLAIN
        self.options = options or Options()
        self.classes = classes or CLASSES
        # Interval of load reports; None disables them.
        self.report_s = report_s
        self.config = _config(servers, slots, policy, kind, self.classes)
        self.slots = slots
        self.states: dict[InstanceName, State] = {}
        self.running: dict[AttemptId, Running] = {}
        # All started attempts, and all cancellations, in order.
        self.started: list[Running] = []
        self.cancelled: list[tuple[str, CancelReason]] = []
        self.accounts_by_class: dict[str, Outcomes] = {name: Outcomes() for name in self.classes}
        self.events: list[str] = []
        # Number of messages sent between instances.
        self.messages = 0
        # Instances that are cut off from all others.
        self.cut: set[InstanceName] = set()
        # Returns whether a message is lost, by its sender and receiver.
        self.is_message_lost: Callable[[InstanceName, InstanceName], bool] = (
            lambda sender, receiver: False
        )
        # Returns whether the first instance receives heartbeats of the second.
        self.can_see: Callable[[InstanceName, InstanceName], bool] = lambda one, other: True
        # While set, collects messages instead of delivering them.
        self.delayed_messages: list[tuple[InstanceName, Event]] | None = None
        # While set, cancelled attempts do not end.
        self.hold_cancelled = False
        self.probes: list[tuple[InstanceName, ServerName]] = []
        self._ids = count()
        self._seq = count(1)
        self._reported = 0.0
        self._mail: deque[tuple[InstanceName, Event]] = deque()
        for number in range(instances):
            self._add_instance(InstanceName(f"entry-{number}"))

    # --- instances -------------------------------------------------------------------------

    def _add_instance(self, name: InstanceName) -> None:
        identity = Identity(name, DATA_CENTRE, "khomas", f"127.0.0.1:{7000 + len(name)}", "1")
        state = new_state(identity, self.options, seed=len(self.states))
        state.config = self.config
        # Ticks take the configuration in force from here.
        state.settings.config = self.config
        state.settings.has_been_complete = True
        state.has_settings = True
        rebuild_table(state.servers, self.config)
        self.states[name] = state

    @property
    def first(self) -> State:
        """Return the state of the first instance."""
        return next(iter(self.states.values()))

    def _deliver_heartbeats(self) -> None:
        """Deliver heartbeats between all instances that are not cut off."""
        for name, state in self.states.items():
            for other in self.states:
                if other == name or other in self.cut or name in self.cut:
                    continue
                if not self.can_see(name, other):
                    continue
                member = state.members.by_name.setdefault(
                    other, Member(other, DATA_CENTRE, f"127.0.0.1:{other}", region="khomas")
                )
                member.last_seen_at = self.now

    # --- events ----------------------------------------------------------------------------

    def event(self, instance: InstanceName, event: Event) -> None:
        """Give an instance an event and carry out all effects that follow."""
        self._mail.append((instance, event))
        while self._mail:
            to, each = self._mail.popleft()
            self._carry_out(to, reduce(self.states[to], self.now, each))

    def _carry_out(self, instance: InstanceName, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartAttempt():
                    self._start(instance, effect)
                case CancelAttempt():
                    self._cancel(instance, effect)
                case FinishRequest(account):
                    self.accounts_by_class[account.service_class].accounts.append(account)
                    self.events.append(f"{account.request_id} {account.outcome} {account.reason}")
                case SendPeer(peer, _, message):
                    self.messages += 1
                    self._post(instance, peer, PeerReceived(instance, message))
                case ProbeServer(server, _):
                    self.probes.append((instance, server))
                case _:
                    pass

    def _post(self, sender: InstanceName, receiver: InstanceName, event: Event) -> None:
        if sender in self.cut or receiver in self.cut or self.is_message_lost(sender, receiver):
            return
        if self.delayed_messages is not None:
            self.delayed_messages.append((receiver, event))
        else:
            self._mail.append((receiver, event))

    def delay_messages(self) -> None:
        """Delay the messages between instances from here on."""
        self.delayed_messages = []

    def take_delayed_messages(self) -> list[tuple[InstanceName, Event]]:
        """Return the delayed messages and stop delaying."""
        late = self.delayed_messages or []
        self.delayed_messages = None
        return late

    def restart(self, name: InstanceName) -> None:
        """Restart an instance with an empty state."""
        self.running = {k: v for k, v in self.running.items() if v.instance != name}
        self._add_instance(name)

    def _start(self, instance: InstanceName, effect: StartAttempt) -> None:
        req = self.states[instance].requests[effect.request_id]
        running = Running(
            instance,
            effect.request_id,
            effect.attempt_id,
            effect.server,
            req.service_class.name,
            effect.priority,
            effect.resume_from,
        )
        self.running[effect.attempt_id] = running
        self.started.append(running)
        self.events.append(f"{effect.request_id} starts on {effect.server}")
        self._mail.append((instance, AttemptSent(effect.request_id, effect.attempt_id)))

    def _cancel(self, instance: InstanceName, effect: CancelAttempt) -> None:
        self.cancelled.append((effect.request_id, effect.reason))
        self.events.append(f"{effect.request_id} cancelled {effect.reason}")
        if not self.hold_cancelled:
            running = self.running[effect.attempt_id]
            self._mail.append((instance, self._ended(running, EndCancelled(0))))

    def _ended(self, running: Running, end: AttemptEnd) -> AttemptEnded:
        self.running.pop(running.attempt_id, None)
        return AttemptEnded(running.request_id, running.attempt_id, end)

    def arrive(
        self,
        class_name: str,
        *,
        instance: int = 0,
        deadline_s: float | None = None,
        name: str | None = None,
        prefixes: tuple[str, ...] = (),
        max_tokens: int | None = None,
        customer: str = "dunes",
        repeatable: bool = True,
    ) -> RequestId:
        """Let a caller send a request to an instance."""
        service_class = self.classes[class_name]
        within = service_class.deadline_s if deadline_s is None else deadline_s
        request_id = RequestId(name or f"{class_name}{next(self._ids)}")
        req = Request(
            request_id=request_id,
            kind=self.kind,
            target=self.target,
            customer=customer,
            team="",
            service_class=service_class,
            arrived_at=self.now,
            deadline=self.now + within,
            fingerprint=request_id,
            prefixes=prefixes,
            max_tokens=max_tokens,
            repeatable=repeatable,
        )
        self.event(list(self.states)[instance], RequestArrived(req))
        return request_id

    def progress(self, running: Running, tokens: int) -> None:
        """Let a server send tokens of an attempt."""
        event = AttemptProgress(running.request_id, running.attempt_id, tokens)
        self.event(running.instance, event)

    def end(self, running: Running, end: AttemptEnd | None = None) -> None:
        """Let an attempt end; it completes by default."""
        self.event(running.instance, self._ended(running, end or EndComplete(200)))

    def oldest(self, class_name: str | None = None) -> Running:
        """Return the oldest running attempt, of one class or of all."""
        return next(
            each
            for each in self.running.values()
            if class_name is None or each.service_class == class_name
        )

    def run_of(self, request_id: str) -> Running:
        """Return the running attempt of a request."""
        attempts = [each for each in self.running.values() if each.request_id == request_id]
        assert attempts, f"{request_id} does not run; running: {self.running_ids()}"
        return attempts[-1]

    def advance(self, seconds: float) -> None:
        """Let time pass, with its ticks and load reports."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.now = min(until, self.now + self.options.tick_s)
            self._deliver_heartbeats()
            if self.report_s is not None and self.now - self._reported >= self.report_s - 1e-9:
                self._reported = self.now
                self.report()
            for name in self.states:
                if name not in self.cut:
                    self.event(name, Tick())

    def report(self) -> None:
        """Deliver every server's load report to every instance."""
        for server in self.config.servers:
            seq = next(self._seq)
            load = len(self.on_server(server))
            report = report_of(server, seq, load, self.slots, self.kind)
            for name in self.states:
                if name not in self.cut:
                    self.event(name, report)

    # --- observations ----------------------------------------------------------------------

    def on_server(self, server: str) -> list[Running]:
        """List the attempts that a server runs."""
        return [each for each in self.running.values() if each.server == server]

    def running_ids(self) -> list[str]:
        """List the names of the running requests."""
        return sorted(each.request_id for each in self.running.values())

    def waiting(self, instance: int = 0) -> list[str]:
        """List the names of the requests that wait at an instance."""
        return sorted(list(self.states.values())[instance].queues.index)


def report_of(
    server: ServerName, seq: int, load: int, slots: int, kind: ServiceKind = ServiceKind.MODEL
) -> ServerReport:
    """Return the load report of a server that has its model loaded."""
    return ServerReport(
        server=server,
        incarnation="1",
        seq=seq,
        running=min(load, slots),
        waiting=max(0, load - slots),
        slots=slots,
        models=(str(MODEL),) if kind is ServiceKind.MODEL else (),
    )


def _config(
    servers: int,
    slots: int,
    policy: PlacementPolicy,
    kind: ServiceKind,
    classes: dict[str, ServiceClass],
) -> Config:
    target = MODEL if kind is ServiceKind.MODEL else PLAIN
    models = (str(MODEL),) if kind is ServiceKind.MODEL else ()
    service = Service(str(target), kind, models, slots=slots)
    entries = [
        ServerEntry(ServerName(f"s{each}"), service.name, DATA_CENTRE, f"127.0.0.1:{9000 + each}")
        for each in range(servers)
    ]
    return Config(
        classes=classes,
        services={service.name: service},
        service_by_target={target: service},
        servers={entry.name: entry for entry in entries},
        policy=policy,
    )
