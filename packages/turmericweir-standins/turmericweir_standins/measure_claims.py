"""Measure the latency that claiming an idempotency key adds, and the load on the platform's log.

Real instances run before a plain service of a fixed latency. Callers send calls at a constant rate
to each instance, half of them with a unique key; the others are not claimed and serve as a
baseline. `measure_claims` returns the figures for one number of instances; the program prints those
for several, with `--outage` while the log hangs and keys are claimed by votes. CI does not run it.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from statistics import median, quantiles
from tempfile import TemporaryDirectory
from typing import Final

import click

from turmericweir_standins.deployment import STITCHLINE, BackendGroup, Cluster, token_of
from turmericweir_standins.procs import call_json, set_behaviour
from turmericweir_standins.record import read_records

INSTANCE_COUNTS: Final = (2, 8)
CALLS_PER_S: Final = 5.0
SECONDS: Final = 20.0
CUSTOMER: Final = "till-north"
_PERCENT: Final = 100
_WARM_UP_CALLS: Final = 5


@dataclass(frozen=True, slots=True)
class ClaimFigures:
    """The figures for one number of instances."""

    instances: int
    # Calls with status 200, with and without a key, and all other calls.
    calls: int
    failed: int
    # Delay that the log adds to each of its calls.
    log_ms: float
    # Whether the log hung.
    outage: bool
    # Latency of a call for its caller, with and without a key.
    keyed_ms_p50: float
    keyed_ms_p99: float
    keyless_ms_p50: float
    keyless_ms_p99: float
    # Latency that a claim adds.
    claim_ms_p50: float
    claim_ms_p99: float
    # Appends to the claims stream and calls with a key per second, over all instances.
    appends_s: float
    keyed_s: float


def measure_claims(
    instances: int,
    directory: Path,
    *,
    calls_s: float = CALLS_PER_S,
    seconds: float = SECONDS,
    log_ms: float = 0.0,
    outage: bool = False,
) -> ClaimFigures:
    """Measure a cluster with some instances, each with the same rate of calls."""
    group = BackendGroup(
        "counter-api",
        "plain",
        4,
        64,
        args=("--latency-ms=5", "--spread=0", "--limit=64"),
        rules=STITCHLINE.groups[1].rules,
    )
    deployment = replace(STITCHLINE, instances=instances, groups=(group,))
    with Cluster(deployment, directory) as cluster:
        set_behaviour(cluster.platform.address, slow_ms=log_ms)
        for name in cluster.instances:
            _call_evenly(cluster, name, 1.0, _WARM_UP_CALLS)
        set_behaviour(cluster.platform.address, outage=outage)
        before = _append_count(cluster)
        started_at = time.monotonic()
        timed_calls = _call_all(cluster, calls_s, seconds)
        elapsed_s = time.monotonic() - started_at
        return _figures(
            instances, timed_calls, elapsed_s, _append_count(cluster) - before, log_ms, outage
        )


@dataclass(frozen=True, slots=True)
class _TimedCall:
    keyed: bool
    status: int
    ms: float


def claim_ms_p50(cluster: Cluster, calls_s: float, seconds: float) -> float | None:
    """Return the median latency that a claim adds; None if all calls of one kind failed.

    The cluster needs a plain service `counter-api` with a fixed latency.
    """
    successful_calls = [each for each in _call_all(cluster, calls_s, seconds) if each.status == 200]
    keyed = [each.ms for each in successful_calls if each.keyed]
    keyless = [each.ms for each in successful_calls if not each.keyed]
    return round(median(keyed) - median(keyless), 2) if keyed and keyless else None


def _call_all(cluster: Cluster, calls_s: float, seconds: float) -> list[_TimedCall]:
    """Call all instances in parallel, each at the same rate."""
    with ThreadPoolExecutor(len(cluster.instances)) as pool:
        runs = [
            pool.submit(_call_evenly, cluster, name, 1 / calls_s, int(calls_s * seconds))
            for name in cluster.instances
        ]
        return [each for run in runs for each in run.result()]


def _call_evenly(cluster: Cluster, name: str, gap_s: float, count: int) -> list[_TimedCall]:
    timed_calls = []
    next_call_at = time.monotonic()
    for number in range(count):
        time.sleep(max(0.0, next_call_at - time.monotonic()))
        next_call_at += gap_s
        timed_calls.append(_call(cluster, name, keyed=number % 2 == 0))
    return timed_calls


def _call(cluster: Cluster, name: str, *, keyed: bool) -> _TimedCall:
    headers = {"Authorization": f"Bearer {token_of(CUSTOMER)}"}
    if keyed:
        headers["Idempotency-Key"] = f"{name}-{time.monotonic_ns()}"
    address = cluster.instances[name].address
    started_at = time.perf_counter()
    answer = call_json(address, "POST", "/services/counter-api/reserve", {}, headers)
    return _TimedCall(keyed, answer.status, (time.perf_counter() - started_at) * 1000)


def _append_count(cluster: Cluster) -> int:
    records = read_records(cluster.record_path("platform"))
    return sum(1 for each in records if each["event"] == "append" and each["stream"] == "claims")


def _figures(
    instances: int,
    timed_calls: list[_TimedCall],
    elapsed_s: float,
    appends: int,
    log_ms: float,
    outage: bool,
) -> ClaimFigures:
    successful_calls = [each for each in timed_calls if each.status == 200]
    keyed = [each.ms for each in successful_calls if each.keyed]
    keyless = [each.ms for each in successful_calls if not each.keyed]
    keyed_p50, keyed_p99 = _percentiles(keyed)
    keyless_p50, keyless_p99 = _percentiles(keyless)
    return ClaimFigures(
        instances=instances,
        calls=len(successful_calls),
        failed=len(timed_calls) - len(successful_calls),
        log_ms=log_ms,
        outage=outage,
        keyed_ms_p50=round(keyed_p50, 2),
        keyed_ms_p99=round(keyed_p99, 2),
        keyless_ms_p50=round(keyless_p50, 2),
        keyless_ms_p99=round(keyless_p99, 2),
        claim_ms_p50=round(keyed_p50 - keyless_p50, 2),
        claim_ms_p99=round(keyed_p99 - keyless_p99, 2),
        appends_s=round(appends / elapsed_s, 2),
        keyed_s=round(len(keyed) / elapsed_s, 2),
    )


def _percentiles(values: list[float]) -> tuple[float, float]:
    cuts = quantiles(values, n=_PERCENT)
    return cuts[49], cuts[98]


def measure_sizes(
    calls_s: float, seconds: float, log_ms: float, outage: bool
) -> Iterator[ClaimFigures]:
    """Measure each number of instances in turn."""
    for instances in INSTANCE_COUNTS:
        with TemporaryDirectory() as directory:
            yield measure_claims(
                instances,
                Path(directory),
                calls_s=calls_s,
                seconds=seconds,
                log_ms=log_ms,
                outage=outage,
            )


@click.command()
@click.option(
    "--calls-s", default=CALLS_PER_S, show_default=True, help="Calls per second and instance."
)
@click.option("--seconds", default=SECONDS, show_default=True, help="Length of each run.")
@click.option("--log-ms", default=0.0, show_default=True, help="Time that the log adds to a call.")
@click.option("--outage", is_flag=True, help="Have the log hang while calls are sent.")
def main(calls_s: float, seconds: float, log_ms: float, outage: bool) -> None:
    """Print one JSON line for each number of instances."""
    for figures in measure_sizes(calls_s, seconds, log_ms, outage):
        click.echo(json.dumps(asdict(figures)))


if __name__ == "__main__":
    main()
