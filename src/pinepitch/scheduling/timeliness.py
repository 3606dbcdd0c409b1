"""Estimates whether jobs end in time by the terms of their queue.

A job is in time if it ends within its target: the latency target of its queue, plus `stretch` times the
length of its longest chain of steps. Up to LATE_TARGETS times the target it is late, and after that too late
to be of use.
"""

import enum

from ..common import constants
from .job_document import Step
from .leased_job import TaskBatch
from .resources import RESOURCE_KINDS, Resources
from .run_speed import RunTimeEstimator


class Timeliness(enum.IntEnum):
    """How early a job can still end; lower is better."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2

    @property
    def text(self) -> str:
        """The word for it in metrics."""
        return self.name.lower().replace("_", " ")


def largest_share(step: Step, total: Resources | None) -> float:
    """The fraction of a service's capacity `total` that one task of a step needs, of the resource of which it
    needs the largest fraction.
    """
    if total is None:
        return 0.0
    return max((step.resources[kind] / total[kind] for kind in RESOURCE_KINDS if total[kind]), default=0.0)


def passes(step: Step, tasks: int, total: Resources | None) -> float:
    """How many passes over a service's capacity `total` so many tasks of a step are expected to take; more
    than one if they need more than WIDE_PART of it.
    """
    return max(1.0, tasks * largest_share(step, total) / constants.WIDE_PART)


def ready_at(batch: TaskBatch) -> float:
    """When the time allowed to a batch's job began, by the time of the cluster state, seconds."""
    return batch.due if batch.job.times else batch.job.accepted


def outlook(
    estimator: RunTimeEstimator, batch: TaskBatch, total: Resources | None, time: float
) -> Timeliness:
    """What a batch's job can still reach if the waiting tasks of the batch start at `time`, judged by the
    lengths that its queue's tasks have had. `total` is the capacity of its service. Long-running work, and
    work of queues without a target, is always in time.
    """
    job, length = batch.job, estimator.expected(batch)
    if batch.step.lasts or (job.latency_target_ms <= 0 and job.stretch <= 1):
        return Timeliness.IN_TIME
    whole_chain = job.longest_chain - 1 + passes(batch.step, batch.step.count, total)
    target = job.latency_target_ms / 1000 + job.stretch * length * whole_chain
    rest_of_chain = job.chain_lengths[batch.number] - 1 + passes(batch.step, len(batch.waiting), total)
    elapsed = time + length * rest_of_chain - ready_at(batch)
    if elapsed <= target:
        return Timeliness.IN_TIME
    return Timeliness.LATE if elapsed <= constants.LATE_TARGETS * target else Timeliness.TOO_LATE
