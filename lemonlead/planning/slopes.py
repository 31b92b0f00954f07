"""Measured costs of the roles of a fleet: points, and a line through them. Does no I/O.

The line is `fixed + slope * size`. It has the least sum of squares of relative errors, so that small sizes
count as much as large ones. The last point is held out of the fit and tests it. A file whose line does not
agree with its points is refused.
"""

import math
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MIN_POINTS = 3  # of a fit, without the point held out
FIT_TOLERANCE = 1e-6  # relative; the fit in the file is rounded to decimals

Text = Annotated[str, Meta(min_length=1, max_length=500)]
Date = Annotated[str, Meta(pattern=r"^\d{4}-\d\d-\d\d$")]
Size = Annotated[float, Meta(gt=0)]
Figure = Annotated[float, Meta(gt=0)]


class InvalidSlopes(Exception):
    """A file of slopes is invalid.

    `path` is the place in the file; `found` and `expected` are texts for the operator.
    """

    def __init__(self, path, found, expected):
        self.path, self.found, self.expected = path, found, expected
        super().__init__(f"{path}: found {found}, expected {expected}")


class Source(Struct, frozen=True, forbid_unknown_fields=True):
    """The run that gave a figure. `beside`: the load average of the machine, with `cores`, at its start."""

    command: Text
    date: Date
    commit: Text
    beside: Annotated[float, Meta(ge=0)]
    cores: Annotated[int, Meta(ge=1)]


class Point(Struct, frozen=True, forbid_unknown_fields=True):
    size: Size
    figure: Figure


class Slope(Struct, frozen=True, forbid_unknown_fields=True):
    """How a cost grows with a size.

    `by` says what the size counts. `error` is the largest error of the fit at its points, and
    `held_out_error` the error at the point held out, above 0 if the fit is too high. Both are shares of the
    measured figure.
    """

    name: Text
    role: Text
    by: Text
    unit: Text
    points: Annotated[tuple[Point, ...], Meta(min_length=MIN_POINTS, max_length=100)]
    held_out: Point
    fixed: float
    slope: float
    error: float
    held_out_error: float
    source: Source

    def at(self, size):
        """Returns what the line gives for this size."""
        return self.fixed + self.slope * size

    def measured(self, size):
        """Returns the figure that was measured at this size, or None."""
        return next((point.figure for point in (*self.points, self.held_out) if point.size == size), None)


class Latency(Struct, frozen=True, forbid_unknown_fields=True):
    """The 99th percentile and the median of request latency (ms) at a rate of requests a second.

    They are measured through a gateway and through a bare relay. `asked` counts the requests.
    """

    rate: Size
    gateway: Figure
    relay: Figure
    gateway_median: Figure
    relay_median: Figure
    asked: Annotated[int, Meta(ge=1)]
    source: Source


class Run(Struct, frozen=True, forbid_unknown_fields=True):
    """A run that shows whether a target is met.

    `of` is the name of the target's row. `whole`: the run had the full size that is wanted. `simulated`: it
    ran in simulated time.
    """

    of: Text
    what: Text
    found: float
    unit: Text
    whole: bool
    simulated: bool
    source: Source


class Stampede(Struct, frozen=True, forbid_unknown_fields=True):
    """What happened to one discovery service when all gateways came back at once. Times are seconds."""

    gateways: Annotated[int, Meta(ge=1)]
    calls_a_second: tuple[Figure, Figure]  # that discovery can serve, minimum and maximum
    fails_after: Figure
    callers: Annotated[int, Meta(ge=1)]
    within: Figure  # the time in which the callers came
    none_served: tuple[Figure, Figure]  # the interval of the run in which no caller was served
    spread: Figure  # the time over which they came in the other trial
    served_after: Figure  # after which all of them were served
    pauses: Annotated[tuple[Figure, ...], Meta(min_length=1)]  # after failures
    source: Text  # how it was observed


class Slopes(Struct, frozen=True, forbid_unknown_fields=True):
    slopes: tuple[Slope, ...]
    latencies: tuple[Latency, ...] = ()
    runs: tuple[Run, ...] = ()
    stampede: Stampede | None = None

    def get(self, name):
        return next((slope for slope in self.slopes if slope.name == name), None)


def fit(points):
    """Fits a line to (size, figure) points with the least sum of squares of relative errors.

    Returns (fixed, slope, largest error at a point). Needs two sizes at least, and figures above 0.
    """
    weights = [1 / figure**2 for _, figure in points]
    total = math.fsum(weights)
    mean_size = math.fsum(w * x for w, (x, _) in zip(weights, points, strict=True)) / total
    mean_figure = math.fsum(w * y for w, (_, y) in zip(weights, points, strict=True)) / total
    variance = math.fsum(w * (x - mean_size) ** 2 for w, (x, _) in zip(weights, points, strict=True))
    covariance = math.fsum(
        w * (x - mean_size) * (y - mean_figure) for w, (x, y) in zip(weights, points, strict=True)
    )
    slope = covariance / variance
    fixed = mean_figure - slope * mean_size
    return fixed, slope, max(abs(relative_error(fixed, slope, point)) for point in points)


def relative_error(fixed, slope, point):
    """Returns the error of the line at a point, as a share of the measured figure; above 0: too high."""
    size, figure = point
    return (fixed + slope * size) / figure - 1


def fit_and_check(points):
    """Fits all points but the last and tests the fit at the last; returns the fields of a Slope by name."""
    *inside, last = points
    fixed, slope, error = fit(inside)
    held_out = relative_error(fixed, slope, last)
    return {"fixed": fixed, "slope": slope, "error": error, "held_out_error": held_out}


def read(data):
    """Reads slopes from the bytes of a file; raises InvalidSlopes."""
    try:
        slopes = msgspec.json.decode(data, type=Slopes)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at ")
        raise InvalidSlopes(
            path.strip("`").removeprefix("$.") or "the file", *found_and_expected(message)
        ) from None
    except msgspec.DecodeError as error:
        raise InvalidSlopes(
            "the file", f"no JSON ({error})", "slopes as benchmarks.slopes writes them"
        ) from None
    for index, slope in enumerate(slopes.slopes):
        check_slope(slopes, index, slope)
    return slopes


def found_and_expected(message):
    """Splits a message of msgspec into (found, expected), as far as it states them."""
    if message.startswith("Expected ") and ", got " in message:
        expected, _, found = message.removeprefix("Expected ").partition(", got ")
        return found, expected
    if message.startswith("Expected "):
        return "another value", message.removeprefix("Expected ")
    return message, "an object of the fields that benchmarks.slopes writes"


def check_slope(slopes, index, slope):
    """Raises InvalidSlopes if a name or size occurs twice, or the fit does not agree with the points."""
    path = f"slopes[{index}]"
    if slopes.get(slope.name) is not slope:
        raise InvalidSlopes(f"{path}.name", repr(slope.name), "a name that no slope before it has")
    points = [(point.size, point.figure) for point in (*slope.points, slope.held_out)]
    sizes = [size for size, _ in points]
    if len(set(sizes)) < len(sizes):
        raise InvalidSlopes(f"{path}.points", f"sizes {sizes}", "each size once, that held out as well")
    for name, expected in fit_and_check(points).items():
        found = getattr(slope, name)
        if not math.isclose(
            found, expected, rel_tol=FIT_TOLERANCE, abs_tol=FIT_TOLERANCE * abs(slope.held_out.figure)
        ):
            raise InvalidSlopes(f"{path}.{name}", found, f"{expected:.9g}, which its points give")
