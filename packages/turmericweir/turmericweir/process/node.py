"""The loop around the core: reduce one event at a time and perform its effects.

Any task of the thread may call `handle`. If performing an effect causes another event, that event
waits in a queue until all effects of the current one are performed. Therefore one event is reduced
at a time, and effects keep their order.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, Protocol, TypeVar, TypeVarTuple, Unpack, assert_never

import anyio
from anyio.abc import TaskGroup

from turmericweir.process import logs
from turmericweir.process.answer_bounds import AnswerBounds
from turmericweir.process.errors import describe_error
from turmericweir.process.memory_budget import MemoryBudget
from turmericweir.process.supervisor import is_being_cancelled
from turmericweir.process.traffic import Traffic
from turmericweir_core.base.ids import RequestId
from turmericweir_core.messages.effects import (
    AppendRecords,
    CancelAttempt,
    Count,
    DecodeDocument,
    Effect,
    Exit,
    FinishRequest,
    Log,
    OrderServers,
    ProbeServer,
    ReadLog,
    RecordEffect,
    ReplayAnswer,
    ReportUsage,
    ReportVerdict,
    RequestLoadPermit,
    RetireConnections,
    SendDatagram,
    SendOrder,
    SendPeer,
    StartAttempt,
    Timing,
)
from turmericweir_core.messages.events import (
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    CallerLeft,
    Event,
    RequestArrived,
    StopRequested,
    Tick,
)
from turmericweir_core.messages.record_messages import (
    MarkEra,
    PutReleases,
    PutStreams,
    ReadRecords,
)
from turmericweir_core.reducers.reducer_common import Reducer
from turmericweir_core.state.state import State

if TYPE_CHECKING:
    from turmericweir.process.metrics import Metrics

PosArgs = TypeVarTuple("PosArgs")
Port = TypeVar("Port")
_FLUSH_INTERVAL_S: Final = 1.0


class ActiveRequest(Protocol):
    """The interface for effects on a request that runs in its caller's task."""

    def add_decision(self, decision: StartAttempt | FinishRequest) -> None:
        """Apply a decision of the reducer."""

    def replay(self, effect: ReplayAnswer) -> None:
        """Send the stored answer of an earlier call."""

    def cancel(self, effect: CancelAttempt) -> None:
        """Stop an attempt."""

    def abort_request(self, fault: BaseException) -> None:
        """End the request after an unexpected exception."""

    def check_blocked_caller(self, now: float, unread_s: float) -> None:
        """End the request if the caller has stopped reading."""


class PlatformPort(Protocol):
    """The interface for effects on the platform."""

    def append(self, effect: AppendRecords) -> None:
        """Append records to a stream of the platform."""

    def read(self, effect: ReadLog) -> None:
        """Read a stream immediately."""

    def request_load_permit(self, effect: RequestLoadPermit) -> None:
        """Request the loading of model weights."""


class PeerPort(Protocol):
    """The interface for messages over streams to peers."""

    def send(self, effect: SendPeer) -> None:
        """Send a message over a stream."""


class DatagramPort(Protocol):
    """The interface for messages in datagrams to peers."""

    def send(self, effect: SendDatagram) -> None:
        """Send a message as a datagram."""


class ServerPort(Protocol):
    """The interface for calls to servers outside callers' requests."""

    def probe(self, effect: ProbeServer) -> None:
        """Probe a server in the background."""

    def retire_connections(self, effect: RetireConnections) -> None:
        """Stop reusing the connections that are open to a server now."""

    def order(self, effect: SendOrder) -> None:
        """Send an order to a server."""


class DocumentPort(Protocol):
    """The interface for decoding settings documents."""

    def decode(self, effect: DecodeDocument) -> None:
        """Decode a document and report the result as an event."""


class RecordPort(Protocol):
    """The interface for the project's own records in the store of the platform."""

    def perform(self, effect: RecordEffect) -> None:
        """Read or write records in the background."""


class DutyPort(Protocol):
    """The interface for platform calls that only one instance at a time makes."""

    def report(self, effect: ReportUsage) -> None:
        """Report the usage in a time window."""

    def order(self, effect: OrderServers) -> None:
        """Order servers from the platform."""


