"""A bounded sample of one day's traffic, stored in the cluster state for rehearsals.

Traffic is sampled in whole blocks of time, so that bursts are preserved. All control daemons retain
the same blocks, because a hash of a block's number decides whether it is retained.
"""

import hashlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import immutables

from ..common import constants
from ..model.pushed_job import PushedJob


class Block(NamedTuple):
    """The traffic of a time span. The order of the fields is part of the stored format.

    Invariants: arrivals maps the number of each job accepted from start to end to what a replay
    needs of it once it is final, and to None before. end is SAMPLE_BLOCK seconds after start, or
    the time at which a job arrived after the block had SAMPLE_JOBS jobs. running counts the tasks
    that ran at start, as (queue, kind, units, labels, count).
    """

    start: float  # seconds of the cluster's clock
    end: float
    running: tuple[Any, ...]
    arrivals: Any  # immutables.Map: number of the job -> arrival() or None


class Sample:
    """The retained blocks.

    Invariants: blocks lie within SAMPLE_WINDOW. The newest SAMPLE_NEWEST blocks are all retained; of
    the older ones, the SAMPLE_EACH blocks with the lowest rank in each stratum.
    """

    def __init__(self, blocks: Iterable[Any] = ()) -> None:
        self.blocks: immutables.Map[int, Block] = immutables.Map(
            {
                number: Block(block[0], block[1], block[2], immutables.Map(block[3]))
                for number, block in blocks
            }
        )

    def image(self) -> tuple[tuple[int, Block], ...]:
        """A value that later changes of the sample do not affect."""
        return tuple(sorted(self.blocks.items()))

    def add_arrival(self, job: PushedJob, running: Callable[[], tuple[Any, ...]]) -> None:
        """Adds an accepted job; `running` is called to count the running tasks when a block begins."""
        number = int(job.accepted // constants.SAMPLE_BLOCK)
        block = self.blocks.get(number)
        if block is None:
            start = number * constants.SAMPLE_BLOCK
            block = Block(start, start + constants.SAMPLE_BLOCK, running(), immutables.Map())
            self._prune(number)
        if job.accepted >= block.end:
            return
        if len(block.arrivals) >= constants.SAMPLE_JOBS:
            block = block._replace(end=job.accepted)
        else:
            block = block._replace(arrivals=block.arrivals.set(int(job.identity[1:]), None))
        self.blocks = self.blocks.set(number, block)

    def add_result(self, job: PushedJob) -> None:
        """Stores what a replay needs of a job that became final."""
        number, block = self._block(job)
        if block is not None:
            block = block._replace(arrivals=block.arrivals.set(int(job.identity[1:]), arrival(job)))
            self.blocks = self.blocks.set(number, block)

    def _block(self, job: PushedJob) -> tuple[int, Block | None]:
        """(number of the block of a job's arrival, that block, or None if the job is not sampled)."""
        number = int(job.accepted // constants.SAMPLE_BLOCK)
        block = self.blocks.get(number)
        return number, block if block is not None and int(job.identity[1:]) in block.arrivals else None

    def _prune(self, newest: int) -> None:
        """Drops the blocks that are not to be retained once a block with number `newest` is added."""
        strata: dict[int, list[int]] = {}
        for number in self.blocks:
            if number <= newest - constants.SAMPLE_NEWEST:
                stratum = int(number * constants.SAMPLE_BLOCK // constants.SAMPLE_STRATUM)
                strata.setdefault(stratum, []).append(number)
        oldest = (newest * constants.SAMPLE_BLOCK - constants.SAMPLE_WINDOW) / constants.SAMPLE_STRATUM
        for stratum, numbers in strata.items():
            numbers.sort(key=_rank)
            for number in numbers if stratum < oldest else numbers[constants.SAMPLE_EACH :]:
                self.blocks = self.blocks.delete(number)

    def traffic(
        self, jobs: Mapping[str, PushedJob]
    ) -> tuple[tuple[float, tuple[Any, ...], tuple[Any, ...]], ...]:
        """The blocks as input of a rehearsal: (length in seconds, running, arrivals), oldest first."""
        traffic_blocks = []
        for _, block in sorted(self.blocks.items()):
            arrivals = []
            for number, fields in sorted(block.arrivals.items()):
                job = jobs.get(f"t{number}")
                if fields is None and job is not None:
                    fields = arrival(job)
                if fields is not None:
                    arrivals.append((max(0.0, fields[0] - block.start), *fields[1:]))
            traffic_blocks.append((block.end - block.start, block.running, tuple(arrivals)))
        return tuple(traffic_blocks)


def _rank(number: int) -> bytes:
    """The pseudo-random rank of a block; of the older blocks those with the lowest rank are retained."""
    return hashlib.sha256(str(number).encode()).digest()


def arrival(job: PushedJob) -> tuple[Any, ...]:
    """What a replay needs of a job: (accepted, queue, kind, urgency or -1, due or 0, tasks).

    Each task is (name, units, labels, after, earliest start, gang, requested attempts, limit, duration
    or None, failures, time lost by them). All times are in seconds; accepted is on the cluster's
    clock, due and earliest start are relative to it.
    """
    tasks = []
    for name, task in job.tasks.items():
        standing = job.standings[name]
        tasks.append(
            (
                name,
                task.units,
                task.labels,
                task.after,
                max(0.0, task.not_before - job.accepted),
                task.gang,
                task.requested_attempts,
                task.limit,
                round(standing.took, 4) if standing.state == "done" else None,
                standing.failures,
                round(standing.lost, 4),
            )
        )
    return (
        job.accepted,
        job.queue,
        job.kind,
        job.urgency if job.urgency_given else -1,
        max(0.0, job.due - job.accepted) if job.due else 0.0,
        tuple(tasks),
    )
