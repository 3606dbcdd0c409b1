"""Reserves workers for batches that have long been short of capacity, and selects the runs to preempt for
them.
"""

from collections.abc import Set
from typing import Any, NamedTuple, Protocol

from ..common import constants
from ..model.reliability import Trust
from . import policy as policies
from .budgets import CapacityBudgets
from .candidate_workers import CandidateWorker, used_fraction
from .leased_job import TaskBatch, TaskBatchKey
from .leased_job_state import LeasedJobState
from .placement import Placement, RunKey
from .resources import NO_RESOURCES, PriorityClass, Resources, add, multiply, subtract
from .run_stop import PREEMPTED, RunStop
from .tenants import TenantCapacity


class PendingStops(Protocol):
    """The part of the assignment manager that reservations read."""

    @property
    def stopping(self) -> Set[RunKey]:
        """The runs whose stop is proposed."""


class EligibleCandidate(NamedTuple):
    """A worker that could be reserved for a batch. Sorts by preference: the largest free fraction first."""

    # 0 to -1: the negated free fraction of the worker's capacity, the least over what the batch asks for
    negated_free: float
    identity: str
    candidate: CandidateWorker
    members: int  # tasks of the batch that it could run at once


class ReservedCandidate(NamedTuple):
    """A worker that is reserved for a batch."""

    candidate: CandidateWorker
    members: int  # tasks of the batch that it is reserved for


