"""The plot of `make measure`: attainment by class, goodput and wasted work of each scenario."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Final

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from turmericweir_standins.measure_figures import Figures

# The backend that writes files without a display.
mpl.use("Agg")

COLOURS: Final = {"baseline": "#9a9a9a", "counts": "#4c8bb8", "credits": "#c8702a"}
ATTAINMENT_GOAL: Final = 0.99
_ROW_INCHES: Final = 1.9
_WIDTH_INCHES: Final = 12.0


def plot(rows: Sequence[Figures], path: Path) -> None:
    """Draw all rows and write the plot to a file."""
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    figure = Figure(figsize=(_WIDTH_INCHES, _ROW_INCHES * len(scenarios) + 0.6))
    grid = figure.subplots(
        len(scenarios), 3, squeeze=False, gridspec_kw={"width_ratios": [4, 1.3, 1.3]}
    )
    for axes, scenario in zip(grid, scenarios, strict=True):
        scenario_rows = [row for row in rows if row.scenario == scenario]
        _draw_attainment(axes[0], scenario, scenario_rows)
        _draw_bars(
            axes[1],
            "goodput, tokens/s",
            "%.0f",
            scenario_rows,
            [row.goodput_tokens_s for row in scenario_rows],
        )
        _draw_bars(
            axes[2],
            "wasted, %",
            "%.2f",
            scenario_rows,
            [row.wasted_share * 100 for row in scenario_rows],
        )
    handles, labels = grid[0][0].get_legend_handles_labels()
    figure.legend(handles, labels, loc="upper right", ncols=len(labels), frameon=False)
    figure.tight_layout(rect=(0, 0, 1, 1 - 0.3 / figure.get_figheight()))
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=90)


def _draw_attainment(axes: Axes, scenario: str, rows: Sequence[Figures]) -> None:
    names = list(rows[0].attainment)
    width = 0.8 / len(rows)
    for number, row in enumerate(rows):
        positions = [index + (number - (len(rows) - 1) / 2) * width for index in range(len(names))]
        heights = [row.attainment[name] for name in names]
        colour = COLOURS.get(row.policy)
        bars = axes.bar(positions, heights, width, label=row.policy, color=colour)
        axes.bar_label(bars, fmt="%.2f", fontsize=6)
    axes.axhline(ATTAINMENT_GOAL, color="black", linewidth=0.6, linestyle=":")
    axes.set_xticks(range(len(names)), names)
    axes.set_ylim(0, 1.15)
    axes.set_title(f"{scenario}: attainment", fontsize=9, loc="left")


def _draw_bars(
    axes: Axes, title: str, label: str, rows: Sequence[Figures], heights: list[float]
) -> None:
    colours = [COLOURS.get(row.policy, "#444444") for row in rows]
    bars = axes.bar([row.policy for row in rows], heights, color=colours)
    axes.bar_label(bars, fmt=label, fontsize=6)
    axes.set_ylim(0, 1.2 * max(*heights, 0.01))
    axes.tick_params(axis="x", labelsize=7)
    axes.set_title(title, fontsize=9, loc="left")
