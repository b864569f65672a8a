"""The daemon on a platform whose store contains the settings and the entries of the servers.

It has the parts of `daemon`, except for the platform's adapters (`PlatformAdapters`): the HTTP
headers, the reader of the store and the readiness port. A graceful stop has the same steps.
"""

from __future__ import annotations

import contextlib
import gc
import secrets
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from itertools import chain
from random import Random
from typing import TYPE_CHECKING, Any, Final, Protocol

import anyio
import msgspec
from returns.pipeline import is_successful

from turmericweir.answers.forward_wire import WireAdapter
from turmericweir.callers.caller_memory import CallerMemory
from turmericweir.callers.connection_limit import ConnectionLimit
from turmericweir.callers.forward_app import ForwardApp
from turmericweir.callers.http_limits import HttpLimits
from turmericweir.callers.http_server import HttpServer, LimitedProtocol
from turmericweir.callers.unread_bytes import UnreadBytes
from turmericweir.operations.entry_admin import EntryAdmin
from turmericweir.operations.retried_port import serve_when_available
from turmericweir.peers.peer_datagrams import PeerDatagrams
from turmericweir.peers.peer_dialer import PeerDialer
from turmericweir.peers.peer_streams import PeerStreams
from turmericweir.process import logs
from turmericweir.process.bound_limits import adjusted_bounds, usable_bounds
from turmericweir.process.end_log import EndLog
from turmericweir.process.entry_settings import (
    DutiesSettings,
    EntrySettings,
    SettingsFile,
)
from turmericweir.process.entry_sockets import EntrySockets
from turmericweir.process.log_pipe import LogPipe
from turmericweir.process.loop_steps import report_forever, running_steps
from turmericweir.process.memory_budget import MemoryBudget, peak_size
from turmericweir.process.node import (
    Adapters,
    DocumentPort,
    DutyPort,
    Node,
    PlatformPort,
    RecordPort,
)
from turmericweir.process.process_signals import ProcessSignals
from turmericweir.process.prometheus_metrics import MetricsApp, PrometheusMetrics
from turmericweir.process.socket_buffers import SocketBuffers, max_connections
from turmericweir.process.supervisor import run_endless, run_supervised
from turmericweir.process.unhandled_errors import UnhandledErrors
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.connection_probes import ConnectionProbes
from turmericweir_core.base.cache_options import CacheOptions
from turmericweir_core.base.fair_share_options import FairShareOptions
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.incarnation import RANDOM_DIGITS, make_incarnation
from turmericweir_core.base.late_options import LateOptions
from turmericweir_core.base.options import Options
from turmericweir_core.base.outlier_options import OutlierOptions
from turmericweir_core.base.pace_options import PaceOptions
from turmericweir_core.base.store_times import derive_store_times
from turmericweir_core.messages.events import SeedsGiven, WallClockRead
from turmericweir_core.reducers import reducer_store
from turmericweir_core.reducers.reducer_common import Reducer
from turmericweir_core.state.document_state import DocumentState
from turmericweir_core.state.duty_state import DutySettings, DutyState
from turmericweir_core.state.state import Identity, State
from turmericweir_core.state.usage_meter import UsageMeter
from turmericweir_core.store.document import proof_age_s

if TYPE_CHECKING:
    from uvicorn._types import ASGI3Application

# The part of the revocation bound that is reserved for forwarding a request and for clock errors.
_REVOKE_MARGIN_S: Final = 0.6
# The longest bound on settings at which a proof of them is renewed twice before it is too old, as a
# share of the age at which it is.
_PROOF_SETTINGS_SHARE: Final = 1.4
# A request that crashes its server does so within this time after its start.
_CRASH_WINDOW_S: Final = 0.25
# How long before the platform's kill a stopping process ends by itself.
_STOP_MARGIN_S: Final = 0.5
# Longer than the two readiness checks after which the balancer sends no more requests.
_STOP_GRACE_S: Final = 2.6
# The maximum time for which a caller may read nothing of what waits for it.
_UNREAD_S: Final = 5.0
# The maximum time for which one write to a caller may take, also while it reads slowly.
_BLOCKED_S: Final = 10.0
_LOG_FLUSH_INTERVAL_S: Final = 0.25
# The maximum number of servers of one target that an instance uses. Instances with different
# subsets send the same prompt to different engines, which lowers the cache hit rate.
_SUBSET_SIZE: Final = 192
_CLOCK_INTERVAL_S: Final = 1.0
# How much longer than a lease a successor waits, as clocks may differ in rate.
_LEASE_MARGIN_SHARE: Final = 0.1
_RELOAD_INTERVAL_S: Final = 1.0
# How much longer idle connections are kept than the settings document states.
_KEEP_ALIVE_EXTRA_S: Final = 1.0
# Collections are rare because reference counting frees nearly all objects.
_GC_THRESHOLD: Final = 20_000


