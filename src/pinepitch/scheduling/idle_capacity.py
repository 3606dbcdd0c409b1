"""Checks the placement invariants: no work waits beside idle capacity (docs/design/sharing.md)."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from ..common import constants
from .candidate_workers import CandidateWorker, used_fraction
from .leased_job import PLACED, Wave, WaveKey
from .leased_job_state import LeasedJobState

RESERVATION_UNUSED = "kept room is not taken by the wave it is kept for"
IDLE_BESIDE_WORK = "a job waits beside ample idle room"


class Violation(NamedTuple):
    """A violation of one invariant for one job."""

    invariant: str
    job: str
    queue: str
    seconds: float  # how long the wave concerned has been short of capacity


class IdleCapacityCheck:
    """Checks the outcome of each scheduling round, and counts violations of two invariants.

    RESERVATION_UNUSED: after a round, a wave that is not a gang is short of capacity although a candidate
    reserved for it could run one more of its tasks. IDLE_BESIDE_WORK: for MAX_IDLE_WAIT seconds a job had
    nothing placed and waited for capacity, while its service had capacity for twice what the job needs at
    once and less than RESERVE_BUSY of its capacity was in use. A wave whose tenant is at its maximum does not
    count as short of capacity.

    Invariant: a violation is counted once per wave each time it begins.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()  # invariant -> violations
        # (invariant, key of a wave) of violations that are counted and continue
        self.ongoing: set[tuple[str, WaveKey]] = set()
        # key of a wave -> since when its job has been waiting beside ample idle capacity
        self.waiting_since: dict[WaveKey, float] = {}
        self.checked_at: float | None = None

    def check_reservations(
        self,
        reserved: dict[WaveKey, tuple[Wave, list[CandidateWorker]]],
        placed: dict[WaveKey, int],
        short_since: dict[WaveKey, float],
        now: float,
    ) -> tuple[Violation, ...]:
        """Returns new violations of RESERVATION_UNUSED. All mappings are by the key of a wave: `reserved` to
        (wave, candidates), `placed` to the tasks placed in this round, `short_since` to the time since when
        it has been short of capacity.
        """
        violating = {}
        for key, (wave, candidates) in reserved.items():
            is_short = len(wave.waiting) > placed.get(key, 0) and key in short_since and not wave.step.gang
            if is_short and any(candidate.may_place(wave, wave.job.priority) for candidate in candidates):
                violating[key] = wave
        return self._count_new(RESERVATION_UNUSED, violating, short_since, now)

    def check_waiting_jobs(
        self,
        leased_jobs: LeasedJobState,
        candidates: dict[str, list[CandidateWorker]],
        short_since: dict[WaveKey, float],
        now: float,
    ) -> tuple[Violation, ...]:
        """Returns new violations of IDLE_BESIDE_WORK; checks once in IDLE_LOOK_EVERY seconds at most."""
        if self.checked_at is not None and now - self.checked_at < constants.IDLE_LOOK_EVERY:
            return ()
        self.checked_at = now
        idle_services = [
            service
            for service, service_candidates in candidates.items()
            if used_fraction(service_candidates) < constants.RESERVE_BUSY
        ]
        waiting = {}
        for key in short_since:
            wave = leased_jobs.ready.get(key)
            if (
                wave is not None
                and wave.job.service in idle_services
                and self._has_ample_capacity(wave, candidates[wave.job.service])
            ):
                waiting[key] = wave
        self.waiting_since = {key: self.waiting_since.get(key, now) for key in waiting}
        violating = {
            key: wave
            for key, wave in waiting.items()
            if now - self.waiting_since[key] > constants.MAX_IDLE_WAIT
        }
        return self._count_new(IDLE_BESIDE_WORK, violating, short_since, now)

    def _has_ample_capacity(self, wave: Wave, candidates: Sequence[CandidateWorker]) -> bool:
        """Whether nothing of a wave's job is placed although there is capacity for twice what the wave needs
        at once.
        """
        if any(task.state == PLACED for job_wave in wave.job.waves.values() for task in job_wave.tasks):
            return False
        wanted, count = 2 * (len(wave.waiting) if wave.step.gang else 1), 0
        for candidate in candidates:
            count += candidate.free_members(wave)
            if count >= wanted:
                return True
        return False

    def _count_new(
        self, invariant: str, violating: dict[WaveKey, Wave], short_since: dict[WaveKey, float], now: float
    ) -> tuple[Violation, ...]:
        """Counts and returns the violations that are new."""
        earlier = {key for name, key in self.ongoing if name == invariant}
        self.ongoing -= {(invariant, key) for key in earlier - violating.keys()}
        new = [(key, wave) for key, wave in violating.items() if key not in earlier]
        self.ongoing |= {(invariant, key) for key, _ in new}
        self.counts[invariant] += len(new)
        return tuple(
            Violation(invariant, wave.job.identity, wave.job.queue, round(now - short_since.get(key, now), 3))
            for key, wave in new
        )
