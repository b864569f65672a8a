"""Measure the overhead of the daemon per request: `make bench-overhead`.

The daemon and a bare pass-through (`bench_passthrough`) use the same backend servers and are
measured alternately, in several repetitions: small plain calls in parallel, and the chunks of many
open streams. Processor time is that of the measured process and includes its periodic work, such as
probes and heartbeats. Ratios are computed within a repetition and their medians are reported, which
reduces the influence of other load on the machine.

The chunks are also measured with fewer streams at the same total pace, which reveals a cost that
grows with the number of connections.
"""

from __future__ import annotations

import contextlib
import functools
import statistics
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import anyio
import click
import orjson

from turmericweir_standins.bench_backend import MODEL, SLOTS
from turmericweir_standins.bench_client import BenchConnection
from turmericweir_standins.deployment import (
    BackendGroup,
    Cluster,
    Deployment,
    ListedProcess,
    token_of,
)
from turmericweir_standins.proc_stat import process_cpu_s
from turmericweir_standins.procs import Process, standin, wait_until

OUT: Final = Path("build/overhead.json")
CUSTOMER: Final = "bench"
SERVICE: Final = "bench-service"
ENGINE_COUNT: Final = 3
PARALLEL_CALLS: Final = 20
STREAM_COUNT: Final = 225
FEW_STREAM_COUNT: Final = 45
# Chunks per second over all streams.
CHUNKS_PER_S: Final = 3000.0
# Time for opening the streams, in which chunks are not counted.
OPENING_S: Final = 1.5
CPU_RATIO_MAX: Final = 1.5

BENCH: Final = Deployment(
    name="bench",
    region="bench",
    data_centres=("one",),
    instances=1,
    groups=(
        BackendGroup("bench-model", "model", 0, SLOTS, models=(MODEL,)),
        BackendGroup(SERVICE, "plain", 0, SLOTS, rules=({"method": "GET", "repeatable": True},)),
    ),
    classes={"bench": {"priority": 0, "first_token_target_ms": 10000}},
    customers={CUSTOMER: {"*": "bench"}},
)


@dataclass(frozen=True, slots=True)
class Target:
    """One of the two compared processes."""

    name: str
    address: str
    pid: int


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one call or chunk: processor time of the target and median latency."""

    cpu_s: float
    latency_s: float


@dataclass(frozen=True, slots=True)
class Repetition:
    """The costs of the daemon and of the pass-through in one repetition."""

    daemon: Cost
    bare: Cost

    @property
    def cpu_ratio(self) -> float:
        """The daemon's processor time divided by that of the pass-through."""
        return self.daemon.cpu_s / self.bare.cpu_s

    @property
    def latency_ratio(self) -> float:
        """The daemon's latency divided by that of the pass-through."""
        return self.daemon.latency_s / self.bare.latency_s


