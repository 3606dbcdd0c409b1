"""Jobs, configurations and references of tasks, for steps on the leased job state."""

from pinepitch.scheduling import job_document as jobs

QUEUE = "orders"
NAMES = {job_letter: job_letter.lower() * 16 for job_letter in "ABC"}


def document(attempts=3, version=1):
    return {
        "version": version,
        "services": [{"name": "web"}],
        "routes": [
            {"name": QUEUE, "host": "a.example", "prefix": "/orders/", "service": "web", "attempts": attempts}
        ],
    }


def plain_of(**job):
    plain, faults = jobs.checked(job)
    assert not faults, faults
    return plain


def steps_of(text):
    """The steps of "2; 3 gang; 1 gpu=2 after 0 1"."""
    steps = []
    for part in text.split(";"):
        count, *words = part.split()
        step = {"count": int(count), "cpu": 100}
        if "after" in words:
            step["after"] = [int(one) for one in words[words.index("after") + 1 :]]
        for word in ("gang", "lasts"):
            step[word] = word in words
        step.update(resources_of([word for word in words if "=" in word]))
        steps.append(step)
    return steps


def resources_of(words):
    """The resources of "cpu=200" and "gpu=1"."""
    return {name: int(amount) for name, amount in (word.split("=") for word in words)}


def tasks_of(text):
    """(time, step, index) of each of "0.0.1 0.1.0"."""
    return [tuple(map(int, one.split("."))) for one in text.split()]


def reference(job_letter, task):
    return ".".join([NAMES[job_letter], *map(str, task)])


def placement_of(context, job_letter, task, run):
    """The placement of a run, or None."""
    key = (reference(job_letter, task), run)
    found = [placements[key] for placements in context.leased_jobs.placements.values() if key in placements]
    assert len(found) <= 1, found
    return found[0] if found else None


def tenant(name, maximum):
    return {"name": name, "keys": [f"key-{name}"], "maximum": maximum}
