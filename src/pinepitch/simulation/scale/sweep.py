"""Sweeps: runs at rising sizes, and the slope of every figure."""

import json

from .costs import costs
from .leader_acts import leader_acts
from .load import SWEEPS
from .measuring import measure
from .statistics import fit

SINGLE_PROCESS = {"costs": costs, "acts": leader_acts}  # sweeps without daemons
SATURATED = 0.85  # of a core; a daemon that spends more is no point of a line


FIGURES = (
    "core",
    "resident",
    "bytes_in",
    "bytes_out",
    "messages_in",
    "messages_out",
    "syncs",
    "entries",
    "disk",
)


def slopes(field, points):
    """{role: {figure: (slope, intercept, worst residual, points used)}} over a sweep, by a field of
    the load or a figure of the point. A point at
    which some daemon, or the hollow process, spent all it can is no point of a line.
    """
    fits = {}
    usable = [
        one
        for one in points
        if one["hollow_core"] < SATURATED and all(role["core"] < SATURATED for role in one["roles"].values())
    ]
    for role in ("leader", "follower1", "verge"):
        for figure in FIGURES:
            line = [
                (one["load"].get(field, one.get(field)), one["roles"][role][figure])
                for one in usable
                if figure in one["roles"].get(role, {})
            ]
            if len(line) > 1:
                fits.setdefault(role, {})[figure] = (*(float(f"{one:.4g}") for one in fit(line)), len(line))
    return fits


def scale(sweep="workers", seconds=8.0, seed=0, most=None, out=None):
    """Runs real daemons beside hollow workers at rising sizes; prints points and slopes.

    Args:
        sweep: a name of SWEEPS or several, parted by commas: workers, running, starts, waiting, changes,
            kept, calls, accords, verges, site; or costs, for what single acts of a leader take here; or acts,
            for what each kind of act takes beside busy fleets, in calls of functions and microseconds.
        seconds: how long each size is measured.
        most: leaves larger sizes out.
        out: a file for all points.

    """
    kept = {}
    for name in sweep if isinstance(sweep, (tuple, list)) else str(sweep).split(","):
        if name in SINGLE_PROCESS:
            kept[name] = SINGLE_PROCESS[name]()
            continue
        field, sizes, load = SWEEPS[name]
        points = []
        for size in sizes:
            if most is None or size <= most:
                points.append(measure(load._replace(**{field: size}), seconds, seed))
                print(json.dumps(points[-1]), flush=True)
        kept[name] = {"points": points, "slopes": slopes(field, points)}
        if name == "workers":  # a worker that is answered late heartbeats less often
            kept[name]["by_beats"] = slopes("beats", points)
        print(
            json.dumps({"sweep": name, **{key: kept[name][key] for key in kept[name] if key != "points"}}),
            flush=True,
        )
        if out:
            with open(out, "w") as file:
                json.dump(kept, file)
