"""The sample: a bounded part of the traffic of a day, kept in the cluster state for rehearsals.

Traffic is kept in whole blocks of time, so that waves and crowds stay as they were. All
control daemons keep the same: which block stays is drawn by a hash of its number.
"""

import hashlib
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

import immutables

from ..common import constants
from ..model.pushed_job import PushedJob


class Block(NamedTuple):
    """The traffic of a stretch of time. The order of the fields is that of stored data.

    Invariants: arrivals maps the numbers of the jobs that came from start to end, to
    what a replay needs of each once it is final, and to None before; end is the
    block's length unless more jobs came than are kept: then it was cut when full;
    running counts what ran at its start, as (queue, kind, units, labels, count).
    """

    start: float
    end: float
    running: tuple[Any, ...]
    arrivals: Any  # immutables.Map: number -> arrival() or None


class Sample:
    """The blocks that are kept.

    Invariants: blocks lie within the window; the newest SAMPLE_NEWEST are all kept, of
    older ones SAMPLE_EACH a stratum, those of the lowest rank.
    """

    def __init__(self, blocks: Iterable[Any] = ()) -> None:
        self.blocks: immutables.Map[int, Block] = immutables.Map(
            {
                number: Block(block[0], block[1], block[2], immutables.Map(block[3]))
                for number, block in blocks
            }
        )

    def image(self) -> tuple[tuple[int, Block], ...]:
        """A value that later changes leave alone."""
        return tuple(sorted(self.blocks.items()))

    def accepted(self, job: PushedJob, running: Callable[[], tuple[Any, ...]]) -> None:
        """A job came; `running` tells what runs now, asked when a block begins."""
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

    def final(self, job: PushedJob) -> None:
        """A job became final: what a replay needs of it stays."""
        number, block = self._block(job)
        if block is not None:
            block = block._replace(arrivals=block.arrivals.set(int(job.identity[1:]), arrival(job)))
            self.blocks = self.blocks.set(number, block)

    def _block(self, job: PushedJob) -> tuple[int, Block | None]:
        """(number of the block a job came in, the block if the job is kept in it, or None)."""
        number = int(job.accepted // constants.SAMPLE_BLOCK)
        block = self.blocks.get(number)
        return number, block if block is not None and int(job.identity[1:]) in block.arrivals else None

    def _prune(self, newest: int) -> None:
        """Drops what the bound leaves no place for."""
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
        """The blocks as a rehearsal takes them: (length, running, arrivals), oldest first."""
        traffic_blocks = []
        for _, block in sorted(self.blocks.items()):
            arrivals = []
            for number, one in sorted(block.arrivals.items()):
                job = jobs.get(f"t{number}")
                if one is None and job is not None:
                    one = arrival(job)
                if one is not None:
                    arrivals.append((max(0.0, one[0] - block.start), *one[1:]))
            traffic_blocks.append((block.end - block.start, block.running, tuple(arrivals)))
        return tuple(traffic_blocks)


def _rank(number: int) -> bytes:
    """Draws which of the older blocks stay: those of the lowest rank."""
    return hashlib.sha256(str(number).encode()).digest()


def arrival(job: PushedJob) -> tuple[Any, ...]:
    """(accepted, queue, kind, urgency or -1, seconds to due or 0, tasks) of a job; a task
    is (name, units, labels, after, seconds to its time, gang, attempts asked, limit,
    seconds it took or None, failures, seconds lost by them).
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
                task.asked,
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
