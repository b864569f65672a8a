"""A daemon in a thread, with the real reducer and operators' port and an in-memory log.

Tests can make the log fail and inject the status of other data centres.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import sha256
from typing import Any, Final

import anyio
from anyio.from_thread import BlockingPortal, start_blocking_portal

from turmericweir.callers.http_server import HttpServer
from turmericweir.operations.operator_port import OperatorPort
from turmericweir.process.listening_socket import bind, bound_address
from turmericweir.process.metrics import NullMetrics
from turmericweir.process.node import Adapters, Node
from turmericweir.process.process_settings import AdminToken, Limits
from turmericweir.process.verdict_waiters import VerdictWaiters
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.messages.effects import (
    AppendRecords,
    ProbeServer,
    ReadLog,
    RequestLoadPermit,
    RetireConnections,
    SendDatagram,
    SendOrder,
    SendPeer,
)
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    Event,
    LogFailed,
    LogRead,
    LogRecord,
)
from turmericweir_core.messages.membership_messages import Word
from turmericweir_core.reducers.reducer import new_state, reduce
from turmericweir_core.state.membership_state import RemoteCentre
from turmericweir_core.state.settings_sync import settings_read_offset
from turmericweir_core.state.state import Identity

TOKEN: Final = "root-token"


class LogMode(StrEnum):
    """Failure mode of the log."""

    UP = "up"
    # Appends are refused and reads fail.
    DOWN = "down"
    # Appends take effect but are reported as failed.
    LOSES_ACKS = "loses_acks"
    # As LOSES_ACKS, and reads fail too.
    HIDES = "hides"


@dataclass(slots=True)
class FakeLog:
    """The settings log; it answers the reducer immediately."""

    node: Node | None = None
    mode: LogMode = LogMode.UP
    values: list[Any] = field(default_factory=list)

    def handle(self, event: Event) -> None:
        """Pass an event to the node."""
        assert self.node is not None
        self.node.handle(event)

    def append(self, effect: AppendRecords) -> None:
        """Append records, or fail according to the mode."""
        if self.mode is LogMode.DOWN:
            self.handle(
                AppendFailed(effect.stream, effect.token, "refused", may_have_applied=False)
            )
            return
        first = len(self.values)
        self.values += effect.records
        if self.mode in (LogMode.LOSES_ACKS, LogMode.HIDES):
            self.handle(
                AppendFailed(effect.stream, effect.token, "timed out", may_have_applied=True)
            )
        else:
            self.handle(AppendDone(effect.stream, effect.token, first, len(self.values)))
        self.deliver()

    def deliver(self) -> None:
        """Deliver new records to the reducer."""
        assert self.node is not None
        if self.mode in (LogMode.DOWN, LogMode.HIDES):
            self.handle(LogFailed("settings", "refused"))
            return
        first = settings_read_offset(self.node.state.settings)
        new_records = tuple(
            LogRecord(n, value) for n, value in enumerate(self.values) if n >= first
        )
        self.handle(LogRead("settings", new_records, len(self.values)))

    def read(self, effect: ReadLog) -> None:
        """Deliver new records when the reducer requests a read."""
        self.deliver()

    def request_load_permit(self, effect: RequestLoadPermit) -> None:
        """Ignore the weight store."""


class NullAdapter:
    """Adapters that ignore their effects."""

    def send(self, effect: SendPeer | SendDatagram) -> None:
        """Drop a message."""

    def probe(self, effect: ProbeServer) -> None:
        """Ignore a probe."""

    def retire_connections(self, effect: RetireConnections) -> None:
        """Ignore the effect; there are no connections."""

    def order(self, effect: SendOrder) -> None:
        """Ignore an order."""


@dataclass(slots=True)
class FakeDaemon:
    """Handle of the daemon for tests; its methods run in the daemon's thread."""

    address: str
    log: FakeLog
    node: Node
    portal: BlockingPortal

    def set_log(self, mode: LogMode) -> None:
        """Set the failure mode of the log."""
        self.portal.call(self._set_log, mode)

    def _set_log(self, mode: LogMode) -> None:
        self.log.mode = mode
        self.log.deliver()

    def append(self, value: dict[str, Any]) -> None:
        """Append a record of another instance to the log."""
        self.portal.call(self._append, value)

    def _append(self, value: dict[str, Any]) -> None:
        self.log.values.append(value)
        self.log.deliver()

    def report_centre(self, data_centre: str, offset: int, age_s: float = 0.0) -> None:
        """Inject a status message of a data centre with its settings offset and age."""
        self.portal.call(self._report_centre, data_centre, offset, age_s)

    def _report_centre(self, data_centre: str, offset: int, age_s: float) -> None:
        status = Word(
            data_centre,
            gateway_key=1,
            seq=1,
            members_hash=1,
            live_members=2,
            settings_offset=offset,
        )
        heard_at = anyio.current_time() - age_s
        centre = RemoteCentre(data_centre, last_seen_at=heard_at, status_message=status)
        self.node.state.members.centres[data_centre] = centre


async def _run(
    log: FakeLog,
    ready: threading.Event,
    daemons: list[FakeDaemon],
    stop: anyio.Event,
    portal: BlockingPortal,
) -> None:
    operators, null_adapter = VerdictWaiters(), NullAdapter()
    adapters = Adapters(
        null_adapter, null_adapter, null_adapter, NullMetrics(), platform=log, verdicts=operators
    )
    identity = Identity(InstanceName("a-1"), "a", "region", "127.0.0.1:1", "1")
    state = new_state(identity, Options(change_give_up_s=0.5, change_retry_s=0.2), seed=1)
    async with anyio.create_task_group() as group:
        node = log.node = Node(state, reduce, adapters, group, unread_s=30.0)
        token = AdminToken(name="root", token_sha256=sha256(TOKEN.encode()).hexdigest())
        app = OperatorPort(node, {}, operators, [token])
        sock = bind("127.0.0.1:0", "listen")
        server = HttpServer(app, Limits())
        log.deliver()
        group.start_soon(node.tick_forever)
        group.start_soon(server.serve, [sock])
        await server.listening.wait()
        daemons.append(FakeDaemon(bound_address(sock), log, node, portal))
        ready.set()
        await stop.wait()
        group.cancel_scope.cancel()
    sock.close()


@contextmanager
def fake_daemon(mode: LogMode = LogMode.UP) -> Iterator[FakeDaemon]:
    """Run a daemon for the duration of the context."""
    log = FakeLog(mode=mode)
    ready = threading.Event()
    daemons: list[FakeDaemon] = []
    with start_blocking_portal() as portal:
        stop = portal.call(anyio.Event)
        running = portal.start_task_soon(_run, log, ready, daemons, stop, portal)
        while not ready.wait(0.05):
            if running.done():
                running.result()
        try:
            yield daemons[0]
        finally:
            portal.call(stop.set)
            running.result()
