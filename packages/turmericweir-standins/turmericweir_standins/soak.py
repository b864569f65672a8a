"""A long run of load with random faults at the size of a real deployment: `make soak`.

The callers send the normal traffic of a deployment while `soak_faults` injects faults. At the end
the callers' results are compared with the servers' records, to find requests that were lost, run
twice, answered with foreign data, or reported as `not_run` after a server had started them. The
verdicts that operators received are compared with the settings of all instances. The seed is
printed first, for repeating a run, and the result is written to `build/soak.json`.
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
from turmericweir_standins.soak_faults import Downtime, FaultInjector, SoakCluster

OUT: Final = Path("build/soak.json")
POLICY: Final = "credits"
SECONDS: Final = 600.0
# The scenario with the normal traffic of each deployment.
NORMAL_TRAFFIC_SCENARIOS: Final = {
    "stitchline": "silent_connection",
    "lime_leaf": "crashing_request",
}
# The classes with bursts, one after the other, and the factors of their rates.
BURST_FACTORS: Final = {
    "stitchline": {"quote": 9.0, "confirmation": 15.0, "fitting": 2.5},
    "lime_leaf": {"essay": 12.0, "plan": 10.0, "homework": 2.5},
}
BURST_S: Final = 7.0
# Time between the bursts of one class; those of the other classes lie in between.
BURST_EVERY_S: Final = 120.0
# Mean time between the starts of two faults.
FAULT_EVERY_S: Final = 4.0
# Longer than any answer takes during the worst fault: a caller that gives up got no answer.
PATIENCE_S: Final = 120.0
# Maximum time between the end of the load and the end of the callers.
END_TIMEOUT_S: Final = 180.0
# Maximum difference between the callers' start and their READY line.
CLOCK_TOLERANCE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class Soak:
    """The result of a run; the fields are those of the file."""

    seed: int
    seconds: float
    requests: int
    # Number of faults of each kind, and of faults that overlapped with another one.
    faults: dict[str, int]
    overlapped: int
    # Number of bursts of each class.
    bursts: dict[str, int]
    lost: int
    doubled: int
    foreign: int
    false_not_run: int
    # Changes of settings with a false verdict or a different state on some instances.
    settings_wrong: int
    # Changes of settings by the verdict that the operator received; "none" without one.
    settings_told: dict[str, int]
    # The highest number of crashes that one prompt caused.
    crashes_by_one_prompt: int
    # Calls without an outcome whose instance was down meanwhile.
    instance_died: int
    # Calls by outcome; "none" without one.
    outcomes: dict[str, int]

    @property
    def is_clean(self) -> bool:
        """Whether the run had no violations."""
        wrong = (self.lost, self.doubled, self.foreign, self.false_not_run, self.settings_wrong)
        return not any(wrong)


def normal_traffic_of(deployment: str, seed: int) -> Scenario:
    """Return the normal traffic of a deployment with bursts of its classes in turn."""
    scenario = next(each for each in SCENARIOS if each.name == NORMAL_TRAFFIC_SCENARIOS[deployment])
    bursts = BURST_FACTORS[deployment]
    rng = random.Random(seed)
    offset_s = BURST_EVERY_S / len(bursts)
    first_s = rng.uniform(0, offset_s)
    starts = {name: first_s + index * offset_s for index, name in enumerate(bursts)}
    traffic_with_patience = [
        dataclasses.replace(each, patience_s=PATIENCE_S) for each in scenario.traffic
    ]
    traffic = tuple(
        _bursting(each, starts[each.name], bursts[each.name]) if each.name in bursts else each
        for each in traffic_with_patience
    )
    return dataclasses.replace(scenario, traffic=traffic, faults=(), proxied=True)


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
    """Run the load and the faults and compare the callers' results with the servers' records."""
    with _running(scenario, directory) as cluster:
        model_traffic = next(each for each in reversed(scenario.traffic) if each.model)
        faults = FaultInjector(cluster, CrashingCaller(model_traffic), seed)
        run = ScenarioRun(scenario, POLICY, seconds, seed, cluster)
        fault_thread = threading.Thread(target=faults.run, args=(seconds, FAULT_EVERY_S))
        with run.callers() as callers:
            for process in callers:
                process.wait_ready()
            started_at = time.monotonic()
            fault_thread.start()
            for process in callers:
                _wait_for_result(process, seconds)
            fault_thread.join()
            calls = [call for process in callers for call in run.calls_of(process)]
            calls += faults.crashing.calls(started_at)
        observation = Observation(
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
        return _evaluate(observation, faults, seed, started_at)


def _wait_for_result(process: Process, seconds: float) -> None:
    process.wait_line(lambda line: line.startswith("RESULT"), seconds + END_TIMEOUT_S)


def _evaluate(
    observation: Observation, faults: FaultInjector, seed: int, started_at: float
) -> Soak:
    calls = [
        call
        for call in observation.calls
        if not _was_on_down_instance(call, faults.downtimes, started_at)
    ]
    counted_observation = dataclasses.replace(observation, calls=calls)
    lost_lines = find_lost(counted_observation)
    doubled_lines = find_doubled(counted_observation)
    settings_lines = faults.operators.find_violations_of_settings()
    for line in (*lost_lines, *doubled_lines, *settings_lines):
        click.echo(line)
    false_not_run = sum("reported not_run" in line for line in lost_lines)
    foreign = sum(line.endswith(f"answer is {Check.FOREIGN}") for line in doubled_lines)
    return Soak(
        seed=seed,
        seconds=observation.seconds,
        requests=len(observation.calls),
        faults=dict(sorted(faults.injected.items())),
        overlapped=faults.overlapped,
        bursts=_count_bursts(observation.scenario, observation.seconds),
        lost=len(lost_lines) - false_not_run,
        doubled=len(doubled_lines) - foreign,
        foreign=foreign,
        false_not_run=false_not_run,
        settings_wrong=len(settings_lines),
        settings_told=dict(Counter(each.verdict or "none" for each in faults.operators.reported)),
        crashes_by_one_prompt=faults.crashing.most_crashes(observation.engine_records),
        instance_died=len(observation.calls) - len(calls),
        outcomes=dict(Counter(call["outcome"] or "none" for call in observation.calls)),
    )


def _was_on_down_instance(call: Record, downtimes: list[Downtime], run_started_at: float) -> bool:
    """Return whether a call without an outcome used an instance that was down meanwhile."""
    if call["outcome"]:
        return False
    call_started_at = run_started_at + call["planned_s"] - CLOCK_TOLERANCE_S
    call_ended_at = run_started_at + call["planned_s"] + call["total_s"] + CLOCK_TOLERANCE_S
    return any(
        each.address == call["entry"]
        and each.started_at <= call_ended_at
        and call_started_at <= each.ended_at
        for each in downtimes
    )


@click.command()
@click.option(
    "--deployment", type=click.Choice(sorted(NORMAL_TRAFFIC_SCENARIOS)), default="stitchline"
)
@click.option(
    "--seconds", type=float, default=SECONDS, show_default=True, help="Length of the load."
)
@click.option("--seed", type=int, help="Seed of load and faults; random by default.")
@click.option("--keep", type=click.Path(path_type=Path), help="Directory for the files of the run.")
@click.option("--out", type=click.Path(path_type=Path), default=OUT, show_default=True)
def main(deployment: str, seconds: float, seed: int | None, keep: Path | None, out: Path) -> None:
    """Run the load with random faults; exit with 1 after a violation."""
    seed = secrets.randbelow(2**31) if seed is None else seed
    click.echo(f"seed {seed}, {deployment}, {seconds:.0f} s")
    with tempfile.TemporaryDirectory(prefix="turmericweir-soak-") as scratch:
        soak = run_soak(normal_traffic_of(deployment, seed), seconds, seed, keep or Path(scratch))
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(orjson.dumps(asdict(soak), option=orjson.OPT_INDENT_2))
    click.echo(out.read_text())
    sys.exit(0 if soak.is_clean else 1)


if __name__ == "__main__":
    main()
