"""History check of what tenants have running, written apart from the code that it checks: it sees only what
workers did, who handed each job in, and which maxima may have been in force when.
"""

import math
from typing import NamedTuple

RESOURCES = ("cpu", "mem_mb", "gpu")  # in the order in which a start names what it takes


class Span(NamedTuple):
    """A time in which a configuration may be in force."""

    begun: float  # seconds
    ended: float | None  # seconds; None where it has no end
    maxima: dict  # tenant -> its `maximum` as configurations name it, or None

    def covers(self, when):
        """Whether it may be in force then."""
        return self.begun <= when and (self.ended is None or when <= self.ended)

    def most(self, tenant, resource):
        """What a tenant may have running of a resource; a limit of 0 is none."""
        return (self.maxima.get(tenant) or {}).get(resource) or math.inf


class Excess(NamedTuple):
    """A start that brought what a tenant has running above its maximum."""

    when: float  # seconds
    tenant: str
    reference: str
    run: int
    worker: str
    resource: str
    running: float  # with the start
    most: float

    def text(self):
        """The fault in words."""
        return (
            f"{self.reference} run {self.run} started on {self.worker} at {self.when:.3f} brought "
            f"{self.tenant} to {self.running:g} {self.resource} running, above its maximum of {self.most:g}"
        )


class Usage(NamedTuple):
    """What a history shows."""

    excesses: list
    limited_starts: int  # starts of tenants that were limited
    at_maximum: int  # those of them that left no room for another of the same


def usage(history, tenants, spans):
    """The Usage of a worker history. `tenants` says of each job whose it is, "" for nobody's.

    The highest maximum of the spans that cover a start counts. A task larger than that may run where nothing
    of its tenant runs that takes the same resource.
    """
    running, excesses, limited, at_maximum = {}, [], 0, 0
    for event in history:
        key = event[3:6]
        if event[0] in ("end", "gone"):
            running.pop(key, None)
        if event[0] != "start":
            continue
        _, when, worker, _, reference, run, _, taken, *_ = event
        tenant = tenants.get(reference.split(".")[0], "")
        mine = [amounts for name, amounts in running.values() if name == tenant]
        running[key] = (tenant, taken)
        for kind, resource in enumerate(RESOURCES):
            most = max((span.most(tenant, resource) for span in spans if span.covers(when)), default=math.inf)
            if not tenant or not taken[kind] or most == math.inf:
                continue
            before = sum(amounts[kind] for amounts in mine)
            total = before + taken[kind]
            limited += 1
            at_maximum += total + taken[kind] > most
            if before and total > most:
                excesses.append(Excess(when, tenant, reference, run, worker, resource, total, most))
    return Usage(excesses, limited, at_maximum)


def maximum_kept(history, tenants, spans):
    """No start brings what a tenant has running, wherever it runs, above its maximum."""
    return [one.text() for one in usage(history, tenants, spans).excesses]
