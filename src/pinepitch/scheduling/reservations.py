"""Reserves workers for waves that have long been short of capacity, and selects the runs to preempt for
them.
"""

from collections.abc import Set
from typing import Any, NamedTuple, Protocol

from ..common import constants
from . import policy as policies
from .budgets import CapacityBudgets
from .candidate_workers import CandidateWorker, used_fraction
from .leased_job import Wave, WaveKey
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
    """A worker that could be reserved for a wave. Sorts by preference: the largest free fraction first."""

    # 0 to -1: the negated free fraction of the worker's capacity, the least over what the wave asks for
    negated_free: float
    identity: str
    candidate: CandidateWorker
    members: int  # tasks of the wave that it could run at once


class ReservedCandidate(NamedTuple):
    """A worker that is reserved for a wave."""

    candidate: CandidateWorker
    members: int  # tasks of the wave that it is reserved for


class Reservations:
    """Reserves candidates for the first waves that have been short of capacity for long, and selects the less
    urgent runs to preempt for them. Runs that save their progress lose only a restart. Of other runs, at most
    YIELD_WASTE core-seconds of work are discarded for one wave. Jobs beyond their tenant's weight are less
    urgent than all others, and nothing is reserved for them.

    Invariants: a candidate is reserved for one wave at most, and only if the wave can use it once the runs on
    it have ended. No more is reserved for a tenant's waves than the tenant may have running. At most
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
        self.wave_counts: dict[str, int] = {}  # service -> waves that candidates are reserved for
        self.candidate_counts: dict[str, int] = {}  # service -> candidates reserved
        self.reserved: dict[WaveKey, list[CandidateWorker]] = {}  # key of a wave -> its reserved candidates
        # (service, priority) -> capacity reserved for its waves
        self.reserved_resources: dict[PriorityClass, Resources] = {}
        # worker -> capacity that its long-running tasks use
        self.long_running_resources: dict[str, Resources] = {}
        # whether any open job has a long-running step; None until it is computed
        self.has_long_running: bool | None = None
        # request of a wave -> candidates that could run its tasks
        self.eligible: dict[tuple[Any, ...], list[EligibleCandidate]] = {}
        self.used_fractions: dict[str, float] = {}  # service -> fraction of its capacity that is in use
        self.waste_allowed = 0.0  # core-seconds of work that may still be discarded for the current wave

    def reserve(self, waves: list[Wave], short_since: dict[WaveKey, float], now: float) -> list[RunStop]:
        """Reserves candidates for those of `waves`, in rank order, that have been short of capacity for long.
        `short_since` maps the key of a wave to the time since when it has been short. Returns the stops that
        free capacity on the reserved candidates.
        """
        stops = []
        # shapes for which no candidates were found since the last reservation; waves of the same shape would
        # find none either
        failed = set()
        for wave in waves:
            if not self._may_reserve_for(wave, short_since, now):
                continue
            shape = self._shape(wave)
            if shape in failed:
                continue
            chosen = self._choose_candidates(wave)
            if not chosen:
                failed.add(shape)
                continue
            failed.clear()
            stops.extend(self._reserve_candidates(wave, chosen))
        for service in self.reserved_since.keys() - self.wave_counts.keys():
            del self.reserved_since[service]
        for service in self.wave_counts:
            self.reserved_since.setdefault(service, now)
        return stops

    def _may_reserve_for(self, wave: Wave, short_since: dict[WaveKey, float], now: float) -> bool:
        """Whether a wave has been short of capacity for long enough, and capacity may be reserved for it."""
        service = wave.job.service
        patience = constants.RESERVE_AFTER * (1 if wave.job.priority else 0.5)
        return (
            not self.shares.is_excess(wave.job)
            and now - short_since.get(wave.key(), now) >= patience
            and service in self.candidates
            and self.wave_counts.get(service, 0) < constants.MAX_RESERVED_WAVES
            and not self._has_expired(service, now)
        )

    def _has_expired(self, service: str, now: float) -> bool:
        """Whether capacity of a service has been reserved for too long while most of its capacity is idle."""
        if now - self.reserved_since.get(service, now) < constants.RESERVE_LASTS:
            return False
        if service not in self.used_fractions:
            self.used_fractions[service] = used_fraction(self.candidates[service])
        return self.used_fractions[service] < constants.RESERVE_BUSY

    def _shape(self, wave: Wave) -> tuple[Any, ...]:
        """Everything that determines which candidates a wave may have: if none are found for one wave, none
        are found for others of the same shape.
        """
        step = wave.step
        job = wave.job.identity if step.apart else None
        return (
            wave.job.service,
            wave.job.tenant,
            wave.job.priority,
            step.resources,
            step.needs,
            step.near,
            step.apart,
            step.gang,
            step.tight,
            job,
            len(wave.waiting),
        )

    def _reserve_candidates(self, wave: Wave, chosen: list[ReservedCandidate]) -> list[RunStop]:
        """Reserves the chosen candidates for a wave. Returns the stops that free capacity on them; for a gang
        none, unless they free enough for all its members.
        """
        service = wave.job.service
        self.wave_counts[service] = self.wave_counts.get(service, 0) + 1
        self.candidate_counts[service] = self.candidate_counts.get(service, 0) + len(chosen)
        stops: list[RunStop] = []
        enough, self.waste_allowed = True, constants.YIELD_WASTE
        self.reserved[wave.key()] = [option.candidate for option in chosen]
        resources = multiply(wave.step.resources, sum(option.members for option in chosen))
        self.tenant_capacity.charge(wave.job.tenant, resources)
        self.reserved_resources[self._priority_class(wave)] = add(
            self.reserved_resources.get(self._priority_class(wave), NO_RESOURCES), resources
        )
        for candidate, members in chosen:
            candidate.reserved_for = wave
            victims = self._victims(wave, candidate, members)
            enough = enough and victims is not None
            stops.extend(victims or ())
        return stops if enough or not wave.step.gang else []

    def _choose_candidates(self, wave: Wave) -> list[ReservedCandidate] | None:
        """Candidates for the tasks of a wave, judged by the total capacity of workers, the largest free
        fraction first. Candidates near the wave's data are preferred, and for a gang that asks for one rack,
        those of one rack that is large enough. A gang gets candidates for all its members or none. Another
        wave gets fewer than it asks for if there are not enough, if fewer may be reserved, or if its tenant
        may use no more.
        """
        step, wanted = wave.step, len(wave.waiting)
        reservable = self._reservable_tasks(wave)
        if not reservable or (step.gang and reservable < wanted):
            return None
        wanted = min(wanted, reservable)
        eligible = [option for option in self._eligible_for(wave) if option.candidate.reserved_for is None]
        if step.near:
            eligible = [option for option in eligible if step.near in option.candidate.labels] or eligible
        if step.gang and step.tight:
            eligible = self._in_one_rack(eligible, wanted)
        chosen, left = [], wanted
        for option in eligible[: self._reservable_candidates(wave.job.service)]:
            if left <= 0:
                break
            chosen.append(ReservedCandidate(option.candidate, min(option.members, left)))
            left -= option.members
        return chosen if left <= 0 or not step.gang else None

    def _reservable_tasks(self, wave: Wave) -> int:
        """The number of tasks of a wave for which capacity may be reserved."""
        reservable = self.budgets.reservable(
            wave, self.reserved_resources.get(self._priority_class(wave), NO_RESOURCES)
        )
        return self.tenant_capacity.allowance(wave.job.tenant, wave.step.resources, reservable)

    def _priority_class(self, wave: Wave) -> PriorityClass:
        """The (service, priority) of a wave."""
        return (wave.job.service, wave.job.priority)

    def _reservable_candidates(self, service: str) -> int:
        """How many more candidates of a service may be reserved."""
        most = max(1, int(len(self.candidates[service]) * constants.RESERVE_PART))
        return max(0, most - self.candidate_counts.get(service, 0))

    def _eligible_for(self, wave: Wave) -> list[EligibleCandidate]:
        """The candidates that could be reserved for a wave, in order of preference, including those reserved
        for other waves. Waves with the same request share the list, as nothing is placed while candidates are
        being reserved.
        """
        step = wave.step
        request = (
            wave.job.service,
            step.resources,
            step.needs,
            (wave.job.identity, wave.number) if step.apart else None,
        )
        if request not in self.eligible:
            candidates = self.candidates[wave.job.service]
            eligible = [option for candidate in candidates if (option := self._as_eligible(wave, candidate))]
            self.eligible[request] = sorted(eligible, key=lambda option: option[:2])
        return self.eligible[request]

    def _as_eligible(self, wave: Wave, candidate: CandidateWorker) -> EligibleCandidate | None:
        """A candidate as an EligibleCandidate for a wave, or None if it can't be reserved for it."""
        step = wave.step
        if candidate.unreliable:
            return None
        members = candidate.potential_members(wave, self._long_running_on(candidate))
        if not members:
            return None
        return EligibleCandidate(-candidate.free_fraction(step), candidate.identity, candidate, members)

    def _any_long_running(self) -> bool:
        """Whether any open job has a long-running step."""
        if self.has_long_running is None:
            self.has_long_running = any(
                step.lasts for job in self.leased_jobs.jobs.values() for step in job.steps
            )
        return self.has_long_running

    def _long_running_on(self, candidate: CandidateWorker) -> Resources:
        """The capacity that long-running tasks use on a candidate, and that waiting does not free."""
        if not self._any_long_running():
            return NO_RESOURCES
        if candidate.identity not in self.long_running_resources:
            resources: Resources = NO_RESOURCES
            for placement in self.leased_jobs.placements.get(candidate.identity, {}).values():
                wave_and_task = None if placement.stop else self.leased_jobs.current_task(placement)
                if wave_and_task is not None and wave_and_task[0].step.lasts:
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

    def _victims(self, wave: Wave, candidate: CandidateWorker, members: int) -> list[RunStop] | None:
        """The runs to stop on a candidate so that it has capacity for `members` tasks of a wave, newest run
        first; None if that can't be achieved.
        """
        missing: Resources = [
            members * resources - free
            for resources, free in zip(wave.step.resources, candidate.free, strict=True)
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
            if not self._may_preempt(wave, candidate, key, placement):
                continue
            missing = subtract(missing, placement.resources)
            stops.append(RunStop(candidate.identity, key[0], key[1], PREEMPTED))
        return stops if max(missing) <= 0 else None

    def _may_preempt(self, wave: Wave, candidate: CandidateWorker, key: RunKey, placement: Placement) -> bool:
        """Whether a run may be stopped for a wave. If so, the work that this discards is deducted from the
        waste allowed.
        """
        wave_and_task = self.leased_jobs.current_task(placement)
        if not self.policy.preempt or wave_and_task is None or key not in candidate.worker.running:
            return False
        step = wave_and_task[0].step
        if step.gang or step.lasts or self.shares.priority(wave_and_task[0].job) <= wave.job.priority:
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
