"""Assigns waiting tasks to workers: one scheduling round over the ready batches and the candidate workers.

The rules and the alternatives that were considered: docs/design/sharing.md.
"""

from collections.abc import Iterable, Sequence
from typing import Any

from ..common import constants
from ..model.reliability import FailureEvidence, Trust
from . import policy as policies
from . import timeliness
from .budgets import CapacityBudgets
from .candidate_order import CandidateIndex, Rank, fill
from .candidate_workers import CandidateWorker, PotentialCapacity, candidate_workers
from .idle_capacity import IdleCapacityCheck, Violation
from .leased_job import TaskBatch, TaskBatchKey
from .leased_job_state import LeasedJobState, TaskBatchAssignment
from .reservations import PendingStops, Reservations
from .resources import NO_RESOURCES, Amount, add, fitting_tasks, multiply
from .run_speed import RunTimeEstimator
from .run_stop import StopItem
from .tenant_shares import TenantShares
from .tenants import TenantCapacity, Tenants
from .worker import Worker

# Why a scheduling round left tasks waiting. Operators see these texts.
REASON_NO_WORKER = "no minion"
REASON_NO_CAPACITY = "no room"
REASON_CAPACITY_RESERVED = "room is kept for other work"
REASON_OVER_BUDGET = "held back for other work"
REASON_TENANT_AT_MAXIMUM = "its tenant is at its maximum"

# (index of the task, identity of its worker) for tasks of one batch that were placed.
TaskAssignments = list[tuple[int, str]]