class VerdictPort(Protocol):
    """The interface for answers to operators."""

    def settle(self, effect: ReportVerdict) -> None:
        """Pass the verdict on a change to the operator."""


@dataclass(frozen=True, slots=True)
class Adapters:
    """The adapters that perform effects outside the core."""

    peers: PeerPort
    datagrams: DatagramPort
    servers: ServerPort
    metrics: Metrics
    # None if the process's platform does not use the effects of the adapter.
    platform: PlatformPort | None = None
    verdicts: VerdictPort | None = None
    documents: DocumentPort | None = None
    records: RecordPort | None = None
    duties: DutyPort | None = None


class Node:
    """Owns the state of the instance and changes it by events."""

    state: State
    # Active requests, each of which runs in its caller's task.
    active_requests: dict[RequestId, ActiveRequest]
    # Set when all requests have ended after a stop.
    exit_requested: anyio.Event
    # Set when the instance has settings.
    settings_available: anyio.Event
    _reduce: Reducer
    _adapters: Adapters
    # Runs background tasks.
    _background_tasks: TaskGroup
    # Events that arrived while another one was being handled.
    _pending_events: deque[Event]
    _is_handling: bool
    # Time after which a caller that does not read its answer counts as disconnected.
    _unread_s: float
    # Control traffic of this process, which the adapters count.
    traffic: Traffic
    # Bounds on what servers answer.
    answer_bounds: AnswerBounds
    # What may be held for callers and servers.
    memory: MemoryBudget

    def __init__(
        self,
        state: State,
        reduce: Reducer,
        adapters: Adapters,
        group: TaskGroup,
        *,
        unread_s: float,
    ) -> None:
        self.state = state
        self._reduce = reduce
        self.active_requests = {}
        self.exit_requested = anyio.Event()
        self.settings_available = anyio.Event()
        self._adapters = adapters
        self._background_tasks = group
        self._pending_events = deque()
        self._is_handling = False
        self._unread_s = unread_s
        self.traffic = Traffic()
        self.answer_bounds = AnswerBounds()
        self.memory = MemoryBudget()

    def handle(self, event: Event) -> None:
        """Reduce an event and perform its effects, after all earlier events."""
        self._pending_events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._pending_events:
                self._handle_one(self._pending_events.popleft())
        finally:
            self._is_handling = False

    def _handle_one(self, event: Event) -> None:
        try:
            effects = self._reduce(self.state, anyio.current_time(), event)
        except Exception as exc:
            # Prevents a fault in one event from ending all requests, and the caller of the affected
            # request from waiting forever.
            logs.write_fault("reduce", type(event).__name__, exc)
            self._adapters.metrics.count("fault.reduce")
            self._fail_request(event, exc)
            effects = []
        for effect in effects:
            self._perform_guarded(effect)
        if self.state.has_settings and not self.settings_available.is_set():
            self.settings_available.set()

    def _perform_guarded(self, effect: Effect) -> None:
        """Perform an effect; a failure must not prevent the later effects of the same event."""
        try:
            self._perform(effect)
        except Exception as exc:
            logs.write_fault("perform", type(effect).__name__, exc)
            self._adapters.metrics.count("fault.perform")
            match effect:
                case StartAttempt() | ReplayAnswer() | CancelAttempt():
                    self._abort_request(effect.request_id, exc)
                case FinishRequest():
                    self._abort_request(RequestId(effect.account.request_id), exc)
                case _:
                    pass

    def _fail_request(self, event: Event, fault: Exception) -> None:
        match event:
            case RequestArrived():
                request_id = event.request.request_id
            case AttemptSent() | AttemptProgress() | AttemptEnded() | CallerLeft():
                request_id = event.request_id
            case _:
                return
        self._abort_request(request_id, fault)

    def _abort_request(self, request_id: RequestId, fault: Exception) -> None:
        exchange = self.active_requests.get(request_id)
        if exchange is not None:
            exchange.abort_request(fault)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                self._pass_decision(effect.request_id, effect)
            case FinishRequest():
                self._pass_decision(RequestId(effect.account.request_id), effect)
            case ReplayAnswer():
                exchange = self.active_requests.get(effect.request_id)
                if exchange is not None:
                    exchange.replay(effect)
            case CancelAttempt():
                exchange = self.active_requests.get(effect.request_id)
                if exchange is not None:
                    exchange.cancel(effect)
            case Count():
                self._adapters.metrics.count(effect.name, effect.by)
            case Timing():
                self._adapters.metrics.timing(effect.name, effect.seconds)
            case Log():
                logs.write(effect.event, **effect.fields)
            case SendDatagram():
                self._adapters.datagrams.send(effect)
            case SendPeer():
                self._adapters.peers.send(effect)
            case ProbeServer():
                self._adapters.servers.probe(effect)
            case RetireConnections():
                self._adapters.servers.retire_connections(effect)
            case SendOrder():
                self._adapters.servers.order(effect)
            case AppendRecords():
                _require_adapter(self._adapters.platform).append(effect)
            case ReadLog():
                _require_adapter(self._adapters.platform).read(effect)
            case RequestLoadPermit():
                _require_adapter(self._adapters.platform).request_load_permit(effect)
            case ReportVerdict():
                _require_adapter(self._adapters.verdicts).settle(effect)
            case DecodeDocument():
                _require_adapter(self._adapters.documents).decode(effect)
            case MarkEra() | ReadRecords() | PutReleases() | PutStreams():
                _require_adapter(self._adapters.records).perform(effect)
            case ReportUsage():
                _require_adapter(self._adapters.duties).report(effect)
            case OrderServers():
                _require_adapter(self._adapters.duties).order(effect)
            case Exit():
                self.exit_requested.set()
            case unreachable:
                assert_never(unreachable)

    def _pass_decision(self, request_id: RequestId, decision: StartAttempt | FinishRequest) -> None:
        exchange = self.active_requests.get(request_id)
        if exchange is not None:
            exchange.add_decision(decision)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter, for an adapter."""
        self._adapters.metrics.count(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration, for an adapter."""
        self._adapters.metrics.timing(name, seconds)

    def run_in_background(
        self, work: Callable[[Unpack[PosArgs]], Awaitable[Any]], *args: *PosArgs
    ) -> None:
        """Run a background task; log its failure."""
        self._background_tasks.start_soon(_run_logged, work, args)

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send callers to this instance."""
        return self.state.has_settings and self.state.stopping_since is None

    @property
    def is_stopping(self) -> bool:
        """Return whether a graceful stop was requested."""
        return self.state.stopping_since is not None

    def stop(self) -> None:
        """Start the graceful stop."""
        self.handle(StopRequested())

    async def tick_forever(self) -> None:
        """Send ticks to the reducer at intervals."""
        next_flush_at = anyio.current_time()
        while True:
            await anyio.sleep(self.state.options.tick_s)
            now = anyio.current_time()
            self.handle(Tick())
            for request_id, exchange in list(self.active_requests.items()):
                try:
                    exchange.check_blocked_caller(now, self._unread_s)
                except Exception as exc:
                    logs.write_fault("check caller", request_id, exc)
                    self._abort_request(request_id, exc)
            if now >= next_flush_at:
                next_flush_at = now + _FLUSH_INTERVAL_S
                self._adapters.metrics.flush()


def _require_adapter(port: Port | None) -> Port:
    """Return an adapter that an effect requires; raise RuntimeError if it is missing."""
    if port is None:
        raise RuntimeError("an effect requires an adapter that this process does not have")
    return port


async def _run_logged(work: Callable[..., Awaitable[Any]], args: tuple[Any, ...]) -> None:
    try:
        await work(*args)
    except (Exception, asyncio.CancelledError) as exc:
        if isinstance(exc, asyncio.CancelledError) and is_being_cancelled():
            raise
        name = getattr(work, "__qualname__", type(work).__name__)
        logs.write("background_failed", step=name, error=describe_error(exc))
