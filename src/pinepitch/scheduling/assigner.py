"""Which worker gets which waiting task: one assigning round over the ready waves and the candidates.

The rules and what was weighed for them: docs/design/sharing.md.
"""

from collections.abc import Iterable, Sequence
from typing import Any

from ..common import constants
from . import policy as policies
from .budgets import CapacityBudgets
from .candidate_order import CandidateIndex, Rank, fill
from .candidate_workers import CandidateWorker, candidate_workers
from .idle_capacity import IdleCapacityCheck, Violation
from .leased_job import Step, Wave, WaveKey
from .leased_job_state import LeasedJobState, WaveAssignment
from .reservations import PendingStops, Reservations
from .resources import RESOURCE_KINDS, Resources, tasks_in, times
from .run_speed import Pace
from .run_stop import StopItem
from .tenant_shares import TenantShares
from .tenants import TenantCapacity, Tenants
from .worker import Worker

# Why a round left tasks waiting, as operators are told it.
REASON_NO_WORKER = "no minion"
REASON_NO_CAPACITY = "no room"
REASON_CAPACITY_KEPT = "room is kept for other work"
REASON_OVER_BUDGET = "held back for other work"
REASON_TENANT_AT_MAXIMUM = "its tenant is at its maximum"

# (index of a task, identity of the worker that it is placed on) for some tasks of a wave.
Group = list[tuple[int, str]]


