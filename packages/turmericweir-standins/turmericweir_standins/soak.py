"""Ten minutes of load with random faults at the size of one of today's users: `make soak`.

The callers send the ordinary day's traffic of a deployment while `soak_faults` strikes. At the end
the callers' results and the servers' own records are compared: was any request lost, run twice,
answered with something foreign, or told `not_run` though a server had begun it? Were operators told
the truth about their changes of settings, and do all instances hold the same ones? It prints the
seed first, so that a run that finds something can be repeated, and writes `build/soak.json`.
"""

from __future__ import annotations

import contextlib
import dataclasses
import random
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
from turmericweir_standins.callers_workload import Burst, Traffic
from turmericweir_standins.measure_figures import find_doubled, find_lost
from turmericweir_standins.measure_run import (
    CpuShares,
    Observation,
    Record,
    ScenarioRun,
    measured_deployment,
    warm_up,
)
from turmericweir_standins.measure_scenarios import SCENARIOS, Scenario
from turmericweir_standins.procs import Process, standin
from turmericweir_standins.soak_crashing import CrashingCaller
from turmericweir_standins.soak_faults import Down, Faults, SoakCluster

OUT: Final = Path("build/soak.json")
POLICY: Final = "credits"
SECONDS: Final = 600.0
# The scenarios whose traffic is an ordinary day.
DAYS: Final = {"stitchline": "silent_connection", "lime_leaf": "crashing_request"}
# The classes that burst, one after the other, and how many times their usual rate they then send.
BURSTS: Final = {
    "stitchline": {"quote": 9.0, "confirmation": 15.0, "fitting": 2.5},
    "lime_leaf": {"essay": 12.0, "plan": 10.0, "homework": 2.5},
}
BURST_S: Final = 7.0
# Between the bursts of one class; those of the others lie in between.
BURST_EVERY_S: Final = 120.0
# Between the beginnings of two faults, seconds, on average.
FAULT_EVERY_S: Final = 4.0
# Longer than any answer takes in the worst of faults: a caller that gives up was left waiting.
PATIENCE_S: Final = 120.0
# Callers wait this much longer than the load lasts.
END_TIMEOUT_S: Final = 180.0
# The callers' clock starts about when they say that they are ready.
CLOCK_TOLERANCE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Soak:
    """The result, as the file holds it."""

    seed: int
    seconds: float
    requests: int
    # How many times each kind of fault struck, and how many of them while another lasted.
    faults: dict[str, int]
    overlapped: int
    # How many times each class burst.
    bursts: dict[str, int]
    lost: int
    doubled: int
    foreign: int
    false_not_run: int
    # Changes of settings whose operator was told wrong, or that not all instances hold alike.
    settings_wrong: int
    # Changes that operators were told of, by verdict; "none" where they were told none.
    settings_told: dict[str, int]
    # Engines that the one prompt crashed that crashed the most.
    crashes_by_one_prompt: int
    # Calls that were on a process when it was killed, or paused until they had hung up.
    instance_died: int
    # Calls by outcome; "none" where the caller was told none.
    outcomes: dict[str, int]

    @property
    def clean(self) -> bool:
        """Whether nothing happened that must never happen."""
        wrong = (self.lost, self.doubled, self.foreign, self.false_not_run, self.settings_wrong)
        return not any(wrong)


def day_of(deployment: str, seed: int) -> Scenario:
    """Give the day of a deployment, with a burst of one class after another."""
    found = next(each for each in SCENARIOS if each.name == DAYS[deployment])
    bursts = BURSTS[deployment]
    rng = random.Random(seed)
    step_s = BURST_EVERY_S / len(bursts)
    first_s = rng.uniform(0, step_s)
    starts = {name: first_s + place * step_s for place, name in enumerate(bursts)}
    patient = [dataclasses.replace(each, patience_s=PATIENCE_S) for each in found.traffic]
    traffic = tuple(
        _bursting(each, starts[each.name], bursts[each.name]) if each.name in bursts else each
        for each in patient
    )
    return dataclasses.replace(found, traffic=traffic, faults=(), proxied=True)


def _bursting(traffic: Traffic, start_s: float, factor: float) -> Traffic:
    return dataclasses.replace(
        traffic, bursts=(Burst(start_s, BURST_S, factor, every_s=BURST_EVERY_S),)
    )


def _count_bursts(scenario: Scenario, seconds: float) -> dict[str, int]:
    return {
        each.name: int(max(0.0, seconds - burst.start_s) // BURST_EVERY_S + 1)
        for each in scenario.traffic
        for burst in each.bursts
        if burst.start_s < seconds
    }


@contextlib.contextmanager
def _running(scenario: Scenario, directory: Path) -> Iterator[SoakCluster]:
    deployment = measured_deployment(scenario.deployment, POLICY)
    with (
        standin("proxy", directory=directory) as proxy,
        SoakCluster(deployment, directory, proxy.address) as cluster,
    ):
        warm_up(cluster, scenario)
        yield cluster


def run_soak(scenario: Scenario, seconds: float, seed: int, directory: Path) -> Soak:
    """Run the load and the faults and compare what both sides saw."""
    with _running(scenario, directory) as cluster:
        model_traffic = next(each for each in reversed(scenario.traffic) if each.model)
        faults = Faults(cluster, CrashingCaller(model_traffic), seed)
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
            calls += faults.crashing.calls(began)
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
    settings = faults.operators.find_wrong()
    for line in (*untrue, *corrupt, *settings):
        click.echo(line)
    false_not_run = sum("told not_run" in line for line in untrue)
    foreign = sum(line.endswith(f"answer is {Check.FOREIGN}") for line in corrupt)
    return Soak(
        seed=seed,
        seconds=seen.seconds,
        requests=len(seen.calls),
        faults=dict(sorted(faults.struck.items())),
        overlapped=faults.overlapped,
        bursts=_count_bursts(seen.scenario, seen.seconds),
        lost=len(untrue) - false_not_run,
        doubled=len(corrupt) - foreign,
        foreign=foreign,
        false_not_run=false_not_run,
        settings_wrong=len(settings),
        settings_told=dict(Counter(each.verdict or "none" for each in faults.operators.told)),
        crashes_by_one_prompt=faults.crashing.most_crashes(seen.engine_records),
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
        soak = run_soak(day_of(deployment, seed), seconds, seed, keep or Path(scratch))
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(orjson.dumps(asdict(soak), option=orjson.OPT_INDENT_2))
    click.echo(out.read_text())
    sys.exit(0 if soak.clean else 1)


if __name__ == "__main__":
    main()
