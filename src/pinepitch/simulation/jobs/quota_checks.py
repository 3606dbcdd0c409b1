"""Check of the resources that tenants have running. It is independent of the code under test: its only
input is the worker history, the owner of each job, and which maxima may have been in force at which time.
"""

import math
from typing import NamedTuple

RESOURCES = ("cpu", "mem_mb", "gpu")  # in the order of the amounts in a start event


class Span(NamedTuple):
    """A period in which a configuration may be in force."""

    begun: float  # seconds
    ended: float | None  # seconds; None while it may still be in force
    maxima: dict  # tenant -> its `maximum` in the configuration, or None

    def covers(self, when):
        """Whether the configuration may be in force at that time."""
        return self.begun <= when and (self.ended is None or when <= self.ended)

    def most(self, tenant, resource):
        """How much of a resource a tenant may have running; a limit of 0 means no limit."""
        return (self.maxima.get(tenant) or {}).get(resource) or math.inf


class Excess(NamedTuple):
    """A start that took what its tenant has running above the maximum."""

    when: float  # seconds
    tenant: str
    reference: str
    run: int
    worker: str
    resource: str
    running: float  # including this start
    most: float

    def text(self):
        """The description of the fault."""
        return (
            f"{self.reference} run {self.run} started on {self.worker} at {self.when:.3f} brought "
            f"{self.tenant} to {self.running:g} {self.resource} running, above its maximum of {self.most:g}"
        )


class Usage(NamedTuple):
    """The result of checking a history."""

    excesses: list
    limited_starts: int  # starts of tenants with a maximum, one for each limited resource
    at_maximum: int  # those of them after which another of the same size would not fit


def usage(history, tenants, spans):
    """Returns the Usage of a worker history. `tenants` maps each job to its tenant, "" for none.

    The highest maximum of the spans that cover a start applies. A task that is larger than that may run while
    its tenant has nothing else running that takes the same resource.
    """
    running, excesses, limited, at_maximum = {}, [], 0, 0
    for event in history:
        key = event[3:6]
        if event[0] in ("end", "gone"):
            running.pop(key, None)
        if event[0] != "start":
            continue
        _, when, worker, _, reference, run, _, requested, *_ = event
        tenant = tenants.get(reference.split(".")[0], "")
        tenant_amounts = [amounts for name, amounts in running.values() if name == tenant]
        running[key] = (tenant, requested)
        for kind, resource in enumerate(RESOURCES):
            most = max((span.most(tenant, resource) for span in spans if span.covers(when)), default=math.inf)
            if not tenant or not requested[kind] or most == math.inf:
                continue
            before = sum(amounts[kind] for amounts in tenant_amounts)
            total = before + requested[kind]
            limited += 1
            at_maximum += total + requested[kind] > most
            if before and total > most:
                excesses.append(Excess(when, tenant, reference, run, worker, resource, total, most))
    return Usage(excesses, limited, at_maximum)


def maximum_kept(history, tenants, spans):
    """No start takes what a tenant has running, over all workers, above its maximum."""
    return [excess.text() for excess in usage(history, tenants, spans).excesses]
