"""Capacity that is kept for waves which have found none for long, and what had better yield to them."""

from collections.abc import Set
from typing import Any, NamedTuple, Protocol

from ..common import constants
from . import policy as policies
from .budgets import CapacityBudgets
from .candidate_workers import CandidateWorker, in_use
from .leased_job import Wave, WaveKey
from .leased_job_state import LeasedJobState
from .placement import Placement, RunKey
from .resources import NO_RESOURCES, Level, Resources, less, more, times
from .run_stop import YIELDS, RunStop
from .tenants import TenantCapacity


class PendingStops(Protocol):
    """What is read of the assignment manager."""

    @property
    def stopping(self) -> Set[RunKey]:
        """The runs whose stop is proposed."""


class AbleCandidate(NamedTuple):
    """A worker that could be kept for a wave. In the order of preference: most of its capacity free first."""

    minus_free: float  # 0 to -1: the least part that is free of what the wave asks for
    identity: str
    candidate: CandidateWorker
    members: int  # tasks of the wave that it could run at once


class KeptCandidate(NamedTuple):
    """A worker that is kept for a wave."""

    candidate: CandidateWorker
    members: int  # tasks of the wave that it is kept for


class Reservations:
    """Keeps candidates for the first waves that have been short for long, and says which less urgent runs
    had better yield to them: those that save their progress lose nothing but a restart, of others no
    more work is thrown away for a wave than YIELD_WASTE. Jobs beyond the weight of their tenant are less
    urgent than all others, and have nothing kept for them.

    Invariants: a candidate is kept for one wave at most, and only if the wave can take it once what runs
    there has ended; for a tenant's waves no more is kept than it may have running; no more than RESERVE_PART
    of a service's candidates are kept. While under half of a
    service's capacity is in use nothing is kept for over RESERVE_LASTS without a break: in the round
    between, whatever waits may take what stood empty.
    """

    def __init__(
        self,
        leased_jobs: LeasedJobState,
        assignments: PendingStops,
        budgets: CapacityBudgets,
        candidates: dict[str, list[CandidateWorker]],
        kept_since: dict[str, float],
        tenant_capacity: TenantCapacity,
        time: float,
        policy: policies.Policy = policies.DEFAULT,
    ) -> None:
        self.policy = policy
        self.leased_jobs, self.assignments, self.budgets = leased_jobs, assignments, budgets
        self.shares = budgets.shares
        self.candidates, self.time = candidates, time
        self.tenant_capacity = tenant_capacity.copy()  # charged for what is kept
        self.kept_since = kept_since  # service -> since when some of its candidates are kept
        self.counts: dict[str, int] = {}  # service -> waves that candidates are kept for
        self.taken: dict[str, int] = {}  # service -> candidates kept
        self.kept: dict[WaveKey, list[CandidateWorker]] = {}  # key of a wave -> the candidates kept for it
        self.kept_resources: dict[Level, Resources] = {}  # (service, priority) -> capacity kept for its waves
        self.lasting: dict[str, Resources] = {}  # worker -> capacity of what lasts there
        self.some_last: bool | None = None  # whether any open job has a step that lasts, once it was asked
        self.able: dict[tuple[Any, ...], list[AbleCandidate]] = {}  # what a wave asks -> who could take it
        self.busy: dict[str, float] = {}  # service -> part of its capacity that is in use
        self.waste = 0.0  # core-seconds that may still be thrown away for the wave looked at

    def keep(self, waves: list[Wave], short: dict[WaveKey, float], now: float) -> list[RunStop]:
        """Keeps candidates for those of `waves`, the first in rank first, that have been short for long by
        `short` (key of a wave -> since when); the stops that free capacity on them.
        """
        stops = []
        failed = set()  # shapes that found no candidates since one was kept last: their like find none either
        for wave in waves:
            if not self._due(wave, short, now):
                continue
            shape = self._shape(wave)
            if shape in failed:
                continue
            chosen = self._choose(wave)
            if not chosen:
                failed.add(shape)
                continue
            failed.clear()
            stops.extend(self._keep(wave, chosen))
        for service in self.kept_since.keys() - self.counts.keys():
            del self.kept_since[service]
        for service in self.counts:
            self.kept_since.setdefault(service, now)
        return stops

    def _due(self, wave: Wave, short: dict[WaveKey, float], now: float) -> bool:
        """Whether a wave has waited long enough, and may have capacity kept for it."""
        service = wave.job.service
        patience = constants.RESERVE_AFTER * (1 if wave.job.priority else 0.5)
        return (
            not self.shares.is_excess(wave.job)
            and now - short.get(wave.key(), now) >= patience
            and service in self.candidates
            and self.counts.get(service, 0) < constants.MAX_RESERVED_WAVES
            and not self._lapsed(service, now)
        )

    def _lapsed(self, service: str, now: float) -> bool:
        """Whether some of a service's capacity was kept for long while most of it is idle."""
        if now - self.kept_since.get(service, now) < constants.RESERVE_LASTS:
            return False
        if service not in self.busy:
            self.busy[service] = in_use(self.candidates[service])
        return self.busy[service] < constants.RESERVE_BUSY

    def _shape(self, wave: Wave) -> tuple[Any, ...]:
        """What decides which candidates a wave may have: waves of one shape are refused alike."""
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

    def _keep(self, wave: Wave, chosen: list[KeptCandidate]) -> list[RunStop]:
        """Keeps the chosen candidates for a wave; the stops that free capacity on them."""
        service = wave.job.service
        self.counts[service] = self.counts.get(service, 0) + 1
        self.taken[service] = self.taken.get(service, 0) + len(chosen)
        stops: list[RunStop] = []
        enough, self.waste = True, constants.YIELD_WASTE
        self.kept[wave.key()] = [one.candidate for one in chosen]
        kept = times(wave.step.resources, sum(one.members for one in chosen))
        self.tenant_capacity.charge(wave.job.tenant, kept)
        self.kept_resources[self._level(wave)] = more(
            self.kept_resources.get(self._level(wave), NO_RESOURCES), kept
        )
        for candidate, members in chosen:
            candidate.kept = wave
            found = self._victims(wave, candidate, members)
            enough = enough and found is not None
            stops.extend(found or ())
        return stops if enough or not wave.step.gang else []

    def _choose(self, wave: Wave) -> list[KeptCandidate] | None:
        """Candidates for the members of a wave by the whole capacity of workers, those with most
        of it free first: near its data if any stands there, of a gang that wants one rack in one, if
        any rack is large enough. A gang gets candidates for all its members or none; other waves get fewer
        when there are not enough, or not enough that may be kept, or that their tenant may use.
        """
        step, wanted = wave.step, len(wave.waiting)
        keepable = self._keepable(wave)
        if not keepable or (step.gang and keepable < wanted):
            return None
        wanted = min(wanted, keepable)
        able = [one for one in self._able_for(wave) if one.candidate.kept is None]
        if step.near:
            able = [one for one in able if step.near in one.candidate.labels] or able
        if step.gang and step.tight:
            able = self._one_rack(able, wanted)
        chosen, left = [], wanted
        for one in able[: self._may_keep_more(wave.job.service)]:
            if left <= 0:
                break
            chosen.append(KeptCandidate(one.candidate, min(one.members, left)))
            left -= one.members
        return chosen if left <= 0 or not step.gang else None

    def _keepable(self, wave: Wave) -> int:
        """For how many tasks of a wave capacity may be kept."""
        keepable = self.budgets.keepable(wave, self.kept_resources.get(self._level(wave), NO_RESOURCES))
        return self.tenant_capacity.allowance(wave.job.tenant, wave.step.resources, keepable)

    def _level(self, wave: Wave) -> Level:
        """The (service, priority) of a wave."""
        return (wave.job.service, wave.job.priority)

    def _may_keep_more(self, service: str) -> int:
        """How many more candidates of a service may be kept."""
        most = max(1, int(len(self.candidates[service]) * constants.RESERVE_PART))
        return max(0, most - self.taken.get(service, 0))

    def _able_for(self, wave: Wave) -> list[AbleCandidate]:
        """The candidates that could be kept for a wave, kept for another or not, in the order of preference.
        Nothing is placed while candidates are kept, so waves that ask alike share them.
        """
        step = wave.step
        asked = (
            wave.job.service,
            step.resources,
            step.needs,
            (wave.job.identity, wave.number) if step.apart else None,
        )
        if asked not in self.able:
            candidates = self.candidates[wave.job.service]
            found = [one for candidate in candidates if (one := self._able(wave, candidate))]
            self.able[asked] = sorted(found, key=lambda one: one[:2])
        return self.able[asked]

    def _able(self, wave: Wave, candidate: CandidateWorker) -> AbleCandidate | None:
        """A candidate as one that could be kept for a wave, or None."""
        step = wave.step
        if candidate.unreliable:
            return None
        members = candidate.potential_members(wave, self._lasting_on(candidate))
        if not members:
            return None
        return AbleCandidate(-candidate.free_share(step), candidate.identity, candidate, members)

    def _some_last(self) -> bool:
        """Whether any open job has a step that lasts."""
        if self.some_last is None:
            self.some_last = any(step.lasts for job in self.leased_jobs.jobs.values() for step in job.steps)
        return self.some_last

    def _lasting_on(self, candidate: CandidateWorker) -> Resources:
        """Capacity on a candidate of runs that last, which no wait brings back."""
        if not self._some_last():
            return NO_RESOURCES
        if candidate.identity not in self.lasting:
            resources: Resources = NO_RESOURCES
            for placement in self.leased_jobs.placements.get(candidate.identity, {}).values():
                found = None if placement.stop else self.leased_jobs.task(placement)
                if found is not None and found[0].step.lasts:
                    resources = more(resources, placement.resources)
            self.lasting[candidate.identity] = resources
        return self.lasting[candidate.identity]

    def _one_rack(self, able: list[AbleCandidate], wanted: int) -> list[AbleCandidate]:
        """The able candidates of the rack with most capacity free that is large enough, or all of them."""
        racks: dict[str, list[AbleCandidate]] = {}
        for one in able:
            racks.setdefault(one.candidate.rack, []).append(one)
        large = [rack for rack in racks.values() if sum(one.members for one in rack) >= wanted]
        return min(large, key=lambda rack: sum(one.minus_free for one in rack) / len(rack), default=able)

    def _victims(self, wave: Wave, candidate: CandidateWorker, members: int) -> list[RunStop] | None:
        """Stops that free capacity for so many members on a candidate; None when there is no such way."""
        missing: Resources = [
            members * resources - free
            for resources, free in zip(wave.step.resources, candidate.free, strict=True)
        ]
        stops: list[RunStop] = []
        if max(missing) <= 0:
            return stops
        placements = self.leased_jobs.placements.get(candidate.identity, {})
        for key, placement in sorted(placements.items(), key=lambda one: -one[1].since):
            if max(missing) <= 0:
                break
            if placement.stop or key in self.assignments.stopping:
                missing = less(missing, placement.resources)
                continue
            if not self._yields(wave, candidate, key, placement):
                continue
            missing = less(missing, placement.resources)
            stops.append(RunStop(candidate.identity, key[0], key[1], YIELDS))
        return stops if max(missing) <= 0 else None

    def _yields(self, wave: Wave, candidate: CandidateWorker, key: RunKey, placement: Placement) -> bool:
        """Whether a run may be stopped for a wave; what that throws away is taken from the waste allowed."""
        found = self.leased_jobs.task(placement)
        if not self.policy.yielding or found is None or key not in candidate.worker.running:
            return False
        step = found[0].step
        if step.gang or step.lasts or self.shares.priority(found[0].job) <= wave.job.priority:
            return False
        if self.budgets.is_guaranteed(self.shares.level_of(placement)):
            return False
        if step.saves:
            return True
        if placement.run > constants.YIELD_RUNS:
            return False
        cores = placement.resources[0] / 1000 + constants.GPU_CORES * placement.resources[2]
        lost = (self.time - placement.since) * cores
        if lost > self.waste:
            return False
        self.waste -= lost
        return True
