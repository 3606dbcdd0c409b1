"""The states of leased jobs as callers see them, the record of a job that is over, and the consequences of
the end of a run.
"""

from typing import NamedTuple

from .plain_types import Image

# The states of a job, as they are reported to callers.
JOB_QUEUED = "queued"  # no task was ever placed
JOB_RUNNING = "running"
JOB_COMPLETED = "completed"
JOB_FAILED = "failed"  # a task or a gang has used up its attempts
JOB_CANCELLED = "cancelled"

# The consequences of a run's end. The outcome of the operation "job-ended" lists one for each of its items,
# and event 155 logs it.
END_DONE = "done"  # the task, or its whole gang, is done
END_COMPLETED = "completed"  # the task or gang is done, and so is the whole job
END_FAILED = "failed"  # it was the last attempt, so the job has failed
END_REQUEUED = "again"  # the task waits for another run
END_STALE = "stale"  # the end was known already, or changes nothing any more
END_JOB_NOT_OPEN = "late"  # the job is over, or was never accepted
END_NO_SUCH_TASK = "unknown"  # the job has no such task


class FinalJob(NamedTuple):
    """The record of a job that is over. It is dropped when a later job ends, once it is FINAL_LASTS seconds
    old or there are more than MAX_FINAL_JOBS records.
    """

    state: str  # JOB_COMPLETED, JOB_FAILED or JOB_CANCELLED
    ended: float  # time of the cluster state, seconds
    queue: str
    digest: str  # distinguishes two jobs with the same name
    tenant: str = ""  # the name of its tenant, "" for a job without one

    def image(self) -> Image:
        """The fields as plain values, for a snapshot. As in LeasedJob.image, a job without a tenant has no
        field for it.
        """
        return tuple(self) if self.tenant else tuple(self)[:-1]
