"""Measure what the daemon adds to a request: `make bench-overhead`.

The daemon and a bare pass-through (`bench_passthrough`) stand side by side before the same backend
servers and are measured in turn, several times over: small plain calls, 20 in parallel, and the
chunks of many open streams. Processor time is that of the measured process alone. What a chunk or
call costs the daemon holds its share of everything else that the process does meanwhile, such as
probes and heartbeats. Ratios are taken within a repetition, and their medians are reported, so that
a machine that is busier in one repetition than in the next does not show up as overhead.

The chunks are also measured with a few streams at the same total pace. A cost that grows with the
number of connections makes a chunk dearer with many streams than with few.
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
from turmericweir_standins.deployment import BackendGroup, Cluster, Deployment, Listed, token_of
from turmericweir_standins.proc_stat import process_cpu_s
from turmericweir_standins.procs import Process, standin, wait_until

OUT: Final = Path("build/overhead.json")
CUSTOMER: Final = "bench"
SERVICE: Final = "bench-service"
ENGINES: Final = 3
PARALLEL: Final = 20
STREAMS: Final = 225
FEW_STREAMS: Final = 45
# Chunks a second over all streams, whatever their number.
CHUNKS_PER_S: Final = 3000.0
# Streams are given this long to open before their chunks count.
OPENING_S: Final = 1.5
CPU_GOAL: Final = 1.5

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
    """One of the two that are compared."""

    name: str
    address: str
    pid: int


@dataclass(frozen=True, slots=True)
class Cost:
    """What one call or chunk cost: processor time of the target and median time on its way."""

    cpu_s: float
    latency_s: float


@dataclass(frozen=True, slots=True)
class Repetition:
    """The costs of the daemon and the pass-through for one kind of work, measured in turn."""

    daemon: Cost
    bare: Cost

    @property
    def cpu_ratio(self) -> float:
        """How many times the pass-through's processor time the daemon takes."""
        return self.daemon.cpu_s / self.bare.cpu_s

    @property
    def latency_ratio(self) -> float:
        """How many times the pass-through's latency the daemon has."""
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
    """Make many small calls, so many in parallel, each on a connection that is kept."""
    request = _plain_request(target)
    times: list[float] = []

    async def call_again_and_again(count: int) -> None:
        async with BenchConnection(target.address) as conn:
            # The first call opens connections, here and at the target.
            await conn.call(request)
            for _ in range(count):
                begun = time.monotonic()
                await conn.call(request)
                times.append(time.monotonic() - begun)

    before = process_cpu_s(target.pid)
    async with anyio.create_task_group() as tasks:
        for _ in range(PARALLEL):
            tasks.start_soon(call_again_and_again, calls // PARALLEL)
    used = process_cpu_s(target.pid) - before
    return Cost(used / (len(times) + PARALLEL), statistics.median(times))


async def measure_chunks(target: Target, streams: int, seconds: float) -> Cost:
    """Keep so many streams open and take their chunks for some seconds."""
    pace_s = streams / CHUNKS_PER_S
    chunks = round((OPENING_S + seconds + 1.0) / pace_s)
    request = _stream_request(target, pace_s * 1000, chunks)
    delays: list[float] = []

    async def follow(number: int) -> None:
        # Spread over one period, as streams of separate callers are.
        await anyio.sleep(pace_s * number / streams)
        async with BenchConnection(target.address, delays) as conn:
            await conn.call(request)

    async with anyio.create_task_group() as tasks:
        for number in range(streams):
            tasks.start_soon(follow, number)
        await anyio.sleep(OPENING_S)
        delays.clear()
        before = process_cpu_s(target.pid)
        await anyio.sleep(seconds)
        used = process_cpu_s(target.pid) - before
        counted = delays.copy()
    return Cost(used / len(counted), statistics.median(counted))


# --- the run ---


@dataclass(frozen=True, slots=True)
class Plan:
    """How much is measured."""

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
        # Who goes first changes, so that a trend of the machine favours neither.
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
    daemon_late = statistics.median(each.daemon.latency_s for each in repetitions) * 1000
    bare_late = statistics.median(each.bare.latency_s for each in repetitions) * 1000
    click.echo(
        f"{title}: processor {statistics.median(cpu):.2f} times ({min(cpu):.2f} to {max(cpu):.2f};"
        f" {daemon_ms:.3f} ms against {bare_ms:.3f} ms),"
        f" latency {statistics.median(latency):.2f} times"
        f" ({min(latency):.2f} to {max(latency):.2f};"
        f" {daemon_late:.2f} ms against {bare_late:.2f} ms)"
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
            f"{name}: a chunk at {STREAMS} streams costs {cost_many / cost_few:.2f} times"
            f" that at {FEW_STREAMS} ({cost_many * 1000:.3f} ms, {cost_few * 1000:.3f} ms)"
        )


def measure_all(plan: Plan, daemon: Target, bare: Target) -> dict[str, dict[str, float]]:
    """Measure everything and print it; return what is written to the file."""
    plain = _repeat(plan, daemon, bare, lambda each: anyio.run(measure_plain, each, plan.calls))
    plain_value = _show(f"plain call, {PARALLEL} in parallel", plain)

    def chunks(streams: int) -> list[Repetition]:
        return _repeat(
            plan,
            daemon,
            bare,
            lambda each: anyio.run(measure_chunks, each, streams, plan.seconds),
        )

    many = chunks(STREAMS)
    chunk_value = _show(f"chunk, {STREAMS} streams", many)
    few = chunks(FEW_STREAMS)
    _show(f"chunk, {FEW_STREAMS} streams", few)
    _show_growth(few, many)
    return {"plain_call": plain_value, "chunk": chunk_value}


def _start_backends(stack: contextlib.ExitStack, directory: Path) -> list[Process]:
    names = [*(f"bench-model-{number + 1}" for number in range(ENGINES)), SERVICE]
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
        cluster.list_process(Listed(process.name, kind, service, "one", process.address))


def _start_passthrough(directory: Path, backends: list[Process]) -> Process:
    engines = [f"--engine={each.address}" for each in backends if each.name != SERVICE]
    service = next(each.address for each in backends if each.name == SERVICE)
    return standin("bench_passthrough", *engines, f"--service={service}", directory=directory)


async def _answers(target: Target) -> bool:
    async with BenchConnection(target.address) as conn:
        plain = await conn.call(_plain_request(target))
        streamed = await conn.call(_stream_request(target, 1.0, 2))
    return plain == 200 and streamed == 200


@click.command()
@click.option("--repeat", "repeats", default=5, show_default=True, help="Repetitions of each.")
@click.option("--calls", default=4000, show_default=True, help="Plain calls in a repetition.")
@click.option("--seconds", default=4.0, show_default=True, help="Seconds of chunks in one.")
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
            wait_until(functools.partial(anyio.run, _answers, target), f"{target.name} answers")
        value = measure_all(plan, daemon, bare)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(orjson.dumps(value, option=orjson.OPT_INDENT_2) + b"\n")
    worst = max(each["cpu_ratio"] for each in value.values())
    verdict = "met" if worst <= CPU_GOAL else "MISSED"
    click.echo(f"goal, at most {CPU_GOAL} times the processor time: {verdict}; written to {out}")


if __name__ == "__main__":
    main()
