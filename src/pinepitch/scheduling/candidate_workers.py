"""A worker as one assigning round sees it."""

from ..common import constants
from .resources import NO_RESOURCES, RESOURCE_KINDS, less, tasks_in


class CandidateWorker:
    """A worker that may get work in this round. Invariant: free is its room less that of every
    placement there whose end is not proven, started or not."""

    __slots__ = ("worker", "identity", "service", "labels", "rack", "free", "steps", "unreliable", "kept")

    def __init__(self, worker, free, steps, unreliable):
        self.worker, self.identity, self.service = worker, worker.identity, worker.service
        self.labels, self.rack = worker.labels, worker.rack
        self.free, self.steps, self.unreliable = free, steps, unreliable
        self.kept = None  # the wave that its room is kept for

    def has_free(self, resources):
        """Whether one task of this room fits into what is free."""
        free = self.free
        return resources[0] <= free[0] and resources[1] <= free[1] and resources[2] <= free[2]

    def can_run(self, wave):
        """Whether one more task of a wave could run here, whomever the room is kept for."""
        step = wave.step
        return (
            self.service == wave.job.service
            and self.has_free(step.resources)
            and (not step.needs or self.labels.issuperset(step.needs))
            and (not step.apart or self.steps.get((wave.job.identity, wave.number), 0) < step.apart)
        )

    def free_members(self, wave):
        """How many more tasks of a wave could run here now, whomever the room is kept for."""
        if not self.can_run(wave):
            return 0
        step, count = wave.step, tasks_in(self.free, wave.step.resources)
        beside = self.steps.get((wave.job.identity, wave.number), 0)
        counts = [one for one in (count, step.apart - beside if step.apart else None) if one is not None]
        return min(counts, default=len(wave.waiting))

    def may_place(self, wave):
        """Whether one more task of a wave may be placed here: what is kept is taken by its wave and by
        more urgent ones only."""
        kept = self.kept
        if kept is not None and kept is not wave and kept.job.priority <= wave.job.priority:
            return False
        return self.can_run(wave)

    def place(self, wave):
        """Places one task of a wave here."""
        self.free = less(self.free, wave.step.resources)
        key = (wave.job.identity, wave.number)
        self.steps[key] = self.steps.get(key, 0) + 1

    def potential_members(self, wave, lasting):
        """How many more tasks of a wave this worker could run at once if all left it but what lasts,
        which takes the room `lasting`."""
        step, resources = wave.step, less(self.worker.capacity, lasting)
        if step.needs and not self.labels.issuperset(step.needs):
            return 0
        count = tasks_in(resources, step.resources)
        members = 1 if count is None else count
        if step.apart:
            members = min(members, step.apart - self.steps.get((wave.job.identity, wave.number), 0))
        return max(0, members)

    def free_share(self, step):
        """The least part, 0 to 1, of this worker's room that is free, over what a step asks for."""
        return min(
            (self.free[kind] / self.worker.capacity[kind] for kind in RESOURCE_KINDS if step.resources[kind]),
            default=1,
        )


def in_use(candidates):
    """The part, 0 to 1, of the room of some seats that is taken, of the resource most taken."""
    most = 0.0
    for kind in RESOURCE_KINDS:
        total = sum(candidate.worker.capacity[kind] for candidate in candidates)
        if total:
            most = max(most, 1 - sum(candidate.free[kind] for candidate in candidates) / total)
    return most


def candidate_workers(leased_jobs, workers, now):
    """The workers that may get work in a round, as seats by service."""
    candidates = {}
    for worker in workers.values():
        placements = leased_jobs.placements.get(worker.identity, {})
        if (
            worker.heartbeats < 2
            or worker.state != "ready"
            or worker.unresponsive(now)
            or worker.stale
            or worker.zone in leased_jobs.evacuated
            or now < worker.avoided_until
            or any(key not in placements for key in worker.running)
        ):
            continue
        unreliable = worker.failing > constants.LIVENESS_POOR
        if unreliable and placements:
            continue
        free, steps = less(worker.capacity, leased_jobs.taken.get(worker.identity, NO_RESOURCES)), {}
        for placement in placements.values():
            place = (placement.job, placement.number)
            steps[place] = steps.get(place, 0) + 1
        candidates.setdefault(worker.service, []).append(CandidateWorker(worker, free, steps, unreliable))
    return candidates
