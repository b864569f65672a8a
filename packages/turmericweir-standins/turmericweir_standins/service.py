"""A stand-in for a plain service: `python -m turmericweir_standins.service --help`.

It accepts any method and path, waits for the duration of a run and echoes the request. It does not
deduplicate by idempotency key: a call that arrives twice runs twice, which the record and the `run`
number in the answer show. A run continues to its end if the caller disconnects, as in a service
that writes to a database.
"""

from __future__ import annotations

import math
import random
import uuid
from collections import Counter
from dataclasses import dataclass
from typing import Final

import anyio
import click
from pydantic import Field

from turmericweir_standins.asgi import (
    ClientDisconnectedError,
    Receive,
    Request,
    Scope,
    Send,
    request_of,
    send_json,
)
from turmericweir_standins.behaviour import BehaviourTable, Controls
from turmericweir_standins.listener import Listener
from turmericweir_standins.record import Recorder

LOAD_PATH: Final = "/v1/load"
NOT_STARTED: Final = ("x-not-started", "1")
LEAVING: Final = ("x-leaving", "1")
OK: Final = 200
TOO_MANY_REQUESTS: Final = 429
UNAVAILABLE: Final = 503


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """The options of a plain service, from its command line."""

    name: str = "service"
    # Median duration of a run.
    latency_s: float = 0.02
    # Standard deviation of the logarithm of the duration.
    spread: float = 0.3
    # Maximum number of concurrent runs.
    limit: int = 32
    # Maximum number of waiting requests; more are refused.
    queue_limit: int = 64
    # Seed of the durations.
    seed: int = 0


class ServiceBehaviour(BehaviourTable):
    """The behaviours that a test can change while the service runs."""

    # Multiplies the duration of every run.
    slow_factor: float = Field(default=1.0, gt=0)
    # New requests are refused and the report shows it; running requests are completed.
    leaving: bool = False
    # Requests are accepted but neither run nor answered.
    frozen: bool = False
    # New requests are refused before they start.
    refuse_start: bool = False
    # Requests run; then their connection is closed without an answer.
    run_then_drop: bool = False
    # Requests run and are answered with this status.
    error_status: int | None = Field(default=None, ge=400, le=599)


class LatencyModel:
    """Draw the durations of runs from a lognormal distribution."""

    _median_s: float
    _spread: float
    _random: random.Random

    def __init__(self, options: ServiceOptions) -> None:
        self._median_s = options.latency_s
        self._spread = options.spread
        self._random = random.Random(options.seed)

    def draw(self) -> float:
        """Return the duration of the next run."""
        return self._median_s * math.exp(self._random.gauss(0, self._spread))


@dataclass(frozen=True, slots=True)
class Call:
    """One request to the service."""

    request_id: str
    attempt_id: str
    # None for a call without an idempotency key.
    key: str | None
    method: str
    path: str

    @property
    def run_id(self) -> str:
        """The id by which runs are counted: the key, or the request id without one."""
        return self.key if self.key is not None else self.request_id

    def fields(self) -> dict[str, object]:
        """Return the fields of the call in the record."""
        return {
            "request_id": self.request_id,
            "attempt_id": self.attempt_id,
            "key": self.key,
            "method": self.method,
            "path": self.path,
        }


