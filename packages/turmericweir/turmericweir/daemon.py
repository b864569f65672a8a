"""The daemon: create its parts, connect them and run them until it is stopped.

A graceful stop first ends readiness and continues to serve requests until the balancer has noticed.
When the reducer reports that no request is in flight, the listening sockets are closed and the
process ends with status 0.
"""

from __future__ import annotations

import contextlib
import gc
import secrets
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from typing import Final

import anyio
from anyio.abc import TaskGroup

from turmericweir.callers.caller_app import CallerApp
from turmericweir.callers.http_server import HttpServer
from turmericweir.operations.operator_port import OperatorPort
from turmericweir.peers.peer_datagrams import PeerDatagrams
from turmericweir.peers.peer_dialer import PeerDialer
from turmericweir.peers.peer_streams import PeerStreams
from turmericweir.platform_client import PlatformClient
from turmericweir.process import logs
from turmericweir.process.end_log import FORCED_STOP_STATUS, REASON_FORCED_STOP, EndLog
from turmericweir.process.listening_socket import bind, bound_address
from turmericweir.process.metrics import Metrics, NullMetrics, StatsdMetrics
from turmericweir.process.node import Adapters, Node
from turmericweir.process.process_settings import ProcessSettings
from turmericweir.process.process_signals import ProcessSignals
from turmericweir.process.supervisor import run_endless, run_supervised
from turmericweir.process.unhandled_errors import UnhandledErrors
from turmericweir.process.verdict_waiters import VerdictWaiters
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.server_calls import ServerCalls
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.incarnation import RANDOM_DIGITS, make_incarnation
from turmericweir_core.membership import membership
from turmericweir_core.messages.events import SeedsGiven
from turmericweir_core.reducers.reducer import new_state, reduce
from turmericweir_core.state.state import Identity, State

_READY: Final = "READY"


@dataclass(frozen=True, slots=True)
class DaemonParts:
    """The adapters of the daemon."""

    pool: BackendPool
    platform: PlatformClient
    streams: PeerStreams
    datagrams: PeerDatagrams
    servers: ServerCalls
    verdict_waiters: VerdictWaiters
    metrics: Metrics


async def run(cfg: ProcessSettings, signals: ProcessSignals) -> int:
    """Run the daemon and return the exit status."""
    async with AsyncExitStack() as stack:
        stack.enter_context(logs.LogFile(cfg.log))
        end = stack.enter_context(EndLog())
        caller_socket = stack.enter_context(bind(cfg.caller_address, "listen for callers"))
        admin_socket = stack.enter_context(bind(cfg.admin_address, "listen for operators"))
        parts = await _make_parts(cfg, stack)
        stack.enter_context(UnhandledErrors(parts.metrics))
        async with anyio.create_task_group() as group:
            node = _make_node(cfg, parts, group)
            _send_seeds(node, cfg)
            _start_parts(node, parts, group)
            # Excludes permanent objects from collections, which would delay requests.
            gc.collect()
            gc.freeze()
            was_forced = await _serve(cfg, node, parts, caller_socket, admin_socket, signals)
            group.cancel_scope.cancel()
        if was_forced:
            return end.conclude(REASON_FORCED_STOP, FORCED_STOP_STATUS)
        return end.conclude_stop(is_requested=node.is_stopping)


async def _make_parts(cfg: ProcessSettings, stack: AsyncExitStack) -> DaemonParts:
    local_name = InstanceName(cfg.name)
    peer_address = cfg.peer_listen_address or cfg.peer_address
    pool = await stack.enter_async_context(BackendPool(PeerDialer(local_name, peer_address)))
    return DaemonParts(
        pool=pool,
        platform=PlatformClient(pool, cfg.platform.address, cfg.platform.source or cfg.name),
        streams=await stack.enter_async_context(PeerStreams(local_name, peer_address)),
        datagrams=await stack.enter_async_context(PeerDatagrams(local_name, peer_address)),
        servers=ServerCalls(pool),
        verdict_waiters=VerdictWaiters(),
        metrics=_make_metrics(cfg, stack),
    )


def _make_metrics(cfg: ProcessSettings, stack: AsyncExitStack) -> Metrics:
    if cfg.statsd is None:
        return NullMetrics()
    return stack.enter_context(StatsdMetrics(cfg.statsd, cfg.name))


