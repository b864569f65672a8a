"""Measure the policies under load and faults: `make measure`.

Each scenario (`measure_scenarios`) runs with real processes under each policy (`measure_run`). The
figures (`measure_figures`) are printed, written to `build/measure.json` and plotted. The processor
shares of the busiest second are printed with each run: if a daemon or the callers use nearly a
whole core, the run has measured the machine and not the policy.
"""

from __future__ import annotations

import dataclasses
import shutil
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import click
import orjson

from turmericweir_standins.measure_figures import (
    Figures,
    figures_of,
    find_doubled,
    find_lost,
    median_of,
    outcomes_of,
)
from turmericweir_standins.measure_plot import plot
from turmericweir_standins.measure_run import Observation, run_scenario
from turmericweir_standins.measure_scenarios import SCENARIOS, SECONDS, SEED, Scenario

POLICIES: Final = ("baseline", "counts", "credits")
OUT: Final = Path("build/measure.json")
QUICK_LOAD_S: Final = 8.0
# Above this share of a core a process may have limited the run.
CPU_SHARE_MAX: Final = 0.85
LINES_SHOWN_MAX: Final = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The scenarios, policies and lengths of the runs."""

    scenarios: tuple[Scenario, ...]
    policies: tuple[str, ...]
    repeats: int
    seconds: float
    # Directory for the files of each run; None to remove them.
    keep: Path | None


def run_all(plan: Plan, out: Path) -> list[Figures]:
    """Run everything and return the rows; the file is rewritten after each row."""
    rows: list[Figures] = []
    for scenario in plan.scenarios:
        _show_load(scenario, plan.seconds)
        for policy in plan.policies:
            runs = [_run_once(plan, scenario, policy, number) for number in range(plan.repeats)]
            rows.append(median_of(runs))
            _show_spread(runs)
            _write(rows, out)
    return rows


def _run_once(plan: Plan, scenario: Scenario, policy: str, number: int) -> Figures:
    started_at = time.monotonic()
    directory = Path(tempfile.mkdtemp(prefix="turmericweir-measure-"))
    try:
        observation = run_scenario(scenario, policy, plan.seconds, SEED + number, directory)
        figures = figures_of(observation)
        _show(observation, figures, time.monotonic() - started_at)
    finally:
        if plan.keep is not None:
            kept_directory = plan.keep / f"{scenario.name}-{policy}-{number}"
            shutil.rmtree(kept_directory, ignore_errors=True)
            shutil.copytree(directory, kept_directory)
        shutil.rmtree(directory, ignore_errors=True)
    if plan.keep is not None:
        (kept_directory / "states.json").write_bytes(orjson.dumps(dict(observation.states)))
    return figures


def _write(rows: Sequence[Figures], out: Path) -> None:
    out.parent.mkdir(parents=True, exist_ok=True)
    values = [dataclasses.asdict(row) for row in rows]
    out.write_bytes(orjson.dumps(values, option=orjson.OPT_INDENT_2) + b"\n")


# --- printing ---


def _show_load(scenario: Scenario, seconds: float) -> None:
    load = scenario.load_over_time(seconds, SEED)
    click.echo(
        f"\n== {scenario.name} ({scenario.deployment.name}, {scenario.engines} engines of"
        f" {scenario.capacity_tokens_s / scenario.engines:.0f} tokens/s)\n"
        f"   offered, as multiples of capacity by second:"
        f" {' '.join(f'{value:.1f}' for value in load)}"
    )


def _show(observation: Observation, figures: Figures, duration_s: float) -> None:
    click.echo(f"-- {figures.scenario}, {figures.policy} ({duration_s:.0f} s)")
    for name, attained in figures.attainment.items():
        outcomes = ", ".join(
            f"{count} {outcome}" for outcome, count in outcomes_of(observation)[name].items()
        )
        click.echo(
            f"   {name:13} attainment {attained:.3f}, longest wait"
            f" {figures.longest_wait_s[name]:.2f} s, shed {figures.shed[name]} ({outcomes})"
        )
    click.echo(
        f"   goodput {figures.goodput_requests_s:.1f} requests/s,"
        f" {figures.goodput_tokens_s:.0f} tokens/s; wasted {figures.wasted_share:.2%};"
        f" lost {figures.lost}, doubled {figures.doubled}"
    )
    crashes = sum(each["event"] == "crash" for each in observation.engine_records)
    if crashes or observation.crashing_answers:
        click.echo(f"   {crashes} crashes; answers: {', '.join(observation.crashing_answers)}")
    for line in (
        *find_lost(observation)[:LINES_SHOWN_MAX],
        *find_doubled(observation)[:LINES_SHOWN_MAX],
    ):
        click.echo(f"   ! {line}")
    _show_cpu(observation)


def _show_cpu(observation: Observation) -> None:
    late_s = sorted(call["late_s"] for call in observation.calls)
    shares = ", ".join(f"{kind} {share:.0%}" for kind, share in observation.cpu.by_kind.items())
    click.echo(
        f"   busiest second: {shares}; together {observation.cpu.own:.1f} cores,"
        f" all on the machine {observation.cpu.machine:.1f};"
        f" callers late by {late_s[len(late_s) * 99 // 100] * 1000:.1f} ms in 1 of 100"
    )
    for kind, share in observation.cpu.by_kind.items():
        if share > CPU_SHARE_MAX:
            click.echo(f"   ! a {kind} took {share:.0%} of a core: the machine may show, too")


def _show_spread(runs: Sequence[Figures]) -> None:
    if len(runs) < 2:
        return
    parts = [
        f"{name} {min(values):.3f} to {max(values):.3f}"
        for name in runs[0].attainment
        for values in [[each.attainment[name] for each in runs]]
    ]
    tokens = [each.goodput_tokens_s for each in runs]
    wasted = [each.wasted_share for each in runs]
    click.echo(
        f"   spread over {len(runs)} runs: {', '.join(parts)};"
        f" goodput {min(tokens):.0f} to {max(tokens):.0f} tokens/s;"
        f" wasted {min(wasted):.2%} to {max(wasted):.2%}"
    )


def _show_table(rows: Sequence[Figures]) -> None:
    click.echo(f"\n{'scenario':20} {'policy':9}  req/s  tok/s  waste lost dbl  attainment")
    for row in rows:
        attained = " ".join(f"{name} {value:.3f}" for name, value in row.attainment.items())
        click.echo(
            f"{row.scenario:20} {row.policy:9} {row.goodput_requests_s:6.1f}"
            f" {row.goodput_tokens_s:6.0f} {row.wasted_share:6.2%} {row.lost:4} {row.doubled:3}"
            f"  {attained}"
        )


@click.command()
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice([each.name for each in SCENARIOS]),
    help="Run only this one; may be repeated.",
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(POLICIES),
    help="Run only this one; may be repeated.",
)
@click.option(
    "--repeat", "repeats", default=1, show_default=True, help="Runs, each with a new seed."
)
@click.option(
    "--seconds", default=SECONDS, show_default=True, help="Seconds in which calls are sent."
)
@click.option("--quick", is_flag=True, help=f"Send calls for {QUICK_LOAD_S:.0f} s only.")
@click.option(
    "--keep", type=click.Path(path_type=Path), default=None, help="Directory for records and dumps."
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=OUT,
    show_default=True,
    help="File for the figures.",
)
def main(
    names: tuple[str, ...],
    policies: tuple[str, ...],
    repeats: int,
    seconds: float,
    quick: bool,
    keep: Path | None,
    out: Path,
) -> None:
    """Run the scenarios under each policy and write the figures and a plot."""
    scenarios = tuple(each for each in SCENARIOS if not names or each.name in names)
    selected_policies = tuple(each for each in POLICIES if not policies or each in policies)
    plan = Plan(scenarios, selected_policies, repeats, QUICK_LOAD_S if quick else seconds, keep)
    rows = run_all(plan, out)
    plot_path = out.with_suffix(".png")
    plot(rows, plot_path)
    _show_table(rows)
    click.echo(f"\nwritten to {out} and {plot_path}")


if __name__ == "__main__":
    main()
