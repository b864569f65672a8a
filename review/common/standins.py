"""Stand-ins for the platform, its store, consumers and servers, with the standard library only.

The platform's pages (PROTOCOL.md, DEPLOY.md) say what each does. The system's own processes are
started with the command of `deploy/system.toml`, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "-S", "-m", "turmericweir_platform"]  # deploy/system.toml, `run`
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
BOUNDS = {
    "drain_ms": 2000,
    "settings_ms": 2000,
    "grace_s": 8,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_burst": 56,
}
HEARTBEAT_S = 1.2  # settings, `heartbeat-ms`
_LINGER_ZERO = struct.pack("ii", 1, 0)


# --- record ----------------------------------------------------------------------------------


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def write(self, what: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._start:8.3f} {what} {text}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


# --- HTTP ------------------------------------------------------------------------------------


class Call:
    """A request that a stand-in has received."""

    def __init__(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(each.partition("=")[::2] for each in query.split("&") if each)
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer
        # Set in each answer.
        self.more_headers: dict[str, str] = {}

    async def answer(
        self, status: int, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Write a complete answer."""
        self.writer.write(answer_bytes(status, body, {**self.more_headers, **(headers or {})}))
        await self.writer.drain()


def answer_bytes(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    writer.transport.abort()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers; raise IncompleteReadError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


Handler = Callable[[Call], Awaitable[bool]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve HTTP/1.1; the handler returns whether the connection is kept."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await handler(Call(method, target, headers, body, reader, writer)):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port, limit=1 << 20)


# --- the store -------------------------------------------------------------------------------


class Store:
    """The platform's metadata store: a log with keyed topics."""

    def __init__(self) -> None:
        # Key and value; an empty value drops the key.
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        # The number of times that it came back from a copy, and one.
        self.era = 1
        # Whether it answers nobody; each channel is reset.
        self.is_away = False
        # The ends of all topics at times of the last seconds.
        self._ends: list[tuple[float, dict[str, int]]] = []

    def write(self, topic: str, key: str, value: object) -> int:
        """Append a record of the operator or a server; return its offset."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode() if value else b""
        records = self.topics.setdefault(topic, [])
        records.append((key, raw))
        return len(records) - 1

    async def note_ends_forever(self) -> None:
        """Keep in mind what a copy of each moment would hold."""
        while True:
            ends = {topic: len(records) for topic, records in self.topics.items()}
            self._ends.append((time.monotonic(), ends))
            del self._ends[:-2000]
            await asyncio.sleep(0.01)

    def restore(self, age_s: float) -> None:
        """Come back from a copy of an age."""
        cutoff = time.monotonic() - age_s
        ends = next(ends for at, ends in reversed(self._ends) if at <= cutoff)
        for topic, records in self.topics.items():
            del records[ends.get(topic, 0) :]
        self.era += 1

    async def handle(self, call: Call) -> bool:
        """Answer one call of the system."""
        if self.is_away:
            reset(call.writer)
            return False
        call.more_headers = {"Store-Era": str(self.era)}
        records = self.topics.setdefault(call.query.get("topic", ""), [])
        if call.path == "/api/log-newest":
            newest: dict[str, tuple[int, bytes]] = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            after = call.query.get("after", "")
            keys = sorted(each for each, (_, value) in newest.items() if value and each > after)
            entries = [
                {
                    "key": key,
                    "value": base64.b64encode(newest[key][1]).decode(),
                    "offset": newest[key][0],
                }
                for key in keys[:500]
            ]
            page = {"entries": entries, "has-more": len(keys) > 500, "end": len(records)}
            await call.answer(200, json.dumps(page).encode())
        elif call.path == "/api/log-read":
            start = int(call.query["from"])
            if start > len(records):
                await call.answer(410, b'{"first":0}')
                return True
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start : start + 1024]:
                body += pack_record(key, value)
            await call.answer(200, body)
        elif call.path == "/api/log-append":
            first = len(records)
            if int(call.query.get("at", first)) != first:
                await call.answer(412, json.dumps({"end": first}).encode())
                return True
            records += split_records(call.body)
            await call.answer(200, json.dumps({"offset": first, "end": len(records)}).encode())
        else:
            await call.answer(404)
        return True


def pack_record(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic with its length."""
    record = bytes([len(key.encode())]) + key.encode() + value
    return struct.pack(">I", len(record)) + record


def split_records(body: bytes) -> list[tuple[str, bytes]]:
    """Return the records of an append."""
    records = []
    position = 0
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        record = body[position + 4 : position + 4 + size]
        records.append((record[1 : 1 + record[0]].decode(), record[1 + record[0] :]))
        position += 4 + size
    return records


def manifest(version: int, *, engine_slots: int = 64) -> dict[str, Any]:
    """Return a manifest with one model service and one plain service."""
    base = {"hostname": HOST, "public": False}
    routes = [
        {"name": "draft", "path-prefix": "/draft/", "route-type": "streaming", "service": "lm",
         "max-attempts": 1, "timeout-ms": 12000, "target-latency-ms": 2000, "priority": 2,
         "resumable": False, "gap-aim-ms": 800, "affinity": True},
        {"name": "buy", "path-prefix": "/buy/", "route-type": "unsafe", "service": "shop",
         "max-attempts": 1, "timeout-ms": 1000, "target-latency-ms": 125, "priority": 2},
        {"name": "look", "path-prefix": "/look/", "route-type": "safe", "service": "shop",
         "max-attempts": 2, "timeout-ms": 1000, "target-latency-ms": 125, "priority": 2},
    ]  # fmt: skip
    engine = {
        "max-concurrency": engine_slots,
        "kv-capacity": 584240,
        "kv-bytes": 327680,
        "link-mbps": 550000,
        "stride": 3,
    }
    return {
        "version": version,
        "routes": [{**base, **each} for each in routes],
        "services": [
            {"name": "lm", "health-path": "/healthz", "max-conns": 370, "engine": engine},
            {"name": "shop", "health-path": "/healthz", "max-conns": 110},
        ],
        "limits": {
            "max-header-bytes": 32768,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 10000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "hule930", "api-keys": [KEY]}],
    }


def entry(service: str, address: str, zone: str, slots: int, seq: int, **more: Any) -> dict[str, Any]:
    """Return the entry of a server."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "max-concurrency": slots,
        "state": "ready",
        "warmup-left-ms": 0,
        "seq": seq,
        **more,
    }


def signature(body: bytes) -> str:
    """Return the digest with which a server signs its answer."""
    return hashlib.sha256(body).hexdigest()[:16]


# --- the platform ----------------------------------------------------------------------------


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all hosts, below those that the system gives out itself."""
    found: list[int] = []
    while len(found) < count:
        port = random.randint(20_000, 30_000)
        if port in found:
            continue
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                        sock.bind((host, port))
            except OSError:
                continue
        found.append(port)
    return found


async def wait_for_end(process: subprocess.Popen[bytes]) -> int:
    """Wait until a process has ended; return its status."""
    while (status := process.poll()) is None:
        await asyncio.sleep(0.02)
    return status


class Machine:
    """A machine that runs one process of the system, and starts it again when it ends."""

    def __init__(self, world: World, name: str, host: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.host = host
        self.zone = zone
        self.exits: list[int] = []
        self.is_ready = False
        self.log_path = world.folder / f"{name}.log"

    async def run_forever(self) -> None:
        """Run the process, and start it again after a short delay when it ends."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["TURMERICWEIR_CONFIG"] = str(self.world.settings_file(self))
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        while True:
            with self.log_path.open("ab") as log:
                process = self.world.start_process(RUN, cwd=ROOT, env=env, stdout=log, stderr=log)
            status = await wait_for_end(process)
            self.exits.append(status)
            self.world.record.write("process-ended", machine=self.name, status=status)
            await asyncio.sleep(0.5)

    async def check_ready_forever(self) -> None:
        """Ask once a second whether the process is ready, as the platform does."""
        while True:
            status = 0
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    answer = await exchange(
                        self.host, self.world.ready_port, "GET", "/api/readyz", {}, b""
                    )
                    status = answer.status
            self.is_ready = status == 200
            await asyncio.sleep(1.0)


class World:
    """The store and the machines; entered with `async with`."""

    def __init__(self, record: Record, machines: int, zones: int = 2) -> None:
        self.record = record
        self.store = Store()
        self._children: list[subprocess.Popen[bytes]] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = [f"zone-{number}" for number in range(1, zones + 1)]
        hosts = [f"127.0.1.{number}" for number in range(1, machines + 1)]
        ports = free_ports(["127.0.0.1", *hosts], 6)
        self.caller_port, self.ready_port, self.admin_port = ports[:3]
        self.peer_port, self.metrics_port, self.store_port = ports[3:]
        self.machines = [
            Machine(self, f"edge-{number}", host, self.zones[number % zones])
            for number, host in enumerate(hosts)
        ]
        self._tasks: list[asyncio.Task[Any]] = []
        self._servers: list[asyncio.Server] = []

    def settings_file(self, machine: Machine) -> Path:
        """Write what the platform makes of `deploy/settings.json` for a machine."""
        path = self.folder / f"{machine.name}.json"
        seeds = [f"{each.host}:{self.admin_port}" for each in self.machines[:3]]
        value = {
            "name": machine.name,
            "data_centre": machine.zone,
            "region": "khomas",
            "regions": dict.fromkeys(self.zones, "khomas"),
            "caller_address": f"{machine.host}:{self.caller_port}",
            "readiness_address": f"{machine.host}:{self.ready_port}",
            "admin_address": f"{machine.host}:{self.admin_port}",
            "peer_address": f"{machine.host}:{self.peer_port}",
            "seeds": seeds,
            "metrics_port": self.metrics_port,
            "machine": {
                "link_mbps": 1000.0,
                "processors": 0.537,
                "processor_speed": 2,
                "memory_mb": 300,
            },
            "store": {"address": f"127.0.0.1:{self.store_port}"},
            "bounds": BOUNDS,
        }
        path.write_text(json.dumps(value))
        return path

    async def __aenter__(self) -> World:
        self._servers.append(await serve("127.0.0.1", self.store_port, self.store.handle))
        return self

    def start_machines(self) -> None:
        """Start the system's processes."""
        for machine in self.machines:
            self.spawn(machine.run_forever())
            self.spawn(machine.check_ready_forever())

    def start_process(self, argv: list[str], **options: Any) -> subprocess.Popen[bytes]:
        """Start a process, which ends with the script at the latest.

        Nothing is awaited between the start and the note of it, so the end of the script can't miss
        a process that is being started.
        """
        process = subprocess.Popen(argv, stdin=subprocess.DEVNULL, **options)
        self._children.append(process)
        return process

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run something in the background until the end."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all machines are ready."""
        end = time.monotonic() + limit_s
        while not all(each.is_ready for each in self.machines):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.1)
        return True

    async def __aexit__(self, *_: object) -> None:
        # First nobody starts processes any more, then all that were started end.
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self._children:
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self._servers:
            server.close()
        if os.environ.get("KEEP"):
            print(f"logs in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# --- consumers -------------------------------------------------------------------------------


class Answer:
    """What a consumer received."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, *, whole: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        # The framing shows that the answer is complete.
        self.whole = whole


async def exchange(
    host: str, port: int, method: str, target: str, headers: dict[str, str], body: bytes
) -> Answer:
    """Send a request on a new channel; raise OSError or IncompleteReadError without an answer."""
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in {"Host": HOST, **headers}.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        line, answer_headers = await read_head(reader)
        status = int(line.split(" ")[1])
        data, whole = await _read_body(reader, answer_headers)
        return Answer(status, answer_headers, data, whole=whole)
    finally:
        writer.close()


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> tuple[bytes, bool]:
    data = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return data, True
        if "content-length" in headers:
            data = await reader.readexactly(int(headers["content-length"]))
            return data, True
        while part := await reader.read(65536):
            data += part
        return data, True
    except (OSError, asyncio.IncompleteReadError):
        return data, False


def request_headers(
    attempt_id: str, wait_ms: int, *, tokens: str = "", part: str = "", key: str = KEY
) -> dict[str, str]:
    """Return the headers of a consumer's request."""
    headers = {"X-Attempt-Id": attempt_id, "X-Deadline-Ms": str(wait_ms), "X-Key": key}
    if tokens:
        headers |= {"X-Model": "m", "X-Token-Count": tokens, "X-Prefix-Hash": part}
    return headers


def new_id() -> str:
    """Return the id of a new consumer attempt."""
    return f"{random.getrandbits(64):016x}"


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case within 115 s; return its exit status. SIGTERM and SIGINT end it with its processes."""

    async def bounded() -> int:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(115.0):
            return await main()

    try:
        return asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case could not run: {exc!r}")
        return 2


def is_troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"
