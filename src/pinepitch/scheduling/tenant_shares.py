"""Which jobs lie within the weight of their tenant, by the virtual scheduling algorithm.

The algorithm is the generic cell rate algorithm of ITU-T I.371 (Zhang's VirtualClock, 1990), one for each
tenant, on the agreed time at which jobs were accepted. What follows from it is the leader's guess: it
decides where work goes, never whether it may.
"""

from ..common import constants
from .leased_job import LeasedJob
from .leased_job_state import LeasedJobState
from .placement import Placement
from .resources import NO_RESOURCES, Level, Resources, less, more
from .tenants import Tenants

EXCESS_PRIORITY = constants.MAX_NUMBER + 1  # less urgent than the priority of any queue


class TenantShares:
    """Invariants: jobs are judged once, in the order of their acceptance; a job without a tenant, or of one
    without a weight, conforms; a job beyond its tenant's weight leaves the tenant's theoretical arrival time
    as it was, so that the tenant is served as before once it sends less.

    A new leader starts with none of it, and judges the jobs that are open then.
    """

    def __init__(self, burst: float = constants.TENANT_BURST) -> None:
        self.burst = burst  # seconds that jobs may come before the weight of their tenant has them due
        # name of a tenant -> theoretical arrival time of its next job, by the time of the cluster state
        self._arrivals: dict[str, float] = {}
        self._judged_until = float("-inf")  # when the newest job that was judged was accepted
        self._newest: set[str] = set()  # the jobs accepted just then
        self.excess: set[str] = set()  # open jobs beyond the weight of their tenant

    def learn(self, leased_jobs: LeasedJobState) -> None:
        """Judges the jobs accepted since it was called last, and forgets those that are over."""
        self.excess = {identity for identity in self.excess if identity in leased_jobs.jobs}
        for job in self._accepted_since(leased_jobs):
            if job.accepted > self._judged_until:
                self._judged_until, self._newest = job.accepted, set()
            self._newest.add(job.identity)
            if not self._conforms(job, leased_jobs.tenants):
                self.excess.add(job.identity)

    def _accepted_since(self, leased_jobs: LeasedJobState) -> list[LeasedJob]:
        """The open jobs that are not judged yet, oldest first."""
        found = []
        for job in reversed(leased_jobs.jobs.values()):
            if job.accepted < self._judged_until:
                break
            if job.identity not in self._newest:
                found.append(job)
        found.reverse()
        return found

    def _conforms(self, job: LeasedJob, tenants: Tenants) -> bool:
        """Whether a job lies within its tenant's weight; counts it if it does."""
        tenant = tenants.by_name.get(job.tenant) if job.tenant else None
        if tenant is None or tenant.weight <= 0:
            return True
        expected = self._arrivals.get(job.tenant, job.accepted)
        if job.accepted < expected - self.burst:
            return False
        self._arrivals[job.tenant] = max(job.accepted, expected) + 1 / tenant.weight
        return True

    def is_excess(self, job: LeasedJob) -> bool:
        """Whether a job lies beyond its tenant's weight."""
        return job.identity in self.excess

    def priority(self, job: LeasedJob) -> int:
        """The priority by which a job shares capacity."""
        return EXCESS_PRIORITY if job.identity in self.excess else job.priority

    def level(self, job: LeasedJob) -> Level:
        """The (service, priority) by which a job shares capacity."""
        return (job.service, self.priority(job))

    def level_of(self, placement: Placement) -> Level:
        """The same of the job of a placement."""
        priority = EXCESS_PRIORITY if placement.job in self.excess else placement.priority
        return (placement.service, priority)

    def used(self, leased_jobs: LeasedJobState) -> dict[Level, Resources]:
        """LeasedJobState.used, with the placements of excess jobs under EXCESS_PRIORITY."""
        used: dict[Level, Resources] = dict(leased_jobs.used)
        if not self.excess:
            return used
        for placements in leased_jobs.placements.values():
            for placement in placements.values():
                if placement.job in self.excess:
                    level = (placement.service, placement.priority)
                    used[level] = less(used[level], placement.resources)
                    excess = self.level_of(placement)
                    used[excess] = more(used.get(excess, NO_RESOURCES), placement.resources)
        return used