class StoreStats(Protocol):
    """How quickly the platform's store answers reads."""

    last_s: float
    limits_expired: int
    connections_closed: int


class StoreFollower(DocumentPort, Protocol):
    """The reader of the platform's store."""

    @property
    def stats(self) -> StoreStats:
        """How quickly the store answers."""

    @property
    def records(self) -> RecordPort:
        """The client for the project's own records."""

    def attach(self, node: Node) -> None:
        """Set the node that receives the events."""

    async def follow_document(self) -> None:
        """Follow the settings document."""

    async def follow_registry(self) -> None:
        """Follow the registry of servers."""


class DutyClient(DutyPort, Protocol):
    """The client that makes the calls of the duties."""

    def attach(self, node: Node) -> None:
        """Set the node that receives the events."""


class LeaseLogClient(PlatformPort, Protocol):
    """The client of the lease streams."""

    def attach(self, node: Node) -> None:
        """Set the node that receives the events."""


@dataclass(frozen=True, slots=True)
class DutyAdapters:
    """The adapters of a platform that has duties with one holder at a time."""

    client: DutyClient
    log: LeaseLogClient
    reports_usage: bool
    orders_servers: bool


@dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """The adapters of a platform."""

    wire: WireAdapter
    # Creates the reader of the store.
    make_follower: Callable[[BackendPool, EntrySettings], StoreFollower]
    # Creates the readiness application from a function that returns whether the process is ready.
    make_readiness_app: Callable[[Callable[[], bool]], ASGI3Application]
    # Creates the adapters of the duties; called only if the settings contain duties.
    make_duty_adapters: Callable[[BackendPool, EntrySettings, DutiesSettings], DutyAdapters]


class SettingsHttpLimits:
    """The limits of all ports according to the settings in force."""

    _state: State

    def __init__(self, state: State) -> None:
        self._state = state

    @property
    def header_bytes(self) -> int:
        """The maximum size of the request line and the headers, in bytes."""
        return self._state.config.limits.header_bytes

    @property
    def header_s(self) -> float:
        """The maximum time from a request's first byte to the end of its headers, in seconds."""
        return self._state.config.limits.header_s

    @property
    def keep_alive_s(self) -> float:
        """The time for which an idle connection is kept, in seconds."""
        return self._state.config.limits.idle_s + _KEEP_ALIVE_EXTRA_S


def make_options(cfg: EntrySettings) -> Options:
    """Return the options that follow from the platform's bounds."""
    bounds = usable_bounds(cfg.bounds)
    proof_s = bounds.revoke_ms / 1000.0 - _REVOKE_MARGIN_S
    settings_s = bounds.settings_ms / 1000.0
    if bounds.strict_revoke:
        settings_s = min(settings_s, _PROOF_SETTINGS_SHARE * proof_s)
    return Options(
        tick_s=0.05,
        cache=CacheOptions(weighs_waits=cfg.placement.weighs_waits),
        late=LateOptions(is_enabled=cfg.placement.refuses_late),
        fair_share=FairShareOptions(is_enabled=cfg.placement.shares_room),
        outlier=OutlierOptions(is_enabled=cfg.placement.ejects_servers),
        pace=PaceOptions(is_shared=cfg.placement.shares_pace),
        store=derive_store_times(settings_s, bounds.drain_ms / 1000.0),
        stop_grace_s=min(_STOP_GRACE_S, bounds.grace_s / 3),
        stop_limit_s=bounds.grace_s - min(_STOP_MARGIN_S, bounds.grace_s / 2),
        deadline_grace_s=0.0,
        key_proof_s=proof_s if bounds.strict_revoke else float("inf"),
        retry_share=bounds.retry_ratio,
        retry_burst=bounds.retry_burst,
        retry_window_s=bounds.retry_window_s,
        retry_pay_all=True,
        retry_after_min_s=0.1,
        probe_servers=False,
        subset_size=_SUBSET_SIZE,
        first_silence_s=0.3,
        crash_doubt_s=0.0,
        harmless_s=_CRASH_WINDOW_S,
        trial_s=_CRASH_WINDOW_S,
        servers_stale_s=3.0,
        servers_ask_s=1.0,
        servers_wait_s=1.0,
        **_lease_options(cfg.duties),
    )


