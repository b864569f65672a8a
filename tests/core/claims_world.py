"""A small world for the tests of claims: instances, a log, peers and a service, all in memory.

Every effect that leaves an instance waits in the world until the test says what becomes of it: it
is done, lost, done with its answer lost, or done late. The world records every run of the service,
which is what the promises are judged by, and it folds the whole log itself, from offset 0 and
whatever the log has let go of since: the truth that the instances' ledgers are compared with.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from turmericweir_core.base.account import Account
from turmericweir_core.base.config import Config, Kind, ServerEntry, Service, ServiceClass
from turmericweir_core.base.ids import InstanceName, RequestId, ServerName, Target
from turmericweir_core.base.options import Options
from turmericweir_core.base.request import Request
from turmericweir_core.messages.effects import (
    AppendRecords,
    CancelAttempt,
    Effect,
    FinishRequest,
    ReadLog,
    ReplayAnswer,
    SendPeer,
    StartAttempt,
)
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    AttemptEnded,
    AttemptSent,
    EndBroken,
    EndComplete,
    EndRefused,
    EndUnsent,
    Event,
    ListRead,
    LogExpired,
    LogFailed,
    LogRead,
    LogRecord,
    PeerReceived,
    PeerUnreachable,
    RequestArrived,
    ServerReport,
    Tick,
)
from turmericweir_core.records.claim_answer import KeptAnswer
from turmericweir_core.records.claim_record import CLAIMS_STREAM
from turmericweir_core.reducers.reducer import new_state, reduce
from turmericweir_core.state.claim_ledger import Ledger, fold, holder_of
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.state import Identity, State

COUNTER: Final = ServiceClass("counter", 0, 0.5)
TARGET: Final = Target("shop")
SERVER: Final = ServerEntry(ServerName("shop-0"), "shop", "dc", "10.0.0.9:1")
SLOTS: Final = 1000
# The wall clock at the start, milliseconds.
EPOCH_MS: Final = 1_700_000_000_000


class Fate(Enum):
    """What becomes of something that an instance sent."""

    DONE = "done"
    # Nothing reached the other side, and the instance is told.
    FAILED = "failed"
    # It took effect, but the instance is told that it may not have.
    UNACKNOWLEDGED = "unacknowledged"
    # The instance is told that it may have failed; it takes effect at some later time.
    LATE = "late"


@dataclass(slots=True)
class Instance:
    """One process."""

    state: State
    # Effects that leave the process and have not been performed.
    pending: list[Effect] = field(default_factory=list)
    # Accounts by request.
    accounts: dict[str, Account] = field(default_factory=dict)
    replays: dict[str, bytes] = field(default_factory=dict)
    # A paused process takes what came meanwhile when it goes on.
    paused: bool = False
    inbox: list[Event] = field(default_factory=list)
    # It hears the heartbeats of the others.
    hears: bool = True


@dataclass(frozen=True, slots=True)
class Run:
    """One run of the service."""

    request_id: str
    key: str


@dataclass(slots=True)
class World:
    """Everything."""

    options: Options
    now: float = 0.0
    up: bool = True
    # The log: all records ever, of which those before `oldest` are no longer served.
    records: list[Any] = field(default_factory=list)
    oldest: int = 0
    # Appends that were given up by their writers and are still on their way.
    late: list[Any] = field(default_factory=list)
    # Messages between instances that are still on their way, or will come a second time.
    delayed: list[tuple[InstanceName, SendPeer]] = field(default_factory=list)
    truth: Ledger = field(default_factory=Ledger)
    instances: list[Instance] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    requests: dict[str, Request] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    started: int = 0
    arrived: int = 0

    # --- instances ---

    def start(self) -> Instance:
        """Start one more instance."""
        name = f"i{self.started}"
        self.started += 1
        identity = Identity(
            name=InstanceName(name),
            data_centre="dc",
            region="home",
            peer_address=f"10.0.0.1:{self.started}",
            incarnation=f"{name}-a",
        )
        instance = Instance(new_state(identity, self.options, seed=self.started))
        state = instance.state
        service = Service("shop", Kind.PLAIN, slots=SLOTS)
        state.config = Config(
            classes={"counter": COUNTER},
            services={"shop": service},
            service_by_target={TARGET: service},
        )
        state.settings.config = state.config
        state.settings.ready = True
        state.has_settings = True
        self.instances.append(instance)
        self.handle(instance, ListRead((SERVER,), ()))
        self.handle(instance, ServerReport(SERVER.name, "a", 1, 0, 0, SLOTS))
        return instance

    def kill(self, index: int) -> None:
        """Replace an instance by a new one; what it had sent may still take effect."""
        gone = self.instances.pop(index)
        for effect in gone.pending:
            if isinstance(effect, AppendRecords):
                self.late += effect.records
        self.start()

    def handle(self, instance: Instance, event: Event) -> None:
        """Give an event to an instance and keep what it wants done."""
        if instance.paused:
            instance.inbox.append(event)
            return
        for effect in reduce(instance.state, self.now, event):
            match effect:
                case FinishRequest(account):
                    assert account.request_id not in self.accounts, "two accounts of a request"
                    self.accounts[account.request_id] = account
                case ReplayAnswer(request_id, _, _, body):
                    instance.replays[request_id] = body
                case AppendRecords() | ReadLog() | StartAttempt() | CancelAttempt():
                    instance.pending.append(effect)
                case SendPeer():
                    instance.pending.append(effect)
                case _:
                    pass

    def tick(self, seconds: float) -> None:
        """Let time pass for everybody."""
        self.now += seconds
        for instance in list(self.instances):
            if instance.paused:
                continue
            self._meet(instance)
            self.handle(instance, Tick())

    def _meet(self, instance: Instance) -> None:
        """Let an instance hear the heartbeats of those that run."""
        members = instance.state.members
        for other in self.instances:
            me = other.state.me
            if other is instance or other.paused or not (instance.hears and other.hears):
                continue
            heard = Member(me.name, "dc", me.peer_address, "home", me.incarnation, 1, self.now)
            heard.leaving = other.state.stopping_since is not None
            members.by_name[me.name] = heard

    def pause(self, index: int, paused: bool) -> None:
        """Stop a process, or let it go on."""
        instance = self.instances[index]
        instance.paused = paused
        if not paused:
            events, instance.inbox = instance.inbox, []
            for event in events:
                self.handle(instance, event)

    # --- callers ---

    def call(
        self, instance: Instance, key: str | None, body: str = "b", deadline_s: float = 5.0
    ) -> RequestId:
        """Have a caller send a call that must not be repeated."""
        self.arrived += 1
        clock = EPOCH_MS + int(self.now * 1000)
        request_id = RequestId(f"{clock:012x}-{self.arrived}")
        req = Request(
            request_id=request_id,
            kind=Kind.PLAIN,
            target=TARGET,
            customer="c",
            team="",
            service_class=COUNTER,
            arrived=self.now,
            deadline=self.now + deadline_s,
            repeatable=False,
            idempotency_key=key,
            fingerprint=body,
        )
        self.requests[request_id] = req
        self.handle(instance, RequestArrived(req))
        return request_id

    # --- what leaves the instances ---

    def perform(self, instance: Instance, index: int, fate: Fate) -> None:
        """Decide what becomes of one pending effect."""
        effect = instance.pending.pop(index)
        match effect:
            case AppendRecords():
                self._append(instance, effect, fate)
            case ReadLog():
                self._read(instance, effect, fate)
            case SendPeer():
                self._send(instance, effect, fate)
            case StartAttempt():
                self._run(instance, effect, fate)
            case _:
                pass

    def _append(self, instance: Instance, effect: AppendRecords, fate: Fate) -> None:
        stream, token = effect.stream, effect.token
        if fate is Fate.LATE:
            self.late += effect.records
        if fate in (Fate.LATE, Fate.FAILED) or not self.up:
            maybe = fate is not Fate.FAILED
            self.handle(instance, AppendFailed(stream, token, "lost", maybe))
            return
        first = len(self.records)
        for record in effect.records:
            self.land(record)
        if fate is Fate.UNACKNOWLEDGED:
            self.handle(instance, AppendFailed(stream, token, "no answer", maybe=True))
        else:
            self.handle(instance, AppendDone(stream, token, first, len(self.records)))

    def land(self, record: Any) -> None:
        """Put a record into the log."""
        fold(self.truth, self.options, len(self.records), record)
        self.records.append(record)

    def land_late(self, index: int) -> None:
        """Let an append take effect whose writer has given it up."""
        if self.late:
            self.land(self.late.pop(index % len(self.late)))

    def _read(self, instance: Instance, effect: ReadLog, fate: Fate) -> None:
        if fate is not Fate.DONE or not self.up:
            self.handle(instance, LogFailed(effect.stream, "lost"))
            return
        end = len(self.records)
        if effect.offset < self.oldest:
            self.handle(instance, LogExpired(effect.stream, self.oldest, end))
            return
        found = enumerate(self.records[effect.offset :], effect.offset)
        records = tuple(LogRecord(offset, value) for offset, value in found)
        self.handle(instance, LogRead(effect.stream, records, end))

    def _send(self, instance: Instance, effect: SendPeer, fate: Fate) -> None:
        me = instance.state.me.name
        if fate in (Fate.LATE, Fate.UNACKNOWLEDGED):
            # The stream broke, and what was sent comes later, or once more.
            self.delayed.append((me, effect))
        peer = self._find(effect.peer)
        if peer is not None and fate in (Fate.DONE, Fate.UNACKNOWLEDGED):
            self.handle(peer, PeerReceived(me, effect.message))
        if peer is None or fate is not Fate.DONE:
            self.handle(instance, PeerUnreachable(effect.peer, "broken"))

    def deliver_late(self, index: int) -> None:
        """Let a message come that was on its way for long."""
        if not self.delayed:
            return
        sender, effect = self.delayed.pop(index % len(self.delayed))
        peer = self._find(effect.peer)
        if peer is not None:
            self.handle(peer, PeerReceived(sender, effect.message))

    def _find(self, name: InstanceName) -> Instance | None:
        for instance in self.instances:
            if instance.state.me.name == name:
                return instance
        return None

    def _run(self, instance: Instance, effect: StartAttempt, fate: Fate) -> None:
        request_id, attempt_id = effect.request_id, effect.attempt_id
        if fate is Fate.FAILED:
            self.handle(instance, AttemptEnded(request_id, attempt_id, EndUnsent("refused")))
            return
        self.handle(instance, AttemptSent(request_id, attempt_id))
        if fate is Fate.LATE:
            end = EndRefused(503, leaving=False)
            self.handle(instance, AttemptEnded(request_id, attempt_id, end))
            return
        key = self.requests[request_id].idempotency_key or request_id
        self.runs.append(Run(request_id, key))
        if fate is Fate.UNACKNOWLEDGED:
            broken = EndBroken("reset", server_alive=True)
            self.handle(instance, AttemptEnded(request_id, attempt_id, broken))
            return
        answer = KeptAnswer(200, (), request_id.encode())
        complete = EndComplete(200, answer)
        self.handle(instance, AttemptEnded(request_id, attempt_id, complete))

    def let_go(self) -> None:
        """Have the log let go of what it may by the rule for operators: no live claim of it."""
        kept = [
            claim.kept_at
            for key, claim in self.truth.claims.items()
            if holder_of(self.truth, self.options, key) is not None
        ]
        self.oldest = max(self.oldest, min(kept, default=len(self.records)))

    def calm(self, seconds: float = 20.0, step_s: float = 0.1) -> None:
        """Let everything work for a while."""
        self.up = True
        for index, instance in enumerate(self.instances):
            instance.hears = True
            if instance.paused:
                self.pause(index, False)
        until = self.now + seconds
        while self.now < until:
            self.perform_all()
            self.tick(step_s)
        self.perform_all()

    def work(self, count: int) -> None:
        """Do so many of the oldest things that are pending, of each instance in turn."""
        for number in range(count * len(self.instances)):
            instance = self.instances[number % len(self.instances)]
            if instance.pending and not instance.paused:
                self.perform(instance, 0, Fate.DONE)

    def work_on(self, instance: Instance) -> None:
        """Do all that one instance has pending, and what follows from it."""
        while instance.pending and not instance.paused:
            self.perform(instance, 0, Fate.DONE)

    def perform_all(self) -> None:
        """Do everything that is pending, and what follows from it."""
        busy = True
        while busy:
            busy = False
            for instance in list(self.instances):
                busy = busy or (bool(instance.pending) and not instance.paused)
                self.work_on(instance)


__all__ = ["CLAIMS_STREAM", "Fate", "Instance", "Run", "World"]