def _headers(target: Target, body: bytes) -> bytes:
    return (
        f"Host: {target.address}\r\nAuthorization: Bearer {token_of(CUSTOMER)}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def _plain_request(target: Target) -> bytes:
    return f"GET /services/{SERVICE}/stock/8 HTTP/1.1\r\n".encode() + _headers(target, b"")


def _stream_request(target: Target, pace_ms: float, chunks: int) -> bytes:
    messages = [{"role": "user", "content": "Which blazer fits a chest of 82 cm?"}]
    value = {"model": MODEL, "messages": messages, "stream": True, "max_tokens": chunks}
    body = orjson.dumps({**value, "bench_pace_ms": pace_ms})
    return b"POST /v1/chat/completions HTTP/1.1\r\n" + _headers(target, body)


# --- the two kinds of work ---


async def measure_plain(target: Target, calls: int) -> Cost:
    """Make many small calls in parallel on persistent connections."""
    request = _plain_request(target)
    times: list[float] = []

    async def make_calls(count: int) -> None:
        async with BenchConnection(target.address) as conn:
            # The first call opens the connections and is not measured.
            await conn.call(request)
            for _ in range(count):
                started_at = time.monotonic()
                await conn.call(request)
                times.append(time.monotonic() - started_at)

    before = process_cpu_s(target.pid)
    async with anyio.create_task_group() as tasks:
        for _ in range(PARALLEL_CALLS):
            tasks.start_soon(make_calls, calls // PARALLEL_CALLS)
    cpu_s = process_cpu_s(target.pid) - before
    return Cost(cpu_s / (len(times) + PARALLEL_CALLS), statistics.median(times))


async def measure_chunks(target: Target, streams: int, seconds: float) -> Cost:
    """Read the chunks of open streams for some seconds."""
    pace_s = streams / CHUNKS_PER_S
    chunks = round((OPENING_S + seconds + 1.0) / pace_s)
    request = _stream_request(target, pace_s * 1000, chunks)
    delays: list[float] = []

    async def read_stream(number: int) -> None:
        # The streams start spread over one period, like those of independent callers.
        await anyio.sleep(pace_s * number / streams)
        async with BenchConnection(target.address, delays) as conn:
            await conn.call(request)

    async with anyio.create_task_group() as tasks:
        for number in range(streams):
            tasks.start_soon(read_stream, number)
        await anyio.sleep(OPENING_S)
        delays.clear()
        before = process_cpu_s(target.pid)
        await anyio.sleep(seconds)
        cpu_s = process_cpu_s(target.pid) - before
        measured_delays = delays.copy()
    return Cost(cpu_s / len(measured_delays), statistics.median(measured_delays))


# --- the run ---


@dataclass(frozen=True, slots=True)
class Plan:
    """The extent of the measurement."""

    repeats: int
    calls: int
    seconds: float


def _repeat(
    plan: Plan, daemon: Target, bare: Target, measure: Callable[[Target], Cost]
) -> list[Repetition]:
    measure(daemon)
    measure(bare)
    repetitions = []
    for number in range(plan.repeats):
        # The order alternates; a trend of the machine's load does not favour either one.
        if number % 2:
            cost = measure(daemon)
            repetitions.append(Repetition(cost, measure(bare)))
        else:
            cost = measure(bare)
            repetitions.append(Repetition(measure(daemon), cost))
    return repetitions


def _show(title: str, repetitions: list[Repetition]) -> dict[str, float]:
    cpu = [each.cpu_ratio for each in repetitions]
    latency = [each.latency_ratio for each in repetitions]
    daemon_ms = statistics.median(each.daemon.cpu_s for each in repetitions) * 1000
    bare_ms = statistics.median(each.bare.cpu_s for each in repetitions) * 1000
    daemon_latency_ms = statistics.median(each.daemon.latency_s for each in repetitions) * 1000
    bare_latency_ms = statistics.median(each.bare.latency_s for each in repetitions) * 1000
    click.echo(
        f"{title}: processor {statistics.median(cpu):.2f} times ({min(cpu):.2f} to {max(cpu):.2f};"
        f" {daemon_ms:.3f} ms against {bare_ms:.3f} ms),"
        f" latency {statistics.median(latency):.2f} times"
        f" ({min(latency):.2f} to {max(latency):.2f};"
        f" {daemon_latency_ms:.2f} ms against {bare_latency_ms:.2f} ms)"
    )
    return {
        "cpu_ratio": round(statistics.median(cpu), 3),
        "latency_ratio": round(statistics.median(latency), 3),
    }


def _show_growth(few: list[Repetition], many: list[Repetition]) -> None:
    for name in ("daemon", "bare"):
        cost_few = statistics.median(getattr(each, name).cpu_s for each in few)
        cost_many = statistics.median(getattr(each, name).cpu_s for each in many)
        click.echo(
            f"{name}: a chunk at {STREAM_COUNT} streams costs {cost_many / cost_few:.2f} times"
            f" that at {FEW_STREAM_COUNT} ({cost_many * 1000:.3f} ms, {cost_few * 1000:.3f} ms)"
        )


def measure_all(plan: Plan, daemon: Target, bare: Target) -> dict[str, dict[str, float]]:
    """Measure and print everything; return the values for the file."""
    plain = _repeat(plan, daemon, bare, lambda each: anyio.run(measure_plain, each, plan.calls))
    plain_value = _show(f"plain call, {PARALLEL_CALLS} in parallel", plain)

    def chunks(streams: int) -> list[Repetition]:
        return _repeat(
            plan,
            daemon,
            bare,
            lambda each: anyio.run(measure_chunks, each, streams, plan.seconds),
        )

    many = chunks(STREAM_COUNT)
    chunk_value = _show(f"chunk, {STREAM_COUNT} streams", many)
    few = chunks(FEW_STREAM_COUNT)
    _show(f"chunk, {FEW_STREAM_COUNT} streams", few)
    _show_growth(few, many)
    return {"plain_call": plain_value, "chunk": chunk_value}


def _start_backends(stack: contextlib.ExitStack, directory: Path) -> list[Process]:
    names = [*(f"bench-model-{number + 1}" for number in range(ENGINE_COUNT)), SERVICE]
    return [
        stack.enter_context(
            standin("bench_backend", f"--name={name}", directory=directory, name=name)
        )
        for name in names
    ]


def _list_backends(cluster: Cluster, backends: list[Process]) -> None:
    for process in backends:
        plain = process.name == SERVICE
        kind, service = ("plain", SERVICE) if plain else ("engine", "bench-model")
        cluster.list_process(ListedProcess(process.name, kind, service, "one", process.address))


def _start_passthrough(directory: Path, backends: list[Process]) -> Process:
    engines = [f"--engine={each.address}" for each in backends if each.name != SERVICE]
    service = next(each.address for each in backends if each.name == SERVICE)
    return standin("bench_passthrough", *engines, f"--service={service}", directory=directory)


async def _is_answering(target: Target) -> bool:
    async with BenchConnection(target.address) as conn:
        plain = await conn.call(_plain_request(target))
        streamed = await conn.call(_stream_request(target, 1.0, 2))
    return plain == 200 and streamed == 200


@click.command()
@click.option("--repeat", "repeats", default=5, show_default=True, help="Repetitions of each.")
@click.option("--calls", default=4000, show_default=True, help="Plain calls per repetition.")
@click.option("--seconds", default=4.0, show_default=True, help="Seconds of chunks per repetition.")
@click.option("--out", type=click.Path(path_type=Path), default=OUT, help="File for the ratios.")
def main(repeats: int, calls: int, seconds: float, out: Path) -> None:
    """Compare the daemon's processor time and latency with a bare pass-through's."""
    plan = Plan(repeats, calls, seconds)
    with contextlib.ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory(prefix="turmericweir-bench-"))
        directory = Path(name)
        backends = _start_backends(stack, directory)
        cluster = stack.enter_context(Cluster(BENCH, directory))
        _list_backends(cluster, backends)
        bare_process = stack.enter_context(_start_passthrough(directory, backends))
        instance = next(iter(cluster.instances.values()))
        daemon = Target("daemon", instance.address, instance.process.pid)
        bare = Target("pass-through", bare_process.address, bare_process.pid)
        for target in (daemon, bare):
            wait_until(
                functools.partial(anyio.run, _is_answering, target), f"{target.name} answers"
            )
        value = measure_all(plan, daemon, bare)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(orjson.dumps(value, option=orjson.OPT_INDENT_2) + b"\n")
    worst = max(each["cpu_ratio"] for each in value.values())
    verdict = "met" if worst <= CPU_RATIO_MAX else "MISSED"
    click.echo(
        f"goal, at most {CPU_RATIO_MAX} times the processor time: {verdict}; written to {out}"
    )


if __name__ == "__main__":
    main()
