"""Read-only calls of operators about tenants, answered by the leader. No answer contains a key."""

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
from .tenants import LIMITED_RESOURCES, Tenant, with_fingerprints


class _JobCounts:
    """Counts of the open jobs of each tenant.

    Invariant: `open`, `excess` (jobs beyond the tenant's weight) and `waiting` (jobs with tasks that are
    ready and due) are keyed by the tenant's name, and are 0 for a tenant without such jobs.
    """

    def __init__(self, leased_jobs: LeasedJobState, excess: Set[str], time: float) -> None:
        self.open: collections.Counter[str] = collections.Counter()
        self.excess: collections.Counter[str] = collections.Counter()
        self.waiting: collections.Counter[str] = collections.Counter()
        due = {batch.job.identity for batch in leased_jobs.ready.values() if batch.due <= time}
        for job in leased_jobs.jobs.values():
            if job.tenant:
                self.open[job.tenant] += 1
                self.excess[job.tenant] += job.identity in excess
                self.waiting[job.tenant] += job.identity in due


class _TenantsReport:
    """The data from which one answer about tenants is made."""

    def __init__(self, core: Daemon, now: float) -> None:
        assigner = core.assignments.assigner
        self.leased_jobs = core.cluster_state.leased_jobs
        self.counts = _JobCounts(self.leased_jobs, assigner.shares.excess, core.cluster_time(now))
        self.at_maximum = assigner.tenants_at_maximum(self.leased_jobs)

    def names(self) -> list[str]:
        """The names of the tenants in force, and of those that still have jobs or runs."""
        in_force = self.leased_jobs.tenants.by_name
        return sorted({*in_force, *self.leased_jobs.used_by_tenant, *self.counts.open})

    def fingerprints(self, name: str) -> list[str]:
        """The fingerprints of a tenant's keys."""
        return self.leased_jobs.tenants.fingerprints(name)

    def figures(self, name: str) -> Document:
        """The fields that are shown of a tenant, except those about its keys."""
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
    """The name of each resource -> a tenant's maximum, None if the resource is not limited."""
    limits = [limit if math.isfinite(limit) else None for limit in tenant.maximum]
    return dict(zip(LIMITED_RESOURCES, limits, strict=True))


def tenants(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """Shows every tenant, with the number of its keys."""
    report = _TenantsReport(core, now)
    listed = [{**report.figures(name), "keys": len(report.fingerprints(name))} for name in report.names()]
    return Answer(200, {"tenants": listed})


def tenant(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """Shows one tenant, with the fingerprints of its keys."""
    name, report = arguments[0], _TenantsReport(core, now)
    if name not in report.names():
        return problem(404, "unknown_tenant", f"no tenant {name!r}")
    return Answer(200, {**report.figures(name), "fingerprints": report.fingerprints(name)})


def show_configuration(core: Daemon, token: Any, arguments: Arguments, now: float) -> Answer:
    """Shows the configuration in force, with fingerprints instead of keys."""
    document = core.cluster_state.leased_jobs.configuration.document
    if document is None:
        return problem(503, "unconfigured", "no configuration is in force yet", constants.RETRY_AFTER)
    return Answer(200, with_fingerprints(document))


# Name of a call on the wire -> its handler; control/requests/registry.py includes these.
CALLS = {"tenants": tenants, "tenant": tenant, "configuration-shown": show_configuration}
