"""What operators are told of tenants: reading calls, answered by the leader. No key is ever told."""

import collections
import math
from collections.abc import Set
from typing import Any

from ..common import constants
from ..model.decisions import Answer, problem
from .daemon_interface import Daemon
from .leased_job_state import LeasedJobState
from .plain_types import Arguments, Document
from .resources import NO_RESOURCES, Resources
from .tenants import LIMITED_RESOURCES, Tenant, without_keys


class _JobCounts:
    """The open jobs of tenants. Invariant: each count is by the name of a tenant, 0 where there are none."""

    def __init__(self, leased_jobs: LeasedJobState, excess: Set[str], time: float) -> None:
        self.open: collections.Counter[str] = collections.Counter()
        self.excess: collections.Counter[str] = collections.Counter()
        self.waiting: collections.Counter[str] = collections.Counter()
        due = {wave.job.identity for wave in leased_jobs.ready.values() if wave.due <= time}
        for job in leased_jobs.jobs.values():
            if job.tenant:
                self.open[job.tenant] += 1
                self.excess[job.tenant] += job.identity in excess
                self.waiting[job.tenant] += job.identity in due


class _Reading:
    """What is read for one answer."""

    def __init__(self, core: Daemon, now: float) -> None:
        assigner = core.assignments.assigner
        self.leased_jobs = core.cluster_state.leased_jobs
        self.counts = _JobCounts(self.leased_jobs, assigner.shares.excess, core.cluster_time(now))
        self.at_maximum = assigner.tenants_at_maximum(self.leased_jobs)

    def names(self) -> list[str]:
        """The tenants in force, and those that still have jobs or runs."""
        in_force = self.leased_jobs.tenants.by_name
        return sorted({*in_force, *self.leased_jobs.used_by_tenant, *self.counts.open})

    def fingerprints(self, name: str) -> list[str]:
        """Of the keys of a tenant."""
        return self.leased_jobs.tenants.fingerprints(name)

    def figures(self, name: str) -> Document:
        """All that is told of a tenant but its keys."""
        tenant = self.leased_jobs.tenants.by_name.get(name)
        return {
            "tenant": name,
            "weight": tenant.weight if tenant else None,
            "maximum": _maximum(tenant) if tenant else None,
            "used": _by_resource(self.leased_jobs.used_by_tenant.get(name, NO_RESOURCES)),
            "open": self.counts.open[name],
            "waiting": self.counts.waiting[name],
            "excess": self.counts.excess[name],
            "at_maximum": name in self.at_maximum,
        }


def _by_resource(resources: Resources) -> Document:
    return dict(zip(LIMITED_RESOURCES, resources, strict=True))


def _maximum(tenant: Tenant) -> Document:
    """A tenant's maximum by resource, None for what is not limited."""
    limits = [limit if math.isfinite(limit) else None for limit in tenant.maximum]
    return dict(zip(LIMITED_RESOURCES, limits, strict=True))


def tenants(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """Each tenant, with how many keys it has."""
    reading = _Reading(core, now)
    listed = [{**reading.figures(name), "keys": len(reading.fingerprints(name))} for name in reading.names()]
    return Answer(200, {"tenants": listed})


def tenant(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """One tenant, with a fingerprint of each of its keys."""
    name, reading = arguments[0], _Reading(core, now)
    if name not in reading.names():
        return problem(404, "unknown_tenant", f"no tenant {name!r}")
    return Answer(200, {**reading.figures(name), "fingerprints": reading.fingerprints(name)})


def configuration_shown(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """The configuration in force, with fingerprints in place of keys."""
    document = core.cluster_state.leased_jobs.configuration.document
    if document is None:
        return problem(503, "unconfigured", "no configuration is in force yet", constants.RETRY_AFTER)
    return Answer(200, without_keys(document))


# name on the wire -> how it is handled; part of control/requests/registry.py
CALLS = {"tenants": tenants, "tenant": tenant, "configuration-shown": configuration_shown}