def _lease_options(duties: DutiesSettings | None) -> dict[str, Any]:
    if duties is None:
        return {}
    lease_s = duties.lease_ms / 1000.0
    return {
        "lease_keyed": True,
        "lease_s": lease_s,
        "lease_margin_s": _LEASE_MARGIN_SHARE * lease_s,
        "lease_renew_s": lease_s / 2,
        "lease_read_s": min(1.0, lease_s / 3),
        "lease_retry_s": 0.2,
        "lease_retry_max_s": 1.0,
        # Longer than the client of the log waits for an append.
        "lease_call_s": max(2.0, (1 + _LEASE_MARGIN_SHARE) * lease_s),
        "order_longest_s": lease_s,
    }


def _log_adjusted_bounds(cfg: EntrySettings) -> None:
    for name, (given, used) in adjusted_bounds(cfg.bounds).items():
        logs.write("bound_adjusted", bound=name, given=given, used=used)


def make_state(cfg: EntrySettings) -> State:
    """Return the initial state of a process."""
    regions = set(cfg.regions.values()) - {cfg.region}
    identity = Identity(
        name=InstanceName(cfg.name),
        data_centre=cfg.data_centre,
        region=cfg.region,
        peer_address=cfg.peer_address,
        incarnation=make_incarnation(time.time(), secrets.token_hex(RANDOM_DIGITS // 2)),
        other_regions=tuple(sorted(regions)),
        machine_capacity=cfg.machine.machine_capacity,
    )
    # This daemon does not read the settings log and does not load the module of its state.
    no_settings_sync: SettingsSync = None  # type: ignore[assignment]
    state = State(
        me=identity,
        options=make_options(cfg),
        rng=Random(secrets.randbits(64)),
        settings=no_settings_sync,
        document=DocumentState(),
    )
    return state


def _add_duties(state: State, cfg: DutiesSettings, duties: DutyAdapters) -> Reducer:
    """Add the duties to the state and return the reducer that performs them."""
    from turmericweir_core.reducers import reducer_duties

    state.duties = DutyState(
        DutySettings(
            reports_usage=duties.reports_usage,
            orders_servers=duties.orders_servers,
            window_s=cfg.window_s,
            late_s=cfg.late_s,
            calls_per_s=cfg.calls_per_s,
            checks_fence=cfg.checks_fence,
        )
    )
    state.meter = UsageMeter(cfg.window_s)
    return reducer_duties.reduce


if TYPE_CHECKING:
    from turmericweir_core.state.settings_sync import SettingsSync


async def run(
    file: SettingsFile,
    cfg: EntrySettings,
    platform_adapters: PlatformAdapters,
    entry_sockets: EntrySockets,
    signals: ProcessSignals,
) -> int:
    """Run the daemon on bound sockets and return the exit status."""
    async with AsyncExitStack() as stack:
        pipe = stack.enter_context(LogPipe(sys.stdout.fileno(), cfg.name))
        end = stack.enter_context(EndLog())
        metrics = PrometheusMetrics()
        stack.enter_context(UnhandledErrors(metrics))
        logs.write("starting", data_centre=cfg.data_centre, store=cfg.store.address)
        _log_adjusted_bounds(cfg)
        local_name = InstanceName(cfg.name)
        pool = await stack.enter_async_context(
            BackendPool(PeerDialer(local_name, cfg.peer_address))
        )
        streams = await stack.enter_async_context(
            PeerStreams(local_name, cfg.peer_address, entry_sockets.peer_streams)
        )
        datagrams = await stack.enter_async_context(
            PeerDatagrams(local_name, cfg.peer_address, entry_sockets.peer_datagrams)
        )
        servers = ConnectionProbes(pool)
        follower = platform_adapters.make_follower(pool, cfg)
        state = make_state(cfg)
        reduce: Reducer = reducer_store.reduce
        duties: DutyAdapters | None = None
        if cfg.duties is not None:
            duties = platform_adapters.make_duty_adapters(pool, cfg, cfg.duties)
            reduce = _add_duties(state, cfg.duties, duties)
        adapters = Adapters(
            streams,
            datagrams,
            servers,
            metrics,
            documents=follower,
            records=follower.records,
            platform=None if duties is None else duties.log,
            duties=None if duties is None else duties.client,
        )
        async with anyio.create_task_group() as group:
            node = Node(state, reduce, adapters, group, unread_s=_BLOCKED_S)
            node.answer_bounds = cfg.answers
            node.memory.limit_bytes = cfg.machine.memory_bytes
            node.memory.socket_limit_bytes = cfg.machine.socket_memory_bytes
            pool.count_read = node.memory.add
            for calls in (pool.connects, pool.reports, pool.checks):
                calls.metrics = metrics
            for part in (streams, datagrams, servers, follower):
                part.attach(node)
            if duties is not None:
                duties.client.attach(node)
                duties.log.attach(node)
            node.handle(SeedsGiven(cfg.peer_seeds))
            metrics.add_gauge(
                "turmericweir_settings_version",
                "The version of the settings in force here.",
                lambda: node.state.settings_offset(),
            )
            metrics.add_gauge(
                "turmericweir_store_era",
                "The era of the store, which rises when it comes back from a copy; 0 for none.",
                lambda: node.state.eras.current,
            )
            metrics.add_gauge(
                "turmericweir_paths_lost",
                "The number of servers that this instance cannot connect to itself.",
                lambda: len(node.state.paths.by_server),
            )
            metrics.add_gauge(
                "turmericweir_connections_carried",
                "The number of connections to servers that this instance carries for peers.",
                lambda: node.state.paths.carried,
            )
            _add_store_gauges(metrics, follower.stats)
            _add_memory_gauges(metrics, node.memory)
            _add_pool_gauges(metrics, pool)
            steps = running_steps()
            metrics.add_gauge(
                "turmericweir_longest_step_seconds",
                "The longest step of the event loop since the start.",
                lambda: steps.longest_s,
            )
            tasks: dict[str, Callable[[], Awaitable[None]]] = {
                "flush logs": partial(pipe.flush_forever, _LOG_FLUSH_INTERVAL_S),
                "reload settings": partial(_reload_forever, node, file),
                "tick": node.tick_forever,
                "report steps": partial(report_forever, steps, metrics),
                "close idle connections": pool.sweep_forever,
                "serve peers": streams.serve,
                "follow settings": follower.follow_document,
                "follow servers": follower.follow_registry,
                "handle signals": partial(_handle_signals, node, signals),
            }
            if duties is not None:
                tasks["read clock"] = partial(_read_clock_forever, node)
            for name, work in tasks.items():
                group.start_soon(run_endless, name, work, node)
            _tune_garbage_collector()
            await _serve(cfg, node, pool, platform_adapters, metrics, entry_sockets)
            group.cancel_scope.cancel()
        logs.write("stopped", in_flight=len(node.active_requests))
        return end.conclude_stop(is_requested=node.is_stopping)


def _add_store_gauges(metrics: PrometheusMetrics, stats: StoreStats) -> None:
    metrics.add_gauge(
        "turmericweir_store_read_seconds",
        "How long the last answered read of the settings or the servers' entries took.",
        lambda: stats.last_s,
    )
    metrics.add_gauge(
        "turmericweir_store_limits_expired",
        "The number of these reads that got no byte within their time limit.",
        lambda: stats.limits_expired,
    )
    metrics.add_gauge(
        "turmericweir_store_connections_closed",
        "The number of connections that broke under one of these reads.",
        lambda: stats.connections_closed,
    )


def _add_memory_gauges(metrics: PrometheusMetrics, memory: MemoryBudget) -> None:
    metrics.add_gauge(
        "turmericweir_memory_held_bytes",
        "What is held for callers and servers.",
        lambda: memory.held_bytes,
    )
    metrics.add_gauge(
        "turmericweir_memory_room_bytes",
        "What may be held for callers and servers; 0 without a memory limit.",
        lambda: memory.room_bytes,
    )
    metrics.add_gauge(
        "turmericweir_memory_resident_bytes",
        "The memory of this process.",
        lambda: memory.resident_bytes,
    )
    metrics.add_gauge(
        "turmericweir_memory_peak_bytes",
        "The most memory that this process has used.",
        peak_size,
    )


def _add_pool_gauges(metrics: PrometheusMetrics, pool: BackendPool) -> None:
    metrics.add_gauge(
        "turmericweir_connections_closed_under_calls",
        "The number of kept connections that their other end closed under a call since the start.",
        lambda: pool.closed_under_calls.count,
    )
    metrics.add_gauge(
        "turmericweir_connections_unopened",
        "The number of new connections that could not be opened since the start.",
        lambda: pool.unopened_count,
    )


def _add_connection_gauges(metrics: PrometheusMetrics, callers: HttpServer) -> None:
    metrics.add_gauge(
        "turmericweir_callers_connections",
        "The number of open connections of callers.",
        callers.open_connections,
    )
    metrics.add_gauge(
        "turmericweir_callers_header_bytes",
        "The number of bytes received of headers and requests that are not parsed.",
        callers.header_bytes,
    )


def _tune_garbage_collector() -> None:
    """Exclude permanent objects from collections, which would delay requests."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD, 20, 20)


def is_ready(node: Node) -> bool:
    """Return whether the instance can serve callers: it has servers and recent settings."""
    state = node.state
    if not node.is_ready or state.servers.listed_at is None:
        return False
    return proof_age_s(state, anyio.current_time()) <= state.options.key_proof_s


async def _serve(
    cfg: EntrySettings,
    node: Node,
    pool: BackendPool,
    platform_adapters: PlatformAdapters,
    metrics: PrometheusMetrics,
    sockets: EntrySockets,
) -> None:
    limits: HttpLimits = SettingsHttpLimits(node.state)
    servers: list[HttpServer] = []

    def connections() -> Iterable[LimitedProtocol]:
        return chain.from_iterable(server.connections() for server in servers)

    def open_count() -> int:
        return sum(server.open_connections() for server in servers)

    def make_server(
        app: ASGI3Application, is_stopping: Callable[[], bool] = lambda: False
    ) -> HttpServer:
        server = HttpServer(
            app,
            limits,
            is_stopping,
            node.memory.add,
            memory.can_hold_headers,
            limit.make_room,
            buffers,
        )
        servers.append(server)
        return server

    descriptors, memory_bytes = cfg.machine.max_fds, cfg.machine.socket_memory_bytes
    buffers = SocketBuffers.for_clients(memory_bytes, descriptors)
    maximum = max_connections(descriptors, memory_bytes)
    limit = ConnectionLimit(maximum, open_count, connections, node.count)
    memory = CallerMemory(node, _UNREAD_S, connections)
    app = ForwardApp(node, pool, platform_adapters.wire, memory)
    callers = make_server(app, lambda: node.is_stopping)
    readiness = make_server(platform_adapters.make_readiness_app(lambda: is_ready(node)))
    _add_connection_gauges(metrics, callers)
    unread = UnreadBytes(connections, node.memory)
    metrics.add_gauge(
        "turmericweir_sockets_unread_bytes",
        "What clients' connections received and was not read, estimated from some of them.",
        unread.estimate,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(run_endless, "check memory", memory.check_forever, node)
        group.start_soon(run_endless, "check unread bytes", unread.check_forever, node)
        serve_readiness = partial(_serve_http, readiness, sockets.readiness)
        group.start_soon(run_endless, "serve readiness", serve_readiness, node)
        ports = _operations_ports(cfg, node, pool, metrics)
        for name, (port_app, address) in ports.items():
            serve_port = partial(
                serve_when_available, make_server(port_app), address, f"listen for {name}", node
            )
            group.start_soon(run_endless, f"serve {name}", serve_port, node)
        stop = partial(_stop_on_exit, node, callers, group.cancel_scope)
        group.start_soon(run_supervised, "stop", stop, node)
        group.start_soon(run_supervised, "log readiness", partial(_log_when_ready, node), node)
        await run_supervised("serve callers", partial(_serve_http, callers, sockets.callers), node)
        group.cancel_scope.cancel()


def _operations_ports(
    cfg: EntrySettings, node: Node, pool: BackendPool, metrics: PrometheusMetrics
) -> dict[str, tuple[ASGI3Application, str]]:
    """Return the applications of the ports that callers do not need, and their addresses."""
    ports: dict[str, tuple[ASGI3Application, str]] = {}
    if cfg.admin_address:
        views: dict[str, Callable[[], object]] = {
            "idle_connections": pool.idle_counts,
            "traffic": lambda: node.traffic,
        }
        admin = EntryAdmin(node, views, lambda: is_ready(node), cfg.admin_token_sha256)
        ports["operators"] = (admin, cfg.admin_address)
    if cfg.metrics_port:
        ports["the collector"] = (MetricsApp(metrics), f"{cfg.host}:{cfg.metrics_port}")
    return ports


async def _serve_http(server: HttpServer, sock: socket.socket) -> None:
    await server.serve([sock])


async def _reload_forever(node: Node, file: SettingsFile) -> None:
    """Reload the settings file when it changes, and again until it is whole.

    Addresses of ports do not change. An invalid file is ignored.
    """
    error = ""
    while True:
        await anyio.sleep(_RELOAD_INTERVAL_S)
        is_changed = file.has_changed()
        if not is_changed and file.is_confirmed():
            continue
        earlier = file.last_whole
        result = file.read()
        if not is_successful(result):
            if str(result.failure()) != error:
                error = str(result.failure())
                logs.write("reload_failed", error=error)
            continue
        if is_changed or error or file.last_whole != earlier:
            _apply_settings(node, result.unwrap())
        error = ""


def _apply_settings(node: Node, cfg: EntrySettings) -> None:
    node.state.options = make_options(cfg)
    node.answer_bounds = cfg.answers
    node.handle(SeedsGiven(cfg.peer_seeds))
    logs.write("reloaded", bounds=msgspec.to_builtins(cfg.bounds))
    _log_adjusted_bounds(cfg)


async def _read_clock_forever(node: Node) -> None:
    """Send the wall clock time, which usage accounting needs, to the reducer."""
    while True:
        node.handle(WallClockRead(time.time()))
        await anyio.sleep(_CLOCK_INTERVAL_S)


async def _log_when_ready(node: Node) -> None:
    """Log when the process becomes ready for callers."""
    started_at = anyio.current_time()
    # Polled, because readiness also depends on the age of the settings.
    while not is_ready(node):  # noqa: ASYNC110
        await anyio.sleep(_LOG_FLUSH_INTERVAL_S)
    logs.write("ready", after_ms=round((anyio.current_time() - started_at) * 1000))


async def _handle_signals(node: Node, signals: ProcessSignals) -> None:
    while True:
        signum = await signals.receive()
        logs.write("signal", signal=signum.name, in_flight=len(node.active_requests))
        if signum != signal.SIGHUP and not node.is_stopping:
            node.stop()


async def _stop_on_exit(node: Node, callers: HttpServer, scope: anyio.CancelScope) -> None:
    await node.exit_requested.wait()
    if node.active_requests:
        # The stop limit has passed. Resets the connections of running requests, which prevents
        # callers from treating partial answers as complete.
        for exchange in list(node.active_requests.values()):
            with contextlib.suppress(Exception):
                exchange.abort_request(TimeoutError("the stop time limit has passed"))
        callers.shut_down_connections()
        scope.cancel()
        return
    callers.stop()
    # Waits for connections without a request, but only until the stop limit.
    state = node.state
    stopping_for_s = anyio.current_time() - (state.stopping_since or 0.0)
    await anyio.sleep(max(0.0, state.options.stop_limit_s - stopping_for_s))
    callers.shut_down_connections()
    scope.cancel()
