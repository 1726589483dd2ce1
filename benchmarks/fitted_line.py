"""A line fitted to measurements."""

from __future__ import annotations

import msgspec
import numpy as np

__all__ = ('Slope', 'fit')


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A line fitted to measurements at several sizes."""

    name: str
    #: What the sizes count.
    per: str
    unit: str
    sizes: list[float]
    values: list[float]
    slope: float
    intercept: float
    #: Largest distance of a measurement from the line, as a part of the largest value.
    error: float


def fit(name: str, per: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line by least squares."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = (float(each) for each in np.polyfit(sizes, values, 1))
    misses = [
        abs(value - (slope * size + intercept)) for size, value in zip(sizes, values, strict=True)
    ]
    return Slope(
        name=name,
        per=per,
        unit=unit,
        sizes=sizes,
        values=[round(value, 4) for value in values],
        slope=slope,
        intercept=intercept,
        error=max(misses) / max(abs(value) for value in values),
    )
