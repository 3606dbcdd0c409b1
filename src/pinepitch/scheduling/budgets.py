"""Limits how much of a service's capacity work of each priority may take, so that more urgent work finds
capacity when it arrives.
"""

import math
from typing import Any

from ..common import constants
from . import policy as policies
from .candidate_workers import CandidateWorker, total_capacity
from .leased_job import TaskBatch
from .leased_job_state import LeasedJobState
from .plain_types import Document
from .resources import (
    NO_RESOURCES,
    RESOURCE_KINDS,
    Amount,
    PriorityClass,
    Resources,
    add,
    fitting_tasks,
    multiply,
    subtract,
)
from .run_speed import RunTimeEstimator
from .tenant_shares import EXCESS_PRIORITY, TenantShares
from .tenants import TenantCapacity


def slack(latency_target_ms: float, stretch: float, length: float) -> float:
    """Seconds by which work that takes `length` seconds can be delayed and still meet its queue's target."""
    return latency_target_ms / 1000 + (stretch - 1) * length


class CapacityBudgets:
    """How much more capacity each batch may take in the current scheduling round.

    Capacity equal to the recent peak usage of more urgent work is reserved for that work, from work that
    would occupy the capacity for longer than the urgent work can wait. Work that finishes sooner delays no
    urgent work and is not limited.

    The less urgent priorities of a service, all but the most urgent one that has work, are guaranteed
    GUARANTEED_SHARE of its capacity in equal parts, and each of them one task in any case. A priority claims
    its part once it has work that has waited for as long as it can. More urgent work leaves free what the
    priority lacks of that guarantee, and preempts nothing within it. Only work that some worker could run
    claims the guarantee.

    Jobs beyond their tenant's weight count as the least urgent work, to which nothing is guaranteed.

    Invariants: a budget is charged for what a round places, never for what batches ask for, so a batch that
    finds no candidate takes nothing from the batches after it. A budget that is not used up admits one more
    task, however large.
    """

    def __init__(
        self,
        estimator: RunTimeEstimator,
        policy: policies.Policy = policies.DEFAULT,
        shares: TenantShares | None = None,
    ) -> None:
        self.estimator, self.policy = estimator, policy
        self.shares = shares or TenantShares()
        # (service, priority) -> recent peak of the capacity used
        self.peaks: dict[PriorityClass, list[float]] = {}
        self.peaks_updated_at: float | None = None
        self.total_capacity: dict[str, list[float]] = {}  # service -> capacity of all its candidates
        # (service, priority) -> capacity that its work uses, including placements of this round
        self.used: dict[PriorityClass, Amount] = {}
        # (service, priority) -> seconds that its work can wait for capacity and still be in time
        self.longest_waits: dict[PriorityClass, float] = {}
        # (service, priority) -> capacity that more urgent work must leave to it
        self.claims: dict[PriorityClass, Resources] = {}
        # service -> the number of priorities that share GUARANTEED_SHARE of its capacity
        self.less_urgent_count: dict[str, int] = {}
        # (service, priority) -> capacity used by work of this and lower urgency; recomputed after a charge
        self.cumulative_used: dict[PriorityClass, Resources] = {}

    def update_peaks(self, leased_jobs: LeasedJobState, now: float) -> None:
        """Updates the recent peak of the capacity used by each priority; a peak halves in PEAK_HALF
        seconds.
        """
        elapsed = 0 if self.peaks_updated_at is None else now - self.peaks_updated_at
        self.peaks_updated_at, decay = now, 0.5 ** (elapsed / constants.PEAK_HALF)
        used_by_priority = self.shares.used(leased_jobs)
        for key in {*used_by_priority, *self.peaks}:
            used = used_by_priority.get(key, NO_RESOURCES)
            peak = self.peaks.get(key, NO_RESOURCES)
            self.peaks[key] = [
                max(current, earlier * decay) for current, earlier in zip(used, peak, strict=True)
            ]

    def begin_round(
        self,
        leased_jobs: LeasedJobState,
        candidates: dict[str, list[CandidateWorker]],
        batches: list[TaskBatch],
        tenant_capacity: TenantCapacity,
        time: float,
    ) -> None:
        """Begins a scheduling round. Takes the candidates by service, the batches that wait, what their
        tenants may still be given, and the time of the cluster state in seconds.
        """
        self.total_capacity = {
            service: list(total_capacity(service_candidates))
            for service, service_candidates in candidates.items()
        }
        self.used = self._used_on(leased_jobs, candidates)
        self.cumulative_used = {}
        self.less_urgent_count = self._count_less_urgent(batches)
        self.longest_waits = self._compute_longest_waits(leased_jobs.configuration.routes)
        self.claims = self._compute_claims(candidates, batches, tenant_capacity.copy(), time)

    def _count_less_urgent(self, batches: list[TaskBatch]) -> dict[str, int]:
        """Service -> the number of priorities with waiting or running work, besides the most urgent one."""
        priority_classes = {key for key, used in self.used.items() if any(used)}
        priority_classes.update(self.shares.priority_class(batch.job) for batch in batches)
        counts: dict[str, int] = {}
        for service, priority in priority_classes:
            if priority != EXCESS_PRIORITY:
                counts[service] = counts.get(service, -1) + 1
        return counts

    def _used_on(
        self, leased_jobs: LeasedJobState, candidates: dict[str, list[CandidateWorker]]
    ) -> dict[PriorityClass, Amount]:
        """(service, priority) -> capacity that its work uses on these candidates. Runs on workers that get no
        new work, because they are unresponsive or closed, use none of the capacity that is shared.
        """
        used = {key: add(resources, NO_RESOURCES) for key, resources in self.shares.used(leased_jobs).items()}
        candidate_ids = {
            candidate.identity
            for service_candidates in candidates.values()
            for candidate in service_candidates
        }
        for identity in leased_jobs.placements.keys() - candidate_ids:
            for placement in leased_jobs.placements[identity].values():
                key = self.shares.priority_class_of(placement)
                used[key] = subtract(used.get(key, NO_RESOURCES), placement.resources)
        return used

    def guaranteed(self, service: str) -> list[float]:
        """The capacity of a service that is guaranteed to each of its less urgent priorities."""
        share = constants.GUARANTEED_SHARE / max(1, self.less_urgent_count.get(service, 1))
        return [resources * share for resources in self.total_capacity.get(service, NO_RESOURCES)]

    def _compute_claims(
        self,
        candidates: dict[str, list[CandidateWorker]],
        batches: list[TaskBatch],
        tenant_capacity: TenantCapacity,
        time: float,
    ) -> dict[PriorityClass, Resources]:
        """(service, priority) -> the part of its guaranteed capacity that it lacks and has long waited for.
        Tenants claim no more than they may have running: `tenant_capacity` is charged for each claim.
        """
        claims: dict[PriorityClass, Resources] = {}
        runnable: dict[tuple[Any, ...], bool] = {}
        if not self.policy.guarantee_shares:
            return claims
        for batch in batches:
            key = self.shares.priority_class(batch.job)
            if (
                key[1] == EXCESS_PRIORITY
                or key[0] not in candidates
                or time - batch.waiting_since < self._longest_wait(batch)
            ):
                continue
            request = (
                key[0],
                batch.step.resources,
                batch.step.needs,
                batch.job.identity if batch.step.apart else None,
            )
            if request not in runnable:
                runnable[request] = any(
                    candidate.potential_members(batch, NO_RESOURCES) for candidate in candidates[key[0]]
                )
            if runnable[request]:
                claimed = claims.get(key, NO_RESOURCES)
                claim = self._additional_claim(key, batch, claimed, tenant_capacity)
                tenant_capacity.charge(batch.job.tenant, claim)
                claims[key] = add(claimed, claim)
        return claims

    def _additional_claim(
        self, key: PriorityClass, batch: TaskBatch, claimed: Resources, tenant_capacity: TenantCapacity
    ) -> Amount:
        """What a waiting batch adds to the claim of its (service, priority), which is `claimed` so far."""
        used_or_claimed = add(claimed, self.used.get(key, NO_RESOURCES))
        count = fitting_tasks(subtract(self.guaranteed(key[0]), used_or_claimed), batch.step.resources)
        if not any(used_or_claimed):
            count = max(1, count or 0)
        waiting = tenant_capacity.allowance(batch.job.tenant, batch.step.resources, len(batch.waiting))
        return multiply(batch.step.resources, waiting if count is None else min(waiting, count))

    def _longest_wait(self, batch: TaskBatch) -> float:
        """Seconds that a batch can wait for capacity and still be in time."""
        job = batch.job
        return constants.WAIT_PART * slack(job.latency_target_ms, job.stretch, self.estimator.expected(batch))

    def _compute_longest_waits(self, routes: dict[str, Document]) -> dict[PriorityClass, float]:
        """(service, priority) -> seconds that its work can wait for capacity and still be in time: WAIT_PART
        of its slack, for the queue with the least.
        """
        longest_waits: dict[PriorityClass, float] = {}
        for queue, length in self.estimator.queue_lengths.items():
            route = routes.get(queue)
            if route is None:
                continue
            wait = constants.WAIT_PART * slack(route.get("aim_ms", 0), route.get("stretch", 1), length)
            key = (route["service"], route.get("priority", 0))
            longest_waits[key] = min(longest_waits.get(key, math.inf), wait)
        return longest_waits

    def unclaimed(self, batch: TaskBatch) -> Resources:
        """The free capacity that a batch may take without taking what is guaranteed to less urgent work."""
        service, priority = self.shares.priority_class(batch.job)
        remaining: Resources = self.total_capacity[service]
        for (other_service, _), used in self.used.items():
            if other_service == service:
                remaining = subtract(remaining, used)
        for (other_service, other_priority), claim in self.claims.items():
            if other_service == service and other_priority > priority:
                remaining = subtract(remaining, claim)
        return remaining

    def remaining(self, batch: TaskBatch) -> Amount:
        """The capacity that a batch may still take: the total, less what is reserved for more urgent work,
        less what work of the same and lower urgency uses. That work may in any case use BUDGET_PART of the
        total. Gangs have no such limit: they need all their capacity at once, and waiting costs them most.
        """
        return subtract(self._limit(batch), self._used_up_to(batch))

    def _limit(self, batch: TaskBatch) -> Resources:
        """The capacity that work of a batch's urgency and less urgent work may use together."""
        occupancy = self._expected_occupancy(batch)
        service, priority = self.shares.priority_class(batch.job)
        reserved: Resources = NO_RESOURCES
        if not self.policy.reserve_for_urgent:
            return self.total_capacity[service]
        for key, peak in self.peaks.items():
            if key[0] == service and key[1] < priority:
                can_wait = occupancy <= self.longest_waits.get(key, 0)
                reserved = add(reserved, self.used.get(key, NO_RESOURCES) if can_wait else peak)
        total = self.total_capacity[service]
        return [
            max(capacity * constants.BUDGET_PART, capacity - reserved_amount)
            for capacity, reserved_amount in zip(total, reserved, strict=True)
        ]

    def _expected_occupancy(self, batch: TaskBatch) -> float:
        """Seconds that a task of a batch is expected to occupy its capacity."""
        if batch.step.lasts:
            return math.inf
        return self.estimator.expected(batch) * (self.estimator.far if batch.step.near else 1)

    def _used_up_to(self, batch: TaskBatch) -> Resources:
        """The capacity that work of a batch's urgency and less urgent work uses now."""
        key = self.shares.priority_class(batch.job)
        if key not in self.cumulative_used:
            total: Resources = NO_RESOURCES
            for (service, priority), used in self.used.items():
                if service == key[0] and priority >= key[1]:
                    total = add(total, used)
            self.cumulative_used[key] = total
        return self.cumulative_used[key]

    def allowance(self, batch: TaskBatch, wanted: int) -> int:
        """How many of `wanted` tasks a batch may be given."""
        remaining, resources = self.remaining(batch), batch.step.resources
        admitted = (
            math.ceil(max(0, remaining[kind]) / resources[kind]) for kind in RESOURCE_KINDS if resources[kind]
        )
        return min(wanted, self.allowance_beside_claims(batch, wanted), *admitted)

    def allowance_beside_claims(self, batch: TaskBatch, wanted: int) -> int:
        """How many of `wanted` tasks a batch may be given so that the capacity guaranteed to less urgent work
        stays free.
        """
        service, priority = self.shares.priority_class(batch.job)
        if not any(
            other_service == service and other_priority > priority
            for other_service, other_priority in self.claims
        ):
            return wanted
        count = fitting_tasks(self.unclaimed(batch), batch.step.resources)
        return wanted if count is None else min(wanted, count)

    def charge(self, batch: TaskBatch, count: int) -> None:
        """Charges the budget for `count` tasks of a batch that were placed."""
        key = self.shares.priority_class(batch.job)
        self.used[key] = add(self.used.get(key, NO_RESOURCES), multiply(batch.step.resources, count))
        self.cumulative_used.clear()

    def reservable(self, batch: TaskBatch, reserved: Resources) -> int:
        """For how many tasks of a batch capacity may be reserved, beside the capacity `reserved` for other
        batches of its priority: no more than its budget allows, and not what is guaranteed to less urgent
        work. For a gang, which needs all its capacity at once, what its priority uses already does not count,
        unless less urgent work lacks capacity now.
        """
        service, priority = self.shares.priority_class(batch.job)
        claims = [
            resources
            for (other_service, other_priority), resources in self.claims.items()
            if other_service == service and other_priority > priority
        ]
        exempt = batch.step.gang and not any(map(any, claims))
        used = reserved if exempt else add(reserved, self.used.get((service, priority), NO_RESOURCES))
        if not batch.step.gang and not self._is_below(used, self._limit(batch), batch.step.resources):
            return 0
        allowed = subtract(self.total_capacity[service], multiply(self.guaranteed(service), len(claims)))
        most = fitting_tasks(subtract(allowed, used), batch.step.resources)
        return len(batch.waiting) if most is None else most

    def _is_below(self, used: Resources, limit: Resources, request: Resources) -> bool:
        """Whether `used` is below `limit` in every resource that a request asks for."""
        return all(used[kind] < limit[kind] for kind in RESOURCE_KINDS if request[kind])

    def is_guaranteed(self, key: PriorityClass) -> bool:
        """Whether all the capacity that a (service, priority) uses is guaranteed to it."""
        if key[1] == EXCESS_PRIORITY:
            return False
        used, guaranteed = self.used.get(key, NO_RESOURCES), self.guaranteed(key[0])
        return all(amount <= limit for amount, limit in zip(used, guaranteed, strict=True))
