"""What a role costs by what it grows by: measured points, and a line through them. Without I/O.

`fixed + slope * size`, by least squares of the relative errors, so that a small size counts as a large one;
the last point is kept out of it and tests it. What the file says of a line must be what its points give."""

import math
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MIN_POINTS = 3  # points of a fit
FIT_TOLERANCE = 1e-6  # by which a fit as written may be off, relatively: it is written in decimals

Text = Annotated[str, Meta(min_length=1, max_length=500)]
Date = Annotated[str, Meta(pattern=r"^\d{4}-\d\d-\d\d$")]
Size = Annotated[float, Meta(gt=0)]
Figure = Annotated[float, Meta(gt=0)]


class InvalidSlopes(Exception):
    """A file of slopes that can't be used: `path` in it, what was found, what was expected."""

    def __init__(self, path, found, expected):
        self.path, self.found, self.expected = path, found, expected
        super().__init__(f"{path}: found {found}, expected {expected}")


class Source(Struct, frozen=True, forbid_unknown_fields=True):
    """The run that gave a figure. `beside`: load average of the machine as it began, of `cores`."""

    command: Text
    date: Date
    commit: Text
    beside: Annotated[float, Meta(ge=0)]
    cores: Annotated[int, Meta(ge=1)]


class Point(Struct, frozen=True, forbid_unknown_fields=True):
    size: Size
    figure: Figure


class Slope(Struct, frozen=True, forbid_unknown_fields=True):
    """`by`: what the size counts. `error`: the largest of the fit at its points; `held_out_error`: that of
    the fit at the point kept out, above 0 where the fit says too much; both as shares of the measured."""

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
        return self.fixed + self.slope * size

    def measured(self, size):
        """What was measured at this size, or None."""
        return next((point.figure for point in (*self.points, self.held_out) if point.size == size), None)


class Latency(Struct, frozen=True, forbid_unknown_fields=True):
    """Milliseconds at 99 in 100, and at half, of requests that come at a rate, through a gateway and through
    a bare relay."""

    rate: Size
    gateway: Figure
    relay: Figure
    gateway_median: Figure
    relay_median: Figure
    asked: Annotated[int, Meta(ge=1)]
    source: Source


class Run(Struct, frozen=True, forbid_unknown_fields=True):
    """A run that shows a figure of the operators' at full size, or how far it goes. `of`: the row's name.
    `whole`: whether it is the size that is wanted. `simulated`: in simulated time."""

    of: Text
    what: Text
    found: float
    unit: Text
    whole: bool
    simulated: bool
    source: Source


class Stampede(Struct, frozen=True, forbid_unknown_fields=True):
    """What a fleet that came back all at once did to one discovery: seconds, calls."""

    gateways: Annotated[int, Meta(ge=1)]
    calls_a_second: tuple[Figure, Figure]  # that discovery works off, least and most
    fails_after: Figure
    callers: Annotated[int, Meta(ge=1)]
    within: Figure  # in which they came
    none_served: tuple[Figure, Figure]  # from when to when of the day
    spread: Figure  # over which they came in the other trial
    served_after: Figure  # after which all of them were served
    pauses: Annotated[tuple[Figure, ...], Meta(min_length=1)]  # after failures
    source: Text  # how it was seen


class Slopes(Struct, frozen=True, forbid_unknown_fields=True):
    slopes: tuple[Slope, ...]
    latencies: tuple[Latency, ...] = ()
    runs: tuple[Run, ...] = ()
    stampede: Stampede | None = None

    def get(self, name):
        return next((slope for slope in self.slopes if slope.name == name), None)


def fit(points):
    """(fixed, slope, error) of the line whose relative errors at these (size, figure) have the least sum of
    squares; the error is the largest of them. Two sizes at least, figures above 0."""
    weights = [1 / figure**2 for _, figure in points]
    total = math.fsum(weights)
    size = math.fsum(w * x for w, (x, _) in zip(weights, points, strict=True)) / total
    figure = math.fsum(w * y for w, (_, y) in zip(weights, points, strict=True)) / total
    spread = math.fsum(w * (x - size) ** 2 for w, (x, _) in zip(weights, points, strict=True))
    both = math.fsum(w * (x - size) * (y - figure) for w, (x, y) in zip(weights, points, strict=True))
    slope = both / spread
    fixed = figure - slope * size
    return fixed, slope, max(abs(off(fixed, slope, point)) for point in points)


def off(fixed, slope, point):
    """By how much the line is off at a point, as a share of the measured; above 0: too much."""
    size, figure = point
    return (fixed + slope * size) / figure - 1


def fit_and_check(points):
    """The fit of all points but the last, and its error there, as a slope has them by name."""
    *inside, last = points
    fixed, slope, error = fit(inside)
    held_out = off(fixed, slope, last)
    return {"fixed": fixed, "slope": slope, "error": error, "held_out_error": held_out}


def read(data):
    """Slopes from the bytes of a file, or InvalidSlopes."""
    try:
        told = msgspec.json.decode(data, type=Slopes)
    except msgspec.ValidationError as error:
        says, _, path = str(error).partition(" - at ")
        raise InvalidSlopes(
            path.strip("`").removeprefix("$.") or "the file", *found_and_expected(says)
        ) from None
    except msgspec.DecodeError as error:
        raise InvalidSlopes(
            "the file", f"no JSON ({error})", "slopes as benchmarks.slopes writes them"
        ) from None
    for at, slope in enumerate(told.slopes):
        check(told, at, slope)
    return told


def found_and_expected(says):
    """What msgspec's words say apart, where they do."""
    if says.startswith("Expected ") and ", got " in says:
        expected, _, found = says.removeprefix("Expected ").partition(", got ")
        return found, expected
    if says.startswith("Expected "):
        return "another value", says.removeprefix("Expected ")
    return says, "an object of the fields that benchmarks.slopes writes"


def check(told, at, slope):
    path = f"slopes[{at}]"
    if told.get(slope.name) is not slope:
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
