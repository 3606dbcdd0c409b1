"""The kinds of jobs that the stand-in client submits."""

MEMORY = 256  # megabytes that a task asks for unless its step says otherwise


def step_of(count, seconds, cpu, fail=0.0, **more):
    """Returns (step as it is submitted, its description in the spec)."""
    step = {"count": count, "cpu": cpu, "mem_mb": MEMORY, "est_ms": int(seconds * 1000), **more}
    description = {
        "seconds": seconds,
        "fail": fail,
        "gang": count if more.get("gang") else 0,
        "room": [cpu, step["mem_mb"], more.get("gpu", 0)],
        "saves": bool(more.get("saves")),
        "lasts": bool(more.get("lasts")),
    }
    return step, description


# kind -> (jobs per second, function that makes the steps)
KINDS = {
    "fan": (0.8, lambda: [step_of(6, 0.5, 700)]),
    "chain": (
        0.4,
        lambda: [step_of(2, 0.4, 500), step_of(3, 0.3, 400, after=[0]), step_of(1, 0.3, 900, after=[0, 1])],
    ),
    "gang": (0.3, lambda: [step_of(3, 1.0, 1200, gang=True, saves=True), step_of(1, 0.2, 300, after=[0])]),
    "saves": (0.25, lambda: [step_of(2, 4.0, 1000, saves=True)]),
    "failing": (0.3, lambda: [step_of(3, 0.4, 400, fail=0.4)]),
    "apart": (0.2, lambda: [step_of(3, 0.6, 300, apart=1, gpu=1)]),
    "named": (0.2, lambda: [step_of(2, 0.5, 500, needs="b", near="r1-1")]),
    "timed": (0.15, lambda: [step_of(2, 0.4, 300), step_of(1, 0.3, 300, after=[0])]),
    "lasting": (0.08, lambda: [step_of(2, 1.0, 400, fail=0.3, lasts=True)]),
}
