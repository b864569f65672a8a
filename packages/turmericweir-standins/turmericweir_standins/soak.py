"""Ten minutes of load with random faults at the size of one of today's users: `make soak`.

The callers send the ordinary day's traffic of a deployment while `soak_faults` strikes. At the end
the callers' results and the servers' own records are compared: was any request lost, run twice,
answered with something foreign, or told `not_run` though a server had begun it? It prints the seed
first, so that a run that finds something can be repeated, and writes `build/soak.json`.
"""

from __future__ import annotations

import contextlib
import dataclasses
import secrets
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

import click
import orjson

from turmericweir_standins.callers_check import Check
from turmericweir_standins.measure_figures import find_doubled, find_lost
from turmericweir_standins.measure_run import (
    CpuShares,
    MeasuredCluster,
    Observation,
    Record,
    ScenarioRun,
    measured_deployment,
    warm_up,
)
from turmericweir_standins.measure_scenarios import SCENARIOS, Scenario
from turmericweir_standins.procs import Process, standin
from turmericweir_standins.soak_faults import Down, Faults

OUT: Final = Path("build/soak.json")
POLICY: Final = "credits"
SECONDS: Final = 600.0
# The scenarios whose traffic is an ordinary day.
DAYS: Final = {"stitchline": "silent_connection", "lime_leaf": "crashing_request"}
# Between the beginnings of two faults, seconds, on average.
FAULT_EVERY_S: Final = 4.0
# Callers wait this much longer than the load lasts.
END_TIMEOUT_S: Final = 120.0
# The callers' clock starts about when they say that they are ready.
CLOCK_TOLERANCE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Soak:
    """The result, as the file holds it."""

    seed: int
    seconds: float
    requests: int
    # How many times each kind of fault struck.
    faults: dict[str, int]
    lost: int
    doubled: int
    foreign: int
    false_not_run: int
    # Calls that were on a process when it was killed: none was left to tell their callers.
    instance_died: int
    # Calls by outcome; "none" where the caller was told none.
    outcomes: dict[str, int]

    @property
    def clean(self) -> bool:
        """Whether nothing happened that must never happen."""
        return not (self.lost or self.doubled or self.foreign or self.false_not_run)


def day_of(deployment: str) -> Scenario:
    """Give the ordinary day of a deployment, without faults of its own."""
    found = next(each for each in SCENARIOS if each.name == DAYS[deployment])
    return dataclasses.replace(found, faults=(), proxied=True)


@contextlib.contextmanager
def _running(scenario: Scenario, directory: Path) -> Iterator[MeasuredCluster]:
    with standin("proxy", directory=directory) as proxy:
        cluster = MeasuredCluster(measured_deployment(scenario.deployment, POLICY), directory)
        cluster.proxy_address = proxy.address
        with cluster:
            warm_up(cluster, scenario)
            yield cluster


def run_soak(scenario: Scenario, seconds: float, seed: int, directory: Path) -> Soak:
    """Run the load and the faults and compare what both sides saw."""
    with _running(scenario, directory) as cluster:
        faults = Faults(cluster, seed)
        run = ScenarioRun(scenario, POLICY, seconds, seed, cluster)
        striker = threading.Thread(target=faults.run, args=(seconds, FAULT_EVERY_S))
        with run.callers() as callers:
            for process in callers:
                process.wait_ready()
            began = time.monotonic()
            striker.start()
            for process in callers:
                _await_end(process, seconds)
            striker.join()
            calls = [call for process in callers for call in run.calls_of(process)]
        seen = Observation(
            scenario=scenario,
            policy=POLICY,
            seconds=seconds,
            calls=calls,
            engine_records=run.new_records("model"),
            service_records=run.new_records("plain"),
            crashing_answers=[],
            states={},
            cpu=CpuShares({}, 0.0, 0.0),
        )
        return _judge(seen, faults, seed, began)


def _await_end(process: Process, seconds: float) -> None:
    process.wait_line(lambda line: line.startswith("RESULT"), seconds + END_TIMEOUT_S)


def _judge(seen: Observation, faults: Faults, seed: int, began: float) -> Soak:
    calls = [call for call in seen.calls if not _died(call, faults.down, began)]
    judged = dataclasses.replace(seen, calls=calls)
    untrue = find_lost(judged)
    corrupt = find_doubled(judged)
    for line in (*untrue, *corrupt):
        click.echo(line)
    false_not_run = sum("told not_run" in line for line in untrue)
    foreign = sum(line.endswith(f"answer is {Check.FOREIGN}") for line in corrupt)
    return Soak(
        seed=seed,
        seconds=seen.seconds,
        requests=len(seen.calls),
        faults=dict(sorted(faults.struck.items())),
        lost=len(untrue) - false_not_run,
        doubled=len(corrupt) - foreign,
        foreign=foreign,
        false_not_run=false_not_run,
        instance_died=len(seen.calls) - len(calls),
        outcomes=dict(Counter(call["outcome"] or "none" for call in seen.calls)),
    )


def _died(call: Record, down: list[Down], began: float) -> bool:
    """Tell whether a call without an outcome was on an instance that was killed meanwhile."""
    if call["outcome"]:
        return False
    start = began + call["planned_s"] - CLOCK_TOLERANCE_S
    end = began + call["planned_s"] + call["total_s"] + CLOCK_TOLERANCE_S
    return any(
        each.address == call["entry"] and each.start <= end and start <= each.end for each in down
    )


@click.command()
@click.option("--deployment", type=click.Choice(sorted(DAYS)), default="stitchline")
@click.option("--seconds", type=float, default=SECONDS, show_default=True, help="Length of load.")
@click.option("--seed", type=int, help="Seed of load and faults; a new one by default.")
@click.option("--keep", type=click.Path(path_type=Path), help="Leave the run's files here.")
@click.option("--out", type=click.Path(path_type=Path), default=OUT, show_default=True)
def main(deployment: str, seconds: float, seed: int | None, keep: Path | None, out: Path) -> None:
    """Run the load with random faults; exit 1 if anything happened that must never happen."""
    seed = secrets.randbelow(2**31) if seed is None else seed
    click.echo(f"seed {seed}, {deployment}, {seconds:.0f} s")
    with tempfile.TemporaryDirectory(prefix="turmericweir-soak-") as scratch:
        soak = run_soak(day_of(deployment), seconds, seed, keep or Path(scratch))
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(orjson.dumps(asdict(soak), option=orjson.OPT_INDENT_2))
    click.echo(out.read_text())
    sys.exit(0 if soak.clean else 1)


if __name__ == "__main__":
    main()
