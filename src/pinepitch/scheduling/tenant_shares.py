"""Determines which jobs are within their tenant's weight, with the virtual scheduling algorithm.

The algorithm is the generic cell rate algorithm of ITU-T I.371 (Zhang's VirtualClock, 1990), applied to each
tenant and the replicated times at which its jobs were accepted. The leader uses the result only to decide
where work runs, never whether it may run.
"""

from ..common import constants
from .leased_job import LeasedJob
from .leased_job_state import LeasedJobState
from .placement import Placement
from .resources import NO_RESOURCES, PriorityClass, Resources, add, subtract
from .tenants import Tenants

EXCESS_PRIORITY = constants.MAX_NUMBER + 1  # less urgent than the priority of any queue


class TenantShares:
    """Judges each job once, in the order of acceptance, and tracks the open jobs beyond their tenant's
    weight.

    Invariants: a job without a tenant, or whose tenant has no weight, conforms. A job beyond its tenant's
    weight leaves the tenant's theoretical arrival time unchanged, so that the tenant gets its usual service
    again once it sends less.

    A new leader starts with empty state, and judges the jobs that are open then.
    """

    def __init__(self, burst: float = constants.TENANT_BURST) -> None:
        self.burst = burst  # seconds that a job may arrive before its theoretical arrival time
        # name of a tenant -> theoretical arrival time of its next job, in time of the cluster state
        self._theoretical_arrivals: dict[str, float] = {}
        self._judged_until = float("-inf")  # when the newest judged job was accepted
        self._accepted_last: set[str] = set()  # the judged jobs that were accepted at that time
        self.excess: set[str] = set()  # open jobs beyond their tenant's weight

    def judge_new_jobs(self, leased_jobs: LeasedJobState) -> None:
        """Judges the jobs accepted since the last call, and drops those that are final."""
        self.excess = {identity for identity in self.excess if identity in leased_jobs.jobs}
        for job in self._unjudged(leased_jobs):
            if job.accepted > self._judged_until:
                self._judged_until, self._accepted_last = job.accepted, set()
            self._accepted_last.add(job.identity)
            if not self._conforms(job, leased_jobs.tenants):
                self.excess.add(job.identity)

    def _unjudged(self, leased_jobs: LeasedJobState) -> list[LeasedJob]:
        """The open jobs that are not judged yet, oldest first."""
        unjudged = []
        for job in reversed(leased_jobs.jobs.values()):
            if job.accepted < self._judged_until:
                break
            if job.identity not in self._accepted_last:
                unjudged.append(job)
        unjudged.reverse()
        return unjudged

    def _conforms(self, job: LeasedJob, tenants: Tenants) -> bool:
        """Whether a job is within its tenant's weight; if so, it is counted against the weight."""
        tenant = tenants.by_name.get(job.tenant) if job.tenant else None
        if tenant is None or tenant.weight <= 0:
            return True
        expected = self._theoretical_arrivals.get(job.tenant, job.accepted)
        if job.accepted < expected - self.burst:
            return False
        self._theoretical_arrivals[job.tenant] = max(job.accepted, expected) + 1 / tenant.weight
        return True

    def is_excess(self, job: LeasedJob) -> bool:
        """Whether a job is beyond its tenant's weight."""
        return job.identity in self.excess

    def priority(self, job: LeasedJob) -> int:
        """The priority by which a job shares capacity."""
        return EXCESS_PRIORITY if job.identity in self.excess else job.priority

    def priority_class(self, job: LeasedJob) -> PriorityClass:
        """The (service, priority) by which a job shares capacity."""
        return (job.service, self.priority(job))

    def priority_class_of(self, placement: Placement) -> PriorityClass:
        """The (service, priority) by which the job of a placement shares capacity."""
        priority = EXCESS_PRIORITY if placement.job in self.excess else placement.priority
        return (placement.service, priority)

    def used(self, leased_jobs: LeasedJobState) -> dict[PriorityClass, Resources]:
        """LeasedJobState.used_by_priority_class, with the placements of excess jobs counted under
        EXCESS_PRIORITY.
        """
        used: dict[PriorityClass, Resources] = dict(leased_jobs.used_by_priority_class)
        if not self.excess:
            return used
        for placements in leased_jobs.placements.values():
            for placement in placements.values():
                if placement.job in self.excess:
                    key = (placement.service, placement.priority)
                    used[key] = subtract(used.get(key, NO_RESOURCES), placement.resources)
                    excess_key = self.priority_class_of(placement)
                    used[excess_key] = add(used.get(excess_key, NO_RESOURCES), placement.resources)
        return used
