"""Draws the main curves."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use('Agg')

import matplotlib.pyplot as plt

if TYPE_CHECKING:
    from benchmarks.sharing import CurvePoint

__all__ = ('draw_harm_curves',)

FOLDER = Path(__file__).parent / 'plots'


def draw_harm_curves(points: list[CurvePoint]) -> None:
    """Draw harm against batch throughput, a panel for each online load."""
    FOLDER.mkdir(exist_ok=True)
    loads = sorted({point.load for point in points})
    figure, panels = plt.subplots(1, len(loads), figsize=(5 * len(loads), 4), squeeze=False)
    for panel, load in zip(panels[0], loads, strict=True):
        shown = [point for point in points if point.load == load]
        fixed = [point for point in shown if point.name.endswith('slots')]
        panel.plot(
            [point.throughput for point in fixed],
            [point.harm for point in fixed],
            'o-',
            label='fixed slots',
        )
        for point in shown:
            if point not in fixed:
                panel.plot(point.throughput, point.harm, 's', label=point.name)
        panel.set_yscale('log')
        panel.set_xlabel("batch tokens ÷ the oracle's")
        panel.set_ylabel('first-token p99 ÷ batch off')
        panel.set_title(f'online load {load * 100:.0f}%')
        panel.legend()
    figure.tight_layout()
    figure.savefig(FOLDER / 'harm.png', dpi=110)
    plt.close(figure)
