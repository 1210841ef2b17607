"""
Stats.

Percentiles and lines through small samples.
"""

import math
import os
import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """
    A least-squares line.

    :param fit: the coefficient of determination, 1 for points on the line.
    """

    slope: float
    intercept: float
    fit: float

    def at(self, x: float) -> float:
        """
        Read the line.

        :param x: any abscissa.
        :return: the ordinate.
        """
        return self.intercept + self.slope * x


def percentile(values: Sequence[float], share: float) -> float:
    """
    Find a percentile by the nearest rank.

    :param values: a sample, not empty.
    :param share: such as 0.99.
    :return: a value of the sample.
    """
    ordered = sorted(values)
    rank = max(math.ceil(share * len(ordered)), 1)
    return ordered[rank - 1]


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """
    Fit a line by least squares.

    :param xs: abscissas, at least two that differ.
    :param ys: ordinates.
    :return: the line.
    """
    found = statistics.linear_regression(xs, ys)
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    rest = sum(
        (y - found.intercept - found.slope * x) ** 2
        for x, y in zip(xs, ys, strict=True)
    )
    fit = 1 - rest / total if total else 1.0
    return Line(slope=found.slope, intercept=found.intercept, fit=fit)


def load_average() -> str:
    """
    Read how busy the machine is.

    :return: a line for a table's foot.
    """
    minute = os.getloadavg()[0]
    return f"Load average {minute:.1f} on {os.cpu_count()} processors."