class Assigner:
    """Decides one scheduling round at a time. Its decisions are proposals based on the leader's estimates;
    LeasedJobState.assign decides from the log whether a task may run.

    Invariant: a round gives no candidate more than its free capacity, and places either all members of a
    gang or none.
    """

    def __init__(
        self,
        estimator: RunTimeEstimator,
        policy: policies.Policy = policies.DEFAULT,
        tenant_burst: float = constants.TENANT_BURST,
    ) -> None:
        self.estimator, self.policy = estimator, policy
        self.evidence = FailureEvidence()  # of the ends of runs
        self.short_since: dict[TaskBatchKey, float] = {}  # key of a batch -> since when it lacks capacity
        # service -> since when some of its candidates have been reserved without interruption
        self.reserved_since: dict[str, float] = {}
        # resource requests that no candidate can satisfy any more in this round
        self.exhausted: set[tuple[Any, ...]] = set()
        self.idle_capacity = IdleCapacityCheck()
        self.violations: tuple[Violation, ...] = ()  # found by the newest round
        self.tasks_near: dict[str, int] = {}  # rack -> tasks of this round that prefer it for their data
        self.shares = TenantShares(tenant_burst)
        self.budgets = CapacityBudgets(estimator, policy, self.shares)
        self.demand_decayed_at: float | None = None
        self.rack_demand: dict[str, float] = {}  # rack -> recent demand of work whose data is near it
        self.highest_demand = 1.0  # the highest demand for any rack, at least 1
        # key of a batch -> why the newest round left tasks of it waiting
        self.waiting_reasons: dict[TaskBatchKey, str] = {}
        # service -> free capacity of its reserved candidates when the newest round had placed its work
        self.reserved_free: dict[str, Amount] = {}
        self.batches_considered = 0  # by the newest round
        self.turn = 0  # number of short batches, modulo all of them, at which the next large round begins
        # state of the current round
        # (service, label) -> the candidates with that label
        self.near_candidates: dict[tuple[str, str], list[CandidateWorker]] = {}
        # request -> whether a candidate that is reserved for another batch could run it
        self.blocked_by_reservation: dict[tuple[Any, ...], bool] = {}
        self.tenant_capacity = TenantCapacity(Tenants(None), {})
        self.indices: dict[str, CandidateIndex] = {}  # by service

    def run_round(
        self,
        leased_jobs: LeasedJobState,
        workers: dict[str, Worker],
        assignments: PendingStops,
        now: float,
        time: float,
    ) -> tuple[tuple[TaskBatchAssignment, ...], tuple[StopItem, ...]]:
        """Runs a scheduling round over the batches that are due. Returns (assign items, stop items) for the
        operations "job-assign" and "job-stop". `now` is the daemon's clock and `time` the clock of the
        cluster state, both in seconds.
        """
        leased_jobs.open_due(time)
        if self.policy.enforce_tenant_weights:
            self.shares.judge_new_jobs(leased_jobs)
        self.budgets.update_peaks(leased_jobs, now)
        self._decay_rack_demand(now)
        self.tasks_near, self.exhausted = {}, set()
        self.near_candidates, self.blocked_by_reservation = {}, {}
        self.tenant_capacity = TenantCapacity(leased_jobs.tenants, leased_jobs.used_by_tenant)
        batches = self._batches_to_consider(leased_jobs, time)
        self.batches_considered = len(batches)
        if not batches:
            self.reserved_since.clear()
            self.reserved_free, self.budgets.claims = {}, {}
            self.violations = ()
            self._drop_old_shortages(leased_jobs)
            return (), ()
        candidates = candidate_workers(leased_jobs, workers, self.evidence, now)
        batches = self._runnable(batches, candidates, now)
        self.budgets.begin_round(leased_jobs, candidates, batches, self.tenant_capacity, time)
        batches.sort(key=lambda batch: self._rank(batch, time))
        reservations = Reservations(
            leased_jobs,
            assignments,
            self.budgets,
            candidates,
            self.reserved_since,
            self.tenant_capacity,
            time,
            self.policy,
        )
        stops = (
            reservations.reserve(batches, self.short_since, now) if self.policy.reserve_for_waiting else ()
        )
        self.indices = {
            service: CandidateIndex(service_candidates, self._general_suitability, self.shares.priority)
            for service, service_candidates in candidates.items()
        }
        items, complete = self._place_batches(batches, candidates, reservations, now, time)
        self._drop_old_shortages(leased_jobs)
        self._sum_reserved_free(reservations)
        if complete:
            self._check_idle_capacity(leased_jobs, candidates, reservations, items, now)
        return tuple(items), tuple(stop.plain() for stop in stops)

    def _batches_to_consider(self, leased_jobs: LeasedJobState, time: float) -> list[TaskBatch]:
        """The batches that this round looks at, without those that their tenant's maximum excludes. Clears
        the reasons why these wait.
        """
        due = [batch for batch in leased_jobs.ready_to_place() if batch.due <= time]
        if len(due) <= constants.MAX_ROUND_BATCHES:
            self.waiting_reasons = {}
        else:
            due = self._some_of(due)
            considered = {batch.key() for batch in due}
            self.waiting_reasons = {
                key: reason
                for key, reason in self.waiting_reasons.items()
                if key in leased_jobs.ready and key not in considered
            }
        return [batch for batch in due if self._is_admitted(batch)]

    def _runnable(
        self, batches: list[TaskBatch], candidates: dict[str, list[CandidateWorker]], now: float
    ) -> list[TaskBatch]:
        """The batches that their service's candidates could run if nothing else ran there. The others are
        short of capacity, and the round need not look at them any further.
        """
        runnable = []
        capacities = {
            service: PotentialCapacity(service_candidates)
            for service, service_candidates in candidates.items()
        }
        for batch in batches:
            capacity, wanted = capacities.get(batch.job.service), len(batch.waiting) if batch.step.gang else 1
            if capacity is None or not any(batch.step.resources) or capacity.reaches(batch, wanted):
                runnable.append(batch)
            else:
                self.waiting_reasons[batch.key()] = REASON_NO_CAPACITY
                self.short_since.setdefault(batch.key(), now)
        return runnable

    def _some_of(self, batches: list[TaskBatch]) -> list[TaskBatch]:
        """MAX_ROUND_BATCHES of more batches: first those that no round has found short of capacity, then the
        others in turn.
        """
        new = [batch for batch in batches if batch.key() not in self.short_since]
        new = new[: constants.MAX_ROUND_BATCHES]
        short = [batch for batch in batches if batch.key() in self.short_since]
        if not short:
            return new
        first = self.turn % len(short)
        in_turn = [*short[first:], *short[:first]][: constants.MAX_ROUND_BATCHES - len(new)]
        self.turn = first + len(in_turn)
        return [*new, *in_turn]

    def _is_admitted(self, batch: TaskBatch) -> bool:
        """Whether the maximum of a batch's tenant admits one more task of it, or all members of a gang. A
        batch that is not admitted does not count as short of capacity, and no capacity is reserved for it.
        """
        least = len(batch.waiting) if batch.step.gang else 1
        if self.tenant_capacity.allowance(batch.job.tenant, batch.step.resources, least) >= least:
            return True
        self.waiting_reasons[batch.key()] = REASON_TENANT_AT_MAXIMUM
        self.short_since.pop(batch.key(), None)
        return False

    def _place_batches(
        self,
        batches: list[TaskBatch],
        candidates: dict[str, list[CandidateWorker]],
        reservations: Reservations,
        now: float,
        time: float,
    ) -> tuple[list[TaskBatchAssignment], bool]:
        """Places tasks of the batches in order. Returns (assign items, whether every batch was processed): a
        round ends once it has placed MAX_ASSIGNED_TASKS tasks, and exceeds that by one batch at most.
        """
        items, count = [], 0
        for batch in batches:
            if count >= constants.MAX_ASSIGNED_TASKS:
                break
            service_candidates = candidates.get(batch.job.service, ())
            if not service_candidates:
                self.waiting_reasons.setdefault(batch.key(), REASON_NO_WORKER)
                continue
            assigned = self._assign_batch(batch, service_candidates, reservations, time)
            if assigned:
                count += len(assigned)
                self.tenant_capacity.charge(batch.job.tenant, multiply(batch.step.resources, len(assigned)))
                items.append((batch.job.identity, batch.time, batch.number, tuple(assigned)))
            self._record_shortage(batch, len(assigned), reservations, now)
        return items, count < constants.MAX_ASSIGNED_TASKS

    def _assign_batch(
        self, batch: TaskBatch, candidates: Sequence[CandidateWorker], reservations: Reservations, time: float
    ) -> TaskAssignments:
        """Places the tasks of a batch for which there is a worker."""
        if not self._is_admitted(batch):
            return []
        if batch.step.gang:
            return self._place_gang(batch, candidates, batch.key() in reservations.reserved, time)
        return self._place_single_tasks(batch, candidates, reservations.reserved.get(batch.key(), ()), time)

    def tenants_at_maximum(self, leased_jobs: LeasedJobState) -> set[str]:
        """The tenants with tasks that the newest round left waiting because the tenant is at its maximum."""
        waiting = [key for key, reason in self.waiting_reasons.items() if reason == REASON_TENANT_AT_MAXIMUM]
        return {leased_jobs.ready[key].job.tenant for key in waiting if key in leased_jobs.ready}

    def outlook(self, batch: TaskBatch, time: float) -> timeliness.Timeliness:
        """What a batch's job can still reach if its waiting tasks start at `time`, the time of the cluster
        state in seconds.
        """
        total = self.budgets.total_capacity.get(batch.job.service)
        return timeliness.outlook(self.estimator, batch, total, time)

    def _record_shortage(self, batch: TaskBatch, placed: int, reservations: Reservations, now: float) -> None:
        """Records why a batch has tasks left after `placed` of them were placed, and since when it is short
        of capacity.
        """
        left = len(batch.waiting) - placed
        least = left if batch.step.gang else 1
        if left and self.tenant_capacity.allowance(batch.job.tenant, batch.step.resources, least) < least:
            self.waiting_reasons[batch.key()] = REASON_TENANT_AT_MAXIMUM
            self.short_since.pop(batch.key(), None)
        elif left:
            self.short_since.setdefault(batch.key(), now)
            self.waiting_reasons.setdefault(batch.key(), self._shortage_reason(batch, reservations))
        else:
            self.short_since.pop(batch.key(), None)

    def _drop_old_shortages(self, leased_jobs: LeasedJobState) -> None:
        """Drops the shortage records of batches that are no longer ready."""
        for key in [key for key in self.short_since if key not in leased_jobs.ready]:
            del self.short_since[key]

    def _sum_reserved_free(self, reservations: Reservations) -> None:
        """Sums the free capacity of the reserved candidates, by service."""
        self.reserved_free = {}
        for reserved in reservations.reserved.values():
            for candidate in reserved:
                free = self.reserved_free.get(candidate.service, NO_RESOURCES)
                self.reserved_free[candidate.service] = add(free, candidate.free)

    def _check_idle_capacity(
        self,
        leased_jobs: LeasedJobState,
        candidates: dict[str, list[CandidateWorker]],
        reservations: Reservations,
        items: list[TaskBatchAssignment],
        now: float,
    ) -> None:
        """Checks whether a complete round left work waiting beside idle capacity."""
        reserved = {
            key: (leased_jobs.ready[key], reserved_candidates)
            for key, reserved_candidates in reservations.reserved.items()
        }
        placed = {item[:3]: len(item[3]) for item in items}
        self.violations = (
            *self.idle_capacity.check_reservations(reserved, placed, self.short_since, now),
            *self.idle_capacity.check_waiting_jobs(leased_jobs, candidates, self.short_since, now),
        )

    def _rank(self, batch: TaskBatch, time: float) -> tuple[bool, int, int, float, str]:
        """Sort key of a batch: jobs within their tenant's weight first, then by priority, then jobs that can
        still be in time before those that can only be late, then by due time. A step that needs more than
        WIDE_PART of its service's capacity is expected to take several passes over that capacity, so it is
        due later.
        """
        job, step = batch.job, batch.step
        total = self.budgets.total_capacity.get(job.service)
        passes = timeliness.passes(step, len(batch.waiting), total) if self.policy.rank_by_step_width else 1.0
        time_allowed = (
            job.latency_target_ms / 1000 + job.stretch * passes * step.est_ms / 1000
            if self.policy.rank_by_due_time
            else 0
        )
        due = timeliness.ready_at(batch) + time_allowed
        outlook = self.outlook(batch, time) if self.policy.rank_by_outlook else timeliness.Timeliness.IN_TIME
        return (self.shares.is_excess(job), job.priority, outlook, due, job.identity)

    def _decay_rack_demand(self, now: float) -> None:
        """Decays the recorded demand for each rack, with a half life of PEAK_HALF seconds."""
        elapsed = 0 if self.demand_decayed_at is None else now - self.demand_decayed_at
        self.demand_decayed_at, decay = now, 0.5 ** (elapsed / constants.PEAK_HALF)
        for rack in self.rack_demand:
            self.rack_demand[rack] *= decay
        self.highest_demand = max((1, *self.rack_demand.values()))

    def _suitability(self, candidate: CandidateWorker, batch: TaskBatch) -> Rank:
        """How well a candidate suits a task of `batch`; lower is better. After reliability, reservations,
        data locality, demand for the rack and speed, the candidate with the least free capacity is preferred.
        """
        near = batch.step.near
        return (
            self._trust(candidate, batch),
            candidate.reserved_for is not None and candidate.reserved_for is not batch,
            self.policy.prefer_data_locality and bool(near) and near not in candidate.labels,
            0 if near else self._demand_step_of(candidate.rack),
            self._slowness_step_of(candidate),
            candidate.free[2],
            candidate.free[0],
            candidate.identity,
        )

    def _general_suitability(self, candidates: Iterable[CandidateWorker]) -> list[Rank]:
        """The suitability of candidates for all tasks that prefer no rack, have no capacity reserved and may
        run on trial. As each round computes it for the whole fleet, it is one loop without further calls.
        """
        demand_steps = {rack: self._demand_step_of(rack) for rack in self.rack_demand}
        speed_steps = constants.SPEED_STEPS if self.policy.prefer_fast_workers else 0
        return [
            (
                candidate.trust,
                candidate.reserved_for is not None,
                demand_steps.get(candidate.rack, 0),
                round(candidate.worker.speed * speed_steps),
                candidate.free[2],
                candidate.free[0],
                candidate.identity,
            )
            for candidate in candidates
        ]

    def _trust(self, candidate: CandidateWorker, batch: TaskBatch) -> Trust:
        """How far a candidate is trusted with a task of `batch`: not if the same step has failed on it, nor
        if it is on trial and the batch can't spare an attempt.
        """
        if candidate.identity in self.evidence.workers_failed_on(batch.work()):
            return Trust.UNRELIABLE
        if candidate.trust is Trust.ON_TRIAL and not self._may_run_on_trial(batch):
            return Trust.UNRELIABLE
        return candidate.trust

    def _ranks_as_others(self, batch: TaskBatch, candidates: Sequence[CandidateWorker]) -> bool:
        """Whether the candidates rank for a batch, which prefers no rack, as they do for any other."""
        if self.evidence.workers_failed_on(batch.work()):
            return False
        return self._may_run_on_trial(batch) or not any(
            candidate.trust is Trust.ON_TRIAL for candidate in candidates
        )

    def _may_run_on_trial(self, batch: TaskBatch) -> bool:
        """Whether a task of a batch can be spared for a worker that may fail it."""
        return (
            batch.job.attempts > 1
            and not batch.step.gang
            and not self.evidence.workers_failed_on(batch.work())
        )

    def _demand_step_of(self, rack: str) -> int:
        """The demand for a rack by work whose data is near it, as one of HOT_STEPS steps up to that of the
        rack with the highest demand.
        """
        if not self.rack_demand or not self.policy.avoid_contended_racks:
            return 0
        return round(constants.HOT_STEPS * self.rack_demand.get(rack, 0) / self.highest_demand)

    def _slowness_step_of(self, candidate: CandidateWorker) -> int:
        """A candidate's slowness in steps; candidates within one step rank equal."""
        if not self.policy.prefer_fast_workers:
            return 0
        return round(candidate.worker.speed * constants.SPEED_STEPS)

    def _place_single_tasks(
        self,
        batch: TaskBatch,
        candidates: Sequence[CandidateWorker],
        reserved: Sequence[CandidateWorker],
        time: float,
    ) -> TaskAssignments:
        """Places tasks of a batch that is not a gang: first on the candidates reserved for it, then on others
        within its budget.
        """
        step, waiting = batch.step, sorted(batch.waiting)
        waiting = waiting[: self.tenant_capacity.allowance(batch.job.tenant, step.resources, len(waiting))]
        near_limit = (
            self._tasks_to_wait_near(batch, candidates, time)
            if step.near and self.policy.wait_for_data_locality
            else 0
        )
        if step.near:
            self._record_rack_demand(batch, len(waiting))
        assigned = self._place_on(batch, reserved, waiting)
        self.budgets.charge(batch, len(assigned))
        waiting = waiting[len(assigned) :]
        allowed = self.budgets.allowance(batch, len(waiting))
        if allowed < len(waiting):
            self.waiting_reasons[batch.key()] = REASON_OVER_BUDGET
        near_count = max(0, min(allowed, near_limit - len(assigned)))
        additional = self._place_near(batch, candidates, waiting[:near_count])
        if len(additional) == near_count:
            additional += self._place_anywhere(
                batch, candidates, waiting[near_count:allowed], unreserved=not reserved
            )
        if len(additional) < allowed:
            self.waiting_reasons.pop(batch.key(), None)  # the limit was capacity, not the budget
        self.budgets.charge(batch, len(additional))
        return assigned + additional

    def _place_near(
        self, batch: TaskBatch, candidates: Sequence[CandidateWorker], indices: Sequence[int]
    ) -> TaskAssignments:
        """Places tasks, given by their indices, near their data. Once a batch has found too few candidates
        there, batches with the same request are skipped for the rest of the round.
        """
        request = (*self._request(batch), batch.step.near)
        if not indices or request in self.exhausted:
            return []
        assigned = self._place_on(batch, self._near(batch, candidates), indices)
        if len(assigned) < len(indices):
            self.exhausted.add(request)
        return assigned

    def _near(self, batch: TaskBatch, candidates: Sequence[CandidateWorker]) -> list[CandidateWorker]:
        """The candidates near the data of a batch."""
        key = (batch.job.service, batch.step.near)
        if key not in self.near_candidates:
            self.near_candidates[key] = [
                candidate for candidate in candidates if batch.step.near in candidate.labels
            ]
        return self.near_candidates[key]

    def _request(self, batch: TaskBatch) -> tuple[Any, ...]:
        """Everything that determines which candidates without a reservation a batch may have."""
        step = batch.step
        return (
            *self.shares.priority_class(batch.job),
            step.resources,
            step.needs,
            batch.job.identity if step.apart else None,
        )

    def _record_rack_demand(self, batch: TaskBatch, count: int) -> None:
        """Records that `count` tasks of a batch prefer the rack of their data."""
        near, demand = batch.step.near, count * max(batch.step.resources[0], 1)
        if demand > self.rack_demand.get(near, 0):
            self.rack_demand[near] = demand
            self.highest_demand = max(self.highest_demand, demand)
            for index in self.indices.values():
                index.discard_order()

    def _place_anywhere(
        self,
        batch: TaskBatch,
        candidates: Sequence[CandidateWorker],
        indices: Sequence[int],
        unreserved: bool,
    ) -> TaskAssignments:
        """Places tasks, given by their indices, on any of the candidates. Once a batch has found too few of
        them, batches with the same request are skipped for the rest of the round. `unreserved`: whether no
        capacity is reserved for the batch.
        """
        step = batch.step
        request = self._request(batch)
        if request in self.exhausted:
            return []
        if unreserved and not step.near and self._ranks_as_others(batch, candidates):
            assigned = self._place_ranked(
                batch, self.indices[batch.job.service].order.with_free_capacity(step.resources), indices
            )
        else:
            assigned = self._place_on(batch, candidates, indices)
        if len(assigned) < len(indices):
            self.exhausted.add(request)
        return assigned

    def _place_on(
        self, batch: TaskBatch, candidates: Sequence[CandidateWorker], indices: Sequence[int]
    ) -> TaskAssignments:
        """Places as many of the tasks as find a candidate, in the order of their indices."""
        if not indices:
            return []
        return self._place_ranked(batch, self._ranked(batch, candidates), indices)

    def _place_ranked(
        self, batch: TaskBatch, ranked: Iterable[CandidateWorker], indices: Sequence[int]
    ) -> TaskAssignments:
        """Places as many of the tasks as find a candidate; `ranked` lists the candidates, best first."""
        chosen = fill(batch, self.shares.priority(batch.job), ranked, len(indices))
        self.indices[batch.job.service].refresh(chosen)
        return [(index, candidate.identity) for index, candidate in zip(indices, chosen, strict=False)]

    def _ranked(self, batch: TaskBatch, candidates: Iterable[CandidateWorker]) -> list[CandidateWorker]:
        """The candidates on which a task of a batch may be placed, best first."""
        priority = self.shares.priority(batch.job)
        eligible = [candidate for candidate in candidates if candidate.may_place(batch, priority)]
        return sorted(eligible, key=lambda candidate: self._suitability(candidate, batch))

    def _shortage_reason(self, batch: TaskBatch, reservations: Reservations) -> str:
        """Why some tasks of a batch found no candidate."""
        if batch.key() in reservations.reserved:
            blocked = self._is_blocked(batch, reservations)
        else:
            request = self._request(batch)
            if request not in self.blocked_by_reservation:
                self.blocked_by_reservation[request] = self._is_blocked(batch, reservations)
            blocked = self.blocked_by_reservation[request]
        return REASON_CAPACITY_RESERVED if blocked else REASON_NO_CAPACITY

    def _is_blocked(self, batch: TaskBatch, reservations: Reservations) -> bool:
        """Whether a candidate that is reserved for another batch could run a task of this one."""
        return any(
            key != batch.key() and any(candidate.can_run(batch) for candidate in candidates)
            for key, candidates in reservations.reserved.items()
        )

    def _tasks_to_wait_near(
        self, batch: TaskBatch, candidates: Sequence[CandidateWorker], time: float
    ) -> int:
        """How many tasks of a batch should wait for capacity near their data instead of starting far from it:
        those that would finish sooner by waiting, if the tasks ahead of them take as long as they do.
        """
        length = self.estimator.expected(batch)
        if time - batch.waiting_since > min((self.estimator.far - 1) * length, constants.MAX_NEAR_WAIT):
            return 0
        near_capacity = sum(
            fitting_tasks(candidate.worker.capacity, batch.step.resources) or 0
            for candidate in self._near(batch, candidates)
        )
        ahead = self.tasks_near.get(batch.step.near, 0)
        self.tasks_near[batch.step.near] = ahead + len(batch.waiting)
        return max(0, int(near_capacity * constants.NEAR_PART * (self.estimator.far - 1)) - ahead)

    def _place_gang(
        self, batch: TaskBatch, candidates: Sequence[CandidateWorker], is_reserved: bool, time: float
    ) -> TaskAssignments:
        """Places all members of a gang, in one rack if the step asks for that and it is possible. A gang
        without reserved candidates leaves free the capacity guaranteed to less urgent work.
        """
        wanted = len(batch.waiting)
        if not is_reserved and self.budgets.allowance_beside_claims(batch, wanted) < wanted:
            self.waiting_reasons[batch.key()] = REASON_OVER_BUDGET
            return []
        ranked = self._ranked_for_gang(batch, candidates, is_reserved, time)
        if ranked is None:
            return []
        assigned = self._place_ranked(batch, ranked, sorted(batch.waiting))
        self.budgets.charge(batch, wanted)
        return assigned

    def _ranked_for_gang(
        self, batch: TaskBatch, candidates: Sequence[CandidateWorker], is_reserved: bool, time: float
    ) -> Iterable[CandidateWorker] | None:
        """Candidates that together have capacity for all members of a gang, best first, or None."""
        index = self.indices[batch.job.service]
        tight = batch.step.tight and self.policy.gang_in_one_rack
        rack = index.racks.fullest_rack_for(batch, is_reserved) if tight else None
        if rack is not None:
            return self._ranked(batch, rack)
        if tight and time - batch.waiting_since < constants.RACK_WAIT:
            return None
        if not index.racks.have_capacity_for(batch, is_reserved):
            return None
        if is_reserved or batch.step.near:
            return self._ranked(batch, candidates)
        return index.order.with_free_capacity(batch.step.resources)
