"""How much of a service's capacity work of one urgency may take, so that more urgent work finds capacity
when it comes.
"""

import math
from typing import Any

from ..common import constants
from . import policy as policies
from .candidate_workers import CandidateWorker
from .leased_job import Wave
from .leased_job_state import LeasedJobState
from .plain_types import Document
from .resources import NO_RESOURCES, RESOURCE_KINDS, Amount, Level, Resources, less, more, tasks_in, times
from .run_speed import Pace
from .tenant_shares import EXCESS_PRIORITY, TenantShares
from .tenants import TenantCapacity


def slack(latency_target_ms: float, stretch: float, length: float) -> float:
    """Seconds that work of so many seconds can lose and still be in time by its queue's terms."""
    return latency_target_ms / 1000 + (stretch - 1) * length


class CapacityBudgets:
    """How much capacity waves may still take in the round under way.

    Capacity is held back for more urgent work by what it took at most of late, from work that would keep the
    capacity for longer than the urgent work can wait. What is sooner done than that holds nobody up.

    And each urgency with work that has waited for as long as it well can is guaranteed
    MIN_GUARANTEED_SHARE of a service's capacity, and one task in any case: more urgent work leaves free
    what it lacks of that, and makes nothing of it yield. Only work that some worker could
    take has such a claim.

    Jobs beyond the weight of their tenant count as the least urgent work, which is guaranteed nothing.

    Invariants: a budget is charged for what a round places, never for what waves ask for, so that
    a wave that finds no candidate takes nothing from those behind it; a budget that is not used up admits
    one more task, however large.
    """

    def __init__(
        self, pace: Pace, policy: policies.Policy = policies.DEFAULT, shares: TenantShares | None = None
    ) -> None:
        self.pace, self.policy = pace, policy
        self.shares = shares or TenantShares()
        self.peaks: dict[Level, list[float]] = {}  # (service, priority) -> the most capacity it used of late
        self.learnt_at: float | None = None
        self.total_capacity: dict[str, list[float]] = {}  # service -> capacity of all its candidates
        # (service, priority) -> capacity that its work takes, by this round's placements too
        self.used: dict[Level, Amount] = {}
        # (service, priority) -> seconds that its work can well wait for capacity
        self.waits: dict[Level, float] = {}
        # (service, priority) -> capacity that more urgent work leaves to it
        self.claims: dict[Level, Resources] = {}
        # (service, priority) -> capacity of work as urgent and less; made anew after a charge
        self.sums: dict[Level, Resources] = {}

    def learn(self, leased_jobs: LeasedJobState, now: float) -> None:
        """How much capacity the work of each urgency took at most of late."""
        passed = 0 if self.learnt_at is None else now - self.learnt_at
        self.learnt_at, left = now, 0.5 ** (passed / constants.PEAK_HALF)
        used_by_level = self.shares.used(leased_jobs)
        for key in {*used_by_level, *self.peaks}:
            used = used_by_level.get(key, NO_RESOURCES)
            before = self.peaks.get(key, NO_RESOURCES)
            self.peaks[key] = [max(one, other * left) for one, other in zip(used, before, strict=True)]

    def open(
        self,
        leased_jobs: LeasedJobState,
        candidates: dict[str, list[CandidateWorker]],
        waves: list[Wave],
        tenant_capacity: TenantCapacity,
        time: float,
    ) -> None:
        """Begins a round: candidates by service, the waves that wait at a time of the cluster state, and what
        their tenants may still be given.
        """
        self.total_capacity = {
            service: [sum(candidate.worker.capacity[kind] for candidate in mine) for kind in RESOURCE_KINDS]
            for service, mine in candidates.items()
        }
        self.used = self._used_of(leased_jobs, candidates)
        self.sums = {}
        self.waits = self._waits(leased_jobs.configuration.routes)
        self.claims = self._claims(candidates, waves, tenant_capacity.copy(), time)

    def _used_of(
        self, leased_jobs: LeasedJobState, candidates: dict[str, list[CandidateWorker]]
    ) -> dict[Level, Amount]:
        """(service, priority) -> capacity that its work takes of these candidates. What runs on workers
        that get no work now, being unresponsive or closed, takes nothing of the capacity that is shared
        out.
        """
        used = {key: more(taken, NO_RESOURCES) for key, taken in self.shares.used(leased_jobs).items()}
        shared = {candidate.identity for mine in candidates.values() for candidate in mine}
        for identity in leased_jobs.placements.keys() - shared:
            for placement in leased_jobs.placements[identity].values():
                key = self.shares.level_of(placement)
                used[key] = less(used[key], placement.resources)
        return used

    def guaranteed(self, service: str) -> list[float]:
        """Capacity of a service that each urgency with work that waits has a right to."""
        return [
            resources * constants.MIN_GUARANTEED_SHARE
            for resources in self.total_capacity.get(service, NO_RESOURCES)
        ]

    def _claims(
        self,
        candidates: dict[str, list[CandidateWorker]],
        waves: list[Wave],
        tenant_capacity: TenantCapacity,
        time: float,
    ) -> dict[Level, Resources]:
        """(service, priority) -> what an urgency lacks of its guaranteed capacity and has long waited for.
        Tenants claim no more than they may have running; their capacity is charged for it.
        """
        claims: dict[Level, Resources] = {}
        able: dict[tuple[Any, ...], bool] = {}
        if not self.policy.guarantee_shares:
            return claims
        for wave in waves:
            key = self.shares.level(wave.job)
            if (
                key[1] == EXCESS_PRIORITY
                or key[0] not in candidates
                or time - wave.since < self._patience(wave)
            ):
                continue
            asks = (
                key[0],
                wave.step.resources,
                wave.step.needs,
                wave.job.identity if wave.step.apart else None,
            )
            if asks not in able:
                able[asks] = any(
                    candidate.potential_members(wave, NO_RESOURCES) for candidate in candidates[key[0]]
                )
            if able[asks]:
                claimed = claims.get(key, NO_RESOURCES)
                claim = self._claim(key, wave, claimed, tenant_capacity)
                tenant_capacity.charge(wave.job.tenant, claim)
                claims[key] = more(claimed, claim)
        return claims

    def _claim(self, key: Level, wave: Wave, claimed: Resources, tenant_capacity: TenantCapacity) -> Amount:
        """What one more wave that waits adds to the claim of an urgency that claims so much already."""
        had = more(claimed, self.used.get(key, NO_RESOURCES))
        count = tasks_in(less(self.guaranteed(key[0]), had), wave.step.resources)
        if not any(had):
            count = max(1, count or 0)
        waiting = tenant_capacity.allowance(wave.job.tenant, wave.step.resources, len(wave.waiting))
        return times(wave.step.resources, waiting if count is None else min(waiting, count))

    def _patience(self, wave: Wave) -> float:
        """Seconds that a wave can wait for capacity and still be in time."""
        job = wave.job
        return constants.WAIT_PART * slack(job.latency_target_ms, job.stretch, self.pace.expected(wave))

    def _waits(self, routes: dict[str, Document]) -> dict[Level, float]:
        """(service, priority) -> seconds that work of each urgency can wait for capacity and still be in
        time, by the queue that can wait least. A part of its slack.
        """
        waits: dict[Level, float] = {}
        for queue, length in self.pace.lengths.items():
            route = routes.get(queue)
            if route is None:
                continue
            wait = constants.WAIT_PART * slack(route.get("aim_ms", 0), route.get("stretch", 1), length)
            key = (route["service"], route.get("priority", 0))
            waits[key] = min(waits.get(key, math.inf), wait)
        return waits

    def left_by_less_urgent(self, wave: Wave) -> Resources:
        """Capacity that a wave may take without taking what less urgent work is guaranteed."""
        service, priority = self.shares.level(wave.job)
        left: Resources = self.total_capacity[service]
        for (name, _), used in self.used.items():
            if name == service:
                left = less(left, used)
        for (name, level), claim in self.claims.items():
            if name == service and level > priority:
                left = less(left, claim)
        return left

    def left(self, wave: Wave) -> Amount:
        """Capacity that a wave may still take: all but what is held back for more urgent work and what
        work as urgent as the wave, and less urgent work, takes; these may have BUDGET_PART of all
        capacity between them, whatever is held back. Gangs are not bound: they hold all they need at
        once, and waiting costs them most.
        """
        return less(self._cap(wave), self._taken(wave))

    def _cap(self, wave: Wave) -> Resources:
        """Capacity that work as urgent as a wave, and less urgent work, may take together."""
        lasts = self._lasts(wave)
        service, priority = self.shares.level(wave.job)
        reserved: Resources = NO_RESOURCES
        if not self.policy.reserve_for_urgent:
            return self.total_capacity[service]
        for key, peak in self.peaks.items():
            if key[0] == service and key[1] < priority:
                waits = lasts <= self.waits.get(key, 0)
                reserved = more(reserved, self.used.get(key, NO_RESOURCES) if waits else peak)
        total = self.total_capacity[service]
        return [
            max(resources * constants.BUDGET_PART, resources - one)
            for resources, one in zip(total, reserved, strict=True)
        ]

    def _lasts(self, wave: Wave) -> float:
        """Seconds that a task of a wave is likely to keep its capacity."""
        if wave.step.lasts:
            return math.inf
        return self.pace.expected(wave) * (self.pace.far if wave.step.near else 1)

    def _taken(self, wave: Wave) -> Resources:
        """Capacity that work as urgent as a wave, and less urgent work, takes by now."""
        key = self.shares.level(wave.job)
        if key not in self.sums:
            taken: Resources = NO_RESOURCES
            for (service, priority), used in self.used.items():
                if service == key[0] and priority >= key[1]:
                    taken = more(taken, used)
            self.sums[key] = taken
        return self.sums[key]

    def allowance(self, wave: Wave, wanted: int) -> int:
        """How many of `wanted` tasks a wave may be given."""
        left, resources = self.left(wave), wave.step.resources
        admitted = (
            math.ceil(max(0, left[kind]) / resources[kind]) for kind in RESOURCE_KINDS if resources[kind]
        )
        return min(wanted, self.beside_claims(wave, wanted), *admitted)

    def beside_claims(self, wave: Wave, wanted: int) -> int:
        """How many of `wanted` tasks of a wave leave free what less urgent work is guaranteed."""
        service, priority = self.shares.level(wave.job)
        if not any(name == service and level > priority for name, level in self.claims):
            return wanted
        count = tasks_in(self.left_by_less_urgent(wave), wave.step.resources)
        return wanted if count is None else min(wanted, count)

    def charge(self, wave: Wave, count: int) -> None:
        """So many tasks of a wave were placed."""
        key = self.shares.level(wave.job)
        self.used[key] = more(self.used.get(key, NO_RESOURCES), times(wave.step.resources, count))
        self.sums.clear()

    def keepable(self, wave: Wave, kept: Resources) -> int:
        """For how many tasks of a wave capacity may be kept beside the capacity `kept` for waves as
        urgent: no more than it may use, and not what less urgent work is guaranteed. A gang, which needs
        all its capacity at once, is not asked what else of its urgency runs, unless less urgent work
        lacks capacity now.
        """
        service, priority = self.shares.level(wave.job)
        claims = [
            resources
            for (name, level), resources in self.claims.items()
            if name == service and level > priority
        ]
        alone = wave.step.gang and not any(map(any, claims))
        own = kept if alone else more(kept, self.used.get((service, priority), NO_RESOURCES))
        if not wave.step.gang and not self._below(own, self._cap(wave), wave.step.resources):
            return 0
        allowed = less(self.total_capacity[service], times(self.guaranteed(service), len(claims)))
        most = tasks_in(less(allowed, own), wave.step.resources)
        return len(wave.waiting) if most is None else most

    def _below(self, used: Resources, cap: Resources, resources: Resources) -> bool:
        """Whether less than a cap is used of all that a capacity takes."""
        return all(used[kind] < cap[kind] for kind in RESOURCE_KINDS if resources[kind])

    def is_guaranteed(self, key: Level) -> bool:
        """Whether all the capacity that a (service, priority) takes is guaranteed to it."""
        if key[1] == EXCESS_PRIORITY:
            return False
        used, right = self.used.get(key, NO_RESOURCES), self.guaranteed(key[0])
        return all(one <= other for one, other in zip(used, right, strict=True))