class Assigner:
    """Decides one round at a time. Where work goes is a guess of the leader's; whether it may run is decided
    by LeasedJobState.assign, from the log.

    Invariant: a round gives no candidate more than its free capacity, and places a gang whole or not at
    all.
    """

    def __init__(
        self,
        pace: Pace,
        policy: policies.Policy = policies.DEFAULT,
        tenant_burst: float = constants.TENANT_BURST,
    ) -> None:
        self.pace, self.policy = pace, policy
        self.short: dict[WaveKey, float] = {}  # key of a wave -> since when it found no capacity
        # service -> since when some of its candidates are kept without a break
        self.kept_since: dict[str, float] = {}
        # what waves ask of a candidate that no candidate has left in this round
        self.exhausted: set[tuple[Any, ...]] = set()
        self.idle_capacity = IdleCapacityCheck()
        self.violations: tuple[Violation, ...] = ()  # of the newest round
        self.near: dict[str, int] = {}  # rack -> tasks of this round that want to be there
        self.shares = TenantShares(tenant_burst)
        self.budgets = CapacityBudgets(pace, policy, self.shares)
        self.hot_at: float | None = None
        self.hot: dict[str, float] = {}  # rack -> work of late that wanted to be there
        self.hottest = 1.0  # the most work that wanted to be in one rack, 1 or more
        self.why: dict[WaveKey, str] = {}  # key of a wave -> why the newest round left some of it
        # of the round under way
        self.tenant_capacity = TenantCapacity(Tenants(None), {})
        self.indices: dict[str, CandidateIndex] = {}  # by service

    def round(
        self,
        leased_jobs: LeasedJobState,
        workers: dict[str, Worker],
        assignments: PendingStops,
        now: float,
        time: float,
    ) -> tuple[tuple[WaveAssignment, ...], tuple[StopItem, ...]]:
        """Places what is due. Returns (assign items, stop items): those of the operations "job-assign" and
        "job-stop". `now` is the daemon's clock, `time` that of the cluster state, both in seconds.
        """
        if self.policy.heed_weights:
            self.shares.learn(leased_jobs)
        self.budgets.learn(leased_jobs, now)
        self._forget_hot(now)
        self.near, self.why, self.exhausted = {}, {}, set()
        self.tenant_capacity = TenantCapacity(leased_jobs.tenants, leased_jobs.used_by_tenant)
        waves = [wave for wave in leased_jobs.ready.values() if wave.due <= time and self._admitted(wave)]
        if not waves:
            self.kept_since.clear()
            self.violations = ()
            self._forget_short(leased_jobs)
            return (), ()
        candidates = candidate_workers(leased_jobs, workers, now)
        self.budgets.open(leased_jobs, candidates, waves, self.tenant_capacity, time)
        waves.sort(key=self._rank)
        reservations = Reservations(
            leased_jobs,
            assignments,
            self.budgets,
            candidates,
            self.kept_since,
            self.tenant_capacity,
            time,
            self.policy,
        )
        stops = reservations.keep(waves, self.short, now) if self.policy.keep_seats else ()
        self.indices = {
            service: CandidateIndex(mine, self._suitability, self.shares.priority)
            for service, mine in candidates.items()
        }
        items, complete = self._place_waves(waves, candidates, reservations, now, time)
        self._forget_short(leased_jobs)
        if complete:
            self._check(leased_jobs, candidates, reservations, items, now)
        return tuple(items), tuple(stop.plain() for stop in stops)

    def _admitted(self, wave: Wave) -> bool:
        """Whether a wave's tenant may have more of it running, all of a gang; what it may not is not short of
        capacity, and has none kept for it.
        """
        least = len(wave.waiting) if wave.step.gang else 1
        if self.tenant_capacity.allowance(wave.job.tenant, wave.step.resources, least) >= least:
            return True
        self.why[wave.key()] = REASON_TENANT_AT_MAXIMUM
        self.short.pop(wave.key(), None)
        return False

    def _place_waves(
        self,
        waves: list[Wave],
        candidates: dict[str, list[CandidateWorker]],
        reservations: Reservations,
        now: float,
        time: float,
    ) -> tuple[list[WaveAssignment], bool]:
        """(assign items, whether every wave was looked at): a round places about MAX_ASSIGNED_TASKS."""
        items, count = [], 0
        for wave in waves:
            if count >= constants.MAX_ASSIGNED_TASKS:
                break
            mine = candidates.get(wave.job.service, ())
            if not mine:
                self.why.setdefault(wave.key(), REASON_NO_WORKER)
                continue
            group = self._group_for(wave, mine, reservations, time)
            if group:
                count += len(group)
                self.tenant_capacity.charge(wave.job.tenant, times(wave.step.resources, len(group)))
                items.append((wave.job.identity, wave.time, wave.number, tuple(group)))
            self._remember_short(wave, len(group), reservations, now)
        return items, count < constants.MAX_ASSIGNED_TASKS

    def _group_for(
        self, wave: Wave, candidates: Sequence[CandidateWorker], reservations: Reservations, time: float
    ) -> Group:
        """[(index, worker)] for the tasks of a wave that find a worker."""
        if not self._admitted(wave):
            return []
        if wave.step.gang:
            return self._gang(wave, candidates, wave.key() in reservations.kept, time)
        return self._single(wave, candidates, reservations.kept.get(wave.key(), ()), time)

    def tenants_at_maximum(self, leased_jobs: LeasedJobState) -> set[str]:
        """The tenants of whose work the newest round left some waiting for their maximum."""
        waiting = [key for key, why in self.why.items() if why == REASON_TENANT_AT_MAXIMUM]
        return {leased_jobs.ready[key].job.tenant for key in waiting if key in leased_jobs.ready}

    def _remember_short(self, wave: Wave, placed: int, reservations: Reservations, now: float) -> None:
        """Remembers since when, and why, a wave of which so many tasks were placed is short of capacity."""
        left = len(wave.waiting) - placed
        least = left if wave.step.gang else 1
        if left and self.tenant_capacity.allowance(wave.job.tenant, wave.step.resources, least) < least:
            self.why[wave.key()] = REASON_TENANT_AT_MAXIMUM
            self.short.pop(wave.key(), None)
        elif left:
            self.short.setdefault(wave.key(), now)
            self.why.setdefault(wave.key(), self._why_left(wave, reservations))
        else:
            self.short.pop(wave.key(), None)

    def _forget_short(self, leased_jobs: LeasedJobState) -> None:
        """Drops the waves of which nothing is ready any more."""
        for key in [key for key in self.short if key not in leased_jobs.ready]:
            del self.short[key]

    def _check(
        self,
        leased_jobs: LeasedJobState,
        candidates: dict[str, list[CandidateWorker]],
        reservations: Reservations,
        items: list[WaveAssignment],
        now: float,
    ) -> None:
        """Looks whether a whole round left work beside idle capacity."""
        kept = {key: (leased_jobs.ready[key], mine) for key, mine in reservations.kept.items()}
        placed = {item[:3]: len(item[3]) for item in items}
        self.violations = (
            *self.idle_capacity.after_round(kept, placed, self.short, now),
            *self.idle_capacity.look(leased_jobs, candidates, self.short, now),
        )

    def _rank(self, wave: Wave) -> tuple[bool, int, float, str]:
        """What lies within its tenant's weight first, then the more urgent, then what is due sooner: a step
        wider than a part of its service's capacity is expected to take several turns of it.
        """
        job, step = wave.job, wave.step
        begun = wave.due if job.times else job.accepted
        wide = len(wave.waiting) * self._largest_share(step, self.budgets.total_capacity.get(job.service))
        turns = max(1.0, wide / constants.WIDE_PART) if self.policy.rank_by_turns else 1.0
        time_allowed = (
            job.latency_target_ms / 1000 + job.stretch * turns * step.est_ms / 1000
            if self.policy.rank_by_due
            else 0
        )
        return (self.shares.is_excess(job), job.priority, begun + time_allowed, job.identity)

    def _largest_share(self, step: Step, total: Resources | None) -> float:
        """The part of a service's capacity that one task of a step takes, of the resource it takes most
        of.
        """
        if total is None:
            return 0.0
        return max(
            (step.resources[kind] / total[kind] for kind in RESOURCE_KINDS if total[kind]), default=0.0
        )

    def _forget_hot(self, now: float) -> None:
        """What racks were wanted for counts less with time."""
        passed = 0 if self.hot_at is None else now - self.hot_at
        self.hot_at, left = now, 0.5 ** (passed / constants.PEAK_HALF)
        for rack in self.hot:
            self.hot[rack] *= left
        self.hottest = max((1, *self.hot.values()))

    def _suitability(self, candidate: CandidateWorker, wave: Wave | None = None) -> Rank:
        """The better the lower, for a task of a wave, or for one of any that has neither data near a rack nor
        capacity kept: near its data, then where it leaves least capacity over.
        """
        near = wave.step.near if wave is not None else ""
        return (
            candidate.unreliable,
            candidate.kept is not None and candidate.kept is not wave,
            self.policy.prefer_near and bool(near) and near not in candidate.labels,
            0 if near else self._heat_of(candidate.rack),
            self._slowness_of(candidate),
            candidate.free[2],
            candidate.free[0],
            candidate.identity,
        )

    def _heat_of(self, rack: str) -> int:
        """How much a rack is wanted for its data, in steps beside the rack most wanted."""
        if not self.hot or not self.policy.avoid_hot_racks:
            return 0
        return round(constants.HOT_STEPS * self.hot.get(rack, 0) / self.hottest)

    def _slowness_of(self, candidate: CandidateWorker) -> int:
        """A candidate's speed, in steps within which candidates count as alike."""
        if not self.policy.prefer_fast_workers:
            return 0
        return round(candidate.worker.speed * constants.SPEED_STEPS)

    def _single(
        self, wave: Wave, candidates: Sequence[CandidateWorker], kept: Sequence[CandidateWorker], time: float
    ) -> Group:
        """[(index, worker)] for tasks of a wave that is no gang: on the candidates kept for it, and on
        others as far as its budget goes.
        """
        step, waiting = wave.step, sorted(wave.waiting)
        waiting = waiting[: self.tenant_capacity.allowance(wave.job.tenant, step.resources, len(waiting))]
        patience = self._patience(wave, candidates, time) if step.near and self.policy.wait_near else 0
        if step.near:
            self._heat(wave, len(waiting))
        group = self._take(wave, kept, waiting)
        self.budgets.charge(wave, len(group))
        waiting = waiting[len(group) :]
        allowed = self.budgets.allowance(wave, len(waiting))
        if allowed < len(waiting):
            self.why[wave.key()] = REASON_OVER_BUDGET
        near_by = [candidate for candidate in candidates if step.near in candidate.labels] if patience else ()
        patient = max(0, min(allowed, patience - len(group)))
        more = self._take(wave, near_by, waiting[:patient])
        if len(more) == patient:
            more += self._take_anywhere(wave, candidates, waiting[patient:allowed], usual=not kept)
        if len(more) < allowed:
            self.why.pop(wave.key(), None)  # what lacked was capacity
        self.budgets.charge(wave, len(more))
        return group + more

    def _heat(self, wave: Wave, count: int) -> None:
        """So many tasks of a wave want to be in the rack of their data."""
        near, wanted = wave.step.near, count * max(wave.step.resources[0], 1)
        if wanted > self.hot.get(near, 0):
            self.hot[near] = wanted
            self.hottest = max(self.hottest, wanted)
            for index in self.indices.values():
                index.forget_order()

    def _take_anywhere(
        self, wave: Wave, candidates: Sequence[CandidateWorker], indices: Sequence[int], usual: bool
    ) -> Group:
        """As _take, of all candidates; waves like one that found too few of them are not tried again.
        `usual`: whether no capacity is kept for the wave.
        """
        step = wave.step
        alike = (
            *self.shares.level(wave.job),
            step.resources,
            step.needs,
            wave.job.identity if step.apart else None,
        )
        if alike in self.exhausted:
            return []
        if usual and not step.near:
            group = self._place(wave, self.indices[wave.job.service].order.with_free(step.resources), indices)
        else:
            group = self._take(wave, candidates, indices)
        if len(group) < len(indices):
            self.exhausted.add(alike)
        return group

    def _take(self, wave: Wave, candidates: Sequence[CandidateWorker], indices: Sequence[int]) -> Group:
        """[(index, worker)] for the first of some tasks, as many as find a candidate."""
        if not indices:
            return []
        return self._place(wave, self._ranked(wave, candidates), indices)

    def _place(self, wave: Wave, ranked: Iterable[CandidateWorker], indices: Sequence[int]) -> Group:
        """As _take, of candidates in the order in which they are preferred."""
        chosen = fill(wave, self.shares.priority(wave.job), ranked, len(indices))
        self.indices[wave.job.service].placed(chosen)
        return [(index, one.identity) for index, one in zip(indices, chosen, strict=False)]

    def _ranked(self, wave: Wave, candidates: Iterable[CandidateWorker]) -> list[CandidateWorker]:
        """The candidates that a wave's task may take, the best first."""
        priority = self.shares.priority(wave.job)
        able = [candidate for candidate in candidates if candidate.may_place(wave, priority)]
        return sorted(able, key=lambda candidate: self._suitability(candidate, wave))

    def _why_left(self, wave: Wave, reservations: Reservations) -> str:
        """Why some of a wave found no candidate."""
        for key, candidates in reservations.kept.items():
            if key != wave.key() and any(candidate.can_run(wave) for candidate in candidates):
                return REASON_CAPACITY_KEPT
        return REASON_NO_CAPACITY

    def _patience(self, wave: Wave, candidates: Sequence[CandidateWorker], time: float) -> int:
        """How many of a wave's tasks had better wait for capacity near their data than start far away:
        those that would be done there sooner, if what stands before them takes as long as they do.
        """
        length = self.pace.expected(wave)
        if time - wave.since > min((self.pace.far - 1) * length, constants.MAX_NEAR_WAIT):
            return 0
        turns = sum(
            tasks_in(candidate.worker.capacity, wave.step.resources) or 0
            for candidate in candidates
            if wave.step.near in candidate.labels
        )
        ahead = self.near.get(wave.step.near, 0)
        self.near[wave.step.near] = ahead + len(wave.waiting)
        return max(0, int(turns * constants.NEAR_PART * (self.pace.far - 1)) - ahead)

    def _gang(self, wave: Wave, candidates: Sequence[CandidateWorker], kept: bool, time: float) -> Group:
        """Places all members of a gang, in one rack where the step asks for that and it may be had. Where
        none are kept for it, a gang leaves free what less urgent work is guaranteed.
        """
        wanted = len(wave.waiting)
        if not kept and self.budgets.beside_claims(wave, wanted) < wanted:
            self.why[wave.key()] = REASON_OVER_BUDGET
            return []
        ranked = self._ranked_for_gang(wave, candidates, kept, time)
        if ranked is None:
            return []
        group = self._place(wave, ranked, sorted(wave.waiting))
        self.budgets.charge(wave, wanted)
        return group

    def _ranked_for_gang(
        self, wave: Wave, candidates: Sequence[CandidateWorker], kept: bool, time: float
    ) -> Iterable[CandidateWorker] | None:
        """Candidates that take all of a gang between them, the best first, or None."""
        index = self.indices[wave.job.service]
        tight = wave.step.tight and self.policy.gang_in_one_rack
        rack = index.racks.fullest_for(wave, kept) if tight else None
        if rack is not None:
            return self._ranked(wave, rack)
        if tight and time - wave.since < constants.RACK_WAIT:
            return None
        if not index.racks.have_all(wave, kept):
            return None
        if kept or wave.step.near:
            return self._ranked(wave, candidates)
        return index.order.with_free(wave.step.resources)