class Service:
    """Serve one plain service as an ASGI app."""

    options: Final[ServiceOptions]
    controls: Final[Controls[ServiceBehaviour]]
    incarnation: Final[str]
    # Number of runs by key, or by request id without a key.
    runs: Final[Counter[str]]
    # Number of running and waiting requests.
    _accepted: int
    # Number of running requests.
    _running: int
    # Number of the last load report.
    _seq: int
    _slots: anyio.Semaphore
    _latency: LatencyModel
    _recorder: Recorder
    _listener: Listener

    def __init__(self, options: ServiceOptions, recorder: Recorder, listener: Listener) -> None:
        self.options = options
        self.controls = Controls(
            ServiceBehaviour(),
            on_change=lambda table: self._write("behaviour", table=table.model_dump()),
        )
        self.incarnation = uuid.uuid4().hex
        self.runs = Counter()
        self._accepted = 0
        self._running = 0
        self._seq = 0
        self._slots = anyio.Semaphore(options.limit)
        self._latency = LatencyModel(options)
        self._recorder = recorder
        self._listener = listener
        self._write("life", incarnation=self.incarnation)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        request = request_of(scope, receive)
        try:
            if await self.controls.handle(request, send):
                return
            await self.controls.wait_until(lambda table: not table.frozen)
            if (request.method, request.path) == ("GET", LOAD_PATH):
                await send_json(send, OK, self.load_report())
                return
            await self._serve(request, send)
        except ClientDisconnectedError:
            return

    def load_report(self) -> dict[str, object]:
        """Return the load report."""
        self._seq += 1
        return {
            "name": self.options.name,
            "incarnation": self.incarnation,
            "seq": self._seq,
            "running": self._running,
            "limit": self.options.limit,
            "leaving": self.controls.table.leaving,
        }

    async def _serve(self, request: Request, send: Send) -> None:
        call = _call_of(request)
        body = await request.body()
        refusal = self._refusal()
        if refusal is not None:
            status, reason, headers = refusal
            self._write("refused", **call.fields(), reason=reason)
            await send_json(send, status, {"error": reason}, headers)
            return
        self._write("received", **call.fields())
        run = await self._wait_and_run(call)
        await self._answer(request, send, call, run, body)

    def _refusal(self) -> tuple[int, str, tuple[tuple[str, str], ...]] | None:
        """Return the status, reason and headers of a refusal before the run, if there is one."""
        table = self.controls.table
        if table.refuse_start:
            return UNAVAILABLE, "refuses to start", (NOT_STARTED,)
        if table.leaving:
            return UNAVAILABLE, "leaving", (NOT_STARTED, LEAVING)
        if self._accepted >= self.options.limit + self.options.queue_limit:
            return TOO_MANY_REQUESTS, "queue full", (NOT_STARTED,)
        return None

    async def _wait_and_run(self, call: Call) -> int:
        """Wait for a slot and run; return the number of runs of this call."""
        self._accepted += 1
        try:
            async with self._slots:
                return await self._run(call)
        finally:
            self._accepted -= 1

    async def _run(self, call: Call) -> int:
        self._running += 1
        self.runs[call.run_id] += 1
        run = self.runs[call.run_id]
        # Written before the work: the run counts even if the service is killed meanwhile.
        self._write("run", **call.fields(), run=run)
        try:
            await anyio.sleep(self._latency.draw() * self.controls.table.slow_factor)
        finally:
            self._running -= 1
        self._write("ran", **call.fields(), run=run)
        return run

    async def _answer(
        self, request: Request, send: Send, call: Call, run: int, body: bytes
    ) -> None:
        await self.controls.wait_until(lambda table: not table.frozen)
        table = self.controls.table
        if table.run_then_drop:
            self._listener.drop(request.client)
            # Prevents an answer that is sent before the connection closes.
            await request.disconnected()
            return
        answer = {
            "service": self.options.name,
            "path": call.path,
            "key": call.key,
            "run": run,
            "echo": body.decode("utf-8", errors="replace"),
        }
        await send_json(send, table.error_status or OK, answer)

    def _write(self, event: str, **fields: object) -> None:
        self._recorder.write(event, service=self.options.name, **fields)


def _call_of(request: Request) -> Call:
    return Call(
        request_id=request.headers.get("x-request-id", ""),
        attempt_id=request.headers.get("x-attempt-id", ""),
        key=request.headers.get("idempotency-key"),
        method=request.method,
        path=request.path,
    )


async def serve(options: ServiceOptions, address: str, record_path: str | None) -> None:
    """Run a service until SIGTERM."""
    with Recorder(record_path) as recorder:
        listener = Listener(options.name, address)
        await listener.run(Service(options, recorder, listener))


@click.command()
@click.option("--name", default="service", show_default=True, help="Name in answers and records.")
@click.option(
    "--address", default="127.0.0.1:0", show_default=True, help="ip:port; port 0 takes a free one."
)
@click.option("--latency-ms", default=20.0, show_default=True, help="Median duration of a run.")
@click.option("--spread", default=0.3, show_default=True, help="Lognormal sigma of the duration.")
@click.option("--limit", default=32, show_default=True, help="Concurrent runs; more requests wait.")
@click.option("--queue-limit", default=64, show_default=True, help="Waiting; more are refused.")
@click.option("--record", type=click.Path(dir_okay=False), help="File for the JSON-lines record.")
@click.option("--seed", default=0, show_default=True, help="Seed of the durations.")
def main(
    name: str,
    address: str,
    latency_ms: float,
    spread: float,
    limit: int,
    queue_limit: int,
    record: str | None,
    seed: int,
) -> None:
    """Run a stand-in for a plain service until SIGTERM."""
    options = ServiceOptions(name, latency_ms / 1000, spread, limit, queue_limit, seed)
    anyio.run(serve, options, address, record)


if __name__ == "__main__":
    main()