class Reservations:
    """Reserves candidates for the first batches that have been short of capacity for long, and selects the
    less urgent runs to preempt for them. Runs that save their progress lose only a restart. Of other runs, at
    most YIELD_WASTE core-seconds of work are discarded for one batch. Jobs beyond their tenant's weight are
    less urgent than all others, and nothing is reserved for them.

    Invariants: a candidate is reserved for one batch at most, and only if the batch can use it once the runs
    on it have ended. No more is reserved for a tenant's batches than the tenant may have running. At most
    RESERVE_PART of a service's candidates are reserved. While less than RESERVE_BUSY of a service's capacity
    is in use, nothing is reserved for longer than RESERVE_LASTS seconds without interruption: in the round
    that interrupts a reservation, any waiting task may take the capacity that was empty.
    """

    def __init__(
        self,
        leased_jobs: LeasedJobState,
        pending_stops: PendingStops,
        budgets: CapacityBudgets,
        candidates: dict[str, list[CandidateWorker]],
        reserved_since: dict[str, float],
        tenant_capacity: TenantCapacity,
        time: float,
        policy: policies.Policy = policies.DEFAULT,
    ) -> None:
        self.policy = policy
        self.leased_jobs, self.pending_stops, self.budgets = leased_jobs, pending_stops, budgets
        self.shares = budgets.shares
        self.candidates, self.time = candidates, time
        self.tenant_capacity = tenant_capacity.copy()  # charged for what is reserved
        self.reserved_since = reserved_since  # service -> since when some of its candidates are reserved
        self.batch_counts: dict[str, int] = {}  # service -> batches that candidates are reserved for
        self.candidate_counts: dict[str, int] = {}  # service -> candidates reserved
        # key of a batch -> its reserved candidates
        self.reserved: dict[TaskBatchKey, list[CandidateWorker]] = {}
        # (service, priority) -> capacity reserved for its batches
        self.reserved_resources: dict[PriorityClass, Resources] = {}
        # worker -> capacity that its long-running tasks use
        self.long_running_resources: dict[str, Resources] = {}
        # request of a batch -> candidates that could run its tasks
        self.eligible: dict[tuple[Any, ...], list[EligibleCandidate]] = {}
        self.used_fractions: dict[str, float] = {}  # service -> fraction of its capacity that is in use
        self.waste_allowed = 0.0  # core-seconds of work that may still be discarded for the current batch

    def reserve(
        self, batches: list[TaskBatch], short_since: dict[TaskBatchKey, float], now: float
    ) -> list[RunStop]:
        """Reserves candidates for those of `batches`, in rank order, that have been short of capacity for
        long. `short_since` maps the key of a batch to the time since when it has been short. Returns the
        stops that free capacity on the reserved candidates.
        """
        stops = []
        # shapes for which no candidates were found since the last reservation; batches of the same shape
        # would find none either
        failed = set()
        for batch in batches:
            if not self._may_reserve_for(batch, short_since, now):
                continue
            shape = self._shape(batch)
            if shape in failed:
                continue
            chosen = self._choose_candidates(batch)
            if not chosen:
                failed.add(shape)
                continue
            failed.clear()
            stops.extend(self._reserve_candidates(batch, chosen))
        for service in self.reserved_since.keys() - self.batch_counts.keys():
            del self.reserved_since[service]
        for service in self.batch_counts:
            self.reserved_since.setdefault(service, now)
        return stops

    def _may_reserve_for(self, batch: TaskBatch, short_since: dict[TaskBatchKey, float], now: float) -> bool:
        """Whether a batch has been short of capacity for long enough, and capacity may be reserved for it."""
        service = batch.job.service
        patience = constants.RESERVE_AFTER * (1 if batch.job.priority else 0.5)
        return (
            not self.shares.is_excess(batch.job)
            and now - short_since.get(batch.key(), now) >= patience
            and service in self.candidates
            and self.batch_counts.get(service, 0) < constants.MAX_RESERVED_BATCHES
            and not self._has_expired(service, now)
        )

    def _has_expired(self, service: str, now: float) -> bool:
        """Whether capacity of a service has been reserved for too long while most of its capacity is idle."""
        if now - self.reserved_since.get(service, now) < constants.RESERVE_LASTS:
            return False
        if service not in self.used_fractions:
            self.used_fractions[service] = used_fraction(self.candidates[service])
        return self.used_fractions[service] < constants.RESERVE_BUSY

    def _shape(self, batch: TaskBatch) -> tuple[Any, ...]:
        """Everything that determines which candidates a batch may have: if none are found for one batch, none
        are found for others of the same shape.
        """
        step = batch.step
        job = batch.job.identity if step.apart else None
        return (
            batch.job.service,
            batch.job.tenant,
            batch.job.priority,
            step.resources,
            step.needs,
            step.near,
            step.apart,
            step.gang,
            step.tight,
            job,
            len(batch.waiting),
        )

    def _reserve_candidates(self, batch: TaskBatch, chosen: list[ReservedCandidate]) -> list[RunStop]:
        """Reserves the chosen candidates for a batch. Returns the stops that free capacity on them; for a
        gang none, unless they free enough for all its members.
        """
        service = batch.job.service
        self.batch_counts[service] = self.batch_counts.get(service, 0) + 1
        self.candidate_counts[service] = self.candidate_counts.get(service, 0) + len(chosen)
        stops: list[RunStop] = []
        enough, self.waste_allowed = True, constants.YIELD_WASTE
        self.reserved[batch.key()] = [option.candidate for option in chosen]
        resources = multiply(batch.step.resources, sum(option.members for option in chosen))
        self.tenant_capacity.charge(batch.job.tenant, resources)
        self.reserved_resources[self._priority_class(batch)] = add(
            self.reserved_resources.get(self._priority_class(batch), NO_RESOURCES), resources
        )
        for candidate, members in chosen:
            candidate.reserved_for = batch
            victims = self._victims(batch, candidate, members)
            enough = enough and victims is not None
            stops.extend(victims or ())
        return stops if enough or not batch.step.gang else []

    def _choose_candidates(self, batch: TaskBatch) -> list[ReservedCandidate] | None:
        """Candidates for the tasks of a batch, judged by the total capacity of workers, the largest free
        fraction first. Candidates near the batch's data are preferred, and for a gang that asks for one rack,
        those of one rack that is large enough. A gang gets candidates for all its members or none. Another
        batch gets fewer than it asks for if there are not enough, if fewer may be reserved, or if its tenant
        may use no more.
        """
        step, wanted = batch.step, len(batch.waiting)
        reservable = self._reservable_tasks(batch)
        if not reservable or (step.gang and reservable < wanted):
            return None
        wanted = min(wanted, reservable)
        eligible = [option for option in self._eligible_for(batch) if option.candidate.reserved_for is None]
        if step.near:
            eligible = [option for option in eligible if step.near in option.candidate.labels] or eligible
        if step.gang and step.tight:
            eligible = self._in_one_rack(eligible, wanted)
        chosen, left = [], wanted
        for option in eligible[: self._reservable_candidates(batch.job.service)]:
            if left <= 0:
                break
            chosen.append(ReservedCandidate(option.candidate, min(option.members, left)))
            left -= option.members
        return chosen if left <= 0 or not step.gang else None

    def _reservable_tasks(self, batch: TaskBatch) -> int:
        """The number of tasks of a batch for which capacity may be reserved."""
        reservable = self.budgets.reservable(
            batch, self.reserved_resources.get(self._priority_class(batch), NO_RESOURCES)
        )
        return self.tenant_capacity.allowance(batch.job.tenant, batch.step.resources, reservable)

    def _priority_class(self, batch: TaskBatch) -> PriorityClass:
        """The (service, priority) of a batch."""
        return (batch.job.service, batch.job.priority)

    def _reservable_candidates(self, service: str) -> int:
        """How many more candidates of a service may be reserved."""
        most = max(1, int(len(self.candidates[service]) * constants.RESERVE_PART))
        return max(0, most - self.candidate_counts.get(service, 0))

    def _eligible_for(self, batch: TaskBatch) -> list[EligibleCandidate]:
        """The candidates that could be reserved for a batch, in order of preference, including those reserved
        for other batches. Batches with the same request share the list, as nothing is placed while candidates
        are being reserved.
        """
        step = batch.step
        request = (
            batch.job.service,
            step.resources,
            step.needs,
            (batch.job.identity, batch.number) if step.apart else None,
        )
        if request not in self.eligible:
            candidates = self.candidates[batch.job.service]
            eligible = [option for candidate in candidates if (option := self._as_eligible(batch, candidate))]
            self.eligible[request] = sorted(eligible, key=lambda option: option[:2])
        return self.eligible[request]

    def _as_eligible(self, batch: TaskBatch, candidate: CandidateWorker) -> EligibleCandidate | None:
        """A candidate as an EligibleCandidate for a batch, or None if it can't be reserved for it."""
        step = batch.step
        if candidate.trust is not Trust.RELIABLE:
            return None
        members = candidate.potential_members(batch, self._long_running_on(candidate))
        if not members:
            return None
        return EligibleCandidate(-candidate.free_fraction(step), candidate.identity, candidate, members)

    def _long_running_on(self, candidate: CandidateWorker) -> Resources:
        """The capacity that long-running tasks use on a candidate, and that waiting does not free."""
        if not self.leased_jobs.lasting_jobs:
            return NO_RESOURCES
        if candidate.identity not in self.long_running_resources:
            resources: Resources = NO_RESOURCES
            for placement in self.leased_jobs.placements.get(candidate.identity, {}).values():
                batch_and_task = None if placement.stop else self.leased_jobs.current_task(placement)
                if batch_and_task is not None and batch_and_task[0].step.lasts:
                    resources = add(resources, placement.resources)
            self.long_running_resources[candidate.identity] = resources
        return self.long_running_resources[candidate.identity]

    def _in_one_rack(self, eligible: list[EligibleCandidate], wanted: int) -> list[EligibleCandidate]:
        """The eligible candidates of one rack with capacity for `wanted` tasks, namely the rack with the
        largest mean free fraction; all of them if no rack is large enough.
        """
        racks: dict[str, list[EligibleCandidate]] = {}
        for option in eligible:
            racks.setdefault(option.candidate.rack, []).append(option)
        large = [rack for rack in racks.values() if sum(option.members for option in rack) >= wanted]
        return min(
            large, key=lambda rack: sum(option.negated_free for option in rack) / len(rack), default=eligible
        )

    def _victims(self, batch: TaskBatch, candidate: CandidateWorker, members: int) -> list[RunStop] | None:
        """The runs to stop on a candidate so that it has capacity for `members` tasks of a batch, newest run
        first; None if that can't be achieved.
        """
        missing: Resources = [
            members * resources - free
            for resources, free in zip(batch.step.resources, candidate.free, strict=True)
        ]
        stops: list[RunStop] = []
        if max(missing) <= 0:
            return stops
        placements = self.leased_jobs.placements.get(candidate.identity, {})
        for key, placement in sorted(placements.items(), key=lambda item: -item[1].since):
            if max(missing) <= 0:
                break
            if placement.stop or key in self.pending_stops.stopping:
                missing = subtract(missing, placement.resources)
                continue
            if not self._may_preempt(batch, candidate, key, placement):
                continue
            missing = subtract(missing, placement.resources)
            stops.append(RunStop(candidate.identity, key[0], key[1], PREEMPTED))
        return stops if max(missing) <= 0 else None

    def _may_preempt(
        self, batch: TaskBatch, candidate: CandidateWorker, key: RunKey, placement: Placement
    ) -> bool:
        """Whether a run may be stopped for a batch. If so, the work that this discards is deducted from the
        waste allowed.
        """
        batch_and_task = self.leased_jobs.current_task(placement)
        if not self.policy.preempt or batch_and_task is None or key not in candidate.worker.running:
            return False
        step = batch_and_task[0].step
        if step.gang or step.lasts or self.shares.priority(batch_and_task[0].job) <= batch.job.priority:
            return False
        if self.budgets.is_guaranteed(self.shares.priority_class_of(placement)):
            return False
        if step.saves:
            return True
        if placement.run > constants.YIELD_RUNS:
            return False
        cores = placement.resources[0] / 1000 + constants.GPU_CORES * placement.resources[2]
        lost = (self.time - placement.since) * cores
        if lost > self.waste_allowed:
            return False
        self.waste_allowed -= lost
        return True
