"""Runs all benchmarks; ends with 1 where a bound is broken."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from benchmarks import (
    call_cost,
    control,
    events,
    gateway_cost,
    gateway_load,
    routing,
    sharing,
)
from benchmarks.figure import Figure
from benchmarks.plots import draw_harm_curves

__all__ = ('main',)

RESULTS = Path(__file__).parent / 'results.json'
#: Run side by side in virtual time, where other load changes nothing.
WORKERS = 4


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """A figure as it is stored."""

    name: str
    value: float
    unit: str
    baseline: float | None
    bound: float | None
    goal: float | None
    relation: str
    holds: bool
    meets_goal: bool


def main() -> int:
    """Run everything."""
    began = time.monotonic()
    figures: list[Figure] = []
    points: list[sharing.CurvePoint] = []
    with ProcessPoolExecutor(WORKERS) as pool:
        by_load = [pool.submit(sharing.load_figures, load) for load in sharing.ORACLE_BOUNDS]
        others = [
            pool.submit(measure)
            for measure in (
                sharing.kept_figures,
                sharing.burst_figures,
                routing.prefix_figures,
                routing.failure_figures,
                routing.fairness_figures,
                routing.overload_figures,
                control.control_figures,
                events.reaction_figures,
                events.zone_figures,
                events.deadline_figures,
                gateway_load.load_figures,
            )
        ]
        for load in by_load:
            found, shown = load.result()
            figures += found
            points += shown
        for other in others:
            figures += other.result()
    # These read the processor's time, so nothing else runs beside them.
    figures += routing.decision_figures()
    figures += call_cost.call_cost_figures()
    figures += gateway_cost.cost_figures()
    draw_harm_curves(points)
    _store(figures)
    _print(figures, time.monotonic() - began)
    return 0 if all(figure.holds for figure in figures) else 1


def _store(figures: list[Figure]) -> None:
    results = [
        Result(
            name=figure.name,
            value=round(figure.value, 4),
            unit=figure.unit,
            baseline=figure.baseline,
            bound=figure.bound,
            goal=figure.goal,
            relation=figure.relation.value,
            holds=figure.holds,
            meets_goal=figure.meets_goal,
        )
        for figure in figures
    ]
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=2) + b'\n')


def _print(figures: list[Figure], took_s: float) -> None:
    table = Table(title=f'Benchmarks ({took_s:.0f} s)')
    for column in ('figure', 'value', 'baseline', 'bound', 'goal', ''):
        table.add_column(column)
    for figure in figures:
        state = 'holds' if figure.holds else '[red]BROKEN[/red]'
        if figure.holds and not figure.meets_goal:
            state = 'short of its goal'
        table.add_row(
            figure.name,
            f'{figure.value:.3f} {figure.unit if figure.unit != "ratio" else ""}',
            '' if figure.baseline is None else f'{figure.baseline:.2f}',
            '' if figure.bound is None else f'{figure.relation.value} {figure.bound:g}',
            '' if figure.goal is None else f'{figure.goal:g}',
            state,
        )
    Console(width=150).print(table)


if __name__ == '__main__':
    sys.exit(main())