def _make_state(cfg: ProcessSettings) -> State:
    identity = Identity(
        name=InstanceName(cfg.name),
        data_centre=cfg.data_centre,
        region=cfg.region,
        peer_address=cfg.peer_address,
        incarnation=make_incarnation(time.time(), secrets.token_hex(RANDOM_DIGITS // 2)),
        cluster=cfg.cluster,
        other_regions=cfg.other_regions,
    )
    seed = secrets.randbits(64) if cfg.seed is None else cfg.seed
    return new_state(identity, cfg.core_options(), seed)


def _make_node(cfg: ProcessSettings, parts: DaemonParts, group: TaskGroup) -> Node:
    adapters = Adapters(
        platform=parts.platform,
        peers=parts.streams,
        datagrams=parts.datagrams,
        servers=parts.servers,
        verdicts=parts.verdict_waiters,
        metrics=parts.metrics,
    )
    node = Node(_make_state(cfg), reduce, adapters, group, unread_s=cfg.limits.unread_s)
    for part in (parts.platform, parts.streams, parts.datagrams, parts.servers):
        part.attach(node)
    return node


def _send_seeds(node: Node, cfg: ProcessSettings) -> None:
    node.handle(SeedsGiven(cfg.seeds))


def _start_parts(node: Node, parts: DaemonParts, group: TaskGroup) -> None:
    tasks: dict[str, Callable[[], Awaitable[None]]] = {
        "tick": node.tick_forever,
        "close idle connections": parts.pool.sweep_forever,
        "follow settings": parts.platform.follow_settings,
        "follow instances": parts.platform.follow_instance_list,
        "serve peers": parts.streams.serve,
    }
    for name, work in tasks.items():
        group.start_soon(run_endless, name, work, node)


async def _serve(
    cfg: ProcessSettings,
    node: Node,
    parts: DaemonParts,
    caller_socket: socket.socket,
    admin_socket: socket.socket,
    signals: ProcessSignals,
) -> bool:
    """Serve until the process may end; return whether a second interrupt ended it."""
    app = CallerApp(node, parts.pool, cfg.limits)
    callers = HttpServer(app, cfg.limits, lambda: node.is_stopping)
    views: dict[str, Callable[[], object]] = {
        "idle_connections": parts.pool.idle_counts,
        "pool": lambda: _connection_counts(parts.pool),
        "traffic": lambda: node.traffic,
        "live_instances": lambda: _live_instance_names(node),
    }
    operators = OperatorPort(node, views, parts.verdict_waiters, cfg.admin_tokens)
    admin = HttpServer(operators, cfg.limits)
    force_stop_requested = anyio.Event()
    async with anyio.create_task_group() as group:
        addresses = (bound_address(caller_socket), bound_address(admin_socket))
        endless: dict[str, Callable[[], Awaitable[None]]] = {
            "serve operators": partial(_serve_http, admin, admin_socket),
            "handle signals": partial(_handle_signals, node, signals, force_stop_requested),
        }
        for name, work in endless.items():
            group.start_soon(run_endless, name, work, node)
        single: dict[str, Callable[[], Awaitable[None]]] = {
            "end at once": partial(_cancel_on_event, force_stop_requested, group.cancel_scope),
            "report listening": partial(_report_listening, cfg.name, callers, admin, addresses),
            "stop": partial(_stop_callers_on_exit, node, callers),
        }
        for name, work in single.items():
            group.start_soon(run_supervised, name, work, node)
        await run_supervised("serve callers", partial(_serve_http, callers, caller_socket), node)
        # `_serve_http` returns after the last answer.
        group.cancel_scope.cancel()
    return force_stop_requested.is_set()


def _live_instance_names(node: Node) -> list[str]:
    now = anyio.current_time()
    return [each.name for each in membership.live_instances(node.state, now)]


def _connection_counts(pool: BackendPool) -> dict[str, int]:
    return {
        "opened": pool.opened_count,
        "reused": pool.reused_count,
        "unopened": pool.unopened_count,
        "closed_under_calls": pool.closed_under_calls.count,
    }


async def _serve_http(server: HttpServer, sock: socket.socket) -> None:
    await server.serve([sock])


async def _report_listening(
    name: str, callers: HttpServer, admin: HttpServer, addresses: tuple[str, str]
) -> None:
    caller_address, admin_address = addresses
    await callers.listening.wait()
    await admin.listening.wait()
    logs.write("listening", name=name, callers=caller_address, operators=admin_address)
    with contextlib.suppress(BrokenPipeError):
        sys.stdout.write(f"{_READY} {name} {caller_address}\n")
        sys.stdout.flush()


async def _handle_signals(
    node: Node, signals: ProcessSignals, force_stop_requested: anyio.Event
) -> None:
    while True:
        signum = await signals.receive()
        if node.is_stopping and signum == signal.SIGINT:
            logs.write("forced_stop", signal=signum.name, in_flight=len(node.active_requests))
            force_stop_requested.set()
        elif not node.is_stopping:
            logs.write("signal", signal=signum.name)
            node.stop()


async def _stop_callers_on_exit(node: Node, callers: HttpServer) -> None:
    await node.exit_requested.wait()
    callers.stop()


async def _cancel_on_event(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
