"""Measure the decisions under load and faults: `make measure`.

Each scenario (`measure_scenarios`) runs with real processes under each policy (`measure_run`); the
figures (`measure_figures`) are printed, written to `build/measure.json` and plotted. One cluster
runs at a time. The processor shares in the busiest second are printed with each run: a run in which
a daemon or the callers come near a whole core measured this machine and not the policy.
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
QUICK_SECONDS: Final = 8.0
# Above this share of a core a process is taken to have held the run up.
CPU_SHARE_MAX: Final = 0.85
LINES_SHOWN: Final = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is run."""

    scenarios: tuple[Scenario, ...]
    policies: tuple[str, ...]
    repeats: int
    seconds: float
    # Where the files of each run stay; None for a place that is removed.
    keep: Path | None


def run_all(plan: Plan, out: Path) -> list[Figures]:
    """Run everything; the file is written anew after each row, so that an end midway loses none."""
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
        seen = run_scenario(scenario, policy, plan.seconds, SEED + number, directory)
        figures = figures_of(seen)
        _show(seen, figures, time.monotonic() - started_at)
    finally:
        if plan.keep is not None:
            kept = plan.keep / f"{scenario.name}-{policy}-{number}"
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(directory, kept)
        shutil.rmtree(directory, ignore_errors=True)
    if plan.keep is not None:
        (kept / "states.json").write_bytes(orjson.dumps(dict(seen.states)))
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
        f" {' '.join(f'{each:.1f}' for each in load)}"
    )


def _show(seen: Observation, figures: Figures, taken_s: float) -> None:
    click.echo(f"-- {figures.scenario}, {figures.policy} ({taken_s:.0f} s)")
    for name, attained in figures.attainment.items():
        outcomes = ", ".join(f"{count} {told}" for told, count in outcomes_of(seen)[name].items())
        click.echo(
            f"   {name:13} attainment {attained:.3f}, longest wait"
            f" {figures.longest_wait_s[name]:.2f} s, shed {figures.shed[name]} ({outcomes})"
        )
    click.echo(
        f"   goodput {figures.goodput_requests_s:.1f} requests/s,"
        f" {figures.goodput_tokens_s:.0f} tokens/s; wasted {figures.wasted_share:.2%};"
        f" lost {figures.lost}, doubled {figures.doubled}"
    )
    crashes = sum(each["event"] == "crash" for each in seen.engine_records)
    if crashes or seen.crashing_answers:
        click.echo(f"   {crashes} crashes; answers: {', '.join(seen.crashing_answers)}")
    for line in (*find_lost(seen)[:LINES_SHOWN], *find_doubled(seen)[:LINES_SHOWN]):
        click.echo(f"   ! {line}")
    _show_cpu(seen)


def _show_cpu(seen: Observation) -> None:
    late = sorted(call["late_s"] for call in seen.calls)
    shares = ", ".join(f"{kind} {share:.0%}" for kind, share in seen.cpu.by_kind.items())
    click.echo(
        f"   busiest second: {shares}; together {seen.cpu.own:.1f} cores,"
        f" all on the machine {seen.cpu.machine:.1f};"
        f" callers late by {late[len(late) * 99 // 100] * 1000:.1f} ms in 1 of 100"
    )
    for kind, share in seen.cpu.by_kind.items():
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
@click.option("--repeat", "repeats", default=1, show_default=True, help="Runs, each of a new seed.")
@click.option("--seconds", default=SECONDS, show_default=True, help="How long calls are sent.")
@click.option("--quick", is_flag=True, help=f"Send calls for {QUICK_SECONDS:.0f} s only.")
@click.option(
    "--keep", type=click.Path(path_type=Path), default=None, help="Keep records and dumps here."
)
@click.option(
    "--out", type=click.Path(path_type=Path), default=OUT, show_default=True, help="The figures."
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
    chosen = tuple(each for each in POLICIES if not policies or each in policies)
    plan = Plan(scenarios, chosen, repeats, QUICK_SECONDS if quick else seconds, keep)
    rows = run_all(plan, out)
    picture = out.with_suffix(".png")
    plot(rows, picture)
    _show_table(rows)
    click.echo(f"\nwritten to {out} and {picture}")


if __name__ == "__main__":
    main()
