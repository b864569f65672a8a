"""Runs the real daemon against stand-ins for the platform's store and servers, and calls it."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import sys
import time
from collections.abc import Callable, Coroutine
from contextlib import ExitStack
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any, Self, assert_never

from tests.platform.standin_duties import DutyStandin
from tests.platform.standin_http import Handler, Listener, LoopThread
from tests.platform.standin_server import HEALTH_PATH, ReceivedRequest, Server
from tests.platform.standin_store import OPERATOR, SERVERS, Store
from turmericweir_standins.procs import LOOPBACK, Process, free_address, free_port, wait_until

# From the end of an answer to the end of the port of a server that exits, and to its next start.
PORT_DELAY_S = 0.02
# From the entry of a server that leaves to the end of its port.
NOTICE_S = 1.5
HOST = "front.example"
KEY = "key-1"
ROOT = Path(__file__).resolve().parents[2]


class Departure(Enum):
    """How a server goes while it answers."""

    PORT_CLOSED = "port closed"
    PORT_CLOSED_LATER = "port closed later"
    # Its entry says so, and its port is closed.
    LEAVING = "leaving"
    GONE = "gone"
    # All of its connections end, and its port is open again at once.
    EXITED_AND_BACK = "exited and back"
    # The same, and its entry names a new start.
    RESTARTED = "restarted"
    # New connections get no answer.
    LOST = "lost"


@dataclass(slots=True)
class Answer:
    """An answer as received by a caller."""

    status: int
    headers: dict[str, str]
    body: bytes
    # The connection closed before the answer was complete.
    is_cut: bool = False

    @property
    def event_data(self) -> list[str]:
        """The data of the events of a stream."""
        lines = self.body.decode().split("\n")
        return [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]


@dataclass(slots=True)
class Instance:
    """A process of the daemon."""

    name: str
    process: Process
    caller_address: str
    readiness_address: str
    # What its earlier processes have logged.
    earlier_lines: list[str] = field(default_factory=list)

    def is_ready(self) -> bool:
        """Return whether the load balancer would send callers to the instance."""
        return self.readiness_status() == 200

    def readiness_status(self) -> int:
        """Return the status of the readiness check, or 0 if nothing listens."""
        try:
            return call(self.readiness_address, "GET", "/api/readyz").status
        except OSError:
            return 0

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        lines = [json.loads(line) for line in list(self.process.lines) if line.startswith("{")]
        return [line for line in lines if line["event"] == event]


@dataclass(slots=True)
class PlatformWorld:
    """A store, servers and instances of the daemon, and a caller."""

    directory: Path
    engines: int = 2
    plain_servers: int = 2
    # Versions of the engines' software, in turn; empty for engines that write the same.
    versions: tuple[str, ...] = ()
    instances: int = 1
    # Data centres of the region; instances are distributed over them.
    data_centres: int = 1
    bounds: dict[str, Any] = field(default_factory=dict)
    # When the servers started, as their entries say; None if they say nothing of it.
    born: int | None = None
    # The `machine` part of the settings file.
    machine: dict[str, Any] = field(default_factory=dict)
    # The `placement` part of the settings file.
    placement: dict[str, Any] = field(default_factory=dict)
    # The `duties` part of the settings file; None for a platform without duties.
    duties: dict[str, Any] | None = None
    duty_standin: DutyStandin = field(default_factory=DutyStandin)
    # Whether the first instance serves its metrics.
    metrics: bool = False
    metrics_address: str = ""
    store: Store = field(default_factory=Store)
    servers: dict[str, Server] = field(default_factory=dict)
    running: dict[str, Instance] = field(default_factory=dict)
    version: int = 0
    # When servers crashed because of a part of a prompt.
    crashed_at: list[float] = field(default_factory=list)
    # Servers that run and refuse new connections.
    closed_ports: set[str] = field(default_factory=set)
    # Servers that have exited within an answer and listen again.
    returned_servers: list[str] = field(default_factory=list)
    _start_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _is_closing: bool = False
    _loop: LoopThread = field(default_factory=LoopThread)
    _stack: ExitStack = field(default_factory=ExitStack)
    _listeners: dict[str, Listener] = field(default_factory=dict)
    _store_address: str = ""
    _attempt_count: int = 0
    _peer_port: int = 0

    def __enter__(self) -> Self:
        self._stack.enter_context(self._loop)
        self._store_address = free_address()
        listener = Listener(self._store_address, self.store.handle)
        self._loop.run(listener.start())
        self._listeners["store"] = listener
        if self.duties is not None:
            self.duties = {"address": self._open_listener(self.duty_standin.handle), **self.duties}
        self.publish()
        for number in range(1, self.engines + 1):
            version = self.versions[(number - 1) % len(self.versions)] if self.versions else ""
            self.add_server(f"lm-{number}", "lm", version)
        for number in range(1, self.plain_servers + 1):
            self.add_server(f"shop-{number}", "shop")
        for number in range(1, self.instances + 1):
            self.add_instance(f"entry-{number}")
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for instance in self.running.values():
            instance.process.kill()
            instance.process.stop()
        self._is_closing = True
        for listener in list(self._listeners.values()):
            self._loop.run(listener.stop())
        self._stack.close()

    # --- the store ---

    def publish(self, **changes: Any) -> None:
        """Write the next version of the settings to the store."""
        self.version += 1
        self.store.write(OPERATOR, "config", {**document(self.version), **changes})

    def publish_more_routes(self, count: int, first: int = 0, **changes: Any) -> None:
        """Write the next version of the settings, with many routes besides the usual ones."""
        base = document(1)["routes"]
        more = [
            {**route, "name": f"more-{number}", "path-prefix": f"/more/{number}/"}
            for number in range(first, first + count)
            for route in (base[number % len(base)],)
        ]
        self.publish(routes=base + more, **changes)

    def register(self, name: str, **changes: Any) -> None:
        """Write the entry of a server to the store."""
        server = self.servers[name]
        server.born = changes.get("born", server.born)
        entry = {
            "service": "lm" if server.is_streaming else "shop",
            "address": server.address,
            "zone": "dc-1",
            "version": server.version or "v1",
            "max-concurrency": 64 if server.is_streaming else 6,
            "state": "ready",
            "warmup-left-ms": 0,
            "seq": 1,
        }
        if server.born is not None:
            entry["born"] = server.born
        self.store.write(SERVERS, name, {**entry, **changes})

    # --- servers ---

    def add_server(self, name: str, service: str, version: str = "") -> Server:
        """Start a server and register it."""
        server = Server(name, service == "lm", free_address(), version=version, born=self.born)
        self.servers[name] = server
        listener = Listener(server.address, server.handle)
        self._loop.run(listener.start())
        self._listeners[name] = listener
        self.register(name)
        return server

    def crash_server(self, name: str) -> None:
        """Close the port of a server."""
        self._loop.run(self._listeners.pop(name).stop())

    def set_crash_body(self, body: bytes) -> None:
        """Make a request body crash every server that receives it."""
        for name, server in self.servers.items():
            server.crash_body = body
            server.close_port = partial(self._stop_listener, name)

    def close_port_at_break(self, name: str) -> None:
        """Make a server refuse connections when it breaks off an answer."""
        self.go_at_break(name, Departure.PORT_CLOSED)

    def go_at_break(self, name: str, departure: Departure) -> None:
        """Make a server go in some way when it breaks off an answer."""
        self.servers[name].before_end = partial(self._go, name, departure)

    async def _go(self, name: str, departure: Departure) -> None:
        match departure:
            case Departure.PORT_CLOSED:
                self.close_port(name)
            case Departure.PORT_CLOSED_LATER:
                asyncio.get_running_loop().call_later(PORT_DELAY_S, self.close_port, name)
            case Departure.LEAVING:
                self.register(name, state="draining")
                await asyncio.sleep(NOTICE_S)
                self.close_port(name)
            case Departure.GONE:
                self.store.write(SERVERS, name, None)
                await asyncio.sleep(NOTICE_S)
                self.close_port(name)
            case Departure.RESTARTED:
                self._exit_and_come_back(name)
                self.register(name, born=self.servers[name].born or 1)
            case Departure.EXITED_AND_BACK:
                self._exit_and_come_back(name)
            case Departure.LOST:
                self.lose_host(name)
            case unreachable:
                assert_never(unreachable)

    def exit_in_answer(self, name: str, down_s: float) -> None:
        """Make the process of a server exit in its next answer that is broken off, and return."""
        self.servers[name].before_end = partial(self._exit_for, name, down_s)

    async def _exit_for(self, name: str, down_s: float) -> None:
        self.servers[name].before_end = None
        listener = self._listeners.get(name)
        if listener is None:
            return
        listener.close_port()
        listener.close_connections()

        async def start() -> None:
            if not self._is_closing and self._listeners.get(name) is listener:
                await listener.start()
                self.register(name, born=time.time_ns() // 1_000_000)

        loop = asyncio.get_running_loop()
        loop.call_later(down_s, lambda: self._start_tasks.append(loop.create_task(start())))

    def _exit_and_come_back(self, name: str) -> None:
        listener = self._listeners[name]
        listener.close_port()
        listener.close_others()
        server = self.servers[name]
        if server.born is not None:
            server.born += 1

        async def start() -> None:
            await listener.start()
            self.returned_servers.append(name)

        loop = asyncio.get_running_loop()
        loop.call_later(PORT_DELAY_S, lambda: self._start_tasks.append(loop.create_task(start())))

    def close_port(self, name: str) -> None:
        """Make a server refuse new connections; called on the loop of the servers."""
        self._listeners[name].close_port()
        self.closed_ports.add(name)

    def lose_host(self, name: str) -> None:
        """Leave new connections to a server without an answer."""
        raise NotImplementedError

    def set_crash_part(self, part: str, down_s: float = 3.0) -> None:
        """Make a part of prompts crash every engine, which starts again after a time."""
        for name, server in self.servers.items():
            if server.is_streaming:
                server.crash_part = part
                server.close_port = partial(self._crash_for, name, down_s)

    async def _crash_for(self, name: str, down_s: float) -> None:
        if name not in self._listeners:
            return
        self.crashed_at.append(time.monotonic())
        await self._stop_listener(name)
        asyncio.get_running_loop().call_later(down_s, self._start_again, name)

    def _start_again(self, name: str) -> None:
        async def start() -> None:
            if self._is_closing or name in self._listeners:
                return
            server = self.servers[name]
            listener = Listener(server.address, server.handle)
            await listener.start()
            self._listeners[name] = listener
            self.register(name, born=len(self.crashed_at))

        self._start_tasks.append(asyncio.get_running_loop().create_task(start()))

    async def _stop_listener(self, name: str) -> None:
        await self._listeners.pop(name).stop()

    @property
    def crashed_servers(self) -> list[str]:
        """The servers whose ports are closed."""
        return [name for name in self.servers if name not in self._listeners]

    def restart_server(self, name: str, born: int, version: str = "") -> None:
        """Restart a crashed server under its name and address, with a new start time."""
        self.restart_unregistered(name, born, version)
        self.register(name, born=born)

    def restart_unregistered(self, name: str, born: int, version: str = "") -> None:
        """Restart a crashed server, which does not reach the store; its old entry stays."""
        server = self.servers[name]
        server.version, server.born = version or server.version, born
        listener = Listener(server.address, server.handle)
        self._loop.run(listener.start())
        self._listeners[name] = listener

    def connections(self, name: str) -> int:
        """Return the number of connections opened to a server."""
        return self._listeners[name].connections

    def release_held(self, name: str) -> None:
        """Release the streams that a server has paused."""

        async def release() -> None:
            self.servers[name].release_held.set()

        self._loop.run(release())

    def set_mode(self, mode: str, *names: str, request_count: int = -1) -> None:
        """Set the mode of servers, by default of all, for a number of requests."""
        for name in names or tuple(self.servers):
            self.servers[name].mode = mode
            self.servers[name].mode_requests = request_count

    def received(self, request_id: str = "") -> list[ReceivedRequest]:
        """Return the requests that servers received, optionally only those with an ID."""
        requests = [request for server in self.servers.values() for request in server.received]
        return [each for each in requests if request_id in ("", each.headers.get("x-attempt-id"))]

    def runs(self, request_id: str = "") -> list[ReceivedRequest]:
        """Return the requests that servers ran, optionally only those with an ID."""
        return [each for each in self.received(request_id) if each.was_run]

    # --- instances ---

    def open_store(self, store: Store) -> str:
        """Start a store on a new address; return the address."""
        return self._open_listener(store.handle)

    def run_on_loop(self, step: Coroutine[Any, Any, None]) -> None:
        """Run a step on the loop of the servers."""
        self._loop.run(step)

    def at_once(self, change: Callable[[], None]) -> None:
        """Change the store between two of its answers."""

        async def run() -> None:
            change()

        self._loop.run(run())

    def _open_listener(self, handler: Handler) -> str:
        address = free_address()
        listener = Listener(address, handler)
        self._loop.run(listener.start())
        self._listeners[address] = listener
        return address

    def add_instance(self, name: str, *, wait: bool = True, store: str = "") -> Instance:
        """Start an instance, optionally with another address of the store."""
        path = self.directory / f"{name}.json"
        addresses = [free_address() for _ in range(3)]
        # Peers share one port, so each instance has its own loopback address.
        self._peer_port = self._peer_port or free_port()
        number = len(self.running) + 1
        seeds = [f"127.0.0.{n}:1" for n in range(1, number)]
        cfg: dict[str, Any] = {
            "name": name,
            "data_centre": f"dc-{1 + (number - 1) % self.data_centres}",
            "region": "home",
            "regions": {f"dc-{n}": "home" for n in range(1, self.data_centres + 1)},
            "caller_address": addresses[0],
            "readiness_address": addresses[1],
            "admin_address": addresses[2],
            "peer_address": f"127.0.0.{number}:{self._peer_port}",
            "seeds": seeds,
            "store": {"address": store or self._store_address},
            "machine": self.machine,
            "placement": self.placement,
            # Allows retries in tests that make only a few requests.
            "bounds": {"strict_revoke": True, "retry_ratio": 20, **self.bounds},
        }
        if self.duties is not None:
            cfg["duties"] = self.duties
        if self.metrics and not self.metrics_address:
            self.metrics_address = free_address()
            _, _, port = self.metrics_address.rpartition(":")
            cfg["metrics_port"] = int(port)
        path.write_text("// made by a test\n" + json.dumps(cfg))
        instance = Instance(name, self._launch(name), addresses[0], addresses[1])
        self.running[name] = instance
        if wait:
            wait_until(instance.is_ready, f"{name} is ready")
            wait_until(lambda: self.has_listed_servers(instance), f"{name} has listed the servers")
        return instance

    def _launch(self, name: str) -> Process:
        path = self.directory / f"{name}.json"
        env = {"TURMERICWEIR_CONFIG": str(path), "PYTHONPATH": os.pathsep.join(sys.path)}
        argv = [sys.executable, "-m", "turmericweir_platform"]
        process = Process(argv, name=name, directory=self.directory, env=env)
        process.start()
        return process

    def launch_successor(self, name: str) -> Process:
        """Start the next process of an instance beside the one that runs."""
        return self._launch(name)

    def restart_instance(self, name: str) -> None:
        """Restart an instance at its addresses, without its state."""
        self.stop_instance(name)
        self.start_instance(name)

    def stop_instance(self, name: str) -> None:
        """Stop the process of an instance and wait for its end."""
        self.running[name].process.stop()

    def start_instance(self, name: str) -> Process:
        """Start another process of an instance at its addresses; return the earlier process."""
        instance = self.running[name]
        earlier_process = instance.process
        instance.earlier_lines += earlier_process.lines
        instance.process = self._launch(name)
        return earlier_process

    def settings_of(self, name: str) -> dict[str, Any]:
        """Return the settings of an instance."""
        text = (self.directory / f"{name}.json").read_text()
        cfg: dict[str, Any] = json.loads(text.split("\n", 1)[1])
        return cfg

    def write_settings(self, name: str, **changes: Any) -> None:
        """Change settings of an instance in its file."""
        cfg = {**self.settings_of(name), **changes}
        (self.directory / f"{name}.json").write_text("// made by a test\n" + json.dumps(cfg))

    def instance_address(self, name: str, port: str) -> str:
        """Return the address of a port of an instance, by its name in the settings file."""
        address: str = self.settings_of(name)[f"{port}_address"]
        return address

    def reported_state(self, name: str) -> dict[str, Any]:
        """Return the part `beliefs` of the state that an instance shows to operators."""
        state: dict[str, Any] = json.loads(
            call(self.instance_address(name, "admin"), "GET", "/state").body
        )
        beliefs: dict[str, Any] = state["beliefs"]
        return beliefs

    def has_listed_servers(self, instance: Instance) -> bool:
        """Return whether an instance has logged the entries of all servers."""
        listed = {line["peer"] for line in instance.logged("server_listed")}
        return set(self.servers) <= listed

    # --- callers ---

    def new_id(self) -> str:
        """Return a new attempt ID."""
        self._attempt_count += 1
        return f"{self._attempt_count:016x}"

    def send(
        self,
        path: str = "/lm/doc/",
        *,
        method: str = "POST",
        body: bytes = b"prompt",
        request_id: str = "",
        instance: str = "entry-1",
        **headers: str,
    ) -> Answer:
        """Send a request as a caller; underscores in header names become hyphens."""
        all_headers = self.request_headers(path, request_id or self.new_id(), **headers)
        return call(self.running[instance].caller_address, method, path, body, all_headers)

    def request_headers(self, path: str, request_id: str, **headers: str) -> dict[str, str]:
        """Return the headers of a request; underscores in header names become hyphens."""
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        all_headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "8000",
            "X-Key": KEY,
            **extra_headers,
        }
        if path.startswith("/lm"):
            all_headers.setdefault("X-Token-Count", "1000,60")
            all_headers.setdefault("X-Prefix-Hash", f"{abs(hash(path)) % 9999:x}:400,own:600")
        return all_headers

    def send_unsafe(self, **fields: Any) -> Answer:
        """Send a plain request that must not be repeated."""
        return self.send("/shop/buy/", body=b"one", **fields)

    def send_safe(self, **fields: Any) -> Answer:
        """Send a plain request that may be repeated."""
        return self.send("/shop/look/", method="GET", body=b"", **fields)


def document(version: int) -> dict[str, Any]:
    """Return a version of the operator's settings."""
    base = {"hostname": HOST, "timeout-ms": 6000, "priority": 1, "public": False}
    routes = [
        {
            **base,
            "name": "doc",
            "path-prefix": "/lm/doc/",
            "route-type": "streaming",
            "service": "lm",
            "target-latency-ms": 2000,
            "max-attempts": 1,
            "resumable": False,
            "gap-aim-ms": 800,
        },
        {
            **base,
            "name": "chat",
            "path-prefix": "/lm/chat/",
            "route-type": "streaming",
            "service": "lm",
            "target-latency-ms": 600,
            "max-attempts": 3,
            "resumable": True,
            "gap-aim-ms": 300,
        },
        {
            **base,
            "name": "buy",
            "path-prefix": "/shop/buy/",
            "route-type": "unsafe",
            "service": "shop",
            "target-latency-ms": 100,
            "max-attempts": 1,
        },
        {
            **base,
            "name": "look",
            "path-prefix": "/shop/look/",
            "route-type": "safe",
            "service": "shop",
            "target-latency-ms": 100,
            "max-attempts": 2,
        },
        {
            **base,
            "name": "brief",
            "path-prefix": "/shop/brief/",
            "route-type": "unsafe",
            "service": "shop",
            "target-latency-ms": 100,
            "timeout-ms": 300,
            "max-attempts": 1,
        },
    ]
    engine = {"max-concurrency": 64, "kv-capacity": 500_000, "stride": 3}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "lm", "health-path": HEALTH_PATH, "max-conns": 300, "engine": engine},
            {"name": "shop", "health-path": HEALTH_PATH, "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "school", "api-keys": [KEY, "key-2"], "priority": 1}],
    }


def call(
    address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> Answer:
    """Send a request on a new connection; return the answer."""
    conn = connection_to(address)
    try:
        return call_on(conn, method, path, body, headers or {})
    finally:
        conn.close()


def connection_to(address: str) -> http.client.HTTPConnection:
    """Return a connection to an address, which is not opened yet."""
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=20)


def call_on(
    conn: http.client.HTTPConnection, method: str, path: str, body: bytes, headers: dict[str, str]
) -> Answer:
    """Send a request on a connection; return the answer."""
    conn.request(method, path, body or None, headers)
    response = conn.getresponse()
    response_headers = {name.lower(): value for name, value in response.getheaders()}
    try:
        return Answer(response.status, response_headers, response.read())
    except http.client.IncompleteRead as exc:
        return Answer(response.status, response_headers, exc.partial, is_cut=True)
    except ConnectionResetError:
        return Answer(response.status, response_headers, b"", is_cut=True)


def until(condition: Callable[[], bool], description: str) -> None:
    """Wait until a condition holds."""
    wait_until(condition, description)


__all__ = ["HOST", "KEY", "LOOPBACK", "Answer", "Instance", "PlatformWorld", "call", "until"]
