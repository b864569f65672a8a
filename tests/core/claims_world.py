"""An in-memory world for the tests of claims: instances, a log, peers and a service.

Effects of an instance are pending until the test performs, loses or delays them. The world records
every run of the service. It also folds the whole log from offset 0, including expired records, as
the true ledger that the instances' ledgers are compared with.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from turmericweir_core.base.account import Account
from turmericweir_core.base.config import Config, ServerEntry, Service, ServiceClass, ServiceKind
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
from turmericweir_core.records.claim_answer import StoredAnswer
from turmericweir_core.records.claim_record import CLAIMS_STREAM
from turmericweir_core.reducers.reducer import new_state, reduce
from turmericweir_core.state.claim_ledger import ClaimLedger, fold, holder_of
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.state import Identity, State

COUNTER: Final = ServiceClass("counter", 0, 0.5)
TARGET: Final = Target("shop")
SERVER: Final = ServerEntry(ServerName("shop-0"), "shop", "dc", "10.0.0.9:1")
SLOTS: Final = 1000
# The wall clock time at the start.
EPOCH_MS: Final = 1_700_000_000_000


class Delivery(Enum):
    """The result of an effect that an instance sent."""

    DONE = "done"
    # It did not reach its receiver, and the instance is notified.
    FAILED = "failed"
    # It took effect, but the instance is notified that it may have failed.
    UNACKNOWLEDGED = "unacknowledged"
    # The instance is notified that it may have failed, and it takes effect later.
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
    # A paused process handles the events of its inbox when it resumes.
    paused: bool = False
    inbox: list[Event] = field(default_factory=list)
    # Whether it sends and receives heartbeats.
    has_heartbeats: bool = True


@dataclass(frozen=True, slots=True)
class Run:
    """One run of the service."""

    request_id: str
    key: str


@dataclass(slots=True)
class World:
    """The instances, the log and the service, with the time and all pending messages."""

    options: Options
    now: float = 0.0
    is_log_up: bool = True
    # All records of the log; those before `oldest` have expired.
    records: list[Any] = field(default_factory=list)
    oldest: int = 0
    # Records of appends that their writers count as failed and that have not landed yet.
    late: list[Any] = field(default_factory=list)
    # Delayed or duplicated messages between instances.
    delayed: list[tuple[InstanceName, SendPeer]] = field(default_factory=list)
    truth: ClaimLedger = field(default_factory=ClaimLedger)
    instances: list[Instance] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    requests: dict[str, Request] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    started: int = 0
    arrived: int = 0

    # --- instances ---

    def start(self) -> Instance:
        """Start another instance."""
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
        service = Service("shop", ServiceKind.PLAIN, slots=SLOTS)
        state.config = Config(
            classes={"counter": COUNTER},
            services={"shop": service},
            service_by_target={TARGET: service},
        )
        state.settings.config = state.config
        state.settings.has_been_complete = True
        state.has_settings = True
        self.instances.append(instance)
        self.handle(instance, ListRead((SERVER,), ()))
        self.handle(instance, ServerReport(SERVER.name, "a", 1, 0, 0, SLOTS))
        return instance

    def kill(self, index: int) -> None:
        """Replace an instance by a new one; its pending appends may still land."""
        gone = self.instances.pop(index)
        for effect in gone.pending:
            if isinstance(effect, AppendRecords):
                self.late += effect.records
        self.start()

    def handle(self, instance: Instance, event: Event) -> None:
        """Pass an event to an instance and store its effects."""
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
        """Advance the time and tick all running instances."""
        self.now += seconds
        for instance in list(self.instances):
            if instance.paused:
                continue
            self._update_members(instance)
            self.handle(instance, Tick())

    def _update_members(self, instance: Instance) -> None:
        """Update an instance's members from the heartbeats of the running instances."""
        members = instance.state.members
        for other in self.instances:
            me = other.state.me
            if (
                other is instance
                or other.paused
                or not (instance.has_heartbeats and other.has_heartbeats)
            ):
                continue
            member = Member(me.name, "dc", me.peer_address, "home", me.incarnation, 1, self.now)
            member.leaving = other.state.stopping_since is not None
            members.by_name[me.name] = member

    def pause(self, index: int, paused: bool) -> None:
        """Pause or resume a process."""
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
        """Send a call that must not be repeated to an instance."""
        self.arrived += 1
        clock = EPOCH_MS + int(self.now * 1000)
        request_id = RequestId(f"{clock:012x}-{self.arrived}")
        req = Request(
            request_id=request_id,
            kind=ServiceKind.PLAIN,
            target=TARGET,
            customer="c",
            team="",
            service_class=COUNTER,
            arrived_at=self.now,
            deadline=self.now + deadline_s,
            repeatable=False,
            idempotency_key=key,
            fingerprint=body,
        )
        self.requests[request_id] = req
        self.handle(instance, RequestArrived(req))
        return request_id

    # --- effects of the instances ---

    def perform(self, instance: Instance, index: int, delivery: Delivery) -> None:
        """Perform one pending effect with the given result."""
        effect = instance.pending.pop(index)
        match effect:
            case AppendRecords():
                self._append(instance, effect, delivery)
            case ReadLog():
                self._read(instance, effect, delivery)
            case SendPeer():
                self._send(instance, effect, delivery)
            case StartAttempt():
                self._run(instance, effect, delivery)
            case _:
                pass

    def _append(self, instance: Instance, effect: AppendRecords, delivery: Delivery) -> None:
        stream, token = effect.stream, effect.token
        if delivery is Delivery.LATE:
            self.late += effect.records
        if delivery in (Delivery.LATE, Delivery.FAILED) or not self.is_log_up:
            maybe = delivery is not Delivery.FAILED
            self.handle(instance, AppendFailed(stream, token, "lost", maybe))
            return
        first = len(self.records)
        for record in effect.records:
            self.land(record)
        if delivery is Delivery.UNACKNOWLEDGED:
            self.handle(instance, AppendFailed(stream, token, "no answer", may_have_applied=True))
        else:
            self.handle(instance, AppendDone(stream, token, first, len(self.records)))

    def land(self, record: Any) -> None:
        """Append a record to the log."""
        fold(self.truth, self.options, len(self.records), record)
        self.records.append(record)

    def land_late(self, index: int) -> None:
        """Land a delayed append that its writer counts as failed."""
        if self.late:
            self.land(self.late.pop(index % len(self.late)))

    def _read(self, instance: Instance, effect: ReadLog, delivery: Delivery) -> None:
        if delivery is not Delivery.DONE or not self.is_log_up:
            self.handle(instance, LogFailed(effect.stream, "lost"))
            return
        end = len(self.records)
        if effect.offset < self.oldest:
            self.handle(instance, LogExpired(effect.stream, self.oldest, end))
            return
        numbered_values = enumerate(self.records[effect.offset :], effect.offset)
        records = tuple(LogRecord(offset, value) for offset, value in numbered_values)
        self.handle(instance, LogRead(effect.stream, records, end))

    def _send(self, instance: Instance, effect: SendPeer, delivery: Delivery) -> None:
        me = instance.state.me.name
        if delivery in (Delivery.LATE, Delivery.UNACKNOWLEDGED):
            # The stream broke; the message arrives later or a second time.
            self.delayed.append((me, effect))
        peer = self._find(effect.peer)
        if peer is not None and delivery in (Delivery.DONE, Delivery.UNACKNOWLEDGED):
            self.handle(peer, PeerReceived(me, effect.message))
        if peer is None or delivery is not Delivery.DONE:
            self.handle(instance, PeerUnreachable(effect.peer, "broken"))

    def deliver_late(self, index: int) -> None:
        """Deliver a delayed message."""
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

    def _run(self, instance: Instance, effect: StartAttempt, delivery: Delivery) -> None:
        request_id, attempt_id = effect.request_id, effect.attempt_id
        if delivery is Delivery.FAILED:
            self.handle(instance, AttemptEnded(request_id, attempt_id, EndUnsent("refused")))
            return
        self.handle(instance, AttemptSent(request_id, attempt_id))
        if delivery is Delivery.LATE:
            end = EndRefused(503, leaving=False)
            self.handle(instance, AttemptEnded(request_id, attempt_id, end))
            return
        key = self.requests[request_id].idempotency_key or request_id
        self.runs.append(Run(request_id, key))
        if delivery is Delivery.UNACKNOWLEDGED:
            broken = EndBroken("reset", server_alive=True)
            self.handle(instance, AttemptEnded(request_id, attempt_id, broken))
            return
        answer = StoredAnswer(200, (), request_id.encode())
        complete = EndComplete(200, answer)
        self.handle(instance, AttemptEnded(request_id, attempt_id, complete))

    def expire_records(self) -> None:
        """Expire the records before the oldest live claim, as operators are allowed to."""
        offsets = [
            claim.record_offset
            for key, claim in self.truth.claims.items()
            if holder_of(self.truth, self.options, key) is not None
        ]
        self.oldest = max(self.oldest, min(offsets, default=len(self.records)))

    def run_normally(self, seconds: float = 20.0, step_s: float = 0.1) -> None:
        """Run without failures for some time."""
        self.is_log_up = True
        for index, instance in enumerate(self.instances):
            instance.has_heartbeats = True
            if instance.paused:
                self.pause(index, False)
        until = self.now + seconds
        while self.now < until:
            self.perform_all()
            self.tick(step_s)
        self.perform_all()

    def work(self, count: int) -> None:
        """Perform a number of the oldest pending effects of each instance."""
        for number in range(count * len(self.instances)):
            instance = self.instances[number % len(self.instances)]
            if instance.pending and not instance.paused:
                self.perform(instance, 0, Delivery.DONE)

    def work_on(self, instance: Instance) -> None:
        """Perform all pending effects of one instance and the effects that follow."""
        while instance.pending and not instance.paused:
            self.perform(instance, 0, Delivery.DONE)

    def perform_all(self) -> None:
        """Perform all pending effects and the effects that follow."""
        busy = True
        while busy:
            busy = False
            for instance in list(self.instances):
                busy = busy or (bool(instance.pending) and not instance.paused)
                self.work_on(instance)


__all__ = ["CLAIMS_STREAM", "Delivery", "Instance", "Run", "World"]
