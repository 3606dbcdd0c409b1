"""Invariants of placing: work does not wait beside capacity that stands idle (docs/design/sharing.md)."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from ..common import constants
from .candidate_workers import CandidateWorker, in_use
from .leased_job import PLACED, Wave, WaveKey
from .leased_job_state import LeasedJobState

KEPT_UNTAKEN = "kept room is not taken by the wave it is kept for"
IDLE_BESIDE_WORK = "a job waits beside ample idle room"


class Violation(NamedTuple):
    """One invariant, found broken for one job."""

    invariant: str
    job: str
    queue: str
    seconds: float  # that the wave looked at has been short of capacity


class IdleCapacityCheck:
    """Looks at each round's outcome, and counts what must not be.

    KEPT_UNTAKEN: after a round a wave, no gang, is short of capacity although a candidate kept for it would
    take one more of its tasks. IDLE_BESIDE_WORK: for MAX_IDLE_WAIT seconds a job had nothing placed and
    waited for capacity while its service had capacity for twice what it needs at once and under half of its
    capacity was in use. A wave whose tenant is at its maximum is not short of capacity.

    Invariant: a violation is counted once for each wave and each time that it begins.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()  # invariant -> violations
        # (invariant, key of a wave) that were counted and go on
        self.broken: set[tuple[str, WaveKey]] = set()
        # key of a wave -> since when its job waits beside ample idle capacity
        self.since: dict[WaveKey, float] = {}
        self.looked_at: float | None = None

    def after_round(
        self,
        kept: dict[WaveKey, tuple[Wave, list[CandidateWorker]]],
        placed: dict[WaveKey, int],
        short: dict[WaveKey, float],
        now: float,
    ) -> tuple[Violation, ...]:
        """Violations of KEPT_UNTAKEN. Takes `kept` (key of a wave -> (wave, candidates)), `placed` (key of a
        wave -> tasks placed in this round) and `short` (key of a wave -> since when).
        """
        found = {}
        for key, (wave, candidates) in kept.items():
            waits = len(wave.waiting) > placed.get(key, 0) and key in short and not wave.step.gang
            if waits and any(candidate.may_place(wave, wave.job.priority) for candidate in candidates):
                found[key] = wave
        return self._counted(KEPT_UNTAKEN, found, short, now)

    def look(
        self,
        leased_jobs: LeasedJobState,
        candidates: dict[str, list[CandidateWorker]],
        short: dict[WaveKey, float],
        now: float,
    ) -> tuple[Violation, ...]:
        """Violations of IDLE_BESIDE_WORK, looked for once in IDLE_LOOK_EVERY seconds."""
        if self.looked_at is not None and now - self.looked_at < constants.IDLE_LOOK_EVERY:
            return ()
        self.looked_at = now
        idle = [service for service, mine in candidates.items() if in_use(mine) < constants.RESERVE_BUSY]
        beside = {}
        for key in short:
            wave = leased_jobs.ready.get(key)
            if (
                wave is not None
                and wave.job.service in idle
                and self._ample(wave, candidates[wave.job.service])
            ):
                beside[key] = wave
        self.since = {key: self.since.get(key, now) for key in beside}
        found = {key: wave for key, wave in beside.items() if now - self.since[key] > constants.MAX_IDLE_WAIT}
        return self._counted(IDLE_BESIDE_WORK, found, short, now)

    def _ample(self, wave: Wave, candidates: Sequence[CandidateWorker]) -> bool:
        """Whether nothing of a wave's job is placed, and there is capacity for twice what it needs at
        once.
        """
        if any(task.state == PLACED for one in wave.job.waves.values() for task in one.tasks):
            return False
        wanted, count = 2 * (len(wave.waiting) if wave.step.gang else 1), 0
        for candidate in candidates:
            count += candidate.free_members(wave)
            if count >= wanted:
                return True
        return False

    def _counted(
        self, invariant: str, found: dict[WaveKey, Wave], short: dict[WaveKey, float], now: float
    ) -> tuple[Violation, ...]:
        """The violations that are new, once counted."""
        before = {key for name, key in self.broken if name == invariant}
        self.broken -= {(invariant, key) for key in before - found.keys()}
        new = [(key, wave) for key, wave in found.items() if key not in before]
        self.broken |= {(invariant, key) for key, _ in new}
        self.counts[invariant] += len(new)
        return tuple(
            Violation(invariant, wave.job.identity, wave.job.queue, round(now - short.get(key, now), 3))
            for key, wave in new
        )
