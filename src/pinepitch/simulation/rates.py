"""How often a rehearsal errs: drafts that change nothing real, and drafts with a known
effect on one column, each on made traffic of its own; both counted by verdict.
"""

import collections
import json
import multiprocessing
import os
import random

from ..common import constants
from ..control import rehearsal
from ..model import queue_settings as rows

CAPACITIES = [(f"m{one}", "a", 8, []) for one in range(6)]
TABLE = {
    "steady": {"share": 16, "limit": 32, "retries": 2, "urgency": 5},
    "narrow": {"share": 6, "limit": 6, "retries": 2, "urgency": 5, "lends": False},
    "flaky": {"share": 8, "limit": 24, "retries": 1, "urgency": 5},
    "calls": {"share": 8, "limit": 24, "retries": 2, "urgency": 5},
    "unused": {"share": 2, "limit": 24, "retries": 2, "urgency": 5},
}
# Drafts that change nothing real for the traffic below: each cell is out of its reach.
IDLE = (
    {"unused": {"share": 3}},
    {"unused": {"limit": 40}},
    {"unused": {"urgency": 9}},
    {"unused": {"retries": 9}},
    {"steady": {"limit": 64}},
    {"calls": {"limit": 60}},
    {"steady": {"pending": 9000}},
    {"narrow": {"pending": 9000}},
    {"steady": {"repeats": True}},
    {"steady": {"retries": 5}},
    {"calls": {"retries": 7}},
    {"unused": {"lends": False}},
    {"more": {"share": 0}},
    {"narrow": {"repeats": True}},
    {"flaky": {"limit": 30}},
    {"calls": {"share": 9}},
)
# Drafts with a known effect: (column, what the table in force has besides, patch, right verdict).
ALONE = {"queues": {**{queue: {"lends": False} for queue in TABLE}, "narrow": {"lends": False, "limit": 16}}}
CROWDED = {
    "queues": {"steady": {"limit": 48, "share": 30}, "narrow": {"limit": 24}},
    "objective": {"queues": {"calls": 5.0}, "guard": {"factor": 2.0}},
}
KNOWN = (
    ("limit", {}, {"narrow": {"share": 6, "limit": 16}}, "better"),
    ("limit", {}, {"narrow": {"share": 3, "limit": 3}}, "worse"),
    ("share", ALONE, {"narrow": {"share": 14}}, "better"),
    ("share", ALONE, {"narrow": {"share": 3}}, "worse"),
    ("retries", {}, {"flaky": {"retries": 4}}, "better"),
    ("retries", {}, {"flaky": {"retries": 0}}, "worse"),
    ("urgency", CROWDED, {"calls": {"urgency": 9}}, "better"),
    ("urgency", CROWDED, {"calls": {"urgency": 0}}, "worse"),
)


def blocks(seed, busy=False):
    """Traffic in blocks as the sample tells it; `busy` fills the capacity now and then, so that
    urgency matters.
    """
    draw, made = random.Random(f"rates-{seed}"), []
    for _ in range(12):
        arrivals = []
        crowd = 3.5 if busy and draw.random() < 0.6 else 1.0
        for queue, rate, units, seconds, fails in (
            ("steady", 2.0, 1, 0.8, 0.0),
            ("narrow", 2.2, 1, 2.0, 0.0),
            ("flaky", 0.8, 1, 0.5, 0.35),
            ("calls", 0.8, 3, 0.5, 0.0),
        ):
            moment = draw.expovariate(rate)
            while moment < constants.SAMPLE_BLOCK:
                tasks = []
                for place in range(2):
                    failures = 0
                    while failures < 2 and draw.random() < fails:
                        failures += 1
                    tasks.append(
                        (
                            f"s{place}",
                            units * (4 if queue == "steady" and crowd > 1 else 1),
                            (),
                            (),
                            0.0,
                            "",
                            0,
                            0.0,
                            None if failures == 2 else seconds * draw.uniform(0.5, 1.5),
                            failures,
                            0.2 * failures,
                        )
                    )
                arrivals.append((moment, queue, "batch", -1, 0.0, tuple(tasks)))
                moment += draw.expovariate(rate * crowd)
        made.append((constants.SAMPLE_BLOCK, (), tuple(sorted(arrivals, key=lambda one: one[0]))))
    return tuple(made)


def one(work):
    """(kind, verdict that is right, verdict found) of one draft."""
    kind, besides, patch, right, seed = work
    table = rows.checked(rows.merged({"queues": TABLE}, besides))[0]
    draft = rows.checked(rows.merged(table, {"queues": patch}))[0]
    found = rehearsal.measure(blocks(seed, kind == "urgency"), table, draft, CAPACITIES)
    return kind, right, found["verdict"]


def measured(idle, known):
    """Kind -> right verdict -> counts of verdicts found."""
    work = [("idle", {}, IDLE[seed % len(IDLE)], "no difference", seed) for seed in range(idle)]
    work += [
        (column, besides, patch, right, 10_000 + seed)
        for column, besides, patch, right in KNOWN
        for seed in range(known)
    ]
    counts = {}
    with multiprocessing.Pool(os.cpu_count()) as pool:
        for kind, right, found in pool.imap_unordered(one, work):
            counts.setdefault(kind, {}).setdefault(right, collections.Counter())[found] += 1
    return counts


def rates(idle=200, known=25):
    """Prints how often rehearsals of idle drafts and of drafts with a known effect are right."""
    print(json.dumps(measured(idle, known), indent=2))
