"""The heartbeat document of a worker, for steps that run workers without daemons."""


def heartbeat(sequence, now, service, address, labels, capacity, running):
    """A ready worker's heartbeat as Worker.beat takes it; of runs [reference, run, saved, percent]."""
    return {
        "sequence": sequence,
        "clock_ms": now * 1000,
        "service": service,
        "address": address,
        "zone": "north",
        "state": "ready",
        "labels": labels,
        "room": capacity,
        "leaves_ms": None,
        "running": running,
        "ended": [],
    }
